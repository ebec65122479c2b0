/**
 * DOC: Table of the flows whose SYN an instance forwarded
 *
 * The table is bounded. Packets of a flow that is not in it can still be
 * forwarded, as their token identifies the server. The table serves to detect
 * unanswered SYNs and failed requests, to measure durations and to count the
 * open flows of each server.
 */
#ifndef CHERVILMAST_STEER_FLOW_H
#define CHERVILMAST_STEER_FLOW_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "chervilmast/flow_key.h"
#include "chervilmast/flow_request.h"
#include "chervilmast/server_load.h"

/** Hash buckets of a flow table; a power of two. */
#define CM_STEER_FLOW_BUCKETS 4096

/**
 * struct cm_steer_flow - a flow
 * @key: caller and service addresses
 * @token: token of the server that the SYN was sent to
 * @is_open: the SYN was answered
 * @is_unanswered: the SYN counts as unanswered
 * @has_request: the caller has sent data
 * @has_response: the caller has acknowledged data of the server since its
 *                request
 * @has_failed: the flow was already counted as failed
 * @syn_ms: when the SYN was forwarded, ms
 * @syn_active_ms: when the SYN was forwarded, by the active clock
 *                 (@active_ms of struct cm_steer), ms
 * @request_active_ms: when the caller first sent data, by the active clock, ms
 * @first_ack: first acknowledgment number from the caller
 * @last_ack: latest acknowledgment number from the caller
 * @last_ms: when the last packet arrived, ms
 * @request: its latest request, for admission under overload
 * @is_adopted: the flow was added by a data packet; its SYN was not seen here
 * @is_kept: the flow is in the list of idle flows that are kept
 * @route: record of its route
 * @requests: number of requests that the caller has sent
 * @is_request_open: the caller has sent a request and acknowledged nothing
 *                   since
 * @request_began_ms: when the last request began, by the active clock, ms
 * @acked_ms: when the caller last acknowledged new data without sending any, by
 *            the active clock, ms; 0 when not known
 * @counted_ack: acknowledgment number up to which responses were recorded
 * @response_ms: time from the SYN to the first response, ms; 0 for none
 * @load: its share in the load of its server, thousandths of a slot
 * @single_load: part of @load that counts as load of a flow with one request
 * @bucket: link in its hash bucket
 * @opening: link in the list of SYNs that wait for an answer
 * @link: link in the list of active flows, of kept flows or of free records
 */
struct cm_steer_flow {
	struct cm_flow_key key;
	uint32_t token;
	bool is_open;
	bool is_unanswered;
	bool has_request;
	bool has_response;
	bool has_failed;
	uint64_t syn_ms;
	uint64_t syn_active_ms;
	uint64_t request_active_ms;
	uint32_t first_ack;
	uint32_t last_ack;
	uint64_t last_ms;
	struct cm_flow_request request;
	bool is_adopted;
	bool is_kept;
	struct cm_route_load *route;
	uint32_t requests;
	bool is_request_open;
	uint64_t request_began_ms;
	uint64_t acked_ms;
	uint32_t counted_ack;
	uint32_t response_ms;
	uint32_t load;
	uint32_t single_load;
	LIST_ENTRY(cm_steer_flow) bucket;
	TAILQ_ENTRY(cm_steer_flow) opening;
	TAILQ_ENTRY(cm_steer_flow) link;
};

LIST_HEAD(cm_steer_flow_bucket, cm_steer_flow);
TAILQ_HEAD(cm_steer_flow_list, cm_steer_flow);

/**
 * struct cm_steer_flows - a flow table
 * @buckets: flows by hash of the key
 * @opening: flows whose SYN waits for an answer, oldest first
 * @lru: all flows but those in @kept, least recently active first
 * @kept: idle flows that are expected to carry further requests, least recently
 *        active first; separate, so that they are not examined at each tick
 * @free_list: free records for reuse
 * @count: number of flows
 * @max: maximum number of flows in the table
 */
struct cm_steer_flows {
	struct cm_steer_flow_bucket buckets[CM_STEER_FLOW_BUCKETS];
	struct cm_steer_flow_list opening;
	struct cm_steer_flow_list lru;
	struct cm_steer_flow_list kept;
	struct cm_steer_flow_list free_list;
	uint32_t count;
	uint32_t max;
};

/**
 * cm_steer_flows_init() - initialize an empty table
 * @flows: uninitialized memory, owned by the calling function
 * @max: maximum number of flows in the table
 */
void cm_steer_flows_init(struct cm_steer_flows *flows, uint32_t max);

/**
 * cm_steer_flows_finish() - free all flows
 * @flows: the table; the struct itself is not freed
 */
void cm_steer_flows_finish(struct cm_steer_flows *flows);

/**
 * cm_steer_flows_find() - find a flow
 * @flows: the table
 * @key: key of the flow
 *
 * Return: the flow, or NULL when it is not in the table.
 */
struct cm_steer_flow *cm_steer_flows_find(const struct cm_steer_flows *flows,
					  const struct cm_flow_key *key);

/**
 * cm_steer_flows_add() - add a flow whose SYN is forwarded
 * @flows: the table, with room left: see cm_steer_flows_is_full()
 * @key: key of the flow; not in the table yet
 * @token: token of the server
 * @now_ms: current time, ms
 * @active_ms: current time by the active clock, ms
 *
 * Return: the flow, owned by the table, or NULL when out of memory.
 */
struct cm_steer_flow *cm_steer_flows_add(struct cm_steer_flows *flows,
					 const struct cm_flow_key *key,
					 uint32_t token, uint64_t now_ms,
					 uint64_t active_ms);

/**
 * cm_steer_flows_adopt() - add an open flow whose SYN was not seen
 * @flows: the table, with room left: see cm_steer_flows_is_full()
 * @key: key of the flow; not in the table yet
 * @token: token of the server
 * @now_ms: current time, ms
 *
 * Return: the flow, owned by the table, or NULL when out of memory.
 */
struct cm_steer_flow *cm_steer_flows_adopt(struct cm_steer_flows *flows,
					   const struct cm_flow_key *key,
					   uint32_t token, uint64_t now_ms);

/**
 * cm_steer_flows_keep() - move an idle flow to the list of kept flows
 * @flows: the table
 * @flow: a flow that is not kept yet
 */
void cm_steer_flows_keep(struct cm_steer_flows *flows,
			 struct cm_steer_flow *flow);

/**
 * cm_steer_flows_is_full() - whether a flow must be removed before one is added
 * @flows: the table
 *
 * Return: true when the table is full.
 */
bool cm_steer_flows_is_full(const struct cm_steer_flows *flows);

/**
 * cm_steer_flows_least_recent() - find the flow to be removed first when the
 * table is full
 * @flows: the table
 *
 * Return: the least recently active kept flow or, without one, the least
 * recently active flow; NULL when there is none.
 */
struct cm_steer_flow *
cm_steer_flows_least_recent(const struct cm_steer_flows *flows);

/**
 * cm_steer_flows_touch() - mark a flow as the most recently active one
 * @flows: the table
 * @flow: the flow
 * @now_ms: current time, ms
 */
void cm_steer_flows_touch(struct cm_steer_flows *flows,
			  struct cm_steer_flow *flow, uint64_t now_ms);

/**
 * cm_steer_flows_set_syn_result() - record whether the SYN of a flow was
 * answered
 * @flows: the table
 * @flow: a flow that still waits for an answer to its SYN
 * @is_open: whether the SYN was answered
 */
void cm_steer_flows_set_syn_result(struct cm_steer_flows *flows,
				   struct cm_steer_flow *flow, bool is_open);

/**
 * cm_steer_flows_remove() - remove a flow
 * @flows: the table
 * @flow: the flow; invalid afterwards
 */
void cm_steer_flows_remove(struct cm_steer_flows *flows,
			   struct cm_steer_flow *flow);

#endif
