/**
 * DOC: Condition variables with a timeout
 *
 * Timeouts are measured by CLOCK_MONOTONIC, so that changes of the wall clock
 * do not affect them.
 */
#ifndef DAEMON_CONDITION_H
#define DAEMON_CONDITION_H

#include <pthread.h>
#include <stdint.h>
#include <time.h>

/**
 * cm_condition_init() - initialise a condition variable
 * @condition: memory owned by the calling function; to be destroyed with
 *             pthread_cond_destroy()
 */
void cm_condition_init(pthread_cond_t *condition);

/**
 * cm_condition_deadline() - deadline of a wait that starts now
 * @timeout_ms: maximum wait, ms
 *
 * Return: the deadline, for pthread_cond_timedwait().
 */
struct timespec cm_condition_deadline(uint32_t timeout_ms);

#endif
