#include "unit/suites.h"

#include <netinet/in.h>
#include <string.h>

#include "fake/tcp_end.h"

#define PORTION_SIZE 8192
#define PORTIONS 3

static const struct cm_endpoint caller = { 0xc6336401, 5000, IPPROTO_TCP };
static const struct cm_endpoint server = { 0xc000020a, 8443, IPPROTO_TCP };

/**
 * struct linked_end - a TCP end whose output is the input of another end
 * @end: must stay the first member
 * @peer: the other end
 * @lose: drop the output
 * @received: number of bytes received
 */
struct linked_end {
	struct fake_tcp_end end;
	struct linked_end *peer;
	bool lose;
	size_t received;
};

static void linked_output(struct fake_tcp_end *end, const uint8_t *bytes,
			  size_t length)
{
	struct linked_end *linked = (struct linked_end *)end;
	uint8_t copy[CM_BUILT_PACKET_SIZE_MAX + FAKE_SEGMENT_PAYLOAD_MAX];
	struct cm_packet packet;

	memcpy(copy, bytes, length);
	ASSERT_OK(cm_packet_parse(&packet, copy, length));
	if (linked->lose)
		return;
	if (linked->peer->end.state == FAKE_CLOSED)
		fake_tcp_end_accept(&linked->peer->end, &packet, 7, 0);
	else
		fake_tcp_end_input(&linked->peer->end, &packet, 0);
}

static void linked_receive(struct fake_tcp_end *end, const uint8_t *bytes,
			   size_t length)
{
	(void)bytes;
	((struct linked_end *)end)->received += length;
}

static void linked_finished(struct fake_tcp_end *end)
{
	(void)end;
}

static void linked_reset(struct fake_tcp_end *end, const char *text)
{
	(void)end;
	(void)text;
}

static const struct fake_tcp_end_ops linked_ops = {
	.output = linked_output,
	.receive = linked_receive,
	.peer_closed = linked_finished,
	.reset = linked_reset,
};

UNIT_CASE("segment", "retransmission", NULL, NULL, UNIT_TIMEOUT_S);

/*
 * The acknowledgments of the first transmission are lost. After the timeout the
 * sender resends from the first unacknowledged byte, and the next
 * acknowledgment covers all bytes sent before the timeout, beyond those resent
 * so far. The sender must accept it, or the transfer stalls.
 */
TEST(ack_of_bytes_sent_before_the_timeout_is_accepted)
{
	struct linked_end a = { .end.ops = &linked_ops };
	struct linked_end b = { .end.ops = &linked_ops, .peer = &a };
	uint8_t portion[PORTION_SIZE] = { 0 };

	a.peer = &b;
	fake_tcp_end_connect(&a.end, &caller, &server, 1, 0);
	b.lose = true;
	for (int i = 0; i < PORTIONS; i++)
		fake_tcp_end_send(&a.end, portion, sizeof(portion), 0);
	b.lose = false;
	for (uint64_t now_ms = 0; now_ms < 10000; now_ms += FAKE_RTO_MS)
		fake_tcp_end_tick(&a.end, now_ms);
	ck_assert_uint_eq(b.received, sizeof(portion) * PORTIONS);
	fake_tcp_end_finish(&a.end);
	fake_tcp_end_finish(&b.end);
}
