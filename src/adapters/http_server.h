/**
 * DOC: HTTP server of a few pages
 *
 * Serves pages for GET and HEAD at one address from a thread of its own. A slow
 * client holds up nobody else.
 */
#ifndef ADAPTERS_HTTP_SERVER_H
#define ADAPTERS_HTTP_SERVER_H

#include <stdint.h>

#include "chervilmast/flow_key.h"

/**
 * struct cm_http_page - a page
 * @path: its path; NULL ends a table
 * @type: its media type
 * @render: makes its text, freed with free(), and may set the HTTP status;
 *          returns NULL without memory
 */
struct cm_http_page {
	const char *path;
	const char *type;
	char *(*render)(const void *user, unsigned int *status);
};

/**
 * struct cm_http_server - a server
 * @pages: what it serves
 * @user: for the pages
 * @daemon: handle of the HTTP library; NULL while it does not serve
 */
struct cm_http_server {
	const struct cm_http_page *pages;
	const void *user;
	void *daemon;
};

/**
 * cm_http_server_init() - start to serve
 * @server: memory of the caller
 * @address: where to listen; port 0 lets the system choose
 * @pages: what to serve; kept
 * @user: for the pages
 *
 * Return: 0 or CM_E_IO.
 */
int cm_http_server_init(struct cm_http_server *server,
			const struct cm_endpoint *address,
			const struct cm_http_page *pages, const void *user);

/**
 * cm_http_server_port() - the port that is served
 * @server: the server
 *
 * Return: the TCP port, or 0.
 */
uint16_t cm_http_server_port(const struct cm_http_server *server);

/**
 * cm_http_server_finish() - stop serving
 * @server: the server; its memory stays the caller's
 */
void cm_http_server_finish(struct cm_http_server *server);

#endif
