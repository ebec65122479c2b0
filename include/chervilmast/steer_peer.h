/**
 * DOC: Nodes that steer by token beside this one
 *
 * The nodes of a fleet do not tell each other their flows. Knowing how many of
 * them give flows to a server, a node takes what it sees itself for its part of
 * the whole.
 */
#ifndef CHERVILMAST_STEER_PEER_H
#define CHERVILMAST_STEER_PEER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "chervilmast/flow_key.h"
#include "chervilmast/note.h"
#include "chervilmast/steer_domain.h"

/** Most nodes that are remembered. */
#define CM_STEER_PEERS_MAX 4096

/**
 * struct cm_peer_entry - what the registry says of a node
 * @name: its name
 * @domain: its failure domain
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
 * @entry: what the registry said last
 * @domain_hash: hash of the name of its failure domain
 * @link: link in the list of all
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
 * @domains: their failure domains
 */
struct cm_steer_peers {
	struct cm_steer_peer_list all;
	uint32_t count;
	struct cm_steer_domains domains;
};

/**
 * cm_steer_peers_init() - make an empty table
 * @peers: memory of the caller
 */
void cm_steer_peers_init(struct cm_steer_peers *peers);

/**
 * cm_steer_peers_finish() - free all nodes
 * @peers: the table; its memory stays the caller's
 */
void cm_steer_peers_finish(struct cm_steer_peers *peers);

/**
 * cm_steer_peers_find() - look for a node
 * @peers: the table
 * @name: its name
 *
 * Return: the node, or NULL when it is not known.
 */
struct cm_steer_peer *cm_steer_peers_find(const struct cm_steer_peers *peers,
					  const char *name);

/**
 * cm_steer_peers_put() - take what the registry says of a node
 * @peers: the table
 * @entry: what it says
 *
 * Return: 0, CM_E_TOO_LARGE or CM_E_MEMORY.
 */
int cm_steer_peers_put(struct cm_steer_peers *peers,
		       const struct cm_peer_entry *entry);

/**
 * cm_steer_peers_remove() - forget a node
 * @peers: the table
 * @peer: the node; invalid afterwards
 */
void cm_steer_peers_remove(struct cm_steer_peers *peers,
			   struct cm_steer_peer *peer);

/**
 * cm_steer_peers_in() - number of nodes in a failure domain
 * @peers: the table
 * @domain: its name
 *
 * Return: the number.
 */
uint32_t cm_steer_peers_in(const struct cm_steer_peers *peers,
			   const char *domain);

#endif
