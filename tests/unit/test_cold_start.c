#include "unit/suites.h"

#include "unit/backend_home.h"

UNIT_CASE("admission", "cold start", NULL, backend_teardown, UNIT_TIMEOUT_S);

static void observe_restart(void)
{
	cm_backend_restart(&backend, now_ms);
}

static void observe_syn_resets(void)
{
	for (int i = 0; i < CM_COLD_SYN_RESETS_MIN; i++)
		cm_backend_syn_reset(&backend, now_ms);
}

static void observe_slow_answers(void)
{
	for (int i = 0; i < CM_COLD_SLOW_ANSWERS; i++)
		cm_backend_syn_answered(&backend, 20 * WARM_ANSWER_MS, now_ms);
}

static void observe_flow_resets(void)
{
	for (int i = 0; i < CM_COLD_FLOW_RESETS_MIN; i++) {
		cm_backend_flow_reset(&backend, false, now_ms);
		cm_backend_release(&backend, false);
	}
}

/* A restarted server resets segments of connections that it no longer has. */
static void observe_unknown_flows(void)
{
	for (int i = 0; i < CM_COLD_UNKNOWN_FLOWS_MIN; i++)
		cm_backend_flow_reset(&backend, true, now_ms);
}

static void observe_rare_unknown_flows(void)
{
	for (int i = 0; i < CM_COLD_UNKNOWN_FLOWS_MIN; i++)
		cm_backend_flow_reset(&backend, true,
				      now_ms + 1000 * (uint64_t)i);
}

static void observe_too_few_flow_resets(void)
{
	for (int i = 1; i < CM_COLD_FLOW_RESETS_MIN; i++)
		cm_backend_flow_reset(&backend, false, now_ms);
}

/* The server has answered no SYN for CM_COLD_SILENCE_MS, so the next SYN is not
 * admitted. */
static void observe_silence(void)
{
	for (int i = 0; i < CM_COLD_SILENT_SYNS; i++)
		ck_assert(admit(&backend, now_ms - CM_COLD_SILENCE_MS));
	ck_assert(!admit(&backend, now_ms));
}

static void observe_one_syn_reset(void)
{
	cm_backend_syn_reset(&backend, now_ms);
}

static void observe_one_slow_answer(void)
{
	cm_backend_syn_answered(&backend, 400, now_ms);
}

static void observe_one_unanswered_syn(void)
{
	ck_assert(admit(&backend, now_ms - 5 * CM_COLD_SILENCE_MS));
	ck_assert(admit(&backend, now_ms));
}

/* Observations of a warm server, and whether they begin a cold start. */
static const struct {
	void (*observe)(void);
	bool is_cold_start;
} observations[] = {
	{ observe_restart, true },
	{ observe_syn_resets, true },
	{ observe_slow_answers, true },
	{ observe_flow_resets, true },
	{ observe_silence, true },
	{ observe_one_syn_reset, false },
	{ observe_one_slow_answer, false },
	{ observe_one_unanswered_syn, false },
	{ observe_unknown_flows, true },
	{ observe_rare_unknown_flows, false },
	{ observe_too_few_flow_resets, false },
};

/* Number of SYNs admitted within 1 s if the server answers none of them. */
static uint32_t count_admitted_unanswered(void)
{
	uint32_t admitted = 0;

	for (int i = 0; i < MS_PER_S; i++)
		admitted += admit(&backend, now_ms + i);
	return admitted;
}

TEST_TABLE(cold_start_is_detected, observations)
{
	bool is_cold_start = observations[_i].is_cold_start;

	start_warm(1000, 100);
	now_ms += 10 * MS_PER_S;
	observations[_i].observe();
	read_status();
	ck_assert_uint_eq(status.cold_starts, is_cold_start ? 2 : 1);
	ck_assert_uint_eq(status.percent, is_cold_start ?
						  CM_COLD_FLOOR_PERCENT :
						  CM_FULL_PERCENT);
	if (is_cold_start)
		ck_assert_uint_le(count_admitted_unanswered(),
				  CM_COLD_UNANSWERED_MAX);
}

/* The ramp needs answers too: a server that answers no SYN stays at the floor,
 * however much time passes. */
TEST(ramp_needs_answers)
{
	start_cold(1000, 100);
	now_ms += 100 * COLD_START_S * MS_PER_S;
	read_status();
	ck_assert_uint_eq(status.percent, CM_COLD_FLOOR_PERCENT);
	ck_assert_uint_le(count_admitted_unanswered(), CM_COLD_UNANSWERED_MAX);
}

/* Even a server that answers each SYN at once gets, in each second of its ramp,
 * at most as many connections as the ramp allows at the end of that second. The
 * rate is 100 per second, so a share of n % allows n connections per second. */
TEST(ramp_follows_time)
{
	start_cold(100000, 100);
	for (uint32_t s = 0; s < COLD_START_S; s++) {
		uint32_t share = 10 + 90 * (s + 1) / COLD_START_S;
		uint32_t admitted = 0;

		for (uint32_t ms = 0; ms < MS_PER_S; ms++)
			admitted += serve(&backend, now_ms++);
		ck_assert_uint_le(admitted, share + 1);
	}
}
