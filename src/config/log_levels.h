/**
 * DOC: Names of log levels in settings
 */
#ifndef CONFIG_LOG_LEVELS_H
#define CONFIG_LOG_LEVELS_H

/** Names in the order of enum cm_log_level, terminated by NULL. */
extern const char *const cm_log_levels[];

#endif
