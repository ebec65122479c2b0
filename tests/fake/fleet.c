#include "fake/fleet.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

#define TICK_MS 50
#define HALF_OPEN_MAX 1024

static bool is_running(const struct fake_fleet *fleet, uint32_t number)
{
	return fleet->group.members[number].is_running;
}

static bool is_isolated(const struct fake_fleet *fleet, uint32_t number)
{
	return fleet->isolated_domain >= 0 &&
	       number % fleet->group.domains ==
		       (uint32_t)fleet->isolated_domain;
}

static uint32_t number_of(const struct fake_fleet_member *member)
{
	return (uint32_t)(member - member->fleet->members);
}

static int peers_send(struct cm_peers *peers, const struct cm_endpoint *to,
		      const struct cm_message *message)
{
	struct fake_fleet_member *from =
		(struct fake_fleet_member *)((char *)peers -
					     offsetof(struct fake_fleet_member,
						      peers));

	fake_group_send(&from->fleet->group, number_of(from), to, message);
	return CM_OK;
}

static const struct cm_peers_ops peers_ops = { .send = peers_send };

static bool receive(void *user, uint32_t index,
		    const struct cm_message *message, struct cm_message *answer)
{
	struct fake_fleet *fleet = user;

	return cm_note_feed_receive(&fleet->members[index].follower.feed,
				    fleet->group.now_ms, message, answer);
}

static void start_member(struct fake_fleet *fleet, uint32_t number)
{
	struct fake_fleet_member *member = &fleet->members[number];
	struct cm_member self =
		fleet->group.members[number].membership.records[0].member;
	struct cm_node_config config = {
		.self = self.data_address,
		.half_open_max = HALF_OPEN_MAX,
	};

	if (cm_node_init(&member->node, &config))
		abort();
	fake_follower_init(&member->follower, &member->node, &self,
			   &member->store, fleet->group.now_ms);
	member->peers.ops = &peers_ops;
}

void fake_fleet_start(struct fake_fleet *fleet, uint32_t number)
{
	fake_group_start(&fleet->group, number);
	start_member(fleet, number);
}

void fake_fleet_stop(struct fake_fleet *fleet, uint32_t number)
{
	struct fake_fleet_member *member = &fleet->members[number];

	fake_follower_finish(&member->follower);
	cm_node_finish(&member->node);
	fake_group_kill(&fleet->group, number);
}

void fake_fleet_init(struct fake_fleet *fleet, uint32_t count, uint32_t domains)
{
	memset(fleet, 0, sizeof(*fleet));
	fake_store_service_init(&fleet->service);
	fake_group_init(&fleet->group, count, domains);
	fleet->group.receive = receive;
	fleet->group.user = fleet;
	fleet->isolated_domain = -1;
	fleet->store_call_ms = 2;
	for (uint32_t i = 0; i < count; i++) {
		fleet->members[i].fleet = fleet;
		fake_store_init(&fleet->members[i].store, &fleet->service);
		start_member(fleet, i);
	}
}

void fake_fleet_finish(struct fake_fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->group.count; i++)
		if (is_running(fleet, i))
			fake_fleet_stop(fleet, i);
	fake_group_finish(&fleet->group);
	fake_store_service_finish(&fleet->service);
}

static bool is_store_reachable(const struct fake_fleet_member *member)
{
	return !member->fleet->store_down &&
	       !is_isolated(member->fleet, number_of(member));
}

/* Passes the member list to the note follower if it has changed. */
static void update_members(struct fake_fleet_member *member,
			   struct cm_membership *membership)
{
	struct cm_member *members;
	uint32_t count;

	if (cm_membership_take_members(membership, &members, &count) <= 0)
		return;
	cm_note_follower_set_members(&member->follower.feed.follower,
				     member->fleet->group.now_ms, members,
				     count);
	free(members);
}

static void run_member(struct fake_fleet_member *member)
{
	struct fake_group *group = &member->fleet->group;
	uint32_t number = number_of(member);
	struct cm_membership *membership = &group->members[number].membership;
	uint8_t id[CM_PUBLICATION_ID_SIZE];
	uint64_t version;

	member->store.fault =
		is_store_reachable(member) ? FAKE_FAULT_NONE : FAKE_FAULT_DOWN;
	if (!fake_follower_run(&member->follower, group->now_ms,
			       member->fleet->store_call_ms))
		abort();
	update_members(member, membership);
	if ((group->now_ms + number * FAKE_FLEET_STEP_MS) % TICK_MS == 0)
		cm_note_feed_tick(&member->follower.feed, group->now_ms,
				  &member->peers);
	version = cm_node_publication(&member->node, id);
	cm_membership_set_note(membership, version, id);
}

static void run_step(struct fake_fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->group.count; i++)
		fleet->group.members[i].partition = is_isolated(fleet, i);
	fake_group_run(&fleet->group, FAKE_FLEET_STEP_MS);
	for (uint32_t i = 0; i < fleet->group.count; i++)
		if (is_running(fleet, i))
			run_member(&fleet->members[i]);
}

void fake_fleet_run(struct fake_fleet *fleet, uint64_t ms)
{
	uint64_t end_ms = fleet->group.now_ms + ms;

	while (fleet->group.now_ms < end_ms)
		run_step(fleet);
}

static bool all_have_version(struct fake_fleet *fleet, uint64_t version)
{
	for (uint32_t i = 0; i < fleet->group.count; i++)
		if (is_running(fleet, i) &&
		    cm_node_version(&fleet->members[i].node) < version)
			return false;
	return true;
}

bool fake_fleet_run_until(struct fake_fleet *fleet, uint64_t version,
			  uint64_t timeout_ms)
{
	uint64_t end_ms = fleet->group.now_ms + timeout_ms;

	while (!all_have_version(fleet, version) &&
	       fleet->group.now_ms < end_ms)
		run_step(fleet);
	return all_have_version(fleet, version);
}

uint64_t fake_fleet_publish(struct fake_fleet *fleet, struct cm_note *note,
			    uint64_t id)
{
	struct fake_publisher publisher;

	fake_publisher_init(&publisher, &fleet->service);
	if (fake_publisher_publish(&publisher, note, id))
		abort();
	return publisher.version;
}

uint64_t fake_fleet_calls(const struct fake_fleet *fleet)
{
	uint64_t calls = 0;

	for (uint32_t i = 0; i < fleet->group.count; i++)
		calls += fleet->members[i].store.calls;
	return calls;
}
