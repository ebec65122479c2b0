/**
 * DOC: Where a node hears of the registry
 *
 * Each call to the registry costs, so one node of a failure domain asks it and
 * the others ask that node. A source that is silent, or knows less or older
 * things than a node may rely on, is passed over for a while, one that lost the
 * registry at once: the next node in the order that all share is asked then.
 * The first node that passes over all before it asks the registry itself.
 */
#ifndef CHERVILMAST_FEED_SOURCE_H
#define CHERVILMAST_FEED_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

#include "chervilmast/note.h"

/** Time without an answer after which a source is passed over, ms. */
#define CM_FEED_PATIENCE_MS 600
/** Time for which a source is passed over, ms. */
#define CM_FEED_RETRY_MS 5000
/** Age of the word of a source that lost the registry. */
#define CM_FEED_LOST UINT64_MAX
/** Age of the word of a source in graceful shutdown. */
#define CM_FEED_LEAVES (UINT64_MAX - 1)
/** Most sources that are passed over at once. */
#define CM_FEED_PASSED_MAX 8

/**
 * struct cm_feed_passed - a source that is passed over
 * @name: its name; empty for none
 * @since_ms: since when
 */
struct cm_feed_passed {
	char name[CM_NAME_SIZE];
	uint64_t since_ms;
};

/**
 * struct cm_feed_source - what a node made of its sources
 * @age_max_ms: oldest word of the registry that will do
 * @name: the source that was asked last; empty for none
 * @waiting_since_ms: when it began to wait for a good answer; 0 while it does
 *                    not wait
 * @is_proven: it gave a good answer
 * @passed: sources that are passed over
 */
struct cm_feed_source {
	uint64_t age_max_ms;
	char name[CM_NAME_SIZE];
	uint64_t waiting_since_ms;
	bool is_proven;
	struct cm_feed_passed passed[CM_FEED_PASSED_MAX];
};

/**
 * cm_feed_source_init() - begin
 * @feed: memory of the caller
 * @age_max_ms: oldest word of the registry that will do
 */
void cm_feed_source_init(struct cm_feed_source *feed, uint64_t age_max_ms);

/**
 * cm_feed_source_is_passed() - whether a source is passed over
 * @feed: what was made of the sources
 * @name: name of the source
 * @now_ms: current time
 *
 * Return: true while it is not to be asked.
 */
bool cm_feed_source_is_passed(const struct cm_feed_source *feed,
			      const char *name, uint64_t now_ms);

/**
 * cm_feed_source_may_ask() - whether to ask the registry's next source
 * @feed: what was made of the sources
 * @name: name of the first source that is not passed over
 * @now_ms: current time
 *
 * Return: true when the source is to be asked, which then counts as asked;
 * false when it has been silent for too long and is passed over from now on.
 */
bool cm_feed_source_may_ask(struct cm_feed_source *feed, const char *name,
			    uint64_t now_ms);

/**
 * cm_feed_source_answered() - the source answered
 * @feed: what was made of the sources
 * @now_ms: current time
 * @age_ms: age of what it knows, CM_FEED_LOST or CM_FEED_LEAVES
 * @is_behind: it knows less than this node
 *
 * Return: true when the answer will do.
 */
bool cm_feed_source_answered(struct cm_feed_source *feed, uint64_t now_ms,
			     uint64_t age_ms, bool is_behind);

#endif
