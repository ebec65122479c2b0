#include "membership_internal.h"

#include "test_switch.h"

/**
 * struct silence_rules - how an observer handles an instance from which no
 *                        messages arrive; times count from the last one
 * @solicit_ms: time after which the observer sends heartbeats to the instance,
 *              to solicit an acknowledgement
 * @vote_ms: time after which the observer votes the instance dead or
 *           unreachable
 * @partial_quorum_ms: time after which the votes of the reachable observers
 *                     suffice
 * @state: state that the instance gets if the votes suffice
 * @counter: counter of instances that got this state
 */
struct silence_rules {
	uint64_t solicit_ms;
	uint64_t vote_ms;
	uint64_t partial_quorum_ms;
	enum cm_member_state state;
	enum cm_counter counter;
};

static const struct silence_rules own_domain_rules = {
	.solicit_ms = CM_HEARTBEAT_OVERDUE_MS,
	.vote_ms = CM_DEAD_MS,
	.partial_quorum_ms = CM_PARTIAL_QUORUM_MS,
	.state = CM_MEMBER_DEAD,
	.counter = CM_C_MEMBER_DEAD,
};

static const struct silence_rules cross_domain_rules = {
	.solicit_ms = CM_CROSS_DOMAIN_UNREACHABLE_MS / 2,
	.vote_ms = CM_CROSS_DOMAIN_UNREACHABLE_MS,
	.partial_quorum_ms = CM_CROSS_DOMAIN_PARTIAL_QUORUM_MS,
	.state = CM_MEMBER_UNREACHABLE,
	.counter = CM_C_MEMBER_UNREACHABLE,
};

/*
 * Number of votes needed to declare an instance dead or unreachable. With n
 * observers, a lease quorum has ceil(n / 2) and a vote quorum
 * n - ceil(n / 2) + 1 of them. The sum is n + 1, so each lease quorum and each
 * vote quorum have an observer in common.
 */
static uint32_t votes_needed(uint32_t observers)
{
	if (cm_switched_off(CM_SWITCH_DEATH_VOTES))
		return 1;
	return observers - (observers + 1) / 2 + 1;
}

static uint32_t count_votes(const struct cm_membership *membership,
			    const struct cm_record *record, uint64_t now_ms)
{
	uint32_t votes = 0;

	for (uint32_t i = 0; i < record->observers.count; i++) {
		uint32_t index = record->observers.indices[i];
		const struct cm_member *observer =
			&membership->records[index].member;

		for (uint32_t v = 0; v < CM_OBSERVERS; v++) {
			const struct cm_vote *vote = &record->votes[v];

			if (vote->received_ms &&
			    now_ms - vote->received_ms <= CM_VOTE_VALID_MS &&
			    vote->incarnation == record->member.incarnation &&
			    cm_endpoint_equal(&vote->voter,
					      &observer->data_address))
				votes++;
		}
	}
	return votes;
}

/*
 * Counts the observers from which a message was received in the last
 * CM_DEAD_MS, and this instance if it is one.
 */
static uint32_t
count_reachable_observers(const struct cm_membership *membership,
			  const struct cm_record *record, uint64_t now_ms)
{
	uint32_t reachable = 0;

	for (uint32_t i = 0; i < record->observers.count; i++) {
		uint32_t index = record->observers.indices[i];

		if (index == CM_SELF ||
		    now_ms - membership->records[index].last_received_ms <=
			    CM_DEAD_MS)
			reachable++;
	}
	return reachable;
}

/*
 * Whether the votes, including that of this instance, are a quorum. After
 * partial_quorum_ms without a message, the votes of all reachable observers
 * suffice.
 */
static bool has_enough_votes(const struct cm_membership *membership,
			     const struct cm_record *record, uint64_t now_ms,
			     uint64_t silence_ms,
			     const struct silence_rules *rules)
{
	uint32_t votes = 1 + count_votes(membership, record, now_ms);
	uint32_t needed = votes_needed(record->observers.count);
	uint32_t reachable =
		count_reachable_observers(membership, record, now_ms);

	if (silence_ms >= rules->partial_quorum_ms && reachable < needed)
		needed = reachable;
	return votes >= needed;
}

/*
 * Sends a heartbeat to each other observer. It carries the vote, and its
 * acknowledgement shows that the observer is reachable.
 */
static void send_votes(struct cm_membership *membership, uint64_t now_ms,
		       struct cm_record *record, struct cm_outbox *outbox)
{
	for (uint32_t i = 0; i < record->observers.count; i++) {
		uint32_t index = record->observers.indices[i];

		if (index != CM_SELF)
			cm_membership_send_heartbeat(
				membership, now_ms, &membership->records[index],
				outbox);
	}
	record->vote_sent_ms = now_ms;
}

static void observe_one(struct cm_membership *membership, uint64_t now_ms,
			struct cm_record *record, struct cm_outbox *outbox)
{
	const struct silence_rules *rules =
		cm_record_is_in_own_domain(membership, record) ?
			&own_domain_rules :
			&cross_domain_rules;
	uint64_t silent_since_ms =
		record->last_received_ms > record->observed_since_ms ?
			record->last_received_ms :
			record->observed_since_ms;
	uint64_t silence_ms = now_ms - silent_since_ms;

	if (silence_ms < rules->solicit_ms)
		return;
	if (now_ms - record->heartbeat_sent_ms >= CM_HEARTBEAT_MS)
		cm_membership_send_heartbeat(membership, now_ms, record,
					     outbox);
	if (silence_ms < rules->vote_ms)
		return;
	record->voted_by_self = true;
	if (now_ms - record->vote_sent_ms >= CM_HEARTBEAT_MS)
		send_votes(membership, now_ms, record, outbox);
	if (!has_enough_votes(membership, record, now_ms, silence_ms, rules))
		return;
	record->member.state = rules->state;
	cm_membership_mark_changed(membership, record, now_ms);
	cm_counters_add(membership->counters, rules->counter);
}

void cm_membership_observe(struct cm_membership *membership, uint64_t now_ms,
			   struct cm_outbox *outbox)
{
	for (uint32_t i = CM_SELF + 1; i < membership->count; i++) {
		struct cm_record *record = &membership->records[i];

		if (record->observed_by_self && cm_record_is_live(record))
			observe_one(membership, now_ms, record, outbox);
	}
}
