/**
 * DOC: One node under test
 *
 * A node of a small deployment. Tests pass packets to it one by one and read
 * the actions that it returns.
 */
#ifndef UNIT_ONE_NODE_H
#define UNIT_ONE_NODE_H

#include "chervilmast/node.h"
#include "fake/deployment.h"

/**
 * struct one_node - the node and its last packet
 * @node: the node
 * @actions: actions for the last packet
 * @bytes: the last packet
 */
struct one_node {
	struct cm_node node;
	struct cm_actions actions;
	uint8_t bytes[2048];
};

/**
 * one_node_init() - start a node with all members and the first release note
 * @one: uninitialized memory, owned by the calling function
 * @deployment: the deployment; must outlive @one
 * @instance: index of the node's instance in @deployment
 */
void one_node_init(struct one_node *one,
		   const struct fake_deployment *deployment, uint32_t instance);

/**
 * one_node_finish() - release resources
 * @one: the node; the struct itself is not freed
 */
void one_node_finish(struct one_node *one);

/**
 * struct one_node_segment - a TCP segment without payload
 * @from: sender
 * @to: receiver
 * @flags: TCP flags
 * @seq: sequence number
 * @ack: acknowledgment number
 */
struct one_node_segment {
	struct cm_endpoint from;
	struct cm_endpoint to;
	uint8_t flags;
	uint32_t seq;
	uint32_t ack;
};

/**
 * one_node_input() - pass a segment to the node
 * @one: the node
 * @now_ms: current time, ms
 * @segment: the segment
 * @relay: its relay header, or NULL if the segment comes from the fabric
 *
 * Return: the last action, or NULL if there is none.
 */
const struct cm_action *one_node_input(struct one_node *one, uint64_t now_ms,
				       const struct one_node_segment *segment,
				       const struct cm_relay *relay);

#endif
