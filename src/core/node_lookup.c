#include "node_forward.h"

#include "node_event.h"
#include "node_probe.h"
#include "test_switch.h"

static bool contains_server(const struct cm_endpoint *servers, uint32_t count,
			    const struct cm_endpoint *server)
{
	for (uint32_t i = 0; i < count; i++)
		if (cm_endpoint_equal(&servers[i], server))
			return true;
	return false;
}

/*
 * Each of the last CM_HISTORY_SETS_MAX changes of the service may have changed
 * the flow's first candidate. Relays the packet to the home of an earlier first
 * candidate, skipping the first considered_count ones, this instance and
 * servers without a home. Returns false if none is left. Sets *unreachable if a
 * server without a home was skipped.
 */
static bool relay_to_earlier_home(struct cm_event *event,
				  uint32_t considered_count, bool *unreachable)
{
	const struct cm_view *view = &event->node->view;
	struct cm_endpoint considered[CM_HISTORY_SETS_MAX + 1];
	const struct cm_history_server *earlier;
	uint32_t count = 0;

	if (cm_switched_off(CM_SWITCH_HISTORY_LOOKUP))
		return false;
	if (event->candidates.count) {
		uint32_t first = event->candidates.servers[0];

		considered[count++] = view->catalog.servers[first].spec.address;
	}
	for (uint32_t set = 0; set < CM_HISTORY_SETS_MAX; set++) {
		uint32_t server, home;

		earlier = cm_history_first_candidate(
			&view->history, event->service, set, event->hash);
		if (!earlier ||
		    contains_server(considered, count, &earlier->address))
			continue;
		considered[count++] = earlier->address;
		server = cm_catalog_find_server(&view->catalog,
						&earlier->address);
		if (count - 1 <= considered_count || server == CM_NONE)
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

/*
 * Handles a packet once the homes of all earlier first candidates were
 * considered. If an earlier first candidate (@unreachable) or a candidate
 * ranked before the directory has no home, its server may hold the flow: the
 * packet is dropped, as a retransmission may reach a home later. The packet is
 * also dropped if there is no directory. Otherwise the directory probes the
 * servers.
 */
static void probe_or_drop(struct cm_event *event, struct cm_flow_shard *shard,
			  bool unreachable)
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
			uint32_t considered_count)
{
	bool unreachable = false;

	if (cm_event_may_open(event) && !considered_count) {
		cm_admit_as_new(event, shard);
		return;
	}
	if (relay_to_earlier_home(event, considered_count, &unreachable))
		return;
	if (cm_event_may_open(event))
		cm_admit_as_new(event, shard);
	else
		probe_or_drop(event, shard, unreachable);
}
