#include "log.h"

#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "log_buffer.h"

/** Maximum size of a line with its newline, bytes. */
#define LINE_SIZE 640
#define TIMESTAMP_SIZE 40
#define NS_PER_US 1000
/**
 * Maximum size of a write, bytes. A pipe that is ready for writing accepts
 * this many bytes (PIPE_BUF) without blocking.
 */
#define WRITE_MAX 4096

static const char *const level_names[] = {
	[CM_LOG_ERROR] = "error",
	[CM_LOG_WARNING] = "warning",
	[CM_LOG_INFO] = "info",
	[CM_LOG_DEBUG] = "debug",
};

static enum cm_log_level max_level = CM_LOG_INFO;
/* Guards the variables below. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct cm_log_buffer buffer;
static bool writes_only_on_flush;
static time_t timestamp_second = -1;
static char timestamp[TIMESTAMP_SIZE];

/* GLib handler: logs each message of a library as CM_EVENT_LIBRARY. */
static void log_library_message(const char *domain, GLogLevelFlags level,
				const char *message, void *user)
{
	(void)level;
	(void)user;
	cm_log(CM_EVENT_LIBRARY, "library=%s message=\"%s\"",
	       domain ? domain : "", message);
}

void cm_log_init(enum cm_log_level level)
{
	max_level = level;
	g_log_set_default_handler(log_library_message, NULL);
}

void cm_log_set_rate_limit(uint32_t lines_per_s)
{
	pthread_mutex_lock(&lock);
	cm_log_buffer_init(&buffer, lines_per_s);
	writes_only_on_flush = true;
	pthread_mutex_unlock(&lock);
}

static void set_timestamp(time_t second)
{
	struct tm parts;

	if (second == timestamp_second)
		return;
	gmtime_r(&second, &parts);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &parts);
	timestamp_second = second;
}

/* Values may come from another writer; a line break would begin a line. */
static void replace_control_characters(char *text, size_t length)
{
	for (size_t i = 0; i < length; i++)
		if (g_ascii_iscntrl(text[i]))
			text[i] = '?';
}

/* Truncates lines that are too long; a line always ends with a newline. */
static size_t format_line(char *line, const struct timespec *now,
			  enum cm_log_event event, const char *format,
			  va_list arguments)
{
	int head_length, pairs_length;
	size_t length;

	set_timestamp(now->tv_sec);
	head_length =
		snprintf(line, LINE_SIZE, "time=%s.%06ldZ level=%s event=%s",
			 timestamp, now->tv_nsec / NS_PER_US,
			 level_names[cm_log_event_level(event)],
			 cm_log_event_name(event));
	length = (size_t)head_length;
	if (*format) {
		line[length++] = ' ';
		pairs_length = vsnprintf(line + length, LINE_SIZE - length,
					 format, arguments);
		length += pairs_length < 0 ? 0 : (size_t)pairs_length;
	}
	if (length > LINE_SIZE - 2)
		length = LINE_SIZE - 2;
	replace_control_characters(line, length);
	line[length++] = '\n';
	return length;
}

static bool can_write(void)
{
	struct pollfd poll_fd = { .fd = STDOUT_FILENO, .events = POLLOUT };

	return poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & POLLOUT);
}

static void write_buffered(void)
{
	while (buffer.used && can_write()) {
		size_t length;
		const char *bytes = cm_log_buffer_next(&buffer, &length);
		ssize_t written;

		if (length > WRITE_MAX)
			length = WRITE_MAX;
		written = write(STDOUT_FILENO, bytes, length);
		if (written <= 0)
			return;
		cm_log_buffer_consume(&buffer, (size_t)written);
	}
}

static void add_line(enum cm_log_event event, const char *format,
		     va_list arguments)
{
	char line[LINE_SIZE];
	struct timespec now;
	size_t length;

	clock_gettime(CLOCK_REALTIME, &now);
	if (!cm_log_buffer_allows(&buffer, event, (uint64_t)now.tv_sec))
		return;
	length = format_line(line, &now, event, format, arguments);
	cm_log_buffer_add(&buffer, event, line, length);
}

void cm_log(enum cm_log_event event, const char *format, ...)
{
	va_list arguments;

	if (cm_log_event_level(event) > max_level)
		return;
	va_start(arguments, format);
	pthread_mutex_lock(&lock);
	add_line(event, format, arguments);
	if (!writes_only_on_flush)
		write_buffered();
	pthread_mutex_unlock(&lock);
	va_end(arguments);
}

static void __attribute__((format(printf, 2, 3)))
add_formatted(enum cm_log_event event, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	add_line(event, format, arguments);
	va_end(arguments);
}

static void report_dropped(void)
{
	for (int i = 0; i < CM_EVENT_COUNT; i++) {
		uint32_t unreported = buffer.unreported[i];

		if (!unreported)
			continue;
		buffer.unreported[i] = 0;
		add_formatted(CM_EVENT_LINES_LEFT_OUT, "of=%s lines=%u",
			      cm_log_event_name(i), unreported);
	}
}

void cm_log_flush(void)
{
	static time_t reported_second;
	time_t second = time(NULL);

	pthread_mutex_lock(&lock);
	if (second != reported_second) {
		report_dropped();
		reported_second = second;
	}
	write_buffered();
	pthread_mutex_unlock(&lock);
}

uint64_t cm_log_dropped(void)
{
	uint64_t dropped;

	pthread_mutex_lock(&lock);
	dropped = buffer.dropped;
	pthread_mutex_unlock(&lock);
	return dropped;
}
