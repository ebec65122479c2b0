/**
 * DOC: Clocks
 *
 * Functions that read the system's clock, and a port for code that tests run in
 * virtual time.
 */
#ifndef PORTS_CLOCK_H
#define PORTS_CLOCK_H

#include <stdint.h>

/**
 * cm_clock_ms() - monotonic time, including time in system suspend
 *
 * Return: milliseconds since an arbitrary start.
 */
uint64_t cm_clock_ms(void);

/**
 * cm_clock_us() - like cm_clock_ms(), in microseconds
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
 * cm_clock_sleep_ms() - sleep; a signal may end it early
 * @ms: duration, ms
 */
void cm_clock_sleep_ms(uint32_t ms);

/**
 * struct cm_timer - port to a clock
 * @now_ms: return the monotonic time, ms since an arbitrary start
 * @sleep_ms: sleep for @ms milliseconds
 */
struct cm_timer {
	uint64_t (*now_ms)(struct cm_timer *timer);
	void (*sleep_ms)(struct cm_timer *timer, uint32_t ms);
};

/**
 * cm_timer_init_system() - initialise a timer that uses the system's clock
 * @timer: memory owned by the calling function
 */
void cm_timer_init_system(struct cm_timer *timer);

#endif
