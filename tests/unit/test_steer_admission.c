#include "unit/suites.h"

#include "unit/overload_model.h"

/* An instance has 1.7 slots and gets 16 requests in a second, as in a large
 * deployment. */
#define INSTANCES 24
#define SEEDS 6
/* Usual load, percent of the slots, and the same times 1.4, 1.8, 2 and
 * 3.2. */
#define LOAD 50
#define LOAD_1_4 70
#define LOAD_1_8 90
#define LOAD_2 100
#define LOAD_3_2 160
#define WARM_UP_MS 6000
#define SURGE_MS 8000
/* Time in which all requests end when no new ones start. */
#define REST_MS 3500

UNIT_CASE("steer_admission", "overload", NULL, overload_teardown,
	  UNIT_TIMEOUT_S);

static double share_of(uint64_t part, uint64_t whole)
{
	return whole ? (double)part / (double)whole : 0;
}

static double in_time(enum overload_route route)
{
	const struct overload_result *result =
		&overload_totals()->routes[route];

	return share_of(result->in_time, result->requests);
}

static double served(enum overload_route route)
{
	const struct overload_result *result =
		&overload_totals()->routes[route];

	return share_of(result->served, result->requests);
}

static double rejected(void)
{
	return share_of(overload_totals()->rejected,
			overload_totals()->arrivals);
}

/* Share of what the slots could serve that was served within the objective. */
static double useful(uint32_t ms)
{
	return share_of(overload_totals()->useful_ms,
			(uint64_t)ms * OVERLOAD_SERVERS * OVERLOAD_SLOTS);
}

static void warm_up(uint64_t seed)
{
	overload_setup(INSTANCES, INSTANCES, true, seed);
	overload_run(WARM_UP_MS, LOAD);
	overload_begin_period();
}

static void run_surge(bool with_priorities, uint64_t seed, uint32_t percent)
{
	overload_setup(INSTANCES, INSTANCES, with_priorities, seed);
	overload_run(WARM_UP_MS, LOAD);
	overload_begin_period();
	overload_run(SURGE_MS, percent);
	overload_run(REST_MS, 0);
}

/* The urgent route must not suffer from 3.2 times the demand, which is 1.6
 * times what the slots can serve, and the slots must do useful work. Most
 * rejections come before the overload is found, within the first second; their
 * share differs by seed, so all seeds are counted together. */
TEST(urgent_route_is_served_at_3_2_times_the_demand)
{
	uint64_t rejections = 0, arrivals = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		run_surge(true, seed, LOAD_3_2);
		overload_print("3.2 times the demand, with admission");
		ck_assert_double_gt(served(OVERLOAD_URGENT), 0.93);
		ck_assert_double_gt(in_time(OVERLOAD_URGENT), 0.93);
		ck_assert_double_ge(useful(SURGE_MS), 0.8);
		rejections += overload_totals()->rejected;
		arrivals += overload_totals()->arrivals;
		overload_teardown();
	}
	ck_assert_double_lt(share_of(rejections, arrivals), 0.1);
}

/* The same load without priorities; the model must show the loss, or the test
 * above proves nothing. Then admission must not act at all. */
TEST_LOOP(routes_without_priorities_are_not_limited, 1, SEEDS + 1)
{
	run_surge(false, (uint64_t)_i, LOAD_3_2);
	overload_print("3.2 times the demand, without admission");
	ck_assert_double_lt(in_time(OVERLOAD_URGENT), 0.75);
	ck_assert_double_gt(rejected(), 0.4);
	ck_assert_uint_eq(overload_refused(), 0);
}

/* At 2 times the demand, as much as the slots can serve, admission must hardly
 * refuse anything. */
TEST_LOOP(twice_the_demand_is_served, 1, SEEDS + 1)
{
	run_surge(true, (uint64_t)_i, LOAD_2);
	overload_print("2 times the demand, with admission");
	ck_assert_double_gt(in_time(OVERLOAD_URGENT), 0.97);
	ck_assert_double_gt(in_time(OVERLOAD_BULK), 0.93);
}

/* At 0.9 of what the slots can serve, single servers reject a request now and
 * then. Hardly any request may be deferred, and all must be served in time. */
TEST_LOOP(burst_of_1_8_times_the_demand_is_served, 1, SEEDS + 1)
{
	run_surge(true, (uint64_t)_i, LOAD_1_8);
	overload_print("1.8 times the demand, with admission");
	ck_assert_uint_lt(overload_refused() * 100,
			  overload_totals()->arrivals);
	ck_assert_double_gt(in_time(OVERLOAD_URGENT), 0.99);
	ck_assert_double_gt(in_time(OVERLOAD_BULK), 0.99);
}

/* Demand that the slots can serve easily is no overload. */
TEST_LOOP(burst_of_1_4_times_the_demand_is_not_refused, 1, SEEDS + 1)
{
	run_surge(true, (uint64_t)_i, LOAD_1_4);
	ck_assert_uint_eq(overload_refused(), 0);
}

/* Without overload, callers get the same with and without the part. */
TEST_LOOP(quiet_time_is_unchanged, 1, SEEDS + 1)
{
	struct overload_totals with;

	run_surge(true, (uint64_t)_i, LOAD);
	overload_print("quiet, with admission");
	ck_assert_uint_eq(overload_refused(), 0);
	ck_assert_uint_eq(overload_counter(CM_C_STEER_OVERLOADS), 0);
	with = *overload_totals();
	overload_teardown();
	run_surge(false, (uint64_t)_i, LOAD);
	ck_assert_mem_eq(&with, overload_totals(), sizeof(with));
}

/* The state ends soon after the surge, and requests are no longer refused. */
TEST_LOOP(overload_ends_after_the_surge, 1, SEEDS + 1)
{
	uint64_t refused;

	warm_up((uint64_t)_i);
	overload_run(SURGE_MS, LOAD_3_2);
	ck_assert(overload_is_overloaded());
	overload_run(3500, LOAD);
	ck_assert(!overload_is_overloaded());
	refused = overload_refused();
	overload_run(SURGE_MS, LOAD);
	ck_assert_uint_eq(overload_refused(), refused);
}

/* The registry lists twice as many instances as there are, so that the share of
 * each seems half of what it is: nothing may be refused, as the servers have
 * free slots. */
TEST_LOOP(share_that_seems_too_small_refuses_nothing, 1, SEEDS + 1)
{
	overload_setup(INSTANCES / 2, INSTANCES, true, (uint64_t)_i);
	overload_run(WARM_UP_MS, LOAD);
	overload_run(SURGE_MS, 80);
	ck_assert_uint_eq(overload_refused(), 0);
}

/* As above, under a real overload: the estimated capacity is half of the real
 * one, but the slots must be used. */
TEST_LOOP(share_that_seems_too_small_leaves_no_slots_idle, 1, SEEDS + 1)
{
	overload_setup(INSTANCES / 2, INSTANCES, true, (uint64_t)_i);
	overload_run(WARM_UP_MS, LOAD);
	overload_begin_period();
	overload_run(SURGE_MS, LOAD_3_2);
	overload_run(REST_MS, 0);
	overload_print("3.2 times the demand, share half of the real one");
	ck_assert_double_gt(in_time(OVERLOAD_URGENT), 0.93);
	ck_assert_double_ge(useful(SURGE_MS), 0.8);
}

/* The share seems twice as large as it is, as the registry does not list half
 * of the instances yet: the overload is found later, but it is found. */
TEST_LOOP(share_that_seems_too_large_still_protects, 1, SEEDS + 1)
{
	overload_setup(INSTANCES, INSTANCES / 2, true, (uint64_t)_i);
	overload_run(WARM_UP_MS, LOAD);
	overload_begin_period();
	overload_run(SURGE_MS, LOAD_3_2);
	overload_run(REST_MS, 0);
	overload_print("3.2 times the demand, share twice the real one");
	ck_assert_double_gt(in_time(OVERLOAD_URGENT), 0.9);
	ck_assert_double_ge(useful(SURGE_MS), 0.8);
}

/* Six of 20 servers are lost at the usual load: the others have room. */
TEST_LOOP(lost_servers_alone_refuse_nothing, 1, SEEDS + 1)
{
	warm_up((uint64_t)_i);
	overload_lose_servers(6);
	overload_run(SURGE_MS, LOAD);
	overload_print("6 of 20 servers lost");
	ck_assert_uint_eq(overload_refused(), 0);
}

/* Servers are lost during the surge: the urgent route needs 0.54 of the slots
 * that are left. */
TEST_LOOP(urgent_route_is_served_when_servers_are_lost, 1, SEEDS + 1)
{
	warm_up((uint64_t)_i);
	overload_run(2000, LOAD_3_2);
	overload_lose_servers(4);
	overload_run(2000, LOAD_3_2);
	overload_begin_period();
	overload_run(SURGE_MS, LOAD_3_2);
	overload_run(REST_MS, 0);
	overload_print("3.2 times the demand, 4 of 20 servers lost");
	ck_assert_double_gt(served(OVERLOAD_URGENT), 0.9);
}

/* Half of the instances are lost, and the registry still lists them for the
 * rest of the time or not: the other instances get twice the demand. */
TEST_LOOP(lost_instances_refuse_nothing, 0, 2)
{
	warm_up(1);
	for (int i = 0; i < INSTANCES / 2; i++)
		overload_lose_instance(_i);
	overload_run(SURGE_MS, 70);
	overload_print("half of the instances lost");
	ck_assert_uint_eq(overload_refused(), 0);
}

/* An instance is paused: its callers repeat their packets, and the burst after
 * the pause is no overload. */
TEST_LOOP(paused_instance_refuses_nothing, 1, SEEDS + 1)
{
	warm_up((uint64_t)_i);
	overload_pause_instance(2500);
	overload_run(SURGE_MS, 70);
	overload_print("an instance paused");
	ck_assert_uint_eq(overload_refused(), 0);
}
