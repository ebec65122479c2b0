/**
 * DOC: Leases of the stand-in for the key-value service
 *
 * Keys that were put with a lease are removed when the lease expires or is
 * revoked. All functions are called with the lock of the store held.
 */
#ifndef STANDIN_STORE_LEASE_H
#define STANDIN_STORE_LEASE_H

#include "standin/store_service.h"

/**
 * struct standin_lease - a lease
 * @link: list of the store's leases
 * @id: its ID
 * @ttl_s: time to live after it was granted or renewed, seconds
 * @expiry_ms: time when it expires, by the store's clock for leases, ms
 */
struct standin_lease {
	LIST_ENTRY(standin_lease) link;
	int64_t id;
	int64_t ttl_s;
	uint64_t expiry_ms;
};

/**
 * standin_lease_grant() - create a lease
 * @store: the store
 * @id: its ID; 0 for any
 * @ttl_s: its time to live, seconds; raised to 1 s if shorter
 *
 * Return: the lease, or NULL when there is already one with the ID.
 */
struct standin_lease *standin_lease_grant(struct standin_store *store,
					  int64_t id, int64_t ttl_s);

/**
 * standin_lease_find() - look a lease up
 * @store: the store
 * @id: its ID
 *
 * Return: the lease or NULL.
 */
struct standin_lease *standin_lease_find(const struct standin_store *store,
					 int64_t id);

/**
 * standin_lease_renew() - restart the time to live of a lease
 * @store: the store
 * @lease: the lease
 */
void standin_lease_renew(const struct standin_store *store,
			 struct standin_lease *lease);

/**
 * standin_lease_remove() - remove a lease and its keys
 * @store: the store
 * @lease: the lease; it is freed
 */
void standin_lease_remove(struct standin_store *store,
			  struct standin_lease *lease);

/**
 * standin_leases_expire() - remove expired leases and their keys
 * @store: the store
 */
void standin_leases_expire(struct standin_store *store);

/**
 * standin_leases_finish() - free all leases, leaving their keys
 * @store: the store
 */
void standin_leases_finish(struct standin_store *store);

#endif
