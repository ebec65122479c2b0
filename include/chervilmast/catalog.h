/**
 * DOC: Catalog
 *
 * The result of applying all release notes up to one version: failure domains,
 * services and their backend servers. A catalog is immutable once built;
 * applying the next note builds a new one. Items refer to each other by array
 * index, which is valid within one catalog only. The servers of a service are
 * adjacent.
 */
#ifndef CHERVILMAST_CATALOG_H
#define CHERVILMAST_CATALOG_H

#include <stdbool.h>

#include "chervilmast/note.h"

/** Index value that stands for no item. */
#define CM_NONE UINT32_MAX
/**
 * Minimum time for which a withdrawn server keeps its established flows,
 * seconds. The first note published after that time removes the server.
 */
#define CM_WITHDRAWN_RETENTION_S 86400

/**
 * struct cm_domain - a failure domain of a catalog
 * @spec: its settings
 * @withdrawn_at_s: when it was withdrawn, seconds since the epoch; 0 if not
 */
struct cm_domain {
	struct cm_domain_spec spec;
	uint64_t withdrawn_at_s;
};

/**
 * struct cm_service - a service of a catalog
 * @spec: its settings
 * @first_server: index of its first server
 * @server_count: number of its servers
 * @first_candidate: index of its first candidate in the catalog's candidates
 * @candidate_count: number of its candidates
 * @withdrawn_at_s: when it was withdrawn, seconds since the epoch; 0 if not
 */
struct cm_service {
	struct cm_service_spec spec;
	uint32_t first_server;
	uint32_t server_count;
	uint32_t first_candidate;
	uint32_t candidate_count;
	uint64_t withdrawn_at_s;
};

/**
 * struct cm_server - a backend server of a catalog
 * @spec: its settings
 * @service: index of its service
 * @domain: index of its failure domain
 * @hash: hash of its address
 * @withdrawn_at_s: when it was withdrawn, seconds since the epoch; 0 if not
 */
struct cm_server {
	struct cm_server_spec spec;
	uint32_t service;
	uint32_t domain;
	uint64_t hash;
	uint64_t withdrawn_at_s;
};

/**
 * struct cm_candidate - a server that flows may be hashed to
 * @hash: hash of its address
 * @scale: cm_rendezvous_scale() of its weight
 * @server: index of the server
 */
struct cm_candidate {
	uint64_t hash;
	uint32_t scale;
	uint32_t server;
};

/**
 * struct cm_catalog - all items at one version
 * @version: version of the last note; 0 for the empty catalog
 * @publication_id: publication id of the last note
 * @published_at_s: when the last note was published, seconds since the epoch
 * @domains: failure domains
 * @domain_count: number of @domains
 * @services: services
 * @service_count: number of @services
 * @servers: backend servers, sorted by service
 * @server_count: number of @servers
 * @candidates: servers that flows may be hashed to, sorted by service
 * @service_index: hash table of services by public address, open addressing
 * @server_index: hash table of servers by address, open addressing
 * @index_mask: size of each hash table minus one
 */
struct cm_catalog {
	uint64_t version;
	uint8_t publication_id[CM_PUBLICATION_ID_SIZE];
	uint64_t published_at_s;
	struct cm_domain *domains;
	uint32_t domain_count;
	struct cm_service *services;
	uint32_t service_count;
	struct cm_server *servers;
	uint32_t server_count;
	struct cm_candidate *candidates;
	uint32_t *service_index;
	uint32_t *server_index;
	uint32_t index_mask;
};

/**
 * cm_catalog_init() - initialize an empty catalog of version 0
 * @catalog: the catalog to initialize
 */
void cm_catalog_init(struct cm_catalog *catalog);

/**
 * cm_catalog_apply() - build the catalog that results from a release note
 * @next: set to the new catalog on success only
 * @base: the catalog that the note applies to; not modified
 * @note: the note
 * @rejected: set to the rejected entry on failure; may be NULL
 *
 * If one entry is rejected, the whole note is rejected.
 *
 * Return: 0, CM_E_STALE if the note's version is not the base's plus one,
 * CM_E_EXISTS, CM_E_UNKNOWN_DOMAIN, CM_E_UNKNOWN_SERVICE,
 * CM_E_UNKNOWN_SERVER, CM_E_ADDRESS_TAKEN, CM_E_PROTOCOL_DIFFERS,
 * CM_E_IN_USE, CM_E_DUPLICATE_ITEM or CM_E_MEMORY.
 */
int cm_catalog_apply(struct cm_catalog *next, const struct cm_catalog *base,
		     const struct cm_note *note,
		     struct cm_note_rejected_entry *rejected);

/**
 * cm_catalog_restore() - build a catalog from a note that adds every item
 * @catalog: set to the new catalog on success only
 * @note: the note; the catalog gets its version and publication id
 *
 * Return: 0 or an error of cm_catalog_apply().
 */
int cm_catalog_restore(struct cm_catalog *catalog, const struct cm_note *note);

/**
 * cm_catalog_set_withdrawn() - mark an item of a restored catalog withdrawn
 * @catalog: a catalog that is not in force yet
 * @list: kind of the item
 * @name: its name
 * @withdrawn_at_s: when it was withdrawn, seconds since the epoch
 *
 * A server also gets the state CM_SERVER_WITHDRAWN; failure domains and
 * services have no such state.
 *
 * Return: 0, CM_E_UNKNOWN_DOMAIN, CM_E_UNKNOWN_SERVICE or
 * CM_E_UNKNOWN_SERVER.
 */
int cm_catalog_set_withdrawn(struct cm_catalog *catalog, enum cm_note_list list,
			     const char *name, uint64_t withdrawn_at_s);

/**
 * cm_catalog_finish() - free the contents of a catalog
 * @catalog: the catalog; the structure itself is not freed
 */
void cm_catalog_finish(struct cm_catalog *catalog);

/**
 * cm_catalog_find_service() - find a service by its public address
 * @catalog: the catalog
 * @address: the public address
 *
 * Return: its index or CM_NONE. Withdrawn services are found too.
 */
uint32_t cm_catalog_find_service(const struct cm_catalog *catalog,
				 const struct cm_endpoint *address);

/**
 * cm_catalog_find_server() - find a backend server by its address
 * @catalog: the catalog
 * @address: the server's address
 *
 * Return: its index or CM_NONE. Withdrawn servers are found too.
 */
uint32_t cm_catalog_find_server(const struct cm_catalog *catalog,
				const struct cm_endpoint *address);

/**
 * cm_catalog_find_domain() - find a failure domain by its name
 * @catalog: the catalog
 * @name: its name
 *
 * Return: its index or CM_NONE. Withdrawn domains are found too.
 */
uint32_t cm_catalog_find_domain(const struct cm_catalog *catalog,
				const char *name);

/**
 * cm_catalog_server_domain_is_in() - whether packets may be sent to the failure
 * domain of a server
 * @catalog: the catalog
 * @server: index of the server
 *
 * Return: false when the state of its failure domain is CM_DOMAIN_OUT.
 */
bool cm_catalog_server_domain_is_in(const struct cm_catalog *catalog,
				    uint32_t server);

/**
 * cm_catalog_is_candidate() - whether flows may be hashed to a server
 * @catalog: the catalog
 * @server: index of the server
 *
 * A draining server remains a candidate, so that its established flows still
 * hash to it.
 *
 * Return: false for a withdrawn server and for one whose failure domain has the
 * state CM_DOMAIN_OUT.
 */
bool cm_catalog_is_candidate(const struct cm_catalog *catalog, uint32_t server);

#endif
