#include "chervilmast/steer_domain.h"

#include <stddef.h>

uint32_t cm_steer_domains_find(const struct cm_steer_domains *domains,
			       uint64_t hash)
{
	uint32_t index = 0;

	while (index < domains->count && domains->items[index].hash != hash)
		index++;
	return index;
}

struct cm_steer_domain *
cm_steer_domains_find_or_add(struct cm_steer_domains *domains, uint64_t hash)
{
	uint32_t index = cm_steer_domains_find(domains, hash);

	if (index == CM_STEER_DOMAINS_MAX)
		return NULL;
	if (index == domains->count) {
		domains->items[index].hash = hash;
		domains->count++;
	}
	return &domains->items[index];
}
