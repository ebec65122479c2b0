/**
 * DOC: Admin port
 *
 * Serves /metrics, /healthz and /status over HTTP from a separate thread. The
 * thread takes the locks of the node for reading only, each for a short time,
 * and holds none of them while it waits for a client.
 */
#ifndef DAEMON_ADMIN_H
#define DAEMON_ADMIN_H

#include "adapters/http_server.h"
#include "chervilmast/node.h"
#include "config/settings.h"

/**
 * struct cm_admin - the admin port of an entry instance
 * @node: node whose state is served
 * @settings: settings of the process
 * @started_ms: start time, for the uptime
 * @server: HTTP server
 */
struct cm_admin {
	struct cm_node *node;
	const struct cm_settings *settings;
	uint64_t started_ms;
	struct cm_http_server server;
};

/**
 * cm_admin_init() - start the admin port
 * @admin: memory owned by the calling function
 * @node: node whose state is served
 * @settings: settings of the process
 *
 * Return: 0 or CM_E_IO.
 */
int cm_admin_init(struct cm_admin *admin, struct cm_node *node,
		  const struct cm_settings *settings);

/**
 * cm_admin_port() - TCP port of the admin port
 * @admin: the admin port
 *
 * Return: the port; the operating system chooses it if the settings have 0.
 */
uint16_t cm_admin_port(const struct cm_admin *admin);

/**
 * cm_admin_finish() - stop the admin port
 * @admin: the admin port; the struct itself is not freed
 */
void cm_admin_finish(struct cm_admin *admin);

#endif
