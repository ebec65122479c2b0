/**
 * DOC: Logs
 *
 * One line of key=value pairs for each event, on standard output. A slow reader
 * of standard output never blocks a thread that logs: lines go into a buffer,
 * and are written from there only as far as the reader accepts them.
 */
#ifndef DAEMON_LOG_H
#define DAEMON_LOG_H

#include <stdint.h>

#include "log_event.h"

/**
 * cm_log_init() - set the log level
 * @level: most verbose level that is logged
 */
void cm_log_init(enum cm_log_level level);

/**
 * cm_log_set_rate_limit() - limit the rate of lines and defer writes
 * @lines_per_s: maximum number of lines per second; 0 for no limit
 *
 * From now on, lines are only written by cm_log_flush(). Discards the lines in
 * the buffer and resets the numbers of dropped lines to 0.
 */
void cm_log_set_rate_limit(uint32_t lines_per_s);

/**
 * cm_log() - log an event
 * @event: the event; its name and level are in log_event.h
 * @format: printf() format of further key=value pairs
 */
void cm_log(enum cm_log_event event, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * cm_log_flush() - write buffered lines, as far as possible without blocking
 *
 * At most once per second, it also logs how many lines of which events were
 * dropped.
 */
void cm_log_flush(void);

/**
 * cm_log_dropped() - number of dropped lines
 *
 * Counts from the last call of cm_log_set_rate_limit(), or from the start of
 * the process if there was none.
 *
 * Return: the number.
 */
uint64_t cm_log_dropped(void);

#endif
