#include <string.h>

#include "chervilmast/steer_report.h"
#include "steer_internal.h"

/**
 * Time without packets after which a flow is removed from the table, unless its
 * caller still waits for a response, ms.
 */
#define FLOW_IDLE_MS 1500
/**
 * Time without packets after which a flow is removed that is expected to carry
 * further requests, ms; several times the usual pause between two requests.
 */
#define LONG_FLOW_IDLE_MS 15000

static void add_result(struct cm_steer_flow_results *results,
		       const struct cm_steer_server *server)
{
	if (results->count < CM_STEER_RESULTS_MAX)
		results->tokens[results->count++] = server->token;
}

static void record_failure(struct cm_steer *steer, uint64_t now_ms,
			   const struct cm_steer_flow *flow,
			   const struct cm_steer_server *server)
{
	const struct cm_steer_change change = {
		.kind = CM_STEER_CHANGE_FLOW_FAILED,
		.key = flow->key,
		.server_id = server->entry.id,
		.token = server->token,
		.waited_ms = (uint32_t)(now_ms - flow->syn_ms),
		.bytes = flow->last_ack - flow->first_ack,
		.at_ms = now_ms,
	};

	cm_counters_add(&steer->counters, CM_C_STEER_FLOW_FAILED);
	cm_steer_changes_add(&steer->changes, &change);
}

/*
 * Service time of a flow that ends now. For a flow with pauses between its
 * requests it is the time to the first response, as the pauses are the
 * caller's.
 */
static uint32_t service_ms(const struct cm_steer_flow *flow, uint64_t now_ms)
{
	if (flow->response_ms && (cm_server_load_is_long(flow) ||
				  now_ms >= flow->last_ms + FLOW_IDLE_MS))
		return flow->response_ms;
	return (uint32_t)(now_ms - flow->syn_ms);
}

/*
 * The results are kept until the next message to the source of the failure
 * domain; an instance that is itself the source evaluates them. Results beyond
 * CM_STEER_RESULTS_MAX are dropped. An adopted flow has no result, as its start
 * was not seen.
 */
void cm_steer_record_flow_result(struct cm_steer *steer, uint64_t now_ms,
				 struct cm_steer_flow *flow,
				 struct cm_steer_server *server)
{
	if (flow->has_failed || flow->is_adopted)
		return;
	if (!cm_server_health_flow_ended(
		    &server->health, service_ms(flow, now_ms),
		    flow->last_ack - flow->first_ack, now_ms)) {
		add_result(&steer->successes, server);
		return;
	}
	flow->has_failed = true;
	record_failure(steer, now_ms, flow, server);
	add_result(&steer->failures, server);
}

static uint32_t response_limit_ms(const struct cm_steer_server *server)
{
	return server->pool ?
		       cm_response_time_limit_ms(&server->pool->response_time) :
		       CM_RESPONSE_LIMIT_DEFAULT_MS;
}

/*
 * Whether the caller has sent data and has acknowledged too few bytes in the
 * flow for a response other than an error.
 */
static bool waits_for_response(const struct cm_steer_flow *flow)
{
	return flow->is_open && flow->has_request && !flow->is_adopted &&
	       cm_server_health_is_failure(flow->last_ack - flow->first_ack);
}

/* Return: whether the flow can be removed from the table. */
static bool check_idle_flow(struct cm_steer *steer, uint64_t now_ms,
			    struct cm_steer_flow *flow)
{
	struct cm_steer_server *server =
		cm_steer_servers_find_by_token(&steer->servers, flow->token);
	bool waits = server && !flow->has_failed && waits_for_response(flow);

	if (waits && steer->active_ms >= flow->request_active_ms +
						 response_limit_ms(server)) {
		cm_steer_record_flow_result(steer, now_ms, flow, server);
		waits = false;
	}
	return !waits && now_ms >= flow->last_ms + FLOW_IDLE_MS;
}

static void keep_or_remove(struct cm_steer *steer, struct cm_steer_flow *flow)
{
	if (!flow->is_open || !cm_server_load_is_long(flow)) {
		cm_steer_remove_flow(steer, flow);
		return;
	}
	cm_steer_flows_keep(&steer->flows, flow);
	cm_counters_add(&steer->counters, CM_C_STEER_FLOW_KEPT);
}

void cm_steer_check_idle_flows(struct cm_steer *steer, uint64_t now_ms)
{
	struct cm_steer_flow *flow = TAILQ_FIRST(&steer->flows.lru);

	/*
	 * Flows that were active later are examined in a later call; no
	 * response is overdue sooner after its request.
	 */
	while (flow && now_ms >= flow->last_ms + CM_RESPONSE_LIMIT_MIN_MS) {
		struct cm_steer_flow *next = TAILQ_NEXT(flow, link);

		if (check_idle_flow(steer, now_ms, flow))
			keep_or_remove(steer, flow);
		flow = next;
	}
	flow = TAILQ_FIRST(&steer->flows.kept);
	while (flow && now_ms >= flow->last_ms + LONG_FLOW_IDLE_MS) {
		cm_steer_remove_flow(steer, flow);
		flow = TAILQ_FIRST(&steer->flows.kept);
	}
}

static uint32_t take_results(struct cm_steer *steer,
			     struct cm_steer_flow_results *results,
			     uint32_t *tokens)
{
	uint32_t count;

	pthread_mutex_lock(&steer->lock);
	count = results->count;
	memcpy(tokens, results->tokens, count * sizeof(*tokens));
	results->count = 0;
	pthread_mutex_unlock(&steer->lock);
	return count;
}

uint32_t cm_steer_take_failures(struct cm_steer *steer, uint32_t *tokens)
{
	return take_results(steer, &steer->failures, tokens);
}

uint32_t cm_steer_take_successes(struct cm_steer *steer, uint32_t *tokens)
{
	return take_results(steer, &steer->successes, tokens);
}

static void eject_server(struct cm_steer *steer, uint64_t now_ms,
			 struct cm_steer_server *server)
{
	if (now_ms >= server->health.ejected_until_ms) {
		cm_counters_add(&steer->counters, CM_C_STEER_EJECTED);
		cm_steer_record_change(steer, CM_STEER_CHANGE_EJECTED, NULL,
				       server);
	}
	cm_server_health_eject(&server->health, now_ms);
}

void cm_steer_eject(struct cm_steer *steer, uint64_t now_ms,
		    const uint32_t *tokens, uint32_t count)
{
	pthread_mutex_lock(&steer->lock);
	for (uint32_t i = 0; i < count; i++) {
		struct cm_steer_server *server = cm_steer_servers_find_by_token(
			&steer->servers, tokens[i]);

		if (server)
			eject_server(steer, now_ms, server);
	}
	pthread_mutex_unlock(&steer->lock);
}
