#include "fake/group.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/message_msgpack.h"

#define MESSAGE_DELAY_MS 2
#define FRAME_HEADER_SIZE 4
#define FIRST_ADDRESS 0x0a000001

static struct cm_member make_member(const struct fake_group *group,
				    uint32_t index)
{
	struct cm_member member = {
		.data_address = { FIRST_ADDRESS + index, 6081, IPPROTO_UDP },
		.control_address = { FIRST_ADDRESS + index, 7081, IPPROTO_TCP },
		.incarnation = group->incarnation,
	};

	snprintf(member.domain, sizeof(member.domain), "domain-%u",
		 index % group->domains);
	snprintf(member.name, sizeof(member.name), "domain-%u-%u",
		 index % group->domains, index);
	return member;
}

static void apply_platform_list(struct fake_group *group, uint32_t index)
{
	struct cm_member *list = calloc(group->count, sizeof(*list));
	uint32_t count = 0;

	for (uint32_t i = 0; i < group->count; i++) {
		if (!group->members[i].is_listed)
			continue;
		list[count] = make_member(group, i);
		list[count++].incarnation = 0;
	}
	cm_membership_add_listed(&group->members[index].membership,
				 group->now_ms, list, count);
	free(list);
}

void fake_group_start(struct fake_group *group, uint32_t index)
{
	struct fake_member *member = &group->members[index];
	struct cm_member self;

	group->incarnation++;
	self = make_member(group, index);
	cm_membership_init(&member->membership, &self, &member->counters,
			   group->now_ms);
	member->is_running = true;
	member->is_frozen = false;
	apply_platform_list(group, index);
}

void fake_group_kill(struct fake_group *group, uint32_t index)
{
	cm_membership_finish(&group->members[index].membership);
	group->members[index].is_running = false;
}

void fake_group_init(struct fake_group *group, uint32_t count, uint32_t domains)
{
	memset(group, 0, sizeof(*group));
	group->now_ms = FAKE_START_MS;
	group->count = count;
	group->domains = domains;
	group->members = calloc(count, sizeof(*group->members));
	for (uint32_t i = 0; i < count; i++) {
		group->members[i].blocked_sender = -1;
		group->members[i].is_listed = true;
	}
	for (uint32_t i = 0; i < count; i++)
		fake_group_start(group, i);
}

void fake_group_finish(struct fake_group *group)
{
	for (size_t i = 0; i < group->queue_count; i++)
		cm_message_finish(&group->queue[i].message);
	free(group->queue);
	for (uint32_t i = 0; i < group->count; i++)
		if (group->members[i].is_running)
			fake_group_kill(group, i);
	free(group->members);
}

/* Called once for each message, as it decrements drop_next. */
static bool is_delivered(struct fake_group *group, uint32_t from, uint32_t to)
{
	struct fake_member *sender = &group->members[from];
	struct fake_member *receiver = &group->members[to];

	if (sender->drop_next) {
		sender->drop_next--;
		return false;
	}
	return sender->partition == receiver->partition &&
	       receiver->is_running && receiver->blocked_sender != (int)from;
}

static struct fake_queued_message *queue_append(struct fake_group *group)
{
	if (group->queue_count == group->queue_capacity) {
		size_t capacity = group->queue_capacity * 2 + 64;
		struct fake_queued_message *queue =
			realloc(group->queue, capacity * sizeof(*queue));

		if (!queue)
			abort();
		group->queue = queue;
		group->queue_capacity = capacity;
	}
	return &group->queue[group->queue_count++];
}

/* Copies the message by encoding and decoding it, as sending it over a
 * connection does. */
static void queue_message(struct fake_group *group, uint32_t from, uint32_t to,
			  const struct cm_message *message)
{
	struct fake_queued_message *queued;
	char *bytes;
	size_t size;

	if (cm_message_write(message, &bytes, &size))
		abort();
	group->members[from].sent_bytes += size + FRAME_HEADER_SIZE;
	if (is_delivered(group, from, to)) {
		queued = queue_append(group);
		queued->due_ms = group->now_ms + MESSAGE_DELAY_MS;
		queued->from = from;
		queued->to = to;
		if (cm_message_read(&queued->message, bytes, size))
			abort();
	}
	free(bytes);
}

void fake_group_send(struct fake_group *group, uint32_t from,
		     const struct cm_endpoint *to,
		     const struct cm_message *message)
{
	queue_message(group, from, to->address - FIRST_ADDRESS, message);
}

static bool answer_status(struct fake_member *member, struct cm_message *answer)
{
	cm_message_init(answer, CM_MESSAGE_STATUS);
	cm_membership_set_sender(&member->membership, answer);
	cm_membership_list(&member->membership, &answer->status.members);
	return true;
}

static void deliver(struct fake_group *group,
		    struct fake_queued_message *queued)
{
	struct fake_member *member = &group->members[queued->to];
	struct cm_message answer;
	const struct cm_message *message = &queued->message;
	bool answered =
		group->receive &&
		group->receive(group->user, queued->to, message, &answer);

	if (!answered && message->kind == CM_MESSAGE_STATUS_REQUEST)
		answered = answer_status(member, &answer);
	else if (!answered)
		answered = cm_membership_receive(
			&member->membership, group->now_ms, message, &answer);
	if (answered) {
		queue_message(group, queued->to, queued->from, &answer);
		cm_message_finish(&answer);
	}
}

static bool is_due(const struct fake_group *group,
		   const struct fake_queued_message *queued)
{
	const struct fake_member *member = &group->members[queued->to];

	return queued->due_ms <= group->now_ms &&
	       !(member->is_running && member->is_frozen);
}

/* Messages to a frozen instance stay queued until it runs again. */
static void deliver_due(struct fake_group *group)
{
	size_t kept = 0;

	for (size_t i = 0; i < group->queue_count; i++) {
		struct fake_queued_message queued = group->queue[i];

		if (!is_due(group, &queued)) {
			group->queue[kept++] = queued;
			continue;
		}
		if (group->members[queued.to].is_running)
			deliver(group, &queued);
		cm_message_finish(&queued.message);
	}
	group->queue_count = kept;
}

static void tick(struct fake_group *group, uint32_t index)
{
	struct cm_outbox outbox;

	cm_outbox_init(&outbox);
	cm_membership_tick(&group->members[index].membership, group->now_ms,
			   &outbox);
	for (size_t i = 0; i < outbox.count; i++)
		fake_group_send(group, index, &outbox.items[i].to,
				&outbox.items[i].message);
	cm_outbox_finish(&outbox);
}

static bool is_tick_due(const struct fake_group *group, uint32_t index)
{
	const struct fake_member *member = &group->members[index];

	return member->is_running && !member->is_frozen &&
	       (group->now_ms + index) % FAKE_TICK_MS == 0;
}

void fake_group_run(struct fake_group *group, uint64_t ms)
{
	uint64_t end_ms = group->now_ms + ms;

	while (group->now_ms < end_ms) {
		group->now_ms++;
		for (uint32_t i = 0; i < group->count; i++)
			if (is_tick_due(group, i))
				tick(group, i);
		deliver_due(group);
	}
}

enum cm_member_state fake_group_state(struct fake_group *group, uint32_t of,
				      uint32_t at)
{
	const struct cm_membership *membership = &group->members[at].membership;
	struct cm_member member = make_member(group, of);

	for (uint32_t i = 0; i < membership->count; i++)
		if (cm_endpoint_equal(
			    &membership->records[i].member.data_address,
			    &member.data_address))
			return membership->records[i].member.state;
	return CM_MEMBER_DEAD;
}

bool fake_group_admits(const struct fake_group *group, uint32_t index)
{
	const struct fake_member *member = &group->members[index];

	return member->is_running && !member->is_frozen &&
	       cm_membership_admit_until_ms(&member->membership) >
		       group->now_ms;
}
