#include "chervilmast/homes.h"

#include <stdlib.h>

#include "chervilmast/error.h"

/**
 * struct home_candidate - an instance that may become a home in its domain
 * @member: index of the instance among the members
 * @hash: hash of its data address
 */
struct home_candidate {
	uint32_t member;
	uint64_t hash;
};

/**
 * struct domain_candidates - the instances that may become a home in one domain
 * @candidates: the instances
 * @count: number of @candidates
 */
struct domain_candidates {
	struct home_candidate *candidates;
	uint32_t count;
};

static void domain_add_candidates(struct domain_candidates *domain,
				  const struct cm_member *members,
				  uint32_t count, const char *name,
				  enum cm_member_state state)
{
	for (uint32_t i = 0; i < count; i++) {
		struct home_candidate *next =
			&domain->candidates[domain->count];

		if (members[i].state != state ||
		    !cm_name_equal(members[i].domain, name))
			continue;
		next->member = i;
		next->hash = cm_endpoint_hash(&members[i].data_address);
		domain->count++;
	}
}

/*
 * All instances have the same weight, so their rendezvous order is the
 * descending order of the combined hash of server and instance.
 */
static struct cm_home choose_home(const struct domain_candidates *domain,
				  uint64_t server_hash)
{
	struct cm_home home = { .member = CM_NONE, .successor = CM_NONE };
	uint64_t highest = 0, second_highest = 0;

	for (uint32_t i = 0; i < domain->count; i++) {
		uint64_t hash =
			cm_hash_mix(server_hash, domain->candidates[i].hash);

		if (home.member == CM_NONE || hash > highest) {
			home.successor = home.member;
			second_highest = highest;
			home.member = domain->candidates[i].member;
			highest = hash;
		} else if (home.successor == CM_NONE || hash > second_highest) {
			home.successor = domain->candidates[i].member;
			second_highest = hash;
		}
	}
	return home;
}

/*
 * Stores the alive instances of each failure domain, or the leaving ones if
 * none is alive, in successive parts of @storage.
 */
static void group_candidates(struct domain_candidates *domains,
			     struct home_candidate *storage,
			     const struct cm_catalog *catalog,
			     const struct cm_member *members, uint32_t count)
{
	for (uint32_t i = 0; i < catalog->domain_count; i++) {
		const char *name = catalog->domains[i].spec.name;

		domains[i].candidates = storage;
		domain_add_candidates(&domains[i], members, count, name,
				      CM_MEMBER_ALIVE);
		if (!domains[i].count)
			domain_add_candidates(&domains[i], members, count, name,
					      CM_MEMBER_LEAVING);
		storage += domains[i].count;
	}
}

int cm_homes_compute(struct cm_home **homes, const struct cm_catalog *catalog,
		     const struct cm_member *members, uint32_t count)
{
	struct domain_candidates *domains =
		calloc(catalog->domain_count + 1, sizeof(*domains));
	struct home_candidate *storage = calloc(count + 1, sizeof(*storage));

	*homes = calloc(catalog->server_count + 1, sizeof(**homes));
	if (!domains || !storage || !*homes) {
		free(domains);
		free(storage);
		free(*homes);
		return CM_E_MEMORY;
	}
	group_candidates(domains, storage, catalog, members, count);
	for (uint32_t i = 0; i < catalog->server_count; i++)
		(*homes)[i] = choose_home(&domains[catalog->servers[i].domain],
					  catalog->servers[i].hash);
	free(domains);
	free(storage);
	return CM_OK;
}
