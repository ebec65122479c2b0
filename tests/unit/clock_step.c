#include "unit/clock_step.h"

#include <ck_pr.h>

/* cm_clock_ms() of src/adapters/clock.c; the linker gives it this name. */
uint64_t clock_step_system_ms(void) __asm__("__real_cm_clock_ms");

static uint64_t step_ms;
/* Sum of all steps so far, ms. */
static uint64_t offset_ms;

void clock_step_set(uint64_t ms)
{
	ck_pr_store_64(&step_ms, ms);
}

uint64_t clock_step_now_ms(void)
{
	uint64_t ms = ck_pr_load_64(&step_ms);

	return clock_step_system_ms() + ck_pr_faa_64(&offset_ms, ms) + ms;
}
