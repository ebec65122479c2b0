/**
 * DOC: Homes of backend servers
 *
 * The home of a backend server is the instance that admits connections to it:
 * the first alive instance of the server's failure domain in rendezvous order,
 * or the first leaving one if none is alive. The successor is the next instance
 * in the same order, which takes over if the home fails.
 */
#ifndef CHERVILMAST_HOMES_H
#define CHERVILMAST_HOMES_H

#include "chervilmast/catalog.h"
#include "chervilmast/member.h"

/**
 * struct cm_home - home of a backend server and its successor
 * @member: index of the home among the members, or CM_NONE
 * @successor: index of the instance that takes over if the home fails, or
 *             CM_NONE
 */
struct cm_home {
	uint32_t member;
	uint32_t successor;
};

/**
 * cm_homes_compute() - compute the home of each server of a catalog
 * @homes: set to an array with one element for each server of the catalog; the
 *         calling function frees it with free(). Undefined on failure.
 * @catalog: the catalog
 * @members: all known instances
 * @count: number of @members
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_homes_compute(struct cm_home **homes, const struct cm_catalog *catalog,
		     const struct cm_member *members, uint32_t count);

#endif
