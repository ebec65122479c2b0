/**
 * DOC: History of candidate sets
 *
 * A release note can change which candidate ranks first for a flow that is
 * already open. The history keeps, for each service, the candidate sets before
 * its last CM_HISTORY_SETS_MAX changes, so that an instance can compute which
 * server ranked first when such a flow was admitted.
 */
#ifndef CHERVILMAST_HISTORY_H
#define CHERVILMAST_HISTORY_H

#include "chervilmast/catalog.h"

/** Maximum number of earlier candidate sets kept for each service. */
#define CM_HISTORY_SETS_MAX 4

/**
 * struct cm_history_server - a server of an earlier candidate set
 * @address: its address
 * @hash: hash of its address
 * @slots: its weight in the rendezvous order
 */
struct cm_history_server {
	struct cm_endpoint address;
	uint64_t hash;
	uint32_t slots;
};

/**
 * struct cm_candidate_set - the candidates of a service before a change
 * @servers: the candidates
 * @count: number of @servers
 */
struct cm_candidate_set {
	struct cm_history_server *servers;
	uint32_t count;
};

/**
 * struct cm_history_service - earlier candidate sets of one service
 * @service: public address of the service
 * @sets: the sets, newest first
 * @count: number of @sets
 */
struct cm_history_service {
	struct cm_endpoint service;
	struct cm_candidate_set sets[CM_HISTORY_SETS_MAX];
	uint32_t count;
};

/**
 * struct cm_history - earlier candidate sets of all services
 * @services: one entry for each service, in the order of the catalog
 * @count: number of @services
 */
struct cm_history {
	struct cm_history_service *services;
	uint32_t count;
};

/**
 * cm_history_init() - initialize an empty history
 * @history: uninitialized memory, owned by the calling function
 */
void cm_history_init(struct cm_history *history);

/**
 * cm_history_advance() - build the history that belongs to the next catalog
 * @next: set on success; empty on failure
 * @history: history that belongs to @base
 * @base: the previous catalog
 * @catalog: the next catalog
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_history_advance(struct cm_history *next,
		       const struct cm_history *history,
		       const struct cm_catalog *base,
		       const struct cm_catalog *catalog);

/**
 * cm_history_init_services() - initialize the history of a restored catalog
 * @history: set to one entry for each service, without candidate sets; empty on
 *           failure
 * @catalog: the catalog
 *
 * cm_history_append() then adds the candidate sets.
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_history_init_services(struct cm_history *history,
			     const struct cm_catalog *catalog);

/**
 * cm_history_append() - append the next older candidate set of a service
 * @history: a restored history
 * @catalog: the catalog that it belongs to
 * @service: public address of the service
 * @servers: the candidates, copied; their hashes are ignored and computed anew
 *           from the addresses
 * @count: number of @servers
 *
 * Return: 0, CM_E_UNKNOWN_SERVICE, CM_E_TOO_LARGE if the service already has
 * CM_HISTORY_SETS_MAX sets, or CM_E_MEMORY.
 */
int cm_history_append(struct cm_history *history,
		      const struct cm_catalog *catalog,
		      const struct cm_endpoint *service,
		      const struct cm_history_server *servers, uint32_t count);

/**
 * cm_history_finish() - free the sets of a history
 * @history: the history; the struct itself is not freed
 */
void cm_history_finish(struct cm_history *history);

/**
 * cm_history_first_candidate() - the highest-ranked candidate of a flow in an
 * earlier set
 * @history: the history
 * @service: index of the service in the catalog
 * @set: index of the set, 0 for the newest
 * @flow_hash: hash of the flow's key
 *
 * Return: the server, or NULL if there is no such set or the set is empty.
 */
const struct cm_history_server *
cm_history_first_candidate(const struct cm_history *history, uint32_t service,
			   uint32_t set, uint64_t flow_hash);

#endif
