#include "steer_admission.h"

#include <string.h>

#include "steer_admission_plan.h"
#include "steer_internal.h"
#include "test_switch.h"

#define US_PER_S 1000000ULL
/** Time between two computations of the capacity, ms. */
#define CAPACITY_TTL_MS 500
/** Time between two reports of an overload that lasts, ms. */
#define REPORT_INTERVAL_MS 1000
/** Times from a caller's first SYN to its transmissions, ms. */
static const uint32_t syn_offsets_ms[] = { 0, 200, 600 };
/** Times from the first data packet to its retransmissions, ms. */
static const uint32_t data_offsets_ms[] = { 200, 600, 1400 };
/** Interval of the retransmissions of data after @data_offsets_ms, ms. */
#define DATA_INTERVAL_MS 1600

/**
 * Maximum time for which a SYN counts as held, ms. When an instance leaves, it
 * states the maximum of the type for the packets that it still holds.
 */
#define HELD_MAX_MS 800

#define COUNT_OF(array) (sizeof(array) / sizeof(*(array)))

static uint64_t usable_slots(const struct cm_steer *steer,
			     const struct cm_server_group *group,
			     uint64_t now_ms)
{
	uint64_t slots = 0;

	for (uint32_t i = 0; i < group->count; i++) {
		const struct cm_steer_server *server = group->members[i];

		if (cm_steer_server_is_usable(steer, server, now_ms) &&
		    cm_server_health_may_get_flow(&server->health, now_ms))
			slots += server->entry.slots;
	}
	return slots;
}

static uint32_t instances_of(const struct cm_steer *steer, uint64_t domain_hash)
{
	const struct cm_steer_domains *domains = &steer->peers.domains;
	uint32_t index = cm_steer_domains_find(domains, domain_hash);

	return index < domains->count ? domains->items[index].instances : 0;
}

/* Number of instances in failure domains that have no usable server. */
static uint32_t instances_without_server(const struct cm_steer *steer,
					 const struct cm_server_pool *pool,
					 uint64_t now_ms)
{
	const struct cm_server_group *group;
	uint32_t count = 0;

	for (uint32_t i = 0; i < steer->peers.domains.count; i++)
		count += steer->peers.domains.items[i].instances;
	LIST_FOREACH(group, &pool->groups, link)
	if (usable_slots(steer, group, now_ms))
		count -= instances_of(steer, group->domain_hash);
	return count;
}

/*
 * Share of this instance in the slots of its failure domain, or of the others
 * if its own has no usable server, us of work per second. The instances of
 * domains without a server share in every domain. 0 when the share is not
 * known.
 */
static uint64_t own_capacity(const struct cm_steer *steer,
			     const struct cm_server_pool *pool, uint64_t now_ms)
{
	uint32_t local = instances_of(steer, steer->domain_hash);
	uint32_t others = instances_without_server(steer, pool, now_ms);
	const struct cm_server_group *group;
	uint64_t remote = 0;

	if (!local)
		return 0;
	LIST_FOREACH(group, &pool->groups, link)
	{
		uint64_t slots = usable_slots(steer, group, now_ms);
		uint32_t sharing =
			instances_of(steer, group->domain_hash) + others;

		if (!slots || !sharing)
			continue;
		if (group->domain_hash == steer->domain_hash)
			return slots * US_PER_S / sharing;
		remote += slots * US_PER_S / sharing;
	}
	return remote;
}

static void update_capacity(const struct cm_steer *steer,
			    struct cm_admission_service *service,
			    uint64_t now_ms)
{
	const struct cm_server_pool *pool;

	if (service->capacity_ms &&
	    now_ms < service->capacity_ms + CAPACITY_TTL_MS)
		return;
	pool = cm_server_pools_find(&steer->servers.pools, service->hash);
	service->capacity = pool ? own_capacity(steer, pool, now_ms) : 0;
	service->capacity_ms = now_ms;
}

/*
 * Least congestion of the other failure domains that have a usable server; a
 * domain that has got no request lately counts as one with room. The cost of
 * the congestion of the own domain then moves flows there.
 */
static uint32_t others_congestion(const struct cm_steer *steer,
				  const struct cm_admission_service *service,
				  uint64_t now_ms)
{
	const struct cm_server_pool *pool =
		cm_server_pools_find(&steer->servers.pools, service->hash);
	const struct cm_server_group *group;
	uint32_t least = CM_CONGESTION_FULL;

	if (!pool || cm_switched_off(CM_SWITCH_ROOM_ELSEWHERE))
		return least;
	LIST_FOREACH(group, &pool->groups, link)
	{
		uint32_t per_mille =
			cm_congestion_get(&group->congestion, now_ms);

		if (group->domain_hash != steer->domain_hash &&
		    per_mille < least && usable_slots(steer, group, now_ms))
			least = per_mille;
	}
	return least;
}

/* Reports that don't fit are dropped; the totals go into the next one. */
static void add_report(struct cm_steer_admissions *admissions,
		       struct cm_admission_service *service,
		       enum cm_admission_report_kind kind, uint64_t now_ms)
{
	const struct cm_admission *admission = &service->admission;
	struct cm_admission_report *report;

	if (admissions->report_count == CM_ADMISSION_REPORTS_MAX)
		return;
	report = &admissions->reports[admissions->report_count++];
	report->kind = kind;
	memcpy(report->service, service->name, CM_NAME_SIZE);
	report->capacity = admission->capacity;
	report->limit = admission->limit;
	report->evidence = admission->evidence;
	report->totals = service->totals;
	report->lasted_ms = now_ms - admission->overloaded_ms;
	memset(&service->totals, 0, sizeof(service->totals));
	service->reported_ms = now_ms;
}

static void report_state(struct cm_steer *steer,
			 struct cm_admission_service *service,
			 bool was_overloaded, uint64_t now_ms)
{
	bool is_overloaded = service->admission.is_overloaded;

	if (is_overloaded && !was_overloaded) {
		cm_counters_add(&steer->counters, CM_C_STEER_OVERLOADS);
		add_report(&steer->admissions, service, CM_ADMISSION_BEGAN,
			   now_ms);
	} else if (!is_overloaded && was_overloaded) {
		add_report(&steer->admissions, service, CM_ADMISSION_ENDED,
			   now_ms);
	} else if (is_overloaded &&
		   now_ms >= service->reported_ms + REPORT_INTERVAL_MS) {
		add_report(&steer->admissions, service, CM_ADMISSION_LASTS,
			   now_ms);
	}
}

void cm_steer_admission_update(struct cm_steer *steer, uint64_t now_ms)
{
	struct cm_steer_admissions *admissions = &steer->admissions;

	if (admissions->plan_version != steer->plan.version)
		cm_steer_admissions_read_plan(steer, now_ms);
	for (uint32_t i = 0; i < admissions->count; i++) {
		struct cm_admission_service *service = &admissions->items[i];
		bool was_overloaded = service->admission.is_overloaded;

		if (!cm_admission_update_is_due(&service->admission, now_ms))
			continue;
		update_capacity(steer, service, now_ms);
		cm_admission_update(&service->admission, now_ms,
				    service->capacity,
				    others_congestion(steer, service, now_ms));
		report_state(steer, service, was_overloaded, now_ms);
	}
}

static enum cm_admission_outcome
decide(struct cm_admission_service *service, uint64_t now_ms,
       const struct cm_admission_request *request)
{
	enum cm_admission_outcome outcome =
		cm_admission_decide(&service->admission, now_ms, request);

	if (!service->admission.is_overloaded)
		return outcome;
	if (outcome == CM_ADMISSION_ADMIT)
		service->totals.admitted++;
	else if (outcome == CM_ADMISSION_DEFER)
		service->totals.deferred++;
	else
		service->totals.shed++;
	return outcome;
}

/*
 * A SYN that waited is not reset: its caller may have sent it again, and the
 * flow may have opened at another instance.
 */
static void refuse_flow(struct cm_admission *admission,
			const struct cm_steer_packet *packet,
			enum cm_admission_outcome outcome,
			struct cm_steer_verdict *verdict)
{
	verdict->action = CM_STEER_DROP;
	verdict->reason = CM_C_STEER_ADMISSION_DEFERRED;
	if (outcome == CM_ADMISSION_DEFER)
		return;
	verdict->reason = CM_C_STEER_ADMISSION_SHED;
	if (packet->waited_ms >= syn_offsets_ms[1] ||
	    !cm_admission_take_reset(admission))
		return;
	verdict->action = CM_STEER_RESET;
	verdict->reason = CM_C_STEER_ADMISSION_RESET;
}

static struct cm_admission_request
syn_request(const struct cm_steer_packet *packet,
	    const struct cm_route_demand *route)
{
	uint32_t last = COUNT_OF(syn_offsets_ms) - 1;
	uint32_t repeats = packet->repeats < last ? packet->repeats : last;
	struct cm_admission_request request = {
		.route = route,
		.elapsed_ms = syn_offsets_ms[repeats],
	};

	request.elapsed_ms +=
		packet->held_ms < HELD_MAX_MS ? packet->held_ms : HELD_MAX_MS;

	if (repeats < last)
		request.next_ms =
			syn_offsets_ms[repeats + 1] - syn_offsets_ms[repeats];
	return request;
}

enum cm_flow_admission cm_steer_admit_flow(struct cm_steer *steer,
					   uint64_t now_ms,
					   const struct cm_steer_packet *packet,
					   const char *service_name,
					   struct cm_steer_verdict *verdict)
{
	struct cm_admission_service *service;
	struct cm_admission_request request;
	enum cm_admission_outcome outcome;
	struct cm_route_demand *route;

	if (!steer->admissions.count)
		return CM_FLOW_UNLIMITED;
	service = cm_steer_admissions_find(&steer->admissions,
					   cm_steer_name_hash(service_name));
	route = service ? cm_admission_find_route(&service->admission,
						  &packet->key.service) :
			  NULL;
	if (!route || cm_route_demand_is_long(route))
		return CM_FLOW_UNLIMITED;
	if (!packet->repeats && !packet->held_ms)
		cm_route_demand_started(route, now_ms);
	if (!service->admission.is_overloaded)
		return CM_FLOW_UNLIMITED;
	request = syn_request(packet, route);
	outcome = decide(service, now_ms, &request);
	if (outcome == CM_ADMISSION_ADMIT)
		return CM_FLOW_ADMITTED;
	refuse_flow(&service->admission, packet, outcome, verdict);
	return CM_FLOW_REFUSED;
}

void cm_steer_admission_flow_placed(struct cm_steer *steer,
				    const struct cm_steer_packet *packet,
				    const char *service_name)
{
	struct cm_admission_service *service;
	struct cm_route_demand *route;
	struct cm_steer_flow *flow;

	if (!steer->admissions.count)
		return;
	service = cm_steer_admissions_find(&steer->admissions,
					   cm_steer_name_hash(service_name));
	route = service ? cm_admission_find_route(&service->admission,
						  &packet->key.service) :
			  NULL;
	flow = route ? cm_steer_flows_find(&steer->flows, &packet->key) : NULL;
	if (flow)
		flow->request.is_counted = !cm_route_demand_is_long(route);
}

/* A server that has left is in no group. */
static void record_congestion(const struct cm_steer_server *server,
			      uint64_t now_ms, bool is_full)
{
	if (server->group)
		cm_congestion_add(&server->group->congestion, now_ms, is_full);
}

/* Records the response that an acknowledgment may complete. */
static void observe_ack(struct cm_steer *steer, uint64_t now_ms,
			const struct cm_steer_packet *packet,
			const struct cm_steer_server *server,
			struct cm_admission_service *service,
			struct cm_route_demand *route,
			struct cm_flow_request *request)
{
	uint32_t took_ms;

	if (!(packet->flags & CM_STEER_ACK) ||
	    !cm_flow_request_acknowledge(request, packet->ack))
		return;
	if (!request->began_ms || request->state != CM_REQUEST_ANSWERED)
		return;
	took_ms = (uint32_t)(steer->active_ms - request->began_ms);
	record_congestion(server, now_ms,
			  cm_route_demand_is_slow(route, took_ms));
	cm_admission_answered(&service->admission, now_ms, route, took_ms);
}

/*
 * Records a rejection if the packet ends a request with a short response. Data
 * of an upload may follow an interim response and shows no end.
 */
static void observe_end(uint64_t now_ms, const struct cm_steer_packet *packet,
			const struct cm_steer_server *server,
			struct cm_admission_service *service,
			struct cm_route_demand *route,
			struct cm_steer_flow *flow)
{
	struct cm_flow_request *request = &flow->request;
	bool is_next = packet->data_length &&
		       route->traits.kind != CM_ROUTE_UPLOAD &&
		       cm_flow_request_is_next(request, packet->ack);

	if (!is_next && !(packet->flags & (CM_STEER_FIN | CM_STEER_RST)))
		return;
	if (!cm_flow_request_end(request) || !request->began_ms)
		return;
	record_congestion(server, now_ms, true);
	cm_admission_rejected(&service->admission, now_ms, route, flow->token);
}

/* Records a flow that ends after one request; see admit_data() for others. */
static void observe_shape(const struct cm_steer_packet *packet,
			  struct cm_route_demand *route,
			  const struct cm_flow_request *request)
{
	if ((packet->flags & CM_STEER_FIN) && request->count == 1)
		cm_route_demand_flow_shape(route, false);
}

/* Time until the caller sends a data packet again, ms. */
static uint32_t next_data_ms(uint32_t elapsed_ms)
{
	for (size_t i = 0; i < COUNT_OF(data_offsets_ms); i++)
		if (elapsed_ms < data_offsets_ms[i])
			return data_offsets_ms[i] - elapsed_ms;
	return DATA_INTERVAL_MS;
}

static bool may_defer_data(const struct cm_steer_packet *packet,
			   const struct cm_route_demand *route,
			   const struct cm_flow_request *request)
{
	if (packet->flags & (CM_STEER_FIN | CM_STEER_RST))
		return false;
	/*
	 * An upload may continue after an interim response, and its later
	 * packets belong to an admitted request.
	 */
	if (route->traits.kind == CM_ROUTE_UPLOAD)
		return false;
	return request->count || !request->is_counted;
}

/* Return: whether the request is admitted. */
static bool admit_data(struct cm_steer *steer, uint64_t now_ms,
		       const struct cm_steer_packet *packet,
		       struct cm_admission_service *service,
		       struct cm_route_demand *route,
		       struct cm_flow_request *request,
		       struct cm_steer_verdict *verdict)
{
	struct cm_admission_request asked = { .route = route };
	enum cm_admission_outcome outcome = CM_ADMISSION_ADMIT;

	if (!request->deferred_ms && (request->count || !request->is_counted))
		cm_route_demand_started(route, now_ms);
	if (may_defer_data(packet, route, request)) {
		if (request->deferred_ms)
			asked.elapsed_ms =
				(uint32_t)(now_ms - request->deferred_ms);
		asked.next_ms = next_data_ms(asked.elapsed_ms);
		outcome = decide(service, now_ms, &asked);
	}
	if (outcome == CM_ADMISSION_ADMIT) {
		if (request->count == 1)
			cm_route_demand_flow_shape(route, true);
		cm_flow_request_begin(request, steer->active_ms, packet->ack);
		return true;
	}
	if (!request->deferred_ms)
		request->deferred_ms = now_ms;
	verdict->action = CM_STEER_DROP;
	verdict->reason = outcome == CM_ADMISSION_DEFER ?
				  CM_C_STEER_REQUEST_DEFERRED :
				  CM_C_STEER_REQUEST_SHED;
	return false;
}

bool cm_steer_admit_packet(struct cm_steer *steer, uint64_t now_ms,
			   const struct cm_steer_packet *packet,
			   const struct cm_steer_server *server,
			   struct cm_steer_verdict *verdict)
{
	struct cm_admission_service *service = cm_steer_admissions_find(
		&steer->admissions, server->service_hash);
	struct cm_route_demand *route;
	struct cm_steer_flow *flow;
	bool is_admitted = true;

	route = service ? cm_admission_find_route(&service->admission,
						  &packet->key.service) :
			  NULL;
	flow = route ? cm_steer_flows_find(&steer->flows, &packet->key) : NULL;
	if (!flow || flow->token != packet->token)
		return true;
	/*
	 * The caller sent data before its requests were observed, so that this
	 * packet may continue a request.
	 */
	if (flow->has_request && !flow->request.count)
		cm_flow_request_begin(&flow->request, 0, flow->last_ack);
	observe_ack(steer, now_ms, packet, server, service, route,
		    &flow->request);
	observe_end(now_ms, packet, server, service, route, flow);
	if (packet->data_length &&
	    cm_flow_request_is_next(&flow->request, packet->ack))
		is_admitted = admit_data(steer, now_ms, packet, service, route,
					 &flow->request, verdict);
	observe_shape(packet, route, &flow->request);
	return is_admitted;
}

uint32_t cm_steer_take_admission_reports(struct cm_steer *steer,
					 struct cm_admission_report *reports)
{
	uint32_t count;

	pthread_mutex_lock(&steer->lock);
	count = steer->admissions.report_count;
	memcpy(reports, steer->admissions.reports, count * sizeof(*reports));
	steer->admissions.report_count = 0;
	pthread_mutex_unlock(&steer->lock);
	return count;
}
