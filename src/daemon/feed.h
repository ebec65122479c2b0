/**
 * DOC: Copy of the registry of an instance that steers by token
 *
 * Keeps what the registry holds as items. Entries come from the registry itself
 * (feed_registry.c) or from the source, the instance that is asked in its place
 * (feed_exchange.c); registry_loop.c asks the one that feed.c names. What
 * changes is applied to the node (feed_events.c).
 */
#ifndef DAEMON_FEED_H
#define DAEMON_FEED_H

#include <pthread.h>

#include "chervilmast/failure_tally.h"
#include "chervilmast/feed_source.h"
#include "chervilmast/item_log.h"
#include "chervilmast/message.h"
#include "chervilmast/roster.h"
#include "chervilmast/steer.h"
#include "chervilmast/suspect_list.h"
#include "ports/registry.h"

/**
 * struct cm_feed_snapshot - a snapshot that another instance gives in parts
 * @of: incarnation of that instance; 0 while none is given
 * @after: revision up to which its items have come
 * @began_ms: when its first part came
 */
struct cm_feed_snapshot {
	uint64_t of;
	uint64_t after;
	uint64_t began_ms;
};

/**
 * struct cm_feed - copy of the registry
 * @steer: the node
 * @self: entry of this instance
 * @incarnation: of this instance; differs from start to start
 * @stale_ms: age of the registry's word from which the registry itself is asked
 * @lock: guards all below
 * @log: the items
 * @version: version of the plan that was put in force; 0 for none
 * @plan_differs: its routes or services have changed since
 * @snapshot: snapshot in progress
 * @roster: members of the failure domain
 * @reads_stale: the read that has begun may tell what is some seconds old
 * @is_stale: what is known may be: its revision says nothing, and a whole copy
 *            has to follow
 * @members_revision: revision of their entry in the registry; 0 for none
 * @has_plan: the snapshot of the registry has a plan
 * @listed: room for a list of members
 * @source: what was made of the instance that is asked
 * @asked: where it answers
 * @turned: signalled when the source is passed over
 * @turns: times that one was, or a wait was ended
 * @turns_seen: of these, those before the last wait ended
 * @asked_ms: when the source was asked last; 0 when it has answered since
 * @suspects: servers that instances of the failure domain suspect
 * @failures: flows that instances of the failure domain saw fail
 * @is_lost: the registry did not answer this instance last
 * @is_confirmed: what is known was current at some time
 * @swept_ms: when the copy was last swept
 */
struct cm_feed {
	struct cm_steer *steer;
	struct cm_peer_entry self;
	uint64_t incarnation;
	uint64_t stale_ms;
	pthread_mutex_t lock;
	struct cm_item_log log;
	uint64_t version;
	bool plan_differs;
	struct cm_feed_snapshot snapshot;
	struct cm_roster roster;
	bool reads_stale;
	bool is_stale;
	uint64_t members_revision;
	bool has_plan;
	struct cm_peer_entry listed[CM_ROSTER_MAX];
	struct cm_feed_source source;
	struct cm_endpoint asked;
	pthread_cond_t turned;
	uint32_t turns;
	uint32_t turns_seen;
	uint64_t asked_ms;
	struct cm_suspect_list suspects;
	struct cm_failure_tally failures;
	bool is_lost;
	bool is_confirmed;
	uint64_t swept_ms;
};

/**
 * struct cm_feed_config - settings of a copy
 * @self: entry of this instance
 * @incarnation: of this instance; differs from start to start, not 0
 * @age_max_ms: oldest word of another instance that will do
 * @stale_ms: age of the registry's word from which the registry itself is asked
 */
struct cm_feed_config {
	struct cm_peer_entry self;
	uint64_t incarnation;
	uint64_t age_max_ms;
	uint64_t stale_ms;
};

/**
 * cm_feed_init() - begin with an empty copy
 * @feed: memory of the caller
 * @steer: the node
 * @config: settings; copied
 */
void cm_feed_init(struct cm_feed *feed, struct cm_steer *steer,
		  const struct cm_feed_config *config);

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
 * @may_be_stale: the items may be some seconds old
 */
void cm_feed_begin(struct cm_feed *feed, bool may_be_stale);

/**
 * cm_feed_is_stale() - whether a whole copy has to follow a stale one
 * @feed: the feed
 *
 * Return: true after a read that was allowed to be stale.
 */
bool cm_feed_is_stale(struct cm_feed *feed);

/**
 * cm_feed_set_whole() - a copy that is not stale has come to its end
 * @feed: the feed; its lock is held
 * @revision: revision that it is of
 */
void cm_feed_set_whole(struct cm_feed *feed, uint64_t revision);

/**
 * cm_feed_cancel() - reading all of the registry failed
 * @feed: the feed
 */
void cm_feed_cancel(struct cm_feed *feed);

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
 * @now_ms: current time
 * @source: set to the instance, which then counts as asked
 *
 * Return: false when the registry is to be asked: this instance is the first of
 * those that are not skipped, or what it knows is too old to go on asking
 * others.
 */
bool cm_feed_source(struct cm_feed *feed, uint64_t now_ms,
		    struct cm_peer_entry *source);

/**
 * cm_feed_leads() - whether this instance is to enter the members
 * @feed: the feed
 * @now_ms: current time
 *
 * Return: true for the first member in the registry, and while the registry has
 * no entry of the failure domain.
 */
bool cm_feed_leads(struct cm_feed *feed, uint64_t now_ms);

/**
 * cm_feed_members_due() - members that the registry should have
 * @feed: the feed
 * @now_ms: current time
 * @must: they have to be written, also when they are the same
 * @entries: room for CM_ROSTER_MAX; set
 * @revision: set to the revision of the entry that they replace
 *
 * Return: number of @entries; 0 when nothing is due. The write then counts as
 * begun.
 */
uint32_t cm_feed_members_due(struct cm_feed *feed, uint64_t now_ms, bool must,
			     struct cm_peer_entry *entries, uint64_t *revision);

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
 * @now_ms: current time
 * @request: set
 */
void cm_feed_request(struct cm_feed *feed, uint64_t now_ms,
		     struct cm_message_items_request *request);

/**
 * cm_feed_take() - take what another instance answered
 * @feed: the feed
 * @now_ms: current time
 * @from: where it answers
 * @incarnation: its incarnation
 * @items: its answer
 *
 * Return: 0; CM_E_STALE for a part out of its order, or of another snapshot,
 * which changes nothing.
 */
int cm_feed_take(struct cm_feed *feed, uint64_t now_ms,
		 const struct cm_endpoint *from, uint64_t incarnation,
		 const struct cm_message_items *items);

/**
 * cm_feed_answer() - answer another instance
 * @feed: the feed
 * @now_ms: current time
 * @from: its entry, without the rank
 * @request: what it asked
 * @items: an empty array; set
 *
 * Return: 0, CM_E_MEMORY or CM_E_TOO_LARGE.
 */
int cm_feed_answer(struct cm_feed *feed, uint64_t now_ms,
		   const struct cm_peer_entry *from,
		   const struct cm_message_items_request *request,
		   struct cm_message_items *items);

#endif
