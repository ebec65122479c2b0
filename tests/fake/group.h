/**
 * DOC: A group of memberships in virtual time
 *
 * Delivers messages between memberships after a fixed delay, without sockets or
 * a real clock. Tests may partition the group, drop messages or freeze
 * instances.
 */
#ifndef FAKE_GROUP_H
#define FAKE_GROUP_H

#include "chervilmast/membership.h"
#include "fake/random.h"

/** Interval between ticks of an instance, ms. */
#define FAKE_TICK_MS 50
/** Virtual time at the start, ms. */
#define FAKE_START_MS 1000000

/**
 * struct fake_member - one instance
 * @membership: its membership
 * @counters: its counters
 * @is_running: its process runs
 * @is_frozen: its process runs but is not scheduled: it has no ticks, and
 * messages to it stay queued
 * @partition: number of its network partition; messages are delivered only to
 *             instances with the same number
 * @blocked_sender: index of an instance whose messages to this one are dropped;
 *                  -1 for none
 * @drop_next: number of messages to drop, of those that it sends next
 * @sent_bytes: bytes sent by the instance, including frame headers
 * @is_listed: the platform's list of instances contains it
 */
struct fake_member {
	struct cm_membership membership;
	struct cm_counters counters;
	bool is_running;
	bool is_frozen;
	uint32_t partition;
	int blocked_sender;
	uint32_t drop_next;
	uint64_t sent_bytes;
	bool is_listed;
};

/**
 * struct fake_queued_message - a message that is not yet delivered
 * @due_ms: time of delivery, ms
 * @from: index of the sender
 * @to: index of the receiver
 * @message: the message
 */
struct fake_queued_message {
	uint64_t due_ms;
	uint32_t from;
	uint32_t to;
	struct cm_message message;
};

/**
 * struct fake_group - all instances
 * @receive: called with each message before the membership gets it; returns
 *           true when it has set an answer, and then the membership does not
 *           get the message; may be NULL
 * @user: argument for @receive
 * @now_ms: virtual time, ms
 * @members: the instances
 * @count: number of @members
 * @domains: number of failure domains; instance i is in domain i % @domains
 * @queue: messages not yet delivered, in order of sending
 * @queue_count: number of messages in @queue
 * @queue_capacity: number of messages that @queue has room for
 * @incarnation: incarnation of the instance started last
 */
struct fake_group {
	bool (*receive)(void *user, uint32_t index,
			const struct cm_message *message,
			struct cm_message *answer);
	void *user;
	uint64_t now_ms;
	struct fake_member *members;
	uint32_t count;
	uint32_t domains;
	struct fake_queued_message *queue;
	size_t queue_count;
	size_t queue_capacity;
	uint64_t incarnation;
};

/**
 * fake_group_init() - make a group in which all instances run
 * @group: memory of the caller
 * @count: number of instances
 * @domains: number of failure domains
 */
void fake_group_init(struct fake_group *group, uint32_t count,
		     uint32_t domains);

/**
 * fake_group_finish() - free the group
 * @group: the group; its memory stays the caller's
 */
void fake_group_finish(struct fake_group *group);

/**
 * fake_group_run() - advance virtual time
 * @group: the group
 * @ms: duration, ms
 */
void fake_group_run(struct fake_group *group, uint64_t ms);

/**
 * fake_group_send() - send a message from an instance
 * @group: the group
 * @from: index of the instance
 * @to: control address of the receiver
 * @message: the message, copied
 */
void fake_group_send(struct fake_group *group, uint32_t from,
		     const struct cm_endpoint *to,
		     const struct cm_message *message);

/**
 * fake_group_start() - start an instance with a new incarnation
 * @group: the group
 * @index: index of the instance
 */
void fake_group_start(struct fake_group *group, uint32_t index);

/**
 * fake_group_kill() - stop an instance, as in a crash
 * @group: the group
 * @index: index of the instance
 */
void fake_group_kill(struct fake_group *group, uint32_t index);

/**
 * fake_group_state() - state of an instance in the view of another
 * @group: the group
 * @of: index of the instance
 * @at: index of the instance whose view is read
 *
 * Return: the state; CM_MEMBER_DEAD when the view does not contain @of.
 */
enum cm_member_state fake_group_state(struct fake_group *group, uint32_t of,
				      uint32_t at);

/**
 * fake_group_admits() - whether an instance may admit flows now
 * @group: the group
 * @index: index of the instance
 *
 * Return: true if so.
 */
bool fake_group_admits(const struct fake_group *group, uint32_t index);

#endif
