#include "chervilmast/server_load.h"

#include "chervilmast/steer_flow.h"
#include "chervilmast/steer_server.h"
#include "test_switch.h"

/** Scale of the means in eighths of ms, and inverse weight of a sample. */
#define EIGHTHS 8
#define PER_MILLE 1000
#define MS_PER_S 1000
/**
 * Share of long flows from which a route's flows count as long, thousandths.
 */
#define LONG_PER_MILLE 500
/** Records that are searched for a route before it shares the last of them. */
#define ROUTE_PROBES 8
/**
 * Minimum time from an acknowledgment to the next data for the data to count as
 * a further request, ms. Data that follows at once belongs to the same request,
 * as in a TLS handshake.
 */
#define REQUEST_PAUSE_MS 20
/**
 * A response that takes longer than this multiple of the route's mean work
 * counts as one busy slot: the server has a queue.
 */
#define OVERDUE_FACTOR 2
/** Maximum of a sample of the interval and of the work, ms. */
#define SAMPLE_MAX_MS 60000

uint32_t cm_load_list_room(uint64_t since_ms)
{
	uint64_t room = since_ms < MS_PER_S ?
				since_ms * CM_LOADS_PER_S / MS_PER_S :
				CM_LOADS_PER_S;

	return room < CM_LOAD_LIST_MAX ? (uint32_t)room : CM_LOAD_LIST_MAX;
}

struct cm_route_load *cm_route_loads_find(struct cm_route_loads *routes,
					  const struct cm_endpoint *address)
{
	uint64_t hash = cm_endpoint_hash(address);
	struct cm_route_load *route = NULL;

	for (uint32_t i = 0; i < ROUTE_PROBES; i++) {
		route = &routes->items[(hash + i) % CM_ROUTE_LOADS_MAX];
		if (cm_endpoint_equal(&route->address, address))
			return route;
		if (route->address.port)
			continue;
		route->address = *address;
		return route;
	}
	return route;
}

/* Adds a sample to a mean in eighths of ms; the first one, at 0, sets it. */
static void smooth(uint32_t *mean, uint64_t sample_ms)
{
	uint32_t sample =
		sample_ms < SAMPLE_MAX_MS ? (uint32_t)sample_ms : SAMPLE_MAX_MS;

	if (!*mean)
		*mean = sample * EIGHTHS;
	*mean -= *mean / EIGHTHS;
	*mean += sample;
}

static void add_long_sample(struct cm_route_load *route, bool is_long)
{
	uint32_t sample = is_long ? PER_MILLE : 0;

	if (!route->samples)
		route->long_per_mille = sample;
	if (route->samples < UINT32_MAX)
		route->samples++;
	route->long_per_mille =
		(route->long_per_mille * (EIGHTHS - 1) + sample) / EIGHTHS;
}

bool cm_route_load_is_long(const struct cm_route_load *route)
{
	return !cm_switched_off(CM_SWITCH_SERVER_LOAD) &&
	       route->long_per_mille >= LONG_PER_MILLE;
}

bool cm_server_load_is_long(const struct cm_steer_flow *flow)
{
	if (cm_switched_off(CM_SWITCH_SERVER_LOAD))
		return false;
	return flow->requests > 1 || cm_route_load_is_long(flow->route) ||
	       (flow->is_adopted && !flow->route->samples);
}

void cm_server_load_acked(struct cm_steer_flow *flow, uint64_t active_ms,
			  bool has_data)
{
	if (flow->last_ack == flow->counted_ack)
		return;
	flow->counted_ack = flow->last_ack;
	/* With data, the time of the acknowledgment is not known. */
	if (flow->is_request_open && !has_data)
		smooth(&flow->route->work_ms_eighths,
		       active_ms - flow->request_began_ms);
	flow->is_request_open = false;
	flow->acked_ms = has_data ? 0 : active_ms;
}

void cm_server_load_data_sent(struct cm_steer_flow *flow, uint64_t active_ms)
{
	if (flow->is_request_open)
		return;
	flow->is_request_open = true;
	if (flow->requests && active_ms < flow->acked_ms + REQUEST_PAUSE_MS)
		return;
	if (flow->requests)
		smooth(&flow->route->interval_ms_eighths,
		       active_ms - flow->request_began_ms);
	flow->request_began_ms = active_ms;
	flow->requests++;
	if (flow->requests == 2)
		add_long_sample(flow->route, true);
}

void cm_server_load_flow_ended(const struct cm_steer_flow *flow)
{
	if (flow->requests == 1 && !flow->is_adopted)
		add_long_sample(flow->route, false);
}

/* Mean load of an open long flow of a route, thousandths of a slot. */
static uint32_t mean_load(const struct cm_route_load *route)
{
	uint64_t load;

	if (!route->interval_ms_eighths)
		return 0;
	load = (uint64_t)route->work_ms_eighths * CM_LOAD_SLOT /
	       route->interval_ms_eighths;
	return load < CM_LOAD_SLOT ? (uint32_t)load : CM_LOAD_SLOT;
}

static bool response_is_overdue(const struct cm_steer_flow *flow,
				uint64_t active_ms)
{
	return flow->is_request_open &&
	       (active_ms - flow->request_began_ms) * EIGHTHS >
		       (uint64_t)flow->route->work_ms_eighths * OVERDUE_FACTOR;
}

/*
 * An adopted flow whose further requests are not expected counts only while it
 * has a request, as its SYN was not seen and its end may have been missed.
 */
static uint32_t flow_load(const struct cm_steer_flow *flow, uint64_t active_ms)
{
	if (cm_server_load_is_long(flow) && flow->route->samples)
		return response_is_overdue(flow, active_ms) ?
			       CM_LOAD_SLOT :
			       mean_load(flow->route);
	if (flow->is_adopted && !flow->is_request_open)
		return 0;
	return CM_LOAD_SLOT;
}

/*
 * Replaces the share of a flow in a sum. Subtracts at most the sum, as the
 * flow's token may have passed on to another server.
 */
static void replace_share(uint32_t *sum, uint32_t from, uint32_t to)
{
	*sum -= from < *sum ? from : *sum;
	*sum += to;
}

static void set_load(struct cm_steer_server *server, struct cm_steer_flow *flow,
		     uint32_t load, uint32_t single)
{
	replace_share(&server->load.own, flow->load, load);
	replace_share(&server->load.own_single, flow->single_load, single);
	if (server->pool)
		replace_share(&server->pool->own_load, flow->load, load);
	flow->load = load;
	flow->single_load = single;
}

void cm_server_load_count(struct cm_steer_server *server,
			  struct cm_steer_flow *flow, uint64_t active_ms)
{
	uint32_t load = flow_load(flow, active_ms);

	set_load(server, flow, load, cm_server_load_is_long(flow) ? 0 : load);
}

void cm_server_load_uncount(struct cm_steer_server *server,
			    struct cm_steer_flow *flow)
{
	set_load(server, flow, 0, 0);
}
