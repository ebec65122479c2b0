/**
 * DOC: A clock that advances with each reading, for tests
 *
 * The unit tests are linked with --wrap=cm_clock_ms, so that all readings of
 * cm_clock_ms() outside src/adapters/clock.c go through clock_step_now_ms().
 */
#ifndef UNIT_CLOCK_STEP_H
#define UNIT_CLOCK_STEP_H

#include <stdint.h>

/** clock_step_now_ms() - the system's clock plus all steps so far */
uint64_t clock_step_now_ms(void) __asm__("__wrap_cm_clock_ms");

/** clock_step_set() - let each later reading of cm_clock_ms() advance it by @ms
 * in addition; initially 0 */
void clock_step_set(uint64_t ms);

#endif
