/**
 * DOC: Randomised soak test
 *
 * Runs several entry instances in one process and in virtual time. A seed
 * determines the faults, which may overlap. Packets between instances, callers
 * and backend servers have random latencies and may be lost, duplicated or
 * reordered. The same seed gives the same run.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include "fake/world.h"
#include "soak/instance.h"
#include "soak/operator.h"
#include "soak/store.h"

#define SOAK_US_PER_MS 1000
/**
 * Time from the acceptance of a release note after which a failure domain that
 * it takes out must receive no packets, and a server that it drains or
 * withdraws no new connections, ms. The requirement says "after a few seconds".
 */
#define SOAK_NOTE_EFFECT_MAX_MS 3000
/**
 * Time within which a release note must be in force at an instance to which the
 * store or another instance can deliver it, ms.
 */
#define SOAK_IN_FORCE_MAX_MS 7000

/**
 * struct soak - state of one run
 * @world: callers, backend servers and the fabric
 * @random: random number generator of latencies and faults
 * @instances: entry instances
 * @queue: messages in flight and scheduled events
 * @now_us: virtual time, us
 * @incarnation: number of instance processes started so far
 * @cut: cut[a][b] is true while packets from failure domain a to b are lost
 * @last_cut_loss_ms: time at which a cut last dropped a packet, ms
 * @domain_in_deadline_ms: time by which the note that brings the failure domain
 *                         back in must be in force at all instances, ms
 * @store: store and its faults
 * @operators: published release notes
 * @next_fault_ms: time of the next fault, ms
 * @counters: sums of the counters of stopped instances; at the end of all
 * @trace: hash of the packets handled by instances and of the failed requests
 * @excused: failed requests that the requirements permit
 * @violations: number of violations
 * @checked_totals: totals of @world at the last check of the invariants
 * @actions: actions returned by the last call of a node, until performed
 */
struct soak {
	struct fake_world world;
	struct fake_random random;
	struct soak_instance instances[SOAK_INSTANCES];
	struct fake_event_queue queue;
	uint64_t now_us;
	uint64_t incarnation;
	bool cut[SOAK_DOMAINS][SOAK_DOMAINS];
	uint64_t last_cut_loss_ms;
	uint64_t domain_in_deadline_ms;
	struct soak_store store;
	struct soak_operators operators;
	uint64_t next_fault_ms;
	struct cm_counters counters;
	uint64_t trace;
	uint64_t excused;
	uint64_t violations;
	struct fake_totals checked_totals;
	struct cm_actions actions;
};

/**
 * soak_now_ms() - return the virtual time
 * @soak: the run
 *
 * Return: milliseconds since the start.
 */
uint64_t soak_now_ms(const struct soak *soak);

/**
 * soak_random_below() - return a random number
 * @soak: the run
 * @limit: exclusive upper bound, at least 1
 *
 * Return: a number from 0 to @limit - 1.
 */
uint32_t soak_random_below(struct soak *soak, uint32_t limit);

/**
 * soak_event() - print an event
 * @soak: the run
 * @name: name of the event
 * @a: first argument of the event
 * @b: second argument of the event
 */
void soak_event(struct soak *soak, const char *name, uint64_t a, uint64_t b);

/**
 * soak_violation() - print and count a violation
 * @soak: the run
 * @name: name of the violation
 * @a: first argument of the violation
 * @b: second argument of the violation
 */
void soak_violation(struct soak *soak, const char *name, uint64_t a,
		    uint64_t b);

#endif
