#include "node_maintain.h"

#include <ck_pr.h>
#include <netinet/in.h>

#include "chervilmast/membership.h"
#include "node_admit.h"
#include "node_internal.h"
#include "test_switch.h"

#define MS_PER_S 1000

static uint32_t half_open_timeout_ms(const struct cm_flow *flow)
{
	if (flow->state == CM_FLOW_OPENING)
		return CM_OPENING_TIMEOUT_MS;
	if (flow->state == CM_FLOW_PROBING)
		return CM_PROBING_TIMEOUT_MS;
	return CM_RELAYED_TIMEOUT_MS;
}

static uint32_t idle_timeout_ms(const struct cm_node *node,
				const struct cm_flow *flow)
{
	const struct cm_catalog *catalog = &node->view.catalog;
	uint32_t service = cm_catalog_find_service(catalog, &flow->key.service);

	if (service == CM_NONE)
		return 0;
	return catalog->services[service].spec.idle_timeout_s * MS_PER_S;
}

/* Lower bound of the idle timeouts of all services. */
static uint32_t shortest_idle_timeout_ms(const struct cm_node *node)
{
	const struct cm_catalog *catalog = &node->view.catalog;
	uint32_t shortest_s = UINT32_MAX / MS_PER_S;

	for (uint32_t i = 0; i < catalog->service_count; i++)
		if (catalog->services[i].spec.idle_timeout_s < shortest_s)
			shortest_s = catalog->services[i].spec.idle_timeout_s;
	return shortest_s * MS_PER_S;
}

void cm_node_reset_at_server(struct cm_node *node, const struct cm_flow *flow,
			     struct cm_actions *actions)
{
	const struct cm_catalog *catalog = &node->view.catalog;
	uint32_t server = cm_catalog_find_server(catalog, &flow->server);
	struct cm_action *action;

	if (!cm_flow_is_held(flow) || !(flow->flags & CM_FLOW_SEQ_KNOWN) ||
	    flow->key.caller.protocol != IPPROTO_TCP || server == CM_NONE ||
	    !cm_catalog_server_domain_is_in(catalog, server))
		return;
	action = cm_actions_add(actions, CM_ACTION_TO_SERVER);
	if (!action)
		return;
	action->flow = flow->key;
	action->server = flow->server;
	cm_packet_build_reset(&action->built, &flow->key.caller, &flow->server,
			      flow->seq, NULL);
	cm_counters_add(&node->counters, CM_C_FLOWS_CANCELLED);
}

/*
 * Without a lease, or after a pause at least as long as a lease, another
 * instance may have been home of this instance's servers.
 */
static void record_other_home(struct cm_node *node, uint64_t now_ms)
{
	if (now_ms >= ck_pr_load_64(&node->admit_until_ms) ||
	    now_ms - ck_pr_load_64(&node->last_tick_ms) >= CM_LEASE_MS)
		node->last_other_home_ms = now_ms;
}

/*
 * Whether no other instance can have handled a packet of the flow since the
 * last one that this instance has seen. If one can, the connection may be in
 * use and is not reset. An OPENING flow is never reset, as its SYN-ACK may have
 * passed through another instance; if the caller has not acknowledged the
 * SYN-ACK, the server ends the connection by its own timeout.
 */
static bool has_seen_all_packets(const struct cm_node *node,
				 const struct cm_flow *flow, uint64_t now_ms)
{
	if (cm_switched_off(CM_SWITCH_IDLE_CANCEL))
		return true;
	return flow->state == CM_FLOW_OPEN &&
	       cm_flow_age_ms(now_ms, flow->last_packet_ms) <
		       now_ms - node->last_other_home_ms;
}

static void expire(struct cm_node *node, struct cm_flow_shard *shard,
		   struct cm_flow *flow, uint64_t now_ms,
		   struct cm_actions *actions)
{
	if (has_seen_all_packets(node, flow, now_ms))
		cm_node_reset_at_server(node, flow, actions);
	cm_node_release(node, flow);
	cm_flow_shard_remove(shard, flow);
	cm_counters_add(&node->counters, CM_C_FLOWS_IDLE);
}

static void expire_half_open(struct cm_node *node, struct cm_flow_shard *shard,
			     uint64_t now_ms, struct cm_actions *actions)
{
	struct cm_flow *flow, *next;

	for (flow = TAILQ_FIRST(&shard->half_open); flow; flow = next) {
		uint32_t start_ms = flow->state == CM_FLOW_PROBING ?
					    flow->last_packet_ms :
					    flow->since_ms;

		next = TAILQ_NEXT(flow, age);
		if (cm_flow_age_ms(now_ms, start_ms) >=
		    half_open_timeout_ms(flow))
			expire(node, shard, flow, now_ms, actions);
	}
}

static void expire_established(struct cm_node *node,
			       struct cm_flow_shard *shard, uint64_t now_ms,
			       uint32_t shortest_ms, struct cm_actions *actions)
{
	struct cm_flow *flow, *next;

	for (flow = TAILQ_FIRST(&shard->established); flow; flow = next) {
		uint32_t idle_ms = cm_flow_age_ms(now_ms, flow->last_packet_ms);

		next = TAILQ_NEXT(flow, age);
		if (idle_ms < shortest_ms ||
		    cm_switched_off(CM_SWITCH_IDLE_TIMEOUT))
			break;
		if (idle_ms >= idle_timeout_ms(node, flow))
			expire(node, shard, flow, now_ms, actions);
	}
}

static void expire_closing(struct cm_flow_shard *shard, uint64_t now_ms)
{
	struct cm_flow *flow;

	while ((flow = TAILQ_FIRST(&shard->closing)) &&
	       cm_flow_age_ms(now_ms, flow->since_ms) >= CM_CLOSING_TIMEOUT_MS)
		cm_flow_shard_remove(shard, flow);
}

/*
 * Starts takeovers at the first tick after a change of home rather than at the
 * first new flow, so that the deadlines of a takeover count from the change.
 */
static void start_due_takeovers(struct cm_node *node, uint64_t now_ms)
{
	for (uint32_t i = 0; i < node->view.catalog.server_count; i++)
		if (node->view.homes[i].member == node->view.self)
			cm_admit_take_over(node, i, now_ms);
}

void cm_node_tick(struct cm_node *node, uint64_t now_ms,
		  struct cm_actions *actions)
{
	uint32_t shortest_ms;

	record_other_home(node, now_ms);
	ck_pr_store_64(&node->last_tick_ms, now_ms);
	cm_slot_lock_read(&node->view_lock);
	start_due_takeovers(node, now_ms);
	shortest_ms = shortest_idle_timeout_ms(node);
	for (int i = 0; i < CM_FLOW_SHARDS; i++) {
		struct cm_flow_shard *shard = &node->flows.shards[i];

		pthread_mutex_lock(&shard->lock);
		expire_half_open(node, shard, now_ms, actions);
		expire_established(node, shard, now_ms, shortest_ms, actions);
		expire_closing(shard, now_ms);
		pthread_mutex_unlock(&shard->lock);
	}
	cm_node_sweep(node, now_ms, actions);
	cm_slot_lock_end_read(&node->view_lock);
}

/*
 * Sets the server of a flow from an announced binding. Bindings that are only
 * inferred are not announced, so CM_FLOW_INFERRED is cleared. If the server
 * changes, the flags that describe the connection with the previous server are
 * cleared as well.
 */
static void flow_set_server(struct cm_flow *flow,
			    const struct cm_endpoint *server)
{
	flow->flags &= (uint8_t)~CM_FLOW_INFERRED;
	if (cm_endpoint_equal(&flow->server, server))
		return;
	flow->server = *server;
	flow->flags &= (uint8_t) ~(CM_FLOW_CONFIRMED | CM_FLOW_AWAITING_ACK |
				   CM_FLOW_SEQ_KNOWN);
}

void cm_node_record_binding(struct cm_node *node, uint64_t now_ms,
			    const struct cm_flow_key *key,
			    const struct cm_endpoint *server)
{
	uint64_t hash = cm_flow_key_hash(key);
	struct cm_flow_shard *shard = cm_flow_table_shard(&node->flows, hash);
	struct cm_flow *flow;

	pthread_mutex_lock(&shard->lock);
	flow = cm_flow_shard_find(shard, key, hash);
	if (!flow)
		flow = cm_flow_shard_add(shard, key, hash, CM_FLOW_BOUND,
					 now_ms);
	else if (flow->state == CM_FLOW_RELAYED ||
		 flow->state == CM_FLOW_PROBING)
		cm_flow_shard_set_state(shard, flow, CM_FLOW_BOUND, now_ms);
	if (flow && flow->state == CM_FLOW_BOUND) {
		flow_set_server(flow, server);
		flow->announced_hash = 0;
		cm_flow_free_half_open(flow);
		cm_flow_shard_touch(shard, flow, now_ms);
	}
	pthread_mutex_unlock(&shard->lock);
	cm_counters_add(&node->counters, CM_C_BINDINGS_LEARNED);
}
