#include "ports/clock.h"

#include <time.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define US_PER_S 1000000
#define NS_PER_US 1000

uint64_t cm_clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * MS_PER_S +
	       (uint64_t)now.tv_nsec / NS_PER_MS;
}

uint64_t cm_clock_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * US_PER_S +
	       (uint64_t)now.tv_nsec / NS_PER_US;
}

uint64_t cm_clock_wall_s(void)
{
	return (uint64_t)time(NULL);
}

void cm_clock_sleep_ms(uint32_t ms)
{
	struct timespec wait = {
		.tv_sec = ms / MS_PER_S,
		.tv_nsec = (long)(ms % MS_PER_S) * NS_PER_MS,
	};

	nanosleep(&wait, NULL);
}

static uint64_t system_now_ms(struct cm_timer *timer)
{
	(void)timer;
	return cm_clock_ms();
}

static void system_sleep_ms(struct cm_timer *timer, uint32_t ms)
{
	(void)timer;
	cm_clock_sleep_ms(ms);
}

void cm_timer_init_system(struct cm_timer *timer)
{
	timer->now_ms = system_now_ms;
	timer->sleep_ms = system_sleep_ms;
}
