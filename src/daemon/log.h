/**
 * DOC: Logs
 *
 * One line of key=value pairs for each event, on standard output. A line is
 * never waited for: it goes into a buffer, and from there as far as the reader
 * of standard output takes it.
 */
#ifndef DAEMON_LOG_H
#define DAEMON_LOG_H

#include <stdint.h>

#include "log_event.h"

/**
 * cm_log_init() - set what is logged
 * @level: events above this level are left out
 */
void cm_log_init(enum cm_log_level level);

/**
 * cm_log_bound() - bound the volume, and write only when told to
 * @lines_per_s: most lines a second; 0 for no bound
 *
 * From now on lines wait for cm_log_flush().
 */
void cm_log_bound(uint32_t lines_per_s);

/**
 * cm_log() - log an event
 * @event: which one; its name and level are in log_event.h
 * @format: further key=value pairs, as for printf()
 */
void cm_log(enum cm_log_event event, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * cm_log_flush() - write the lines that wait, as far as it goes without waiting
 *
 * Tells how many lines of which events were left out.
 */
void cm_log_flush(void);

/**
 * cm_log_dropped() - lines left out since the start
 *
 * Return: their number.
 */
uint64_t cm_log_dropped(void);

#endif
