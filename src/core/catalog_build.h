/**
 * DOC: Building the next version of a catalog
 *
 * catalog_apply.c runs the steps in these files: catalog_build.c copies the
 * items that remain from the base and, as the last step, sets all indices;
 * catalog_build_group.c applies the entries of failure domains and services;
 * catalog_build_server.c applies the entries of backend servers.
 */
#ifndef CORE_CATALOG_BUILD_H
#define CORE_CATALOG_BUILD_H

#include "chervilmast/catalog.h"
#include "name_index.h"

/**
 * struct cm_build - state of building a catalog
 * @base: the catalog that the release note applies to
 * @next: the catalog being built
 * @published_at_s: time of publication of the note, seconds since the epoch
 * @copied_server_count: number of servers copied from @base; the note's new
 *                       servers follow them in @next
 * @service_names: services of @next by name
 * @server_names: servers of @next by name
 */
struct cm_build {
	const struct cm_catalog *base;
	struct cm_catalog *next;
	uint64_t published_at_s;
	uint32_t copied_server_count;
	struct cm_name_index service_names;
	struct cm_name_index server_names;
};

/**
 * cm_build_copy() - copy the items that remain from the base
 * @build: the build; its next catalog is initialized
 * @note: the note that will be applied; room for its entries is allocated
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_build_copy(struct cm_build *build, const struct cm_note *note);

/**
 * cm_build_index_names() - index services and servers by name
 * @build: the build, after cm_build_copy()
 * @note: the note that will be applied; room for its entries is allocated
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_build_index_names(struct cm_build *build, const struct cm_note *note);

/**
 * cm_build_link() - sort the servers by service and set all item indices
 * @build: the build, with the whole note applied
 */
void cm_build_link(struct cm_build *build);

/**
 * cm_build_server_is_expired() - whether a server's retention is over
 * @server: a server of the base
 * @published_at_s: time of publication of the note, seconds since the epoch
 *
 * Return: true when the server is dropped from the next catalog.
 */
bool cm_build_server_is_expired(const struct cm_server *server,
				uint64_t published_at_s);

/**
 * cm_build_apply_domain() - apply the entry of a failure domain
 * @build: the build
 * @entry: the entry
 *
 * Return: 0, CM_E_EXISTS, CM_E_UNKNOWN_DOMAIN or CM_E_IN_USE.
 */
int cm_build_apply_domain(struct cm_build *build,
			  const struct cm_domain_change *entry);

/**
 * cm_build_apply_service() - apply the entry of a service
 * @build: the build
 * @entry: the entry
 *
 * Return: 0, CM_E_EXISTS, CM_E_ADDRESS_TAKEN, CM_E_UNKNOWN_SERVICE or
 * CM_E_IN_USE.
 */
int cm_build_apply_service(struct cm_build *build,
			   const struct cm_service_change *entry);

/**
 * cm_build_apply_server() - apply the entry of a backend server
 * @build: the build
 * @entry: the entry
 *
 * Return: 0, CM_E_EXISTS, CM_E_UNKNOWN_SERVER, CM_E_UNKNOWN_SERVICE,
 * CM_E_UNKNOWN_DOMAIN, CM_E_PROTOCOL_DIFFERS, CM_E_ADDRESS_TAKEN or
 * CM_E_IN_USE.
 */
int cm_build_apply_server(struct cm_build *build,
			  const struct cm_server_change *entry);

/**
 * cm_build_merge_address() - copy the parts of an address that an entry sets
 * @to: the address to update
 * @from: the address of the entry
 * @fields: CM_FIELD_ bits that the entry sets
 */
void cm_build_merge_address(struct cm_endpoint *to,
			    const struct cm_endpoint *from, uint32_t fields);

#endif
