#include "fake/segment.h"

#include <stdlib.h>
#include <string.h>

#define TEXT_SIZE 160

static void end_output(struct fake_end *end, uint8_t flags, uint32_t seq,
		       const uint8_t *data, size_t length)
{
	uint8_t bytes[FAKE_SEGMENT_HEAD + FAKE_SEGMENT_SIZE];
	uint32_t ack = flags & CM_TCP_ACK ? end->received_next : 0;

	length = fake_segment_build(bytes, &end->local, &end->remote, flags,
				    seq, ack, data, length);
	end->ops->output(end, bytes, length);
}

static void arm(struct fake_end *end, uint64_t now_ms)
{
	end->timer_ms = now_ms + end->rto_ms;
}

static void end_start(struct fake_end *end, uint32_t isn)
{
	end->sent_first = isn + 1;
	end->sent_next = isn + 1;
	end->sent_most = isn + 1;
	end->rto_ms = FAKE_RTO_MS;
}

void fake_end_connect(struct fake_end *end, const struct cm_endpoint *local,
		      const struct cm_endpoint *remote, uint32_t isn,
		      uint64_t now_ms)
{
	end->local = *local;
	end->remote = *remote;
	end->state = FAKE_SYN_SENT;
	end_start(end, isn);
	arm(end, now_ms);
	end_output(end, CM_TCP_SYN, isn, NULL, 0);
}

void fake_end_accept(struct fake_end *end, const struct cm_packet *syn,
		     uint32_t isn, uint64_t now_ms)
{
	end->local = syn->destination;
	end->remote = syn->source;
	end->state = FAKE_SYN_RECEIVED;
	end->received_next = syn->seq + 1;
	end_start(end, isn);
	arm(end, now_ms);
	end_output(end, CM_TCP_SYN | CM_TCP_ACK, isn, NULL, 0);
}

void fake_end_finish(struct fake_end *end)
{
	for (int i = 0; i < FAKE_WINDOW; i++) {
		free(end->held[i]);
		end->held[i] = NULL;
	}
	free(end->buffer);
	end->buffer = NULL;
	end->buffered = 0;
	end->state = FAKE_CLOSED;
}

/* Sends the data that the window allows, from sent_next on. */
static void push(struct fake_end *end, uint64_t now_ms)
{
	size_t window = FAKE_WINDOW * FAKE_SEGMENT_SIZE;
	size_t at = end->sent_next - end->sent_first;

	if (end->state != FAKE_OPEN)
		return;
	while (at < end->buffered && at < window) {
		size_t length = end->buffered - at;

		if (length > FAKE_SEGMENT_SIZE)
			length = FAKE_SEGMENT_SIZE;
		end_output(end, CM_TCP_ACK, end->sent_next, end->buffer + at,
			   length);
		end->sent_next += (uint32_t)length;
		at += length;
	}
	if (end->closing && at == end->buffered) {
		end_output(end, CM_TCP_ACK | CM_TCP_FIN, end->sent_next, NULL,
			   0);
		end->sent_next++;
	}
	if ((int32_t)(end->sent_next - end->sent_most) > 0)
		end->sent_most = end->sent_next;
	if (end->sent_next != end->sent_first && !end->timer_ms)
		arm(end, now_ms);
}

void fake_end_send(struct fake_end *end, const uint8_t *bytes, size_t length,
		   uint64_t now_ms)
{
	uint8_t *buffer = realloc(end->buffer, end->buffered + length + 1);

	if (!buffer)
		abort();
	memcpy(buffer + end->buffered, bytes, length);
	end->buffer = buffer;
	end->buffered += length;
	push(end, now_ms);
}

void fake_end_close(struct fake_end *end, uint64_t now_ms)
{
	if (end->closing)
		return;
	end->closing = true;
	push(end, now_ms);
}

void fake_end_abort(struct fake_end *end)
{
	if (end->state == FAKE_CLOSED)
		return;
	end_output(end, CM_TCP_RST, end->sent_next, NULL, 0);
	end->state = FAKE_CLOSED;
}

static void handle_reset(struct fake_end *end, const struct cm_packet *packet)
{
	char text[TEXT_SIZE] = "";
	size_t length = cm_packet_payload_length(packet);

	if (end->state == FAKE_SYN_SENT &&
	    (!(packet->flags & CM_TCP_ACK) || packet->ack != end->sent_first))
		return;
	if (end->state != FAKE_SYN_SENT && packet->seq != end->received_next)
		return;
	if (length >= sizeof(text))
		length = sizeof(text) - 1;
	memcpy(text, packet->bytes + packet->payload, length);
	end->state = FAKE_CLOSED;
	end->ops->reset(end, text);
}

static void handle_ack(struct fake_end *end, uint32_t ack, uint64_t now_ms)
{
	uint32_t acked = ack - end->sent_first;

	if (acked > end->sent_most - end->sent_first || !acked)
		return;
	if (acked > end->sent_next - end->sent_first)
		end->sent_next = ack;
	if (acked > end->buffered) {
		end->fin_acked = true;
		acked = (uint32_t)end->buffered;
		end->sent_first++;
	}
	memmove(end->buffer, end->buffer + acked, end->buffered - acked);
	end->buffered -= acked;
	end->sent_first += acked;
	end->rto_ms = FAKE_RTO_MS;
	end->timer_ms = 0;
	if (end->sent_next != end->sent_first)
		arm(end, now_ms);
	if (!end->fin_acked)
		push(end, now_ms);
}

/* Segments are reordered: the fabric may pass each to another instance. */
static void hold(struct fake_end *end, const struct cm_packet *packet)
{
	struct fake_held *held;
	int place = 0;

	for (int i = 0; i < FAKE_WINDOW; i++) {
		if (end->held[i] && end->held[i]->seq == packet->seq)
			return;
		if (!end->held[i])
			place = i;
	}
	if (end->held[place])
		return;
	held = malloc(sizeof(*held));
	if (!held)
		abort();
	held->seq = packet->seq;
	held->length = cm_packet_payload_length(packet);
	held->fin = packet->flags & CM_TCP_FIN;
	memcpy(held->bytes, packet->bytes + packet->payload, held->length);
	end->held[place] = held;
}

static void take(struct fake_end *end, const uint8_t *bytes, size_t length,
		 bool fin)
{
	end->received_next += (uint32_t)length;
	if (length)
		end->ops->receive(end, bytes, length);
	if (fin && end->state != FAKE_CLOSED) {
		end->received_next++;
		end->fin_received = true;
		end->ops->finished(end);
	}
}

static bool take_held(struct fake_end *end)
{
	for (int i = 0; i < FAKE_WINDOW; i++) {
		struct fake_held *held = end->held[i];

		if (!held || (int32_t)(held->seq - end->received_next) > 0)
			continue;
		end->held[i] = NULL;
		if (held->seq == end->received_next && !end->fin_received &&
		    end->state != FAKE_CLOSED)
			take(end, held->bytes, held->length, held->fin);
		free(held);
		return true;
	}
	return false;
}

static void handle_data(struct fake_end *end, const struct cm_packet *packet)
{
	size_t length = cm_packet_payload_length(packet);
	bool fin = packet->flags & CM_TCP_FIN;

	if (!length && !fin)
		return;
	if (packet->seq == end->received_next && !end->fin_received) {
		take(end, packet->bytes + packet->payload, length, fin);
		while (take_held(end))
			;
	} else if ((int32_t)(packet->seq - end->received_next) > 0 &&
		   length <= FAKE_SEGMENT_SIZE) {
		hold(end, packet);
	}
	if (end->state != FAKE_CLOSED)
		end_output(end, CM_TCP_ACK, end->sent_next, NULL, 0);
}

/* RFC 9293, 3.10.7.4: an ACK of another connection is answered by RST. */
static void refuse_ack(struct fake_end *end, const struct cm_packet *packet)
{
	if (packet->flags & CM_TCP_ACK)
		end_output(end, CM_TCP_RST, packet->ack, NULL, 0);
}

static bool handle_handshake(struct fake_end *end,
			     const struct cm_packet *packet, uint64_t now_ms)
{
	if (end->state == FAKE_SYN_SENT) {
		if ((packet->flags & (CM_TCP_SYN | CM_TCP_ACK)) !=
			    (CM_TCP_SYN | CM_TCP_ACK) ||
		    packet->ack != end->sent_first)
			return false;
		end->received_next = packet->seq + 1;
		end->state = FAKE_OPEN;
		end->timer_ms = 0;
		end->rto_ms = FAKE_RTO_MS;
		end_output(end, CM_TCP_ACK, end->sent_next, NULL, 0);
		push(end, now_ms);
		return false;
	}
	if (packet->flags & CM_TCP_SYN) {
		/*
		 * A retransmitted SYN gets the SYN-ACK again, any other SYN a
		 * challenge ACK, RFC 9293 3.10.7.4.
		 */
		if (end->state == FAKE_SYN_RECEIVED &&
		    packet->seq + 1 == end->received_next)
			end_output(end, CM_TCP_SYN | CM_TCP_ACK,
				   end->sent_first - 1, NULL, 0);
		else
			end_output(end, CM_TCP_ACK, end->sent_next, NULL, 0);
		return false;
	}
	if (end->state == FAKE_SYN_RECEIVED) {
		if (packet->ack != end->sent_first) {
			refuse_ack(end, packet);
			return false;
		}
		end->state = FAKE_OPEN;
		end->timer_ms = 0;
		end->rto_ms = FAKE_RTO_MS;
	}
	return true;
}

void fake_end_input(struct fake_end *end, const struct cm_packet *packet,
		    uint64_t now_ms)
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

void fake_end_tick(struct fake_end *end, uint64_t now_ms)
{
	if (end->state == FAKE_CLOSED || !end->timer_ms ||
	    now_ms < end->timer_ms)
		return;
	end->rto_ms *= 2;
	if (end->rto_ms > FAKE_RTO_MAX_MS)
		end->rto_ms = FAKE_RTO_MAX_MS;
	arm(end, now_ms);
	if (end->state == FAKE_SYN_SENT) {
		end_output(end, CM_TCP_SYN, end->sent_first - 1, NULL, 0);
	} else if (end->state == FAKE_SYN_RECEIVED) {
		end_output(end, CM_TCP_SYN | CM_TCP_ACK, end->sent_first - 1,
			   NULL, 0);
	} else {
		end->sent_next = end->sent_first;
		push(end, now_ms);
	}
}

bool fake_end_is_over(const struct fake_end *end)
{
	return end->state == FAKE_CLOSED ||
	       (end->fin_acked && end->fin_received);
}
