/**
 * DOC: Share of recent requests that backend servers rejected
 *
 * An instance keeps a rate for each group of servers. It shows whether the
 * group has room for further requests, also where the instance does not know
 * the load of the servers, as in other failure domains.
 */
#ifndef CHERVILMAST_REJECTION_RATE_H
#define CHERVILMAST_REJECTION_RATE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct cm_rejection_rate - smoothed share of rejected requests
 * @per_mille: the share after the latest response, thousandths
 * @seen_ms: when the latest response arrived, ms; 0 for never
 */
struct cm_rejection_rate {
	uint32_t per_mille;
	uint64_t seen_ms;
};

/**
 * cm_rejection_rate_add() - record a response
 * @rate: the rate; zeroed before first use
 * @now_ms: current time, ms
 * @is_rejected: the server rejected the request
 */
void cm_rejection_rate_add(struct cm_rejection_rate *rate, uint64_t now_ms,
			   bool is_rejected);

/**
 * cm_rejection_rate_get() - the present rate
 * @rate: the rate
 * @now_ms: current time, ms
 *
 * Without responses the rate falls by half every CM_REJECTION_HALF_LIFE_MS, so
 * that a group that was avoided is tried again.
 *
 * Return: the rate, thousandths.
 */
uint32_t cm_rejection_rate_get(const struct cm_rejection_rate *rate,
			       uint64_t now_ms);

/** Time in which a rate falls by half without responses, ms. */
#define CM_REJECTION_HALF_LIFE_MS 500

#endif
