/**
 * DOC: Buffer of log lines
 *
 * Lines wait here until they are written, so that nobody waits for whoever
 * reads them. A budget of lines a second bounds the volume: ordinary decisions
 * get half of it, refusals and changes of belief all. What is left out is
 * counted by event.
 */
#ifndef DAEMON_LOG_BUFFER_H
#define DAEMON_LOG_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "log_event.h"

/** Bytes of lines that may wait. */
#define CM_LOG_BUFFER_SIZE 65536

/**
 * struct cm_log_buffer - lines that wait
 * @bytes: the lines, in a ring
 * @begin: place of the first byte
 * @used: bytes that wait
 * @lines_per_s: budget; 0 for no bound
 * @second: the second that the budget is of
 * @lines: lines in that second
 * @left_out: lines left out since they were last told, by event
 * @dropped: lines left out since the start
 */
struct cm_log_buffer {
	char bytes[CM_LOG_BUFFER_SIZE];
	size_t begin;
	size_t used;
	uint32_t lines_per_s;
	uint64_t second;
	uint32_t lines;
	uint32_t left_out[CM_EVENT_COUNT];
	uint64_t dropped;
};

/**
 * cm_log_buffer_init() - make an empty buffer
 * @buffer: memory of the caller
 * @lines_per_s: budget; 0 for no bound
 */
void cm_log_buffer_init(struct cm_log_buffer *buffer, uint32_t lines_per_s);

/**
 * cm_log_buffer_allows() - whether a line is within the budget
 * @buffer: the buffer
 * @event: its event
 * @second: current second
 *
 * Return: true when it may be added; it then counts.
 */
bool cm_log_buffer_allows(struct cm_log_buffer *buffer, enum cm_log_event event,
			  uint64_t second);

/**
 * cm_log_buffer_add() - let a line wait
 * @buffer: the buffer
 * @event: its event
 * @line: the line, with its newline
 * @length: bytes of @line
 *
 * A line for which there is no room is left out.
 */
void cm_log_buffer_add(struct cm_log_buffer *buffer, enum cm_log_event event,
		       const char *line, size_t length);

/**
 * cm_log_buffer_next() - bytes to write next
 * @buffer: the buffer
 * @length: set to their number
 *
 * Return: the bytes.
 */
const char *cm_log_buffer_next(const struct cm_log_buffer *buffer,
			       size_t *length);

/**
 * cm_log_buffer_taken() - bytes were written
 * @buffer: the buffer
 * @length: their number
 */
void cm_log_buffer_taken(struct cm_log_buffer *buffer, size_t length);

#endif
