#include "node_forward.h"

#include "node_event.h"
#include "node_probe.h"
#include "test_switch.h"

static bool was_asked(const struct cm_endpoint *asked, uint32_t count,
		      const struct cm_endpoint *server)
{
	for (uint32_t i = 0; i < count; i++)
		if (cm_endpoint_equal(&asked[i], server))
			return true;
	return false;
}

/*
 * Relays the packet to the home of the server that was the flow's first
 * candidate before one of the last CM_HISTORY_SETS_MAX notes, leaving out the
 * first asked_count of these servers. Returns false if none is left to ask;
 * sets *unreachable if one of them has no reachable home.
 */
static bool ask_earlier_homes(struct cm_event *event, uint32_t asked_count,
			      bool *unreachable)
{
	const struct cm_view *view = &event->node->view;
	struct cm_endpoint asked[CM_HISTORY_SETS_MAX + 1];
	const struct cm_history_server *earlier;
	uint32_t count = 0;

	if (cm_switched_off(CM_SWITCH_HISTORY_LOOKUP))
		return false;
	if (event->candidates.count) {
		uint32_t first = event->candidates.server[0];

		asked[count++] = view->catalog.servers[first].spec.address;
	}
	for (uint32_t set = 0; set < CM_HISTORY_SETS_MAX; set++) {
		uint32_t server, home;

		earlier = cm_history_first_candidate(
			&view->history, event->service, set, event->hash);
		if (!earlier || was_asked(asked, count, &earlier->address))
			continue;
		asked[count++] = earlier->address;
		server = cm_catalog_find_server(&view->catalog,
						&earlier->address);
		if (count - 1 <= asked_count || server == CM_NONE)
			continue;
		home = cm_event_home(event, server);
		if (home == CM_NONE) {
			*unreachable = true;
			continue;
		}
		if (cm_event_is_self(event, home))
			continue;
		cm_event_relay(event, home, CM_RELAY_LOOKUP,
			       (uint8_t)(count - 1), NULL);
		return true;
	}
	return false;
}

static void lookup_exhausted(struct cm_event *event,
			     struct cm_flow_shard *shard, bool unreachable)
{
	uint32_t directory =
		cm_view_directory(&event->node->view, &event->candidates);

	if (((unreachable || event->candidates.directory_index > 0) &&
	     !cm_switched_off(CM_SWITCH_UNREACHABLE_WAITS)) ||
	    directory == CM_NONE) {
		cm_event_count(event, CM_C_DROP_UNREACHABLE);
		return;
	}
	if (cm_event_is_self(event, directory))
		cm_probe_start(event, shard);
	else
		cm_event_relay(event, directory, CM_RELAY_PROBE, 0, NULL);
}

void cm_forward_unknown(struct cm_event *event, struct cm_flow_shard *shard,
			uint32_t asked_count)
{
	bool unreachable = false;

	if (cm_event_may_open(event) && !asked_count) {
		cm_admit_as_new(event, shard);
		return;
	}
	if (ask_earlier_homes(event, asked_count, &unreachable))
		return;
	if (cm_event_may_open(event))
		cm_admit_as_new(event, shard);
	else
		lookup_exhausted(event, shard, unreachable);
}
