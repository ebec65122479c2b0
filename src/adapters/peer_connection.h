/**
 * DOC: One control connection
 *
 * A non-blocking TCP socket with a bounded send queue and a receive buffer.
 * Each message is sent as a frame: its size as a 32-bit number in network byte
 * order, then the message.
 */
#ifndef ADAPTERS_PEER_CONNECTION_H
#define ADAPTERS_PEER_CONNECTION_H

#include <sys/queue.h>

#include "chervilmast/message.h"

/** Maximum size of a frame, including its size field, bytes. */
#define CM_FRAME_MAX (2 * 1024 * 1024)
/** Maximum size of the send queue of one connection, bytes. */
#define CM_PEER_QUEUE_MAX (4 * 1024 * 1024)

/**
 * struct cm_byte_queue - a queue of bytes
 * @bytes: the buffer; owned; freed when the queue becomes empty
 * @capacity: allocated size of @bytes
 * @start: offset of the first queued byte
 * @end: offset after the last queued byte
 */
struct cm_byte_queue {
	char *bytes;
	size_t capacity;
	size_t start;
	size_t end;
};

/**
 * struct cm_peer_connection - one control connection
 * @link: link in the list of an adapter's connections
 * @fd: its socket
 * @peer: control address of the peer; zero when the peer opened the connection
 * @last_progress_ms: when bytes were last sent, or when @out last became
 *                    non-empty, ms
 * @last_used_ms: when bytes were last sent or received, ms
 * @in: received bytes
 * @out: bytes to send
 * @poll_index: index in the poll set; 0 when the connection is not in the set
 */
struct cm_peer_connection {
	LIST_ENTRY(cm_peer_connection) link;
	int fd;
	struct cm_endpoint peer;
	uint64_t last_progress_ms;
	uint64_t last_used_ms;
	struct cm_byte_queue in;
	struct cm_byte_queue out;
	size_t poll_index;
};

/**
 * cm_peer_connection_init() - initialise a connection
 * @connection: memory owned by the calling function
 * @fd: its socket, non-blocking; the connection takes ownership
 * @now_ms: current time
 */
void cm_peer_connection_init(struct cm_peer_connection *connection, int fd,
			     uint64_t now_ms);

/**
 * cm_peer_connection_finish() - close a connection
 * @connection: the connection; the struct itself is not freed
 */
void cm_peer_connection_finish(struct cm_peer_connection *connection);

/**
 * cm_peer_connection_queue() - add a message to the send queue
 * @connection: the connection
 * @bytes: the encoded message; copied
 * @size: size of @bytes
 * @now_ms: current time
 *
 * Return: 0, CM_E_TOO_LARGE, CM_E_UNAVAILABLE when the queue is full, or
 * CM_E_MEMORY.
 */
int cm_peer_connection_queue(struct cm_peer_connection *connection,
			     const char *bytes, size_t size, uint64_t now_ms);

/**
 * cm_peer_connection_has_pending() - whether the send queue has bytes
 * @connection: the connection
 *
 * Return: true when it has.
 */
bool cm_peer_connection_has_pending(
	const struct cm_peer_connection *connection);

/**
 * cm_peer_connection_write() - send as much of the queue as the socket accepts
 * @connection: the connection
 * @now_ms: current time
 *
 * Return: 0, or CM_E_IO when the connection has failed.
 */
int cm_peer_connection_write(struct cm_peer_connection *connection,
			     uint64_t now_ms);

/**
 * cm_peer_connection_read() - receive available bytes
 * @connection: the connection
 * @now_ms: current time
 *
 * Return: 0, CM_E_IO when the connection has failed or the peer closed it, or
 * CM_E_MEMORY.
 */
int cm_peer_connection_read(struct cm_peer_connection *connection,
			    uint64_t now_ms);

/**
 * cm_peer_connection_next() - get the next complete message received
 * @connection: the connection
 * @bytes: set to the encoded message; valid until the next call for
 *         @connection
 * @size: set to the size of @bytes
 *
 * Return: 1 with a message, 0 when none is complete, or CM_E_TOO_LARGE when the
 * next frame exceeds CM_FRAME_MAX.
 */
int cm_peer_connection_next(struct cm_peer_connection *connection,
			    const char **bytes, size_t *size);

#endif
