/**
 * DOC: Backend servers by service and failure domain
 *
 * To place a flow, an instance compares a few servers of one service, those of
 * its own failure domain first. Each group keeps its servers in an order that
 * differs from instance to instance. A choice begins at the server after the
 * one that was chosen last, so that all servers are considered in turn.
 */
#ifndef CHERVILMAST_SERVER_POOL_H
#define CHERVILMAST_SERVER_POOL_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "chervilmast/congestion.h"
#include "chervilmast/response_time.h"

/** Number of hash buckets of pools; a power of two. */
#define CM_POOL_BUCKETS 256

struct cm_steer_server;

/**
 * struct cm_server_group - servers of a service in a failure domain
 * @domain_hash: hash of the name of the failure domain
 * @members: the servers
 * @count: number of @members
 * @capacity: allocated length of @members
 * @next_index: index in @members at which the next choice begins
 * @usable_count: number of usable members at the last update of the pool's sums
 * @congestion: congestion of the members, as the requests of this instance show
 *              it; 0 for services whose requests are not observed
 * @link: link in the pool
 */
struct cm_server_group {
	uint64_t domain_hash;
	struct cm_steer_server **members;
	uint32_t count;
	uint32_t capacity;
	uint32_t next_index;
	uint32_t usable_count;
	struct cm_congestion congestion;
	LIST_ENTRY(cm_server_group) link;
};

LIST_HEAD(cm_server_group_list, cm_server_group);

/**
 * struct cm_pool_sums - sums over the usable servers of a service
 * @service_time_sum: sum of their known service times, eighths of ms
 * @service_time_count: number of servers in @service_time_sum
 * @failed_sum: sum of their known shares of failed flows, thousandths
 * @failed_count: number of servers in @failed_sum
 * @usable_count: number of usable servers
 * @slots: sum of their slots, the requests that they process concurrently
 * @ejected_count: number of usable servers that are ejected
 * @local_count: number of usable servers in the instance's failure domain
 * @known_count: number of these for which the loads caused by other instances
 *               are known
 * @known_load: sum of the loads of these servers, thousandths of a slot
 * @known_slots: sum of their slots
 */
struct cm_pool_sums {
	uint64_t service_time_sum;
	uint32_t service_time_count;
	uint64_t failed_sum;
	uint32_t failed_count;
	uint32_t usable_count;
	uint64_t slots;
	uint32_t ejected_count;
	uint32_t local_count;
	uint32_t known_count;
	uint64_t known_load;
	uint64_t known_slots;
};

/**
 * struct cm_server_pool - servers of a service
 * @service_hash: hash of the name of the service
 * @groups: the servers by failure domain
 * @count: number of servers
 * @own_load: sum of the loads of this instance's flows at the servers in
 *            @groups, thousandths of a slot
 * @handshake_ms_eighths: smoothed time from SYN to the caller's next packet,
 *                        eighths of ms; 0 when unknown
 * @response_time: estimated time from request to response
 * @sums: sums over the usable servers
 * @summed_ms: when @sums was last updated, ms; 0 when it is out of date
 * @link: link in the bucket of the service
 */
struct cm_server_pool {
	uint64_t service_hash;
	struct cm_server_group_list groups;
	uint32_t count;
	uint32_t own_load;
	uint32_t handshake_ms_eighths;
	struct cm_response_time response_time;
	struct cm_pool_sums sums;
	uint64_t summed_ms;
	LIST_ENTRY(cm_server_pool) link;
};

LIST_HEAD(cm_server_pool_list, cm_server_pool);

/**
 * struct cm_server_pools - the pools of all services
 * @buckets: the pools by the hash of their service
 * @seed: makes the order of servers differ from instance to instance
 */
struct cm_server_pools {
	struct cm_server_pool_list buckets[CM_POOL_BUCKETS];
	uint64_t seed;
};

/**
 * cm_server_pools_init() - initialize an empty table
 * @pools: uninitialized memory, owned by the calling function
 * @seed: makes the order of servers differ from instance to instance
 */
void cm_server_pools_init(struct cm_server_pools *pools, uint64_t seed);

/**
 * cm_server_pools_finish() - free all pools
 * @pools: the pools; the struct itself is not freed
 */
void cm_server_pools_finish(struct cm_server_pools *pools);

/**
 * cm_server_pools_find() - look up the pool of a service
 * @pools: the pools
 * @service_hash: hash of the name of the service
 *
 * Return: the pool, or NULL when no server of the service is in a pool.
 */
struct cm_server_pool *cm_server_pools_find(const struct cm_server_pools *pools,
					    uint64_t service_hash);

/**
 * cm_server_pools_add() - add a server to the pool of its service
 * @pools: the pools
 * @server: the server; in no pool
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_server_pools_add(struct cm_server_pools *pools,
			struct cm_steer_server *server);

/**
 * cm_server_pools_remove() - remove a server
 * @pools: the pools
 * @server: the server; need not be in a pool
 */
void cm_server_pools_remove(struct cm_server_pools *pools,
			    struct cm_steer_server *server);

/**
 * cm_server_pool_flow_opened() - add a flow of this instance to the open flows
 * @server: its server; need not be in a pool
 */
void cm_server_pool_flow_opened(struct cm_steer_server *server);

/**
 * cm_server_pool_syn_answered() - record that a SYN was answered
 * @pool: the pool of its service
 * @took_ms: time from the SYN to the caller's next packet, ms
 */
void cm_server_pool_syn_answered(struct cm_server_pool *pool, uint32_t took_ms);

/**
 * cm_server_pool_flow_closed() - remove a flow of this instance from the open
 * flows
 * @server: its server; need not be in a pool
 */
void cm_server_pool_flow_closed(struct cm_steer_server *server);

#endif
