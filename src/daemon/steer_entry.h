/**
 * DOC: Process of an instance that steers by token
 */
#ifndef DAEMON_STEER_ENTRY_H
#define DAEMON_STEER_ENTRY_H

#include "config/steer_settings.h"

/**
 * cm_steer_entry_run() - run until SIGTERM or SIGINT
 * @settings: settings of the process
 * @path: path of the settings file; on SIGHUP it is read again, and only the
 *        log settings are applied
 *
 * Return: 0 after a graceful shutdown, CM_E_IO or CM_E_MEMORY.
 */
int cm_steer_entry_run(const struct cm_steer_settings *settings,
		       const char *path);

#endif
