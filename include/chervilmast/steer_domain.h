/**
 * DOC: Failure domains as a node that steers by token sees them
 */
#ifndef CHERVILMAST_STEER_DOMAIN_H
#define CHERVILMAST_STEER_DOMAIN_H

#include <stdint.h>

/** Most failure domains that a node tells apart. */
#define CM_STEER_DOMAINS_MAX 32

/**
 * struct cm_steer_domain - a failure domain
 * @hash: hash of its name
 * @nodes: nodes of the fleet in it
 * @answered_ms: when one of its servers last answered; 0 for never
 */
struct cm_steer_domain {
	uint64_t hash;
	uint32_t nodes;
	uint64_t answered_ms;
};

/**
 * struct cm_steer_domains - the failure domains that are known
 * @items: the domains
 * @count: number of @items
 */
struct cm_steer_domains {
	struct cm_steer_domain items[CM_STEER_DOMAINS_MAX];
	uint32_t count;
};

/**
 * cm_steer_domains_find() - look for a failure domain
 * @domains: the domains
 * @hash: hash of its name
 *
 * Return: its place, or @domains->count when it is not there.
 */
uint32_t cm_steer_domains_find(const struct cm_steer_domains *domains,
			       uint64_t hash);

/**
 * cm_steer_domains_get() - look for a failure domain, and add it
 * @domains: the domains
 * @hash: hash of its name
 *
 * Return: the domain, or NULL when there is no room.
 */
struct cm_steer_domain *cm_steer_domains_get(struct cm_steer_domains *domains,
					     uint64_t hash);

#endif
