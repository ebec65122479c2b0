#include "hold_queue.h"

#include <string.h>

#include "chervilmast/error.h"

void cm_hold_queue_init(struct cm_hold_queue *queue)
{
	TAILQ_INIT(&queue->waiting);
	TAILQ_INIT(&queue->unused);
	for (size_t i = 0; i < CM_HELD_PACKETS_MAX; i++)
		TAILQ_INSERT_TAIL(&queue->unused, &queue->records[i], link);
}

int cm_hold_queue_add(struct cm_hold_queue *queue, uint64_t now_ms,
		      const uint8_t *bytes, size_t length)
{
	struct cm_held_packet *packet = TAILQ_FIRST(&queue->unused);

	if (!packet || length > CM_HELD_PACKET_SIZE_MAX)
		return CM_E_TOO_LARGE;
	TAILQ_REMOVE(&queue->unused, packet, link);
	memcpy(packet->bytes, bytes, length);
	packet->length = length;
	packet->received_ms = now_ms;
	TAILQ_INSERT_TAIL(&queue->waiting, packet, link);
	return CM_OK;
}

void cm_hold_queue_remove(struct cm_hold_queue *queue,
			  struct cm_held_packet *packet)
{
	TAILQ_REMOVE(&queue->waiting, packet, link);
	TAILQ_INSERT_HEAD(&queue->unused, packet, link);
}
