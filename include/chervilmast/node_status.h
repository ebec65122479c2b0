/**
 * DOC: Status of a node
 *
 * A summary of a node for operators. Reading it briefly takes locks that packet
 * handling uses too: the read lock of the view and the lock of each flow shard.
 */
#ifndef CHERVILMAST_NODE_STATUS_H
#define CHERVILMAST_NODE_STATUS_H

#include "chervilmast/node.h"

/**
 * struct cm_node_status - state of a node
 * @version: version of the release note in force; 0 before the first one
 * @publication_id: publication id of the release note in force
 * @leaving: a graceful shutdown has begun
 * @members: number of known instances by enum cm_member_state
 * @domains: number of failure domains in the catalog, including those that are
 *           out
 * @domains_out: number of failure domains that are out
 * @services: number of services in the catalog
 * @servers: number of backend servers in the catalog, including withdrawn ones
 * @home_servers: number of backend servers whose home is this instance
 * @flows: number of flows in the flow table
 * @half_open: number of half-open flows in the flow table
 * @flow_bytes: memory of the flow table in bytes, without the headers that
 *              half-open flows keep for a replay
 */
struct cm_node_status {
	uint64_t version;
	uint8_t publication_id[CM_PUBLICATION_ID_SIZE];
	bool leaving;
	uint32_t members[CM_MEMBER_SUSPECT + 1];
	uint32_t domains;
	uint32_t domains_out;
	uint32_t services;
	uint32_t servers;
	uint32_t home_servers;
	uint64_t flows;
	uint64_t half_open;
	uint64_t flow_bytes;
};

/**
 * cm_node_status_read() - read the state of a node
 * @node: the node
 * @status: set
 */
void cm_node_status_read(struct cm_node *node, struct cm_node_status *status);

/**
 * cm_node_members() - list all known instances
 * @node: the node
 * @members: set to an array that the calling function frees with free()
 * @count: set to the number of @members
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_node_members(struct cm_node *node, struct cm_member **members,
		    uint32_t *count);

#endif
