#include "standin/platform_lease.h"

#include <stddef.h>
#include <string.h>

#include "ports/clock.h"

#define FIRST_LEASE_ID 7000

static struct platform_lease *find(struct platform_leases *leases, int64_t id)
{
	for (int i = 0; i < PLATFORM_LEASES_MAX; i++)
		if (id && leases->items[i].id == id)
			return &leases->items[i];
	return NULL;
}

int64_t platform_lease_grant(struct platform_leases *leases, int ttl_ms)
{
	struct platform_lease *lease =
		&leases->items[leases->granted_count % PLATFORM_LEASES_MAX];

	lease->id = FIRST_LEASE_ID + leases->granted_count++;
	lease->ttl_ms = ttl_ms;
	lease->is_foreign = false;
	lease->expiry_ms = cm_clock_ms() + (uint64_t)ttl_ms;
	return lease->id;
}

void platform_lease_grant_foreign(struct platform_leases *leases, int ttl_ms)
{
	while (leases->granted_count < leases->lost_count)
		find(leases, platform_lease_grant(leases, ttl_ms))->is_foreign =
			true;
}

void platform_leases_lose(struct platform_leases *leases)
{
	memset(leases->items, 0, sizeof(leases->items));
	leases->lost_count = leases->granted_count;
	leases->granted_count = 0;
}

int platform_lease_renew(struct platform_leases *leases, int64_t id)
{
	struct platform_lease *lease = find(leases, id);

	if (!lease)
		return 0;
	leases->foreign_renewals += lease->is_foreign;
	lease->expiry_ms = cm_clock_ms() + (uint64_t)lease->ttl_ms;
	return lease->ttl_ms;
}

bool platform_lease_exists(struct platform_leases *leases, int64_t id)
{
	return find(leases, id) != NULL;
}

void platform_leases_expire(struct platform_leases *leases, struct fake_kv *kv,
			    uint64_t now_ms)
{
	for (int i = 0; i < PLATFORM_LEASES_MAX; i++) {
		struct platform_lease *lease = &leases->items[i];

		if (!lease->id || now_ms < lease->expiry_ms)
			continue;
		fake_kv_erase_lease(kv, lease->id);
		lease->id = 0;
	}
}
