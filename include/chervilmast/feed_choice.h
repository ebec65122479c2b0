/**
 * DOC: Choice of the node to ask for registry changes
 *
 * The registry changes that a node receives are its feed. Calls to the registry
 * are expensive, so one node of a failure domain, the source, asks the
 * registry, and the others ask that node. All nodes order the candidates by
 * rank. A source that gives no usable answer for CM_FEED_TIMEOUT_MS, as it is
 * silent or its data is too old or behind that of the asking node, is skipped
 * for CM_FEED_SKIP_MS. A source that lost the registry or is shutting down is
 * skipped for as long, but immediately. The next node in the order is asked
 * instead. A node that skips all nodes that precede it in the order asks the
 * registry itself.
 */
#ifndef CHERVILMAST_FEED_CHOICE_H
#define CHERVILMAST_FEED_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "chervilmast/note.h"

/** Time without a usable answer after which a source is skipped, ms. */
#define CM_FEED_TIMEOUT_MS 600
/** Time for which a source is skipped, ms. */
#define CM_FEED_SKIP_MS 5000
/** Data age sent by a source that lost the registry. */
#define CM_FEED_AGE_LOST UINT64_MAX
/** Data age sent by a source in graceful shutdown. */
#define CM_FEED_AGE_LEAVING (UINT64_MAX - 1)
/** Maximum number of skipped sources; a further one replaces the one that was
 * skipped first. */
#define CM_FEED_SKIPPED_MAX 8

/**
 * struct cm_feed_skipped - a source that is skipped
 * @name: name of the source; empty for none
 * @since_ms: time from which it is skipped
 */
struct cm_feed_skipped {
	char name[CM_NAME_SIZE];
	uint64_t since_ms;
};

/**
 * struct cm_feed_choice - state of a node's choice of source
 * @age_max_ms: maximum age of usable registry data
 * @name: the source that was asked last; empty for none
 * @waiting_since_ms: time of the first request since the last usable answer; 0
 *                    for none
 * @has_answered: the source has given a usable answer
 * @skipped: sources that are skipped
 */
struct cm_feed_choice {
	uint64_t age_max_ms;
	char name[CM_NAME_SIZE];
	uint64_t waiting_since_ms;
	bool has_answered;
	struct cm_feed_skipped skipped[CM_FEED_SKIPPED_MAX];
};

/**
 * cm_feed_choice_init() - initialise without a source
 * @choice: memory of the caller
 * @age_max_ms: maximum age of usable registry data
 */
void cm_feed_choice_init(struct cm_feed_choice *choice, uint64_t age_max_ms);

/**
 * cm_feed_choice_is_skipped() - whether a source is skipped
 * @choice: the state
 * @name: name of the source
 * @now_ms: current time
 *
 * Return: true while the source must not be asked.
 */
bool cm_feed_choice_is_skipped(const struct cm_feed_choice *choice,
			       const char *name, uint64_t now_ms);

/**
 * cm_feed_choice_begin_request() - start to wait for a source, or skip it
 * @choice: the state
 * @name: name of the first source that is not skipped
 * @now_ms: current time
 *
 * The waiting time starts with the first request since the last usable answer.
 *
 * Return: true when the source is to be asked now; false when it gave no usable
 * answer within CM_FEED_TIMEOUT_MS and is skipped from now on.
 */
bool cm_feed_choice_begin_request(struct cm_feed_choice *choice,
				  const char *name, uint64_t now_ms);

/**
 * cm_feed_choice_record_answer() - record an answer of the source
 * @choice: the state
 * @now_ms: current time
 * @age_ms: age of the source's data, CM_FEED_AGE_LOST or CM_FEED_AGE_LEAVING
 * @is_behind: the source has an earlier revision than this node
 *
 * Return: true when the answer is usable.
 */
bool cm_feed_choice_record_answer(struct cm_feed_choice *choice,
				  uint64_t now_ms, uint64_t age_ms,
				  bool is_behind);

#endif
