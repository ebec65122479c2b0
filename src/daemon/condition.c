#include "condition.h"

#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define NS_PER_S 1000000000

void cm_condition_init(pthread_cond_t *condition)
{
	pthread_condattr_t monotonic;

	pthread_condattr_init(&monotonic);
	pthread_condattr_setclock(&monotonic, CLOCK_MONOTONIC);
	pthread_cond_init(condition, &monotonic);
	pthread_condattr_destroy(&monotonic);
}

struct timespec cm_condition_deadline(uint32_t timeout_ms)
{
	struct timespec end;

	clock_gettime(CLOCK_MONOTONIC, &end);
	end.tv_sec += timeout_ms / MS_PER_S;
	end.tv_nsec += (long)(timeout_ms % MS_PER_S) * NS_PER_MS;
	if (end.tv_nsec >= NS_PER_S) {
		end.tv_sec++;
		end.tv_nsec -= NS_PER_S;
	}
	return end;
}
