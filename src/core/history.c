#include "chervilmast/history.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "chervilmast/rendezvous.h"

void cm_history_init(struct cm_history *history)
{
	memset(history, 0, sizeof(*history));
}

void cm_history_finish(struct cm_history *history)
{
	for (uint32_t i = 0; i < history->count; i++)
		for (uint32_t k = 0; k < CM_HISTORY_SETS_MAX; k++)
			free(history->services[i].sets[k].servers);
	free(history->services);
	cm_history_init(history);
}

static int candidate_set_from_catalog(struct cm_candidate_set *set,
				      const struct cm_catalog *catalog,
				      uint32_t service)
{
	const struct cm_service *from = &catalog->services[service];

	set->count = 0;
	set->servers = calloc(from->server_count + 1, sizeof(*set->servers));
	if (!set->servers)
		return CM_E_MEMORY;
	for (uint32_t i = 0; i < from->server_count; i++) {
		const struct cm_server *server =
			&catalog->servers[from->first_server + i];

		if (!cm_catalog_is_candidate(catalog, from->first_server + i))
			continue;
		set->servers[set->count].address = server->spec.address;
		set->servers[set->count].hash = server->hash;
		set->servers[set->count].slots = server->spec.slots;
		set->count++;
	}
	return CM_OK;
}

static bool server_equal(const struct cm_catalog *a, uint32_t i,
			 const struct cm_catalog *b, uint32_t k)
{
	return a->servers[i].hash == b->servers[k].hash &&
	       a->servers[i].spec.slots == b->servers[k].spec.slots &&
	       cm_catalog_is_candidate(a, i) == cm_catalog_is_candidate(b, k);
}

/*
 * Whether a service has the same servers in both catalogs, with the same
 * weights, and the same ones are candidates. If so, no candidate set is added.
 */
static bool service_is_unchanged(const struct cm_catalog *base,
				 uint32_t base_service,
				 const struct cm_catalog *catalog,
				 uint32_t service)
{
	const struct cm_service *a = &base->services[base_service];
	const struct cm_service *b = &catalog->services[service];

	if (a->server_count != b->server_count)
		return false;
	for (uint32_t i = 0; i < a->server_count; i++)
		if (!server_equal(base, a->first_server + i, catalog,
				  b->first_server + i))
			return false;
	return true;
}

static int candidate_set_copy(struct cm_candidate_set *to,
			      const struct cm_candidate_set *from)
{
	to->servers = calloc(from->count + 1, sizeof(*to->servers));
	if (!to->servers)
		return CM_E_MEMORY;
	if (from->count)
		memcpy(to->servers, from->servers,
		       from->count * sizeof(*to->servers));
	to->count = from->count;
	return CM_OK;
}

static int service_copy_sets(struct cm_history_service *to,
			     const struct cm_history_service *from)
{
	for (uint32_t k = 0; k < from->count && to->count < CM_HISTORY_SETS_MAX;
	     k++) {
		int error = candidate_set_copy(&to->sets[to->count],
					       &from->sets[k]);

		if (error)
			return error;
		to->count++;
	}
	return CM_OK;
}

static int service_advance(struct cm_history_service *to,
			   const struct cm_history *history,
			   const struct cm_catalog *base,
			   const struct cm_catalog *catalog, uint32_t service)
{
	uint32_t base_service;
	int error = CM_OK;

	to->service = catalog->services[service].spec.address;
	base_service = cm_catalog_find_service(base, &to->service);
	if (base_service == CM_NONE)
		return CM_OK;
	if (!service_is_unchanged(base, base_service, catalog, service)) {
		error = candidate_set_from_catalog(&to->sets[0], base,
						   base_service);
		if (error)
			return error;
		to->count = 1;
	}
	if (base_service < history->count)
		error = service_copy_sets(to, &history->services[base_service]);
	return error;
}

int cm_history_advance(struct cm_history *next,
		       const struct cm_history *history,
		       const struct cm_catalog *base,
		       const struct cm_catalog *catalog)
{
	int error = CM_OK;

	cm_history_init(next);
	next->services =
		calloc(catalog->service_count + 1, sizeof(*next->services));
	if (!next->services)
		return CM_E_MEMORY;
	next->count = catalog->service_count;
	for (uint32_t i = 0; i < next->count && !error; i++)
		error = service_advance(&next->services[i], history, base,
					catalog, i);
	if (error)
		cm_history_finish(next);
	return error;
}

int cm_history_init_services(struct cm_history *history,
			     const struct cm_catalog *catalog)
{
	cm_history_init(history);
	history->services =
		calloc(catalog->service_count + 1, sizeof(*history->services));
	if (!history->services)
		return CM_E_MEMORY;
	history->count = catalog->service_count;
	for (uint32_t i = 0; i < history->count; i++)
		history->services[i].service =
			catalog->services[i].spec.address;
	return CM_OK;
}

int cm_history_append(struct cm_history *history,
		      const struct cm_catalog *catalog,
		      const struct cm_endpoint *service,
		      const struct cm_history_server *servers, uint32_t count)
{
	struct cm_candidate_set from = {
		.servers = (struct cm_history_server *)servers,
		.count = count,
	};
	uint32_t i = cm_catalog_find_service(catalog, service);
	struct cm_history_service *to;
	struct cm_candidate_set *set;

	if (i == CM_NONE)
		return CM_E_UNKNOWN_SERVICE;
	to = &history->services[i];
	if (to->count == CM_HISTORY_SETS_MAX)
		return CM_E_TOO_LARGE;
	set = &to->sets[to->count];
	if (candidate_set_copy(set, &from))
		return CM_E_MEMORY;
	to->count++;
	for (uint32_t k = 0; k < count; k++)
		set->servers[k].hash =
			cm_endpoint_hash(&set->servers[k].address);
	return CM_OK;
}

const struct cm_history_server *
cm_history_first_candidate(const struct cm_history *history, uint32_t service,
			   uint32_t set, uint64_t flow_hash)
{
	const struct cm_history_server *best = NULL;
	const struct cm_candidate_set *candidates;
	uint64_t best_score = 0;

	if (service >= history->count ||
	    set >= history->services[service].count)
		return NULL;
	candidates = &history->services[service].sets[set];
	for (uint32_t i = 0; i < candidates->count; i++) {
		uint64_t score = cm_rendezvous_score(
			flow_hash, candidates->servers[i].hash,
			cm_rendezvous_scale(candidates->servers[i].slots));

		if (score <= best_score)
			continue;
		best_score = score;
		best = &candidates->servers[i];
	}
	return best;
}
