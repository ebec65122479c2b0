#include "catalog_build.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "test_switch.h"

bool cm_build_server_is_expired(const struct cm_server *server,
				uint64_t published_at_s)
{
	if (cm_switched_off(CM_SWITCH_WITHDRAWN_KEPT))
		return server->withdrawn_at_s;
	return server->withdrawn_at_s &&
	       server->withdrawn_at_s + CM_WITHDRAWN_RETENTION_S <=
		       published_at_s;
}

/* Allocates room for all items of @base and all entries of @note. */
static int catalog_allocate(struct cm_catalog *next,
			    const struct cm_catalog *base,
			    const struct cm_note *note)
{
	size_t domains = base->domain_count + note->domain_count;
	size_t services = base->service_count + note->service_count;
	size_t servers = base->server_count + note->server_count;

	cm_catalog_init(next);
	next->version = note->version;
	next->published_at_s = note->published_at_s;
	memcpy(next->publication_id, note->publication_id,
	       CM_PUBLICATION_ID_SIZE);
	next->domains = calloc(domains + 1, sizeof(*next->domains));
	next->services = calloc(services + 1, sizeof(*next->services));
	next->servers = calloc(servers + 1, sizeof(*next->servers));
	if (!next->domains || !next->services || !next->servers)
		return CM_E_MEMORY;
	return CM_OK;
}

/*
 * Copies the items of the base that remain. A withdrawn service or domain
 * remains until the retention of its last withdrawn server is over.
 */
static void build_copy_items(struct cm_build *build, uint32_t *service_used,
			     uint32_t *domain_used)
{
	const struct cm_catalog *base = build->base;
	struct cm_catalog *next = build->next;

	for (uint32_t i = 0; i < base->server_count; i++) {
		const struct cm_server *server = &base->servers[i];

		if (cm_build_server_is_expired(server, build->published_at_s))
			continue;
		next->servers[next->server_count++] = *server;
		service_used[server->service]++;
		domain_used[server->domain]++;
	}
	for (uint32_t i = 0; i < base->service_count; i++)
		if (service_used[i] || !base->services[i].withdrawn_at_s)
			next->services[next->service_count++] =
				base->services[i];
	for (uint32_t i = 0; i < base->domain_count; i++)
		if (domain_used[i] || !base->domains[i].withdrawn_at_s)
			next->domains[next->domain_count++] = base->domains[i];
	build->copied_server_count = next->server_count;
}

int cm_build_copy(struct cm_build *build, const struct cm_note *note)
{
	const struct cm_catalog *base = build->base;
	uint32_t *service_used =
		calloc(base->service_count + 1, sizeof(*service_used));
	uint32_t *domain_used =
		calloc(base->domain_count + 1, sizeof(*domain_used));
	int error = catalog_allocate(build->next, base, note);

	if (!service_used || !domain_used)
		error = CM_E_MEMORY;
	if (!error)
		build_copy_items(build, service_used, domain_used);
	free(service_used);
	free(domain_used);
	return error;
}

int cm_build_index_names(struct cm_build *build, const struct cm_note *note)
{
	const struct cm_catalog *next = build->next;
	int error = cm_name_index_init(
		&build->service_names, next->services, sizeof(*next->services),
		next->service_count,
		next->service_count + (uint32_t)note->service_count);

	if (error)
		return error;
	return cm_name_index_init(&build->server_names, next->servers,
				  sizeof(*next->servers), next->server_count,
				  next->server_count +
					  (uint32_t)note->server_count);
}

static int compare_servers(const void *left, const void *right)
{
	const struct cm_server *a = left;
	const struct cm_server *b = right;

	if (a->service != b->service)
		return a->service < b->service ? -1 : 1;
	return strncmp(a->spec.name, b->spec.name, CM_NAME_SIZE);
}

void cm_build_link(struct cm_build *build)
{
	struct cm_catalog *next = build->next;

	for (uint32_t i = 0; i < next->server_count; i++) {
		struct cm_server *server = &next->servers[i];

		server->service = cm_name_index_find(&build->service_names,
						     server->spec.service);
		server->domain =
			cm_catalog_find_domain(next, server->spec.domain);
		server->hash = cm_endpoint_hash(&server->spec.address);
	}
	qsort(next->servers, next->server_count, sizeof(*next->servers),
	      compare_servers);
	for (uint32_t i = 0; i < next->service_count; i++)
		next->services[i].server_count = 0;
	for (uint32_t i = 0; i < next->server_count; i++) {
		struct cm_service *service =
			&next->services[next->servers[i].service];

		if (!service->server_count)
			service->first_server = i;
		service->server_count++;
	}
}
