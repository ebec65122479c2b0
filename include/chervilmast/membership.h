/**
 * DOC: Membership
 *
 * Failure detector. It decides which instances are live, and whether this one
 * may admit new flows. Each instance sends heartbeats to a few observers: the
 * next instance on each of several hash rings in its own failure domain, and
 * fewer observers at a longer interval in other failure domains. Observers
 * acknowledge heartbeats. An observer that has received neither a heartbeat nor
 * an acknowledgement from an instance of its own failure domain for CM_DEAD_MS
 * votes the instance dead. It votes an instance of another failure domain
 * unreachable, after CM_CROSS_DOMAIN_UNREACHABLE_MS. These times start anew
 * when an instance becomes an observer and after a pause of its process. An
 * observer that counts a quorum of votes declares the instance dead or
 * unreachable, and heartbeats spread the new state to the other instances as a
 * membership event.
 *
 * An acknowledgement within a failure domain also grants the sender of the
 * heartbeat a lease. An instance may admit flows only with leases from a quorum
 * of its observers in that domain. A lease is shorter than CM_DEAD_MS, and each
 * quorum that grants leases has an observer in common with each quorum that
 * votes an instance dead. Therefore an instance that a quorum declares dead no
 * longer has the leases to admit flows.
 *
 * The calling program passes in the time, received messages and the platform's
 * list of instances, which is read from the store and may be out of date;
 * outgoing messages are appended to an outbox. All calls must be serialized by
 * the calling program. See docs/MEMBERSHIP.md.
 */
#ifndef CHERVILMAST_MEMBERSHIP_H
#define CHERVILMAST_MEMBERSHIP_H

#include "chervilmast/counter.h"
#include "chervilmast/outbox.h"

/** Interval of heartbeats to observers in the same failure domain, ms. */
#define CM_HEARTBEAT_MS 300
/** Interval of heartbeats to observers in other failure domains, ms. */
#define CM_CROSS_DOMAIN_HEARTBEAT_MS 900
/** Duration of a lease, counted from the send time of its heartbeat, ms. */
#define CM_LEASE_MS 1000
/**
 * Time without a heartbeat or acknowledgement from an instance of its failure
 * domain after which an observer sends heartbeats to the instance, to solicit
 * an acknowledgement, ms. Until then, an observer in any failure domain ignores
 * events from other instances that report the instance dead or unreachable.
 */
#define CM_HEARTBEAT_OVERDUE_MS 700
/**
 * Time without a heartbeat or acknowledgement after which an observer votes an
 * instance of its failure domain dead, ms.
 */
#define CM_DEAD_MS 1500
/**
 * Time without a heartbeat or acknowledgement after which the votes of all
 * reachable observers suffice to declare an instance of the same failure domain
 * dead, even if they are no quorum, ms.
 */
#define CM_PARTIAL_QUORUM_MS 3000
/**
 * Time without a heartbeat or acknowledgement after which an observer votes an
 * instance of another failure domain unreachable, ms.
 */
#define CM_CROSS_DOMAIN_UNREACHABLE_MS 3600
/**
 * Time without a heartbeat or acknowledgement after which the votes of all
 * reachable observers suffice to declare an instance of another failure domain
 * unreachable, even if they are no quorum, ms.
 */
#define CM_CROSS_DOMAIN_PARTIAL_QUORUM_MS 7200
/**
 * Time for which an instance may not admit flows after its start, after a
 * failure to compute the observers (out of memory), and after it refuted an
 * event about itself, unless the event reported it unreachable, ms.
 */
#define CM_JOIN_MS 1000
/**
 * Time since the last tick above which the process counts as having been
 * paused, ms.
 */
#define CM_PAUSE_MS 1000
/**
 * Maximum time after a pause for which this instance handles no packets while
 * it waits for an acknowledgement of a heartbeat and for the newest release
 * note, ms.
 */
#define CM_CATCH_UP_MS 2000
/**
 * Retention time of the record of a dead or unreachable instance that is not in
 * the platform's list, ms.
 */
#define CM_DEAD_RETENTION_MS 600000

/** Maximum number of observers of an instance in its own failure domain. */
#define CM_OBSERVERS 3
/** Maximum number of observers of an instance in other failure domains. */
#define CM_CROSS_DOMAIN_OBSERVERS 2
/** Maximum number of seeds, see cm_membership_add_seed(). */
#define CM_SEEDS_MAX 64

/**
 * struct cm_observers - the observers of an instance
 * @indices: indices of the observers in @records of struct cm_membership
 * @count: number of @indices
 */
struct cm_observers {
	uint32_t indices[CM_OBSERVERS];
	uint32_t count;
};

/**
 * struct cm_vote - vote of an observer that an instance is dead or unreachable
 * @voter: data address of the observer
 * @incarnation: incarnation of the instance that the vote refers to
 * @received_ms: time at which the vote was received; 0 if there is no vote
 */
struct cm_vote {
	struct cm_endpoint voter;
	uint64_t incarnation;
	uint64_t received_ms;
};

/**
 * struct cm_record - state of one instance in this instance's membership
 * @member: its identity and last known state
 * @hash: hash of its data address
 * @is_confirmed: a message from it or an event about it was received; false for
 *                an instance known only from the platform's list
 * @is_listed: it is in the platform's list
 * @own_record_sent: a heartbeat or acknowledgement was sent to it; the first
 *                   also contains the record of this instance, as the sender
 *                   fields lack the name, unless a limit on events prevents it
 * @observes_self: it is an observer of this instance
 * @observed_by_self: this instance is one of its observers
 * @has_old_incarnation: its last heartbeat or acknowledgement had an older
 *                       incarnation than its record
 * @voted_by_self: this instance currently votes it dead or unreachable
 * @digest_differs_since_ms: time since which its digest differs from the digest
 *                           of this instance; 0 if equal
 * @changed_ms: time at which it was added or its state or incarnation last
 *              changed; not set when this instance begins a graceful shutdown
 *              or when an unconfirmed instance is declared dead
 * @last_received_ms: time of the last heartbeat or acknowledgement from it;
 *                    also set when the record is added, at the end of a pause,
 *                    and when an event changes the record, unless the event
 *                    reports a live instance dead or unreachable
 * @observed_since_ms: time since which this instance is one of its observers
 * @heartbeat_sent_ms: time of the last heartbeat sent to it
 * @heartbeat_until_ms: time until which it is sent heartbeats though it is no
 *                      longer an observer of this instance
 * @vote_sent_ms: time at which this instance last sent its vote; 0 if never
 * @lease_heartbeat_sent_ms: send time of the latest heartbeat of this instance
 *                           for which it granted a lease; 0 for none
 * @change_sequence: sequence number of the last change of this record
 * @sent_sequence: sequence number of the last change that was sent to it
 * @observers: if it is in the failure domain of this instance, its observers in
 *             that domain; otherwise its observers outside of its own domain
 * @votes: votes against it by observers other than this instance
 */
struct cm_record {
	struct cm_member member;
	uint64_t hash;
	bool is_confirmed;
	bool is_listed;
	bool own_record_sent;
	bool observes_self;
	bool observed_by_self;
	bool has_old_incarnation;
	bool voted_by_self;
	uint64_t digest_differs_since_ms;
	uint64_t changed_ms;
	uint64_t last_received_ms;
	uint64_t observed_since_ms;
	uint64_t heartbeat_sent_ms;
	uint64_t heartbeat_until_ms;
	uint64_t vote_sent_ms;
	uint64_t lease_heartbeat_sent_ms;
	uint64_t change_sequence;
	uint64_t sent_sequence;
	struct cm_observers observers;
	struct cm_vote votes[CM_OBSERVERS];
};

/**
 * struct cm_reported_note - the newest release note reported by other instances
 * @version: its version
 * @publication_id: its publication id
 * @control: control address of an instance where it is in force
 */
struct cm_reported_note {
	uint64_t version;
	uint8_t publication_id[CM_PUBLICATION_ID_SIZE];
	struct cm_endpoint control;
};

/**
 * struct cm_membership - membership state of this instance
 * @counters: counters to increment
 * @records: all known instances, with this one first; owned
 * @count: number of @records
 * @capacity: allocated length of @records
 * @cross_domain_observers: observers of this instance in other failure domains
 * @seeds: control addresses of instances to contact while no other instance is
 *         known to be live
 * @seed_count: number of @seeds
 * @version: version of the release note in force at this instance
 * @publication_id: publication id of that note
 * @newest_note: the newest release note reported by other instances
 * @start_ms: time of initialization
 * @last_tick_ms: time of the last tick
 * @admit_not_before_ms: time until which this instance may not admit flows
 * @lease_min_sent_ms: leases for heartbeats sent before this time do not count
 * @admit_until_ms: time until which this instance may admit flows
 * @is_catching_up: the last pause is over, but this instance still catches up
 *                  with the other instances and handles no packets
 * @resumed_ms: time at which the last pause ended
 * @has_ack_since_resume: a heartbeat sent since @resumed_ms was acknowledged
 * @sequence: sequence number of the last change of any record
 * @digest: value of cm_membership_digest() when it was last computed
 * @is_digest_stale: @digest must be recomputed
 * @sync_index: index of the last record considered for a message to an instance
 *              whose digest differs; such messages contain all confirmed
 *              records in turn
 * @retry_index: index of the last instance to which a heartbeat was sent
 *               although it is not live or not confirmed
 * @retry_sent_ms: time at which a heartbeat to such an instance or to the seeds
 *                 was last due
 * @event_tokens: tokens left in the rate limit of membership events; each event
 *                sent takes CM_TOKENS_PER_EVENT
 * @has_member_list: a status message, with the member list of another instance,
 *                   was received
 * @sync_sent_ms: time of the last request for a member list
 * @sync_backoff_ms: minimum time between requests for a member list, ms
 * @observers_outdated: the observers of all instances must be recomputed
 * @members_changed: the members changed since the last call of
 *                cm_membership_take_members()
 */
struct cm_membership {
	struct cm_counters *counters;
	struct cm_record *records;
	uint32_t count;
	uint32_t capacity;
	struct cm_observers cross_domain_observers;
	struct cm_endpoint seeds[CM_SEEDS_MAX];
	uint32_t seed_count;
	uint64_t version;
	uint8_t publication_id[CM_PUBLICATION_ID_SIZE];
	struct cm_reported_note newest_note;
	uint64_t start_ms;
	uint64_t last_tick_ms;
	uint64_t admit_not_before_ms;
	uint64_t lease_min_sent_ms;
	uint64_t admit_until_ms;
	bool is_catching_up;
	uint64_t resumed_ms;
	bool has_ack_since_resume;
	uint64_t sequence;
	uint32_t digest;
	bool is_digest_stale;
	uint32_t sync_index;
	uint32_t retry_index;
	uint64_t retry_sent_ms;
	uint32_t event_tokens;
	bool has_member_list;
	uint64_t sync_sent_ms;
	uint64_t sync_backoff_ms;
	bool observers_outdated;
	bool members_changed;
};

/**
 * cm_membership_init() - initialize the membership of this instance
 * @membership: uninitialized memory, owned by the calling function
 * @self: this instance. Its incarnation should be above that of any earlier
 *        process at its data address; otherwise it is raised as soon as another
 *        instance reports a higher incarnation of that address.
 * @counters: counters to increment
 * @now_ms: current time of a monotonic clock, ms, above 0
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_membership_init(struct cm_membership *membership,
		       const struct cm_member *self,
		       struct cm_counters *counters, uint64_t now_ms);

/**
 * cm_membership_finish() - free what a membership holds
 * @membership: the membership; the struct itself is not freed
 */
void cm_membership_finish(struct cm_membership *membership);

/**
 * cm_membership_add_seed() - add an instance to contact at start
 * @membership: the membership
 * @control: control address of the instance
 *
 * Return: 0, or CM_E_TOO_LARGE above CM_SEEDS_MAX.
 */
int cm_membership_add_seed(struct cm_membership *membership,
			   const struct cm_endpoint *control);

/**
 * cm_membership_add_listed() - pass in the platform's list of instances
 * @membership: the membership
 * @now_ms: current time, ms
 * @members: the listed instances
 * @count: number of @members
 *
 * The list is only a hint: instances that are new in it are sent heartbeats,
 * but a known instance that is missing from it is not declared dead.
 */
void cm_membership_add_listed(struct cm_membership *membership, uint64_t now_ms,
			      const struct cm_member *members, uint32_t count);

/**
 * cm_membership_set_note() - set the release note in force at this instance
 * @membership: the membership
 * @version: version of the note
 * @publication_id: publication id of the note, CM_PUBLICATION_ID_SIZE bytes
 */
void cm_membership_set_note(struct cm_membership *membership, uint64_t version,
			    const uint8_t *publication_id);

/**
 * cm_membership_receive() - handle a message
 * @membership: the membership
 * @now_ms: current time, ms
 * @message: the message; kinds other than heartbeats, acknowledgements and
 *           status are ignored
 * @answer: set if there is an answer
 *
 * Return: true if @answer was set; the calling function then calls
 * cm_message_finish() on it.
 */
bool cm_membership_receive(struct cm_membership *membership, uint64_t now_ms,
			   const struct cm_message *message,
			   struct cm_message *answer);

/**
 * cm_membership_tick() - run periodic work
 * @membership: the membership
 * @now_ms: current time, ms
 * @outbox: messages to send are appended here
 *
 * Sends heartbeats, detects failed instances and extends the time until which
 * this instance may admit flows. It must be called at least every 100 ms; a gap
 * above CM_PAUSE_MS counts as a pause of the process.
 */
void cm_membership_tick(struct cm_membership *membership, uint64_t now_ms,
			struct cm_outbox *outbox);

/**
 * cm_membership_leave() - begin a graceful shutdown
 * @membership: the membership
 *
 * The heartbeats of the next ticks report the new state to the other instances.
 */
void cm_membership_leave(struct cm_membership *membership);

/**
 * cm_membership_stop() - announce that this instance is dead from now on
 * @membership: the membership
 * @now_ms: current time, ms
 * @outbox: messages to send are appended here
 *
 * Sends a heartbeat to the observers of this instance and to the instances that
 * it observes.
 */
void cm_membership_stop(struct cm_membership *membership, uint64_t now_ms,
			struct cm_outbox *outbox);

/**
 * cm_membership_admit_until_ms() - time until which flows may be admitted
 * @membership: the membership
 *
 * Return: the time, by the same clock as @now_ms of the other functions, ms; 0
 * or a time in the past if this instance may not admit flows.
 */
uint64_t cm_membership_admit_until_ms(const struct cm_membership *membership);

/**
 * cm_membership_handle_until_ms() - time until which packets may be handled
 * @membership: the membership
 *
 * Return: CM_PAUSE_MS after the last tick, by the same clock as @now_ms of the
 * other functions, ms; 0 while this instance catches up after a pause.
 */
uint64_t cm_membership_handle_until_ms(const struct cm_membership *membership);

/**
 * cm_membership_take_members() - get the members if they changed since the last
 * call
 * @membership: the membership
 * @members: set to a new array, to be freed with free()
 * @count: set to the number of @members
 *
 * Return: 1 if the members changed, 0 if not (then nothing is set), or
 * CM_E_MEMORY.
 */
int cm_membership_take_members(struct cm_membership *membership,
			       struct cm_member **members, uint32_t *count);

/**
 * cm_membership_list() - get all confirmed members for a status message
 * @membership: the membership
 * @members: an empty array; on success set to the members, to be freed by
 *           cm_message_finish()
 *
 * Members known only from the platform's list are left out.
 *
 * Return: 0, CM_E_MEMORY or CM_E_TOO_LARGE.
 */
int cm_membership_list(const struct cm_membership *membership,
		       struct cm_message_members *members);

/**
 * cm_membership_set_sender() - set the sender fields of a message
 * @membership: the membership
 * @message: the message
 */
void cm_membership_set_sender(const struct cm_membership *membership,
			      struct cm_message *message);

/**
 * cm_member_state_name() - stable name of a member state
 * @state: the state
 *
 * Return: a static string.
 */
const char *cm_member_state_name(enum cm_member_state state);

#endif
