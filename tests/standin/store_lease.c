#include "standin/store_lease.h"

#include <stdlib.h>

#include "ports/clock.h"

#define MS_PER_S 1000
/* Large, as the IDs that etcd assigns: a double cannot hold it exactly. */
#define FIRST_LEASE_ID 7587862072907233025

static uint64_t store_now_ms(const struct standin_store *store)
{
	return cm_clock_ms() + store->clock_ahead_ms;
}

struct standin_lease *standin_lease_find(const struct standin_store *store,
					 int64_t id)
{
	struct standin_lease *lease;

	LIST_FOREACH(lease, &store->leases, link)
	if (lease->id == id)
		return lease;
	return NULL;
}

void standin_lease_renew(const struct standin_store *store,
			 struct standin_lease *lease)
{
	lease->expiry_ms =
		store_now_ms(store) + (uint64_t)lease->ttl_s * MS_PER_S;
}

struct standin_lease *standin_lease_grant(struct standin_store *store,
					  int64_t id, int64_t ttl_s)
{
	struct standin_lease *lease;

	if (!id)
		id = FIRST_LEASE_ID + (int64_t)store->granted_count;
	if (standin_lease_find(store, id))
		return NULL;
	lease = calloc(1, sizeof(*lease));
	if (!lease)
		abort();
	store->granted_count++;
	lease->id = id;
	lease->ttl_s = ttl_s < 1 ? 1 : ttl_s;
	standin_lease_renew(store, lease);
	LIST_INSERT_HEAD(&store->leases, lease, link);
	return lease;
}

void standin_lease_remove(struct standin_store *store,
			  struct standin_lease *lease)
{
	fake_kv_erase_lease(&store->kv, lease->id);
	LIST_REMOVE(lease, link);
	free(lease);
}

void standin_leases_expire(struct standin_store *store)
{
	struct standin_lease *lease, *next;

	for (lease = LIST_FIRST(&store->leases); lease; lease = next) {
		next = LIST_NEXT(lease, link);
		if (store_now_ms(store) >= lease->expiry_ms)
			standin_lease_remove(store, lease);
	}
}

void standin_leases_finish(struct standin_store *store)
{
	struct standin_lease *lease;

	while ((lease = LIST_FIRST(&store->leases))) {
		LIST_REMOVE(lease, link);
		free(lease);
	}
}
