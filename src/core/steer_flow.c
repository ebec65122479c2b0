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
	TAILQ_INIT(&flows->age);
	TAILQ_INIT(&flows->spare);
	flows->most = max;
}

void cm_steer_flows_finish(struct cm_steer_flows *flows)
{
	while (!TAILQ_EMPTY(&flows->age))
		cm_steer_flows_remove(flows, TAILQ_FIRST(&flows->age));
	while (!TAILQ_EMPTY(&flows->spare)) {
		struct cm_steer_flow *flow = TAILQ_FIRST(&flows->spare);

		TAILQ_REMOVE(&flows->spare, flow, age);
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

static struct cm_steer_flow *take_record(struct cm_steer_flows *flows)
{
	struct cm_steer_flow *flow = TAILQ_FIRST(&flows->spare);

	if (!flow)
		return calloc(1, sizeof(*flow));
	TAILQ_REMOVE(&flows->spare, flow, age);
	memset(flow, 0, sizeof(*flow));
	return flow;
}

struct cm_steer_flow *cm_steer_flows_add(struct cm_steer_flows *flows,
					 const struct cm_flow_key *key,
					 uint32_t token, uint64_t now_ms,
					 uint64_t active_ms)
{
	struct cm_steer_flow *flow = take_record(flows);

	if (!flow)
		return NULL;
	flow->key = *key;
	flow->token = token;
	flow->syn_ms = now_ms;
	flow->syn_active_ms = active_ms;
	flow->last_ms = now_ms;
	LIST_INSERT_HEAD(flow_bucket(flows, key), flow, bucket);
	TAILQ_INSERT_TAIL(&flows->opening, flow, opening);
	TAILQ_INSERT_TAIL(&flows->age, flow, age);
	flows->count++;
	return flow;
}

bool cm_steer_flows_is_full(const struct cm_steer_flows *flows)
{
	return flows->count >= flows->most;
}

struct cm_steer_flow *cm_steer_flows_oldest(const struct cm_steer_flows *flows)
{
	return TAILQ_FIRST(&flows->age);
}

void cm_steer_flows_touch(struct cm_steer_flows *flows,
			  struct cm_steer_flow *flow, uint64_t now_ms)
{
	flow->last_ms = now_ms;
	TAILQ_REMOVE(&flows->age, flow, age);
	TAILQ_INSERT_TAIL(&flows->age, flow, age);
}

void cm_steer_flows_settle(struct cm_steer_flows *flows,
			   struct cm_steer_flow *flow, bool is_open)
{
	TAILQ_REMOVE(&flows->opening, flow, opening);
	flow->is_open = is_open;
	flow->is_judged = !is_open;
}

void cm_steer_flows_remove(struct cm_steer_flows *flows,
			   struct cm_steer_flow *flow)
{
	if (!flow->is_open && !flow->is_judged)
		TAILQ_REMOVE(&flows->opening, flow, opening);
	LIST_REMOVE(flow, bucket);
	TAILQ_REMOVE(&flows->age, flow, age);
	TAILQ_INSERT_HEAD(&flows->spare, flow, age);
	flows->count--;
}
