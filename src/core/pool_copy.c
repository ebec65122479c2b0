#include "pool_copy.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "test_switch.h"

static uint32_t count_groups(const struct cm_server_pool *pool)
{
	const struct cm_server_group *group;
	uint32_t count = 0;

	LIST_FOREACH(group, &pool->groups, link)
	count++;
	return count;
}

static uint32_t count_members(const struct cm_server_pool *pool)
{
	const struct cm_server_group *group;
	uint32_t count = 0;

	LIST_FOREACH(group, &pool->groups, link)
	count += group->count;
	return count;
}

static void copy_groups(struct cm_pool_copy *copy)
{
	struct cm_steer_server *server = copy->servers;
	struct cm_server_group *state = copy->groups;
	const struct cm_server_group *group;

	LIST_FOREACH(group, &copy->pool->groups, link)
	{
		*state++ = *group;
		for (uint32_t i = 0; i < group->count; i++)
			*server++ = *group->members[i];
	}
}

int cm_pool_copy_init(struct cm_pool_copy *copy, struct cm_steer *steer,
		      struct cm_server_pool *pool)
{
	copy->steer = steer;
	copy->pool = pool;
	copy->domains = steer->peers.domains;
	copy->servers_examined = steer->servers_examined;
	copy->pool_state = *pool;
	/* 1 is added because calloc() of 0 elements may return NULL. */
	copy->groups = calloc(count_groups(pool) + 1, sizeof(*copy->groups));
	copy->servers = calloc(count_members(pool) + 1, sizeof(*copy->servers));
	if (!copy->groups || !copy->servers) {
		free(copy->groups);
		free(copy->servers);
		return CM_E_MEMORY;
	}
	copy_groups(copy);
	return CM_OK;
}

static void restore_state(struct cm_pool_copy *copy)
{
	const struct cm_steer_server *server = copy->servers;
	const struct cm_server_group *state = copy->groups;
	struct cm_server_group *group;

	copy->steer->peers.domains = copy->domains;
	copy->steer->servers_examined = copy->servers_examined;
	*copy->pool = copy->pool_state;
	LIST_FOREACH(group, &copy->pool->groups, link)
	{
		*group = *state++;
		for (uint32_t i = 0; i < group->count; i++)
			*group->members[i] = *server++;
	}
}

void cm_pool_copy_restore(struct cm_pool_copy *copy)
{
	if (!cm_switched_off(CM_SWITCH_EXPLAIN_RESTORE))
		restore_state(copy);
	free(copy->groups);
	free(copy->servers);
}
