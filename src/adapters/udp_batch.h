/**
 * DOC: Batched UDP datagrams
 *
 * A UDP socket that receives and sends many datagrams with one system call. For
 * use by one thread.
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

/** Maximum number of datagrams that one call receives or sends. */
#define CM_UDP_BATCH 32

/**
 * struct cm_datagram - a received datagram
 * @prefix: room for a header in front of the packet when it is forwarded
 * @bytes: the packet
 * @length: size of the packet, bytes
 */
struct cm_datagram {
	uint8_t prefix[CM_FABRIC_PREFIX_MAX];
	uint8_t bytes[CM_FABRIC_PACKET_MAX];
	size_t length;
};

/**
 * struct cm_udp_batch - a socket with a batch in each direction
 * @link: the socket
 * @received: datagrams that the last cm_udp_batch_receive() received
 * @received_count: number of @received
 * @out: datagrams to send
 * @out_iov: bytes of each of @out
 * @out_addresses: destination of each of @out
 * @out_count: number of @out
 */
struct cm_udp_batch {
	struct cm_udp_link link;
	struct cm_datagram received[CM_UDP_BATCH];
	size_t received_count;
	struct mmsghdr out[CM_UDP_BATCH];
	struct iovec out_iov[CM_UDP_BATCH];
	struct sockaddr_in out_addresses[CM_UDP_BATCH];
	size_t out_count;
};

/**
 * cm_udp_batch_init() - open a socket
 * @batch: memory owned by the calling function
 * @address: address to bind to
 *
 * Return: 0 or CM_E_IO.
 */
int cm_udp_batch_init(struct cm_udp_batch *batch,
		      const struct cm_endpoint *address);

/**
 * cm_udp_batch_finish() - close the socket
 * @batch: the batch; the struct itself is not freed
 */
void cm_udp_batch_finish(struct cm_udp_batch *batch);

/**
 * cm_udp_batch_receive() - receive datagrams
 * @batch: the batch; must have no datagrams to send, as these may refer to the
 *         received datagrams, which are overwritten
 * @timeout_ms: maximum time to wait for the first datagram, ms
 * @signals: signal mask during the wait; NULL for the thread's own mask
 *
 * Stores the datagrams and their count in @batch. A count below CM_UDP_BATCH
 * means that no further datagrams had arrived.
 *
 * Return: 0 or CM_E_IO. 0 is also returned when no datagram arrived in time,
 * when a signal interrupted the wait, and after a receive error other than
 * EBADF.
 */
int cm_udp_batch_receive(struct cm_udp_batch *batch, uint32_t timeout_ms,
			 const sigset_t *signals);

/**
 * cm_udp_batch_add() - add a datagram to send
 * @batch: the batch, with fewer than CM_UDP_BATCH datagrams to send
 * @bytes: the datagram; must stay valid until cm_udp_batch_send()
 * @length: its size, bytes
 * @to: its destination
 */
void cm_udp_batch_add(struct cm_udp_batch *batch, const uint8_t *bytes,
		      size_t length, const struct cm_endpoint *to);

/**
 * cm_udp_batch_send() - send all datagrams that were added
 * @batch: the batch
 *
 * Return: number of datagrams that could not be sent; they are dropped.
 */
size_t cm_udp_batch_send(struct cm_udp_batch *batch);

#endif
