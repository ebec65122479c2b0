/**
 * DOC: Nodes and flows under test
 *
 * Runs the nodes of a struct fake_service_run, and delivers segments of callers
 * and backend servers to any of them.
 */
#ifndef UNIT_FLOWS_H
#define UNIT_FLOWS_H

#include <check.h>

#include "fake/service_run.h"

/** Nodes of flows_setup(), in three failure domains. */
#define FLOWS_NODES 9
#define FLOWS_COUNT 48
/** Time after a change within which all nodes have applied it, ms. */
#define FLOWS_SETTLE_MS 500
/** Nodes of flows_setup_small(). */
#define FLOWS_SMALL_NODES 3

/**
 * struct flow - a flow as seen by its two ends
 * @caller: address of the caller
 * @server: address of the server that answered
 * @isn: initial sequence number of the caller; that of the server is 500
 */
struct flow {
	struct cm_endpoint caller;
	struct cm_endpoint server;
	uint32_t isn;
};

/** The nodes of the current test and the service that they run. */
extern struct fake_service_run run;
extern struct fake_cluster *const cluster;
/** The flows opened by flows_open_all(). */
extern struct flow flows[FLOWS_COUNT];
/** Relay header of the segments; NULL if they come from the fabric. */
extern const struct cm_relay *flows_relay;

/** flows_setup() - start nine nodes and a service with six servers */
void flows_setup(void);

/** flows_setup_small() - start three nodes, two services of six servers each */
void flows_setup_small(void);

/** flows_teardown() - free the nodes of flows_setup() or flows_setup_small() */
void flows_teardown(void);

/** flows_live_node() - first running node from @wanted on, cyclically */
uint32_t flows_live_node(uint32_t wanted);

/** flows_caller() - address of caller number @i */
struct cm_endpoint flows_caller(uint32_t i);

/** flow_send() - deliver a segment of the caller to @node */
void flow_send(const struct flow *flow, uint32_t node, uint8_t flags,
	       uint32_t seq, uint32_t ack);

/** flow_answer() - deliver a segment of @server to @node */
void flow_answer(const struct flow *flow, struct cm_endpoint server,
		 uint32_t node, uint8_t flags, uint32_t seq, uint32_t ack);

/** flow_answer_reset() - deliver to @node the RST of the server that got the
 * first output of the last event */
void flow_answer_reset(const struct flow *flow, uint32_t node);

/**
 * flow_open() - open a connection, each packet of it through another node
 * @flow: set to the flow
 * @i: number of the caller
 * @isn: initial sequence number of the caller
 *
 * Return: false if no server gets the SYN.
 */
bool flow_open(struct flow *flow, uint32_t i, uint32_t isn);

/** flows_open_all() - open all of flows */
void flows_open_all(void);

/**
 * flow_reaches_server() - whether a segment reaches the flow's server
 * @flow: the flow
 * @node: node to which the caller's segment is delivered
 * @seq: sequence number of the segment
 *
 * Any other server that gets the segment answers with an RST, as it does not
 * hold the connection.
 *
 * Return: true if the flow's server gets the segment; false if it is dropped or
 * the caller is reset first.
 */
bool flow_reaches_server(const struct flow *flow, uint32_t node, uint32_t seq);

/**
 * flows_count_lost() - send a segment of each of flows through each running
 *                      node; returns how many did not reach their server
 */
uint32_t flows_count_lost(void);

/** flow_home() - the node that sends segments of @flow to its server */
uint32_t flow_home(const struct flow *flow);

/** flow_candidate() - the server at @rank among the candidates of @flow */
const struct cm_server *flow_candidate(const struct flow *flow, uint32_t rank);

/** flow_directory() - the node that is the directory of @flow */
uint32_t flow_directory(const struct flow *flow);

/** flows_kill() - kill a node and mark it dead at all others */
void flows_kill(uint32_t node);

/** flows_change() - publish a release note with the changes in @text, JSON as
 * for fake_cluster_publish_changes() */
void flows_change(const char *text);

/** flows_drain() - publish a release note that drains the server @name */
void flows_drain(const char *name);

/** flows_set_domain() - publish a failure domain's state without advancing the
 * time */
void flows_set_domain(const char *name, const char *state);

/** flows_stop_announcing() - make all nodes defer announcements of bindings */
void flows_stop_announcing(void);

/** flows_read_output() - parse output @index of the last event */
void flows_read_output(uint32_t index, struct cm_packet *packet);

/** flows_output_server() - server of the only output of the last event */
struct cm_endpoint flows_output_server(void);

/** flows_assert_no_output() - assert that the last event caused no packet */
void flows_assert_no_output(void);

#endif
