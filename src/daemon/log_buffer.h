/**
 * DOC: Buffer of log lines
 *
 * Lines are buffered until they are written, so that no thread waits for the
 * reader of the log. The number of lines per second is limited. Once half of
 * the limit is used, lines of CM_EVENT_FLOW_PLACED are dropped, so that many
 * new flows do not use up the limit for refusals and state changes. Dropped
 * lines are counted by event.
 */
#ifndef DAEMON_LOG_BUFFER_H
#define DAEMON_LOG_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "log_event.h"

/** Capacity of the buffer, bytes. */
#define CM_LOG_BUFFER_SIZE 65536

/**
 * struct cm_log_buffer - lines to be written
 * @bytes: ring buffer of the lines
 * @begin: index of the first byte to be written
 * @used: number of bytes to be written
 * @lines_per_s: maximum number of lines per second; 0 for no limit
 * @second: the second that @lines refers to, seconds since the epoch
 * @lines: number of lines accepted in @second
 * @unreported: number of lines of each event that were dropped since the last
 *              line of CM_EVENT_LINES_LEFT_OUT
 * @dropped: lines dropped since cm_log_buffer_init()
 */
struct cm_log_buffer {
	char bytes[CM_LOG_BUFFER_SIZE];
	size_t begin;
	size_t used;
	uint32_t lines_per_s;
	uint64_t second;
	uint32_t lines;
	uint32_t unreported[CM_EVENT_COUNT];
	uint64_t dropped;
};

/**
 * cm_log_buffer_init() - initialise an empty buffer
 * @buffer: memory owned by the calling function
 * @lines_per_s: maximum number of lines per second; 0 for no limit
 */
void cm_log_buffer_init(struct cm_log_buffer *buffer, uint32_t lines_per_s);

/**
 * cm_log_buffer_allows() - apply the rate limit to a line
 * @buffer: the buffer
 * @event: event of the line
 * @second: current time, seconds since the epoch
 *
 * Return: true if the line may be added; it then counts towards the limit.
 * Otherwise the line is counted as dropped.
 */
bool cm_log_buffer_allows(struct cm_log_buffer *buffer, enum cm_log_event event,
			  uint64_t second);

/**
 * cm_log_buffer_add() - append a line
 * @buffer: the buffer
 * @event: event of the line
 * @line: the line, with its newline
 * @length: length of @line, bytes
 *
 * If the line does not fit, it is dropped and counted.
 */
void cm_log_buffer_add(struct cm_log_buffer *buffer, enum cm_log_event event,
		       const char *line, size_t length);

/**
 * cm_log_buffer_next() - get the bytes to write next
 * @buffer: the buffer
 * @length: set to the number of contiguous bytes; 0 if the buffer is empty
 *
 * Return: the bytes; they stay in the buffer.
 */
const char *cm_log_buffer_next(const struct cm_log_buffer *buffer,
			       size_t *length);

/**
 * cm_log_buffer_consume() - remove bytes that were written
 * @buffer: the buffer
 * @length: number of bytes
 */
void cm_log_buffer_consume(struct cm_log_buffer *buffer, size_t length);

#endif
