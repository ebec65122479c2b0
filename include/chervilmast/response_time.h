/**
 * DOC: Time that a service takes to respond
 *
 * Smoothed mean and deviation of the time from a request to the first data of
 * its response, estimated as RFC 6298 does for round trips. The time after
 * which an unanswered request counts as failed is derived from them, as some
 * services respond within milliseconds and others within seconds.
 */
#ifndef CHERVILMAST_RESPONSE_TIME_H
#define CHERVILMAST_RESPONSE_TIME_H

#include <stdint.h>

/**
 * Minimum response time limit, ms; long enough for the response to a request
 * that was lost and retransmitted.
 */
#define CM_RESPONSE_LIMIT_MIN_MS 500
/** Response time limit before the first response of a service, ms. */
#define CM_RESPONSE_LIMIT_DEFAULT_MS 1500
/** Maximum response time limit, and maximum of a sample, ms. */
#define CM_RESPONSE_LIMIT_MAX_MS 10000

/**
 * struct cm_response_time - estimated response time of a service
 * @mean_ms_eighths: smoothed mean, eighths of ms; 0 before the first response
 * @deviation_ms_quarters: smoothed deviation, quarters of ms
 */
struct cm_response_time {
	uint32_t mean_ms_eighths;
	uint32_t deviation_ms_quarters;
};

/**
 * cm_response_time_add() - add a sample
 * @time: the estimate; zeroed before the first sample
 * @took_ms: time from the request to the response, ms
 */
void cm_response_time_add(struct cm_response_time *time, uint32_t took_ms);

/**
 * cm_response_time_limit_ms() - time after which an unanswered request counts
 * as failed
 * @time: the estimate
 *
 * Return: the limit, ms: a fixed multiple of the time within which almost all
 * responses arrive, limited to
 * CM_RESPONSE_LIMIT_MIN_MS..CM_RESPONSE_LIMIT_MAX_MS;
 * CM_RESPONSE_LIMIT_DEFAULT_MS before the first response.
 */
uint32_t cm_response_time_limit_ms(const struct cm_response_time *time);

#endif
