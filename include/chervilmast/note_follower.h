/**
 * DOC: Note follower
 *
 * Decides from where and when an instance fetches new release notes. In each
 * failure domain only CM_WATCHERS_PER_DOMAIN instances watch the store: the
 * first ones in rendezvous order that are alive and not leaving. An instance
 * that is leaving goes on watching while fewer than CM_WATCHERS_PER_DOMAIN of
 * them rank before it. Every instance computes this order by itself. The other
 * instances get the newest version from heartbeats and request the notes from
 * an instance that has them; they read the store only at start and in a slow
 * poll, whose interval grows with the number of instances. The follower does no
 * I/O: the daemon passes in the time, the members and the results of calls, and
 * carries out the steps that the follower returns. Thread-safe.
 */
#ifndef CHERVILMAST_NOTE_FOLLOWER_H
#define CHERVILMAST_NOTE_FOLLOWER_H

#include <pthread.h>

#include "chervilmast/member.h"

/** Number of instances in each failure domain that watch the store. */
#define CM_WATCHERS_PER_DOMAIN 2
/** Timeout of one watch request to the store, milliseconds. */
#define CM_WATCH_TIMEOUT_MS 20000
/**
 * Poll interval per live instance, milliseconds. The interval is proportional
 * to the number of live instances, so that their total rate of polls does not
 * grow with it.
 */
#define CM_POLL_MS_PER_INSTANCE 2000
/** Minimum poll interval before jitter, milliseconds. */
#define CM_POLL_MS_MIN 10000
/** Maximum poll interval before jitter, milliseconds. */
#define CM_POLL_MS_MAX 1800000
/** Delay of the first retry of a store call, before jitter, milliseconds. */
#define CM_STORE_RETRY_MS 250
/**
 * The retry delay is doubled after each failure until it reaches or exceeds
 * this value, milliseconds. The longest delay before jitter is 4000 ms.
 */
#define CM_STORE_RETRY_MS_MAX 3000
/**
 * Delay before the first store call, before jitter, milliseconds. It keeps
 * instances that start together from calling the store at the same time.
 */
#define CM_START_DELAY_MS 100
/** Time after which a request for notes counts as unanswered, milliseconds. */
#define CM_NOTES_REQUEST_TIMEOUT_MS 500
/** Maximum number of recorded instances that have a newer note. */
#define CM_NOTE_SOURCES_MAX 4

/**
 * enum cm_follow_step - next action of the thread that calls the store
 * @CM_FOLLOW_SLEEP: sleep
 * @CM_FOLLOW_READ: read the changes since the last read
 * @CM_FOLLOW_WATCH: wait for a change since the last read
 */
enum cm_follow_step {
	CM_FOLLOW_SLEEP,
	CM_FOLLOW_READ,
	CM_FOLLOW_WATCH,
};

/**
 * struct cm_note_source - an instance that has a newer note in force
 * @control: its control address
 * @version: version of the newest note it has
 */
struct cm_note_source {
	struct cm_endpoint control;
	uint64_t version;
};

/**
 * struct cm_note_follower - state of the note follower
 * @lock: protects all fields below except @self, which never changes
 * @self: this instance
 * @jitter_state: state of the jitter generator
 * @version: version in force
 * @publication_id: publication id of @version
 * @store_version: newest version read from the store
 * @store_publication_id: publication id of @store_version
 * @is_contradicted: the note that the store has for the version in force is not
 *                   the one in force
 * @live_count: number of live instances including this one
 * @is_watcher: this instance watches the store
 * @is_read_due: the store must be read before the next poll, as it may have
 *               changed
 * @next_call_ms: earliest time of the next store call
 * @next_poll_ms: time of the next poll
 * @failures: consecutive failed store calls
 * @sources: instances that reported a newer note
 * @source_count: number of @sources
 * @next_request_ms: earliest time of the next request to a peer
 */
struct cm_note_follower {
	pthread_mutex_t lock;
	struct cm_member self;
	uint64_t jitter_state;
	uint64_t version;
	uint8_t publication_id[CM_PUBLICATION_ID_SIZE];
	uint64_t store_version;
	uint8_t store_publication_id[CM_PUBLICATION_ID_SIZE];
	bool is_contradicted;
	uint32_t live_count;
	bool is_watcher;
	bool is_read_due;
	uint64_t next_call_ms;
	uint64_t next_poll_ms;
	uint32_t failures;
	struct cm_note_source sources[CM_NOTE_SOURCES_MAX];
	uint32_t source_count;
	uint64_t next_request_ms;
};

/**
 * cm_note_follower_init() - initialize a follower without a release note
 * @follower: the follower to initialize
 * @self: this instance; its data address seeds the jitter
 * @now_ms: current time
 */
void cm_note_follower_init(struct cm_note_follower *follower,
			   const struct cm_member *self, uint64_t now_ms);

/**
 * cm_note_follower_finish() - destroy a follower
 * @follower: the follower; the structure itself is not freed
 */
void cm_note_follower_finish(struct cm_note_follower *follower);

/**
 * cm_note_follower_set_members() - update the state that depends on the members
 * @follower: the follower
 * @now_ms: current time
 * @members: all known instances
 * @count: number of @members
 */
void cm_note_follower_set_members(struct cm_note_follower *follower,
				  uint64_t now_ms,
				  const struct cm_member *members,
				  uint32_t count);

/**
 * cm_note_follower_set_version() - record the note now in force
 * @follower: the follower
 * @version: its version; higher than that of the note before
 * @publication_id: its publication id
 */
void cm_note_follower_set_version(struct cm_note_follower *follower,
				  uint64_t version,
				  const uint8_t *publication_id);

/**
 * cm_note_follower_set_store_version() - record the newest version in the store
 * @follower: the follower
 * @version: the version; 0 for none
 * @publication_id: its publication id
 *
 * Return: 0, or CM_E_CONTRADICTION when another note of this version is in
 * force here; all further notes and snapshots are then rejected.
 */
int cm_note_follower_set_store_version(struct cm_note_follower *follower,
				       uint64_t version,
				       const uint8_t *publication_id);

/**
 * cm_note_follower_check_note() - check whether a note may come into force
 * @follower: the follower
 * @version: its version
 * @publication_id: its publication id
 *
 * Return: 0, an error of cm_note_follower_check_snapshot(), or CM_E_VERSION_GAP
 * when the version is not the next one.
 */
int cm_note_follower_check_note(struct cm_note_follower *follower,
				uint64_t version,
				const uint8_t *publication_id);

/**
 * cm_note_follower_check_snapshot() - check whether a snapshot may come into
 * force
 * @follower: the follower
 * @version: its version
 * @publication_id: its publication id
 *
 * Return: 0, CM_E_STALE for a version that is not newer than the one in force,
 * or CM_E_CONTRADICTION when another publication id is known for the version or
 * the store contradicts the note in force.
 */
int cm_note_follower_check_snapshot(struct cm_note_follower *follower,
				    uint64_t version,
				    const uint8_t *publication_id);

/**
 * cm_note_follower_add_source() - record the version that a peer has in force
 * @follower: the follower
 * @control: control address of the peer
 * @version: the version; ignored unless newer than the one in force here
 */
void cm_note_follower_add_source(struct cm_note_follower *follower,
				 const struct cm_endpoint *control,
				 uint64_t version);

/**
 * cm_note_follower_next_step() - choose the next step of the thread that calls
 * the store
 * @follower: the follower
 * @now_ms: current time
 * @wait_ms: set to the duration of CM_FOLLOW_SLEEP or CM_FOLLOW_WATCH
 *
 * One thread carries out all steps in sequence and calls
 * cm_note_follower_step_done() after each except CM_FOLLOW_SLEEP.
 *
 * Return: the step.
 */
enum cm_follow_step
cm_note_follower_next_step(struct cm_note_follower *follower, uint64_t now_ms,
			   uint32_t *wait_ms);

/**
 * cm_note_follower_step_done() - record the result of a step
 * @follower: the follower
 * @now_ms: current time
 * @step: the step
 * @error: its result, 0 or an error
 */
void cm_note_follower_step_done(struct cm_note_follower *follower,
				uint64_t now_ms, enum cm_follow_step step,
				int error);

/**
 * cm_note_follower_next_request() - choose the next peer to request notes from
 * @follower: the follower
 * @now_ms: current time
 * @control: set to the control address of the peer
 *
 * Only one request is outstanding: no other peer is chosen before
 * cm_note_follower_peer_answered() is called or CM_NOTES_REQUEST_TIMEOUT_MS
 * have passed.
 *
 * Return: true when a request is due.
 */
bool cm_note_follower_next_request(struct cm_note_follower *follower,
				   uint64_t now_ms,
				   struct cm_endpoint *control);

/**
 * cm_note_follower_peer_answered() - record the answer of a peer
 * @follower: the follower
 * @now_ms: current time
 * @control: control address of the peer
 * @version: version that the peer has in force; 0 when its answer was rejected
 */
void cm_note_follower_peer_answered(struct cm_note_follower *follower,
				    uint64_t now_ms,
				    const struct cm_endpoint *control,
				    uint64_t version);

#endif
