#include "unit/suites.h"

#include <netinet/in.h>
#include <string.h>

#include "adapters/geneve.h"
#include "chervilmast/error.h"

UNIT_CASE("geneve", "header", NULL, NULL, UNIT_TIMEOUT_S);

TEST(relay_header_is_read_back)
{
	struct cm_relay relay = {
		.kind = CM_RELAY_BOUND,
		.kind_data = 3,
		.hops = 2,
		.version = 77,
		.service = { 0xcb00710a, 443, IPPROTO_TCP },
		.server = { 0xc000020a, 8443, IPPROTO_TCP },
	};
	uint8_t bytes[CM_GENEVE_RELAY_SIZE];
	size_t length = cm_geneve_write(bytes, &relay);
	struct cm_geneve geneve;

	ASSERT_OK(cm_geneve_read(&geneve, bytes, length));
	ck_assert_uint_eq(geneve.length, length);
	ck_assert(geneve.has_relay);
	ck_assert_int_eq(geneve.relay.kind, relay.kind);
	ck_assert_uint_eq(geneve.relay.kind_data, relay.kind_data);
	ck_assert_uint_eq(geneve.relay.hops, relay.hops);
	ck_assert_uint_eq(geneve.relay.version, relay.version);
	ck_assert(cm_endpoint_equal(&geneve.relay.service, &relay.service));
	ck_assert(cm_endpoint_equal(&geneve.relay.server, &relay.server));
}

/* Truncated, malformed or unsupported headers, and the expected errors. */
static const struct {
	uint8_t bytes[CM_GENEVE_RELAY_SIZE];
	size_t length;
	int error;
} bad_headers[] = {
	{ { 0 }, 0, CM_E_TRUNCATED },
	{ { 0, 0, 8, 0 }, 7, CM_E_TRUNCATED },
	{ { 0x40, 0, 8, 0 }, 8, CM_E_UNSUPPORTED },
	{ { 0, 0x80, 8, 0 }, 8, CM_E_UNSUPPORTED },
	{ { 0, 0, 0x86, 0xdd }, 8, CM_E_UNSUPPORTED },
	{ { 1, 0, 8, 0 }, 8, CM_E_TRUNCATED },
	{ { 1, 0, 8, 0, 0, 0, 0, 0, 1, 2, 0x03, 1 }, 12, CM_E_MALFORMED },
	{ { 1, 0x40, 8, 0, 0, 0, 0, 0, 1, 2, 0x83, 0 }, 12, CM_E_UNSUPPORTED },
	{ { 1, 0x40, 8, 0, 0, 0, 0, 0, 0xff, 0x4c, 0x81, 0 },
	  12,
	  CM_E_TRUNCATED },
	{ { 6, 0x40, 8, 0, 0, 0, 0, 0, 0xff, 0x4c, 0x81, 5, 9 },
	  32,
	  CM_E_MALFORMED },
};

TEST_TABLE(bad_header_is_refused, bad_headers)
{
	struct cm_geneve geneve;

	ck_assert_int_eq(cm_geneve_read(&geneve, bad_headers[_i].bytes,
					bad_headers[_i].length),
			 bad_headers[_i].error);
}
