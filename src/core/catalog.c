#include "chervilmast/catalog.h"

#include <stdlib.h>
#include <string.h>

#include "catalog_internal.h"
#include "chervilmast/error.h"
#include "chervilmast/rendezvous.h"
#include "test_switch.h"

/* Minimum number of hash buckets per item, to keep probe sequences short. */
#define INDEX_BUCKETS_PER_ITEM 2

void cm_catalog_init(struct cm_catalog *catalog)
{
	memset(catalog, 0, sizeof(*catalog));
}

void cm_catalog_finish(struct cm_catalog *catalog)
{
	free(catalog->domains);
	free(catalog->services);
	free(catalog->servers);
	free(catalog->candidates);
	free(catalog->service_index);
	free(catalog->server_index);
	cm_catalog_init(catalog);
}

static uint32_t find_service_name(const struct cm_catalog *catalog,
				  const char *name)
{
	for (uint32_t i = 0; i < catalog->service_count; i++)
		if (cm_name_equal(catalog->services[i].spec.name, name))
			return i;
	return CM_NONE;
}

static uint32_t find_server_name(const struct cm_catalog *catalog,
				 const char *name)
{
	for (uint32_t i = 0; i < catalog->server_count; i++)
		if (cm_name_equal(catalog->servers[i].spec.name, name))
			return i;
	return CM_NONE;
}

uint32_t cm_catalog_find_domain(const struct cm_catalog *catalog,
				const char *name)
{
	for (uint32_t i = 0; i < catalog->domain_count; i++)
		if (cm_name_equal(catalog->domains[i].spec.name, name))
			return i;
	return CM_NONE;
}

uint32_t cm_catalog_find_service(const struct cm_catalog *catalog,
				 const struct cm_endpoint *address)
{
	uint32_t bucket, i;

	if (!catalog->service_index)
		return CM_NONE;
	bucket = cm_endpoint_hash(address) & catalog->index_mask;
	while ((i = catalog->service_index[bucket]) != CM_NONE) {
		if (cm_endpoint_equal(&catalog->services[i].spec.address,
				      address))
			return i;
		bucket = (bucket + 1) & catalog->index_mask;
	}
	return CM_NONE;
}

uint32_t cm_catalog_find_server(const struct cm_catalog *catalog,
				const struct cm_endpoint *address)
{
	uint32_t bucket, i;

	if (!catalog->server_index)
		return CM_NONE;
	bucket = cm_endpoint_hash(address) & catalog->index_mask;
	while ((i = catalog->server_index[bucket]) != CM_NONE) {
		if (cm_endpoint_equal(&catalog->servers[i].spec.address,
				      address))
			return i;
		bucket = (bucket + 1) & catalog->index_mask;
	}
	return CM_NONE;
}

bool cm_catalog_server_domain_is_in(const struct cm_catalog *catalog,
				    uint32_t server)
{
	uint32_t domain = catalog->servers[server].domain;

	if (cm_switched_off(CM_SWITCH_DOMAIN_CHECK))
		return true;
	return catalog->domains[domain].spec.state == CM_DOMAIN_IN;
}

bool cm_catalog_is_candidate(const struct cm_catalog *catalog, uint32_t server)
{
	return catalog->servers[server].spec.state != CM_SERVER_WITHDRAWN &&
	       cm_catalog_server_domain_is_in(catalog, server);
}

static void index_insert(uint32_t *index, uint32_t mask, uint64_t hash,
			 uint32_t item)
{
	uint32_t bucket = hash & mask;

	while (index[bucket] != CM_NONE)
		bucket = (bucket + 1) & mask;
	index[bucket] = item;
}

static void service_build_candidates(struct cm_catalog *catalog,
				     struct cm_service *service, uint32_t first)
{
	service->first_candidate = first;
	service->candidate_count = 0;
	for (uint32_t i = 0; i < service->server_count; i++) {
		uint32_t index = service->first_server + i;
		const struct cm_server *server = &catalog->servers[index];
		struct cm_candidate *candidate =
			&catalog->candidates[first + service->candidate_count];

		if (!cm_catalog_is_candidate(catalog, index))
			continue;
		candidate->hash = server->hash;
		candidate->scale = cm_rendezvous_scale(server->spec.slots);
		candidate->server = index;
		service->candidate_count++;
	}
}

static void catalog_build_candidates(struct cm_catalog *catalog)
{
	uint32_t first = 0;

	for (uint32_t i = 0; i < catalog->service_count; i++) {
		struct cm_service *service = &catalog->services[i];

		service_build_candidates(catalog, service, first);
		first += service->candidate_count;
	}
}

int cm_catalog_build_index(struct cm_catalog *catalog)
{
	uint32_t items = catalog->service_count > catalog->server_count ?
				 catalog->service_count :
				 catalog->server_count;
	uint32_t size = 1;

	while (size < items * INDEX_BUCKETS_PER_ITEM + 1)
		size *= 2;
	catalog->index_mask = size - 1;
	catalog->service_index = malloc(size * sizeof(uint32_t));
	catalog->server_index = malloc(size * sizeof(uint32_t));
	catalog->candidates =
		calloc(catalog->server_count + 1, sizeof(*catalog->candidates));
	if (!catalog->service_index || !catalog->server_index ||
	    !catalog->candidates)
		return CM_E_MEMORY;
	catalog_build_candidates(catalog);
	/* Sets all entries to CM_NONE. */
	memset(catalog->service_index, 0xff, size * sizeof(uint32_t));
	memset(catalog->server_index, 0xff, size * sizeof(uint32_t));
	for (uint32_t i = 0; i < catalog->service_count; i++)
		index_insert(
			catalog->service_index, catalog->index_mask,
			cm_endpoint_hash(&catalog->services[i].spec.address),
			i);
	for (uint32_t i = 0; i < catalog->server_count; i++)
		index_insert(catalog->server_index, catalog->index_mask,
			     catalog->servers[i].hash, i);
	return CM_OK;
}

int cm_catalog_set_withdrawn(struct cm_catalog *catalog, enum cm_note_list list,
			     const char *name, uint64_t withdrawn_at_s)
{
	uint32_t i;

	if (list == CM_NOTE_DOMAINS) {
		i = cm_catalog_find_domain(catalog, name);
		if (i == CM_NONE)
			return CM_E_UNKNOWN_DOMAIN;
		catalog->domains[i].withdrawn_at_s = withdrawn_at_s;
		return CM_OK;
	}
	if (list == CM_NOTE_SERVICES) {
		i = find_service_name(catalog, name);
		if (i == CM_NONE)
			return CM_E_UNKNOWN_SERVICE;
		catalog->services[i].withdrawn_at_s = withdrawn_at_s;
		return CM_OK;
	}
	i = find_server_name(catalog, name);
	if (i == CM_NONE)
		return CM_E_UNKNOWN_SERVER;
	catalog->servers[i].spec.state = CM_SERVER_WITHDRAWN;
	catalog->servers[i].withdrawn_at_s = withdrawn_at_s;
	/* A withdrawn server is not a candidate. */
	catalog_build_candidates(catalog);
	return CM_OK;
}
