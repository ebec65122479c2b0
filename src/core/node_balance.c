#include "node_balance.h"

#include "node_event.h"
#include "test_switch.h"

#define MS_PER_S 1000

/**
 * struct known_load - load of a server, counted here or reported by its home
 * @is_known: the load is counted here, or the last report of it is not stale
 * @is_at_cap: the server is at its connection cap
 * @is_warm: the server is given its full rate and cap; it is neither in cold
 *           start nor limited by failures or by its own report
 * @open: its open connections
 */
struct known_load {
	bool is_known;
	bool is_at_cap;
	bool is_warm;
	uint64_t open;
};

static struct known_load local_load(const struct cm_event *event,
				    uint32_t server)
{
	const struct cm_node *node = event->node;
	struct cm_backend_status status;

	cm_backend_status(node->backends[server],
			  &node->view.catalog.servers[server].spec,
			  event->now_ms, &status);
	return (struct known_load){
		.is_known = true,
		.is_at_cap = status.at_cap,
		.is_warm = status.percent == CM_FULL_PERCENT,
		.open = (uint64_t)status.open + status.inherited,
	};
}

/*
 * Extrapolates a reported load to the current time, to make it comparable with
 * the exact counts of servers whose home is this instance.
 */
static uint64_t extrapolate_open(const struct cm_backend_load *load,
				 uint64_t now_ms)
{
	int64_t open = load->open;

	if (now_ms > load->arrived_ms)
		open += load->growth_per_s *
			(int64_t)(now_ms - load->arrived_ms) / MS_PER_S;
	return open > 0 ? (uint64_t)open : 0;
}

static struct known_load reported_load(const struct cm_event *event,
				       uint32_t server)
{
	struct cm_backend_load load =
		cm_backend_load(event->node->backends[server]);

	return (struct known_load){
		.is_known = load.arrived_ms &&
			    event->now_ms < load.arrived_ms + CM_LOAD_STALE_MS,
		.is_at_cap = load.is_at_cap,
		.is_warm = load.percent == CM_FULL_PERCENT,
		.open = extrapolate_open(&load, event->now_ms),
	};
}

static struct known_load server_load(const struct cm_event *event,
				     uint32_t server)
{
	if (cm_event_is_self(event, cm_event_home(event, server)))
		return local_load(event, server);
	return reported_load(event, server);
}

static bool accepts_new_flows(const struct cm_event *event, uint32_t server)
{
	const struct cm_catalog *catalog = &event->node->view.catalog;

	return (catalog->servers[server].spec.state == CM_SERVER_ACTIVE ||
		cm_switched_off(CM_SWITCH_LEAVING_SERVER)) &&
	       cm_catalog_server_domain_is_in(catalog, server);
}

/**
 * struct mean_load - load of the warm servers of a service
 * @open: open connections of the warm servers whose load is known
 * @slots: slots of the warm servers whose load is known
 * @all_slots: slots of all servers that accept new flows
 */
struct mean_load {
	uint64_t open;
	uint64_t slots;
	uint64_t all_slots;
};

static struct mean_load service_mean_load(const struct cm_event *event)
{
	const struct cm_catalog *catalog = &event->node->view.catalog;
	const struct cm_service *service = &catalog->services[event->service];
	struct mean_load mean = { 0 };

	for (uint32_t i = 0; i < service->server_count; i++) {
		uint32_t server = service->first_server + i;
		uint32_t slots = catalog->servers[server].spec.slots;
		struct known_load load;

		if (!accepts_new_flows(event, server))
			continue;
		load = server_load(event, server);
		mean.all_slots += slots;
		if (!load.is_known || !load.is_warm)
			continue;
		mean.open += load.open;
		mean.slots += slots;
	}
	return mean;
}

/*
 * Whether one more connection would raise the load of the server above the
 * bound. The bound is not applied if the mean covers less than half of the
 * service's slots.
 */
static bool exceeds_bound(const struct cm_event *event,
			  const struct mean_load *mean,
			  const struct known_load *load, uint32_t server)
{
	uint64_t slots = event->node->view.catalog.servers[server].spec.slots;
	uint64_t limit;

	if (!load->is_known || 2 * mean->slots < mean->all_slots ||
	    cm_switched_off(CM_SWITCH_BALANCE))
		return false;
	limit = mean->open * (CM_FULL_PERCENT + CM_BALANCE_EXCESS_PERCENT) +
		CM_BALANCE_EXCESS_PER_SLOT * mean->slots * CM_FULL_PERCENT;
	return (load->open + 1) * mean->slots * CM_FULL_PERCENT > limit * slots;
}

/**
 * struct choice - indices of the preferred ones of the remaining candidates
 * @below_bound: the first that has room and a load below the bound; a server
 *               that is not warm only if it is also the first that has room
 * @with_room: the first that has room: it has a home and is not known to be at
 *             its cap
 * @any: the first of all
 */
struct choice {
	uint32_t below_bound;
	uint32_t with_room;
	uint32_t any;
};

static void set_if_unset(uint32_t *candidate, uint32_t offered)
{
	if (*candidate == CM_NO_CANDIDATE)
		*candidate = offered;
}

static void consider_candidate(const struct cm_event *event,
			       const struct mean_load *mean, uint32_t candidate,
			       struct choice *choice)
{
	uint32_t server = event->candidates.servers[candidate];
	struct known_load load = server_load(event, server);

	set_if_unset(&choice->any, candidate);
	if (load.is_at_cap || cm_event_home(event, server) == CM_NONE)
		return;
	set_if_unset(&choice->with_room, candidate);
	/*
	 * A server that is not warm has few connections because it is limited,
	 * so its low load does not make it preferable to the candidates before
	 * it.
	 */
	if (load.is_known && !load.is_warm && choice->with_room != candidate)
		return;
	if (!exceeds_bound(event, mean, &load, server))
		set_if_unset(&choice->below_bound, candidate);
}

uint32_t cm_balance_choose(struct cm_event *event, uint32_t tried)
{
	struct choice choice = { CM_NO_CANDIDATE, CM_NO_CANDIDATE,
				 CM_NO_CANDIDATE };
	struct mean_load mean = service_mean_load(event);

	for (uint32_t i = 0; i < event->candidates.count; i++) {
		if (tried & 1u << i)
			continue;
		if (accepts_new_flows(event, event->candidates.servers[i]))
			consider_candidate(event, &mean, i, &choice);
		else if (!tried)
			cm_event_count(event, CM_C_SKIP_DRAINING);
	}
	if (choice.below_bound == CM_NO_CANDIDATE)
		return choice.with_room == CM_NO_CANDIDATE ? choice.any :
							     choice.with_room;
	if (choice.with_room < choice.below_bound)
		cm_event_count(event, CM_C_SKIP_BALANCE);
	return choice.below_bound;
}
