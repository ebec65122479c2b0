#include "unit/suites.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"
#include "chervilmast/load_table.h"

#define START_MS 10000

static struct cm_load_table table;

static void setup(void)
{
	memset(&table, 0, sizeof(table));
}

static void teardown(void)
{
	cm_load_table_finish(&table);
}

UNIT_CASE("load table", "sums", setup, teardown, UNIT_TIMEOUT_S);

/* Reports one load of an instance. */
static void report(const char *name, uint64_t now_ms, uint32_t epoch,
		   uint32_t token, uint32_t load)
{
	const struct cm_load_list loads = {
		.tokens = { token },
		.loads = { load },
		.count = 1,
	};
	const struct cm_load_report one = { name, epoch, true, &loads };

	ASSERT_OK(cm_load_table_report(&table, now_ms, &one));
}

/* Sum of a server as sent to @name; UINT32_MAX when it is not sent. */
static uint32_t sum_for(const char *name, uint64_t now_ms, uint32_t members,
			uint32_t token)
{
	struct cm_load_list sums;

	cm_load_table_sum(&table, now_ms, name, members, &sums);
	for (uint32_t i = 0; i < sums.count; i++)
		if (sums.tokens[i] == token)
			return sums.loads[i];
	return UINT32_MAX;
}

/* An instance adds its own present load to the sums, so its reported load must
 * not be in them. */
TEST(sum_leaves_out_the_requesting_instance)
{
	report("a-1", START_MS, 1, 7, 100);
	report("a-2", START_MS, 1, 7, 300);
	report("a-3", START_MS, 1, 7, 20);
	ck_assert_uint_eq(sum_for("a-1", START_MS, 3, 7), 320);
	ck_assert_uint_eq(sum_for("a-2", START_MS, 3, 7), 120);
	report("a-3", START_MS + 100, 1, 7, 0);
	ck_assert_uint_eq(sum_for("a-1", START_MS + 2000, 3, 7), 300);
}

/* The loads of an instance that died must not count for long: callers have
 * opened its flows again elsewhere. */
TEST(loads_of_a_dead_instance_expire)
{
	report("a-1", START_MS, 1, 7, 100);
	report("a-2", START_MS, 1, 7, 300);
	report("a-3", START_MS + 4000, 1, 7, 20);
	report("a-1", START_MS + 4000, 1, 7, 100);
	ck_assert_uint_eq(cm_load_table_expire(&table, START_MS + 4999), 0);
	ck_assert_uint_eq(cm_load_table_expire(&table, START_MS + 5000), 1);
	ck_assert_uint_eq(sum_for("a-1", START_MS + 5000, 2, 7), 20);
}

/* The loads of an instance that leaves must not count until they expire. */
TEST(loads_of_an_instance_that_leaves_are_removed)
{
	report("a-1", START_MS, 1, 7, 100);
	report("a-2", START_MS, 1, 7, 300);
	report("a-3", START_MS, 1, 7, 20);
	cm_load_table_remove(&table, "a-2");
	cm_load_table_remove(&table, "a-9");
	ck_assert_uint_eq(sum_for("a-1", START_MS, 2, 7), 20);
}

/* A restarted instance has lost its flows; it does not report load 0 for
 * servers of its former run. */
TEST(new_series_of_reports_replaces_the_loads)
{
	report("a-1", START_MS, 1, 7, 100);
	report("a-2", START_MS, 1, 7, 300);
	report("a-2", START_MS + 100, 2, 8, 40);
	ck_assert_uint_eq(sum_for("a-1", START_MS + 100, 2, 7), 0);
	ck_assert_uint_eq(sum_for("a-1", START_MS + 2000, 2, 8), 40);
}

/* A new source, or one of two in a partition, has the loads of some instances
 * only. Servers with load of the others would seem to be free. */
TEST(too_few_reports_give_no_sums)
{
	report("a-1", START_MS, 1, 7, 100);
	report("a-2", START_MS, 1, 7, 300);
	ck_assert_uint_eq(sum_for("a-1", START_MS, 20, 7), UINT32_MAX);
	ck_assert_uint_eq(sum_for("a-1", START_MS, 2, 7), 300);
	ck_assert_uint_eq(sum_for("a-9", START_MS, 2, 7), UINT32_MAX);
}

/* An instance with more servers than one message holds reports them in several
 * messages. */
TEST(incomplete_reports_give_no_sums)
{
	const struct cm_load_list loads = { .tokens = { 7 }, .count = 1 };
	struct cm_load_report part = { "a-2", 5, false, &loads };

	report("a-1", START_MS, 1, 7, 100);
	ASSERT_OK(cm_load_table_report(&table, START_MS, &part));
	ck_assert_uint_eq(sum_for("a-1", START_MS, 2, 7), UINT32_MAX);
	part.is_complete = true;
	ASSERT_OK(cm_load_table_report(&table, START_MS, &part));
	ck_assert_uint_eq(sum_for("a-1", START_MS, 2, 7), 0);
}

/* An instance's own report must not make the sums of the others look recent. */
TEST(age_is_the_time_since_the_last_report_of_another_instance)
{
	struct cm_load_list sums;

	report("a-1", START_MS, 1, 7, 100);
	report("a-2", START_MS + 200, 1, 7, 300);
	report("a-1", START_MS + 1000, 1, 7, 100);
	ck_assert_uint_eq(
		cm_load_table_sum(&table, START_MS + 1200, "a-1", 2, &sums),
		1000);
}

/* Each message is bounded, and all servers are sent in turn. */
TEST(sums_of_many_servers_are_sent_in_turn)
{
	uint32_t seen[201] = { 0 };
	struct cm_load_list sums;

	report("a-1", START_MS, 1, 1, 1);
	for (uint32_t token = 1; token <= 200; token++)
		report("a-2", START_MS, 1, token, token);
	for (int i = 1; i <= 5; i++) {
		cm_load_table_sum(&table, START_MS + i * 620, "a-1", 2, &sums);
		ck_assert_uint_le(sums.count, CM_LOAD_LIST_MAX);
		for (uint32_t j = 0; j < sums.count; j++)
			seen[sums.tokens[j]]++;
	}
	for (uint32_t token = 1; token <= 200; token++)
		ck_assert_uint_ge(seen[token], 1);
}

/* Servers come and go for months; those without load are replaced when the
 * table is full. */
TEST(servers_without_load_are_replaced)
{
	report("a-1", START_MS, 1, 1, 5);
	report("a-2", START_MS, 1, 1, 5);
	for (uint32_t token = 2; token < 4 * CM_LOAD_TABLE_SERVERS_MAX;
	     token++) {
		report("a-2", START_MS, 1, token, 9);
		report("a-2", START_MS, 1, token, 0);
	}
	report("a-2", START_MS + 10000, 1, 100000, 77);
	ck_assert_uint_le(table.server_count, CM_LOAD_TABLE_SERVERS_MAX);
	ck_assert_uint_eq(sum_for("a-1", START_MS + 10000, 2, 100000), 77);
	ck_assert_uint_eq(sum_for("a-1", START_MS + 12000, 2, 1), 5);
}

/* Without room, loads are left out, and nothing is written beyond the table. */
TEST(table_is_bounded)
{
	const struct cm_load_list loads = { .tokens = { 9999999 },
					    .loads = { 1 },
					    .count = 1 };
	const struct cm_load_list none = { .count = 0 };
	struct cm_load_report over = { "a-1", 1, true, &loads };
	char name[CM_NAME_SIZE];

	for (uint32_t token = 1; token <= CM_LOAD_TABLE_SERVERS_MAX; token++)
		report("a-1", START_MS, 1, token, UINT32_MAX);
	ck_assert_int_eq(cm_load_table_report(&table, START_MS, &over),
			 CM_E_TOO_LARGE);
	over.loads = &none;
	over.name = name;
	for (int i = 1; i < CM_LOAD_TABLE_INSTANCES_MAX; i++) {
		snprintf(name, sizeof(name), "b-%d", i);
		ASSERT_OK(cm_load_table_report(&table, START_MS, &over));
	}
	over.name = "c";
	ck_assert_int_eq(cm_load_table_report(&table, START_MS, &over),
			 CM_E_TOO_LARGE);
}
