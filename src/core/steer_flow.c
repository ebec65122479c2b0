#include "chervilmast/steer_flow.h"

#include <stdlib.h>
#include <string.h>

static struct cm_steer_flow_bucket *
flow_bucket(const struct cm_steer_flows *flows, const struct cm_flow_key *key)
{
	uint64_t hash = cm_flow_key_hash(key);

	return (struct cm_steer_flow_bucket *)&flows
		->buckets[hash % CM_STEER_FLOW_BUCKETS];
}

void cm_steer_flows_init(struct cm_steer_flows *flows, uint32_t max)
{
	memset(flows, 0, sizeof(*flows));
	TAILQ_INIT(&flows->opening);
	TAILQ_INIT(&flows->lru);
	TAILQ_INIT(&flows->kept);
	TAILQ_INIT(&flows->free_list);
	flows->max = max;
}

void cm_steer_flows_finish(struct cm_steer_flows *flows)
{
	while (!TAILQ_EMPTY(&flows->kept))
		cm_steer_flows_remove(flows, TAILQ_FIRST(&flows->kept));
	while (!TAILQ_EMPTY(&flows->lru))
		cm_steer_flows_remove(flows, TAILQ_FIRST(&flows->lru));
	while (!TAILQ_EMPTY(&flows->free_list)) {
		struct cm_steer_flow *flow = TAILQ_FIRST(&flows->free_list);

		TAILQ_REMOVE(&flows->free_list, flow, link);
		free(flow);
	}
}

struct cm_steer_flow *cm_steer_flows_find(const struct cm_steer_flows *flows,
					  const struct cm_flow_key *key)
{
	struct cm_steer_flow *flow;

	LIST_FOREACH(flow, flow_bucket(flows, key), bucket)
	if (cm_flow_key_equal(&flow->key, key))
		return flow;
	return NULL;
}

static struct cm_steer_flow *alloc_flow(struct cm_steer_flows *flows)
{
	struct cm_steer_flow *flow = TAILQ_FIRST(&flows->free_list);

	if (!flow)
		return calloc(1, sizeof(*flow));
	TAILQ_REMOVE(&flows->free_list, flow, link);
	memset(flow, 0, sizeof(*flow));
	return flow;
}

static struct cm_steer_flow *add_flow(struct cm_steer_flows *flows,
				      const struct cm_flow_key *key,
				      uint32_t token, uint64_t now_ms)
{
	struct cm_steer_flow *flow = alloc_flow(flows);

	if (!flow)
		return NULL;
	flow->key = *key;
	flow->token = token;
	flow->syn_ms = now_ms;
	flow->last_ms = now_ms;
	LIST_INSERT_HEAD(flow_bucket(flows, key), flow, bucket);
	TAILQ_INSERT_TAIL(&flows->lru, flow, link);
	flows->count++;
	return flow;
}

struct cm_steer_flow *cm_steer_flows_add(struct cm_steer_flows *flows,
					 const struct cm_flow_key *key,
					 uint32_t token, uint64_t now_ms,
					 uint64_t active_ms)
{
	struct cm_steer_flow *flow = add_flow(flows, key, token, now_ms);

	if (!flow)
		return NULL;
	flow->syn_active_ms = active_ms;
	TAILQ_INSERT_TAIL(&flows->opening, flow, opening);
	return flow;
}

struct cm_steer_flow *cm_steer_flows_adopt(struct cm_steer_flows *flows,
					   const struct cm_flow_key *key,
					   uint32_t token, uint64_t now_ms)
{
	struct cm_steer_flow *flow = add_flow(flows, key, token, now_ms);

	if (!flow)
		return NULL;
	flow->is_adopted = true;
	flow->is_open = true;
	return flow;
}

static struct cm_steer_flow_list *list_of(struct cm_steer_flows *flows,
					  const struct cm_steer_flow *flow)
{
	return flow->is_kept ? &flows->kept : &flows->lru;
}

void cm_steer_flows_keep(struct cm_steer_flows *flows,
			 struct cm_steer_flow *flow)
{
	TAILQ_REMOVE(&flows->lru, flow, link);
	flow->is_kept = true;
	TAILQ_INSERT_TAIL(&flows->kept, flow, link);
}

bool cm_steer_flows_is_full(const struct cm_steer_flows *flows)
{
	return flows->count >= flows->max;
}

struct cm_steer_flow *
cm_steer_flows_least_recent(const struct cm_steer_flows *flows)
{
	struct cm_steer_flow *kept = TAILQ_FIRST(&flows->kept);

	return kept ? kept : TAILQ_FIRST(&flows->lru);
}

void cm_steer_flows_touch(struct cm_steer_flows *flows,
			  struct cm_steer_flow *flow, uint64_t now_ms)
{
	flow->last_ms = now_ms;
	TAILQ_REMOVE(list_of(flows, flow), flow, link);
	flow->is_kept = false;
	TAILQ_INSERT_TAIL(&flows->lru, flow, link);
}

void cm_steer_flows_set_syn_result(struct cm_steer_flows *flows,
				   struct cm_steer_flow *flow, bool is_open)
{
	TAILQ_REMOVE(&flows->opening, flow, opening);
	flow->is_open = is_open;
	flow->is_unanswered = !is_open;
}

void cm_steer_flows_remove(struct cm_steer_flows *flows,
			   struct cm_steer_flow *flow)
{
	if (!flow->is_open && !flow->is_unanswered)
		TAILQ_REMOVE(&flows->opening, flow, opening);
	LIST_REMOVE(flow, bucket);
	TAILQ_REMOVE(list_of(flows, flow), flow, link);
	TAILQ_INSERT_HEAD(&flows->free_list, flow, link);
	flows->count--;
}
