/**
 * DOC: Datagrams in batches
 *
 * A UDP socket from which many datagrams are taken, and to which many are
 * given, with one system call. For one thread.
 */
#ifndef ADAPTERS_UDP_BATCH_H
#define ADAPTERS_UDP_BATCH_H

#include <netinet/in.h>
#include <signal.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

#include "ports/fabric.h"
#include "udp_link.h"

/** Most datagrams that one call takes or gives. */
#define CM_UDP_BATCH 32

/**
 * struct cm_datagram - a datagram that came, and its room
 * @prefix: room before @bytes, for what goes before the packet
 * @bytes: the packet
 * @length: bytes of the packet
 */
struct cm_datagram {
	uint8_t prefix[CM_FABRIC_PREFIX_MAX];
	uint8_t bytes[CM_FABRIC_PACKET_MAX];
	size_t length;
};

/**
 * struct cm_udp_batch - a socket with its batches
 * @link: the socket
 * @came: what the last call of cm_udp_batch_receive() took
 * @count: number of @came
 * @out: what waits to be sent
 * @out_parts: bytes of each of @out
 * @out_to: where each of @out goes
 * @out_count: number of @out
 */
struct cm_udp_batch {
	struct cm_udp_link link;
	struct cm_datagram came[CM_UDP_BATCH];
	size_t count;
	struct mmsghdr out[CM_UDP_BATCH];
	struct iovec out_parts[CM_UDP_BATCH];
	struct sockaddr_in out_to[CM_UDP_BATCH];
	size_t out_count;
};

/**
 * cm_udp_batch_init() - bind a socket
 * @batch: memory of the caller
 * @address: where to bind
 *
 * Return: 0 or CM_E_IO.
 */
int cm_udp_batch_init(struct cm_udp_batch *batch,
		      const struct cm_endpoint *address);

/**
 * cm_udp_batch_finish() - close the socket
 * @batch: the batch; its memory stays the caller's
 */
void cm_udp_batch_finish(struct cm_udp_batch *batch);

/**
 * cm_udp_batch_receive() - wait for datagrams
 * @batch: the batch; nothing waits to be sent
 * @timeout_ms: longest wait
 * @signals: signals that are blocked during the wait
 *
 * Sets @came and @count; @count stays below CM_UDP_BATCH when all that had come
 * was taken.
 *
 * Return: 0, also without datagrams or after a signal, or CM_E_IO.
 */
int cm_udp_batch_receive(struct cm_udp_batch *batch, uint32_t timeout_ms,
			 const sigset_t *signals);

/**
 * cm_udp_batch_add() - let bytes wait to be sent
 * @batch: the batch, with less than CM_UDP_BATCH waiting
 * @bytes: the bytes; valid until cm_udp_batch_send()
 * @length: their number
 * @to: where they go
 */
void cm_udp_batch_add(struct cm_udp_batch *batch, const uint8_t *bytes,
		      size_t length, const struct cm_endpoint *to);

/**
 * cm_udp_batch_send() - send all that waits
 * @batch: the batch
 *
 * Return: number of datagrams that the socket did not take.
 */
size_t cm_udp_batch_send(struct cm_udp_batch *batch);

#endif
