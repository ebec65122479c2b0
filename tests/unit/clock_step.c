#include "unit/clock_step.h"

#include <ck_pr.h>

static uint64_t step_ms;
/* Sum of all steps so far, ms. */
static uint64_t offset_ms;

void clock_step_set(uint64_t ms)
{
	ck_pr_store_64(&step_ms, ms);
}

uint64_t __wrap_cm_clock_ms(void)
{
	uint64_t ms = ck_pr_load_64(&step_ms);

	return __real_cm_clock_ms() + ck_pr_faa_64(&offset_ms, ms) + ms;
}
