#include "chervilmast/cold_start.h"

#include "test_switch.h"

#define MS_PER_S 1000
#define EIGHTHS 8
#define RAMP_PERCENT (CM_FULL_PERCENT - CM_COLD_FLOOR_PERCENT)

void cm_cold_start_begin(struct cm_cold_start *cold, uint64_t now_ms)
{
	cold->since_ms = now_ms;
	cold->answers = 0;
	cold->silent_since_ms = cold->unanswered ? now_ms : 0;
	cold->slow_answers = 0;
	cold->resets = 0;
	cold->unknown_flows = 0;
	cold->starts++;
}

void cm_cold_start_resume(struct cm_cold_start *cold, uint32_t ramp_s,
			  uint32_t percent, uint64_t now_ms)
{
	uint64_t ramp_ms = (uint64_t)ramp_s * MS_PER_S;
	uint64_t done_percent;

	if (percent < CM_COLD_FLOOR_PERCENT)
		percent = CM_COLD_FLOOR_PERCENT;
	if (percent > CM_FULL_PERCENT)
		percent = CM_FULL_PERCENT;
	done_percent = percent - CM_COLD_FLOOR_PERCENT;
	ramp_ms = ramp_ms * done_percent / RAMP_PERCENT;
	cold->since_ms = now_ms > ramp_ms ? now_ms - ramp_ms : 0;
	cold->answers =
		(uint32_t)(CM_COLD_RAMP_ANSWERS * done_percent / RAMP_PERCENT);
}

uint32_t cm_cold_start_percent(const struct cm_cold_start *cold,
			       uint32_t ramp_s, uint64_t now_ms)
{
	uint64_t ramp_ms = (uint64_t)ramp_s * MS_PER_S;
	uint64_t elapsed_ms;
	uint64_t by_time = RAMP_PERCENT;
	uint64_t by_answers = RAMP_PERCENT;

	if (!ramp_ms || cm_switched_off(CM_SWITCH_COLD_START))
		return CM_FULL_PERCENT;
	elapsed_ms = now_ms > cold->since_ms ? now_ms - cold->since_ms : 0;
	if (elapsed_ms < ramp_ms)
		by_time = RAMP_PERCENT * elapsed_ms / ramp_ms;
	if (cold->answers < CM_COLD_RAMP_ANSWERS)
		by_answers =
			RAMP_PERCENT * cold->answers / CM_COLD_RAMP_ANSWERS;
	return CM_COLD_FLOOR_PERCENT +
	       (uint32_t)(by_time < by_answers ? by_time : by_answers);
}

bool cm_cold_start_may_send_syn(const struct cm_cold_start *cold)
{
	return cold->unanswered < CM_COLD_UNANSWERED_MAX + cold->answers;
}

void cm_cold_start_syn_sent(struct cm_cold_start *cold, uint64_t now_ms)
{
	if (!cold->unanswered)
		cold->silent_since_ms = now_ms;
	cold->unanswered++;
}

void cm_cold_start_syn_done(struct cm_cold_start *cold)
{
	if (cold->unanswered)
		cold->unanswered--;
	if (!cold->unanswered)
		cold->silent_since_ms = 0;
}

bool cm_cold_start_is_silent(const struct cm_cold_start *cold, uint64_t now_ms)
{
	return cold->unanswered >= CM_COLD_SILENT_SYNS &&
	       now_ms >= cold->silent_since_ms + CM_COLD_SILENCE_MS;
}

static bool delay_is_slow(const struct cm_cold_start *cold, uint32_t delay_ms)
{
	uint32_t smoothed_ms = cold->delay_eighths / EIGHTHS;

	return cold->delay_samples >= CM_COLD_DELAY_SAMPLES &&
	       delay_ms > smoothed_ms * CM_COLD_SLOW_FACTOR &&
	       delay_ms > smoothed_ms + CM_COLD_SLOW_MS;
}

/*
 * Clamps slow answers, or they would soon raise the smoothed delay so far that
 * further ones no longer count as slow.
 */
static void delay_update(struct cm_cold_start *cold, uint32_t delay_ms)
{
	uint32_t smoothed_ms = cold->delay_eighths / EIGHTHS;

	if (!cold->delay_samples)
		cold->delay_eighths = delay_ms * EIGHTHS;
	if (cold->delay_samples && delay_ms > 2 * smoothed_ms + 1)
		delay_ms = 2 * smoothed_ms + 1;
	cold->delay_eighths -= cold->delay_eighths / EIGHTHS;
	cold->delay_eighths += delay_ms;
	if (cold->delay_samples < CM_COLD_DELAY_SAMPLES)
		cold->delay_samples++;
}

bool cm_cold_start_syn_answered(struct cm_cold_start *cold, uint32_t delay_ms,
				uint64_t now_ms)
{
	bool slow = delay_is_slow(cold, delay_ms);

	cm_cold_start_syn_done(cold);
	if (cold->unanswered)
		cold->silent_since_ms = now_ms;
	cold->syn_resets = 0;
	delay_update(cold, delay_ms);
	if (!slow) {
		cold->slow_answers = 0;
		if (cold->answers < CM_COLD_RAMP_ANSWERS)
			cold->answers++;
		return false;
	}
	return ++cold->slow_answers >= CM_COLD_SLOW_ANSWERS;
}

bool cm_cold_start_is_resetting_syns(const struct cm_cold_start *cold,
				     uint64_t now_ms)
{
	return cold->syn_resets >= CM_COLD_SYN_RESETS_MIN &&
	       now_ms < cold->syn_reset_ms + CM_COLD_SYN_RESETS_WAIT_MS &&
	       !cm_switched_off(CM_SWITCH_FAILING_SERVER);
}

bool cm_cold_start_syn_reset(struct cm_cold_start *cold, uint64_t now_ms)
{
	cm_cold_start_syn_done(cold);
	cold->syn_reset_ms = now_ms;
	return ++cold->syn_resets >= CM_COLD_SYN_RESETS_MIN;
}

bool cm_cold_start_flow_reset(struct cm_cold_start *cold, uint32_t open,
			      bool unknown, uint64_t now_ms)
{
	if (now_ms >= cold->resets_since_ms + MS_PER_S) {
		cold->resets_since_ms = now_ms;
		cold->resets = 0;
		cold->unknown_flows = 0;
	}
	cold->resets++;
	if (unknown && !cm_switched_off(CM_SWITCH_UNKNOWN_FLOWS))
		cold->unknown_flows++;
	if (cold->unknown_flows >= CM_COLD_UNKNOWN_FLOWS_MIN)
		return true;
	return cold->resets >= CM_COLD_FLOW_RESETS_MIN &&
	       (uint64_t)cold->resets * CM_FULL_PERCENT >=
		       (uint64_t)open * CM_COLD_FLOW_RESETS_MIN_PERCENT;
}
