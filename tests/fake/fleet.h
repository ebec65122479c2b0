/**
 * DOC: Instances that follow release notes, in virtual time
 *
 * Each instance runs a real note feed and node. The instances send messages to
 * each other through a struct fake_group and read notes from a store in memory.
 */
#ifndef FAKE_FLEET_H
#define FAKE_FLEET_H

#include "fake/follower.h"
#include "fake/group.h"
#include "fake/notes.h"

/** Maximum number of instances of a fleet. */
#define FAKE_FLEET_MAX 27
/** Step of virtual time, ms. */
#define FAKE_FLEET_STEP_MS 10

/**
 * struct fake_fleet_member - an instance that follows release notes
 * @fleet: the fleet
 * @node: its node
 * @follower: its note follower
 * @store: its client of the store
 * @peers: port that sends messages to other instances
 */
struct fake_fleet_member {
	struct fake_fleet *fleet;
	struct cm_node node;
	struct fake_follower follower;
	struct fake_store store;
	struct cm_peers peers;
};

/**
 * struct fake_fleet - all instances
 * @group: memberships of the instances, and the virtual time
 * @members: the instances, as many as @group has
 * @service: the store
 * @store_down: all calls to the store fail
 * @store_call_ms: duration of one call to the store, ms
 * @isolated_domain: index of a failure domain that is cut off from the other
 *                   domains and the store; below 0 for none
 */
struct fake_fleet {
	struct fake_group group;
	struct fake_fleet_member members[FAKE_FLEET_MAX];
	struct fake_store_service service;
	bool store_down;
	uint32_t store_call_ms;
	int isolated_domain;
};

/**
 * fake_fleet_init() - start instances and an empty store
 * @fleet: memory of the caller
 * @count: number of instances
 * @domains: number of failure domains that the instances are spread over
 */
void fake_fleet_init(struct fake_fleet *fleet, uint32_t count,
		     uint32_t domains);

/**
 * fake_fleet_finish() - stop all instances and free the fleet
 * @fleet: the fleet; its memory stays the caller's
 */
void fake_fleet_finish(struct fake_fleet *fleet);

/**
 * fake_fleet_run() - advance virtual time
 * @fleet: the fleet
 * @ms: duration, ms
 */
void fake_fleet_run(struct fake_fleet *fleet, uint64_t ms);

/**
 * fake_fleet_run_until() - advance time until a version is in force
 * @fleet: the fleet
 * @version: the version
 * @timeout_ms: longest duration, ms
 *
 * Return: true when every running instance has the version or a higher one in
 * force.
 */
bool fake_fleet_run_until(struct fake_fleet *fleet, uint64_t version,
			  uint64_t timeout_ms);

/**
 * fake_fleet_publish() - publish a note
 * @fleet: the fleet; @store_down and @isolated_domain do not affect the call
 * @note: the note; its contents are freed by the call
 * @id: number from which the publication id is made
 *
 * Return: version of the note.
 */
uint64_t fake_fleet_publish(struct fake_fleet *fleet, struct cm_note *note,
			    uint64_t id);

/**
 * fake_fleet_stop() - stop an instance, as in a crash
 * @fleet: the fleet
 * @number: index of the instance
 */
void fake_fleet_stop(struct fake_fleet *fleet, uint32_t number);

/**
 * fake_fleet_start() - restart a stopped instance without its earlier state
 * @fleet: the fleet
 * @number: index of the instance
 */
void fake_fleet_start(struct fake_fleet *fleet, uint32_t number);

/**
 * fake_fleet_calls() - number of calls to the store so far
 * @fleet: the fleet
 *
 * Return: the number of calls; a watch that waits counts as one.
 */
uint64_t fake_fleet_calls(const struct fake_fleet *fleet);

#endif
