/**
 * DOC: Condition variables with a time limit
 *
 * They wait by a clock that the time of day does not move.
 */
#ifndef DAEMON_CONDITION_H
#define DAEMON_CONDITION_H

#include <pthread.h>
#include <stdint.h>
#include <time.h>

/**
 * cm_condition_init() - make a condition variable
 * @condition: memory of the caller; ended with pthread_cond_destroy()
 */
void cm_condition_init(pthread_cond_t *condition);

/**
 * cm_condition_end() - end of a wait that begins now
 * @most_ms: longest wait
 *
 * Return: the time, for pthread_cond_timedwait().
 */
struct timespec cm_condition_end(uint32_t most_ms);

#endif
