#include "unit/suites.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"
#include "chervilmast/store_era.h"
#include "platform/registry.h"
#include "platform/store_client.h"
#include "standin/platform_store.h"

#define TIMEOUT_MS 3000
#define URL_SIZE 64
#define VALUE_SIZE 8
#define LEASE_TTL_MS 10000
#define WATCH_MS 20

/* The last item that the store returned, and what a read reported. */
static struct {
	char value[VALUE_SIZE];
	cm_position revision;
	int items;
	int restarts;
	cm_position reached;
} received;

static void record_put(void *user, const char *key, const char *value,
		       size_t size, cm_position revision)
{
	(void)user;
	(void)key;
	snprintf(received.value, sizeof(received.value), "%.*s", (int)size,
		 value);
	received.revision = revision;
	received.items++;
}

static void record_remove(void *user, const char *key, cm_position revision)
{
	(void)user;
	(void)key;
	(void)revision;
}

static void record_restart(void *user, cm_position revision)
{
	(void)user;
	(void)revision;
	received.restarts++;
	received.items = 0;
}

static void record_reached(void *user, cm_position revision)
{
	(void)user;
	received.reached = revision;
}

static const struct platform_store_sink sink = {
	.put = record_put,
	.remove = record_remove,
	.restarted = record_restart,
	.complete_up_to = record_reached,
};

static struct platform_standin standin;
static struct platform_store store;

static char url[URL_SIZE];

static void setup(void)
{
	uint16_t port = platform_standin_start(&standin, 0);

	ck_assert_uint_ne(port, 0);
	memset(&received, 0, sizeof(received));
	snprintf(url, sizeof(url), "http://127.0.0.1:%u", port);
	ASSERT_OK(platform_store_init(&store, url, TIMEOUT_MS));
}

static void teardown(void)
{
	platform_store_finish(&store);
	platform_standin_stop(&standin);
}

UNIT_CASE("platform", "store era", setup, teardown, 20);

static const struct {
	uint64_t era;
	uint64_t revision;
	int error;
} positions[] = {
	{ 0, 0, CM_OK },
	{ 0, 7, CM_OK },
	{ 3, 7, CM_OK },
	{ CM_POSITION_ERA_MAX, CM_POSITION_REVISION_MAX, CM_OK },
	{ CM_POSITION_ERA_MAX + 1, 7, CM_E_OUT_OF_RANGE },
	{ 3, CM_POSITION_REVISION_MAX + 1, CM_E_OUT_OF_RANGE },
};

/* A number that does not fit must not spill into the other one. */
TEST_TABLE(position_is_split_as_it_was_composed, positions)
{
	cm_position position = 0;

	ck_assert_int_eq(cm_position_compose(&position, positions[_i].era,
					     positions[_i].revision),
			 positions[_i].error);
	if (positions[_i].error)
		return;
	ck_assert_uint_eq(cm_position_era(position), positions[_i].era);
	ck_assert_uint_eq(cm_position_revision(position),
			  positions[_i].revision);
}

static cm_position position_of(uint64_t era, uint64_t revision)
{
	cm_position position;

	ASSERT_OK(cm_position_compose(&position, era, revision));
	return position;
}

/* Each later era is reported once; the first position and a position of an
 * earlier era are no change. */
TEST(change_of_era_is_reported_once)
{
	struct cm_store_era era = { 0 };
	struct cm_era_change change;

	ck_assert(!cm_store_era_observe(&era, position_of(1, 500), &change));
	ck_assert(!cm_store_era_observe(&era, position_of(1, 510), &change));
	ck_assert(cm_store_era_observe(&era, position_of(2, 490), &change));
	ck_assert_uint_eq(change.before, position_of(1, 510));
	ck_assert_uint_eq(change.after, position_of(2, 490));
	ck_assert(!cm_store_era_observe(&era, position_of(1, 520), &change));
	ck_assert(!cm_store_era_observe(&era, position_of(2, 491), &change));
	ck_assert(cm_store_era_observe(&era, position_of(3, 480), &change));
	ck_assert_uint_eq(change.before, position_of(2, 491));
}

static const struct {
	const char *text;
	int error;
} headers[] = {
	{ "0", CM_OK },
	{ "65535", CM_OK },
	{ "65536", CM_E_OUT_OF_RANGE },
	{ "99999999999999999999999", CM_E_OUT_OF_RANGE },
	{ "x", CM_E_PROTOCOL },
	{ "-1", CM_E_PROTOCOL },
	{ "+1", CM_E_PROTOCOL },
	{ "1.0", CM_E_PROTOCOL },
	{ "0x1", CM_E_PROTOCOL },
	{ "1, 2", CM_E_PROTOCOL },
	{ "1 2", CM_E_PROTOCOL },
};

/* A header that can't be decoded must not be taken for era 0. */
TEST_TABLE(era_header_is_decoded, headers)
{
	platform_standin_put(&standin, "a", "1");
	standin.era_header = headers[_i].text;
	ck_assert_int_eq(platform_store_read(&store, "", false, &sink),
			 headers[_i].error);
	ck_assert_int_eq(received.items, headers[_i].error ? 0 : 1);
	if (!headers[_i].error)
		ck_assert_uint_eq(cm_position_era(received.revision),
				  strtoull(headers[_i].text, NULL, 10));
}

/* Without the header all positions equal the store's revisions, as before. */
TEST(position_without_the_header_is_the_revision)
{
	platform_standin_put(&standin, "a", "1");
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_uint_eq(received.revision, (uint64_t)standin.kv.revision);
	ck_assert_uint_eq(received.reached, (uint64_t)standin.kv.revision);
}

/* A revision of more than 48 bits, of the read or of an item, would change the
 * era of its position. */
TEST(revision_out_of_range_is_refused)
{
	platform_standin_put(&standin, "a", "1");
	standin.kv.revision = (int64_t)CM_POSITION_REVISION_MAX + 1;
	ck_assert_int_eq(platform_store_read(&store, "", false, &sink),
			 CM_E_OUT_OF_RANGE);
	platform_standin_put(&standin, "a", "2");
	standin.kv.revision = 200;
	ck_assert_int_eq(platform_store_read(&store, "", false, &sink),
			 CM_E_OUT_OF_RANGE);
}

/* Answers with an error status name the era too. If it were ignored there,
 * a delayed answer of the earlier era would still be accepted. */
TEST(error_status_reports_the_era)
{
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	platform_standin_set_era(&standin, 4);
	platform_standin_set_fault(&standin, PLATFORM_FAULT_DOWN);
	ck_assert_int_eq(platform_store_read(&store, "", false, &sink),
			 CM_E_UNAVAILABLE);
	ck_assert_uint_eq(store.era, 4);
}

/* A delayed answer would bring back what the store no longer has. */
TEST(answer_of_an_earlier_era_is_refused)
{
	platform_standin_put(&standin, "a", "1");
	store.era = 2;
	platform_standin_set_era(&standin, 1);
	ck_assert_int_eq(platform_store_read(&store, "", false, &sink),
			 CM_E_ERA_DIFFERS);
	ck_assert_int_eq(platform_store_watch(&store, position_of(2, 1),
					      WATCH_MS, &sink),
			 CM_E_ERA_DIFFERS);
	ck_assert_int_eq(received.items, 0);
}

/* The revision numbers of the position exist in the new era too, but count
 * other changes there. */
TEST(watch_from_an_earlier_era_is_not_trusted)
{
	uint64_t calls;

	platform_standin_set_era(&standin, 1);
	platform_standin_put(&standin, "a", "1");
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	received.items = 0;
	platform_standin_set_era(&standin, 2);
	platform_standin_put(&standin, "b", "1");
	ck_assert_int_eq(
		platform_store_watch(&store, received.reached, WATCH_MS, &sink),
		CM_E_COMPACTED);
	ck_assert_int_eq(received.items, 0);
	calls = platform_standin_calls(&standin);
	ck_assert_int_eq(
		platform_store_watch(&store, received.reached, WATCH_MS, &sink),
		CM_E_COMPACTED);
	ck_assert_uint_eq(platform_standin_calls(&standin), calls);
}

/* The copy has fewer revisions than the client has seen: status 410. */
TEST(watch_after_the_store_went_back_ends)
{
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	platform_standin_put(&standin, "a", "1");
	platform_standin_put(&standin, "a", "2");
	received.reached = (uint64_t)standin.kv.revision;
	platform_standin_go_back(&standin, 0);
	ck_assert_int_eq(
		platform_store_watch(&store, received.reached, WATCH_MS, &sink),
		CM_E_COMPACTED);
	ck_assert_uint_eq(store.era, 1);
	platform_standin_put(&standin, "a", "3");
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_uint_gt(received.revision, received.reached - 1);
}

/* A key gets the revision number that it had before, with other content. Its
 * position must be later than the first one. */
TEST(reused_revision_gets_a_later_position)
{
	cm_position first;

	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	platform_standin_put(&standin, "a", "1");
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	first = received.revision;
	platform_standin_go_back(&standin, 1000);
	platform_standin_put(&standin, "a", "2");
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_uint_eq(cm_position_revision(received.revision),
			  cm_position_revision(first));
	ck_assert_uint_gt(received.revision, first);
	ck_assert_str_eq(received.value, "\x02");
}

static void put_keys(int count)
{
	char key[8];

	for (int i = 0; i < count; i++) {
		snprintf(key, sizeof(key), "k/%d", i);
		platform_standin_put(&standin, key, "1");
	}
}

static const struct {
	unsigned int changes;
	int restarts;
	int error;
} page_cases[] = {
	{ 0, 0, CM_OK },
	{ 1, 1, CM_OK },
	/* One change is before the second page, one before the restart. */
	{ 2, 1, CM_OK },
	{ 3, 2, CM_OK },
	{ 40, 3, CM_E_ERA_DIFFERS },
};

/* Pages of two eras don't fit together, so the read starts again, but not
 * endlessly. */
TEST_TABLE(read_starts_again_when_the_era_changes_between_pages, page_cases)
{
	put_keys(5);
	standin.page_size = 2;
	standin.era_changes = page_cases[_i].changes;
	ck_assert_int_eq(platform_store_read(&store, "", false, &sink),
			 page_cases[_i].error);
	ck_assert_int_eq(received.restarts, page_cases[_i].restarts);
	if (page_cases[_i].error)
		return;
	ck_assert_int_eq(received.items, 5);
	ck_assert_uint_eq(cm_position_era(received.reached),
			  page_cases[_i].changes);
}

static int swap(cm_position revision, struct cm_registry_lease lease)
{
	const msgpack_sbuffer value = { .data = "\x80", .size = 1 };
	const struct platform_swap write = { "m", revision, &value, lease };

	return platform_store_swap(&store, &write, &sink);
}

/* The key has the expected revision number again, but not the expected value;
 * the write would replace a value that nobody has read. */
TEST(swap_of_an_earlier_revision_is_not_sent)
{
	struct cm_registry_lease lease;
	cm_position before;
	uint64_t calls;

	platform_standin_put(&standin, "m", "1");
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	before = received.revision;
	platform_standin_set_era(&standin, 1);
	ASSERT_OK(platform_store_grant_lease(&store, LEASE_TTL_MS, &lease));
	calls = platform_standin_calls(&standin);
	ck_assert_int_eq(swap(before, lease), CM_E_ERA_DIFFERS);
	ck_assert_uint_eq(platform_standin_calls(&standin), calls);
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_str_eq(received.value, "\x01");
	ASSERT_OK(swap(received.revision, lease));
}

/* The answer to a swap is lost, and the store goes back meanwhile. A repetition
 * under the old lease must not be sent; with a new lease and the present
 * revision the key can be written. */
TEST(swap_with_a_lost_answer_is_repeated_under_a_new_lease)
{
	struct cm_registry_lease lease;
	uint64_t calls;

	ASSERT_OK(platform_store_grant_lease(&store, LEASE_TTL_MS, &lease));
	platform_standin_set_fault(&standin, PLATFORM_FAULT_ANSWER_LOST);
	ck_assert_int_eq(swap(0, lease), CM_E_UNAVAILABLE);
	platform_standin_go_back(&standin, 1000);
	platform_standin_set_fault(&standin, PLATFORM_FAULT_NONE);
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_int_eq(received.items, 0);
	calls = platform_standin_calls(&standin);
	ck_assert_int_eq(swap(0, lease), CM_E_NOT_FOUND);
	ck_assert_uint_eq(platform_standin_calls(&standin), calls);
	ASSERT_OK(platform_store_grant_lease(&store, LEASE_TTL_MS, &lease));
	ck_assert_uint_eq(lease.era, 1);
	ASSERT_OK(swap(0, lease));
}

/* The store changes its era before it gets the swap. The client can't know
 * which value the write has replaced. */
TEST(swap_answered_in_a_later_era_has_an_unknown_outcome)
{
	struct cm_registry_lease lease;

	ASSERT_OK(platform_store_grant_lease(&store, LEASE_TTL_MS, &lease));
	platform_standin_set_era(&standin, 1);
	ck_assert_int_eq(swap(0, lease), CM_E_ERA_DIFFERS);
}

/* The number of the lease belongs to another client in the new era. */
TEST(lease_of_an_earlier_era_is_not_renewed)
{
	struct cm_registry_lease lease;

	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ASSERT_OK(platform_store_grant_lease(&store, LEASE_TTL_MS, &lease));
	ASSERT_OK(platform_store_renew_lease(&store, &lease));
	platform_standin_go_back(&standin, 1000);
	platform_standin_take_leases(&standin);
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_int_eq(platform_store_renew_lease(&store, &lease),
			 CM_E_NOT_FOUND);
	ck_assert_int_eq(platform_standin_foreign_renewals(&standin), 0);
}

static void ignore_server(void *user, const struct cm_server_entry *entry,
			  uint64_t revision)
{
	(void)user;
	(void)entry;
	(void)revision;
}

static const struct cm_registry_sink registry_sink = {
	.server = ignore_server,
	.restarted = record_restart,
	.complete_up_to = record_reached,
};

/* The loop that calls the registry knows a later era than the store client. The
 * adapter must pass it on, or data of the earlier era is applied. */
TEST(registry_refuses_an_earlier_era_than_its_caller_knows)
{
	static struct platform_registry registry;
	struct cm_registry *base = &registry.base;

	ASSERT_OK(platform_registry_init(&registry, url, TIMEOUT_MS));
	platform_standin_set_era(&standin, 1);
	ASSERT_OK(base->ops->read(base, false, &registry_sink));
	base->era = 2;
	ck_assert_int_eq(base->ops->read(base, false, &registry_sink),
			 CM_E_ERA_DIFFERS);
	ck_assert_int_eq(base->ops->wait(base, position_of(1, 1), WATCH_MS,
					 &registry_sink),
			 CM_E_COMPACTED);
	base->ops->finish(base);
}

/* The loop must learn the era, or it keeps the lease of the earlier one. */
TEST(registry_reports_the_era_of_its_last_answer)
{
	static struct platform_registry registry;
	struct cm_registry *base = &registry.base;
	struct cm_registry_lease lease;

	ASSERT_OK(platform_registry_init(&registry, url, TIMEOUT_MS));
	platform_standin_set_era(&standin, 3);
	ASSERT_OK(base->ops->read(base, false, &registry_sink));
	ck_assert_uint_eq(base->era, 3);
	platform_standin_set_era(&standin, 4);
	ASSERT_OK(base->ops->grant_lease(base, &lease));
	ck_assert_uint_eq(base->era, 4);
	base->ops->finish(base);
}
