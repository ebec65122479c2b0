/**
 * DOC: Leases of the stand-in of the users' store
 */
#ifndef STANDIN_PLATFORM_LEASE_H
#define STANDIN_PLATFORM_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "fake/kv.h"

/** Most leases at once; the one granted longest ago makes room. */
#define PLATFORM_LEASES 64

/**
 * struct platform_lease - a lease
 * @id: names it; 0 once it ended
 * @ttl_ms: how long it lasts when it is not kept
 * @end_ms: when it ends
 */
struct platform_lease {
	int64_t id;
	int ttl_ms;
	uint64_t end_ms;
};

/**
 * struct platform_leases - the leases
 * @items: the leases
 * @granted: leases granted so far
 */
struct platform_leases {
	struct platform_lease items[PLATFORM_LEASES];
	int64_t granted;
};

/** platform_lease_grant() - make a lease; returns its id */
int64_t platform_lease_grant(struct platform_leases *leases, int ttl_ms);

/** platform_lease_keep() - renew a lease; returns how long it lasts, ms, or 0
 * when it has ended */
int platform_lease_keep(struct platform_leases *leases, int64_t id);

/** platform_lease_holds() - whether a lease has not ended */
bool platform_lease_holds(struct platform_leases *leases, int64_t id);

/** platform_lease_end() - remove leases that have ended, and their keys */
void platform_lease_end(struct platform_leases *leases, struct fake_kv *kv,
			uint64_t now_ms);

#endif
