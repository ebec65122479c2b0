#include <string.h>

#include "chervilmast/steer_choice.h"
#include "steer_admission.h"
#include "steer_internal.h"
#include "test_switch.h"

/** Number of times that a caller repeats its SYN in a connection attempt. */
#define SYN_REPEATS 2
/** Time from the first SYN of an attempt to each SYN, by repeats, ms. */
static const uint32_t syn_offset_ms[SYN_REPEATS + 1] = { 0, 200, 600 };
/** Time after the last SYN of an attempt at which the caller gives up, ms. */
#define LAST_SYN_TIMEOUT_MS 800
/**
 * Assumed duration of a flow at a full server, as a multiple of the mean. At a
 * full server as many flows wait as are being processed.
 */
#define FULL_SERVER_FACTOR 2
/**
 * Maximum time for which the last SYN of an attempt is held, ms. A longer hold
 * could exceed the time left to a caller in its second connection attempt.
 */
#define LAST_SYN_HOLD_MAX_MS 300
/**
 * Maximum time for which a SYN is held until the registry data is renewed, ms.
 */
#define REFRESH_HOLD_MAX_MS 200

/*
 * Whether the caller may have repeated the SYN since it was received, or given
 * up after the last one. The repeated SYN may have opened the flow at another
 * instance.
 */
static bool caller_may_have_repeated(const struct cm_steer_packet *packet)
{
	uint32_t repeats = packet->repeats;
	uint32_t interval_ms =
		repeats < SYN_REPEATS ?
			syn_offset_ms[repeats + 1] - syn_offset_ms[repeats] :
			LAST_SYN_TIMEOUT_MS;

	return (uint64_t)packet->waited_ms + packet->held_ms >= interval_ms;
}

/*
 * Refuses a SYN. A reset ends the caller's connection attempt, so with outdated
 * registry data the SYN is dropped instead. Without a plan the SYN is reset, as
 * the caller's next attempt may reach another instance, unless it waited so
 * long that the reset could end a flow opened at another instance meanwhile.
 */
static void refuse(const struct cm_steer *steer, uint64_t now_ms,
		   const struct cm_steer_packet *packet, enum cm_counter reason,
		   struct cm_steer_verdict *verdict)
{
	if (!steer->plan.version && caller_may_have_repeated(packet) &&
	    !cm_switched_off(CM_SWITCH_NO_PLAN_SYN))
		cm_steer_set_verdict(verdict, CM_STEER_DROP,
				     CM_C_STEER_NO_PLAN_LATE);
	else if (!steer->plan.version)
		cm_steer_set_verdict(verdict, CM_STEER_RESET,
				     CM_C_STEER_NO_PLAN);
	else if (cm_steer_registry_is_fresh(steer, now_ms))
		cm_steer_set_verdict(verdict, CM_STEER_RESET, reason);
	else
		cm_steer_set_verdict(verdict, CM_STEER_DROP, CM_C_STEER_STALE);
}

/*
 * Whether the caller may have given up while the packet was in the receive
 * queue. LAST_SYN_TIMEOUT_MS is used for every SYN, although a caller waits
 * longer after an earlier one.
 */
static bool caller_may_have_given_up(const struct cm_steer_packet *packet)
{
	return packet->waited_ms >= LAST_SYN_TIMEOUT_MS;
}

/*
 * Adds a flow to the table. The server's open_flows includes the flow from its
 * SYN on, although is_open is set only when the SYN was answered. If the caller
 * may have given up, open_flows includes the flow only once the caller sends
 * another packet.
 */
static void track_flow(struct cm_steer *steer, uint64_t now_ms,
		       const struct cm_steer_packet *packet,
		       struct cm_steer_server *server)
{
	struct cm_steer_flow *flow;

	if (cm_steer_flows_is_full(&steer->flows)) {
		cm_counters_add(&steer->counters, CM_C_STEER_FLOW_FORGOTTEN);
		cm_steer_remove_flow(
			steer, cm_steer_flows_least_recent(&steer->flows));
	}
	flow = cm_steer_flows_add(&steer->flows, &packet->key, server->token,
				  now_ms, steer->active_ms);
	if (!flow)
		cm_counters_add(&steer->counters, CM_C_DROP_MEMORY);
	if (!flow)
		return;
	flow->route = cm_route_loads_find(&steer->routes, &packet->key.service);
	if (caller_may_have_given_up(packet))
		cm_steer_flows_set_syn_result(&steer->flows, flow, false);
	else
		cm_steer_count_flow(steer, flow, server);
}

/*
 * Whether the server of a flow that is not open may still answer: the answer is
 * not overdue, or a probe has reached the server since the SYN was sent, so
 * that only the SYN or its answer may have been lost. The last SYN of an
 * attempt goes to another server if the answer is overdue.
 */
static bool may_answer(const struct cm_steer *steer,
		       const struct cm_steer_flow *flow,
		       const struct cm_steer_server *server, uint32_t repeats)
{
	if (!flow->is_unanswered && !cm_steer_syn_is_overdue(steer, flow))
		return true;
	return repeats < SYN_REPEATS &&
	       server->health.reached_ms > flow->syn_ms;
}

/*
 * Handles a repeated SYN of a flow in the table. The SYN is forwarded to the
 * flow's server if the server may still answer, if the flow is open or if the
 * caller may have given up. It is dropped if the flow is open but its server
 * has left.
 * Return: false when the flow has to be placed again.
 */
static bool forward_repeated_syn(struct cm_steer *steer, uint64_t now_ms,
				 const struct cm_steer_flow *flow,
				 const struct cm_steer_packet *packet,
				 struct cm_steer_verdict *verdict)
{
	const struct cm_steer_server *server =
		cm_steer_servers_find_by_token(&steer->servers, flow->token);

	if (!server || server->listing == CM_LEFT) {
		/*
		 * After a SYN-ACK from another server, the caller would send
		 * packets of the open flow with that server's token.
		 */
		if (flow->is_open)
			cm_steer_set_verdict(verdict, CM_STEER_DROP,
					     CM_C_STEER_SYN_LATE);
		return flow->is_open;
	}
	if (!flow->is_open && !caller_may_have_given_up(packet) &&
	    !may_answer(steer, flow, server, packet->repeats))
		return false;
	cm_steer_forward_to(steer, now_ms, server, CM_C_STEER_SYN_REPEATED,
			    verdict);
	return true;
}

/*
 * Whether a flow is expected to meet its latency objective if it is placed now
 * and takes as long as on a full server. Always true on a first SYN, so that it
 * is never dropped or held for lack of capacity.
 */
static bool can_meet_objective(const struct cm_steer *steer,
			       const struct cm_steer_packet *packet,
			       const struct cm_plan_route *route,
			       const char *service)
{
	uint32_t repeats =
		packet->repeats < SYN_REPEATS ? packet->repeats : SYN_REPEATS;
	uint32_t elapsed_ms = syn_offset_ms[repeats] + packet->held_ms;

	if (!repeats)
		return true;
	return elapsed_ms + FULL_SERVER_FACTOR *
				    cm_steer_mean_flow_ms(steer, service) <
	       route->objective_ms;
}

/*
 * Decides on a repeated SYN whose flow is expected to miss its latency
 * objective while @capacity is low or none. After an outage of all instances
 * there are many such flows; flows that can still meet their objective are
 * placed first. With CM_CAPACITY_NONE, a SYN that is not the last one of its
 * attempt is dropped, as the caller repeats it. The last SYN of an attempt is
 * held for up to LAST_SYN_HOLD_MAX_MS, unless a server left an earlier SYN of
 * the flow unanswered (@avoid_token is its token, else 0). Any other SYN is
 * forwarded in spite of the low capacity.
 */
static enum cm_steer_action
decide_when_full(const struct cm_steer_packet *packet, uint32_t avoid_token,
		 enum cm_spare_capacity capacity)
{
	bool is_last = packet->repeats >= SYN_REPEATS;

	if (!is_last && capacity == CM_CAPACITY_NONE &&
	    !cm_switched_off(CM_SWITCH_DEFERRED_SYN))
		return CM_STEER_DROP;
	if (is_last && !avoid_token && packet->held_ms < LAST_SYN_HOLD_MAX_MS &&
	    !cm_switched_off(CM_SWITCH_HELD_SYN))
		return CM_STEER_HOLD;
	return CM_STEER_FORWARD;
}

/*
 * Decides where a flow is placed, without placing it.
 * Return: the server, or NULL when the SYN is not forwarded.
 */
static struct cm_steer_server *decide_placement(
	struct cm_steer *steer, const struct cm_steer_packet *packet,
	const struct cm_plan_route *route, const struct cm_choice_input *choice,
	enum cm_flow_admission admission, struct cm_steer_verdict *verdict)
{
	struct cm_steer_server *server = NULL;
	enum cm_steer_action action = CM_STEER_FORWARD;
	enum cm_spare_capacity capacity;

	if (choice->service) {
		memcpy(verdict->service, choice->service, CM_NAME_SIZE);
		server = cm_steer_choose(steer, choice, &capacity);
	}
	if (server && capacity != CM_CAPACITY_AVAILABLE &&
	    admission != CM_FLOW_ADMITTED &&
	    !can_meet_objective(steer, packet, route, choice->service))
		action =
			decide_when_full(packet, choice->avoid_token, capacity);
	if (action != CM_STEER_FORWARD) {
		cm_steer_set_verdict(verdict, action,
				     action == CM_STEER_HOLD ?
					     CM_C_STEER_HELD :
					     CM_C_STEER_DEFERRED);
		return NULL;
	}
	if (!server)
		refuse(steer, choice->now_ms, packet, CM_C_STEER_NO_SERVER,
		       verdict);
	else
		cm_steer_set_forward_verdict(verdict, server,
					     choice->avoid_token ?
						     CM_C_STEER_PLACED_AGAIN :
						     CM_C_STEER_PLACED);
	return server;
}

/* Records the loads that the choice of a server used. */
static void record_loads(uint64_t now_ms, const struct cm_steer_server *server,
			 struct cm_steer_verdict *verdict)
{
	verdict->own_load = server->load.own;
	verdict->loads_age_ms = UINT64_MAX;
	if (!cm_server_load_is_known(&server->load, now_ms))
		return;
	verdict->others_load = server->load.others;
	verdict->loads_age_ms = now_ms > server->load.others_ms ?
					now_ms - server->load.others_ms :
					0;
}

static void place_flow(struct cm_steer *steer, uint64_t now_ms,
		       const struct cm_steer_packet *packet,
		       const struct cm_plan_route *route, uint32_t avoid_token,
		       struct cm_steer_verdict *verdict)
{
	const struct cm_choice_input choice = {
		.service = cm_steer_plan_select_service(
			&steer->plan, route, cm_flow_key_hash(&packet->key)),
		.avoid_token = avoid_token,
		.is_long = cm_route_load_is_long(cm_route_loads_find(
			&steer->routes, &packet->key.service)),
		.now_ms = now_ms,
	};
	enum cm_flow_admission admission = CM_FLOW_UNLIMITED;
	struct cm_steer_server *server;

	/* A flow that a server left unanswered was admitted before. */
	if (choice.service && !avoid_token)
		admission = cm_steer_admit_flow(steer, now_ms, packet,
						choice.service, verdict);
	if (admission == CM_FLOW_REFUSED)
		return;
	server = decide_placement(steer, packet, route, &choice, admission,
				  verdict);
	if (!server)
		return;
	record_loads(now_ms, server, verdict);
	cm_steer_record_choice(steer, server, now_ms);
	track_flow(steer, now_ms, packet, server);
	cm_steer_admission_flow_placed(steer, packet, choice.service);
	steer->last_forwarded_ms = now_ms;
}

/*
 * Whether a SYN is held, for up to REFRESH_HOLD_MAX_MS, until outdated registry
 * data has been renewed. The data is outdated, for example, after a pause of
 * the process, until the feed has fetched it again. While the registry can't be
 * reached, the outdated data is used.
 */
static bool must_hold_for_registry(const struct cm_steer *steer,
				   uint64_t now_ms,
				   const struct cm_steer_packet *packet)
{
	return steer->registry_confirmed_ms &&
	       !steer->is_registry_unreachable &&
	       !cm_steer_registry_is_fresh(steer, now_ms) &&
	       packet->held_ms < REFRESH_HOLD_MAX_MS;
}

/* Return: false when the SYN is held or refused without a choice. */
static bool may_be_placed(const struct cm_steer *steer, uint64_t now_ms,
			  const struct cm_steer_packet *packet,
			  const struct cm_plan_route *route,
			  struct cm_steer_verdict *verdict)
{
	if (must_hold_for_registry(steer, now_ms, packet))
		cm_steer_set_verdict(verdict, CM_STEER_HOLD,
				     CM_C_STEER_HELD_STALE);
	else if (!route)
		refuse(steer, now_ms, packet, CM_C_STEER_NO_ROUTE, verdict);
	else
		return true;
	return false;
}

void cm_steer_preview_syn(struct cm_steer *steer, uint64_t now_ms,
			  const struct cm_steer_packet *packet,
			  const struct cm_choice_input *choice,
			  struct cm_steer_verdict *verdict)
{
	const struct cm_plan_route *route =
		cm_steer_plan_find_route(&steer->plan, &packet->key.service);

	memset(verdict, 0, sizeof(*verdict));
	if (may_be_placed(steer, now_ms, packet, route, verdict))
		decide_placement(steer, packet, route, choice,
				 CM_FLOW_UNLIMITED, verdict);
}

void cm_steer_handle_syn(struct cm_steer *steer, uint64_t now_ms,
			 const struct cm_steer_packet *packet,
			 struct cm_steer_verdict *verdict)
{
	const struct cm_plan_route *route =
		cm_steer_plan_find_route(&steer->plan, &packet->key.service);
	struct cm_steer_flow *flow =
		cm_steer_flows_find(&steer->flows, &packet->key);
	uint32_t avoid_token = 0;

	if (!may_be_placed(steer, now_ms, packet, route, verdict))
		return;
	if (flow && packet->repeats &&
	    forward_repeated_syn(steer, now_ms, flow, packet, verdict))
		return;
	if (flow && packet->repeats && !flow->is_open) {
		avoid_token = flow->token;
		if (!flow->is_unanswered)
			cm_steer_mark_syn_unanswered(steer, flow);
	}
	if (flow)
		cm_steer_remove_flow(steer, flow);
	place_flow(steer, now_ms, packet, route, avoid_token, verdict);
}
