/**
 * DOC: Clocks
 *
 * Functions for the daemon, and a port for what is also run in virtual time.
 */
#ifndef PORTS_CLOCK_H
#define PORTS_CLOCK_H

#include <stdint.h>

/**
 * cm_clock_ms() - time that never goes back, and goes on while suspended
 *
 * Return: milliseconds since an arbitrary start.
 */
uint64_t cm_clock_ms(void);

/**
 * cm_clock_us() - like cm_clock_ms(), for short times
 *
 * Return: microseconds since an arbitrary start.
 */
uint64_t cm_clock_us(void);

/**
 * cm_clock_wall_s() - calendar time
 *
 * Return: seconds since the epoch.
 */
uint64_t cm_clock_wall_s(void);

/**
 * cm_clock_sleep_ms() - wait
 * @ms: how long
 */
void cm_clock_sleep_ms(uint32_t ms);

/**
 * struct cm_timer - a clock that can be waited on
 * @now_ms: milliseconds since an arbitrary start
 * @sleep_ms: wait
 */
struct cm_timer {
	uint64_t (*now_ms)(struct cm_timer *timer);
	void (*sleep_ms)(struct cm_timer *timer, uint32_t ms);
};

/**
 * cm_timer_init_system() - make a timer of the system's clock
 * @timer: memory of the caller
 */
void cm_timer_init_system(struct cm_timer *timer);

#endif
