/**
 * DOC: Load that an instance's flows put on a backend server
 *
 * The load is the expected number of busy slots. A flow that carries one
 * request counts as one busy slot while it is open. A long flow, which its
 * caller keeps open for many requests, counts with the mean request rate of its
 * route's flows times the mean work of the route, or as one busy slot while a
 * response takes clearly longer than usual. Requests in progress that take the
 * usual time are part of the mean: counted again, they would add noise that is
 * as large as the mean itself.
 */
#ifndef CHERVILMAST_SERVER_LOAD_H
#define CHERVILMAST_SERVER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "chervilmast/flow_key.h"

/** Load of one busy slot, thousandths. */
#define CM_LOAD_SLOT 1000
/** Maximum number of routes with a record; further ones share records. */
#define CM_ROUTE_LOADS_MAX 512
/** Age from which the loads of other instances are not used, ms. */
#define CM_SERVER_LOAD_STALE_MS 3000

/**
 * Maximum rate at which loads of servers are sent to an instance, and by it;
 * with 8 bytes each it bounds the traffic to 640 bytes/s in each direction.
 */
#define CM_LOADS_PER_S 80
/** Maximum number of servers in a struct cm_load_list. */
#define CM_LOAD_LIST_MAX 64

struct cm_steer_flow;
struct cm_steer_server;

/**
 * struct cm_load_list - loads of backend servers
 * @tokens: token of each server
 * @loads: load of each server, thousandths of a slot
 * @count: number of @tokens and of @loads
 */
struct cm_load_list {
	uint32_t tokens[CM_LOAD_LIST_MAX];
	uint32_t loads[CM_LOAD_LIST_MAX];
	uint32_t count;
};

/**
 * struct cm_route_load - flows of a route, as this instance observes them
 * @address: address of the route; port 0 for a free record
 * @samples: number of flows in @long_per_mille; stays at UINT32_MAX
 * @long_per_mille: smoothed share of the flows that carry a second request,
 *                  thousandths
 * @interval_ms_eighths: smoothed time from one request of a flow to the next,
 *                       eighths of ms; 0 when unknown
 * @work_ms_eighths: smoothed time from a request to the acknowledgment of its
 *                   response, eighths of ms; 0 when unknown
 */
struct cm_route_load {
	struct cm_endpoint address;
	uint32_t samples;
	uint32_t long_per_mille;
	uint32_t interval_ms_eighths;
	uint32_t work_ms_eighths;
};

/**
 * struct cm_route_loads - the routes of an instance
 * @items: hash table of the records
 */
struct cm_route_loads {
	struct cm_route_load items[CM_ROUTE_LOADS_MAX];
};

/**
 * struct cm_server_load - load of a backend server
 * @own: load of this instance's flows, thousandths of a slot
 * @own_single: part of @own that is due to flows with one request, thousandths
 * @others: load of the flows of all other instances of the failure domain,
 *          thousandths; valid while cm_server_load_is_known()
 * @others_ms: time at which @others was current, ms; 0 for never
 * @reported: load that was last reported to the source, thousandths
 * @report_seq: sequence number of the last report; 0 for none
 * @zero_reports: number of successive reports of load 0
 */
struct cm_server_load {
	uint32_t own;
	uint32_t own_single;
	uint32_t others;
	uint64_t others_ms;
	uint32_t reported;
	uint64_t report_seq;
	uint32_t zero_reports;
};

/**
 * cm_load_list_room() - maximum number of loads in a message
 * @since_ms: time since the last message, ms
 *
 * Return: the number at which no more than CM_LOADS_PER_S loads are sent in a
 * second, at most CM_LOAD_LIST_MAX.
 */
uint32_t cm_load_list_room(uint64_t since_ms);

/**
 * cm_route_loads_find() - find or add the record of a route
 * @routes: the routes; zeroed before first use
 * @address: address of the route
 *
 * Return: the record; shared with another route when there is no room.
 */
struct cm_route_load *cm_route_loads_find(struct cm_route_loads *routes,
					  const struct cm_endpoint *address);

/**
 * cm_route_load_is_long() - whether the flows of a route usually carry a second
 * request
 * @route: the route
 *
 * Return: false also when no flow of the route is known.
 */
bool cm_route_load_is_long(const struct cm_route_load *route);

/**
 * cm_server_load_is_long() - whether a flow is expected to carry further
 * requests
 * @flow: the flow
 *
 * Return: true when it has carried a second request, when its route's flows
 * usually do, or when it was adopted and nothing is known of its route.
 */
bool cm_server_load_is_long(const struct cm_steer_flow *flow);

/**
 * cm_server_load_acked() - record an acknowledgment number of a flow's caller
 * @flow: the flow; its @last_ack is already that of the packet
 * @active_ms: current time by the active clock, ms
 * @has_data: the packet carries data too
 */
void cm_server_load_acked(struct cm_steer_flow *flow, uint64_t active_ms,
			  bool has_data);

/**
 * cm_server_load_data_sent() - record a packet with data of a flow's caller
 * @flow: the flow, after cm_server_load_acked() for the same packet
 * @active_ms: current time by the active clock, ms
 */
void cm_server_load_data_sent(struct cm_steer_flow *flow, uint64_t active_ms);

/**
 * cm_server_load_flow_ended() - record that the caller has ended a flow
 * @flow: the flow
 */
void cm_server_load_flow_ended(const struct cm_steer_flow *flow);

/**
 * cm_server_load_count() - set the share of a flow in its server's load
 * @server: the server
 * @flow: a flow that counts as open
 * @active_ms: current time by the active clock, ms
 */
void cm_server_load_count(struct cm_steer_server *server,
			  struct cm_steer_flow *flow, uint64_t active_ms);

/**
 * cm_server_load_uncount() - remove a flow from its server's load
 * @server: the server
 * @flow: the flow
 */
void cm_server_load_uncount(struct cm_steer_server *server,
			    struct cm_steer_flow *flow);

/**
 * cm_server_load_is_known() - whether the load of the other instances is known
 * @load: load of the server
 * @now_ms: current time, ms
 *
 * Inline, as each choice calls it for dozens of servers.
 *
 * Return: false when it was never received or is older than
 * CM_SERVER_LOAD_STALE_MS.
 */
static inline bool cm_server_load_is_known(const struct cm_server_load *load,
					   uint64_t now_ms)
{
	return load->others_ms &&
	       now_ms < load->others_ms + CM_SERVER_LOAD_STALE_MS;
}

#endif
