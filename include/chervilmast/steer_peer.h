/**
 * DOC: Instances that steer by token
 *
 * The instances do not exchange flow state. Those of a failure domain exchange
 * the loads that their flows put on servers (server_load.h). Where these are
 * not known, an instance estimates the load of a server: it multiplies the load
 * of its own flows there by the number of instances that send flows to the
 * server.
 */
#ifndef CHERVILMAST_STEER_PEER_H
#define CHERVILMAST_STEER_PEER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "chervilmast/flow_key.h"
#include "chervilmast/note.h"
#include "chervilmast/steer_domain.h"

/** Maximum number of instances in a struct cm_steer_peers. */
#define CM_STEER_PEERS_MAX 4096

/**
 * struct cm_peer_entry - registry entry of an instance
 * @name: name of the instance
 * @domain: name of its failure domain
 * @control: address at which it receives the messages of other instances
 * @rank: order in which the instances of its failure domain become the source
 *        of registry data, lowest first (feed_choice.h); ranks have gaps, and
 *        two instances may have the same rank
 */
struct cm_peer_entry {
	char name[CM_NAME_SIZE];
	char domain[CM_NAME_SIZE];
	struct cm_endpoint control;
	uint64_t rank;
};

/**
 * struct cm_steer_peer - an instance in the registry, possibly this one
 * @entry: latest registry entry
 * @domain_hash: hash of the name of its failure domain
 * @link: link in the list of all instances
 */
struct cm_steer_peer {
	struct cm_peer_entry entry;
	uint64_t domain_hash;
	TAILQ_ENTRY(cm_steer_peer) link;
};

TAILQ_HEAD(cm_steer_peer_list, cm_steer_peer);

/**
 * struct cm_steer_peers - all instances in the registry, this one included
 * @all: the instances
 * @count: number of @all
 * @domains: the known failure domains, of instances and of servers
 */
struct cm_steer_peers {
	struct cm_steer_peer_list all;
	uint32_t count;
	struct cm_steer_domains domains;
};

/**
 * cm_steer_peers_init() - initialize an empty list
 * @peers: uninitialized memory, owned by the calling function
 */
void cm_steer_peers_init(struct cm_steer_peers *peers);

/**
 * cm_steer_peers_finish() - free all instances
 * @peers: the list; the struct itself is not freed
 */
void cm_steer_peers_finish(struct cm_steer_peers *peers);

/**
 * cm_steer_peers_find() - find an instance
 * @peers: the list
 * @name: name of the instance
 *
 * Return: the instance, or NULL when it is not known.
 */
struct cm_steer_peer *cm_steer_peers_find(const struct cm_steer_peers *peers,
					  const char *name);

/**
 * cm_steer_peers_put() - add or update an instance
 * @peers: the list
 * @entry: the instance's registry entry; copied
 *
 * Return: 0, CM_E_TOO_LARGE when there are CM_STEER_PEERS_MAX instances, or
 * CM_E_MEMORY.
 */
int cm_steer_peers_put(struct cm_steer_peers *peers,
		       const struct cm_peer_entry *entry);

/**
 * cm_steer_peers_remove() - remove an instance
 * @peers: the list
 * @peer: the instance; invalid afterwards
 */
void cm_steer_peers_remove(struct cm_steer_peers *peers,
			   struct cm_steer_peer *peer);

/**
 * cm_steer_peers_count_in_domain() - number of instances in a failure domain
 * @peers: the list
 * @domain: name of the failure domain
 *
 * Return: the number.
 */
uint32_t cm_steer_peers_count_in_domain(const struct cm_steer_peers *peers,
					const char *domain);

#endif
