#include "membership_internal.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

#define INITIAL_CAPACITY 16

static const char *const state_names[] = {
	[CM_MEMBER_ALIVE] = "alive",
	[CM_MEMBER_LEAVING] = "leaving",
	[CM_MEMBER_UNREACHABLE] = "unreachable",
	[CM_MEMBER_DEAD] = "dead",
	[CM_MEMBER_SUSPECT] = "suspect",
};

const char *cm_member_state_name(enum cm_member_state state)
{
	return state_names[state];
}

bool cm_record_is_live(const struct cm_record *record)
{
	return record->member.state <= CM_MEMBER_LEAVING;
}

bool cm_record_is_in_own_domain(const struct cm_membership *membership,
				const struct cm_record *record)
{
	return cm_name_equal(record->member.domain,
			     membership->records[CM_SELF].member.domain);
}

struct cm_record *cm_membership_find(struct cm_membership *membership,
				     const struct cm_endpoint *data_address)
{
	for (uint32_t i = 0; i < membership->count; i++)
		if (cm_endpoint_equal(
			    &membership->records[i].member.data_address,
			    data_address))
			return &membership->records[i];
	return NULL;
}

static int reserve(struct cm_membership *membership)
{
	uint32_t capacity = membership->capacity ? membership->capacity * 2 :
						   INITIAL_CAPACITY;
	struct cm_record *records;

	if (membership->count < membership->capacity)
		return CM_OK;
	records = realloc(membership->records, capacity * sizeof(*records));
	if (!records)
		return CM_E_MEMORY;
	membership->records = records;
	membership->capacity = capacity;
	return CM_OK;
}

struct cm_record *cm_membership_add(struct cm_membership *membership,
				    uint64_t now_ms,
				    const struct cm_member *member)
{
	struct cm_record *record;

	if (membership->count == CM_MESSAGE_ARRAY_MAX || reserve(membership)) {
		cm_counters_add(membership->counters, CM_C_DROP_MEMBER);
		return NULL;
	}
	record = &membership->records[membership->count++];
	memset(record, 0, sizeof(*record));
	record->member = *member;
	record->hash = cm_endpoint_hash(&member->data_address);
	record->changed_ms = now_ms;
	record->last_received_ms = now_ms;
	record->sent_sequence = membership->sequence;
	return record;
}

void cm_membership_mark_changed(struct cm_membership *membership,
				struct cm_record *record, uint64_t now_ms)
{
	record->change_sequence = ++membership->sequence;
	membership->is_digest_stale = true;
	record->changed_ms = now_ms;
	record->voted_by_self = false;
	memset(record->votes, 0, sizeof(record->votes));
	membership->observers_outdated = true;
	membership->members_changed = true;
}

int cm_membership_init(struct cm_membership *membership,
		       const struct cm_member *self,
		       struct cm_counters *counters, uint64_t now_ms)
{
	struct cm_record *record;

	memset(membership, 0, sizeof(*membership));
	membership->counters = counters;
	membership->start_ms = now_ms;
	membership->admit_not_before_ms = now_ms + CM_JOIN_MS;
	membership->event_tokens = CM_EVENTS_BURST * CM_TOKENS_PER_EVENT;
	record = cm_membership_add(membership, now_ms, self);
	if (!record)
		return CM_E_MEMORY;
	record->is_confirmed = true;
	record->member.state = CM_MEMBER_ALIVE;
	cm_membership_mark_changed(membership, record, now_ms);
	return CM_OK;
}

void cm_membership_finish(struct cm_membership *membership)
{
	free(membership->records);
	memset(membership, 0, sizeof(*membership));
}

int cm_membership_add_seed(struct cm_membership *membership,
			   const struct cm_endpoint *control)
{
	if (membership->seed_count == CM_SEEDS_MAX)
		return CM_E_TOO_LARGE;
	membership->seeds[membership->seed_count++] = *control;
	return CM_OK;
}

/*
 * Adds a listed instance that has no record yet. Until CM_DEAD_MS after the
 * start of this instance it is added as alive, since its heartbeats may not
 * have arrived yet; later as dead, until a message from it or about it reports
 * it live.
 */
static void add_listed(struct cm_membership *membership, uint64_t now_ms,
		       const struct cm_member *member)
{
	struct cm_record *record =
		cm_membership_add(membership, now_ms, member);

	if (!record)
		return;
	record->is_listed = true;
	if (now_ms - membership->start_ms >= CM_DEAD_MS)
		record->member.state = CM_MEMBER_DEAD;
	membership->observers_outdated = true;
	membership->members_changed = true;
}

void cm_membership_add_listed(struct cm_membership *membership, uint64_t now_ms,
			      const struct cm_member *members, uint32_t count)
{
	struct cm_record *record;

	for (uint32_t i = 0; i < membership->count; i++)
		membership->records[i].is_listed = false;
	for (uint32_t i = 0; i < count; i++) {
		record = cm_membership_find(membership,
					    &members[i].data_address);
		if (record)
			record->is_listed = true;
		else
			add_listed(membership, now_ms, &members[i]);
	}
}

void cm_membership_set_note(struct cm_membership *membership, uint64_t version,
			    const uint8_t *publication_id)
{
	membership->version = version;
	memcpy(membership->publication_id, publication_id,
	       CM_PUBLICATION_ID_SIZE);
}

void cm_membership_leave(struct cm_membership *membership)
{
	struct cm_record *self = &membership->records[CM_SELF];

	self->member.state = CM_MEMBER_LEAVING;
	cm_membership_mark_changed(membership, self, self->changed_ms);
}

void cm_membership_stop(struct cm_membership *membership, uint64_t now_ms,
			struct cm_outbox *outbox)
{
	struct cm_record *self = &membership->records[CM_SELF];

	self->member.state = CM_MEMBER_DEAD;
	cm_membership_mark_changed(membership, self, now_ms);
	for (uint32_t i = CM_SELF + 1; i < membership->count; i++) {
		struct cm_record *record = &membership->records[i];

		if (record->observes_self || record->observed_by_self)
			cm_membership_send_heartbeat(membership, now_ms, record,
						     outbox);
	}
}

uint64_t cm_membership_admit_until_ms(const struct cm_membership *membership)
{
	return membership->admit_until_ms;
}

uint64_t cm_membership_handle_until_ms(const struct cm_membership *membership)
{
	return membership->is_catching_up ?
		       0 :
		       membership->last_tick_ms + CM_PAUSE_MS;
}

int cm_membership_take_members(struct cm_membership *membership,
			       struct cm_member **members, uint32_t *count)
{
	if (!membership->members_changed)
		return 0;
	*members = calloc(membership->count, sizeof(**members));
	if (!*members)
		return CM_E_MEMORY;
	for (uint32_t i = 0; i < membership->count; i++)
		(*members)[i] = membership->records[i].member;
	*count = membership->count;
	membership->members_changed = false;
	return 1;
}

int cm_membership_list(const struct cm_membership *membership,
		       struct cm_message_members *members)
{
	uint32_t count = 0;
	int error = cm_message_members_reserve(members, membership->count);

	if (error)
		return error;
	for (uint32_t i = 0; i < membership->count; i++)
		if (membership->records[i].is_confirmed)
			members->items[count++] = membership->records[i].member;
	members->count = count;
	return CM_OK;
}

void cm_membership_set_sender(const struct cm_membership *membership,
			      struct cm_message *message)
{
	const struct cm_member *self = &membership->records[CM_SELF].member;

	message->sender_data_address = self->data_address;
	message->sender_control_address = self->control_address;
	message->sender_incarnation = self->incarnation;
	memcpy(message->sender_domain, self->domain,
	       sizeof(message->sender_domain));
}
