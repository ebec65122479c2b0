/**
 * DOC: Local copy of the registry in an instance that steers by token
 *
 * Items come from the registry itself (feed_registry.c) or from the source,
 * another instance of the same failure domain (feed_exchange.c). feed.c selects
 * which of the two to request them from, registry_loop.c sends the requests,
 * and feed_events.c applies changed items to the steering instance (steer.h).
 */
#ifndef DAEMON_FEED_H
#define DAEMON_FEED_H

#include <pthread.h>

#include "chervilmast/down_list.h"
#include "chervilmast/failure_tally.h"
#include "chervilmast/feed_choice.h"
#include "chervilmast/item_log.h"
#include "chervilmast/load_table.h"
#include "chervilmast/message.h"
#include "chervilmast/roster.h"
#include "chervilmast/steer.h"
#include "chervilmast/store_era.h"
#include "chervilmast/suspect_list.h"
#include "ports/registry.h"

/**
 * struct cm_feed_snapshot - a snapshot received in parts from another instance
 * @sender_incarnation: incarnation of the sender; 0 for no snapshot in progress
 * @after: revision up to which its items were received
 * @began_ms: when the first part was received
 */
struct cm_feed_snapshot {
	uint64_t sender_incarnation;
	uint64_t after;
	uint64_t began_ms;
};

/**
 * struct cm_feed - local copy of the registry
 * @steer: the steering instance to which changed items are applied
 * @self: registry entry of this instance
 * @incarnation: incarnation of this instance; differs for each start
 * @stale_ms: age of the copy at which a request goes to the registry itself
 *            because the source has not answered; 0 for never
 * @lock: guards all members below
 * @items: the items
 * @era: latest position that was received
 * @plan_version: version of the plan in force; 0 for none
 * @plan_changed: routes or services have changed since that plan was built
 * @snapshot: snapshot that is being received from another instance
 * @roster: members of the own failure domain
 * @read_may_be_stale: the registry read in progress may return data that is
 *                     some seconds old
 * @is_stale: the copy may lack changes before its revision, so that changes
 *            can't be requested by revision and a full read has to follow
 * @members_revision: revision of the registry's entry of the members of the own
 *                    failure domain; 0 while there is none
 * @members_kept_until_ms: time until which no member expires, ms: the others
 *                         may skip this instance as their source, as it could
 *                         not reach the registry or was not running
 * @members_were_lost: the store changed its era since that entry was last
 *                     written: it is missing, or comes from the older copy and
 *                     lists former members
 * @read_has_plan: the registry read in progress contains a plan, or the
 *                 snapshot one that is not older than the plan in force
 * @peers_buffer: buffer for a list of members
 * @source: choice of the instance to send requests to instead of the registry
 * @request_address: control address to which the last request to a source was
 *                   sent
 * @wakeup: signalled when @wakeups is raised
 * @wakeups: number of calls that end a wait of cm_feed_pause()
 * @wakeups_seen: value of @wakeups when the last wait ended
 * @request_sent_ms: time of the last request to a source; 0 after an answer
 * @suspects: servers that instances of the failure domain suspect
 * @down: servers that instances of the failure domain report as silent, by
 *        reporting instance
 * @reported_ms: when a request was last sent early because of a silent server,
 *               ms
 * @failures: counts of the failed and successful flows that instances of the
 *            failure domain reported
 * @loads: loads of servers that instances of the failure domain reported
 * @loads_source: incarnation of the source to which loads are reported; 0 for
 *                none
 * @loads_epoch: number of the current series of reports of loads; a new series
 *               begins with each new source
 * @own_loads_ms: when this instance last recorded its own loads in @loads, ms
 * @loads_answered_ms: time of the last answer of a source with optional fields,
 *                     ms; 0 for none
 * @optional_address: control address of the last source whose answer had
 *                    optional fields
 * @is_registry_unreachable: the last call to the registry failed, and no usable
 *                           answer of the source was received since
 * @was_current: the copy was confirmed to be current at least once
 * @swept_ms: when old tombstones were last freed
 */
struct cm_feed {
	struct cm_steer *steer;
	struct cm_peer_entry self;
	uint64_t incarnation;
	uint64_t stale_ms;
	pthread_mutex_t lock;
	struct cm_item_log items;
	struct cm_store_era era;
	uint64_t plan_version;
	bool plan_changed;
	struct cm_feed_snapshot snapshot;
	struct cm_roster roster;
	bool read_may_be_stale;
	bool is_stale;
	uint64_t members_revision;
	uint64_t members_kept_until_ms;
	bool members_were_lost;
	bool read_has_plan;
	struct cm_peer_entry peers_buffer[CM_ROSTER_MAX];
	struct cm_feed_choice source;
	struct cm_endpoint request_address;
	pthread_cond_t wakeup;
	uint32_t wakeups;
	uint32_t wakeups_seen;
	uint64_t request_sent_ms;
	struct cm_suspect_list suspects;
	struct cm_down_list down;
	uint64_t reported_ms;
	struct cm_failure_tally failures;
	struct cm_load_table loads;
	uint64_t loads_source;
	uint32_t loads_epoch;
	uint64_t own_loads_ms;
	uint64_t loads_answered_ms;
	struct cm_endpoint optional_address;
	bool is_registry_unreachable;
	bool was_current;
	uint64_t swept_ms;
};

/**
 * struct cm_feed_config - settings of a feed
 * @self: registry entry of this instance
 * @incarnation: incarnation of this instance; differs for each start, not 0
 * @age_max_ms: maximum age of data of another instance for it to be usable
 * @stale_ms: age of the copy at which a request goes to the registry itself
 *            because the source has not answered; 0 for never
 */
struct cm_feed_config {
	struct cm_peer_entry self;
	uint64_t incarnation;
	uint64_t age_max_ms;
	uint64_t stale_ms;
};

/**
 * cm_feed_init() - initialise with an empty copy
 * @feed: memory owned by the calling function
 * @steer: the steering instance to which changed items are applied
 * @config: settings; copied
 */
void cm_feed_init(struct cm_feed *feed, struct cm_steer *steer,
		  const struct cm_feed_config *config);

/**
 * cm_feed_finish() - free what a feed holds
 * @feed: the feed; the struct itself is not freed
 */
void cm_feed_finish(struct cm_feed *feed);

/**
 * cm_feed_revision() - revision up to which the copy is complete
 * @feed: the feed
 *
 * Return: the revision; 0 while the copy is empty.
 */
uint64_t cm_feed_revision(struct cm_feed *feed);

/**
 * cm_feed_begin_read() - begin a full read of the registry
 * @feed: the feed
 * @may_be_stale: the read may return data that is some seconds old
 */
void cm_feed_begin_read(struct cm_feed *feed, bool may_be_stale);

/**
 * cm_feed_is_stale() - whether a full read of current data has to follow
 * @feed: the feed
 *
 * Return: true after a read that was allowed to be stale, or when the items of
 * a plan do not match its digest.
 */
bool cm_feed_is_stale(struct cm_feed *feed);

/**
 * cm_feed_clear_stale() - record that the copy is no longer stale, if it was
 * @feed: the feed; its lock is held
 * @revision: revision of a complete snapshot of current data that was applied
 */
void cm_feed_clear_stale(struct cm_feed *feed, uint64_t revision);

/**
 * cm_feed_cancel_read() - end a full read of the registry that failed
 * @feed: the feed
 */
void cm_feed_cancel_read(struct cm_feed *feed);

/**
 * cm_feed_sink() - get a sink that writes registry entries to the copy
 * @feed: the feed
 * @is_full_read: the sink is for a full read after cm_feed_begin_read(), not
 *                for changes
 *
 * Return: the sink; valid as long as @feed.
 */
struct cm_registry_sink cm_feed_sink(struct cm_feed *feed, bool is_full_read);

/**
 * cm_feed_registry_answered() - record that the registry answered
 * @feed: the feed
 * @data_current_ms: latest time at which the returned data was certainly
 *                   current
 */
void cm_feed_registry_answered(struct cm_feed *feed, uint64_t data_current_ms);

/**
 * cm_feed_registry_unreachable() - record that the registry did not answer
 * @feed: the feed
 */
void cm_feed_registry_unreachable(struct cm_feed *feed);

/**
 * cm_feed_select_source() - select the instance to send a request to instead of
 * the registry
 * @feed: the feed
 * @now_ms: current time
 * @source: set to the instance
 *
 * Return: true when the request is to be sent to @source; it is recorded as
 * sent. False when it is to be sent to the registry: the copy is empty, this
 * instance is the first in rank order that is not skipped, the source gave no
 * usable answer in time and is skipped from now on, or the copy is older than
 * stale_ms, the source has not answered and the registry is not known to be
 * unreachable.
 */
bool cm_feed_select_source(struct cm_feed *feed, uint64_t now_ms,
			   struct cm_peer_entry *source);

/**
 * cm_feed_is_members_writer() - whether this instance writes the members to the
 * registry
 * @feed: the feed
 * @now_ms: current time
 *
 * Return: true when this instance is the first member in the registry's entry
 * or, while there is no entry or only one from before a change of era, when no
 * other instance is selected as source.
 */
bool cm_feed_is_members_writer(struct cm_feed *feed, uint64_t now_ms);

/**
 * cm_feed_take_due_members() - list the members when a write of them is due
 * @feed: the feed
 * @now_ms: current time
 * @force: a write is due even if the registry's entry is up to date
 * @entries: set to the members; room for CM_ROSTER_MAX
 * @revision: set to the revision of the registry entry to replace; 0 for none
 *
 * A write that is due is recorded as started. After a change of era, the
 * members that this instance knows are included even if they have sent it no
 * request.
 *
 * Return: number of @entries; 0 when no write is due.
 */
uint32_t cm_feed_take_due_members(struct cm_feed *feed, uint64_t now_ms,
				  bool force, struct cm_peer_entry *entries,
				  uint64_t *revision);

/**
 * cm_feed_is_searching() - whether the source has yet to give a usable answer
 * @feed: the feed
 *
 * Return: true when the next request should follow soon; the source is skipped
 * if it keeps giving no usable answer.
 */
bool cm_feed_is_searching(struct cm_feed *feed);

/**
 * cm_feed_pause() - wait between two requests
 * @feed: the feed
 * @pause_ms: maximum wait
 *
 * The wait ends early when the source is skipped because of its answer or when
 * cm_feed_wake() is called. It ends at once when either happened since the last
 * wait. For use by one thread only.
 */
void cm_feed_pause(struct cm_feed *feed, uint32_t pause_ms);

/**
 * cm_feed_wake() - end a wait of cm_feed_pause()
 * @feed: the feed
 */
void cm_feed_wake(struct cm_feed *feed);

/**
 * cm_feed_report_silent() - send the next request to the source at once, as a
 * server was newly found silent
 * @feed: the feed
 * @now_ms: current time, ms
 *
 * Never waits for the lock of the feed. Does nothing while this instance
 * queries the registry itself.
 *
 * Return: false when the call is to be repeated: the lock is held, or the last
 * such request was sent less than 100 ms ago.
 */
bool cm_feed_report_silent(struct cm_feed *feed, uint64_t now_ms);

/**
 * cm_feed_make_request() - make a request to another instance
 * @feed: the feed
 * @now_ms: current time
 * @request: set to the request
 *
 * Takes the flow results from the steering instance, so that each is reported
 * only once.
 */
void cm_feed_make_request(struct cm_feed *feed, uint64_t now_ms,
			  struct cm_message_items_request *request);

/**
 * cm_feed_apply_answer() - apply the answer of another instance
 * @feed: the feed
 * @now_ms: current time
 * @from: control address of the other instance
 * @incarnation: incarnation of the other instance
 * @items: its answer
 *
 * Return: 0; CM_E_STALE when the items are out of order or belong to another
 * snapshot and were ignored; CM_E_OUT_OF_RANGE when the answer states a request
 * time in the future.
 */
int cm_feed_apply_answer(struct cm_feed *feed, uint64_t now_ms,
			 const struct cm_endpoint *from, uint64_t incarnation,
			 const struct cm_message_items *items);

/**
 * cm_feed_make_answer() - answer the request of another instance
 * @feed: the feed
 * @now_ms: current time
 * @from: entry of the other instance; its rank is ignored
 * @request: the request
 * @items: set to the answer; initially empty
 *
 * Return: 0, CM_E_MEMORY or CM_E_TOO_LARGE.
 */
int cm_feed_make_answer(struct cm_feed *feed, uint64_t now_ms,
			const struct cm_peer_entry *from,
			const struct cm_message_items_request *request,
			struct cm_message_items *items);

#endif
