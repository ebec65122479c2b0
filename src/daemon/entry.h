/**
 * DOC: Entry instance
 *
 * The process between the fabric and the backend servers. It runs the packet
 * threads, the control thread, the store thread and the admin port.
 */
#ifndef DAEMON_ENTRY_H
#define DAEMON_ENTRY_H

#include "config/settings.h"

/**
 * cm_entry_run() - run an entry instance until SIGTERM or SIGINT
 * @settings: settings of the process
 *
 * Return: 0 after a graceful shutdown, or an error if it could not start.
 */
int cm_entry_run(const struct cm_settings *settings);

#endif
