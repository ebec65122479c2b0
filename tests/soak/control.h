/**
 * DOC: Control plane of a simulated instance
 *
 * Runs the membership and the note follower of an instance. Their messages to
 * other instances are sent over the same simulated network as the packets.
 */
#ifndef SOAK_CONTROL_H
#define SOAK_CONTROL_H

#include "chervilmast/membership.h"
#include "fake/follower.h"
#include "soak/message.h"

/**
 * struct soak_control - control plane of one instance
 * @soak: the run
 * @number: number of the instance
 * @peers: port that sends messages to other instances
 * @store: client of the store
 * @follower: note follower
 * @membership: membership
 * @target_version: newest note that the store or another instance can deliver;
 *                  must come into force within SOAK_IN_FORCE_MAX_MS
 * @target_since_ms: time since which @target_version can be delivered, ms
 */
struct soak_control {
	struct soak *soak;
	uint32_t number;
	struct cm_peers peers;
	struct fake_store store;
	struct fake_follower follower;
	struct cm_membership membership;
	uint64_t target_version;
	uint64_t target_since_ms;
};

/**
 * soak_control_start() - start the control plane of an instance
 * @soak: the run
 * @number: number of the instance; its node must be initialised
 */
void soak_control_start(struct soak *soak, uint32_t number);

/**
 * soak_control_leave() - announce the shutdown of an instance to its peers
 * @soak: the run
 * @number: number of the instance
 * @is_stopping: true when it stops now, false when it begins to drain
 */
void soak_control_leave(struct soak *soak, uint32_t number, bool is_stopping);

/**
 * soak_control_stop() - stop the control plane of an instance
 * @soak: the run
 * @number: number of the instance
 */
void soak_control_stop(struct soak *soak, uint32_t number);

/**
 * soak_control_run() - run the due work of an instance's control plane
 * @soak: the run
 * @number: number of the instance, which is running
 */
void soak_control_run(struct soak *soak, uint32_t number);

/**
 * soak_control_check() - check which release note is in force at an instance
 * @soak: the run
 * @number: number of the instance
 *
 * The note in force must be the one that was accepted under its version. A
 * newer note must come into force within SOAK_IN_FORCE_MAX_MS if the store or
 * another instance can deliver it during all of this time. Counts a violation
 * otherwise.
 */
void soak_control_check(struct soak *soak, uint32_t number);

#endif
