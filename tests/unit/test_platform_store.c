#include "unit/suites.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"
#include "platform/store_client.h"
#include "standin/platform_store.h"

#define SHORT_TIMEOUT_MS 300
#define DEFAULT_TIMEOUT_MS 3000
#define KEYS_MAX 64
#define URL_SIZE 64

/* Changes that the store returned, in the order received, the revision up to
 * which they are complete, and how often a read started again. */
static struct {
	char keys[KEYS_MAX][32];
	char values[KEYS_MAX][64];
	bool is_removed[KEYS_MAX];
	uint64_t revisions[KEYS_MAX];
	int count;
	int restarts;
	uint64_t reached;
} received;

static void record_put(void *user, const char *key, const char *value,
		       size_t size, uint64_t revision)
{
	(void)user;
	ck_assert_int_lt(received.count, KEYS_MAX);
	snprintf(received.keys[received.count], 32, "%s", key);
	snprintf(received.values[received.count], 64, "%.*s", (int)size, value);
	received.is_removed[received.count] = false;
	received.revisions[received.count++] = revision;
}

static void record_remove(void *user, const char *key, uint64_t revision)
{
	(void)user;
	ck_assert_int_lt(received.count, KEYS_MAX);
	snprintf(received.keys[received.count], 32, "%s", key);
	received.is_removed[received.count] = true;
	received.revisions[received.count++] = revision;
}

static void record_reached(void *user, uint64_t revision)
{
	(void)user;
	received.reached = revision;
}

/* The items delivered before the restart don't count. */
static void record_restart(void *user, uint64_t revision)
{
	(void)user;
	(void)revision;
	received.restarts++;
	received.count = 0;
}

static const struct platform_store_sink sink = {
	.put = record_put,
	.remove = record_remove,
	.restarted = record_restart,
	.complete_up_to = record_reached,
};

static struct platform_standin standin;
static struct platform_store store;

static void setup(void)
{
	char url[URL_SIZE];
	uint16_t port = platform_standin_start(&standin, 0);

	ck_assert_uint_ne(port, 0);
	memset(&received, 0, sizeof(received));
	snprintf(url, sizeof(url), "http://127.0.0.1:%u", port);
	ASSERT_OK(platform_store_init(&store, url, DEFAULT_TIMEOUT_MS));
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
	ck_assert_int_eq(received.count, 10);
	ck_assert_str_eq(received.keys[9], "k/09");
	ck_assert_uint_eq(received.reached, (uint64_t)standin.kv.revision);
}

TEST(values_are_read_as_they_were_written)
{
	platform_standin_put(&standin, "a", "{\"x\": \"\xc3\xa4\"}");
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_str_eq(received.values[0], "\x81\xa1x\xa2\xc3\xa4");
}

TEST(watch_returns_changes)
{
	platform_standin_put(&standin, "a", "1");
	platform_standin_put(&standin, "b", "1");
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	received.count = 0;
	platform_standin_put(&standin, "c", "2");
	platform_standin_remove(&standin, "a");
	ASSERT_OK(platform_store_watch(&store, received.reached, 1000, &sink));
	ck_assert_int_eq(received.count, 2);
	ck_assert_str_eq(received.keys[0], "c");
	ck_assert(!received.is_removed[0]);
	ck_assert_str_eq(received.keys[1], "a");
	ck_assert(received.is_removed[1]);
	ck_assert_uint_gt(received.revisions[1], received.revisions[0]);
	ck_assert_uint_eq(received.reached, received.revisions[1]);
}

TEST(watch_without_changes_succeeds)
{
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ASSERT_OK(platform_store_watch(&store, received.reached, 20, &sink));
	ck_assert_int_eq(received.count, 0);
}

/* Error that a read and a watch return for each fault of the store. */
static const struct {
	enum platform_fault fault;
	int error;
} faults[] = {
	{ PLATFORM_FAULT_DOWN, CM_E_UNAVAILABLE },
	{ PLATFORM_FAULT_BUSY, CM_E_UNAVAILABLE },
	{ PLATFORM_FAULT_COMPACTED, CM_E_COMPACTED },
	{ PLATFORM_FAULT_SILENT, CM_E_TIMEOUT },
	{ PLATFORM_FAULT_GARBAGE, CM_E_PROTOCOL },
	{ PLATFORM_FAULT_WRONG_TYPE, CM_E_PROTOCOL },
	{ PLATFORM_FAULT_OVERSIZE, CM_E_TOO_LARGE },
	{ PLATFORM_FAULT_ANSWER_LOST, CM_E_UNAVAILABLE },
};

TEST_TABLE(fault_gives_its_error_until_it_ends, faults)
{
	platform_standin_put(&standin, "a", "1");
	platform_standin_set_fault(&standin, faults[_i].fault);
	if (faults[_i].error == CM_E_TIMEOUT)
		store.timeout_ms = SHORT_TIMEOUT_MS;
	ck_assert_int_eq(platform_store_read(&store, "", false, &sink),
			 faults[_i].error);
	ck_assert_int_eq(platform_store_watch(&store, 100, 10, &sink),
			 faults[_i].error);
	ck_assert_int_eq(received.count, 0);
	platform_standin_set_fault(&standin, PLATFORM_FAULT_NONE);
	store.timeout_ms = DEFAULT_TIMEOUT_MS;
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_int_eq(received.count, 1);
}

/* The timeout bounds the wait for each part of an answer; the bound for the
 * whole answer is a multiple of it. A large answer over a slow link must not be
 * aborted. */
TEST(slow_answer_does_not_time_out)
{
	platform_standin_put(&standin, "a", "1");
	platform_standin_set_fault(&standin, PLATFORM_FAULT_SLOW);
	store.timeout_ms = 700;
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_int_eq(received.count, 1);
}

TEST(endless_answer_times_out)
{
	platform_standin_set_fault(&standin, PLATFORM_FAULT_TRICKLE);
	store.timeout_ms = 100;
	ck_assert_int_eq(platform_store_read(&store, "", false, &sink),
			 CM_E_TIMEOUT);
	platform_standin_set_fault(&standin, PLATFORM_FAULT_NONE);
	store.timeout_ms = DEFAULT_TIMEOUT_MS;
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
}

static int swap(const char *key, cm_position revision,
		struct cm_registry_lease lease)
{
	const msgpack_sbuffer value = { .data = "\x80", .size = 1 };
	const struct platform_swap write = { key, revision, &value, lease };

	return platform_store_swap(&store, &write, &sink);
}

TEST(entry_is_kept_until_its_lease_ends)
{
	struct cm_registry_lease lease = { 0 };

	ASSERT_OK(platform_store_grant_lease(&store, 10000, &lease));
	ck_assert_uint_ne(lease.id, 0);
	ASSERT_OK(swap("i/a", 0, lease));
	ASSERT_OK(platform_store_renew_lease(&store, &lease));
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_str_eq(received.keys[0], "i/a");
	platform_standin_expire_leases(&standin);
	ck_assert_int_eq(platform_store_renew_lease(&store, &lease),
			 CM_E_NOT_FOUND);
	ck_assert_int_eq(swap("i/a", received.revisions[0], lease),
			 CM_E_NOT_FOUND);
}

/* A swap that fails because another writer has changed the key returns the
 * current value, so that the node has what the other writer wrote. */
TEST(failed_swap_returns_the_current_value)
{
	struct cm_registry_lease lease;

	ASSERT_OK(platform_store_grant_lease(&store, 10000, &lease));
	platform_standin_put(&standin, "i/a", "7");
	ck_assert_int_eq(swap("i/a", 0, lease), CM_E_STALE);
	ck_assert_int_eq(received.count, 1);
	ck_assert_str_eq(received.values[0], "\x07");
	ASSERT_OK(swap("i/a", received.revisions[0], lease));
	platform_standin_remove(&standin, "i/a");
	ck_assert_int_eq(swap("i/a", received.revisions[0], lease), CM_E_STALE);
	ck_assert_int_eq(received.count, 2);
	ck_assert(received.is_removed[1]);
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
	ck_assert_int_eq(received.count, 3);
	ck_assert_str_eq(received.keys[2], "k/5");
}

TEST(stale_read_is_requested)
{
	platform_standin_put(&standin, "a", "1");
	ASSERT_OK(platform_store_read(&store, "", true, &sink));
	ck_assert_int_eq(standin.stale_reads, 1);
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	ck_assert_int_eq(standin.stale_reads, 1);
}

TEST(write_with_a_lost_answer_fails)
{
	struct cm_registry_lease lease = { 0 };

	platform_standin_set_fault(&standin, PLATFORM_FAULT_ANSWER_LOST);
	ck_assert_int_eq(platform_store_grant_lease(&store, 10000, &lease),
			 CM_E_UNAVAILABLE);
	ck_assert_uint_eq(lease.id, 0);
	lease.id = 1;
	ck_assert_int_eq(swap("i/a", 0, lease), CM_E_UNAVAILABLE);
}

TEST(call_in_progress_can_be_interrupted)
{
	ASSERT_OK(platform_store_read(&store, "", false, &sink));
	cm_http_interrupt(&store.http);
	ck_assert_int_eq(
		platform_store_watch(&store, received.reached, 60000, &sink),
		CM_E_UNAVAILABLE);
}
