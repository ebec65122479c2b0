#include "chervilmast/steer_domain.h"

#include <stddef.h>

uint32_t cm_steer_domains_find(const struct cm_steer_domains *domains,
			       uint64_t hash)
{
	uint32_t place = 0;

	while (place < domains->count && domains->items[place].hash != hash)
		place++;
	return place;
}

struct cm_steer_domain *cm_steer_domains_get(struct cm_steer_domains *domains,
					     uint64_t hash)
{
	uint32_t place = cm_steer_domains_find(domains, hash);

	if (place == CM_STEER_DOMAINS_MAX)
		return NULL;
	if (place == domains->count) {
		domains->items[place].hash = hash;
		domains->count++;
	}
	return &domains->items[place];
}
