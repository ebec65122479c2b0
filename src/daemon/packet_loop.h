/**
 * DOC: Packet threads
 *
 * Each thread receives Geneve datagrams from the link, passes the inner packet
 * to the node and executes the resulting actions.
 */
#ifndef DAEMON_PACKET_LOOP_H
#define DAEMON_PACKET_LOOP_H

#include <pthread.h>

#include "chervilmast/node.h"
#include "config/settings.h"
#include "daemon/notification_queue.h"
#include "ports/link.h"

/** Maximum number of packet threads. */
#define CM_PACKET_THREADS_MAX 64

/**
 * struct cm_packet_loop - the packet threads of an instance
 * @node: the node
 * @link: link on which Geneve datagrams are received and sent
 * @send_queue: queue of bindings and loads to send to other instances
 * @fabric: address to which packets for callers and backend servers are sent
 * @threads: the threads
 * @count: number of @threads
 * @stopping: nonzero tells the threads to exit; accessed atomically
 */
struct cm_packet_loop {
	struct cm_node *node;
	struct cm_link *link;
	struct cm_notification_queue *send_queue;
	struct cm_endpoint fabric;
	pthread_t threads[CM_PACKET_THREADS_MAX];
	uint32_t count;
	uint32_t stopping;
};

/**
 * cm_packet_loop_init() - start the threads
 * @loop: memory owned by the calling function
 * @node: the node
 * @link: link on which Geneve datagrams are received and sent
 * @send_queue: queue of bindings and loads to send to other instances
 * @settings: settings of the process
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_packet_loop_init(struct cm_packet_loop *loop, struct cm_node *node,
			struct cm_link *link,
			struct cm_notification_queue *send_queue,
			const struct cm_settings *settings);

/**
 * cm_packet_loop_finish() - end the threads
 * @loop: the loop; the struct itself is not freed
 */
void cm_packet_loop_finish(struct cm_packet_loop *loop);

/**
 * cm_packet_loop_handle_datagram() - handle one datagram from the link
 * @loop: the loop
 * @now_ms: current time
 * @bytes: the datagram; rewritten in place
 * @length: length of the datagram, bytes
 * @from: source address of the datagram
 * @actions: buffer for the actions; cleared first
 *
 * A datagram with a relay header is accepted only from another instance, and a
 * datagram without one only from the IP address of the fabric. The source port
 * of the fabric is not checked, as the fabric may vary it for load balancing
 * (RFC 8926).
 */
void cm_packet_loop_handle_datagram(struct cm_packet_loop *loop,
				    uint64_t now_ms, uint8_t *bytes,
				    size_t length,
				    const struct cm_endpoint *from,
				    struct cm_actions *actions);

/**
 * cm_packet_loop_send() - execute actions of the node
 * @loop: the loop
 * @actions: the actions
 * @received: packet to send for actions that send a packet but have none of
 *            their own, or NULL to skip these actions
 */
void cm_packet_loop_send(struct cm_packet_loop *loop,
			 const struct cm_actions *actions,
			 const struct cm_packet *received);

#endif
