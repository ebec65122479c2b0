#include "http_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chervilmast/error.h"
#include "socket.h"

#define BACKLOG 64
#define IDLE_TIMEOUT_S 10
#define ALLOWED_METHODS "GET, HEAD"
/* All methods reach handle_request(), which rejects those not allowed. */
#define ALL_METHODS                                                            \
	(EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | \
	 EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE |           \
	 EVHTTP_REQ_CONNECT | EVHTTP_REQ_PATCH)

static void add_header(struct evhttp_request *request, const char *name,
		       const char *value)
{
	evhttp_add_header(evhttp_request_get_output_headers(request), name,
			  value);
}

static void reply(struct evhttp_request *request, unsigned int status,
		  const char *type, const char *text)
{
	struct evbuffer *body = evhttp_request_get_output_buffer(request);

	add_header(request, "Content-Type", type);
	if (status == HTTP_BADMETHOD)
		add_header(request, "Allow", ALLOWED_METHODS);
	evbuffer_add(body, text, strlen(text));
	evhttp_send_reply(request, (int)status, NULL, NULL);
}

/* Compares without decoding escapes, as no page's path contains any. */
static bool path_is(const char *path, const char *uri)
{
	size_t length = strcspn(uri, "?#");

	return strlen(path) == length && !strncmp(path, uri, length);
}

static const struct cm_http_page *find_page(const struct cm_http_site *site,
					    const char *uri)
{
	for (const struct cm_http_page *page = site->pages; page->path; page++)
		if (path_is(page->path, uri))
			return page;
	return NULL;
}

/* Not decoded, as no page's query contains escapes. */
static const char *query_of(struct evhttp_request *request)
{
	const char *query = strchr(evhttp_request_get_uri(request), '?');

	return query ? query + 1 : "";
}

static void respond(const struct cm_http_site *site,
		    struct evhttp_request *request,
		    const struct cm_http_page *page)
{
	unsigned int status = HTTP_OK;
	char *text = page->render(site->user, query_of(request), &status);

	if (text)
		reply(request, status, page->type, text);
	else
		reply(request, HTTP_INTERNAL, "text/plain", "out-of-memory\n");
	free(text);
}

static void handle_request(struct evhttp_request *request, void *user)
{
	const struct cm_http_site *site = user;
	struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
	enum evhttp_cmd_type method = evhttp_request_get_command(request);
	const struct cm_http_page *page =
		find_page(site, evhttp_request_get_uri(request));

	if (!evhttp_find_header(headers, "Host"))
		reply(request, HTTP_BADREQUEST, "text/plain", "no-host\n");
	else if (!page)
		reply(request, HTTP_NOTFOUND, "text/plain", "not-found\n");
	else if (method != EVHTTP_REQ_GET && method != EVHTTP_REQ_HEAD)
		reply(request, HTTP_BADMETHOD, "text/plain",
		      "method-not-allowed\n");
	else
		respond(site, request, page);
}

static void *run_loop(void *user)
{
	struct cm_http_server *server = user;

	event_base_dispatch(server->loop.base);
	return NULL;
}

/* Replaces evhttp_bind_socket(), which would resolve the address as a host
 * name.
 */
static int open_listener(struct cm_endpoint *address)
{
	struct sockaddr_in bound = cm_socket_address(address);
	socklen_t size = sizeof(bound);
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&bound, sizeof(bound)) < 0 ||
	    listen(fd, BACKLOG) < 0 ||
	    getsockname(fd, (struct sockaddr *)&bound, &size) < 0) {
		close(fd);
		return -1;
	}
	address->port = ntohs(bound.sin_port);
	return fd;
}

static int listen_at(struct evhttp *http, struct cm_endpoint *address)
{
	int fd = open_listener(address);

	if (fd < 0)
		return CM_E_IO;
	if (evhttp_accept_socket_with_handle(http, fd))
		return CM_OK;
	close(fd);
	return CM_E_IO;
}

static int add_site(struct cm_http_server *server,
		    const struct cm_http_site *given)
{
	struct cm_http_site *site = &server->sites[server->count];
	struct evhttp *http = evhttp_new(server->loop.base);

	if (!http)
		return CM_E_IO;
	*site = *given;
	server->evhttp_servers[server->count++] = http;
	evhttp_set_allowed_methods(http, ALL_METHODS);
	evhttp_set_timeout(http, IDLE_TIMEOUT_S);
	evhttp_set_gencb(http, handle_request, site);
	return listen_at(http, &site->address);
}

static void tear_down(struct cm_http_server *server)
{
	for (size_t i = 0; i < server->count; i++)
		evhttp_free(server->evhttp_servers[i]);
	cm_event_loop_finish(&server->loop);
	server->count = 0;
}

int cm_http_server_init(struct cm_http_server *server,
			const struct cm_http_site *sites, size_t count)
{
	int error;

	memset(server, 0, sizeof(*server));
	error = cm_event_loop_init(&server->loop);
	for (size_t i = 0; i < count && !error; i++)
		error = add_site(server, &sites[i]);
	if (!error && pthread_create(&server->thread, NULL, run_loop, server))
		error = CM_E_IO;
	if (error)
		tear_down(server);
	return error;
}

uint16_t cm_http_server_port(const struct cm_http_server *server, size_t site)
{
	return server->sites[site].address.port;
}

void cm_http_server_finish(struct cm_http_server *server)
{
	if (!server->loop.base)
		return;
	cm_event_loop_stop(&server->loop);
	pthread_join(server->thread, NULL);
	tear_down(server);
}
