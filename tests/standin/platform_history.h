/**
 * DOC: Earlier copies of the stand-in for the platform's store
 *
 * The store can go back to a copy from some time ago, as a real one that is
 * restored from a backup: later writes and leases are lost, and the numbers of
 * revisions and leases are assigned again.
 */
#ifndef STANDIN_PLATFORM_HISTORY_H
#define STANDIN_PLATFORM_HISTORY_H

#include <stdint.h>

#include "fake/kv.h"
#include "standin/platform_lease.h"

/** Number of copies; a further one replaces the oldest. */
#define PLATFORM_COPIES_MAX 120
/** Minimum time between two copies, ms. */
#define PLATFORM_COPY_INTERVAL_MS 250

/**
 * struct platform_copy - a copy of the store
 * @taken_ms: when it was taken, ms; 0 for an unused entry
 * @kv: the keys
 */
struct platform_copy {
	uint64_t taken_ms;
	struct fake_kv kv;
};

/**
 * struct platform_history - the copies
 * @copies: the copies, a ring
 * @count: number of copies taken so far
 */
struct platform_history {
	struct platform_copy copies[PLATFORM_COPIES_MAX];
	uint64_t count;
};

/** platform_history_record() - take a copy if the last one is older than
 * PLATFORM_COPY_INTERVAL_MS */
void platform_history_record(struct platform_history *history, uint64_t now_ms,
			     const struct fake_kv *kv);

/**
 * platform_history_restore() - go back to a copy
 * @history: the copies; later ones are dropped
 * @before_ms: the latest copy taken at this time or earlier is restored, or the
 *             earliest one
 * @kv: set to the keys of the copy, without their leases
 * @leases: all leases are lost; later ones get the same numbers again
 */
void platform_history_restore(struct platform_history *history,
			      uint64_t before_ms, struct fake_kv *kv,
			      struct platform_leases *leases);

/** platform_history_finish() - free all copies */
void platform_history_finish(struct platform_history *history);

#endif
