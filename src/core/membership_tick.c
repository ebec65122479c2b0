#include "membership_internal.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

/**
 * Minimum interval between two heartbeats to an instance when the second one is
 * sent early, to report a change, ms.
 */
#define EARLY_HEARTBEAT_INTERVAL_MS 50
/**
 * Interval at which a heartbeat is sent to one of the instances that are not
 * live or not confirmed, ms.
 */
#define RETRY_MS 1000
/** Used instead of RETRY_MS while no other confirmed instance is live, ms. */
#define RETRY_ALONE_MS 100
/**
 * Time for which digests may differ before the member list is requested; also
 * the first backoff between such requests, ms.
 */
#define SYNC_DELAY_MS 1000
/** Maximum backoff between requests for the member list, ms. */
#define SYNC_BACKOFF_MAX_MS 64000
/** Rate limit of the membership events that this instance sends, per second. */
#define EVENTS_PER_S 12
#define MS_PER_S 1000

/*
 * This process was paused and handled no messages, so a missing message does
 * not show that an instance failed. Therefore all timeouts restart now and all
 * votes are dropped. This instance handles no packets until
 * end_catch_up_if_done() ends the catch-up.
 */
static void resume_after_pause(struct cm_membership *membership,
			       uint64_t now_ms)
{
	for (uint32_t i = CM_SELF + 1; i < membership->count; i++) {
		struct cm_record *record = &membership->records[i];

		record->last_received_ms = now_ms;
		record->voted_by_self = false;
		record->heartbeat_sent_ms = 0;
		memset(record->votes, 0, sizeof(record->votes));
	}
	membership->is_catching_up = true;
	membership->resumed_ms = now_ms;
	membership->has_ack_since_resume = false;
	cm_counters_add(membership->counters, CM_C_PAUSES);
}

void cm_membership_check_pause(struct cm_membership *membership,
			       uint64_t now_ms)
{
	if (!membership->last_tick_ms ||
	    now_ms - membership->last_tick_ms <= CM_PAUSE_MS)
		return;
	resume_after_pause(membership, now_ms);
	membership->last_tick_ms = now_ms;
}

static bool has_observers(const struct cm_membership *membership)
{
	return membership->records[CM_SELF].observers.count ||
	       membership->cross_domain_observers.count;
}

/*
 * Ends the catch-up once a heartbeat sent after the pause was acknowledged and
 * the newest release note is in force here, or after CM_CATCH_UP_MS. Without
 * observers it ends at once, as there is no instance to catch up with.
 */
static void end_catch_up_if_done(struct cm_membership *membership,
				 uint64_t now_ms)
{
	bool is_current =
		membership->has_ack_since_resume &&
		membership->version >= membership->newest_note.version;

	if (!has_observers(membership) || is_current ||
	    now_ms - membership->resumed_ms >= CM_CATCH_UP_MS)
		membership->is_catching_up = false;
}

static void refill_tokens(struct cm_membership *membership, uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - membership->last_tick_ms;
	uint64_t tokens =
		membership->event_tokens +
		passed_ms * EVENTS_PER_S * CM_TOKENS_PER_EVENT / MS_PER_S;
	uint64_t burst = CM_EVENTS_BURST * CM_TOKENS_PER_EVENT;

	membership->event_tokens = (uint32_t)(tokens < burst ? tokens : burst);
}

/*
 * Declares each instance dead that is known only from the platform's list if no
 * message from it or about it was received within CM_DEAD_MS after its record
 * was added.
 */
static void declare_unconfirmed_dead(struct cm_membership *membership,
				     uint64_t now_ms)
{
	for (uint32_t i = CM_SELF + 1; i < membership->count; i++) {
		struct cm_record *record = &membership->records[i];

		if (record->is_confirmed || !cm_record_is_live(record) ||
		    now_ms - record->changed_ms < CM_DEAD_MS)
			continue;
		record->member.state = CM_MEMBER_DEAD;
		membership->observers_outdated = true;
		membership->members_changed = true;
	}
}

/*
 * Removes the records of instances that have been dead or unreachable for
 * CM_DEAD_RETENTION_MS and are not in the platform's list.
 */
static void remove_expired_records(struct cm_membership *membership,
				   uint64_t now_ms)
{
	for (uint32_t i = CM_SELF + 1; i < membership->count; i++) {
		struct cm_record *record = &membership->records[i];

		if (cm_record_is_live(record) || record->is_listed ||
		    now_ms - record->changed_ms < CM_DEAD_RETENTION_MS)
			continue;
		*record = membership->records[--membership->count];
		membership->is_digest_stale = true;
		membership->observers_outdated = true;
		membership->members_changed = true;
		i--;
	}
}

/*
 * Heartbeats are sent at an interval to the observers of this instance and, for
 * a transition period, to its former observers. Unsent events are sent earlier,
 * also to the instances that this instance observes.
 */
static bool heartbeat_is_due(const struct cm_membership *membership,
			     const struct cm_record *record, uint64_t now_ms)
{
	uint64_t interval_ms = cm_record_is_in_own_domain(membership, record) ?
				       CM_HEARTBEAT_MS :
				       CM_CROSS_DOMAIN_HEARTBEAT_MS;
	uint64_t passed_ms = now_ms - record->heartbeat_sent_ms;
	bool can_send_events = record->sent_sequence < membership->sequence &&
			       membership->event_tokens >= CM_TOKENS_PER_EVENT;

	if (!cm_record_is_live(record))
		return false;
	if (can_send_events &&
	    (record->observes_self || record->observed_by_self) &&
	    passed_ms >= EARLY_HEARTBEAT_INTERVAL_MS)
		return true;
	return (record->observes_self || record->heartbeat_until_ms > now_ms) &&
	       passed_ms >= interval_ms;
}

static void send_heartbeats(struct cm_membership *membership, uint64_t now_ms,
			    struct cm_outbox *outbox)
{
	for (uint32_t i = CM_SELF + 1; i < membership->count; i++) {
		struct cm_record *record = &membership->records[i];

		if (heartbeat_is_due(membership, record, now_ms))
			cm_membership_send_heartbeat(membership, now_ms, record,
						     outbox);
	}
}

static bool has_live_peer(const struct cm_membership *membership)
{
	for (uint32_t i = CM_SELF + 1; i < membership->count; i++)
		if (membership->records[i].is_confirmed &&
		    cm_record_is_live(&membership->records[i]))
			return true;
	return false;
}

static void send_to_seeds(struct cm_membership *membership, uint64_t now_ms,
			  struct cm_outbox *outbox)
{
	for (uint32_t i = 0; i < membership->seed_count; i++) {
		struct cm_message *message = cm_outbox_add(
			outbox, &membership->seeds[i], CM_MESSAGE_HEARTBEAT);

		if (!message)
			return;
		cm_membership_set_sender(membership, message);
		message->heartbeat.sent_ms = now_ms;
		message->heartbeat.state =
			membership->records[CM_SELF].member.state;
	}
}

/*
 * At each retry interval, sends a heartbeat to one instance that is not live or
 * not confirmed, in turn, as it may be running. While no other confirmed
 * instance is live, also sends one to each seed.
 */
static void retry_next(struct cm_membership *membership, uint64_t now_ms,
		       struct cm_outbox *outbox)
{
	bool has_peer = has_live_peer(membership);

	if (now_ms - membership->retry_sent_ms <
	    (has_peer ? RETRY_MS : RETRY_ALONE_MS))
		return;
	membership->retry_sent_ms = now_ms;
	if (!has_peer)
		send_to_seeds(membership, now_ms, outbox);
	for (uint32_t i = 1; i < membership->count; i++) {
		struct cm_record *record;

		membership->retry_index =
			(membership->retry_index + 1) % membership->count;
		record = &membership->records[membership->retry_index];
		if (membership->retry_index == CM_SELF ||
		    (cm_record_is_live(record) && record->is_confirmed))
			continue;
		cm_membership_send_heartbeat(membership, now_ms, record,
					     outbox);
		return;
	}
}

/*
 * Selects a confirmed live instance to request the member list from. Before the
 * first list is received, any such instance is selected; later, only one that
 * is an observer of this instance or observed by it, and whose digest has
 * differed from ours for SYNC_DELAY_MS. Returns NULL if no request is needed.
 */
static const struct cm_record *
choose_sync_source(const struct cm_membership *membership, uint64_t now_ms)
{
	for (uint32_t i = CM_SELF + 1; i < membership->count; i++) {
		const struct cm_record *record = &membership->records[i];

		if (!record->is_confirmed || !cm_record_is_live(record))
			continue;
		if (!membership->has_member_list)
			return record;
		if (record->digest_differs_since_ms &&
		    now_ms - record->digest_differs_since_ms >= SYNC_DELAY_MS &&
		    (record->observes_self || record->observed_by_self))
			return record;
	}
	return NULL;
}

static void request_members(struct cm_membership *membership, uint64_t now_ms,
			    struct cm_outbox *outbox)
{
	const struct cm_record *source = choose_sync_source(membership, now_ms);
	struct cm_message *message;

	if (!source) {
		membership->sync_backoff_ms = SYNC_DELAY_MS;
		return;
	}
	if (now_ms - membership->sync_sent_ms < membership->sync_backoff_ms)
		return;
	/* The status message sent as an answer contains the member list. */
	message = cm_outbox_add(outbox, &source->member.control_address,
				CM_MESSAGE_STATUS_REQUEST);
	if (message)
		cm_membership_set_sender(membership, message);
	membership->sync_sent_ms = now_ms;
	membership->sync_backoff_ms *= 2;
	if (membership->sync_backoff_ms > SYNC_BACKOFF_MAX_MS)
		membership->sync_backoff_ms = SYNC_BACKOFF_MAX_MS;
}

static int compare_descending(const void *a, const void *b)
{
	const uint64_t *first = a, *second = b;

	if (*first == *second)
		return 0;
	return *first > *second ? -1 : 1;
}

/*
 * Returns the start of the newest lease that a quorum of ceil(n / 2) of the n
 * observers has granted, or 0 if too few observers granted one. The lease of
 * one observer starts at the send time of our newest heartbeat for which it
 * granted a lease. The lease of a quorum starts at the earliest start of the
 * leases of its observers.
 */
static uint64_t lease_start_ms(const struct cm_membership *membership)
{
	const struct cm_observers *observers =
		&membership->records[CM_SELF].observers;
	uint64_t sent_ms[CM_OBSERVERS];

	for (uint32_t i = 0; i < observers->count; i++)
		sent_ms[i] = membership->records[observers->indices[i]]
				     .lease_heartbeat_sent_ms;
	qsort(sent_ms, observers->count, sizeof(*sent_ms), compare_descending);
	return sent_ms[(observers->count + 1) / 2 - 1];
}

/*
 * An instance without observers in its failure domain needs no lease. It may
 * admit flows no earlier than CM_PARTIAL_QUORUM_MS after its start, as there
 * may be other instances in its domain from which it has received no message
 * yet.
 */
static void extend_admission(struct cm_membership *membership, uint64_t now_ms)
{
	uint64_t valid_from_ms = now_ms;
	uint64_t not_before_ms = membership->admit_not_before_ms;

	if (membership->records[CM_SELF].observers.count)
		valid_from_ms = lease_start_ms(membership);
	else if (not_before_ms < membership->start_ms + CM_PARTIAL_QUORUM_MS)
		not_before_ms = membership->start_ms + CM_PARTIAL_QUORUM_MS;
	/* Leases for heartbeats sent before lease_min_sent_ms do not count. */
	if (now_ms < not_before_ms ||
	    valid_from_ms < membership->lease_min_sent_ms || !valid_from_ms)
		return;
	if (valid_from_ms + CM_LEASE_MS > membership->admit_until_ms)
		membership->admit_until_ms = valid_from_ms + CM_LEASE_MS;
}

void cm_membership_tick(struct cm_membership *membership, uint64_t now_ms,
			struct cm_outbox *outbox)
{
	cm_membership_check_pause(membership, now_ms);
	if (membership->is_catching_up)
		end_catch_up_if_done(membership, now_ms);
	refill_tokens(membership, now_ms);
	membership->last_tick_ms = now_ms;
	declare_unconfirmed_dead(membership, now_ms);
	remove_expired_records(membership, now_ms);
	if (membership->observers_outdated)
		cm_membership_compute_observers(membership, now_ms);
	cm_membership_observe(membership, now_ms, outbox);
	/* cm_membership_observe() may have declared instances dead. */
	if (membership->observers_outdated)
		cm_membership_compute_observers(membership, now_ms);
	send_heartbeats(membership, now_ms, outbox);
	retry_next(membership, now_ms, outbox);
	request_members(membership, now_ms, outbox);
	extend_admission(membership, now_ms);
}
