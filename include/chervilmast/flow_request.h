/**
 * DOC: Requests on a flow, as the packets from the caller show them
 *
 * A request begins with the caller's first data packet, or with its first data
 * packet after the response to the previous request. It is answered when the
 * caller acknowledges a response that is longer than an error. It is rejected
 * when it ends with a shorter one; an acknowledged short response alone shows
 * no rejection, as a header may be acknowledged before the body is sent.
 */
#ifndef CHERVILMAST_FLOW_REQUEST_H
#define CHERVILMAST_FLOW_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum cm_request_state - state of the latest request on a flow
 * @CM_REQUEST_NONE: no request was seen
 * @CM_REQUEST_WAITING: the caller waits for a response
 * @CM_REQUEST_SHORT: the response is as short as an error so far
 * @CM_REQUEST_REJECTED: it ended with a response as short as an error
 * @CM_REQUEST_ANSWERED: the caller has a response
 */
enum cm_request_state {
	CM_REQUEST_NONE,
	CM_REQUEST_WAITING,
	CM_REQUEST_SHORT,
	CM_REQUEST_REJECTED,
	CM_REQUEST_ANSWERED,
};

/**
 * struct cm_flow_request - the latest request on a flow
 * @state: its state
 * @count: number of requests on the flow
 * @is_counted: the request of the flow's SYN was counted and admitted, so that
 *              its first data packet is not decided on
 * @began_ms: when it began, by the active clock (@active_ms of struct
 *            cm_steer), ms; 0 when unknown
 * @first_ack: acknowledgment number when it began
 * @last_ack: latest acknowledgment number
 * @deferred_ms: when the first data packet of a request that is not admitted
 *               yet arrived, ms; 0 when there is none
 */
struct cm_flow_request {
	enum cm_request_state state;
	uint32_t count;
	bool is_counted;
	uint64_t began_ms;
	uint32_t first_ack;
	uint32_t last_ack;
	uint64_t deferred_ms;
};

/**
 * cm_flow_request_acknowledge() - handle an acknowledgment of the caller
 * @request: the request
 * @ack: acknowledgment number of the packet
 *
 * Return: true when the state changed.
 */
bool cm_flow_request_acknowledge(struct cm_flow_request *request, uint32_t ack);

/**
 * cm_flow_request_end() - handle the end of a request
 * @request: the request
 *
 * To be called when the flow ends or its next request begins.
 *
 * Return: true when the request ended as a rejection; once for a request.
 */
bool cm_flow_request_end(struct cm_flow_request *request);

/**
 * cm_flow_request_is_next() - whether a data packet begins a request
 * @request: the latest request; cm_flow_request_acknowledge() was called for
 *           the packet
 * @ack: acknowledgment number of the packet
 *
 * Return: false for a further packet, or a retransmission, of a request that is
 * in progress, and for a packet older than the latest one.
 */
bool cm_flow_request_is_next(const struct cm_flow_request *request,
			     uint32_t ack);

/**
 * cm_flow_request_begin() - record that a request begins
 * @request: set to the new request
 * @active_ms: current time by the active clock, ms
 * @ack: acknowledgment number of its first packet
 */
void cm_flow_request_begin(struct cm_flow_request *request, uint64_t active_ms,
			   uint32_t ack);

#endif
