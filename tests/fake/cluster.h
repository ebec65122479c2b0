/**
 * DOC: Several nodes in one process
 *
 * Delivers packets and messages between nodes immediately and in order, and
 * records the packets that leave the nodes. Relay headers are encoded as Geneve
 * and decoded again on the way. Meant for tests of single events; the
 * randomised runs in tests/soak/ deliver messages by their own code.
 */
#ifndef FAKE_CLUSTER_H
#define FAKE_CLUSTER_H

#include "chervilmast/node.h"

/** Maximum number of nodes of a cluster. */
#define FAKE_NODES_MAX 12
/** Maximum number of release notes of one test. */
#define FAKE_NOTES_MAX 16
/** Maximum number of packets recorded for one event; more are not recorded. */
#define FAKE_OUTPUTS_MAX 64

/**
 * struct fake_output - a packet that left the cluster
 * @is_to_server: sent to a backend server, otherwise to a caller
 * @server: address of the backend server concerned; zero if none
 * @node: index of the node that sent it
 * @bytes: the packet
 * @length: length of @bytes, in bytes
 */
struct fake_output {
	bool is_to_server;
	struct cm_endpoint server;
	uint32_t node;
	uint8_t bytes[256];
	size_t length;
};

/**
 * struct fake_cluster - nodes and the packets that they have sent
 * @nodes: the nodes
 * @is_running: which of the nodes run
 * @members: member records of all nodes
 * @count: number of nodes
 * @notes: release notes published so far
 * @note_count: number of @notes
 * @now_ms: current time, ms
 * @outputs: packets that left the nodes since the last event began
 * @output_count: number of @outputs
 * @relays: packets relayed between nodes since the last event began
 * @relay: header of the packet relayed last
 * @bindings_sent: bindings sent to other nodes since the last event began
 * @loads_sent: server loads sent to other nodes so far
 */
struct fake_cluster {
	struct cm_node nodes[FAKE_NODES_MAX];
	bool is_running[FAKE_NODES_MAX];
	struct cm_member members[FAKE_NODES_MAX];
	uint32_t count;
	struct cm_note notes[FAKE_NOTES_MAX];
	uint32_t note_count;
	uint64_t now_ms;
	struct fake_output outputs[FAKE_OUTPUTS_MAX];
	uint32_t output_count;
	uint32_t relays;
	struct cm_relay relay;
	uint32_t bindings_sent;
	uint64_t loads_sent;
};

/**
 * fake_cluster_init() - start nodes that are members of one cluster
 * @cluster: memory of the caller
 * @count: number of nodes
 * @domains: names of failure domains; node i is in domain i modulo their number
 * @domain_count: number of @domains
 */
void fake_cluster_init(struct fake_cluster *cluster, uint32_t count,
		       const char *const *domains, uint32_t domain_count);

/**
 * fake_cluster_finish() - free the nodes and notes
 * @cluster: the cluster; its memory stays the caller's
 */
void fake_cluster_finish(struct fake_cluster *cluster);

/**
 * fake_cluster_publish() - apply a release note on all running nodes
 * @cluster: the cluster
 * @text: the note as JSON, as stored
 */
void fake_cluster_publish(struct fake_cluster *cluster, const char *text);

/**
 * fake_cluster_publish_changes() - publish a note that has the next version
 * @cluster: the cluster
 * @format: printf() format of the changes, as members of a JSON object without
 *          its braces
 */
void fake_cluster_publish_changes(struct fake_cluster *cluster,
				  const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * fake_cluster_update_members() - pass the member list to all running nodes,
 * with stopped nodes as dead
 * @cluster: the cluster
 */
void fake_cluster_update_members(struct fake_cluster *cluster);

/**
 * fake_cluster_kill() - stop a node, as in a crash
 * @cluster: the cluster
 * @node: index of the node
 *
 * The other nodes regard it as alive until fake_cluster_update_members().
 */
void fake_cluster_kill(struct fake_cluster *cluster, uint32_t node);

/**
 * fake_cluster_start() - restart a node with no state but the release notes
 * @cluster: the cluster
 * @node: index of the node
 */
void fake_cluster_start(struct fake_cluster *cluster, uint32_t node);

/**
 * fake_cluster_deliver_packet() - advance time by 1 ms and deliver a packet
 * from the fabric
 * @cluster: the cluster
 * @node: index of the node
 * @bytes: the packet, copied
 * @length: length of the packet, in bytes
 */
void fake_cluster_deliver_packet(struct fake_cluster *cluster, uint32_t node,
				 const uint8_t *bytes, size_t length);

/**
 * fake_cluster_deliver_relayed() - advance time by 1 ms and deliver a relayed
 * packet
 * @cluster: the cluster
 * @node: index of the node
 * @bytes: the packet, copied
 * @length: length of the packet, in bytes
 * @relay: relay header; NULL for a packet from the fabric
 */
void fake_cluster_deliver_relayed(struct fake_cluster *cluster, uint32_t node,
				  const uint8_t *bytes, size_t length,
				  const struct cm_relay *relay);

/**
 * fake_cluster_deliver_segment() - advance time by 1 ms and deliver a TCP
 * segment without data from the fabric
 * @cluster: the cluster
 * @node: index of the node that gets the segment
 * @from: source
 * @to: destination
 * @flags: TCP flags
 * @seq: sequence number
 * @ack: acknowledgment number
 */
void fake_cluster_deliver_segment(struct fake_cluster *cluster, uint32_t node,
				  const struct cm_endpoint *from,
				  const struct cm_endpoint *to, uint8_t flags,
				  uint32_t seq, uint32_t ack);

/**
 * fake_cluster_tick() - run the tick of all running nodes
 * @cluster: the cluster
 */
void fake_cluster_tick(struct fake_cluster *cluster);

/**
 * fake_cluster_advance() - advance time, with a tick every 100 ms
 * @cluster: the cluster
 * @ms: duration, ms
 */
void fake_cluster_advance(struct fake_cluster *cluster, uint64_t ms);

/**
 * fake_cluster_total() - sum of a counter over all nodes
 * @cluster: the cluster
 * @counter: the counter
 *
 * Return: the sum.
 */
uint64_t fake_cluster_total(const struct fake_cluster *cluster,
			    enum cm_counter counter);

#endif
