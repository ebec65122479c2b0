#include "unit/suites.h"

#include "chervilmast/failure_tally.h"

#define NOW_MS 100000
/** Token of the server whose flows fail. */
#define FAILING_TOKEN 7
/** Token that stands for all other servers. */
#define OTHER_TOKEN 8
/** Number of successful flows of the other servers that are added at once. */
#define OTHER_FLOWS 200

static struct cm_failure_tally tally;

static void flows_succeed(uint64_t now_ms, uint32_t token, uint32_t flows)
{
	for (uint32_t i = 0; i < flows; i++)
		cm_failure_tally_succeeded(&tally, now_ms, &token, 1);
}

static void flows_fail(uint64_t now_ms, uint32_t token, uint32_t flows)
{
	for (uint32_t i = 0; i < flows; i++)
		cm_failure_tally_failed(&tally, now_ms, &token, 1);
}

static void setup(void)
{
	tally = (struct cm_failure_tally){ 0 };
	flows_succeed(NOW_MS, OTHER_TOKEN, OTHER_FLOWS);
}

static void teardown(void)
{
}

UNIT_CASE("feed", "ejections", setup, teardown, UNIT_TIMEOUT_S);

static uint32_t count_ejected(uint64_t now_ms)
{
	uint32_t tokens[CM_FAILURE_TALLY_MAX];

	return cm_failure_tally_list_ejected(&tally, now_ms, tokens);
}

/* A server has @failures failed flows at intervals of @interval_ms, and
 * @successes successful flows before each of them. @ejected is the number of
 * ejected servers @after_ms after the last failure. */
static const struct {
	const char *what;
	uint64_t interval_ms;
	uint64_t after_ms;
	uint32_t failures;
	uint32_t successes;
	uint32_t ejected;
} failure_cases[] = {
	{ "one failure", 0, 0, 1, 0, 0 },
	{ "two failures at once", 0, 0, 2, 0, 1 },
	{ "two failures, 1 ms before the ejection ends", 0, 4999, 2, 0, 1 },
	{ "two failures, when the ejection ends", 0, 5000, 2, 0, 0 },
	{ "three failures within a second", 300, 0, 3, 0, 1 },
	{ "a third of the flows fail", 300, 0, 3, 2, 1 },
	{ "one of 31 flows fails", 300, 0, 20, 30, 0 },
	{ "one failure every 5.5 s", 5500, 0, 100, 0, 0 },
};

TEST_TABLE(failures_of_all_nodes_add_up, failure_cases)
{
	uint64_t now_ms = NOW_MS;

	for (uint32_t i = 0; i < failure_cases[_i].failures; i++) {
		now_ms += failure_cases[_i].interval_ms;
		flows_succeed(now_ms, FAILING_TOKEN,
			      failure_cases[_i].successes);
		flows_succeed(now_ms, OTHER_TOKEN, OTHER_FLOWS);
		flows_fail(now_ms, FAILING_TOKEN, 1);
	}
	now_ms += failure_cases[_i].after_ms;
	ck_assert_uint_eq(count_ejected(now_ms), failure_cases[_i].ejected);
}

/* Number of flows of each of ten servers in a round; one of them fails. */
static const uint32_t flows_per_failure[] = { 1, 2, 5, 20 };

/* All servers of a service may have flows that count as failed, for example
 * because the service sends short answers. Servers with the same failure rate
 * as all others must not be ejected. */
TEST_TABLE(servers_with_equal_failure_rates_are_not_ejected, flows_per_failure)
{
	tally = (struct cm_failure_tally){ 0 };
	for (uint32_t round = 0; round < 100; round++) {
		uint64_t now_ms = NOW_MS + round * 100;

		for (uint32_t token = 1; token <= 10; token++) {
			flows_fail(now_ms, token, 1);
			flows_succeed(now_ms, token, flows_per_failure[_i] - 1);
		}
		if (round >= 2)
			ck_assert_uint_eq(count_ejected(now_ms), 0);
	}
}

/* One failure right after the end of an ejection ejects the server again, each
 * time for 5 s longer, up to 30 s. After more than 30 s without an ejection the
 * server is treated as before the first one: two failures eject it for 5 s. */
TEST(repeated_ejections_get_longer)
{
	uint64_t now_ms = NOW_MS;

	flows_fail(now_ms, FAILING_TOKEN, 2);
	for (uint64_t ejection_ms = 10000; ejection_ms <= 30000;
	     ejection_ms += 5000) {
		now_ms = tally.items[0].ejected_until_ms;
		ck_assert_uint_eq(count_ejected(now_ms), 0);
		flows_succeed(now_ms, OTHER_TOKEN, OTHER_FLOWS);
		flows_fail(now_ms, FAILING_TOKEN, 1);
		ck_assert_uint_eq(count_ejected(now_ms + ejection_ms - 1), 1);
		ck_assert_uint_eq(count_ejected(now_ms + ejection_ms), 0);
	}
	now_ms += 70000;
	flows_succeed(now_ms, OTHER_TOKEN, OTHER_FLOWS);
	flows_fail(now_ms, FAILING_TOKEN, 1);
	ck_assert_uint_eq(count_ejected(now_ms), 0);
	flows_fail(now_ms, FAILING_TOKEN, 1);
	ck_assert_uint_eq(count_ejected(now_ms + 4999), 1);
	ck_assert_uint_eq(count_ejected(now_ms + 5000), 0);
}

/* Flows that fail during an ejection began before the ejection, so they must
 * not extend it. */
TEST(failures_during_an_ejection_are_ignored)
{
	flows_fail(NOW_MS, FAILING_TOKEN, 2);
	flows_fail(NOW_MS + 4000, FAILING_TOKEN, 3);
	ck_assert_uint_eq(count_ejected(NOW_MS + 4999), 1);
	ck_assert_uint_eq(count_ejected(NOW_MS + 5000), 0);
}

/* The tally has fewer than 200 records. 200 other servers with one failure each
 * must not evict the record of the server with most failures. */
TEST(full_tally_keeps_the_server_with_most_failures)
{
	uint32_t tokens[CM_FAILURE_TALLY_MAX];

	flows_fail(NOW_MS, FAILING_TOKEN, 2);
	for (uint32_t token = 100; token < 300; token++)
		flows_fail(NOW_MS, token, 1);
	ck_assert_uint_eq(cm_failure_tally_list_ejected(&tally, NOW_MS, tokens),
			  1);
	ck_assert_uint_eq(tokens[0], FAILING_TOKEN);
}
