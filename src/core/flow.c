#include "chervilmast/flow.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

#define FIRST_BUCKETS 64
/* The upper bits of a hash select the shard, the lower bits the bucket. */
#define SHARD_SHIFT 48

static int shard_init(struct cm_flow_shard *shard)
{
	memset(shard, 0, sizeof(*shard));
	TAILQ_INIT(&shard->half_open);
	TAILQ_INIT(&shard->established);
	TAILQ_INIT(&shard->closing);
	shard->buckets = calloc(FIRST_BUCKETS, sizeof(*shard->buckets));
	if (!shard->buckets)
		return CM_E_MEMORY;
	shard->bucket_mask = FIRST_BUCKETS - 1;
	pthread_mutex_init(&shard->lock, NULL);
	return CM_OK;
}

static void list_free(struct cm_flow_list *list)
{
	struct cm_flow *flow;

	while ((flow = TAILQ_FIRST(list))) {
		TAILQ_REMOVE(list, flow, age);
		free(flow->half_open);
		free(flow);
	}
}

static void shard_finish(struct cm_flow_shard *shard)
{
	if (!shard->buckets)
		return;
	list_free(&shard->half_open);
	list_free(&shard->established);
	list_free(&shard->closing);
	free(shard->buckets);
	shard->buckets = NULL;
	pthread_mutex_destroy(&shard->lock);
}

int cm_flow_table_init(struct cm_flow_table *table)
{
	memset(table, 0, sizeof(*table));
	for (int i = 0; i < CM_FLOW_SHARDS; i++) {
		int error = shard_init(&table->shards[i]);

		if (error) {
			cm_flow_table_finish(table);
			return error;
		}
	}
	return CM_OK;
}

void cm_flow_table_finish(struct cm_flow_table *table)
{
	for (int i = 0; i < CM_FLOW_SHARDS; i++)
		shard_finish(&table->shards[i]);
}

struct cm_flow_shard *cm_flow_table_shard(struct cm_flow_table *table,
					  uint64_t hash)
{
	return &table->shards[hash >> SHARD_SHIFT & (CM_FLOW_SHARDS - 1)];
}

struct cm_flow *cm_flow_shard_find(struct cm_flow_shard *shard,
				   const struct cm_flow_key *key, uint64_t hash)
{
	struct cm_flow *flow;

	SLIST_FOREACH(flow, &shard->buckets[hash & shard->bucket_mask], chain)
	if (cm_flow_key_equal(&flow->key, key))
		return flow;
	return NULL;
}

static bool state_is_half_open(enum cm_flow_state state)
{
	return state == CM_FLOW_OPENING || state == CM_FLOW_RELAYED ||
	       state == CM_FLOW_PROBING;
}

static struct cm_flow_list *age_list(struct cm_flow_shard *shard,
				     const struct cm_flow *flow)
{
	if (state_is_half_open(flow->state))
		return &shard->half_open;
	if (flow->state == CM_FLOW_CLOSING)
		return &shard->closing;
	return &shard->established;
}

static void age_insert(struct cm_flow_shard *shard, struct cm_flow *flow)
{
	if (state_is_half_open(flow->state))
		shard->half_open_count++;
	TAILQ_INSERT_TAIL(age_list(shard, flow), flow, age);
}

static void age_remove(struct cm_flow_shard *shard, struct cm_flow *flow)
{
	if (state_is_half_open(flow->state))
		shard->half_open_count--;
	TAILQ_REMOVE(age_list(shard, flow), flow, age);
}

/* Doubles the number of buckets; if out of memory, keeps the old ones. */
static void shard_grow(struct cm_flow_shard *shard)
{
	uint32_t mask = shard->bucket_mask * 2 + 1;
	struct cm_flow_chain *buckets = calloc(mask + 1, sizeof(*buckets));

	if (!buckets)
		return;
	for (uint32_t i = 0; i <= shard->bucket_mask; i++) {
		struct cm_flow *flow;

		while ((flow = SLIST_FIRST(&shard->buckets[i]))) {
			uint64_t hash = cm_flow_key_hash(&flow->key);

			SLIST_REMOVE_HEAD(&shard->buckets[i], chain);
			SLIST_INSERT_HEAD(&buckets[hash & mask], flow, chain);
		}
	}
	free(shard->buckets);
	shard->buckets = buckets;
	shard->bucket_mask = mask;
}

struct cm_flow *cm_flow_shard_add(struct cm_flow_shard *shard,
				  const struct cm_flow_key *key, uint64_t hash,
				  enum cm_flow_state state, uint64_t now_ms)
{
	struct cm_flow *flow = calloc(1, sizeof(*flow));

	if (!flow)
		return NULL;
	if (shard->count > shard->bucket_mask)
		shard_grow(shard);
	flow->key = *key;
	flow->state = state;
	flow->last_packet_ms = (uint32_t)now_ms;
	flow->since_ms = (uint32_t)now_ms;
	SLIST_INSERT_HEAD(&shard->buckets[hash & shard->bucket_mask], flow,
			  chain);
	age_insert(shard, flow);
	shard->count++;
	return flow;
}

void cm_flow_shard_set_state(struct cm_flow_shard *shard, struct cm_flow *flow,
			     enum cm_flow_state state, uint64_t now_ms)
{
	age_remove(shard, flow);
	flow->state = state;
	flow->since_ms = (uint32_t)now_ms;
	age_insert(shard, flow);
}

void cm_flow_shard_touch(struct cm_flow_shard *shard, struct cm_flow *flow,
			 uint64_t now_ms)
{
	flow->last_packet_ms = (uint32_t)now_ms;
	if (flow->state != CM_FLOW_OPEN && flow->state != CM_FLOW_BOUND)
		return;
	TAILQ_REMOVE(&shard->established, flow, age);
	TAILQ_INSERT_TAIL(&shard->established, flow, age);
}

void cm_flow_shard_remove(struct cm_flow_shard *shard, struct cm_flow *flow)
{
	uint64_t hash = cm_flow_key_hash(&flow->key);

	SLIST_REMOVE(&shard->buckets[hash & shard->bucket_mask], flow, cm_flow,
		     chain);
	age_remove(shard, flow);
	shard->count--;
	free(flow->half_open);
	free(flow);
}

void cm_flow_save_header(struct cm_flow *flow, const struct cm_packet *packet)
{
	if (!flow->half_open)
		flow->half_open = calloc(1, sizeof(*flow->half_open));
	if (flow->half_open)
		cm_packet_copy_headers(&flow->half_open->header, packet);
}

void cm_flow_free_half_open(struct cm_flow *flow)
{
	free(flow->half_open);
	flow->half_open = NULL;
}

uint32_t cm_flow_age_ms(uint64_t now_ms, uint32_t then_ms)
{
	uint32_t age_ms = (uint32_t)now_ms - then_ms;

	return age_ms <= INT32_MAX ? age_ms : 0;
}

bool cm_flow_is_held(const struct cm_flow *flow)
{
	return flow->state == CM_FLOW_OPENING || flow->state == CM_FLOW_OPEN;
}
