#include "unit/suites.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "adapters/plan_items.h"
#include "adapters/registry_item.h"
#include "chervilmast/error.h"

/* The decoded items as text, as in "server 7f draining=1; ". */
static char decoded[512];
/* The items of the plan that was written last. */
static struct cm_item_log item_log;

static void setup(void)
{
	decoded[0] = '\0';
	cm_item_log_init(&item_log);
}

static void teardown(void)
{
	cm_item_log_finish(&item_log);
}

UNIT_CASE("feed", "registry items", setup, teardown, UNIT_TIMEOUT_S);

#define RECORD(...)                                                            \
	snprintf(decoded + strlen(decoded), sizeof(decoded) - strlen(decoded), \
		 __VA_ARGS__)

static void on_server(void *user, const struct cm_server_entry *entry)
{
	(void)user;
	RECORD("server %llx %s %s %x:%u slots=%u cold=%u draining=%d born=%llu; ",
	       (unsigned long long)entry->id, entry->service, entry->domain,
	       entry->address.address, entry->address.port, entry->slots,
	       entry->cold_left_ms, entry->is_draining,
	       (unsigned long long)entry->started_ms);
}

static void on_server_gone(void *user, uint64_t id)
{
	(void)user;
	RECORD("gone %llx; ", (unsigned long long)id);
}

static void on_plan(void *user, uint64_t version, uint64_t digest)
{
	(void)user;
	(void)digest;
	RECORD("plan %llu; ", (unsigned long long)version);
}

static void on_domain_out(void *user, const char *domain, bool is_out)
{
	(void)user;
	RECORD("domain %s out=%d; ", domain, is_out);
}

static void on_peer(void *user, const struct cm_peer_entry *entry)
{
	(void)user;
	RECORD("peer %s %s %x:%u rank=%llu; ", entry->name, entry->domain,
	       entry->control.address, entry->control.port,
	       (unsigned long long)entry->rank);
}

static void on_peer_gone(void *user, const char *name)
{
	(void)user;
	RECORD("peer gone %s; ", name);
}

static const struct cm_registry_events events = {
	.server = on_server,
	.server_removed = on_server_gone,
	.plan = on_plan,
	.domain_out = on_domain_out,
	.peer = on_peer,
	.peer_removed = on_peer_gone,
};

static int decode(const char *key, const char *value, size_t size,
		  bool is_deleted)
{
	const struct cm_item item = {
		.key = (char *)key,
		.value = (char *)value,
		.size = size,
		.is_deleted = is_deleted,
	};

	return cm_registry_item_decode(&item, &events);
}

static void decode_put_and_removal(const struct cm_registry_item *item)
{
	ASSERT_OK(decode(item->key, item->value, item->size, false));
	ASSERT_OK(decode(item->key, NULL, 0, true));
}

TEST(entries_are_read_as_they_were_written)
{
	const struct cm_server_entry server = {
		.id = 0x7f3a91c2,
		.started_ms = 1700000000000,
		.service = "ledger",
		.domain = "a",
		.address = { 0x0a800009, 8080, IPPROTO_UDP },
		.slots = 3,
		.cold_left_ms = 5,
		.is_draining = true,
	};
	const struct cm_peer_entry peer = {
		.name = "a-1",
		.domain = "a",
		.control = { 0x0a010001, 8166, IPPROTO_TCP },
		.rank = UINT64_MAX,
	};
	struct cm_registry_item item;

	cm_registry_item_server(&item, server.id, &server);
	decode_put_and_removal(&item);
	cm_registry_item_peer(&item, &peer);
	decode_put_and_removal(&item);
	cm_registry_item_domain_out(&item, "b");
	decode_put_and_removal(&item);
	ck_assert_str_eq(decoded,
			 "server 7f3a91c2 ledger a a800009:8080 slots=3 cold=5 "
			 "draining=1 born=1700000000000; gone 7f3a91c2; "
			 "peer a-1 a a010001:8166 rank=18446744073709551615; "
			 "peer gone a-1; domain b out=1; domain b out=0; ");
}

#define LONG "hokkaido-sapporo-edge-of-the-petty-cash-ledger"
#define SHORTENED "hokkaido-sappo.ef7addbb275390e2"

/* Keys with names that an instance does not store whole. */
TEST(long_names_in_keys_are_read)
{
	ASSERT_OK(decode("o/" LONG, "", 0, false));
	ASSERT_OK(decode("m/" LONG, "\x94\xa1z\x01\x02\x03", 6, false));
	ASSERT_OK(decode("m/" LONG, "", 0, true));
	ck_assert_str_eq(decoded, "domain " SHORTENED " out=1; peer " SHORTENED
				  " z 1:2 rank=3; peer gone " SHORTENED "; ");
}

/* Values of a server's item, and the result of decoding them. */
static const struct {
	const char *bytes;
	size_t size;
	int error;
} values[] = {
	UNIT_BYTES("\x98\x01\xa1s\xa1z\x01\x02\x03\x00\x00", 0),
	UNIT_BYTES("", CM_E_MALFORMED),
	UNIT_BYTES("\x98\x01", CM_E_MALFORMED),
	UNIT_BYTES("\x97\x01\xa1s\xa1z\x01\x02\x03\x00", CM_E_TRUNCATED),
	UNIT_BYTES("\x99\x01\xa1s\xa1z\x01\x02\x03\x00\x00\x00",
		   CM_E_TOO_LARGE),
	UNIT_BYTES("\x98\x01\xa1s\xa1z\x01\x02\x03\x00\x00\x00",
		   CM_E_MALFORMED),
	UNIT_BYTES("\x98\x01\x07\xa1z\x01\x02\x03\x00\x00", CM_E_WRONG_TYPE),
	UNIT_BYTES("\x98\x01\xa1s\xa1z\x01\xce\x00\x01\x00\x00\x03\x00\x00",
		   CM_E_OUT_OF_RANGE),
	UNIT_BYTES("\x98\x01\xa1s\xa1z\x01\x02\x00\x00\x00", CM_E_OUT_OF_RANGE),
	UNIT_BYTES("\x98\x01\xa1s\xa1z\x01\x02\x03\x00\x02", CM_E_OUT_OF_RANGE),
};

TEST_TABLE(bad_value_is_refused, values)
{
	ck_assert_int_eq(
		decode("s/7f", values[_i].bytes, values[_i].size, false),
		values[_i].error);
	ck_assert_int_eq(!strcmp(decoded, "gone 7f; "), values[_i].error != 0);
}

/* Keys, and the result of decoding an item with the key. */
static const struct {
	const char *key;
	int error;
} keys[] = {
	{ "", CM_E_UNSUPPORTED },    { "s", CM_E_UNSUPPORTED },
	{ "x/1", CM_E_UNSUPPORTED }, { "s/", CM_E_BAD_NAME },
	{ "s/7g", CM_E_BAD_NAME },   { "m/", CM_E_BAD_NAME },
	{ "p/x", CM_E_UNSUPPORTED }, { "p/services", 0 },
	{ "p/routes/1", 0 },
};

TEST_TABLE(bad_key_is_refused, keys)
{
	ck_assert_int_eq(decode(keys[_i].key, "\x80", 1, false),
			 keys[_i].error);
	ck_assert_str_eq(decoded, "");
}

/* Number of items that the last write_plan() changed. */
static uint32_t changed_items;

static void put_item(void *user, const char *key, const char *value,
		     size_t size)
{
	const uint64_t *revision = user;

	changed_items +=
		cm_item_log_put(&item_log, key, value, size, *revision) != NULL;
}

static void build_plan(struct cm_steer_plan *plan, uint32_t routes,
		       uint32_t reweighted_route)
{
	const struct cm_steer_service services[] = { { "ledger", 2 },
						     { "desk", 0 } };

	ASSERT_OK(cm_steer_plan_init(plan, 7, routes, 2));
	for (uint32_t i = 0; i < routes; i++) {
		const struct cm_steer_route route = {
			.address = { 0xc6120000 + i, 443, IPPROTO_TCP },
			.target_count = 2,
			.targets = { { "ledger",
				       i == reweighted_route ? 1 : 90 },
				     { "desk", 10 } },
		};

		ASSERT_OK(cm_steer_plan_add_route(plan, &route));
	}
	cm_steer_plan_add_service(plan, &services[0]);
	cm_steer_plan_add_service(plan, &services[1]);
	ASSERT_OK(cm_steer_plan_seal(plan));
}

static void write_plan(uint32_t routes, uint32_t reweighted_route,
		       uint64_t revision)
{
	struct cm_steer_plan plan;

	build_plan(&plan, routes, reweighted_route);
	changed_items = 0;
	cm_plan_items_write(&plan, put_item, &revision);
	cm_steer_plan_finish(&plan);
}

static const uint32_t route_counts[] = { 0, 1, 33, 2400 };

TEST_TABLE(plan_is_read_as_it_was_written, route_counts)
{
	const uint32_t count = route_counts[_i];
	struct cm_steer_plan plan;

	write_plan(count, UINT32_MAX, 1);
	ASSERT_OK(cm_plan_items_read(&plan, &item_log, 7));
	ck_assert_uint_eq(plan.version, 7);
	ck_assert_uint_eq(plan.route_count, count);
	ck_assert_uint_eq(
		cm_steer_plan_find_service(&plan, "ledger")->cold_per_s, 2);
	for (uint32_t i = 0; i < count; i++) {
		const struct cm_endpoint address = { 0xc6120000 + i, 443,
						     IPPROTO_TCP };
		const struct cm_plan_route *route =
			cm_steer_plan_find_route(&plan, &address);

		ck_assert_ptr_nonnull(route);
		ck_assert_str_eq(cm_steer_plan_select_service(&plan, route, 89),
				 "ledger");
		ck_assert_str_eq(cm_steer_plan_select_service(&plan, route, 90),
				 "desk");
	}
	cm_steer_plan_finish(&plan);
}

/* Guards against a plan that other instances refuse as a whole because of a
 * route with many targets. */
TEST(route_with_many_targets_is_read_as_it_was_written)
{
	const struct cm_steer_route route = {
		.address = { 0xc6120000, 443, IPPROTO_TCP },
	};
	const uint32_t count = 5 * CM_ROUTE_TARGETS_MAX;
	const uint64_t revision = 1;
	struct cm_route_target target = { .weight = 1 };
	struct cm_steer_plan plan;

	ASSERT_OK(cm_steer_plan_init(&plan, 7, 1, 0));
	ASSERT_OK(cm_steer_plan_add_route(&plan, &route));
	for (uint32_t i = 0; i < count; i++) {
		snprintf(target.service, sizeof(target.service), "s%u", i);
		ASSERT_OK(cm_steer_plan_add_target(&plan, &target));
	}
	ASSERT_OK(cm_steer_plan_seal(&plan));
	cm_plan_items_write(&plan, put_item, (void *)&revision);
	cm_steer_plan_finish(&plan);
	ASSERT_OK(cm_plan_items_read(&plan, &item_log, 7));
	ck_assert_uint_eq(plan.routes[0].target_count, count);
	ck_assert_str_eq(
		cm_steer_plan_select_service(&plan, plan.routes, count - 1),
		target.service);
	cm_steer_plan_finish(&plan);
}

/* Guards against a request that must not run twice and counts as repeatable, as
 * there are more different traits than groups of them. */
TEST(kind_of_every_route_is_kept)
{
	const uint32_t count = 500;
	const uint64_t revision = 1;
	struct cm_steer_plan plan;

	ASSERT_OK(cm_steer_plan_init(&plan, 7, count, 0));
	for (uint32_t i = 0; i < count; i++) {
		const struct cm_steer_route route = {
			.address = { 0xc6120000 + i, 443, IPPROTO_TCP },
			.traits = { i < 400 ? i % 2 : i % 5, 0,
				    i < 100 ? 9 : i + 1 },
			.target_count = 1,
			.targets = { { "s", 1 } },
		};

		ASSERT_OK(cm_steer_plan_add_route(&plan, &route));
	}
	ASSERT_OK(cm_steer_plan_seal(&plan));
	cm_plan_items_write(&plan, put_item, (void *)&revision);
	cm_steer_plan_finish(&plan);
	ASSERT_OK(cm_plan_items_read(&plan, &item_log, 7));
	for (uint32_t i = 0; i < count; i++)
		ck_assert_int_eq(plan.routes[i].traits.kind,
				 i < 400 ? i % 2 : i % 5);
	cm_steer_plan_finish(&plan);
}

/* Nodes send each other the changed items of a plan. A change to one route, or
 * one more route, must not change the items of all 2,400 routes. */
TEST(one_route_changes_one_item)
{
	write_plan(2400, UINT32_MAX, 1);
	ck_assert_uint_eq(changed_items, CM_PLAN_PARTS + 3);
	write_plan(2400, UINT32_MAX, 2);
	ck_assert_uint_eq(changed_items, 0);
	/* The item of the route, and the item of the version and digest. */
	write_plan(2400, 1200, 3);
	ck_assert_uint_eq(changed_items, 2);
	write_plan(2401, 1200, 4);
	ck_assert_uint_eq(changed_items, 2);
}

TEST(plan_without_an_item_is_refused)
{
	struct cm_steer_plan plan;

	write_plan(3, UINT32_MAX, 1);
	cm_item_log_remove(&item_log, "p/routes/5", 2, 0);
	ck_assert_int_eq(cm_plan_items_read(&plan, &item_log, 7),
			 CM_E_MISSING_KEY);
	cm_steer_plan_finish(&plan);
}

/* Values of an item of routes, and the result of decoding the plan. */
static const struct {
	const char *bytes;
	size_t size;
	int error;
} routes[] = {
	UNIT_BYTES("\x90", 0),
	UNIT_BYTES("\x91\x95\x01\x02\x03\xa1s\x01", 0),
	UNIT_BYTES("\x91\x93\x01\x02\x03", CM_E_TRUNCATED),
	UNIT_BYTES("\x91\x94\x01\x02\x03\xa1s", CM_E_TRUNCATED),
	UNIT_BYTES("\x91\x95\x01\xa1x\x03\xa1s\x01", CM_E_WRONG_TYPE),
	UNIT_BYTES("\x91\x95\x01\x02\xa1x\xa1s\x01", CM_E_WRONG_TYPE),
	UNIT_BYTES("\x92\x95\x01\x02\x03\xa1s\x01\x95\x01\x02\x03\xa1s\x01",
		   CM_E_DUPLICATE_ENDPOINT),
	UNIT_BYTES("\x92\x95\x01\x02\x03\xa1s\x01", CM_E_MALFORMED),
	UNIT_BYTES("\x07", CM_E_WRONG_TYPE),
};

TEST_TABLE(bad_routes_are_refused, routes)
{
	struct cm_steer_plan plan;

	write_plan(0, UINT32_MAX, 1);
	cm_item_log_put(&item_log, "p/routes/5", routes[_i].bytes,
			routes[_i].size, 2);
	ck_assert_int_eq(cm_plan_items_read(&plan, &item_log, 7),
			 routes[_i].error);
	cm_steer_plan_finish(&plan);
}
