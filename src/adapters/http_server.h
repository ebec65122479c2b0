/**
 * DOC: HTTP server of a few pages
 *
 * Serves pages for GET and HEAD, at one address or several, from a thread of
 * its own. A slow client holds up nobody else.
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
 * @render: makes its text, freed with free(), and may set the HTTP status;
 *          returns NULL without memory
 */
struct cm_http_page {
	const char *path;
	const char *type;
	char *(*render)(const void *user, unsigned int *status);
};

/** Most addresses of a server. */
#define CM_HTTP_SITES_MAX 2

/**
 * struct cm_http_site - an address with its pages
 * @address: where to listen; port 0 lets the system choose
 * @pages: what is served there
 * @user: for the pages
 */
struct cm_http_site {
	struct cm_endpoint address;
	const struct cm_http_page *pages;
	const void *user;
};

/**
 * struct cm_http_server - a server
 * @sites: its addresses; their ports are the ones that are served
 * @https: servers of the library, one for each of @sites
 * @count: number of @sites
 * @loop: event loop of them all
 * @thread: its thread
 */
struct cm_http_server {
	struct cm_http_site sites[CM_HTTP_SITES_MAX];
	struct evhttp *https[CM_HTTP_SITES_MAX];
	size_t count;
	struct cm_event_loop loop;
	pthread_t thread;
};

/**
 * cm_http_server_init() - start to serve
 * @server: memory of the caller
 * @sites: what to serve where; copied
 * @count: number of @sites, at most CM_HTTP_SITES_MAX
 *
 * Return: 0 or CM_E_IO.
 */
int cm_http_server_init(struct cm_http_server *server,
			const struct cm_http_site *sites, size_t count);

/**
 * cm_http_server_port() - a port that is served
 * @server: the server
 * @site: number of the address
 *
 * Return: the TCP port, or 0.
 */
uint16_t cm_http_server_port(const struct cm_http_server *server, size_t site);

/**
 * cm_http_server_finish() - stop serving
 * @server: the server; its memory stays the caller's
 */
void cm_http_server_finish(struct cm_http_server *server);

#endif
