/**
 * DOC: HTTP server for a few pages
 *
 * Serves pages for GET and HEAD on one or more addresses, from its own thread.
 * A slow client does not block others.
 */
#ifndef ADAPTERS_HTTP_SERVER_H
#define ADAPTERS_HTTP_SERVER_H

#include <pthread.h>
#include <stdint.h>

#include "chervilmast/flow_key.h"
#include "event_loop.h"

/**
 * struct cm_http_page - a page
 * @path: its path; NULL ends a table
 * @type: its media type
 * @render: return its text, which the server frees with free(), or NULL when
 *          out of memory; gets the query of the URL, "" for none, and may set
 *          the HTTP status, which is 200 by default
 */
struct cm_http_page {
	const char *path;
	const char *type;
	char *(*render)(const void *user, const char *query,
			unsigned int *status);
};

/** Maximum number of addresses of a server. */
#define CM_HTTP_SITES_MAX 2

/**
 * struct cm_http_site - an address and its pages
 * @address: address to listen on; with port 0 the system chooses a port
 * @pages: pages that are served there
 * @user: passed to the pages' @render
 */
struct cm_http_site {
	struct cm_endpoint address;
	const struct cm_http_page *pages;
	const void *user;
};

/**
 * struct cm_http_server - a server
 * @sites: its addresses, with the ports that it listens on
 * @evhttp_servers: servers of libevent, one for each of @sites
 * @count: number of @sites
 * @loop: event loop of all @sites
 * @thread: thread that runs @loop
 */
struct cm_http_server {
	struct cm_http_site sites[CM_HTTP_SITES_MAX];
	struct evhttp *evhttp_servers[CM_HTTP_SITES_MAX];
	size_t count;
	struct cm_event_loop loop;
	pthread_t thread;
};

/**
 * cm_http_server_init() - start a server
 * @server: memory owned by the calling function
 * @sites: its addresses; copied
 * @count: number of @sites, at most CM_HTTP_SITES_MAX
 *
 * Return: 0 or CM_E_IO.
 */
int cm_http_server_init(struct cm_http_server *server,
			const struct cm_http_site *sites, size_t count);

/**
 * cm_http_server_port() - port of an address of the server
 * @server: the server
 * @site: index of the address
 *
 * Return: the TCP port; 0 for a zeroed struct.
 */
uint16_t cm_http_server_port(const struct cm_http_server *server, size_t site);

/**
 * cm_http_server_finish() - stop a server
 * @server: the server, or a zeroed struct; the struct itself is not freed
 */
void cm_http_server_finish(struct cm_http_server *server);

#endif
