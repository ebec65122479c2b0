/**
 * DOC: Node, context of one packet
 *
 * Operations on a packet that all parts of the node use: send it to a server, a
 * caller or another instance, refuse its flow, announce its binding.
 */
#ifndef CORE_NODE_EVENT_H
#define CORE_NODE_EVENT_H

#include "chervilmast/node.h"

/** Default delay after which a refused caller should retry, ms. */
#define CM_RETRY_AFTER_MS 1000

/**
 * struct cm_event - context of one packet
 * @node: the node
 * @now_ms: current time
 * @packet: the packet
 * @relay: its relay header; kind 0 for a packet from the fabric
 * @actions: appended to
 * @key: key of its flow
 * @hash: hash of @key
 * @service: index of the flow's service
 * @candidates: candidates of the flow
 * @retry_after_ms: delay after which a refused caller should retry, ms; 0 for
 *                  the default of the refusal
 */
struct cm_event {
	struct cm_node *node;
	uint64_t now_ms;
	struct cm_packet *packet;
	struct cm_relay relay;
	struct cm_actions *actions;
	struct cm_flow_key key;
	uint64_t hash;
	uint32_t service;
	struct cm_candidates candidates;
	uint32_t retry_after_ms;
};

/**
 * enum cm_refusal - why a flow is refused
 * @CM_REFUSAL_OVERLOAD: no candidate admits the flow; no reason below applies
 * @CM_REFUSAL_CAP: the candidate that can accept a flow soonest is at its
 *                  connection cap
 * @CM_REFUSAL_RATE: the candidate that can accept a flow soonest is at its rate
 *                   limit of new connections
 * @CM_REFUSAL_COLD_START: the candidate that can accept a flow soonest is in
 *                         cold start, or its release note may not be on all
 *                         instances yet
 * @CM_REFUSAL_SERVER_RESET: the server reset the SYN and the flow cannot be
 *                           retried at another candidate
 * @CM_REFUSAL_RETRY_BUDGET: the server reset the SYN and the retry budget is
 *                           spent
 * @CM_REFUSAL_NO_SERVER: no backend server accepts new flows
 * @CM_REFUSAL_DOMAIN_OUT: the failure domain of the flow's server is out
 * @CM_REFUSAL_UNKNOWN_FLOW: no backend server holds the flow
 * @CM_REFUSAL_SERVER_WITHDRAWN: the flow's server was withdrawn and its
 *                               retention is over, so that the catalog does not
 *                               list it for the service any more
 */
enum cm_refusal {
	CM_REFUSAL_OVERLOAD,
	CM_REFUSAL_CAP,
	CM_REFUSAL_RATE,
	CM_REFUSAL_COLD_START,
	CM_REFUSAL_SERVER_RESET,
	CM_REFUSAL_RETRY_BUDGET,
	CM_REFUSAL_NO_SERVER,
	CM_REFUSAL_DOMAIN_OUT,
	CM_REFUSAL_UNKNOWN_FLOW,
	CM_REFUSAL_SERVER_WITHDRAWN,
};

/**
 * cm_event_count() - increment a counter of the node
 * @event: the packet
 * @counter: the counter
 */
void cm_event_count(struct cm_event *event, enum cm_counter counter);

/**
 * cm_event_is_self() - whether a member is this instance
 * @event: the packet
 * @member: index of the member, or CM_NONE
 *
 * Return: true if it is.
 */
bool cm_event_is_self(const struct cm_event *event, uint32_t member);

/**
 * cm_event_home() - home of a server
 * @event: the packet
 * @server: index of the server
 *
 * Return: index of the member, or CM_NONE if the server has no home.
 */
uint32_t cm_event_home(const struct cm_event *event, uint32_t server);

/**
 * cm_event_send_to_server() - send the packet to a backend server
 * @event: the packet
 * @server: index of the server
 */
void cm_event_send_to_server(struct cm_event *event, uint32_t server);

/**
 * cm_event_replay_to_server() - resend a saved header to a backend server
 * @event: a packet of the same flow
 * @header: the saved header
 * @server: index of the server
 */
void cm_event_replay_to_server(struct cm_event *event,
			       const struct cm_built_packet *header,
			       uint32_t server);

/**
 * cm_event_send_to_caller() - send the packet to its caller
 * @event: a packet from a backend server
 */
void cm_event_send_to_caller(struct cm_event *event);

/**
 * cm_event_relay() - send the packet to another instance
 * @event: the packet
 * @member: index of the other instance
 * @kind: what the receiver has to do
 * @kind_data: see enum cm_relay_kind
 * @server: backend server for the relay header, or NULL
 */
void cm_event_relay(struct cm_event *event, uint32_t member,
		    enum cm_relay_kind kind, uint8_t kind_data,
		    const struct cm_endpoint *server);

/**
 * cm_event_relay_header() - relay the saved SYN of a flow for admission
 * @event: a packet of the same flow
 * @member: index of the other instance, the home of the flow's server
 * @tried: bit mask of the candidates that were tried
 * @flow: the flow; its saved header is relayed
 */
void cm_event_relay_header(struct cm_event *event, uint32_t member,
			   uint8_t tried, const struct cm_flow *flow);

/**
 * cm_event_refuse_syn() - refuse a flow whose SYN was reset by the server
 * @event: the RST
 * @flow: the flow; its saved header is answered with a reset
 * @refusal: reason
 */
void cm_event_refuse_syn(struct cm_event *event, const struct cm_flow *flow,
			 enum cm_refusal refusal);

/**
 * cm_event_refuse() - refuse the flow of a packet from a caller
 * @event: the packet
 * @refusal: reason
 *
 * Answers TCP by an RST and UDP by an ICMP message. An RST is not answered.
 */
void cm_event_refuse(struct cm_event *event, enum cm_refusal refusal);

/**
 * cm_event_refuse_flow() - reset a flow without a packet of its caller
 * @event: context of the flow; its packet is not used
 * @flow: the flow
 * @refusal: reason
 */
void cm_event_refuse_flow(struct cm_event *event, const struct cm_flow *flow,
			  enum cm_refusal refusal);

/**
 * cm_event_announce() - announce a binding to the directory or its successor
 * @event: context of the flow; its packet is not used
 * @flow: the flow, OPEN or BOUND
 *
 * The directory of a flow that is not on its first candidate needs the binding,
 * and so does the successor of the directory. The directory announces the
 * binding to its successor, any other instance to the directory. Nothing is
 * announced again as long as these two instances stay the same. Announcements
 * beyond the budget are deferred to a later cm_node_sweep().
 */
void cm_event_announce(struct cm_event *event, struct cm_flow *flow);

/**
 * cm_event_mark_announced() - mark a binding as announced without announcing it
 * @event: context of the flow
 * @flow: the flow; the directory has recorded its binding from the SYN-ACK that
 *        the directory relayed to this instance
 */
void cm_event_mark_announced(struct cm_event *event, struct cm_flow *flow);

/**
 * cm_event_server_is_usable() - whether a flow may continue at its server
 * @event: context of the flow
 * @address: address of the server
 * @server: set to the server's index, or CM_NONE if it is not in the catalog
 * @refusal: set to the reason if the flow may not continue
 *
 * Return: true if it may: the server belongs to the flow's service and its
 * failure domain is not out.
 */
bool cm_event_server_is_usable(struct cm_event *event,
			       const struct cm_endpoint *address,
			       uint32_t *server, enum cm_refusal *refusal);

#endif
