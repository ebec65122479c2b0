#include "log_buffer.h"

#include <string.h>

/** Lines of CM_EVENT_FLOW_PLACED are dropped above the rate limit divided by
 * this. */
#define PLACED_DIVISOR 2

void cm_log_buffer_init(struct cm_log_buffer *buffer, uint32_t lines_per_s)
{
	memset(buffer, 0, sizeof(*buffer));
	buffer->lines_per_s = lines_per_s;
}

static void count_dropped(struct cm_log_buffer *buffer, enum cm_log_event event)
{
	buffer->unreported[event]++;
	buffer->dropped++;
}

bool cm_log_buffer_allows(struct cm_log_buffer *buffer, enum cm_log_event event,
			  uint64_t second)
{
	uint32_t limit = buffer->lines_per_s;

	if (!limit)
		return true;
	if (event == CM_EVENT_FLOW_PLACED)
		limit = (limit + 1) / PLACED_DIVISOR;
	if (second != buffer->second) {
		buffer->second = second;
		buffer->lines = 0;
	}
	if (buffer->lines >= limit) {
		count_dropped(buffer, event);
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
		count_dropped(buffer, event);
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

void cm_log_buffer_consume(struct cm_log_buffer *buffer, size_t length)
{
	buffer->begin = (buffer->begin + length) % CM_LOG_BUFFER_SIZE;
	buffer->used -= length;
}
