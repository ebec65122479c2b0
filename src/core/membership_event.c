#include "membership_internal.h"

#include <string.h>

#include "test_switch.h"

/** Records sent with each message to an instance whose digest differs. */
#define SYNC_EVENTS 2

/*
 * Handles an event about this instance. If it reports this incarnation as dead
 * or unreachable, or has a higher incarnation (from an earlier process with a
 * clock that was ahead), this instance takes an incarnation above that of the
 * event, so that its own state supersedes the event everywhere. Other instances
 * may have taken over its backend servers meanwhile, unless it was only
 * unreachable from other failure domains; so it stops admitting flows until
 * CM_JOIN_MS have passed, and then needs new leases.
 */
static void refute(struct cm_membership *membership, uint64_t now_ms,
		   const struct cm_member *event)
{
	struct cm_record *self = &membership->records[CM_SELF];
	uint64_t incarnation = self->member.incarnation;

	if (event->incarnation < incarnation ||
	    event->state == CM_MEMBER_SUSPECT ||
	    self->member.state == CM_MEMBER_DEAD)
		return;
	if (event->incarnation == incarnation &&
	    event->state <= CM_MEMBER_LEAVING)
		return;
	if (cm_switched_off(CM_SWITCH_REFUTATION))
		return;
	self->member.incarnation = event->incarnation + 1;
	cm_membership_mark_changed(membership, self, now_ms);
	cm_counters_add(membership->counters, CM_C_MEMBER_REFUTED);
	if (event->state == CM_MEMBER_UNREACHABLE)
		return;
	membership->hold_until_ms = now_ms + CM_JOIN_MS;
	membership->lease_min_sent_ms = now_ms;
	membership->admit_until_ms = 0;
}

/* Replaces the earlier vote of the same voter, else the oldest vote. */
static void add_vote(struct cm_record *record, uint64_t now_ms,
		     const struct cm_member *event,
		     const struct cm_endpoint *from)
{
	struct cm_vote *slot = &record->votes[0];

	if (event->incarnation != record->member.incarnation)
		return;
	for (uint32_t i = 0; i < CM_OBSERVERS; i++) {
		struct cm_vote *vote = &record->votes[i];

		if (cm_endpoint_equal(&vote->voter, from)) {
			slot = vote;
			break;
		}
		if (vote->received_ms < slot->received_ms)
			slot = vote;
	}
	slot->voter = *from;
	slot->incarnation = event->incarnation;
	slot->received_ms = now_ms;
}

/*
 * As an observer, this instance ignores reports by others that an instance is
 * dead or unreachable if it received a message from it within
 * CM_HEARTBEAT_OVERDUE_MS.
 */
static bool is_contradicted(const struct cm_record *record, uint64_t now_ms,
			    const struct cm_member *event,
			    const struct cm_endpoint *from)
{
	return event->state >= CM_MEMBER_UNREACHABLE &&
	       record->observed_by_us &&
	       event->incarnation == record->member.incarnation &&
	       now_ms - record->last_heard_ms < CM_HEARTBEAT_OVERDUE_MS &&
	       !cm_endpoint_equal(&event->data_address, from);
}

static bool supersedes(const struct cm_record *record,
		       const struct cm_member *event)
{
	if (event->incarnation != record->member.incarnation)
		return event->incarnation > record->member.incarnation;
	if (!record->confirmed)
		return true;
	return event->state > record->member.state;
}

/* Events with a state that is not live omit the name and the domain. */
static void keep_names(struct cm_member *member, const struct cm_member *before)
{
	if (!*member->name)
		memcpy(member->name, before->name, sizeof(member->name));
	if (!*member->domain)
		memcpy(member->domain, before->domain, sizeof(member->domain));
}

static void apply_event(struct cm_membership *membership,
			struct cm_record *record, uint64_t now_ms,
			const struct cm_member *event)
{
	struct cm_member before = record->member;
	bool was_live = cm_record_is_live(record);

	if (event->incarnation != record->member.incarnation)
		record->lease_heartbeat_sent_ms = 0;
	record->member = *event;
	keep_names(&record->member, &before);
	record->confirmed = true;
	if (!was_live || event->state <= CM_MEMBER_LEAVING)
		record->last_heard_ms = now_ms;
	cm_membership_mark_changed(membership, record, now_ms);
}

/*
 * An instance is unreachable only as seen from other failure domains. Within
 * its own domain, its observers there decide whether it is live.
 */
static bool is_unreachable_in_own_domain(const struct cm_membership *membership,
					 const struct cm_record *record,
					 const struct cm_member *event)
{
	return event->state == CM_MEMBER_UNREACHABLE &&
	       cm_record_in_own_domain(membership, record);
}

/* Heartbeats lack the sender's name; a later event supplies it. */
static void learn_name(struct cm_membership *membership,
		       struct cm_record *record, const struct cm_member *event)
{
	if (*record->member.name || !*event->name)
		return;
	memcpy(record->member.name, event->name, sizeof(event->name));
	membership->view_changed = true;
}

void cm_membership_merge(struct cm_membership *membership, uint64_t now_ms,
			 const struct cm_member *event,
			 const struct cm_endpoint *from)
{
	struct cm_record *record;

	if (cm_endpoint_equal(
		    &event->data_address,
		    &membership->records[CM_SELF].member.data_address)) {
		refute(membership, now_ms, event);
		return;
	}
	record = cm_membership_find(membership, &event->data_address);
	if (event->state == CM_MEMBER_SUSPECT) {
		if (record)
			add_vote(record, now_ms, event, from);
		return;
	}
	if (!record && event->state > CM_MEMBER_LEAVING)
		return;
	if (!record)
		record = cm_membership_add(membership, now_ms, event);
	if (!record || is_unreachable_in_own_domain(membership, record, event))
		return;
	learn_name(membership, record, event);
	if (supersedes(record, event) &&
	    !is_contradicted(record, now_ms, event, from))
		apply_event(membership, record, now_ms, event);
}

static uint32_t compute_digest(const struct cm_membership *membership)
{
	uint32_t digest = 0;

	for (uint32_t i = 0; i < membership->count; i++) {
		const struct cm_record *record = &membership->records[i];

		if (record->confirmed && record->member.state != CM_MEMBER_DEAD)
			digest ^= (uint32_t)cm_hash_mix(
				record->hash, record->member.incarnation);
	}
	return digest;
}

uint32_t cm_membership_digest(struct cm_membership *membership)
{
	if (membership->digest_stale)
		membership->digest = compute_digest(membership);
	membership->digest_stale = false;
	return membership->digest;
}

/**
 * struct collection - membership events selected for one heartbeat
 * @events: the events
 * @limit: maximum number of events
 */
struct collection {
	struct cm_message_members *events;
	uint32_t limit;
};

/*
 * Events with a state that is not live omit the name and the domain: receivers
 * ignore them unless they already have a record of the instance.
 */
static void add_event(struct cm_membership *membership,
		      struct collection *collection,
		      const struct cm_member *member,
		      enum cm_member_state state)
{
	struct cm_member *item;

	if (collection->events->count >= collection->limit ||
	    membership->event_tokens < CM_TOKENS_PER_EVENT)
		return;
	item = &collection->events->items[collection->events->count++];
	*item = *member;
	item->state = state;
	if (state > CM_MEMBER_LEAVING) {
		*item->name = '\0';
		*item->domain = '\0';
	}
	membership->event_tokens -= CM_TOKENS_PER_EVENT;
}

/* Returns the record with the lowest change number above @after, or NULL. */
static struct cm_record *next_change(struct cm_membership *membership,
				     uint64_t after)
{
	struct cm_record *found = NULL;

	for (uint32_t i = 0; i < membership->count; i++) {
		struct cm_record *record = &membership->records[i];

		if (record->change_sequence > after &&
		    (!found ||
		     record->change_sequence < found->change_sequence))
			found = record;
	}
	return found;
}

static void collect_changes(struct cm_membership *membership,
			    struct collection *collection, struct cm_record *to)
{
	while (to->sent_sequence < membership->sequence &&
	       collection->events->count < collection->limit &&
	       membership->event_tokens >= CM_TOKENS_PER_EVENT) {
		struct cm_record *record =
			next_change(membership, to->sent_sequence);

		if (!record) {
			to->sent_sequence = membership->sequence;
			return;
		}
		to->sent_sequence = record->change_sequence;
		if (record != to)
			add_event(membership, collection, &record->member,
				  record->member.state);
	}
}

static void collect_sync(struct cm_membership *membership,
			 struct collection *collection)
{
	for (uint32_t i = 0; i < SYNC_EVENTS; i++) {
		const struct cm_record *record;

		membership->sync_index =
			(membership->sync_index + 1) % membership->count;
		record = &membership->records[membership->sync_index];
		if (record->confirmed)
			add_event(membership, collection, &record->member,
				  record->member.state);
	}
}

static void collect_votes(struct cm_membership *membership,
			  struct collection *collection)
{
	for (uint32_t i = CM_SELF + 1; i < membership->count; i++)
		if (membership->records[i].voted)
			add_event(membership, collection,
				  &membership->records[i].member,
				  CM_MEMBER_SUSPECT);
}

void cm_membership_collect_events(struct cm_membership *membership,
				  struct cm_record *to,
				  struct cm_message_members *events)
{
	struct collection collection = {
		.events = events,
		.limit = CM_HEARTBEAT_EVENTS_MAX,
	};

	if (cm_message_members_reserve(events, CM_HEARTBEAT_EVENTS_MAX))
		return;
	events->count = 0;
	/* Lets the receiver refute the state or incarnation recorded here. */
	if (to->confirmed &&
	    (to->has_old_incarnation || !cm_record_is_live(to)))
		add_event(membership, &collection, &to->member,
			  to->member.state);
	collect_votes(membership, &collection);
	if (!to->self_sent)
		add_event(membership, &collection,
			  &membership->records[CM_SELF].member,
			  membership->records[CM_SELF].member.state);
	to->self_sent = true;
	collect_changes(membership, &collection, to);
	if (to->digest_differs_since_ms)
		collect_sync(membership, &collection);
}
