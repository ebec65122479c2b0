#include "catalog_build.h"

#include <string.h>

#include "chervilmast/error.h"
#include "test_switch.h"

/* Returns an error if two servers of different names have one address. */
static int check_address_conflict(const struct cm_server_spec *other,
				  const struct cm_server_spec *spec)
{
	if (!cm_endpoint_equal(&other->address, &spec->address) ||
	    cm_name_equal(other->name, spec->name))
		return CM_OK;
	if (!cm_name_equal(other->service, spec->service))
		return CM_E_ADDRESS_TAKEN;
	return CM_E_EXISTS;
}

/*
 * Returns an error if another server or a service has the address in @spec.
 * Servers copied from the base are looked up in the address index of the base,
 * which applies to them as the address of a server never changes. Servers that
 * the note added are compared one by one.
 */
static int check_server_address(const struct cm_build *build,
				const struct cm_server_spec *spec)
{
	const struct cm_catalog *next = build->next;
	uint32_t base_index =
		cm_catalog_find_server(build->base, &spec->address);
	int error = CM_OK;

	if (cm_switched_off(CM_SWITCH_ADDRESS_CHECK))
		return CM_OK;
	if (base_index != CM_NONE &&
	    !cm_build_server_is_expired(&build->base->servers[base_index],
					build->published_at_s))
		error = check_address_conflict(
			&build->base->servers[base_index].spec, spec);
	for (uint32_t i = build->copied_server_count;
	     i < next->server_count && !error; i++)
		error = check_address_conflict(&next->servers[i].spec, spec);
	for (uint32_t i = 0; i < next->service_count && !error; i++)
		if (cm_endpoint_equal(&next->services[i].spec.address,
				      &spec->address))
			error = CM_E_ADDRESS_TAKEN;
	return error;
}

static int check_server(const struct cm_build *build,
			const struct cm_server_spec *spec)
{
	const struct cm_catalog *next = build->next;
	uint32_t service =
		cm_name_index_find(&build->service_names, spec->service);
	uint32_t domain = cm_catalog_find_domain(next, spec->domain);

	if (service == CM_NONE || next->services[service].withdrawn_at_s)
		return CM_E_UNKNOWN_SERVICE;
	if (domain == CM_NONE || next->domains[domain].withdrawn_at_s)
		return CM_E_UNKNOWN_DOMAIN;
	if (next->services[service].spec.address.protocol !=
	    spec->address.protocol)
		return CM_E_PROTOCOL_DIFFERS;
	return check_server_address(build, spec);
}

/*
 * Updates a server, or adds a withdrawn one again. Its established flows are
 * bound to its address and service, so neither may change.
 */
static int update_server(struct cm_server *server,
			 const struct cm_server_spec *spec)
{
	if (!cm_endpoint_equal(&server->spec.address, &spec->address) ||
	    !cm_name_equal(server->spec.service, spec->service))
		return CM_E_IN_USE;
	server->spec = *spec;
	server->withdrawn_at_s = 0;
	return CM_OK;
}

static void server_merge(struct cm_server_spec *to,
			 const struct cm_server_change *entry)
{
	const struct cm_server_spec *from = &entry->spec;

	if (entry->fields & CM_FIELD_SERVICE)
		memcpy(to->service, from->service, CM_NAME_SIZE);
	if (entry->fields & CM_FIELD_DOMAIN)
		memcpy(to->domain, from->domain, CM_NAME_SIZE);
	cm_build_merge_address(&to->address, &from->address, entry->fields);
	if (entry->fields & CM_FIELD_SLOTS)
		to->slots = from->slots;
	if (entry->fields & CM_FIELD_MAX_CONNECTIONS)
		to->max_connections = from->max_connections;
	if (entry->fields & CM_FIELD_MAX_NEW)
		to->max_new_per_s = from->max_new_per_s;
	if (entry->fields & CM_FIELD_COLD_START)
		to->cold_start_s = from->cold_start_s;
	if (entry->fields & CM_FIELD_STATE)
		to->state = from->state;
}

/* @index: index of the server with the name in @entry, or CM_NONE. */
static int set_server(struct cm_build *build, uint32_t index,
		      const struct cm_server_change *entry)
{
	struct cm_catalog *next = build->next;
	struct cm_server_spec spec = entry->spec;
	int error;

	if (entry->change == CM_CHANGE_UPDATE) {
		spec = next->servers[index].spec;
		server_merge(&spec, entry);
	}
	error = check_server(build, &spec);
	if (error)
		return error;
	if (index != CM_NONE)
		return update_server(&next->servers[index], &spec);
	next->servers[next->server_count].spec = spec;
	cm_name_index_add(&build->server_names, next->server_count++);
	return CM_OK;
}

int cm_build_apply_server(struct cm_build *build,
			  const struct cm_server_change *entry)
{
	struct cm_catalog *next = build->next;
	uint32_t i = cm_name_index_find(&build->server_names, entry->spec.name);
	bool is_present = i != CM_NONE && !next->servers[i].withdrawn_at_s;

	if (entry->change == CM_CHANGE_ADD && is_present)
		return CM_E_EXISTS;
	if (entry->change != CM_CHANGE_ADD && !is_present)
		return CM_E_UNKNOWN_SERVER;
	if (entry->change != CM_CHANGE_WITHDRAW)
		return set_server(build, i, entry);
	next->servers[i].spec.state = CM_SERVER_WITHDRAWN;
	next->servers[i].withdrawn_at_s = build->published_at_s;
	return CM_OK;
}
