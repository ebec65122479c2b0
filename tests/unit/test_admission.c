#include "unit/suites.h"

#include <netinet/in.h>
#include <stdlib.h>

#include "fake/random.h"
#include "unit/backend_home.h"

#define RUN_MS 20000
#define IDLE_MS (60 * MS_PER_S)
/*
 * Bounds under test, as divisors of the rate: the burst, and the rate of a new
 * home while the old one may still admit. The constants of the code under test
 * are not used here, so that a wrong one makes a test fail.
 */
#define BURST_DIVISOR 10
#define TAKEOVER_RATE_DIVISOR 4

static void take_over(struct cm_backend *home)
{
	cm_backend_set_home(home, true, true);
	cm_backend_take_over(home, &spec, IDLE_MS, CM_TAKEOVER_LEASE_MS,
			     now_ms);
}

static const uint32_t rates[] = { 1, 7, 100, 400, 5000 };

UNIT_CASE("admission", "backend", NULL, backend_teardown, UNIT_TIMEOUT_S);

/*
 * In any window of one second, a server gets at most as many connections as the
 * rate and one burst allow, even if SYNs arrive in bursts and the time goes
 * back from one call to the next.
 */
TEST_TABLE(rate_holds_in_any_second, rates)
{
	uint32_t rate = rates[_i];
	uint32_t most =
		rate + (rate < BURST_DIVISOR ? 1 : rate / BURST_DIVISOR);
	uint32_t *per_ms = calloc(RUN_MS + MS_PER_S, sizeof(*per_ms));
	struct fake_random random = { .state = rate };
	uint64_t sum = 0, total = 0;

	start_warm(UINT32_MAX, rate);
	for (uint32_t ms = MS_PER_S; ms < RUN_MS + MS_PER_S; ms++) {
		bool pause = fake_random_below(&random, 4) == 0;
		uint32_t tries = pause ? 0 : fake_random_below(&random, 40);
		/* Threads read the clock before they take the lock, so times
		 * may go back. */
		uint32_t late_ms = fake_random_below(&random, 3);

		for (uint32_t i = 0; i < tries; i++)
			if (admit(&backend, now_ms + ms - late_ms)) {
				cm_backend_syn_answered(
					&backend, WARM_ANSWER_MS, now_ms + ms);
				per_ms[ms]++;
			}
		sum += per_ms[ms];
		sum -= per_ms[ms - MS_PER_S];
		total += per_ms[ms];
		ck_assert_uint_le(sum, most);
	}
	/* At least 90 % of the rate over the 20 s of RUN_MS. */
	ck_assert_uint_ge(total, (uint64_t)rate * 18);
	free(per_ms);
}

TEST(cap_is_exact)
{
	struct cm_admission_refusal refusal;
	uint32_t admitted = 0;

	start_warm(100, 1000);
	for (int i = 0; i < 1000; i++)
		admitted += serve(&backend, now_ms += 10);
	ck_assert_uint_eq(admitted, 100);
	ck_assert(!cm_backend_admit(&backend, &spec, now_ms, &refusal));
	ck_assert_int_eq(refusal.reason, CM_C_SKIP_CAP);
	cm_backend_release(&backend, false);
	ck_assert(admit(&backend, now_ms));
	ck_assert(!admit(&backend, now_ms));
}

/* Takeovers of a server with a cap and a rate, and the age of the old home's
 * last load report at the takeover. */
static const struct {
	uint32_t cap;
	uint32_t rate;
	uint32_t report_age_ms;
} takeovers[] = {
	{ 2000, 400, 0 }, { 2000, 400, 1000 }, { 500, 100, 1000 },
	{ 100, 50, 900 }, { 5000, 200, 500 },
};

/*
 * The old home admits until its lease ends, while the new one already admits
 * too. Together they must not exceed the server's cap. In each second they may
 * admit at most the rate, the new home's reduced rate and one burst each.
 */
TEST_TABLE(two_homes_keep_cap, takeovers)
{
	uint32_t cap = takeovers[_i].cap, rate = takeovers[_i].rate;
	uint32_t most = rate + rate / TAKEOVER_RATE_DIVISOR +
			2 * (rate / BURST_DIVISOR);
	struct cm_backend_load load = { .percent = CM_FULL_PERCENT };
	uint32_t held = 0, admitted_here = 0, adopted = 0, second = 0;
	uint64_t take_over_ms, end_ms;
	struct cm_backend old;

	start_warm(cap, rate);
	warm_up(&old);
	for (uint32_t i = 0; held < cap / 2 && i < RUN_MS; i++)
		held += serve(&old, ++now_ms);
	load.arrived_ms = now_ms;
	load.open = held;
	cm_backend_set_load(&backend, &load);
	take_over_ms = now_ms + takeovers[_i].report_age_ms;
	end_ms = take_over_ms + CM_TAKEOVER_LEASE_MS;
	for (; now_ms < end_ms + MS_PER_S; now_ms++) {
		if ((end_ms - now_ms) % MS_PER_S == 0)
			second = 0;
		if (now_ms < end_ms && serve(&old, now_ms)) {
			held++;
			second++;
		}
		if (now_ms < take_over_ms)
			continue;
		take_over(&backend);
		if (adopted < held && now_ms % 2) {
			cm_backend_adopt(&backend);
			adopted++;
		}
		if (serve(&backend, now_ms)) {
			admitted_here++;
			second++;
		}
		ck_assert_uint_le(held + admitted_here, cap);
		ck_assert_uint_le(second, most);
	}
	cm_backend_finish(&old);
}

/*
 * Inherited connections of which the new home sees no packet count against the
 * cap only until the idle timeout has ended them. If they counted for ever, the
 * server would never get its full cap again.
 */
TEST(inherited_count_expires)
{
	struct cm_backend_load load = { .open = 100,
					.percent = CM_FULL_PERCENT };

	start_warm(100, 1000);
	load.arrived_ms = now_ms;
	cm_backend_set_load(&backend, &load);
	take_over(&backend);
	now_ms += IDLE_MS + CM_TAKEOVER_LEASE_MS;
	ck_assert(!admit(&backend, now_ms - 1));
	ck_assert(admit(&backend, now_ms));
}

/*
 * Connections that the new home adopts do not count against the cap of a cold
 * start. If they did, a takeover without a load report would admit nothing.
 */
TEST(takeover_without_report_admits)
{
	start_cold(2000, 100);
	now_ms += 60 * MS_PER_S;
	take_over(&backend);
	for (int i = 0; i < 500; i++)
		cm_backend_adopt(&backend);
	ck_assert(admit(&backend, now_ms + MS_PER_S));
}

/*
 * The ramp resumes at the share that the former home reports, unless a cold
 * start has begun here since the takeover (_i is 1).
 */
TEST_LOOP(ramp_resumes_at_reported_share, 0, 2)
{
	struct cm_backend_load load = { .open = 5, .percent = CM_FULL_PERCENT };

	start_cold(2000, 100);
	take_over(&backend);
	if (_i)
		cm_backend_restart(&backend, now_ms);
	now_ms += MS_PER_S;
	cm_backend_inherit(&backend, &spec, &load, now_ms);
	read_status();
	ck_assert_uint_eq(status.inherited, 5);
	if (_i)
		ck_assert_uint_le(status.percent, 20);
	else
		ck_assert_uint_eq(status.percent, CM_FULL_PERCENT);
}

/*
 * The former home repeats its report. A connection that was adopted here since
 * the previous report must not be counted twice.
 */
TEST(repeated_report_counts_once)
{
	struct cm_backend_load load = { .open = 50,
					.percent = CM_FULL_PERCENT };

	start_cold(2000, 100);
	cm_backend_set_home(&backend, true, true);
	for (uint32_t i = 0; i < 3; i++) {
		cm_backend_take_over(&backend, &spec, IDLE_MS,
				     CM_TAKEOVER_LEASE_MS, START_MS);
		cm_backend_inherit(&backend, &spec, &load, now_ms);
		for (int k = 0; k < 10; k++)
			cm_backend_adopt(&backend);
		read_status();
		ck_assert_uint_eq(status.open + status.inherited, 50);
		now_ms++;
	}
}

/*
 * Reports of an instance that was a home of the server at the same time and
 * admitted connections itself. Each report states 50 connections. @adopted
 * connections were adopted here @adopted_ago_ms before the first report. They
 * are part of the 50 unless they have expired at the other instance by then.
 * @counted is the number of connections that must be counted here in total.
 */
static const struct {
	uint64_t adopted_ago_ms;
	uint32_t adopted;
	uint32_t counted;
} other_home_reports[] = {
	{ 0, 0, 50 },
	{ 0, 20, 50 },
	{ 0, 70, 70 },
	{ IDLE_MS - 1, 20, 50 },
	{ 3 * IDLE_MS, 20, 70 },
};

TEST_TABLE(report_of_other_home_counts_once, other_home_reports)
{
	start_cold(2000, 100);
	take_over(&backend);
	for (uint32_t i = 0; i < other_home_reports[_i].adopted; i++)
		cm_backend_adopt(&backend);
	now_ms += CM_TAKEOVER_LEASE_MS + CM_TAKEOVER_MARGIN_MS;
	for (uint64_t left = other_home_reports[_i].adopted_ago_ms; left;) {
		uint64_t step = left < IDLE_MS ? left : IDLE_MS;

		now_ms += step;
		left -= step;
		take_over(&backend);
	}
	for (uint32_t i = 0; i < 3; i++) {
		cm_backend_inherit_from_other_home(&backend, &spec, 50, IDLE_MS,
						   now_ms++);
		read_status();
		ck_assert_uint_eq(status.open + status.inherited,
				  other_home_reports[_i].counted);
		if (status.inherited)
			cm_backend_adopt(&backend);
	}
	now_ms += IDLE_MS;
	read_status();
	ck_assert_uint_eq(status.inherited, 0);
}

/*
 * A report of far more connections than the cap counts as the cap, and for no
 * longer than one idle timeout.
 */
TEST(report_of_other_home_is_bounded)
{
	start_cold(100, 100);
	take_over(&backend);
	now_ms += CM_TAKEOVER_LEASE_MS + CM_TAKEOVER_MARGIN_MS;
	cm_backend_inherit_from_other_home(&backend, &spec, UINT32_MAX, IDLE_MS,
					   now_ms);
	read_status();
	ck_assert_uint_eq(status.inherited, 100);
	ck_assert(!admit(&backend, now_ms));
	ck_assert(admit(&backend, now_ms + IDLE_MS));
}

/* Shares that a server reports for itself, and the shares that it then gets. */
static const struct {
	bool is_warm;
	uint32_t percent;
	uint32_t share;
} server_reports[] = {
	{ true, 30, 30 },
	{ true, 0, 0 },
	{ true, 100, 100 },
	{ true, 1000, 100 },
	{ false, 100, CM_COLD_FLOOR_PERCENT },
	{ false, 5, 5 },
};

TEST_TABLE(server_report_never_raises_the_share, server_reports)
{
	struct cm_admission_refusal refusal;
	uint32_t percent = server_reports[_i].percent;

	start_warm(1000, 100);
	if (!server_reports[_i].is_warm)
		cm_backend_restart(&backend, now_ms);
	cm_backend_apply_report(&backend, percent, now_ms);
	read_status();
	ck_assert_uint_eq(status.percent, server_reports[_i].share);
	/* A reported share of 0 does not rise with the ramp, so the time to
	 * retry does not depend on the next step of the ramp. */
	if (!percent) {
		ck_assert(!cm_backend_admit(&backend, &spec, now_ms, &refusal));
		ck_assert_uint_eq(refusal.retry_after_ms,
				  CM_CAP_RETRY_AFTER_MS);
	}
}
