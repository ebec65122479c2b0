#include "membership_internal.h"

#include <string.h>

#include "test_switch.h"

/** Records sent with each heartbeat to an instance whose digest differs. */
#define SYNC_EVENTS 2

/*
 * Handles an event about this instance. An event is refuted if it reports this
 * incarnation as dead or unreachable, or if it has a higher incarnation (from
 * an earlier process whose clock was ahead). To refute it, this instance takes
 * an incarnation above that of the event, so that its own state supersedes the
 * event at all instances. Other instances may have taken over its backend
 * servers in the meantime, unless it was only unreachable from other failure
 * domains. Therefore it stops admitting flows for CM_JOIN_MS and then needs new
 * leases.
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
	membership->admit_not_before_ms = now_ms + CM_JOIN_MS;
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
 * Whether this instance, as an observer, ignores a report that an instance is
 * dead or unreachable because it received a message from it in the last
 * CM_HEARTBEAT_OVERDUE_MS. A report of an instance about itself is not ignored.
 */
static bool is_contradicted(const struct cm_record *record, uint64_t now_ms,
			    const struct cm_member *event,
			    const struct cm_endpoint *from)
{
	return event->state >= CM_MEMBER_UNREACHABLE &&
	       record->observed_by_self &&
	       event->incarnation == record->member.incarnation &&
	       now_ms - record->last_received_ms < CM_HEARTBEAT_OVERDUE_MS &&
	       !cm_endpoint_equal(&event->data_address, from);
}

/* Whether @event supersedes the state in @record. */
static bool supersedes(const struct cm_record *record,
		       const struct cm_member *event)
{
	if (event->incarnation != record->member.incarnation)
		return event->incarnation > record->member.incarnation;
	if (!record->is_confirmed)
		return true;
	return event->state > record->member.state;
}

/* Keeps the earlier name and domain if the event omits them. */
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
	record->is_confirmed = true;
	if (!was_live || event->state <= CM_MEMBER_LEAVING)
		record->last_received_ms = now_ms;
	cm_membership_mark_changed(membership, record, now_ms);
}

/*
 * CM_MEMBER_UNREACHABLE applies in other failure domains only. Within its own
 * domain, the observers there decide whether an instance is live.
 */
static bool is_unreachable_in_own_domain(const struct cm_membership *membership,
					 const struct cm_record *record,
					 const struct cm_member *event)
{
	return event->state == CM_MEMBER_UNREACHABLE &&
	       cm_record_is_in_own_domain(membership, record);
}

/* Heartbeats lack the sender's name, so it is taken from a later event. */
static void set_name_if_missing(struct cm_membership *membership,
				struct cm_record *record,
				const struct cm_member *event)
{
	if (*record->member.name || !*event->name)
		return;
	memcpy(record->member.name, event->name, sizeof(event->name));
	membership->members_changed = true;
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
	set_name_if_missing(membership, record, event);
	if (supersedes(record, event) &&
	    !is_contradicted(record, now_ms, event, from))
		apply_event(membership, record, now_ms, event);
}

static uint32_t compute_digest(const struct cm_membership *membership)
{
	uint32_t digest = 0;

	for (uint32_t i = 0; i < membership->count; i++) {
		const struct cm_record *record = &membership->records[i];

		if (record->is_confirmed &&
		    record->member.state != CM_MEMBER_DEAD)
			digest ^= (uint32_t)cm_hash_mix(
				record->hash, record->member.incarnation);
	}
	return digest;
}

uint32_t cm_membership_digest(struct cm_membership *membership)
{
	if (membership->is_digest_stale)
		membership->digest = compute_digest(membership);
	membership->is_digest_stale = false;
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
 * An event with a state that is not live omits the name and the domain, as
 * receivers ignore it unless they already have a record of the instance.
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

/* Returns the record with the lowest change_sequence above @after, or NULL. */
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
		if (record->is_confirmed)
			add_event(membership, collection, &record->member,
				  record->member.state);
	}
}

static void collect_votes(struct cm_membership *membership,
			  struct collection *collection)
{
	for (uint32_t i = CM_SELF + 1; i < membership->count; i++)
		if (membership->records[i].voted_by_self)
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
	/* Lets the receiver refute the state or incarnation in its record. */
	if (to->is_confirmed &&
	    (to->has_old_incarnation || !cm_record_is_live(to)))
		add_event(membership, &collection, &to->member,
			  to->member.state);
	collect_votes(membership, &collection);
	if (!to->own_record_sent)
		add_event(membership, &collection,
			  &membership->records[CM_SELF].member,
			  membership->records[CM_SELF].member.state);
	to->own_record_sent = true;
	collect_changes(membership, &collection, to);
	if (to->digest_differs_since_ms)
		collect_sync(membership, &collection);
}
