#include "unit/suites.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"
#include "platform/store_client.h"
#include "standin/platform_store.h"

#define TIMEOUT_MS 300
#define PATIENT_MS 3000
#define KEYS_MAX 64
#define URL_SIZE 64

/* Changes that the store returned, in the order received. */
static struct {
	char keys[KEYS_MAX][32];
	char values[KEYS_MAX][64];
	bool gone[KEYS_MAX];
	uint64_t revisions[KEYS_MAX];
	int count;
	uint64_t reached;
} told;

static void told_put(void *user, const char *key, const char *value,
		     size_t size, uint64_t revision)
{
	(void)user;
	ck_assert_int_lt(told.count, KEYS_MAX);
	snprintf(told.keys[told.count], 32, "%s", key);
	snprintf(told.values[told.count], 64, "%.*s", (int)size, value);
	told.gone[told.count] = false;
	told.revisions[told.count++] = revision;
}

static void told_remove(void *user, const char *key, uint64_t revision)
{
	(void)user;
	ck_assert_int_lt(told.count, KEYS_MAX);
	snprintf(told.keys[told.count], 32, "%s", key);
	told.gone[told.count] = true;
	told.revisions[told.count++] = revision;
}

static void told_reached(void *user, uint64_t revision)
{
	(void)user;
	told.reached = revision;
}

static const struct platform_store_sink sink = {
	.put = told_put,
	.remove = told_remove,
	.reached = told_reached,
};

static struct platform_standin standin;
static struct platform_store store;

static void setup(void)
{
	char url[URL_SIZE];
	uint16_t port = platform_standin_start(&standin, 0);

	ck_assert_uint_ne(port, 0);
	memset(&told, 0, sizeof(told));
	snprintf(url, sizeof(url), "http://127.0.0.1:%u", port);
	ASSERT_OK(platform_store_init(&store, url, PATIENT_MS));
}

static void teardown(void)
{
	platform_store_finish(&store);
	platform_standin_stop(&standin);
}

UNIT_CASE("platform", "store", setup, teardown, 20);

TEST(all_pages_are_read)
{
	char key[16];

	standin.page_size = 3;
	for (int i = 0; i < 10; i++) {
		snprintf(key, sizeof(key), "k/%02d", i);
		platform_standin_put(&standin, key, "{}");
	}
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_int_eq(told.count, 10);
	ck_assert_str_eq(told.keys[9], "k/09");
	ck_assert_uint_eq(told.reached, (uint64_t)standin.kv.revision);
}

TEST(values_come_as_they_were_written)
{
	platform_standin_put(&standin, "a", "{\"x\": \"\xc3\xa4\"}");
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_str_eq(told.values[0], "\x81\xa1x\xa2\xc3\xa4");
}

TEST(watch_tells_what_changed)
{
	platform_standin_put(&standin, "a", "1");
	platform_standin_put(&standin, "b", "1");
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	told.count = 0;
	platform_standin_put(&standin, "c", "2");
	platform_standin_remove(&standin, "a");
	ASSERT_OK(platform_store_watch(&store, told.reached, 1000, &sink));
	ck_assert_int_eq(told.count, 2);
	ck_assert_str_eq(told.keys[0], "c");
	ck_assert(!told.gone[0]);
	ck_assert_str_eq(told.keys[1], "a");
	ck_assert(told.gone[1]);
	ck_assert_uint_gt(told.revisions[1], told.revisions[0]);
	ck_assert_uint_eq(told.reached, told.revisions[1]);
}

TEST(quiet_watch_is_no_error)
{
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ASSERT_OK(platform_store_watch(&store, told.reached, 20, &sink));
	ck_assert_int_eq(told.count, 0);
}

/* Error that a read and a watch return for each fault of the store. */
static const struct {
	enum platform_fault fault;
	int error;
} faults[] = {
	{ PLATFORM_FAULT_DOWN, CM_E_UNAVAILABLE },
	{ PLATFORM_FAULT_BUSY, CM_E_UNAVAILABLE },
	{ PLATFORM_FAULT_GONE, CM_E_COMPACTED },
	{ PLATFORM_FAULT_SILENT, CM_E_TIMEOUT },
	{ PLATFORM_FAULT_GARBAGE, CM_E_PROTOCOL },
	{ PLATFORM_FAULT_WRONG_TYPE, CM_E_PROTOCOL },
	{ PLATFORM_FAULT_OVERSIZE, CM_E_TOO_LARGE },
	{ PLATFORM_FAULT_LOST, CM_E_UNAVAILABLE },
};

TEST_TABLE(fault_is_typed_and_passes, faults)
{
	platform_standin_put(&standin, "a", "1");
	platform_standin_set_fault(&standin, faults[_i].fault);
	if (faults[_i].error == CM_E_TIMEOUT)
		store.timeout_ms = TIMEOUT_MS;
	ck_assert_int_eq(platform_store_read(&store, "", false, &sink),
			 faults[_i].error);
	ck_assert_int_eq(platform_store_watch(&store, 100, 10, &sink),
			 faults[_i].error);
	ck_assert_int_eq(told.count, 0);
	platform_standin_set_fault(&standin, PLATFORM_FAULT_NONE);
	store.timeout_ms = PATIENT_MS;
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_int_eq(told.count, 1);
}

/* The timeout bounds the wait for each part of an answer, so that a large
 * answer over a slow link is not aborted. */
TEST(answer_may_take_as_long_as_it_goes_on)
{
	platform_standin_put(&standin, "a", "1");
	platform_standin_set_fault(&standin, PLATFORM_FAULT_SLOW);
	store.timeout_ms = 700;
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_int_eq(told.count, 1);
}

TEST(answer_without_end_is_given_up)
{
	platform_standin_set_fault(&standin, PLATFORM_FAULT_TRICKLE);
	store.timeout_ms = 100;
	ck_assert_int_eq(platform_store_read(&store, "", false, &sink),
			 CM_E_TIMEOUT);
	platform_standin_set_fault(&standin, PLATFORM_FAULT_NONE);
	store.timeout_ms = PATIENT_MS;
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
}

static int swap(const char *key, uint64_t revision, uint64_t lease)
{
	const msgpack_sbuffer value = { .data = "\x80", .size = 1 };
	const struct platform_swap write = { key, revision, &value, lease };

	return platform_store_swap(&store, &write, &sink);
}

TEST(entry_is_kept_until_its_lease_ends)
{
	uint64_t lease = 0;

	ASSERT_OK(platform_store_grant(&store, 10000, &lease));
	ck_assert_uint_ne(lease, 0);
	ASSERT_OK(swap("i/a", 0, lease));
	ASSERT_OK(platform_store_keep(&store, lease));
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_str_eq(told.keys[0], "i/a");
	platform_standin_end_leases(&standin);
	ck_assert_int_eq(platform_store_keep(&store, lease), CM_E_NOT_FOUND);
	ck_assert_int_eq(swap("i/a", told.revisions[0], lease), CM_E_NOT_FOUND);
}

/* A swap that fails because the key was changed returns the current value, so
 * that the loser of a race knows what the winner wrote. */
TEST(key_that_somebody_else_wrote_is_told)
{
	uint64_t lease;

	ASSERT_OK(platform_store_grant(&store, 10000, &lease));
	platform_standin_put(&standin, "i/a", "7");
	ck_assert_int_eq(swap("i/a", 0, lease), CM_E_STALE);
	ck_assert_int_eq(told.count, 1);
	ck_assert_str_eq(told.values[0], "\x07");
	ASSERT_OK(swap("i/a", told.revisions[0], lease));
	platform_standin_remove(&standin, "i/a");
	ck_assert_int_eq(swap("i/a", told.revisions[0], lease), CM_E_STALE);
	ck_assert_int_eq(told.count, 2);
	ck_assert(told.gone[1]);
}

TEST(keys_of_a_prefix_are_read)
{
	char key[16];

	standin.page_size = 2;
	for (int i = 0; i < 6; i++) {
		snprintf(key, sizeof(key), "%c/%d", i % 2 ? 'k' : 'm', i);
		platform_standin_put(&standin, key, "1");
	}
	ASSERT_OK(platform_store_read(&store, "k/", false, &sink));
	ck_assert_int_eq(told.count, 3);
	ck_assert_str_eq(told.keys[2], "k/5");
}

TEST(stale_read_is_asked_for)
{
	platform_standin_put(&standin, "a", "1");
	ASSERT_OK(platform_store_read(&store, "", true, &sink));
	ck_assert_int_eq(standin.stale_reads, 1);
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_int_eq(standin.stale_reads, 1);
}

TEST(lost_answer_of_a_write_is_no_success)
{
	uint64_t lease = 0;

	platform_standin_set_fault(&standin, PLATFORM_FAULT_LOST);
	ck_assert_int_eq(platform_store_grant(&store, 10000, &lease),
			 CM_E_UNAVAILABLE);
	ck_assert_uint_eq(lease, 0);
	ck_assert_int_eq(swap("i/a", 0, 1), CM_E_UNAVAILABLE);
}

TEST(call_in_progress_can_be_interrupted)
{
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	cm_http_interrupt(&store.http);
	ck_assert_int_eq(
		platform_store_watch(&store, told.reached, 60000, &sink),
		CM_E_UNAVAILABLE);
}
