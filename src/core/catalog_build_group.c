#include "catalog_build.h"
#include "chervilmast/error.h"
#include "test_switch.h"

static bool domain_in_use(const struct cm_catalog *catalog, const char *name)
{
	for (uint32_t i = 0; i < catalog->server_count; i++)
		if (!catalog->servers[i].withdrawn_at_s &&
		    cm_name_equal(catalog->servers[i].spec.domain, name))
			return true;
	return false;
}

/* @index: index of the domain with the name in @spec, or CM_NONE. */
static int add_domain(struct cm_build *build, uint32_t index,
		      const struct cm_domain_spec *spec)
{
	struct cm_catalog *next = build->next;

	if (index == CM_NONE)
		index = next->domain_count++;
	else if (!next->domains[index].withdrawn_at_s)
		return CM_E_EXISTS;
	next->domains[index].spec = *spec;
	next->domains[index].withdrawn_at_s = 0;
	return CM_OK;
}

int cm_build_apply_domain(struct cm_build *build,
			  const struct cm_domain_change *entry)
{
	struct cm_catalog *next = build->next;
	uint32_t i = cm_catalog_find_domain(next, entry->spec.name);

	if (entry->change == CM_CHANGE_ADD)
		return add_domain(build, i, &entry->spec);
	if (i == CM_NONE || next->domains[i].withdrawn_at_s)
		return CM_E_UNKNOWN_DOMAIN;
	if (entry->change == CM_CHANGE_UPDATE) {
		next->domains[i].spec = entry->spec;
		return CM_OK;
	}
	if (domain_in_use(next, entry->spec.name))
		return CM_E_IN_USE;
	next->domains[i].withdrawn_at_s = build->published_at_s;
	return CM_OK;
}

static bool service_address_taken(const struct cm_catalog *catalog,
				  const struct cm_service_spec *spec)
{
	if (cm_switched_off(CM_SWITCH_ADDRESS_CHECK))
		return false;
	for (uint32_t i = 0; i < catalog->service_count; i++) {
		const struct cm_service_spec *other =
			&catalog->services[i].spec;

		if (cm_endpoint_equal(&other->address, &spec->address) &&
		    !cm_name_equal(other->name, spec->name))
			return true;
	}
	return false;
}

static bool service_in_use(const struct cm_catalog *catalog, const char *name)
{
	for (uint32_t i = 0; i < catalog->server_count; i++)
		if (!catalog->servers[i].withdrawn_at_s &&
		    cm_name_equal(catalog->servers[i].spec.service, name))
			return true;
	return false;
}

void cm_build_merge_address(struct cm_endpoint *to,
			    const struct cm_endpoint *from, uint32_t fields)
{
	if (fields & CM_FIELD_ADDRESS)
		to->address = from->address;
	if (fields & CM_FIELD_PORT)
		to->port = from->port;
	if (fields & CM_FIELD_PROTOCOL)
		to->protocol = from->protocol;
}

/* @index: index of the service with the name in @spec, or CM_NONE. */
static int add_service(struct cm_build *build, uint32_t index,
		       const struct cm_service_spec *spec)
{
	struct cm_catalog *next = build->next;

	if (service_address_taken(next, spec))
		return CM_E_ADDRESS_TAKEN;
	if (index == CM_NONE) {
		next->services[next->service_count].spec = *spec;
		cm_name_index_add(&build->service_names, next->service_count++);
		return CM_OK;
	}
	if (!next->services[index].withdrawn_at_s)
		return CM_E_EXISTS;
	/* Flows of its withdrawn servers still arrive at the old address. */
	if (!cm_endpoint_equal(&next->services[index].spec.address,
			       &spec->address))
		return CM_E_IN_USE;
	next->services[index].spec = *spec;
	next->services[index].withdrawn_at_s = 0;
	return CM_OK;
}

static int update_service(struct cm_service_spec *spec,
			  const struct cm_service_change *entry)
{
	struct cm_endpoint address = spec->address;

	cm_build_merge_address(&address, &entry->spec.address, entry->fields);
	/* Its flows still arrive at the old address. */
	if (!cm_endpoint_equal(&spec->address, &address))
		return CM_E_IN_USE;
	if (entry->fields & CM_FIELD_IDLE_TIMEOUT)
		spec->idle_timeout_s = entry->spec.idle_timeout_s;
	return CM_OK;
}

int cm_build_apply_service(struct cm_build *build,
			   const struct cm_service_change *entry)
{
	struct cm_catalog *next = build->next;
	uint32_t i =
		cm_name_index_find(&build->service_names, entry->spec.name);

	if (entry->change == CM_CHANGE_ADD)
		return add_service(build, i, &entry->spec);
	if (i == CM_NONE || next->services[i].withdrawn_at_s)
		return CM_E_UNKNOWN_SERVICE;
	if (entry->change == CM_CHANGE_UPDATE)
		return update_service(&next->services[i].spec, entry);
	if (service_in_use(next, entry->spec.name))
		return CM_E_IN_USE;
	next->services[i].withdrawn_at_s = build->published_at_s;
	return CM_OK;
}
