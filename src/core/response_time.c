#include "chervilmast/response_time.h"

#include "test_switch.h"

#define EIGHTHS 8
#define QUARTERS 4
/**
 * Number of deviations above the mean within which almost all responses arrive.
 */
#define DEVIATIONS 4
/** Ratio of the limit to the time within which almost all responses arrive. */
#define LIMIT_FACTOR 4

static void set_first_sample(struct cm_response_time *time, uint32_t took_ms)
{
	time->mean_ms_eighths = took_ms * EIGHTHS;
	time->deviation_ms_quarters = took_ms * QUARTERS / 2;
}

void cm_response_time_add(struct cm_response_time *time, uint32_t took_ms)
{
	uint32_t took = took_ms < CM_RESPONSE_LIMIT_MAX_MS ?
				took_ms :
				CM_RESPONSE_LIMIT_MAX_MS;
	uint32_t mean = time->mean_ms_eighths / EIGHTHS;
	uint32_t deviation = took > mean ? took - mean : mean - took;

	if (!time->mean_ms_eighths) {
		set_first_sample(time, took);
		return;
	}
	time->deviation_ms_quarters -= time->deviation_ms_quarters / QUARTERS;
	time->deviation_ms_quarters += deviation;
	time->mean_ms_eighths -= time->mean_ms_eighths / EIGHTHS;
	time->mean_ms_eighths += took;
}

uint32_t cm_response_time_limit_ms(const struct cm_response_time *time)
{
	uint32_t usual_ms = time->mean_ms_eighths / EIGHTHS +
			    DEVIATIONS * time->deviation_ms_quarters / QUARTERS;
	uint32_t limit_ms = usual_ms * LIMIT_FACTOR;

	if (!time->mean_ms_eighths || cm_switched_off(CM_SWITCH_ANSWER_TIME))
		return CM_RESPONSE_LIMIT_DEFAULT_MS;
	if (limit_ms < CM_RESPONSE_LIMIT_MIN_MS)
		return CM_RESPONSE_LIMIT_MIN_MS;
	return limit_ms < CM_RESPONSE_LIMIT_MAX_MS ? limit_ms :
						     CM_RESPONSE_LIMIT_MAX_MS;
}
