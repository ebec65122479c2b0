/**
 * DOC: Copy of the state that a choice may change
 *
 * A choice updates sums, token buckets and counts of the servers that it
 * compares. To evaluate a choice without an effect, their state is copied
 * before and restored after it, with the instance's lock held throughout.
 */
#ifndef CORE_POOL_COPY_H
#define CORE_POOL_COPY_H

#include "chervilmast/steer.h"

/**
 * struct cm_pool_copy - copied state
 * @steer: the instance
 * @pool: the servers of a service
 * @domains: copy of the known failure domains
 * @servers_examined: copy of the number of servers examined
 * @pool_state: copy of @pool
 * @groups: copies of the groups of @pool
 * @servers: copies of the servers of @pool, group by group
 */
struct cm_pool_copy {
	struct cm_steer *steer;
	struct cm_server_pool *pool;
	struct cm_steer_domains domains;
	uint64_t servers_examined;
	struct cm_server_pool pool_state;
	struct cm_server_group *groups;
	struct cm_steer_server *servers;
};

/**
 * cm_pool_copy_init() - copy the state
 * @copy: uninitialized memory, owned by the calling function
 * @steer: the instance; its lock is held until cm_pool_copy_restore()
 * @pool: the servers of a service
 *
 * Return: 0 or CM_E_MEMORY; @copy then needs no cm_pool_copy_restore().
 */
int cm_pool_copy_init(struct cm_pool_copy *copy, struct cm_steer *steer,
		      struct cm_server_pool *pool);

/**
 * cm_pool_copy_restore() - restore the state and free the copy
 * @copy: the copy; no server was added or removed since it was made
 */
void cm_pool_copy_restore(struct cm_pool_copy *copy);

#endif
