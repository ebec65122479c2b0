#include "soak/control.h"

#include <stddef.h>
#include <stdlib.h>

#include "adapters/message_msgpack.h"
#include "soak/soak.h"

#define TICK_MS 50

static struct soak_control *control_of(struct soak *soak, uint32_t number)
{
	return &soak->instances[number].control;
}

static void handle_control(struct soak *soak, struct soak_message *message);

/* Encodes the message, so that the receiver decodes it as the daemon does. */
static void send(struct soak_control *control, uint32_t to,
		 const struct cm_message *message)
{
	struct soak_message *sent;
	char *bytes;
	size_t size;

	if (cm_message_write(message, &bytes, &size))
		abort();
	sent = soak_message_make(handle_control, to, (const uint8_t *)bytes,
				 size);
	sent->other = control->number;
	free(bytes);
	soak_message_transmit(control->soak, sent,
			      control->number % SOAK_DOMAINS,
			      to % SOAK_DOMAINS);
}

static int peers_send(struct cm_peers *peers, const struct cm_endpoint *to,
		      const struct cm_message *message)
{
	struct soak_control *control =
		(struct soak_control *)((char *)peers -
					offsetof(struct soak_control, peers));

	send(control, to->address & (FAKE_INSTANCES_MAX - 1), message);
	return 0;
}

static const struct cm_peers_ops peers_ops = { .send = peers_send };

static bool receive(struct soak_control *control, const struct cm_message *got,
		    struct cm_message *answer)
{
	uint64_t now_ms = soak_now_ms(control->soak);

	return cm_note_feed_receive(&control->follower.feed, now_ms, got,
				    answer) ||
	       cm_membership_receive(&control->membership, now_ms, got, answer);
}

static void handle_control(struct soak *soak, struct soak_message *message)
{
	struct soak_control *control = control_of(soak, message->instance);
	struct cm_message got, answer;

	if (!soak_instance_accept_message(soak, message))
		return;
	if (cm_message_read(&got, (const char *)message->bytes,
			    message->length))
		abort();
	if (receive(control, &got, &answer)) {
		send(control, message->other, &answer);
		cm_message_finish(&answer);
	}
	cm_message_finish(&got);
}

/* Adds the platform's list, which contains all instances, to the membership. */
static void add_listed_members(struct soak *soak, struct soak_control *control)
{
	struct cm_member members[SOAK_INSTANCES];

	for (uint32_t i = 0; i < SOAK_INSTANCES; i++)
		members[i] = soak->instances[i].self;
	cm_membership_add_listed(&control->membership, soak_now_ms(soak),
				 members, SOAK_INSTANCES);
}

void soak_control_start(struct soak *soak, uint32_t number)
{
	struct soak_instance *instance = &soak->instances[number];
	struct soak_control *control = &instance->control;
	struct cm_member self = instance->self;

	control->soak = soak;
	control->number = number;
	control->peers.ops = &peers_ops;
	control->target_version = 0;
	self.incarnation = ++soak->incarnation;
	if (cm_membership_init(&control->membership, &self,
			       &instance->node.counters, soak_now_ms(soak)))
		abort();
	add_listed_members(soak, control);
	fake_store_init(&control->store, &soak->store.service);
	fake_follower_init(&control->follower, &instance->node, &self,
			   &control->store, soak_now_ms(soak));
	cm_node_set_deadlines(&instance->node, 0, 0);
}

static void send_all(struct soak_control *control, struct cm_outbox *outbox)
{
	for (size_t i = 0; i < outbox->count; i++)
		peers_send(&control->peers, &outbox->items[i].to,
			   &outbox->items[i].message);
	cm_outbox_finish(outbox);
}

void soak_control_leave(struct soak *soak, uint32_t number, bool is_stopping)
{
	struct soak_control *control = control_of(soak, number);
	struct cm_outbox outbox;

	cm_outbox_init(&outbox);
	if (is_stopping)
		cm_membership_stop(&control->membership, soak_now_ms(soak),
				   &outbox);
	else
		cm_membership_leave(&control->membership);
	send_all(control, &outbox);
}

void soak_control_stop(struct soak *soak, uint32_t number)
{
	struct soak_control *control = control_of(soak, number);

	cm_membership_finish(&control->membership);
	fake_follower_finish(&control->follower);
}

static void take_members(struct soak_control *control, struct cm_node *node,
			 uint64_t now_ms)
{
	struct cm_member *members;
	uint32_t count;

	if (cm_membership_take_members(&control->membership, &members,
				       &count) <= 0)
		return;
	if (cm_node_set_members(node, members, count))
		abort();
	cm_note_follower_set_members(&control->follower.feed.follower, now_ms,
				     members, count);
	free(members);
}

/* Performs the same steps as the control thread of the daemon. */
static void tick(struct soak_control *control, struct cm_node *node,
		 uint64_t now_ms)
{
	struct cm_membership *membership = &control->membership;
	uint8_t id[CM_PUBLICATION_ID_SIZE];
	uint64_t version = cm_node_publication(node, id);
	struct cm_outbox outbox;

	cm_outbox_init(&outbox);
	cm_membership_set_note(membership, version, id);
	cm_membership_tick(membership, now_ms, &outbox);
	cm_node_set_deadlines(node, cm_membership_admit_until_ms(membership),
			      cm_membership_handle_until_ms(membership));
	take_members(control, node, now_ms);
	send_all(control, &outbox);
	cm_note_feed_tick(&control->follower.feed, now_ms, &control->peers);
}

void soak_control_run(struct soak *soak, uint32_t number)
{
	struct soak_control *control = control_of(soak, number);
	uint64_t now_ms = soak_now_ms(soak);

	control->store.fault = soak_store_fault_at(soak, number);
	if (!fake_follower_run(&control->follower, now_ms, soak->store.call_ms))
		soak_violation(soak, "version", number,
			       control->follower.version);
	if (now_ms % TICK_MS == 0)
		tick(control, &soak->instances[number].node, now_ms);
}

static bool can_reach(const struct soak *soak, uint32_t a, uint32_t b)
{
	uint32_t from = a % SOAK_DOMAINS, to = b % SOAK_DOMAINS;

	return soak_instance_is_running(soak, b) && !soak->cut[from][to] &&
	       !soak->cut[to][from];
}

/*
 * Returns the newest version that the store or another instance can deliver to
 * an instance now; 0 when none can.
 */
static uint64_t newest_reachable_version(struct soak *soak, uint32_t number)
{
	uint64_t newest = 0, version;

	if (soak_store_fault_at(soak, number) == FAKE_FAULT_NONE)
		newest = soak->operators.head;
	for (uint32_t i = 0; i < SOAK_INSTANCES; i++) {
		if (i == number || !can_reach(soak, number, i))
			continue;
		version = cm_node_version(&soak->instances[i].node);
		if (version > newest)
			newest = version;
	}
	return newest;
}

static void check_in_force(struct soak *soak, uint32_t number, uint64_t version)
{
	struct soak_control *control = control_of(soak, number);
	uint64_t now_ms = soak_now_ms(soak);
	uint64_t newest = newest_reachable_version(soak, number);

	if (newest < soak->operators.head && version < soak->operators.head)
		soak_operators_extend_deadlines(soak, version);
	if (now_ms > control->target_since_ms + SOAK_IN_FORCE_MAX_MS &&
	    version < control->target_version &&
	    newest >= control->target_version) {
		soak_violation(soak, "late-note", number,
			       control->target_version);
		control->target_version = 0;
	}
	if (version < control->target_version &&
	    newest >= control->target_version &&
	    soak_instance_is_running(soak, number))
		return;
	control->target_version = newest;
	control->target_since_ms = now_ms;
}

void soak_control_check(struct soak *soak, uint32_t number)
{
	uint8_t id[CM_PUBLICATION_ID_SIZE];
	uint64_t version;

	if (!soak->instances[number].is_up)
		return;
	version = cm_node_publication(&soak->instances[number].node, id);
	if (version && soak->operators.publication_ids[version] !=
			       soak_publication_number(id))
		soak_violation(soak, "other-note", number, version);
	check_in_force(soak, number, version);
}
