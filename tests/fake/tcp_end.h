/**
 * DOC: TCP endpoint of a caller or backend server
 *
 * Implements the handshake, in-order delivery with retransmission, FIN and RST
 * of RFC 9293, without window updates, options or congestion control.
 */
#ifndef FAKE_TCP_END_H
#define FAKE_TCP_END_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chervilmast/packet.h"
#include "fake/packet.h"

/** Size of the send window and of the out-of-order queue, in segments. */
#define FAKE_WINDOW_SEGMENTS 8
/** Initial retransmission timeout, ms. */
#define FAKE_RTO_MS 200
/** Maximum retransmission timeout, ms. */
#define FAKE_RTO_MAX_MS 1600

struct fake_tcp_end;

/**
 * struct fake_out_of_order - a segment received out of order
 * @seq: sequence number
 * @length: length of the payload, in bytes
 * @fin: the segment carries FIN
 * @bytes: the payload
 */
struct fake_out_of_order {
	uint32_t seq;
	size_t length;
	bool fin;
	uint8_t bytes[FAKE_SEGMENT_PAYLOAD_MAX];
};

/**
 * struct fake_tcp_end_ops - callbacks of the owner of an endpoint
 * @output: sends a packet
 * @receive: called with data that was received in order
 * @peer_closed: called when FIN and all data before it were received
 * @reset: called when RST was received; @text is the payload of the RST, with a
 *         NUL after it
 */
struct fake_tcp_end_ops {
	void (*output)(struct fake_tcp_end *end, const uint8_t *bytes,
		       size_t length);
	void (*receive)(struct fake_tcp_end *end, const uint8_t *bytes,
			size_t length);
	void (*peer_closed)(struct fake_tcp_end *end);
	void (*reset)(struct fake_tcp_end *end, const char *text);
};

/**
 * enum fake_tcp_end_state - state of an endpoint
 * @FAKE_CLOSED: no connection
 * @FAKE_SYN_SENT: caller waits for SYN-ACK
 * @FAKE_SYN_RECEIVED: server waits for the ACK of its SYN-ACK
 * @FAKE_ESTABLISHED: handshake complete; also after FIN was sent or received
 */
enum fake_tcp_end_state {
	FAKE_CLOSED,
	FAKE_SYN_SENT,
	FAKE_SYN_RECEIVED,
	FAKE_ESTABLISHED,
};

/**
 * struct fake_tcp_end - one endpoint of a connection
 * @ops: callbacks of the owner
 * @local: own address
 * @remote: address of the peer
 * @state: state of the connection
 * @snd_una: lowest unacknowledged sequence number, that of @buffer's first byte
 * @snd_nxt: next sequence number to send; a timeout sets it back to @snd_una
 * @snd_max: highest value that @snd_nxt has had
 * @rcv_nxt: next sequence number expected
 * @buffer: data that is not yet sent or not yet acknowledged
 * @buffered: bytes in @buffer
 * @out_of_order: segments received out of order; NULL for a free entry
 * @fin_queued: FIN is to be sent after @buffer
 * @fin_acked: the peer has acknowledged the FIN of this endpoint
 * @fin_received: the peer's FIN was received
 * @retransmit_ms: time of the next retransmission, ms; 0 for none
 * @rto_ms: current retransmission timeout, ms
 */
struct fake_tcp_end {
	const struct fake_tcp_end_ops *ops;
	struct cm_endpoint local;
	struct cm_endpoint remote;
	enum fake_tcp_end_state state;
	uint32_t snd_una;
	uint32_t snd_nxt;
	uint32_t snd_max;
	uint32_t rcv_nxt;
	uint8_t *buffer;
	size_t buffered;
	struct fake_out_of_order *out_of_order[FAKE_WINDOW_SEGMENTS];
	bool fin_queued;
	bool fin_acked;
	bool fin_received;
	uint64_t retransmit_ms;
	uint32_t rto_ms;
};

/**
 * fake_tcp_end_connect() - send a SYN, as the active side
 * @end: endpoint, zeroed except for @ops
 * @local: own address
 * @remote: address to connect to
 * @isn: initial sequence number
 * @now_ms: current time, ms
 */
void fake_tcp_end_connect(struct fake_tcp_end *end,
			  const struct cm_endpoint *local,
			  const struct cm_endpoint *remote, uint32_t isn,
			  uint64_t now_ms);

/**
 * fake_tcp_end_accept() - answer a SYN, as the passive side
 * @end: endpoint, zeroed except for @ops
 * @syn: the SYN
 * @isn: initial sequence number
 * @now_ms: current time, ms
 */
void fake_tcp_end_accept(struct fake_tcp_end *end, const struct cm_packet *syn,
			 uint32_t isn, uint64_t now_ms);

/**
 * fake_tcp_end_finish() - free the buffers of an endpoint, without FIN or RST
 * @end: the endpoint; its memory stays the caller's
 */
void fake_tcp_end_finish(struct fake_tcp_end *end);

/**
 * fake_tcp_end_send() - queue data
 * @end: the endpoint
 * @bytes: the data, copied
 * @length: length of the data, in bytes
 * @now_ms: current time, ms
 */
void fake_tcp_end_send(struct fake_tcp_end *end, const uint8_t *bytes,
		       size_t length, uint64_t now_ms);

/**
 * fake_tcp_end_close() - send FIN after all queued data
 * @end: the endpoint
 * @now_ms: current time, ms
 */
void fake_tcp_end_close(struct fake_tcp_end *end, uint64_t now_ms);

/**
 * fake_tcp_end_abort() - send RST and close
 * @end: the endpoint
 */
void fake_tcp_end_abort(struct fake_tcp_end *end);

/**
 * fake_tcp_end_input() - handle a received segment
 * @end: the endpoint
 * @packet: the segment
 * @now_ms: current time, ms
 */
void fake_tcp_end_input(struct fake_tcp_end *end,
			const struct cm_packet *packet, uint64_t now_ms);

/**
 * fake_tcp_end_tick() - retransmit when the timeout has passed
 * @end: the endpoint
 * @now_ms: current time, ms
 */
void fake_tcp_end_tick(struct fake_tcp_end *end, uint64_t now_ms);

/**
 * fake_tcp_end_is_closed() - whether a connection is closed
 * @end: the endpoint
 *
 * Return: true when the connection was reset or aborted, or when both sides
 * have sent FIN and the peer has acknowledged that of this endpoint.
 */
bool fake_tcp_end_is_closed(const struct fake_tcp_end *end);

#endif
