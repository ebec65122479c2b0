#include "http_server.h"

#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "socket.h"

#define CONNECTIONS_MAX 32
#define IDLE_TIMEOUT_S 10
#define METHODS "GET, HEAD"

static enum MHD_Result queue(struct MHD_Connection *connection,
			     unsigned int status, struct MHD_Response *response,
			     const char *type)
{
	enum MHD_Result result;

	if (!response)
		return MHD_NO;
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	if (status == MHD_HTTP_METHOD_NOT_ALLOWED)
		MHD_add_response_header(response, MHD_HTTP_HEADER_ALLOW,
					METHODS);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result refuse(struct MHD_Connection *connection,
			      unsigned int status, const char *text)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_PERSISTENT);

	return queue(connection, status, response, "text/plain");
}

static enum MHD_Result respond(const struct cm_http_server *server,
			       struct MHD_Connection *connection,
			       const struct cm_http_page *page)
{
	unsigned int status = MHD_HTTP_OK;
	char *text = page->render(server->user, &status);
	struct MHD_Response *response;

	if (!text)
		return refuse(connection, MHD_HTTP_INTERNAL_SERVER_ERROR,
			      "out-of-memory\n");
	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_FREE);
	if (!response)
		free(text);
	return queue(connection, status, response, page->type);
}

static const struct cm_http_page *find_page(const struct cm_http_server *server,
					    const char *path)
{
	for (const struct cm_http_page *page = server->pages; page->path;
	     page++)
		if (!strcmp(page->path, path))
			return page;
	return NULL;
}

static enum MHD_Result handle(void *user, struct MHD_Connection *connection,
			      const char *url, const char *method,
			      const char *version, const char *data,
			      size_t *data_size, void **state)
{
	const struct cm_http_page *page = find_page(user, url);

	(void)version;
	(void)data;
	(void)data_size;
	(void)state;
	if (!page)
		return refuse(connection, MHD_HTTP_NOT_FOUND, "not-found\n");
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0 &&
	    strcmp(method, MHD_HTTP_METHOD_HEAD) != 0)
		return refuse(connection, MHD_HTTP_METHOD_NOT_ALLOWED,
			      "method-not-allowed\n");
	return respond(user, connection, page);
}

/* No path needs escapes, so one that has some is unknown. */
static size_t keep_escapes(void *user, struct MHD_Connection *connection,
			   char *text)
{
	(void)user;
	(void)connection;
	return strlen(text);
}

int cm_http_server_init(struct cm_http_server *server,
			const struct cm_endpoint *address,
			const struct cm_http_page *pages, const void *user)
{
	struct sockaddr_in bound = cm_socket_address(address);

	server->pages = pages;
	server->user = user;
	server->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
			MHD_USE_PEDANTIC_CHECKS,
		address->port, NULL, NULL, handle, server, MHD_OPTION_SOCK_ADDR,
		&bound, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)IDLE_TIMEOUT_S, MHD_OPTION_UNESCAPE_CALLBACK,
		keep_escapes, NULL, MHD_OPTION_END);
	return server->daemon ? CM_OK : CM_E_IO;
}

uint16_t cm_http_server_port(const struct cm_http_server *server)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info ? info->port : 0;
}

void cm_http_server_finish(struct cm_http_server *server)
{
	if (server->daemon)
		MHD_stop_daemon(server->daemon);
	server->daemon = NULL;
}
