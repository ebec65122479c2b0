/**
 * DOC: Failure domains known to an instance that steers by token
 */
#ifndef CHERVILMAST_STEER_DOMAIN_H
#define CHERVILMAST_STEER_DOMAIN_H

#include <stdint.h>

/**
 * Maximum number of failure domains that an instance records; further ones are
 * ignored.
 */
#define CM_STEER_DOMAINS_MAX 32

/**
 * struct cm_steer_domain - a failure domain
 * @hash: hash of its name
 * @instances: number of instances in it
 * @answered_ms: when one of its servers last answered a SYN of this instance,
 *               ms; 0 for never
 */
struct cm_steer_domain {
	uint64_t hash;
	uint32_t instances;
	uint64_t answered_ms;
};

/**
 * struct cm_steer_domains - the known failure domains
 * @items: the domains
 * @count: number of @items
 */
struct cm_steer_domains {
	struct cm_steer_domain items[CM_STEER_DOMAINS_MAX];
	uint32_t count;
};

/**
 * cm_steer_domains_find() - find a failure domain
 * @domains: the domains
 * @hash: hash of the domain's name
 *
 * Return: index of the domain, or @domains->count when it is not known.
 */
uint32_t cm_steer_domains_find(const struct cm_steer_domains *domains,
			       uint64_t hash);

/**
 * cm_steer_domains_find_or_add() - find a failure domain, adding it when it is
 * not known
 * @domains: the domains
 * @hash: hash of the domain's name
 *
 * Return: the domain, or NULL when there is no room.
 */
struct cm_steer_domain *
cm_steer_domains_find_or_add(struct cm_steer_domains *domains, uint64_t hash);

#endif
