#include "unit/suites.h"

#include <netinet/in.h>
#include <string.h>

#include "chervilmast/error.h"
#include "fake/tcp_end.h"

static const struct cm_endpoint caller = { 0xc6336401, 5000, IPPROTO_TCP };
static const struct cm_endpoint service = { 0xcb00710a, 443, IPPROTO_TCP };
static const struct cm_endpoint server = { 0xc000020a, 8443, IPPROTO_TCP };

UNIT_CASE("packet", "headers", NULL, NULL, UNIT_TIMEOUT_S);

/* Rewrites update the checksums incrementally, see RFC 1624. */
TEST(rewrite_equals_fresh_build)
{
	uint8_t rewritten[256], fresh[256];
	size_t length =
		fake_segment_build(rewritten, &caller, &service, CM_TCP_ACK, 7,
				   9, (const uint8_t *)"abc", 3);
	struct cm_packet packet;

	ASSERT_OK(cm_packet_parse(&packet, rewritten, length));
	cm_packet_set_destination(&packet, &server);
	fake_segment_build(fresh, &caller, &server, CM_TCP_ACK, 7, 9,
			   (const uint8_t *)"abc", 3);
	ck_assert_mem_eq(rewritten, fresh, length);
	cm_packet_set_source(&packet, &service);
	fake_segment_build(fresh, &service, &server, CM_TCP_ACK, 7, 9,
			   (const uint8_t *)"abc", 3);
	ck_assert_mem_eq(rewritten, fresh, length);
}

TEST(copied_header_equals_fresh_build)
{
	uint8_t bytes[256], fresh[256];
	size_t length = fake_segment_build(bytes, &caller, &service, CM_TCP_ACK,
					   7, 9, (const uint8_t *)"abc", 3);
	struct cm_built_packet built;
	struct cm_packet packet;

	ASSERT_OK(cm_packet_parse(&packet, bytes, length));
	cm_packet_copy_headers(&built, &packet);
	length = fake_segment_build(fresh, &caller, &service, CM_TCP_ACK, 7, 9,
				    NULL, 0);
	ck_assert_uint_eq(built.length, length);
	ck_assert_mem_eq(built.bytes, fresh, length);
}

TEST(reset_answers_syn)
{
	uint8_t bytes[256], fresh[256];
	size_t length = fake_segment_build(bytes, &caller, &service, CM_TCP_SYN,
					   41, 0, NULL, 0);
	struct cm_built_packet built;
	struct cm_packet packet;

	ASSERT_OK(cm_packet_parse(&packet, bytes, length));
	cm_packet_build_answer_reset(&built, &packet, "why");
	length = fake_segment_build(fresh, &service, &caller,
				    CM_TCP_RST | CM_TCP_ACK, 0, 42,
				    (const uint8_t *)"why", 3);
	ck_assert_uint_eq(built.length, length);
	ASSERT_OK(cm_packet_parse(&packet, built.bytes, built.length));
	ck_assert_uint_eq(packet.ack, 42);
	ck_assert_uint_eq(cm_packet_payload_length(&packet), 3);
}

/* Every proper prefix of a valid packet is rejected as truncated. */
TEST(truncated_packet_is_refused)
{
	uint8_t bytes[256];
	size_t length = fake_segment_build(bytes, &caller, &service, CM_TCP_ACK,
					   7, 9, (const uint8_t *)"abc", 3);
	struct cm_packet packet;

	for (size_t i = 0; i < length; i++)
		ck_assert_int_eq(cm_packet_parse(&packet, bytes, i),
				 CM_E_TRUNCATED);
}
