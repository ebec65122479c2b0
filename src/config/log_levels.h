/**
 * DOC: Names of log levels in settings
 */
#ifndef CONFIG_LOG_LEVELS_H
#define CONFIG_LOG_LEVELS_H

/** The names, in the order of enum cm_log_level; NULL ends them. */
extern const char *const cm_log_levels[];

#endif
