/**
 * DOC: Time that a service takes to answer
 *
 * Smoothed mean and deviation of the time from request to answer, estimated as
 * RFC 6298 does for round trips. They give the time after which an unanswered
 * request counts as failed, for services that take milliseconds and for those
 * that take seconds.
 */
#ifndef CHERVILMAST_ANSWER_TIME_H
#define CHERVILMAST_ANSWER_TIME_H

#include <stdint.h>

/** Lower bound of the answer time limit, ms; a request that was lost and
 * retransmitted is answered by then. */
#define CM_ANSWER_MIN_MS 500
/** Answer time limit before the first answer of a service, ms. */
#define CM_ANSWER_DEFAULT_MS 1500
/** Upper bound of the answer time limit and of its samples, ms. */
#define CM_ANSWER_MAX_MS 10000

/**
 * struct cm_answer_time - estimated answer time of a service
 * @mean_eighths: smoothed mean, eighths of ms; 0 before the first answer
 * @deviation_quarters: smoothed deviation, quarters of ms
 */
struct cm_answer_time {
	uint32_t mean_eighths;
	uint32_t deviation_quarters;
};

/**
 * cm_answer_time_add() - add a sample
 * @time: the estimate; zeroed before the first sample
 * @took_ms: time from the request to the answer
 */
void cm_answer_time_add(struct cm_answer_time *time, uint32_t took_ms);

/**
 * cm_answer_time_limit_ms() - time after which no answer is expected
 * @time: the estimate
 *
 * Return: a multiple of the time within which almost all answers come, ms.
 */
uint32_t cm_answer_time_limit_ms(const struct cm_answer_time *time);

#endif
