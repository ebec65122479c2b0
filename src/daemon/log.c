#include "log.h"

#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "log_buffer.h"

#define LINE_SIZE 640
#define STAMP_SIZE 40
#define NS_PER_US 1000
/** A pipe that is ready takes so many bytes without blocking. */
#define WRITE_MOST 4096

static const char *const level_names[] = {
	[CM_LOG_ERROR] = "error",
	[CM_LOG_WARNING] = "warning",
	[CM_LOG_INFO] = "info",
	[CM_LOG_DEBUG] = "debug",
};

/* All but the level is guarded by the lock. */
static enum cm_log_level most = CM_LOG_INFO;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct cm_log_buffer buffer;
static bool is_bounded;
static time_t stamp_second = -1;
static char stamp[STAMP_SIZE];

/* Of the libraries: they have no event of their own. */
static void write_foreign(const char *domain, GLogLevelFlags level,
			  const char *message, void *user)
{
	(void)level;
	(void)user;
	cm_log(CM_EVENT_LIBRARY, "library=%s message=\"%s\"",
	       domain ? domain : "", message);
}

void cm_log_init(enum cm_log_level level)
{
	most = level;
	g_log_set_default_handler(write_foreign, NULL);
}

void cm_log_bound(uint32_t lines_per_s)
{
	pthread_mutex_lock(&lock);
	cm_log_buffer_init(&buffer, lines_per_s);
	is_bounded = true;
	pthread_mutex_unlock(&lock);
}

static void set_stamp(time_t second)
{
	struct tm parts;

	if (second == stamp_second)
		return;
	gmtime_r(&second, &parts);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
	stamp_second = second;
}

/* Longer lines are cut off; a line always ends with a newline. */
static size_t make_line(char *line, const struct timespec *now,
			enum cm_log_event event, const char *format,
			va_list arguments)
{
	int head, pairs;
	size_t length;

	set_stamp(now->tv_sec);
	head = snprintf(line, LINE_SIZE, "time=%s.%06ldZ level=%s event=%s",
			stamp, now->tv_nsec / NS_PER_US,
			level_names[cm_log_event_level(event)],
			cm_log_event_name(event));
	length = (size_t)head;
	if (*format) {
		line[length++] = ' ';
		pairs = vsnprintf(line + length, LINE_SIZE - length, format,
				  arguments);
		length += pairs < 0 ? 0 : (size_t)pairs;
	}
	if (length > LINE_SIZE - 2)
		length = LINE_SIZE - 2;
	line[length++] = '\n';
	return length;
}

static bool can_write(void)
{
	struct pollfd poll_fd = { .fd = STDOUT_FILENO, .events = POLLOUT };

	return poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & POLLOUT);
}

static void write_out(void)
{
	while (buffer.used && can_write()) {
		size_t length;
		const char *bytes = cm_log_buffer_next(&buffer, &length);
		ssize_t written;

		if (length > WRITE_MOST)
			length = WRITE_MOST;
		written = write(STDOUT_FILENO, bytes, length);
		if (written <= 0)
			return;
		cm_log_buffer_taken(&buffer, (size_t)written);
	}
}

static void add(enum cm_log_event event, const char *format, va_list arguments)
{
	char line[LINE_SIZE];
	struct timespec now;
	size_t length;

	clock_gettime(CLOCK_REALTIME, &now);
	if (!cm_log_buffer_allows(&buffer, event, (uint64_t)now.tv_sec))
		return;
	length = make_line(line, &now, event, format, arguments);
	cm_log_buffer_add(&buffer, event, line, length);
}

void cm_log(enum cm_log_event event, const char *format, ...)
{
	va_list arguments;

	if (cm_log_event_level(event) > most)
		return;
	va_start(arguments, format);
	pthread_mutex_lock(&lock);
	add(event, format, arguments);
	if (!is_bounded)
		write_out();
	pthread_mutex_unlock(&lock);
	va_end(arguments);
}

static void __attribute__((format(printf, 2, 3)))
add_pairs(enum cm_log_event event, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	add(event, format, arguments);
	va_end(arguments);
}

static void tell_left_out(void)
{
	for (int i = 0; i < CM_EVENT_COUNT; i++) {
		uint32_t left_out = buffer.left_out[i];

		if (!left_out)
			continue;
		buffer.left_out[i] = 0;
		add_pairs(CM_EVENT_LINES_LEFT_OUT, "of=%s lines=%u",
			  cm_log_event_name(i), left_out);
	}
}

void cm_log_flush(void)
{
	static time_t told_second;
	time_t second = time(NULL);

	pthread_mutex_lock(&lock);
	if (second != told_second) {
		tell_left_out();
		told_second = second;
	}
	write_out();
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
