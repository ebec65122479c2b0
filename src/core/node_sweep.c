#include "node_maintain.h"

#include <ck_pr.h>

#include "node_event.h"
#include "node_forward.h"
#include "node_internal.h"
#include "test_switch.h"

/*
 * Whether the caller may have a connection with another server than the flow's,
 * or may still open one.
 */
static bool server_is_uncertain(const struct cm_event *event,
				const struct cm_flow *flow)
{
	if (flow->flags & CM_FLOW_CONFIRMED ||
	    cm_switched_off(CM_SWITCH_UNSEEN_END))
		return false;
	return flow->state == CM_FLOW_OPENING ||
	       cm_flow_age_ms(event->now_ms, flow->since_ms) <
		       CM_UNCONFIRMED_MS;
}

/*
 * Ends a flow whose server may receive no more packets, and resets the caller's
 * connection if it is certain to be with that server.
 */
static void sweep_end(struct cm_event *event, struct cm_flow_shard *shard,
		      struct cm_flow *flow, enum cm_refusal refusal)
{
	if (!cm_flow_is_held(flow) || server_is_uncertain(event, flow)) {
		cm_node_release(event->node, flow);
		cm_flow_shard_remove(shard, flow);
		return;
	}
	cm_event_refuse_flow(event, flow, refusal);
	cm_node_release(event->node, flow);
	cm_flow_free_half_open(flow);
	cm_flow_shard_set_state(shard, flow, CM_FLOW_CLOSING, event->now_ms);
}

/*
 * Hands a held flow over if another instance is now the home of its server;
 * only the binding is kept here. An OPENING flow becomes RELAYED: its server
 * may not have received the SYN, and the new home may then choose another
 * server.
 */
static void sweep_hand_over(struct cm_event *event, struct cm_flow_shard *shard,
			    struct cm_flow *flow, uint32_t server)
{
	uint32_t home = cm_event_home(event, server);
	enum cm_flow_state state = CM_FLOW_BOUND;

	if (flow->state == CM_FLOW_OPENING &&
	    !cm_switched_off(CM_SWITCH_OPENING_PASSED))
		state = CM_FLOW_RELAYED;
	if (!cm_flow_is_held(flow) || home == CM_NONE ||
	    cm_event_is_self(event, home) ||
	    cm_switched_off(CM_SWITCH_HAND_OVER))
		return;
	cm_node_release(event->node, flow);
	cm_flow_free_half_open(flow);
	cm_flow_shard_set_state(shard, flow, state, event->now_ms);
}

static void sweep_flow(struct cm_event *event, struct cm_flow_shard *shard,
		       struct cm_flow *flow)
{
	const struct cm_view *view = &event->node->view;
	enum cm_refusal refusal;
	uint32_t server;

	if (flow->state == CM_FLOW_CLOSING)
		return;
	event->key = flow->key;
	event->hash = cm_flow_key_hash(&flow->key);
	event->service =
		cm_catalog_find_service(&view->catalog, &flow->key.service);
	if (event->service == CM_NONE) {
		sweep_end(event, shard, flow, CM_REFUSAL_SERVER_WITHDRAWN);
		return;
	}
	cm_view_candidates(view, event->service, event->hash,
			   &event->candidates);
	if (!cm_event_server_is_usable(event, &flow->server, &server,
				       &refusal)) {
		sweep_end(event, shard, flow, refusal);
		return;
	}
	sweep_hand_over(event, shard, flow, server);
	if (flow->state == CM_FLOW_OPEN || flow->state == CM_FLOW_BOUND)
		cm_event_announce(event, flow);
}

static void sweep_list(struct cm_event *event, struct cm_flow_shard *shard,
		       struct cm_flow_list *list)
{
	struct cm_flow *flow, *next;
	struct cm_flow *last = TAILQ_LAST(list, cm_flow_list);

	/* Stop at the old tail: flows that change state are appended. */
	for (flow = TAILQ_FIRST(list); flow; flow = next) {
		next = flow == last ? NULL : TAILQ_NEXT(flow, age);
		sweep_flow(event, shard, flow);
	}
}

static void sweep_shard(struct cm_event *event, struct cm_flow_shard *shard)
{
	pthread_mutex_lock(&shard->lock);
	sweep_list(event, shard, &shard->half_open);
	sweep_list(event, shard, &shard->established);
	pthread_mutex_unlock(&shard->lock);
}

void cm_node_sweep(struct cm_node *node, uint64_t now_ms,
		   struct cm_actions *actions)
{
	struct cm_event event = {
		.node = node,
		.now_ms = now_ms,
		.actions = actions,
	};

	if (cm_switched_off(CM_SWITCH_SWEEP) || node->view.self == CM_NONE)
		return;
	if (ck_pr_fas_32(&node->sweep_due, 0)) {
		for (int i = 0; i < CM_FLOW_SHARDS; i++)
			sweep_shard(&event, &node->flows.shards[i]);
		return;
	}
	if (now_ms < node->shard_sweep_due_ms)
		return;
	/* A graceful shutdown waits for these sweeps, so none is delayed. */
	if (!node->is_leaving)
		node->shard_sweep_due_ms = now_ms + CM_SWEEP_SHARD_MS;
	if (!node->sweep_shard && !ck_pr_fas_32(&node->announces_deferred, 0))
		return;
	sweep_shard(&event, &node->flows.shards[node->sweep_shard]);
	node->sweep_shard = (node->sweep_shard + 1) % CM_FLOW_SHARDS;
}
