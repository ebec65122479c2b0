/**
 * DOC: Choice of the instance from which registry changes are requested
 *
 * Each instance keeps a copy of the registry, its feed. Calls to the registry
 * are expensive, so only one instance of a failure domain, the source, queries
 * the registry, and the others request the changes from the source. The
 * candidates are the instances of the failure domain that are in the registry.
 * All instances order them by rank, and those of equal rank by name; the first
 * candidate that is not skipped is the source.
 *
 * A source that gives no usable answer for CM_FEED_TIMEOUT_MS is skipped for
 * CM_FEED_SKIP_MS, and the next candidate becomes the source. An answer is not
 * usable if its data is too old or has an earlier revision than the receiver's.
 * A source that reports that it can't reach the registry, or that it is
 * shutting down, is skipped at once. An instance queries the registry itself if
 * it skips all candidates that precede it.
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
/** Data age sent by a source that can't reach the registry. */
#define CM_FEED_AGE_UNREACHABLE UINT64_MAX
/** Data age sent by a source in graceful shutdown. */
#define CM_FEED_AGE_LEAVING (UINT64_MAX - 1)
/**
 * Maximum number of skipped sources; another one replaces the one with the
 * earliest @since_ms.
 */
#define CM_FEED_SKIPPED_MAX 8

/**
 * struct cm_feed_skipped - a source that is skipped
 * @name: name of the source; empty for none
 * @since_ms: time from which it is skipped, ms
 */
struct cm_feed_skipped {
	char name[CM_NAME_SIZE];
	uint64_t since_ms;
};

/**
 * struct cm_feed_choice - state of an instance's choice of source
 * @age_max_ms: maximum age of usable registry data, ms
 * @source_name: name of the current source; empty for none, also after the
 * source was skipped
 * @waiting_since_ms: time of the first request to the source since it was
 *                    selected or last gave a usable answer, ms; 0 for none
 * @has_answered: the source has given a usable answer
 * @skipped: sources that are skipped
 */
struct cm_feed_choice {
	uint64_t age_max_ms;
	char source_name[CM_NAME_SIZE];
	uint64_t waiting_since_ms;
	bool has_answered;
	struct cm_feed_skipped skipped[CM_FEED_SKIPPED_MAX];
};

/**
 * cm_feed_choice_init() - initialize without a source
 * @choice: uninitialized memory, owned by the calling function
 * @age_max_ms: maximum age of usable registry data, ms
 */
void cm_feed_choice_init(struct cm_feed_choice *choice, uint64_t age_max_ms);

/**
 * cm_feed_choice_is_skipped() - whether a source is skipped
 * @choice: the state
 * @name: name of the source
 * @now_ms: current time, ms
 *
 * Return: true while no request may be sent to the source.
 */
bool cm_feed_choice_is_skipped(const struct cm_feed_choice *choice,
			       const char *name, uint64_t now_ms);

/**
 * cm_feed_choice_begin_request() - check whether to send a request to a source
 * @choice: the state
 * @name: name of the first source that is not skipped
 * @now_ms: current time, ms
 *
 * The timeout starts with the first request to the source, and again with the
 * first request after each usable answer.
 *
 * Return: true when the request is to be sent; false when the source gave no
 * usable answer within CM_FEED_TIMEOUT_MS and is skipped from now on.
 */
bool cm_feed_choice_begin_request(struct cm_feed_choice *choice,
				  const char *name, uint64_t now_ms);

/**
 * cm_feed_choice_record_answer() - record an answer of the source
 * @choice: the state
 * @now_ms: current time, ms
 * @age_ms: age of the source's data, ms, CM_FEED_AGE_UNREACHABLE or
 *          CM_FEED_AGE_LEAVING; with the latter two, the source is skipped from
 *          now on
 * @is_behind: the source has an earlier revision than this instance
 *
 * Return: true when the answer is usable.
 */
bool cm_feed_choice_record_answer(struct cm_feed_choice *choice,
				  uint64_t now_ms, uint64_t age_ms,
				  bool is_behind);

#endif
