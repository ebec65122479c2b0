#include "unit/edge.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/geneve.h"
#include "daemon/packet_loop.h"
#include "fake/packet.h"
#include "unit/flows.h"
#include "unit/suites.h"

#define IPV4_HEADER_MIN_BYTES 20

const struct cm_endpoint edge_fabric = { 0x7f000001, 6081, IPPROTO_UDP };
uint64_t edge_sent;

static struct cm_notification_queue notifications;
static struct cm_packet_loop loop;
static struct cm_actions actions;
static struct cm_settings settings;

static int sink_send(struct cm_link *base, const struct cm_endpoint *to,
		     const uint8_t *head, size_t head_length,
		     const uint8_t *body, size_t body_length)
{
	(void)base;
	(void)to;
	(void)head;
	(void)head_length;
	(void)body;
	(void)body_length;
	edge_sent++;
	return 0;
}

static const struct cm_link_ops sink_ops = { .send = sink_send };
static struct cm_link sink = { .ops = &sink_ops };

void edge_setup(void)
{
	flows_setup_small();
	edge_sent = 0;
	settings.fabric = edge_fabric;
	settings.threads = 0;
	ASSERT_OK(cm_notification_queue_init(&notifications,
					     &cluster->nodes[0].counters));
	ASSERT_OK(cm_packet_loop_init(&loop, &cluster->nodes[0], &sink,
				      &notifications, &settings));
	cm_actions_init(&actions);
}

void edge_teardown(void)
{
	cm_actions_finish(&actions);
	cm_packet_loop_finish(&loop);
	cm_notification_queue_finish(&notifications);
	flows_teardown();
}

uint64_t edge_count(enum cm_counter counter)
{
	return cm_counters_get(&cluster->nodes[0].counters, counter);
}

static bool starts_with(const char *text, const char *start)
{
	return !strncmp(text, start, strlen(start));
}

/* Each datagram increments at least one of the counters summed here. */
static uint64_t count_outcomes(void)
{
	uint64_t sum = 0;

	for (int i = 0; i < CM_COUNTER_COUNT; i++) {
		const char *name = cm_counter_name(i);

		if (starts_with(name, "drop_") ||
		    starts_with(name, "refused_") ||
		    starts_with(name, "packets_to_") ||
		    !strcmp(name, "packets_relayed"))
			sum += edge_count(i);
	}
	return sum;
}

/* Each datagram increments exactly one of the counters summed here. */
uint64_t edge_count_arrivals(void)
{
	return edge_count(CM_C_PACKETS_FROM_FABRIC) +
	       edge_count(CM_C_PACKETS_FROM_PEER) +
	       edge_count(CM_C_DROP_TRUNCATED) +
	       edge_count(CM_C_DROP_MALFORMED) +
	       edge_count(CM_C_DROP_UNSUPPORTED) +
	       edge_count(CM_C_DROP_FOREIGN_FABRIC) +
	       edge_count(CM_C_DROP_FOREIGN_RELAY);
}

void edge_input(uint8_t *bytes, size_t length, const struct cm_endpoint *from)
{
	uint64_t arrivals = edge_count_arrivals();
	uint64_t outcomes = count_outcomes();
	uint8_t *copy = malloc(length + 1);

	/* A buffer of the exact size lets the sanitizer detect overreads. */
	memcpy(copy, bytes, length);
	copy = realloc(copy, length ? length : 1);
	cm_packet_loop_handle_datagram(&loop, ++cluster->now_ms, copy, length,
				       from, &actions);
	free(copy);
	ck_assert_uint_eq(edge_count_arrivals(), arrivals + 1);
	ck_assert_uint_gt(count_outcomes(), outcomes);
}

size_t edge_encapsulate(uint8_t *bytes, const struct cm_relay *relay,
			const uint8_t *inner, size_t length)
{
	size_t head = cm_geneve_write(bytes, relay);

	memcpy(bytes + head, inner, length);
	return head + length;
}

void edge_input_packet(const uint8_t *inner, size_t length,
		       const struct cm_relay *relay,
		       const struct cm_endpoint *from)
{
	uint8_t bytes[EDGE_SIZE];

	edge_input(bytes, edge_encapsulate(bytes, relay, inner, length), from);
}

void edge_fix_checksum(uint8_t *inner, size_t length)
{
	size_t head = (size_t)(inner[0] & 0xf) * 4;

	if (length >= IPV4_HEADER_MIN_BYTES && head <= length &&
	    head >= IPV4_HEADER_MIN_BYTES)
		fake_packet_set_checksum(inner);
}
