/**
 * DOC: Long randomised runs
 *
 * Many nodes in one process and in virtual time. Faults are drawn from a seed
 * and overlap; packets between nodes, callers and backend servers take random
 * times and overtake each other. The same seed gives the same run.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include "fake/world.h"
#include "soak/instance.h"
#include "soak/operator.h"
#include "soak/store.h"

#define SOAK_US_PER_MS 1000
/** The brief says "after a few seconds". */
#define SOAK_FEW_SECONDS_MS 3000
/** Stated target: in force everywhere that long after it was accepted. */
#define SOAK_IN_FORCE_MS 7000

/**
 * struct soak - one run
 * @world: callers, backend servers and the fabric
 * @random: what the driver draws from
 * @instances: the instances
 * @queue: messages under way
 * @now_us: virtual time
 * @incarnation: processes started so far
 * @cut: which failure domain's packets do not reach which other one
 * @cut_ms: when a packet was last lost to a cut
 * @domain_in_until_ms: until when an instance may not know that the failure
 *                      domain that was out is back
 * @store: the store
 * @operators: what is published
 * @next_fault_ms: when to draw the next fault
 * @counters: sums over the instances that ended
 * @trace: hash of all that has happened
 * @excused: failed requests that the brief accepts
 * @violations: broken promises
 * @reported: totals at the last check
 * @actions: actions of the node that runs
 */
struct soak {
	struct fake_world world;
	struct fake_random random;
	struct soak_instance instances[SOAK_INSTANCES];
	struct fake_event_queue queue;
	uint64_t now_us;
	uint64_t incarnation;
	bool cut[SOAK_DOMAINS][SOAK_DOMAINS];
	uint64_t cut_ms;
	uint64_t domain_in_until_ms;
	struct soak_store store;
	struct soak_operators operators;
	uint64_t next_fault_ms;
	struct cm_counters counters;
	uint64_t trace;
	uint64_t excused;
	uint64_t violations;
	struct fake_totals reported;
	struct cm_actions actions;
};

/**
 * soak_now_ms() - virtual time
 * @soak: the run
 *
 * Return: milliseconds since the start.
 */
uint64_t soak_now_ms(const struct soak *soak);

/**
 * soak_draw() - draw a number
 * @soak: the run
 * @limit: above 0
 *
 * Return: a number from 0 to @limit less one.
 */
uint32_t soak_draw(struct soak *soak, uint32_t limit);

/**
 * soak_event() - print what happens
 * @soak: the run
 * @name: its name
 * @a: a detail
 * @b: another one
 */
void soak_event(struct soak *soak, const char *name, uint64_t a, uint64_t b);

/**
 * soak_violation() - print and count a broken promise
 * @soak: the run
 * @name: its name
 * @a: a detail
 * @b: another one
 */
void soak_violation(struct soak *soak, const char *name, uint64_t a,
		    uint64_t b);

#endif
