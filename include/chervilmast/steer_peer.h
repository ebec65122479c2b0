/**
 * DOC: Nodes of the fleet that steers by token
 *
 * The nodes do not exchange their flows. To estimate the load of a server, a
 * node multiplies its own flows by the number of nodes that send flows to that
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

/** Maximum number of nodes in the list. */
#define CM_STEER_PEERS_MAX 4096

/**
 * struct cm_peer_entry - registry entry of a node
 * @name: name of the node
 * @domain: name of its failure domain
 * @control: where it answers other nodes
 * @rank: the node of the lowest rank in a failure domain is asked first
 */
struct cm_peer_entry {
	char name[CM_NAME_SIZE];
	char domain[CM_NAME_SIZE];
	struct cm_endpoint control;
	uint64_t rank;
};

/**
 * struct cm_steer_peer - a node
 * @entry: latest registry entry
 * @domain_hash: hash of the name of its failure domain
 * @link: link in the list of all nodes
 */
struct cm_steer_peer {
	struct cm_peer_entry entry;
	uint64_t domain_hash;
	TAILQ_ENTRY(cm_steer_peer) link;
};

TAILQ_HEAD(cm_steer_peer_list, cm_steer_peer);

/**
 * struct cm_steer_peers - the nodes of the fleet, this one included
 * @all: every node
 * @count: number of @all
 * @domains: the known failure domains, of nodes and of servers
 */
struct cm_steer_peers {
	struct cm_steer_peer_list all;
	uint32_t count;
	struct cm_steer_domains domains;
};

/**
 * cm_steer_peers_init() - initialise an empty table
 * @peers: memory of the caller
 */
void cm_steer_peers_init(struct cm_steer_peers *peers);

/**
 * cm_steer_peers_finish() - free all nodes
 * @peers: the table; its memory stays the caller's
 */
void cm_steer_peers_finish(struct cm_steer_peers *peers);

/**
 * cm_steer_peers_find() - find a node
 * @peers: the table
 * @name: name of the node
 *
 * Return: the node, or NULL when it is not known.
 */
struct cm_steer_peer *cm_steer_peers_find(const struct cm_steer_peers *peers,
					  const char *name);

/**
 * cm_steer_peers_put() - add or update a node
 * @peers: the table
 * @entry: the node's registry entry; copied
 *
 * Return: 0, CM_E_TOO_LARGE when there are CM_STEER_PEERS_MAX nodes, or
 * CM_E_MEMORY.
 */
int cm_steer_peers_put(struct cm_steer_peers *peers,
		       const struct cm_peer_entry *entry);

/**
 * cm_steer_peers_remove() - remove a node
 * @peers: the table
 * @peer: the node; invalid afterwards
 */
void cm_steer_peers_remove(struct cm_steer_peers *peers,
			   struct cm_steer_peer *peer);

/**
 * cm_steer_peers_count_in() - number of nodes in a failure domain
 * @peers: the table
 * @domain: name of the failure domain
 *
 * Return: the number.
 */
uint32_t cm_steer_peers_count_in(const struct cm_steer_peers *peers,
				 const char *domain);

#endif
