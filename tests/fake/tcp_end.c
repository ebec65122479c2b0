#include "fake/tcp_end.h"

#include <stdlib.h>
#include <string.h>

#define RESET_TEXT_SIZE 160

static void end_output(struct fake_tcp_end *end, uint8_t flags, uint32_t seq,
		       const uint8_t *data, size_t length)
{
	uint8_t bytes[FAKE_SEGMENT_HEADER_SIZE + FAKE_SEGMENT_PAYLOAD_MAX];
	uint32_t ack = flags & CM_TCP_ACK ? end->rcv_nxt : 0;

	length = fake_segment_build(bytes, &end->local, &end->remote, flags,
				    seq, ack, data, length);
	end->ops->output(end, bytes, length);
}

static void restart_timer(struct fake_tcp_end *end, uint64_t now_ms)
{
	end->retransmit_ms = now_ms + end->rto_ms;
}

static void init_sequence_numbers(struct fake_tcp_end *end, uint32_t isn)
{
	end->snd_una = isn + 1;
	end->snd_nxt = isn + 1;
	end->snd_max = isn + 1;
	end->rto_ms = FAKE_RTO_MS;
}

void fake_tcp_end_connect(struct fake_tcp_end *end,
			  const struct cm_endpoint *local,
			  const struct cm_endpoint *remote, uint32_t isn,
			  uint64_t now_ms)
{
	end->local = *local;
	end->remote = *remote;
	end->state = FAKE_SYN_SENT;
	init_sequence_numbers(end, isn);
	restart_timer(end, now_ms);
	end_output(end, CM_TCP_SYN, isn, NULL, 0);
}

void fake_tcp_end_accept(struct fake_tcp_end *end, const struct cm_packet *syn,
			 uint32_t isn, uint64_t now_ms)
{
	end->local = syn->destination;
	end->remote = syn->source;
	end->state = FAKE_SYN_RECEIVED;
	end->rcv_nxt = syn->seq + 1;
	init_sequence_numbers(end, isn);
	restart_timer(end, now_ms);
	end_output(end, CM_TCP_SYN | CM_TCP_ACK, isn, NULL, 0);
}

void fake_tcp_end_finish(struct fake_tcp_end *end)
{
	for (int i = 0; i < FAKE_WINDOW_SEGMENTS; i++) {
		free(end->out_of_order[i]);
		end->out_of_order[i] = NULL;
	}
	free(end->buffer);
	end->buffer = NULL;
	end->buffered = 0;
	end->state = FAKE_CLOSED;
}

/* Sends the data from snd_nxt on that the window allows, then a queued FIN. */
static void send_queued(struct fake_tcp_end *end, uint64_t now_ms)
{
	size_t window = FAKE_WINDOW_SEGMENTS * FAKE_SEGMENT_PAYLOAD_MAX;
	size_t at = end->snd_nxt - end->snd_una;

	if (end->state != FAKE_ESTABLISHED)
		return;
	while (at < end->buffered && at < window) {
		size_t length = end->buffered - at;

		if (length > FAKE_SEGMENT_PAYLOAD_MAX)
			length = FAKE_SEGMENT_PAYLOAD_MAX;
		end_output(end, CM_TCP_ACK, end->snd_nxt, end->buffer + at,
			   length);
		end->snd_nxt += (uint32_t)length;
		at += length;
	}
	if (end->fin_queued && at == end->buffered) {
		end_output(end, CM_TCP_ACK | CM_TCP_FIN, end->snd_nxt, NULL, 0);
		end->snd_nxt++;
	}
	if ((int32_t)(end->snd_nxt - end->snd_max) > 0)
		end->snd_max = end->snd_nxt;
	if (end->snd_nxt != end->snd_una && !end->retransmit_ms)
		restart_timer(end, now_ms);
}

void fake_tcp_end_send(struct fake_tcp_end *end, const uint8_t *bytes,
		       size_t length, uint64_t now_ms)
{
	uint8_t *buffer = realloc(end->buffer, end->buffered + length + 1);

	if (!buffer)
		abort();
	memcpy(buffer + end->buffered, bytes, length);
	end->buffer = buffer;
	end->buffered += length;
	send_queued(end, now_ms);
}

void fake_tcp_end_close(struct fake_tcp_end *end, uint64_t now_ms)
{
	if (end->fin_queued)
		return;
	end->fin_queued = true;
	send_queued(end, now_ms);
}

void fake_tcp_end_abort(struct fake_tcp_end *end)
{
	if (end->state == FAKE_CLOSED)
		return;
	end_output(end, CM_TCP_RST, end->snd_nxt, NULL, 0);
	end->state = FAKE_CLOSED;
}

static void handle_reset(struct fake_tcp_end *end,
			 const struct cm_packet *packet)
{
	char text[RESET_TEXT_SIZE] = "";
	size_t length = cm_packet_payload_length(packet);

	if (end->state == FAKE_SYN_SENT &&
	    (!(packet->flags & CM_TCP_ACK) || packet->ack != end->snd_una))
		return;
	if (end->state != FAKE_SYN_SENT && packet->seq != end->rcv_nxt)
		return;
	if (length >= sizeof(text))
		length = sizeof(text) - 1;
	memcpy(text, packet->bytes + packet->payload_offset, length);
	end->state = FAKE_CLOSED;
	end->ops->reset(end, text);
}

static void handle_ack(struct fake_tcp_end *end, uint32_t ack, uint64_t now_ms)
{
	uint32_t acked = ack - end->snd_una;

	if (acked > end->snd_max - end->snd_una || !acked)
		return;
	if (acked > end->snd_nxt - end->snd_una)
		end->snd_nxt = ack;
	if (acked > end->buffered) {
		end->fin_acked = true;
		acked = (uint32_t)end->buffered;
		end->snd_una++;
	}
	memmove(end->buffer, end->buffer + acked, end->buffered - acked);
	end->buffered -= acked;
	end->snd_una += acked;
	end->rto_ms = FAKE_RTO_MS;
	end->retransmit_ms = 0;
	if (end->snd_nxt != end->snd_una)
		restart_timer(end, now_ms);
	if (!end->fin_acked)
		send_queued(end, now_ms);
}

/* Segments may be reordered, as the fabric delivers each to any instance. */
static void store_out_of_order(struct fake_tcp_end *end,
			       const struct cm_packet *packet)
{
	struct fake_out_of_order *segment;
	int place = 0;

	for (int i = 0; i < FAKE_WINDOW_SEGMENTS; i++) {
		if (end->out_of_order[i] &&
		    end->out_of_order[i]->seq == packet->seq)
			return;
		if (!end->out_of_order[i])
			place = i;
	}
	if (end->out_of_order[place])
		return;
	segment = malloc(sizeof(*segment));
	if (!segment)
		abort();
	segment->seq = packet->seq;
	segment->length = cm_packet_payload_length(packet);
	segment->fin = packet->flags & CM_TCP_FIN;
	memcpy(segment->bytes, packet->bytes + packet->payload_offset,
	       segment->length);
	end->out_of_order[place] = segment;
}

static void deliver_in_order(struct fake_tcp_end *end, const uint8_t *bytes,
			     size_t length, bool fin)
{
	end->rcv_nxt += (uint32_t)length;
	if (length)
		end->ops->receive(end, bytes, length);
	if (fin && end->state != FAKE_CLOSED) {
		end->rcv_nxt++;
		end->fin_received = true;
		end->ops->peer_closed(end);
	}
}

static bool deliver_out_of_order(struct fake_tcp_end *end)
{
	for (int i = 0; i < FAKE_WINDOW_SEGMENTS; i++) {
		struct fake_out_of_order *segment = end->out_of_order[i];

		if (!segment || (int32_t)(segment->seq - end->rcv_nxt) > 0)
			continue;
		end->out_of_order[i] = NULL;
		if (segment->seq == end->rcv_nxt && !end->fin_received &&
		    end->state != FAKE_CLOSED)
			deliver_in_order(end, segment->bytes, segment->length,
					 segment->fin);
		free(segment);
		return true;
	}
	return false;
}

static void handle_data(struct fake_tcp_end *end,
			const struct cm_packet *packet)
{
	size_t length = cm_packet_payload_length(packet);
	bool fin = packet->flags & CM_TCP_FIN;

	if (!length && !fin)
		return;
	if (packet->seq == end->rcv_nxt && !end->fin_received) {
		deliver_in_order(end, packet->bytes + packet->payload_offset,
				 length, fin);
		while (deliver_out_of_order(end))
			;
	} else if ((int32_t)(packet->seq - end->rcv_nxt) > 0 &&
		   length <= FAKE_SEGMENT_PAYLOAD_MAX) {
		store_out_of_order(end, packet);
	}
	if (end->state != FAKE_CLOSED)
		end_output(end, CM_TCP_ACK, end->snd_nxt, NULL, 0);
}

/* RFC 9293, 3.10.7.4: an unacceptable ACK in SYN-RECEIVED gets RST. */
static void reset_unacceptable_ack(struct fake_tcp_end *end,
				   const struct cm_packet *packet)
{
	if (packet->flags & CM_TCP_ACK)
		end_output(end, CM_TCP_RST, packet->ack, NULL, 0);
}

/* Returns true when the segment is to be processed further. */
static bool handle_handshake(struct fake_tcp_end *end,
			     const struct cm_packet *packet, uint64_t now_ms)
{
	if (end->state == FAKE_SYN_SENT) {
		if ((packet->flags & (CM_TCP_SYN | CM_TCP_ACK)) !=
			    (CM_TCP_SYN | CM_TCP_ACK) ||
		    packet->ack != end->snd_una)
			return false;
		end->rcv_nxt = packet->seq + 1;
		end->state = FAKE_ESTABLISHED;
		end->retransmit_ms = 0;
		end->rto_ms = FAKE_RTO_MS;
		end_output(end, CM_TCP_ACK, end->snd_nxt, NULL, 0);
		send_queued(end, now_ms);
		return false;
	}
	if (packet->flags & CM_TCP_SYN) {
		/*
		 * A retransmitted SYN gets the SYN-ACK again, any other SYN a
		 * challenge ACK, RFC 9293 3.10.7.4.
		 */
		if (end->state == FAKE_SYN_RECEIVED &&
		    packet->seq + 1 == end->rcv_nxt)
			end_output(end, CM_TCP_SYN | CM_TCP_ACK,
				   end->snd_una - 1, NULL, 0);
		else
			end_output(end, CM_TCP_ACK, end->snd_nxt, NULL, 0);
		return false;
	}
	if (end->state == FAKE_SYN_RECEIVED) {
		if (packet->ack != end->snd_una) {
			reset_unacceptable_ack(end, packet);
			return false;
		}
		end->state = FAKE_ESTABLISHED;
		end->retransmit_ms = 0;
		end->rto_ms = FAKE_RTO_MS;
	}
	return true;
}

void fake_tcp_end_input(struct fake_tcp_end *end,
			const struct cm_packet *packet, uint64_t now_ms)
{
	if (end->state == FAKE_CLOSED)
		return;
	if (packet->flags & CM_TCP_RST) {
		handle_reset(end, packet);
		return;
	}
	if (!handle_handshake(end, packet, now_ms))
		return;
	if (packet->flags & CM_TCP_ACK)
		handle_ack(end, packet->ack, now_ms);
	handle_data(end, packet);
}

void fake_tcp_end_tick(struct fake_tcp_end *end, uint64_t now_ms)
{
	if (end->state == FAKE_CLOSED || !end->retransmit_ms ||
	    now_ms < end->retransmit_ms)
		return;
	end->rto_ms *= 2;
	if (end->rto_ms > FAKE_RTO_MAX_MS)
		end->rto_ms = FAKE_RTO_MAX_MS;
	restart_timer(end, now_ms);
	if (end->state == FAKE_SYN_SENT) {
		end_output(end, CM_TCP_SYN, end->snd_una - 1, NULL, 0);
	} else if (end->state == FAKE_SYN_RECEIVED) {
		end_output(end, CM_TCP_SYN | CM_TCP_ACK, end->snd_una - 1, NULL,
			   0);
	} else {
		end->snd_nxt = end->snd_una;
		send_queued(end, now_ms);
	}
}

bool fake_tcp_end_is_closed(const struct fake_tcp_end *end)
{
	return end->state == FAKE_CLOSED ||
	       (end->fin_acked && end->fin_received);
}
