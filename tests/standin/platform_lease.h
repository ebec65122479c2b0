/**
 * DOC: Leases of the stand-in for the platform's store
 */
#ifndef STANDIN_PLATFORM_LEASE_H
#define STANDIN_PLATFORM_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "fake/kv.h"

/** Maximum number of leases; a further one replaces the oldest. */
#define PLATFORM_LEASES_MAX 64

/**
 * struct platform_lease - a lease
 * @id: its ID; 0 for an unused entry or after it has expired
 * @ttl_ms: time to live after it was granted or renewed, ms
 * @expiry_ms: time when it expires, ms
 * @is_foreign: it belongs to another client than the instances
 */
struct platform_lease {
	int64_t id;
	int ttl_ms;
	uint64_t expiry_ms;
	bool is_foreign;
};

/**
 * struct platform_leases - all leases
 * @items: the leases and unused entries
 * @granted_count: number of leases granted since the leases were last lost
 * @lost_count: number of leases granted before that
 * @foreign_renewals: number of renewals of leases of another client
 */
struct platform_leases {
	struct platform_lease items[PLATFORM_LEASES_MAX];
	int64_t granted_count;
	int64_t lost_count;
	int foreign_renewals;
};

/** platform_lease_grant() - create a lease; returns its ID */
int64_t platform_lease_grant(struct platform_leases *leases, int ttl_ms);

/** platform_lease_grant_foreign() - grant another client all numbers of lost
 * leases that are not yet assigned again */
void platform_lease_grant_foreign(struct platform_leases *leases, int ttl_ms);

/** platform_leases_lose() - lose all leases; their numbers are assigned again
 */
void platform_leases_lose(struct platform_leases *leases);

/** platform_lease_renew() - renew a lease; returns its time to live in ms, or 0
 * when it has expired */
int platform_lease_renew(struct platform_leases *leases, int64_t id);

/** platform_lease_exists() - whether a lease has not expired yet */
bool platform_lease_exists(struct platform_leases *leases, int64_t id);

/** platform_leases_expire() - remove expired leases and their keys */
void platform_leases_expire(struct platform_leases *leases, struct fake_kv *kv,
			    uint64_t now_ms);

#endif
