/**
 * DOC: Congestion of backend servers, as the responses show it
 *
 * The congestion of a group of servers is the share of the recent requests of
 * this instance that the servers rejected or answered slowly. It shows whether
 * the group has room for further requests, also where the instance does not
 * know the load of the servers, as in other failure domains.
 */
#ifndef CHERVILMAST_CONGESTION_H
#define CHERVILMAST_CONGESTION_H

#include <stdbool.h>
#include <stdint.h>

/** Congestion of servers that reject all requests, thousandths. */
#define CM_CONGESTION_FULL 1000
/** Time in which a congestion falls by half without responses, ms. */
#define CM_CONGESTION_HALF_LIFE_MS 500

/**
 * struct cm_congestion - congestion of a group of servers
 * @per_mille: the congestion after the latest response, thousandths
 * @seen_ms: when the latest response arrived, ms; 0 for never
 */
struct cm_congestion {
	uint32_t per_mille;
	uint64_t seen_ms;
};

/**
 * cm_congestion_add() - record a response
 * @congestion: the congestion; zeroed before first use
 * @now_ms: current time, ms
 * @is_full: the response shows a full server: a rejection, or a slow response
 */
void cm_congestion_add(struct cm_congestion *congestion, uint64_t now_ms,
		       bool is_full);

/**
 * cm_congestion_get() - present congestion
 * @congestion: the congestion
 * @now_ms: current time, ms
 *
 * Without responses it falls by half every CM_CONGESTION_HALF_LIFE_MS, so that
 * a group that was avoided is tried again.
 *
 * Return: the congestion, thousandths.
 */
uint32_t cm_congestion_get(const struct cm_congestion *congestion,
			   uint64_t now_ms);

#endif
