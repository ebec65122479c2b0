/**
 * DOC: Internal interface of the membership
 *
 * Shared by the membership_*.c files.
 */
#ifndef CORE_MEMBERSHIP_INTERNAL_H
#define CORE_MEMBERSHIP_INTERNAL_H

#include "chervilmast/membership.h"

/** Index of the record of this instance. */
#define CM_SELF 0
/** Time for which a vote is valid after it was received, ms. */
#define CM_VOTE_VALID_MS 1000
/**
 * Time for which an observer grants no lease after it sent a vote, ms: the
 * validity of the vote, which its receivers count from its arrival, and 500 ms
 * for its delivery.
 */
#define CM_VOTE_GUARD_MS 1500
/** Tokens that one membership event takes from the rate limit. */
#define CM_TOKENS_PER_EVENT 1000
/** Burst size of the rate limit, membership events. */
#define CM_EVENTS_BURST 1024
/** Maximum number of membership events in one heartbeat. */
#define CM_HEARTBEAT_EVENTS_MAX 6

/**
 * cm_record_is_live() - whether an instance is live
 * @record: its record
 *
 * Return: true if its last known state is alive or leaving.
 */
bool cm_record_is_live(const struct cm_record *record);

/**
 * cm_record_is_in_own_domain() - whether an instance is in our own failure
 * domain
 * @membership: the membership
 * @record: its record
 *
 * Return: true if its failure domain is that of this instance.
 */
bool cm_record_is_in_own_domain(const struct cm_membership *membership,
				const struct cm_record *record);

/**
 * cm_membership_find() - look up the record of an instance
 * @membership: the membership
 * @data_address: its data address
 *
 * Return: its record, valid until a record is added or removed, or NULL.
 */
struct cm_record *cm_membership_find(struct cm_membership *membership,
				     const struct cm_endpoint *data_address);

/**
 * cm_membership_add() - add a record for an unknown instance
 * @membership: the membership
 * @now_ms: current time
 * @member: the instance
 *
 * Return: the record, or NULL if out of memory or if there are already
 * CM_MESSAGE_ARRAY_MAX records.
 */
struct cm_record *cm_membership_add(struct cm_membership *membership,
				    uint64_t now_ms,
				    const struct cm_member *member);

/**
 * cm_membership_mark_changed() - mark a record as changed
 * @membership: the membership
 * @record: the record
 * @now_ms: current time
 *
 * The change is sent with the next heartbeats to the other instances. All votes
 * against the instance are cleared, as they refer to its earlier state.
 */
void cm_membership_mark_changed(struct cm_membership *membership,
				struct cm_record *record, uint64_t now_ms);

/**
 * cm_membership_merge() - merge a received membership event
 * @membership: the membership
 * @now_ms: current time
 * @event: the reported state of an instance
 * @from: data address of the instance that reports it
 */
void cm_membership_merge(struct cm_membership *membership, uint64_t now_ms,
			 const struct cm_member *event,
			 const struct cm_endpoint *from);

/**
 * cm_membership_collect_events() - select the events for one heartbeat
 * @membership: the membership
 * @to: receiver of the heartbeat
 * @events: an empty array; left empty if out of memory, otherwise to be freed
 *          by cm_message_finish()
 */
void cm_membership_collect_events(struct cm_membership *membership,
				  struct cm_record *to,
				  struct cm_message_members *events);

/**
 * cm_membership_digest() - hash of the view of the members
 * @membership: the membership
 *
 * Return: a hash of the data address and incarnation of each confirmed instance
 * that is not dead.
 */
uint32_t cm_membership_digest(struct cm_membership *membership);

/**
 * cm_membership_compute_observers() - recompute the observers of the instances
 * @membership: the membership
 * @now_ms: current time
 */
void cm_membership_compute_observers(struct cm_membership *membership,
				     uint64_t now_ms);

/**
 * cm_membership_send_heartbeat() - append a heartbeat
 * @membership: the membership
 * @now_ms: current time
 * @to: its receiver
 * @outbox: the heartbeat is appended here
 */
void cm_membership_send_heartbeat(struct cm_membership *membership,
				  uint64_t now_ms, struct cm_record *to,
				  struct cm_outbox *outbox);

/**
 * cm_membership_check_pause() - detect a pause of this process
 * @membership: the membership
 * @now_ms: current time
 *
 * After a pause, restarts the timeouts and begins to catch up. It must be
 * called before a message is handled or a timeout is evaluated: a message may
 * have been queued since before the pause, and no heartbeats were received
 * during it.
 */
void cm_membership_check_pause(struct cm_membership *membership,
			       uint64_t now_ms);

/**
 * cm_membership_observe() - detect failures of the observed instances
 * @membership: the membership
 * @now_ms: current time
 * @outbox: messages to send are appended here
 *
 * If no heartbeat arrives from an instance, first sends heartbeats to it, to
 * solicit an acknowledgement; later votes it dead or unreachable; and declares
 * it dead or unreachable once there are enough votes.
 */
void cm_membership_observe(struct cm_membership *membership, uint64_t now_ms,
			   struct cm_outbox *outbox);

#endif
