/**
 * DOC: Process of an instance that steers by token
 */
#ifndef DAEMON_STEER_ENTRY_H
#define DAEMON_STEER_ENTRY_H

#include "config/steer_settings.h"

/**
 * cm_steer_entry_run() - run until SIGTERM or SIGINT
 * @settings: settings of the process
 * @path: file of the settings; reloaded on SIGHUP
 *
 * Return: 0 after a graceful shutdown, CM_E_IO or CM_E_MEMORY.
 */
int cm_steer_entry_run(const struct cm_steer_settings *settings,
		       const char *path);

#endif
