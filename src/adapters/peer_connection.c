#include "peer_connection.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chervilmast/error.h"

/* Minimum free space in the receive buffer before a read, bytes. */
#define READ_SIZE 16384
#define INITIAL_CAPACITY READ_SIZE
#define FRAME_HEADER_SIZE sizeof(uint32_t)

static size_t queue_length(const struct cm_byte_queue *queue)
{
	return queue->end - queue->start;
}

/* Makes room for more bytes at the end of the queue. */
static int queue_reserve(struct cm_byte_queue *queue, size_t more)
{
	size_t length = queue_length(queue);
	size_t capacity = queue->capacity ? queue->capacity : INITIAL_CAPACITY;
	char *bytes;

	if (queue->start) {
		memmove(queue->bytes, queue->bytes + queue->start, length);
		queue->start = 0;
		queue->end = length;
	}
	while (capacity < length + more)
		capacity *= 2;
	if (capacity == queue->capacity)
		return CM_OK;
	bytes = realloc(queue->bytes, capacity);
	if (!bytes)
		return CM_E_MEMORY;
	queue->bytes = bytes;
	queue->capacity = capacity;
	return CM_OK;
}

static void queue_finish(struct cm_byte_queue *queue)
{
	free(queue->bytes);
	memset(queue, 0, sizeof(*queue));
}

static void queue_add(struct cm_byte_queue *queue, const void *bytes,
		      size_t size)
{
	memcpy(queue->bytes + queue->end, bytes, size);
	queue->end += size;
}

void cm_peer_connection_init(struct cm_peer_connection *connection, int fd,
			     uint64_t now_ms)
{
	memset(connection, 0, sizeof(*connection));
	connection->fd = fd;
	connection->last_progress_ms = now_ms;
	connection->last_used_ms = now_ms;
}

void cm_peer_connection_finish(struct cm_peer_connection *connection)
{
	close(connection->fd);
	connection->fd = -1;
	queue_finish(&connection->in);
	queue_finish(&connection->out);
}

int cm_peer_connection_queue(struct cm_peer_connection *connection,
			     const char *bytes, size_t size, uint64_t now_ms)
{
	struct cm_byte_queue *out = &connection->out;
	uint32_t header = htonl((uint32_t)size);
	int error;

	if (size + FRAME_HEADER_SIZE > CM_FRAME_MAX)
		return CM_E_TOO_LARGE;
	if (queue_length(out) + size + FRAME_HEADER_SIZE > CM_PEER_QUEUE_MAX)
		return CM_E_UNAVAILABLE;
	if (!cm_peer_connection_has_pending(connection))
		connection->last_progress_ms = now_ms;
	error = queue_reserve(out, size + FRAME_HEADER_SIZE);
	if (error)
		return error;
	queue_add(out, &header, sizeof(header));
	queue_add(out, bytes, size);
	return CM_OK;
}

bool cm_peer_connection_has_pending(const struct cm_peer_connection *connection)
{
	return queue_length(&connection->out) > 0;
}

/* EINPROGRESS, ENOTCONN: a non-blocking connect() has not completed. */
static bool is_transient(int error)
{
	return error == EAGAIN || error == EINTR || error == EINPROGRESS ||
	       error == ENOTCONN;
}

int cm_peer_connection_write(struct cm_peer_connection *connection,
			     uint64_t now_ms)
{
	struct cm_byte_queue *out = &connection->out;

	while (cm_peer_connection_has_pending(connection)) {
		ssize_t sent = send(connection->fd, out->bytes + out->start,
				    queue_length(out), MSG_NOSIGNAL);

		if (sent < 0)
			return is_transient(errno) ? CM_OK : CM_E_IO;
		out->start += (size_t)sent;
		connection->last_progress_ms = now_ms;
		connection->last_used_ms = now_ms;
	}
	queue_finish(out);
	return CM_OK;
}

int cm_peer_connection_read(struct cm_peer_connection *connection,
			    uint64_t now_ms)
{
	struct cm_byte_queue *in = &connection->in;
	ssize_t got;
	int error = queue_reserve(in, READ_SIZE);

	if (error)
		return error;
	got = recv(connection->fd, in->bytes + in->end, in->capacity - in->end,
		   0);
	if (got < 0)
		return is_transient(errno) ? CM_OK : CM_E_IO;
	/* The peer has closed the connection. */
	if (!got)
		return CM_E_IO;
	in->end += (size_t)got;
	connection->last_used_ms = now_ms;
	return CM_OK;
}

int cm_peer_connection_next(struct cm_peer_connection *connection,
			    const char **bytes, size_t *size)
{
	struct cm_byte_queue *in = &connection->in;
	uint32_t header;

	if (!queue_length(in))
		queue_finish(in);
	if (queue_length(in) < FRAME_HEADER_SIZE)
		return 0;
	memcpy(&header, in->bytes + in->start, sizeof(header));
	*size = ntohl(header);
	if (*size + FRAME_HEADER_SIZE > CM_FRAME_MAX)
		return CM_E_TOO_LARGE;
	if (queue_length(in) < *size + FRAME_HEADER_SIZE)
		return 0;
	*bytes = in->bytes + in->start + FRAME_HEADER_SIZE;
	in->start += *size + FRAME_HEADER_SIZE;
	return 1;
}
