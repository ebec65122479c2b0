#include "unit/suites.h"

#include <stdio.h>

#include "unit/overload_model.h"

/* An instance has 1.7 slots and gets 16 requests in a second, as in a large
 * deployment. */
#define INSTANCES 24
#define DOMAINS 3
#define SEEDS 6
/* Usual load, percent of the slots, and the same times 2.8, 3.2, 4 and 5. */
#define LOAD 41
#define LOAD_2_8 115
#define LOAD_3_2 131
#define LOAD_4 164
#define LOAD_5 205
#define WARM_UP_MS 6000
#define BURST_MS 6000
/* Time in which all requests end when no new ones start. */
#define REST_MS 3500

static const uint32_t usual[] = { LOAD, LOAD, LOAD };
static const uint32_t one_4[] = { LOAD_4, LOAD, LOAD };
static const uint32_t one_5[] = { LOAD_5, LOAD, LOAD };
static const uint32_t two_2_8[] = { LOAD_2_8, LOAD_2_8, LOAD };
static const uint32_t all_2_8[] = { LOAD_2_8, LOAD_2_8, LOAD_2_8 };
static const uint32_t all_3_2[] = { LOAD_3_2, LOAD_3_2, LOAD_3_2 };
static const uint32_t no_load[] = { 0, 0, 0 };

UNIT_CASE("steer_admission", "domains", NULL, overload_teardown,
	  UNIT_TIMEOUT_S);

static double in_time(const struct overload_result *result)
{
	return result->requests ?
		       (double)result->in_time / (double)result->requests :
		       1;
}

static double served(const struct overload_result *result)
{
	return result->requests ?
		       (double)result->served / (double)result->requests :
		       1;
}

/* Smallest share of the requests of a route that were answered within the
 * objective, over the failure domains of the callers. */
static double least_in_time(enum overload_route route)
{
	double least = 1;

	for (int i = 0; i < DOMAINS; i++) {
		double share = in_time(&overload_totals()->domains[i][route]);

		if (share < least)
			least = share;
	}
	return least;
}

static double rejected(void)
{
	const struct overload_totals *totals = overload_totals();

	return totals->arrivals ?
		       (double)totals->rejected / (double)totals->arrivals :
		       0;
}

static void print_domains(const char *what)
{
	overload_print(what);
	for (int i = 0; i < DOMAINS; i++) {
		const struct overload_result *results =
			overload_totals()->domains[i];

		printf("  domain %d: urgent in_time=%.3f bulk in_time=%.3f\n",
		       i, in_time(&results[OVERLOAD_URGENT]),
		       in_time(&results[OVERLOAD_BULK]));
	}
}

static void warm_up(uint64_t seed)
{
	overload_setup_domains(DOMAINS, INSTANCES, seed);
	overload_run_domains(WARM_UP_MS, usual);
	overload_begin_period();
}

/* Loads of a burst that the slots of all failure domains together can serve,
 * and the share of each route and domain that is served in time. */
static const struct {
	const char *what;
	const uint32_t *loads;
	double urgent;
	double bulk;
} bursts[] = {
	{ "4 times the demand in one domain", one_4, 0.985, 0.97 },
	{ "2.8 times the demand in two domains", two_2_8, 0.97, 0.94 },
};

/* Guards against requests of a lower priority that are deferred or shed in a
 * burst of one failure domain while servers of another domain have room. */
TEST_TABLE(burst_with_room_elsewhere_refuses_nothing, bursts)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		warm_up(seed);
		overload_run_domains(BURST_MS, bursts[_i].loads);
		overload_run_domains(REST_MS, no_load);
		print_domains(bursts[_i].what);
		ck_assert_uint_eq(overload_refused(), 0);
		ck_assert_double_ge(least_in_time(OVERLOAD_URGENT),
				    bursts[_i].urgent);
		ck_assert_double_ge(least_in_time(OVERLOAD_BULK),
				    bursts[_i].bulk);
		overload_teardown();
	}
}

/* When all failure domains are full, the urgent route must not suffer in any of
 * them. */
TEST(urgent_route_is_served_when_all_domains_are_full)
{
	const struct overload_result *urgent =
		&overload_totals()->routes[OVERLOAD_URGENT];

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		warm_up(seed);
		overload_run_domains(8000, all_3_2);
		overload_run_domains(REST_MS, no_load);
		print_domains("3.2 times the demand in all domains");
		ck_assert_double_gt(in_time(urgent), 0.93);
		ck_assert_double_gt(served(urgent), 0.97);
		ck_assert_double_gt(least_in_time(OVERLOAD_URGENT), 0.9);
		overload_teardown();
	}
}

/* Rejections at servers must stay under a tenth when all failure domains are
 * full. Their share differs by seed, so all seeds are counted together. */
TEST(few_requests_are_rejected_when_all_domains_are_full)
{
	uint64_t rejections = 0, arrivals = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		warm_up(seed);
		overload_run_domains(8000, all_3_2);
		overload_run_domains(REST_MS, no_load);
		rejections += overload_totals()->rejected;
		arrivals += overload_totals()->arrivals;
		overload_teardown();
	}
	ck_assert_double_lt((double)rejections / (double)arrivals, 0.1);
}

/* A failure domain without servers sends its flows to the others, which are
 * then full: the urgent route of all domains must be protected, by instances
 * without servers of their own too. */
TEST_LOOP(lost_domain_and_surge_protect_the_urgent_route, 1, SEEDS + 1)
{
	warm_up((uint64_t)_i);
	overload_lose_domain(2);
	overload_run_domains(3000, usual);
	overload_begin_period();
	overload_run_domains(BURST_MS, all_2_8);
	overload_run_domains(REST_MS, no_load);
	print_domains("2.8 times the demand, servers of one domain lost");
	ck_assert_double_gt(least_in_time(OVERLOAD_URGENT), 0.9);
	ck_assert_double_lt(rejected(), 0.2);
}

/* Guards against a limit that stays after a burst, or that makes the next one
 * worse: a burst that comes back each second second, first of one domain. */
TEST_LOOP(burst_that_comes_back_is_served, 1, SEEDS + 1)
{
	warm_up((uint64_t)_i);
	for (int i = 0; i < 4; i++) {
		overload_run_domains(1000, one_5);
		overload_run_domains(1000, usual);
	}
	print_domains("5 times the demand in one domain, in turns of 1 s");
	ck_assert_uint_eq(overload_refused(), 0);
	overload_begin_period();
	for (int i = 0; i < 4; i++) {
		overload_run_domains(1000, all_2_8);
		overload_run_domains(1000, usual);
	}
	overload_run_domains(REST_MS, no_load);
	print_domains("2.8 times the demand in all domains, in turns of 1 s");
	ck_assert_double_ge(least_in_time(OVERLOAD_URGENT), 0.96);
	ck_assert_double_ge(least_in_time(OVERLOAD_BULK), 0.85);
}
