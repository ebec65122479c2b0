/**
 * DOC: Queue of held packets
 *
 * A steering instance holds two kinds of packets. While all servers of a
 * service are full, it holds a caller's last repeated SYN if the flow would
 * miss its latency objective, so that flows that can still meet theirs are
 * placed first. While the registry data is outdated after a pause, it holds
 * every SYN. Held packets are passed to the instance again until it forwards or
 * drops them or resets the flow. The queue is bounded, and for use by one
 * thread.
 */
#ifndef DAEMON_HOLD_QUEUE_H
#define DAEMON_HOLD_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/** Maximum number of held packets. */
#define CM_HELD_PACKETS_MAX 128
/** Maximum size of a held packet, bytes; a SYN has no payload. */
#define CM_HELD_PACKET_SIZE_MAX 64

/**
 * struct cm_held_packet - a held packet
 * @bytes: the packet
 * @length: length of the packet, bytes
 * @received_ms: when it was received
 * @link: link in the queue or in the list of free records
 */
struct cm_held_packet {
	uint8_t bytes[CM_HELD_PACKET_SIZE_MAX];
	size_t length;
	uint64_t received_ms;
	TAILQ_ENTRY(cm_held_packet) link;
};

TAILQ_HEAD(cm_held_packet_list, cm_held_packet);

/**
 * struct cm_hold_queue - queue of held packets
 * @records: storage for all packets
 * @waiting: held packets, oldest first
 * @unused: free records
 */
struct cm_hold_queue {
	struct cm_held_packet records[CM_HELD_PACKETS_MAX];
	struct cm_held_packet_list waiting;
	struct cm_held_packet_list unused;
};

/**
 * cm_hold_queue_init() - initialise an empty queue
 * @queue: memory owned by the calling function
 */
void cm_hold_queue_init(struct cm_hold_queue *queue);

/**
 * cm_hold_queue_add() - append a packet
 * @queue: the queue
 * @now_ms: current time
 * @bytes: the packet; copied
 * @length: length of the packet, bytes
 *
 * Return: 0, or CM_E_TOO_LARGE when the packet is too long or the queue is
 * full.
 */
int cm_hold_queue_add(struct cm_hold_queue *queue, uint64_t now_ms,
		      const uint8_t *bytes, size_t length);

/**
 * cm_hold_queue_remove() - remove a packet
 * @queue: the queue
 * @packet: the packet; invalid afterwards
 */
void cm_hold_queue_remove(struct cm_hold_queue *queue,
			  struct cm_held_packet *packet);

#endif
