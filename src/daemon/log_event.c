#include "log_event.h"

/**
 * struct event_info - static properties of an event
 * @name: name in the log
 * @level: level
 * @help: one-line description
 */
struct event_info {
	const char *name;
	enum cm_log_level level;
	const char *help;
};

static const struct event_info events[CM_EVENT_COUNT] = {
#define CM_LOG_EVENT_INFO(event, level, text, help) \
	{ text, CM_LOG_##level, help },
	CM_LOG_EVENTS(CM_LOG_EVENT_INFO)
#undef CM_LOG_EVENT_INFO
};

const char *cm_log_event_name(enum cm_log_event event)
{
	return events[event].name;
}

enum cm_log_level cm_log_event_level(enum cm_log_event event)
{
	return events[event].level;
}

const char *cm_log_event_help(enum cm_log_event event)
{
	return events[event].help;
}
