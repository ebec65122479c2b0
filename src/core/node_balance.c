#include "node_balance.h"

#include "node_event.h"
#include "test_switch.h"

#define MS_PER_S 1000

/**
 * struct known_load - load of a server as known to this instance
 * @known: the load is counted here or was reported recently enough
 * @at_cap: the server is at its connection cap
 * @warm: it is not in cold start
 * @open: its open connections
 */
struct known_load {
	bool known;
	bool at_cap;
	bool warm;
	uint64_t open;
};

static struct known_load load_here(const struct cm_event *event,
				   uint32_t server)
{
	const struct cm_node *node = event->node;
	struct cm_backend_status status;

	cm_backend_status(node->backends[server],
			  &node->view.catalog.servers[server].spec,
			  event->now_ms, &status);
	return (struct known_load){
		.known = true,
		.at_cap = status.at_cap,
		.warm = status.percent == CM_PERCENT,
		.open = (uint64_t)status.open + status.inherited,
	};
}

/*
 * Extrapolates a reported load to the current time, so that it compares with
 * the exact counts of servers whose home is this instance.
 */
static uint64_t projected(const struct cm_backend_load *load, uint64_t now_ms)
{
	int64_t open = load->open;

	if (now_ms > load->at_ms)
		open += load->growth_per_s * (int64_t)(now_ms - load->at_ms) /
			MS_PER_S;
	return open > 0 ? (uint64_t)open : 0;
}

static struct known_load load_reported(const struct cm_event *event,
				       uint32_t server)
{
	struct cm_backend_load load =
		cm_backend_load(event->node->backends[server]);

	return (struct known_load){
		.known = load.at_ms &&
			 event->now_ms < load.at_ms + CM_LOAD_STALE_MS,
		.at_cap = load.full,
		.warm = load.percent == CM_PERCENT,
		.open = projected(&load, event->now_ms),
	};
}

static struct known_load load_of(const struct cm_event *event, uint32_t server)
{
	if (cm_event_is_self(event, cm_event_home(event, server)))
		return load_here(event, server);
	return load_reported(event, server);
}

static bool takes_new(const struct cm_event *event, uint32_t server)
{
	const struct cm_catalog *catalog = &event->node->view.catalog;

	return (catalog->servers[server].spec.state == CM_SERVER_ACTIVE ||
		cm_switched_off(CM_SWITCH_LEAVING_SERVER)) &&
	       cm_catalog_domain_in(catalog, server);
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

static struct mean_load mean_of(const struct cm_event *event)
{
	const struct cm_catalog *catalog = &event->node->view.catalog;
	const struct cm_service *service = &catalog->services[event->service];
	struct mean_load mean = { 0 };

	for (uint32_t i = 0; i < service->server_count; i++) {
		uint32_t server = service->first_server + i;
		uint32_t slots = catalog->servers[server].spec.slots;
		struct known_load load;

		if (!takes_new(event, server))
			continue;
		load = load_of(event, server);
		mean.all_slots += slots;
		if (!load.known || !load.warm)
			continue;
		mean.open += load.open;
		mean.slots += slots;
	}
	return mean;
}

/* The mean is not used if it covers less than half of the service's slots. */
static bool is_over(const struct cm_event *event, const struct mean_load *mean,
		    const struct known_load *load, uint32_t server)
{
	uint64_t slots = event->node->view.catalog.servers[server].spec.slots;
	uint64_t most;

	if (!load->known || 2 * mean->slots < mean->all_slots ||
	    cm_switched_off(CM_SWITCH_BALANCE))
		return false;
	most = mean->open * (CM_PERCENT + CM_BALANCE_EPSILON_PERCENT) +
	       CM_BALANCE_SLACK * mean->slots * CM_PERCENT;
	return (load->open + 1) * mean->slots * CM_PERCENT > most * slots;
}

/**
 * struct choice - the remaining candidates by preference
 * @below: the first that has room and a load below the bound; one in cold start
 *         only if it is also the first that has room
 * @room: the first that is not known to be at its cap and whose home can be
 *        reached
 * @any: the first of all
 */
struct choice {
	uint32_t below;
	uint32_t room;
	uint32_t any;
};

static void offer(uint32_t *place, uint32_t offered)
{
	if (*place == CM_NO_PLACE)
		*place = offered;
}

static void offer_place(const struct cm_event *event,
			const struct mean_load *mean, uint32_t place,
			struct choice *choice)
{
	uint32_t server = event->candidates.server[place];
	struct known_load load = load_of(event, server);

	offer(&choice->any, place);
	if (load.at_cap || cm_event_home(event, server) == CM_NONE)
		return;
	offer(&choice->room, place);
	/*
	 * A server in cold start or with failures has few connections; this
	 * does not make it a better choice than the candidates before it.
	 */
	if (load.known && !load.warm && choice->room != place)
		return;
	if (!is_over(event, mean, &load, server))
		offer(&choice->below, place);
}

uint32_t cm_balance_choose(struct cm_event *event, uint32_t tried)
{
	struct choice choice = { CM_NO_PLACE, CM_NO_PLACE, CM_NO_PLACE };
	struct mean_load mean = mean_of(event);

	for (uint32_t i = 0; i < event->candidates.count; i++) {
		if (tried & 1u << i)
			continue;
		if (takes_new(event, event->candidates.server[i]))
			offer_place(event, &mean, i, &choice);
		else if (!tried)
			cm_event_count(event, CM_C_SKIP_DRAINING);
	}
	if (choice.below == CM_NO_PLACE)
		return choice.room == CM_NO_PLACE ? choice.any : choice.room;
	if (choice.room < choice.below)
		cm_event_count(event, CM_C_SKIP_BALANCE);
	return choice.below;
}
