#include "membership_internal.h"

#include <string.h>

#include "chervilmast/error.h"

static void fill_heartbeat(struct cm_membership *membership,
			   struct cm_message *message, struct cm_record *to)
{
	struct cm_message_heartbeat *body = &message->heartbeat;

	cm_membership_set_sender(membership, message);
	body->state = membership->records[CM_SELF].member.state;
	body->version = membership->version;
	memcpy(body->publication_id, membership->publication_id,
	       sizeof(body->publication_id));
	body->digest = cm_membership_digest(membership);
	cm_membership_collect_events(membership, to, &body->events);
}

void cm_membership_send_heartbeat(struct cm_membership *membership,
				  uint64_t now_ms, struct cm_record *to,
				  struct cm_outbox *outbox)
{
	struct cm_message *message = cm_outbox_add(
		outbox, &to->member.control_address, CM_MESSAGE_HEARTBEAT);

	if (!message)
		return;
	fill_heartbeat(membership, message, to);
	message->heartbeat.sent_ms = now_ms;
	to->heartbeat_sent_ms = now_ms;
	cm_counters_add(membership->counters, CM_C_HEARTBEATS_SENT);
}

static void update_newest_note(struct cm_membership *membership,
			       const struct cm_message *message)
{
	const struct cm_message_heartbeat *body = &message->heartbeat;
	struct cm_reported_note *newest = &membership->newest_note;

	if (body->version <= newest->version)
		return;
	newest->version = body->version;
	newest->control = message->sender_control_address;
	memcpy(newest->publication_id, body->publication_id,
	       sizeof(newest->publication_id));
}

/*
 * Merges the states of the sender and of other instances that a heartbeat or
 * acknowledgement reports. Returns the record of the sender, or NULL if there
 * is none or if the message is to be ignored.
 */
static struct cm_record *merge_heartbeat(struct cm_membership *membership,
					 uint64_t now_ms,
					 const struct cm_message *message)
{
	const struct cm_message_heartbeat *body = &message->heartbeat;
	struct cm_member sender = {
		.data_address = message->sender_data_address,
		.control_address = message->sender_control_address,
		.incarnation = message->sender_incarnation,
		.state = body->state,
	};
	struct cm_record *record;

	memcpy(sender.domain, message->sender_domain, sizeof(sender.domain));
	if (body->state == CM_MEMBER_UNREACHABLE)
		return NULL;
	cm_membership_merge(membership, now_ms, &sender,
			    &message->sender_data_address);
	for (uint32_t i = 0; i < body->events.count; i++)
		cm_membership_merge(membership, now_ms, &body->events.items[i],
				    &message->sender_data_address);
	update_newest_note(membership, message);
	record = cm_membership_find(membership, &message->sender_data_address);
	if (!record || record == &membership->records[CM_SELF])
		return NULL;
	record->has_old_incarnation =
		message->sender_incarnation < record->member.incarnation;
	if (cm_record_is_live(record) &&
	    message->sender_incarnation == record->member.incarnation) {
		record->last_received_ms = now_ms;
		record->voted_by_self = false;
	}
	if (body->digest == cm_membership_digest(membership))
		record->digest_differs_since_ms = 0;
	else if (!record->digest_differs_since_ms)
		record->digest_differs_since_ms = now_ms;
	return record;
}

/*
 * An observer that voted an instance dead grants it no lease until the vote has
 * expired at all receivers; otherwise the instance could admit flows while a
 * quorum declares it dead.
 */
static bool may_grant_lease(const struct cm_membership *membership,
			    uint64_t now_ms, const struct cm_record *record,
			    const struct cm_message *message)
{
	return cm_record_is_in_own_domain(membership, record) &&
	       cm_record_is_live(record) && !record->voted_by_self &&
	       message->sender_incarnation == record->member.incarnation &&
	       (!record->vote_sent_ms ||
		now_ms - record->vote_sent_ms >= CM_VOTE_GUARD_MS);
}

static bool receive_heartbeat(struct cm_membership *membership, uint64_t now_ms,
			      const struct cm_message *message,
			      struct cm_message *answer)
{
	struct cm_record *record = merge_heartbeat(membership, now_ms, message);

	if (!record)
		return false;
	cm_message_init(answer, CM_MESSAGE_HEARTBEAT_ACK);
	fill_heartbeat(membership, answer, record);
	answer->heartbeat.sent_ms = message->heartbeat.sent_ms;
	answer->heartbeat.grants_lease =
		may_grant_lease(membership, now_ms, record, message);
	return true;
}

static void receive_ack(struct cm_membership *membership, uint64_t now_ms,
			const struct cm_message *message)
{
	struct cm_record *record = merge_heartbeat(membership, now_ms, message);
	uint64_t sent_ms = message->heartbeat.sent_ms;

	if (!record || sent_ms > now_ms)
		return;
	if (sent_ms >= membership->resumed_ms)
		membership->has_ack_since_resume = true;
	if (message->heartbeat.grants_lease &&
	    sent_ms > record->lease_heartbeat_sent_ms)
		record->lease_heartbeat_sent_ms = sent_ms;
}

static void receive_status(struct cm_membership *membership, uint64_t now_ms,
			   const struct cm_message *message)
{
	const struct cm_message_members *members = &message->status.members;

	for (uint32_t i = 0; i < members->count; i++)
		cm_membership_merge(membership, now_ms, &members->items[i],
				    &message->sender_data_address);
	membership->has_member_list = true;
}

bool cm_membership_receive(struct cm_membership *membership, uint64_t now_ms,
			   const struct cm_message *message,
			   struct cm_message *answer)
{
	cm_membership_check_pause(membership, now_ms);
	if (message->kind == CM_MESSAGE_HEARTBEAT)
		return receive_heartbeat(membership, now_ms, message, answer);
	if (message->kind == CM_MESSAGE_HEARTBEAT_ACK)
		receive_ack(membership, now_ms, message);
	else if (message->kind == CM_MESSAGE_STATUS)
		receive_status(membership, now_ms, message);
	return false;
}
