/**
 * DOC: What an instance that steers by token hears of the registry
 *
 * Keeps a copy of the registry, whether its items come from the registry itself
 * or from another instance, gives what they mean to the node, and answers other
 * instances from the copy.
 */
#ifndef DAEMON_FEED_H
#define DAEMON_FEED_H

#include <pthread.h>

#include "chervilmast/feed_source.h"
#include "chervilmast/message.h"
#include "chervilmast/steer.h"
#include "chervilmast/failure_tally.h"
#include "chervilmast/suspect_list.h"
#include "ports/registry.h"

/**
 * struct cm_feed - what an instance hears of the registry
 * @steer: the node
 * @ops: what the registry's items mean
 * @lock: guards all below
 * @log: copy of the registry
 * @source: what was made of the instance that is asked
 * @asked: where it answers
 * @turned: signalled when the source is passed over
 * @turns: times that one was, or a wait was ended
 * @turns_seen: of these, those before the last wait ended
 * @asked_ms: when the source was asked last; 0 when it has answered since
 * @suspects: servers that instances of the failure domain suspect
 * @failures: flows that instances of the failure domain saw fail
 * @is_lost: the registry did not answer this instance last
 * @swept_ms: when the copy was last swept
 */
struct cm_feed {
	struct cm_steer *steer;
	const struct cm_registry_ops *ops;
	pthread_mutex_t lock;
	struct cm_item_log log;
	struct cm_feed_source source;
	struct cm_endpoint asked;
	pthread_cond_t turned;
	uint32_t turns;
	uint32_t turns_seen;
	uint64_t asked_ms;
	struct cm_suspect_list suspects;
	struct cm_failure_tally failures;
	bool is_lost;
	uint64_t swept_ms;
};

/**
 * cm_feed_init() - begin with an empty copy
 * @feed: memory of the caller
 * @steer: the node
 * @ops: what the registry's items mean
 * @age_max_ms: oldest word of another instance that will do
 */
void cm_feed_init(struct cm_feed *feed, struct cm_steer *steer,
		  const struct cm_registry_ops *ops, uint64_t age_max_ms);

/**
 * cm_feed_finish() - free the copy
 * @feed: the feed; its memory stays the caller's
 */
void cm_feed_finish(struct cm_feed *feed);

/**
 * cm_feed_revision() - revision up to which the registry is known
 * @feed: the feed
 *
 * Return: the revision; 0 while nothing is known.
 */
uint64_t cm_feed_revision(struct cm_feed *feed);

/**
 * cm_feed_begin() - all items of the registry are about to be told
 * @feed: the feed
 */
void cm_feed_begin(struct cm_feed *feed);

/**
 * cm_feed_sink() - takes what the registry tells
 * @feed: the feed
 * @is_all: it tells all of its items
 *
 * Return: the functions to call.
 */
struct cm_registry_sink cm_feed_sink(struct cm_feed *feed, bool is_all);

/**
 * cm_feed_heard() - the registry answered
 * @feed: the feed
 * @now_ms: current time
 */
void cm_feed_heard(struct cm_feed *feed, uint64_t now_ms);

/**
 * cm_feed_lost() - the registry did not answer
 * @feed: the feed
 */
void cm_feed_lost(struct cm_feed *feed);

/**
 * cm_feed_source() - the instance to ask in place of the registry
 * @feed: the feed
 * @self: name of this instance
 * @now_ms: current time
 * @source: set to the instance, which then counts as asked
 *
 * Return: false when the registry is to be asked.
 */
bool cm_feed_source(struct cm_feed *feed, const char *self, uint64_t now_ms,
		    struct cm_peer_entry *source);

/**
 * cm_feed_is_searching() - whether the source has not answered well yet
 * @feed: the feed
 *
 * Return: true when it should be asked, or passed over, soon.
 */
bool cm_feed_is_searching(struct cm_feed *feed);

/**
 * cm_feed_pause() - wait until it is time to ask again
 * @feed: the feed
 * @pause_ms: longest wait; ends when the source is passed over, or at once when
 *            it was since the last wait
 *
 * For one thread only.
 */
void cm_feed_pause(struct cm_feed *feed, uint32_t pause_ms);

/**
 * cm_feed_wake() - end a wait of cm_feed_pause()
 * @feed: the feed
 */
void cm_feed_wake(struct cm_feed *feed);

/**
 * cm_feed_request() - what to ask the source
 * @feed: the feed
 * @request: set
 */
void cm_feed_request(struct cm_feed *feed,
		     struct cm_message_items_request *request);

/**
 * cm_feed_take() - take what another instance answered
 * @feed: the feed
 * @now_ms: current time
 * @from: where it answers
 * @items: its answer
 */
void cm_feed_take(struct cm_feed *feed, uint64_t now_ms,
		  const struct cm_endpoint *from,
		  const struct cm_message_items *items);

/**
 * cm_feed_answer() - answer another instance
 * @feed: the feed
 * @now_ms: current time
 * @request: what it asked
 * @items: an empty array; set
 *
 * Return: 0, CM_E_MEMORY or CM_E_TOO_LARGE.
 */
int cm_feed_answer(struct cm_feed *feed, uint64_t now_ms,
		   const struct cm_message_items_request *request,
		   struct cm_message_items *items);

#endif
