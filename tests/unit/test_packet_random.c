#include <netinet/in.h>

#include "adapters/geneve.h"
#include "fake/packet.h"
#include "fake/random.h"
#include "unit/edge.h"
#include "unit/flows.h"
#include "unit/suites.h"

#define ROUNDS 40000
#define SEEDS 4
#define FLIPS_MAX 6

static const struct cm_endpoint tcp = FAKE_SERVICE_TCP;
static const struct cm_endpoint udp = FAKE_SERVICE_UDP;
static const struct cm_endpoint server = { FAKE_FIRST_SERVER_ADDRESS, 80,
					   IPPROTO_TCP };

/**
 * struct sample - a valid packet
 * @relay: relay header; kind 0 for none
 * @is_from_server: the packet comes from a backend server, not from a caller
 * @protocol: TCP or UDP
 * @flags: TCP flags
 */
struct sample {
	struct cm_relay relay;
	bool is_from_server;
	uint8_t protocol;
	uint8_t flags;
};

/* Short forms for the table of samples. */
#define T IPPROTO_TCP
#define U IPPROTO_UDP
#define RELAY(kind, index)                               \
	{                                                \
		(kind), (index), 1, 1, FAKE_SERVICE_TCP, \
		{                                        \
			FAKE_FIRST_SERVER_ADDRESS, 80, T \
		}                                        \
	}

static const struct sample samples[] = {
	{ { 0 }, false, T, CM_TCP_SYN },
	{ { 0 }, false, T, CM_TCP_ACK },
	{ { 0 }, false, T, CM_TCP_ACK | CM_TCP_FIN },
	{ { 0 }, false, T, CM_TCP_RST },
	{ { 0 }, false, U, 0 },
	{ { 0 }, true, T, CM_TCP_SYN | CM_TCP_ACK },
	{ { 0 }, true, T, CM_TCP_ACK },
	{ { 0 }, true, T, CM_TCP_ACK | CM_TCP_FIN },
	{ { 0 }, true, T, CM_TCP_RST },
	{ RELAY(CM_RELAY_LOOKUP, 0), false, T, CM_TCP_SYN },
	{ RELAY(CM_RELAY_LOOKUP, 1), false, T, CM_TCP_ACK },
	{ RELAY(CM_RELAY_ADMIT, 0), false, T, CM_TCP_SYN },
	{ RELAY(CM_RELAY_ADMIT, 255), false, T, CM_TCP_SYN },
	{ RELAY(CM_RELAY_BOUND, 0), false, T, CM_TCP_ACK },
	{ RELAY(CM_RELAY_PROBE, 0), false, T, CM_TCP_ACK },
	{ RELAY(CM_RELAY_RETURN, 0), true, T, CM_TCP_SYN | CM_TCP_ACK },
	{ RELAY(CM_RELAY_RETURN, 1), true, T, CM_TCP_RST },
};

static size_t build_sample(uint8_t *bytes, const struct sample *sample,
			   uint16_t port)
{
	struct cm_endpoint caller = { 0xc6336401, port, sample->protocol };
	uint8_t inner[EDGE_SIZE];
	size_t length;

	if (sample->protocol == U)
		length = fake_datagram_build(inner, &caller, &udp, "abc", 3,
					     true);
	else
		length = fake_segment_build(
			inner, sample->is_from_server ? &server : &caller,
			sample->is_from_server ? &caller : &tcp, sample->flags,
			7, 9, (const uint8_t *)"abc",
			sample->is_from_server ? 0 : 3);
	return edge_encapsulate(bytes,
				sample->relay.kind ? &sample->relay : NULL,
				inner, length);
}

static const struct cm_endpoint *sender_of(const struct sample *sample)
{
	return sample->relay.kind ? &cluster->members[1].data_address :
				    &edge_fabric;
}

static uint64_t count_unparsed(void)
{
	return edge_count(CM_C_DROP_TRUNCATED) +
	       edge_count(CM_C_DROP_MALFORMED);
}

UNIT_CASE("packet edge", "random", edge_setup, edge_teardown, 60);

TEST_TABLE(every_truncation_is_counted, samples)
{
	const struct sample *sample = &samples[_i];
	uint8_t bytes[EDGE_SIZE];
	size_t length = build_sample(bytes, sample, 5000);

	for (size_t cut = 0; cut < length; cut++) {
		uint64_t before = count_unparsed();

		edge_input(bytes, cut, sender_of(sample));
		ck_assert_uint_eq(count_unparsed(), before + 1);
	}
	ck_assert_uint_eq(edge_sent, 0);
	edge_input(bytes, length, sender_of(sample));
}

static void flip_bits(struct fake_random *random, uint8_t *bytes, size_t length)
{
	uint32_t flips = fake_random_below(random, FLIPS_MAX + 1);

	for (uint32_t i = 0; i < flips; i++) {
		uint32_t bit = fake_random_below(random, (uint32_t)length * 8);

		bytes[bit / 8] ^= (uint8_t)(1U << bit % 8);
	}
}

/*
 * Each round sends a sample packet with up to FLIPS_MAX flipped bits. In half
 * of the rounds the IPv4 header checksum is corrected, so that the packet
 * reaches the later checks, and in one of eight the packet is truncated. Each
 * packet must be counted as accepted or as dropped.
 */
TEST_LOOP(randomly_damaged_packets_are_counted, 0, SEEDS)
{
	struct fake_random random = { .state = (uint64_t)_i + 1 };
	uint8_t bytes[EDGE_SIZE];

	for (int i = 0; i < ROUNDS; i++) {
		const struct sample *sample =
			&samples[fake_random_below(&random, COUNT_OF(samples))];
		uint16_t port =
			(uint16_t)(1 + fake_random_below(&random, 2000));
		size_t length = build_sample(bytes, sample, port);
		size_t header_size = sample->relay.kind ? CM_GENEVE_RELAY_SIZE :
							  CM_GENEVE_BASE_SIZE;

		flip_bits(&random, bytes, length);
		if (fake_random_below(&random, 2))
			edge_fix_checksum(bytes + header_size,
					  length - header_size);
		if (!fake_random_below(&random, 8))
			length = fake_random_below(&random, (uint32_t)length);
		edge_input(bytes, length, sender_of(sample));
	}
	ck_assert_uint_eq(edge_count_arrivals(), ROUNDS);
}
