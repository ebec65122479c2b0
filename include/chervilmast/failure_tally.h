/**
 * DOC: Ejection of servers whose flows fail
 *
 * In a large fleet, each instance sends few flows to each server. The source of
 * a failure domain (see feed_choice.h) therefore counts the failed and
 * successful flows of all instances of the domain and sends them the list of
 * ejected servers: those with a failure rate far above that of all servers
 * together. Counts decay with age. Each ejection is limited in time, and lasts
 * longer if it begins soon after the previous one ended.
 */
#ifndef CHERVILMAST_FAILURE_TALLY_H
#define CHERVILMAST_FAILURE_TALLY_H

#include <stdint.h>

/** Maximum number of servers with a record; see struct cm_failure_count. */
#define CM_FAILURE_TALLY_MAX 64

/**
 * struct cm_flow_ends - decaying counts of ended flows
 * @failed: failed flows at @added_ms, thousandths of a flow
 * @all: all ended flows at @added_ms, thousandths of a flow
 * @added_ms: time from which the counts decay, ms: the end of the last flow or
 *            of an ejection
 */
struct cm_flow_ends {
	uint32_t failed;
	uint32_t all;
	uint64_t added_ms;
};

/**
 * struct cm_failure_count - record of a server with failed flows
 * @token: token of the server; 0 for a free record
 * @ends: its ended flows, counted from its first failure
 * @ejected_until_ms: end of its last ejection, ms; 0 before the first
 * @ejections: number of ejections that followed soon after one another
 */
struct cm_failure_count {
	uint32_t token;
	struct cm_flow_ends ends;
	uint64_t ejected_until_ms;
	uint32_t ejections;
};

/**
 * struct cm_failure_tally - failures of all servers
 * @items: records of servers with failures
 * @all: ended flows of all servers
 */
struct cm_failure_tally {
	struct cm_failure_count items[CM_FAILURE_TALLY_MAX];
	struct cm_flow_ends all;
};

/**
 * cm_failure_tally_failed() - count failed flows
 * @tally: the tally; zeroed before first use
 * @now_ms: current time, ms
 * @tokens: token of the server of each flow
 * @count: number of @tokens
 */
void cm_failure_tally_failed(struct cm_failure_tally *tally, uint64_t now_ms,
			     const uint32_t *tokens, uint32_t count);

/**
 * cm_failure_tally_succeeded() - count successful flows
 * @tally: the tally; zeroed before first use
 * @now_ms: current time, ms
 * @tokens: token of the server of each flow
 * @count: number of @tokens
 */
void cm_failure_tally_succeeded(struct cm_failure_tally *tally, uint64_t now_ms,
				const uint32_t *tokens, uint32_t count);

/**
 * cm_failure_tally_list_ejected() - list the ejected servers
 * @tally: the tally
 * @now_ms: current time, ms
 * @tokens: set to their tokens; room for CM_FAILURE_TALLY_MAX
 *
 * Return: number of @tokens.
 */
uint32_t cm_failure_tally_list_ejected(const struct cm_failure_tally *tally,
				       uint64_t now_ms, uint32_t *tokens);

#endif
