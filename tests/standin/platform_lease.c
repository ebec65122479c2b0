#include "standin/platform_lease.h"

#include <stddef.h>

#include "ports/clock.h"

#define FIRST_LEASE 7000

static struct platform_lease *find(struct platform_leases *leases, int64_t id)
{
	for (int i = 0; i < PLATFORM_LEASES; i++)
		if (id && leases->items[i].id == id)
			return &leases->items[i];
	return NULL;
}

int64_t platform_lease_grant(struct platform_leases *leases, int ttl_ms)
{
	struct platform_lease *lease =
		&leases->items[leases->granted % PLATFORM_LEASES];

	lease->id = FIRST_LEASE + leases->granted++;
	lease->ttl_ms = ttl_ms;
	lease->end_ms = cm_clock_ms() + (uint64_t)ttl_ms;
	return lease->id;
}

int platform_lease_keep(struct platform_leases *leases, int64_t id)
{
	struct platform_lease *lease = find(leases, id);

	if (!lease)
		return 0;
	lease->end_ms = cm_clock_ms() + (uint64_t)lease->ttl_ms;
	return lease->ttl_ms;
}

bool platform_lease_holds(struct platform_leases *leases, int64_t id)
{
	return find(leases, id) != NULL;
}

void platform_lease_end(struct platform_leases *leases, struct fake_kv *kv,
			uint64_t now_ms)
{
	for (int i = 0; i < PLATFORM_LEASES; i++) {
		struct platform_lease *lease = &leases->items[i];

		if (!lease->id || now_ms < lease->end_ms)
			continue;
		fake_kv_erase_lease(kv, lease->id);
		lease->id = 0;
	}
}
