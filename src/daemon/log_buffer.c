#include "log_buffer.h"

#include <string.h>

/** Ordinary decisions get one part in so many of the budget. */
#define ORDINARY_PART 2

void cm_log_buffer_init(struct cm_log_buffer *buffer, uint32_t lines_per_s)
{
	memset(buffer, 0, sizeof(*buffer));
	buffer->lines_per_s = lines_per_s;
}

static void leave_out(struct cm_log_buffer *buffer, enum cm_log_event event)
{
	buffer->left_out[event]++;
	buffer->dropped++;
}

bool cm_log_buffer_allows(struct cm_log_buffer *buffer, enum cm_log_event event,
			  uint64_t second)
{
	uint32_t most = buffer->lines_per_s;

	if (!most)
		return true;
	if (event == CM_EVENT_FLOW_PLACED)
		most = (most + 1) / ORDINARY_PART;
	if (second != buffer->second) {
		buffer->second = second;
		buffer->lines = 0;
	}
	if (buffer->lines >= most) {
		leave_out(buffer, event);
		return false;
	}
	buffer->lines++;
	return true;
}

void cm_log_buffer_add(struct cm_log_buffer *buffer, enum cm_log_event event,
		       const char *line, size_t length)
{
	size_t end = (buffer->begin + buffer->used) % CM_LOG_BUFFER_SIZE;
	size_t first = CM_LOG_BUFFER_SIZE - end;

	if (length > CM_LOG_BUFFER_SIZE - buffer->used) {
		leave_out(buffer, event);
		return;
	}
	if (first > length)
		first = length;
	memcpy(buffer->bytes + end, line, first);
	memcpy(buffer->bytes, line + first, length - first);
	buffer->used += length;
}

const char *cm_log_buffer_next(const struct cm_log_buffer *buffer,
			       size_t *length)
{
	size_t first = CM_LOG_BUFFER_SIZE - buffer->begin;

	*length = buffer->used < first ? buffer->used : first;
	return buffer->bytes + buffer->begin;
}

void cm_log_buffer_taken(struct cm_log_buffer *buffer, size_t length)
{
	buffer->begin = (buffer->begin + length) % CM_LOG_BUFFER_SIZE;
	buffer->used -= length;
}
