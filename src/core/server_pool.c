#include "chervilmast/server_pool.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "chervilmast/steer_server.h"

/** Initial capacity of a group; doubled when it is full. */
#define INITIAL_CAPACITY 8
#define EIGHTHS 8

static struct cm_server_pool_list *
bucket_of(const struct cm_server_pools *pools, uint64_t service_hash)
{
	return (struct cm_server_pool_list *)&pools
		->buckets[service_hash % CM_POOL_BUCKETS];
}

void cm_server_pools_init(struct cm_server_pools *pools, uint64_t seed)
{
	memset(pools, 0, sizeof(*pools));
	pools->seed = seed;
}

static void group_free(struct cm_server_group *group)
{
	LIST_REMOVE(group, link);
	free(group->members);
	free(group);
}

static void pool_free(struct cm_server_pool *pool)
{
	struct cm_server_group *group = LIST_FIRST(&pool->groups);

	while (group) {
		struct cm_server_group *next = LIST_NEXT(group, link);

		group_free(group);
		group = next;
	}
	LIST_REMOVE(pool, link);
	free(pool);
}

void cm_server_pools_finish(struct cm_server_pools *pools)
{
	for (uint32_t i = 0; i < CM_POOL_BUCKETS; i++) {
		struct cm_server_pool *pool = LIST_FIRST(&pools->buckets[i]);

		while (pool) {
			struct cm_server_pool *next = LIST_NEXT(pool, link);

			pool_free(pool);
			pool = next;
		}
	}
}

struct cm_server_pool *cm_server_pools_find(const struct cm_server_pools *pools,
					    uint64_t service_hash)
{
	struct cm_server_pool *pool;

	LIST_FOREACH(pool, bucket_of(pools, service_hash), link)
	if (pool->service_hash == service_hash)
		return pool;
	return NULL;
}

static struct cm_server_pool *find_or_add_pool(struct cm_server_pools *pools,
					       uint64_t service_hash)
{
	struct cm_server_pool *pool = cm_server_pools_find(pools, service_hash);

	if (pool)
		return pool;
	pool = calloc(1, sizeof(*pool));
	if (!pool)
		return NULL;
	pool->service_hash = service_hash;
	LIST_INSERT_HEAD(bucket_of(pools, service_hash), pool, link);
	return pool;
}

static struct cm_server_group *find_or_add_group(struct cm_server_pool *pool,
						 uint64_t domain_hash)
{
	struct cm_server_group *group;

	LIST_FOREACH(group, &pool->groups, link)
	if (group->domain_hash == domain_hash)
		return group;
	group = calloc(1, sizeof(*group));
	if (!group)
		return NULL;
	group->domain_hash = domain_hash;
	LIST_INSERT_HEAD(&pool->groups, group, link);
	return group;
}

static int reserve(struct cm_server_group *group)
{
	uint32_t capacity =
		group->capacity ? group->capacity * 2 : INITIAL_CAPACITY;
	struct cm_steer_server **members;

	if (group->count < group->capacity)
		return CM_OK;
	members = realloc(group->members,
			  capacity * sizeof(struct cm_steer_server *));
	if (!members)
		return CM_E_MEMORY;
	group->members = members;
	group->capacity = capacity;
	return CM_OK;
}

static void set_member(struct cm_server_group *group, uint32_t index,
		       struct cm_steer_server *server)
{
	group->members[index] = server;
	server->group_index = index;
}

/*
 * Puts the new server at a pseudo-random position and moves the one there to
 * the end.
 */
static void insert(struct cm_server_group *group,
		   struct cm_steer_server *server, uint64_t seed)
{
	uint32_t index = (uint32_t)(cm_hash_mix(server->token, seed) %
				    (group->count + 1));
	uint32_t last = group->count++;

	if (index != last)
		set_member(group, last, group->members[index]);
	set_member(group, index, server);
	if (last == 0)
		return;
	if (group->next_index >= group->count)
		group->next_index = 0;
}

int cm_server_pools_add(struct cm_server_pools *pools,
			struct cm_steer_server *server)
{
	struct cm_server_pool *pool =
		find_or_add_pool(pools, server->service_hash);
	struct cm_server_group *group =
		pool ? find_or_add_group(pool, server->domain_hash) : NULL;

	if (!group || reserve(group)) {
		if (pool && !pool->count)
			pool_free(pool);
		return CM_E_MEMORY;
	}
	insert(group, server, pools->seed);
	server->pool = pool;
	server->group = group;
	pool->count++;
	pool->own_load += server->load.own;
	pool->summed_ms = 0;
	return CM_OK;
}

void cm_server_pools_remove(struct cm_server_pools *pools,
			    struct cm_steer_server *server)
{
	struct cm_server_group *group = server->group;
	struct cm_server_pool *pool = server->pool;

	(void)pools;
	if (!group)
		return;
	set_member(group, server->group_index, group->members[--group->count]);
	if (group->next_index >= group->count)
		group->next_index = 0;
	server->group = NULL;
	server->pool = NULL;
	pool->own_load -= server->load.own < pool->own_load ? server->load.own :
							      pool->own_load;
	pool->summed_ms = 0;
	if (!group->count)
		group_free(group);
	if (!--pool->count)
		pool_free(pool);
}

void cm_server_pool_flow_opened(struct cm_steer_server *server)
{
	server->open_flows++;
}

void cm_server_pool_syn_answered(struct cm_server_pool *pool, uint32_t took_ms)
{
	if (!pool->handshake_ms_eighths)
		pool->handshake_ms_eighths = took_ms * EIGHTHS;
	pool->handshake_ms_eighths -= pool->handshake_ms_eighths / EIGHTHS;
	pool->handshake_ms_eighths += took_ms;
}

void cm_server_pool_flow_closed(struct cm_steer_server *server)
{
	if (server->open_flows)
		server->open_flows--;
}
