/**
 * DOC: Admin port
 *
 * Serves /metrics, /healthz and /status over HTTP from a thread of its own.
 * It takes the node's locks for reading only, each for a short time, and a
 * slow client holds none of them.
 */
#ifndef DAEMON_ADMIN_H
#define DAEMON_ADMIN_H

#include "adapters/http_server.h"
#include "chervilmast/node.h"
#include "config/settings.h"

/**
 * struct cm_admin - the admin port of an entry instance
 * @node: the node that is shown
 * @settings: settings of the process
 * @started_ms: when it started
 * @server: serves its pages
 */
struct cm_admin {
	struct cm_node *node;
	const struct cm_settings *settings;
	uint64_t started_ms;
	struct cm_http_server server;
};

/**
 * cm_admin_init() - start to serve
 * @admin: memory of the caller
 * @node: the node to show
 * @settings: settings of the process
 *
 * Return: 0 or CM_E_IO.
 */
int cm_admin_init(struct cm_admin *admin, struct cm_node *node,
		  const struct cm_settings *settings);

/**
 * cm_admin_port() - the port that is served
 * @admin: the port
 *
 * Return: the TCP port; chosen by the system when the settings say 0.
 */
uint16_t cm_admin_port(const struct cm_admin *admin);

/**
 * cm_admin_finish() - stop serving
 * @admin: the port; its memory stays the caller's
 */
void cm_admin_finish(struct cm_admin *admin);

#endif
