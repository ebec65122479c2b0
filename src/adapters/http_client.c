#include "http_client.h"

#include <ck_pr.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "chervilmast/error.h"
#include "ports/clock.h"

#define PATH_SIZE 1024
#define DEFAULT_PORT 80
#define JSON_TYPE "application/json"
/* Maximum size of the body of an answer, bytes; it may contain several values
 * of up to a megabyte each. */
#define ANSWER_SIZE_MAX (16 * 1024 * 1024)
#define MS_PER_S 1000
#define US_PER_MS 1000

/**
 * struct transfer - a request in progress
 * @client: client that sent it
 * @request: the request
 * @timer: ends the transfer if the next part of the answer arrives too late
 * @deadline_ms: deadline for the complete answer
 * @text: body of the answer as received so far
 * @header: value of the header that the request names; NULL for none
 * @body_started_ms: when the first part of the body arrived, ms; 0 until then
 * @status: HTTP status; 0 until it is received
 * @error: outcome, once @is_done is set
 * @is_done: the transfer has ended
 */
struct transfer {
	struct cm_http_client *client;
	const struct cm_http_request *request;
	struct event *timer;
	uint64_t deadline_ms;
	GString *text;
	GString *header;
	uint64_t body_started_ms;
	unsigned int status;
	int error;
	bool is_done;
};

static void transfer_end(struct transfer *transfer, int error)
{
	if (transfer->is_done)
		return;
	transfer->error = error;
	transfer->is_done = true;
	event_base_loopbreak(transfer->client->loop.base);
}

static int transfer_restart_timer(struct transfer *transfer)
{
	uint64_t now_ms = cm_clock_ms();
	uint64_t wait_ms = transfer->request->timeout_ms;
	struct timeval wait;

	if (now_ms + wait_ms > transfer->deadline_ms)
		wait_ms = now_ms < transfer->deadline_ms ?
				  transfer->deadline_ms - now_ms :
				  0;
	wait.tv_sec = (time_t)(wait_ms / MS_PER_S);
	wait.tv_usec = (suseconds_t)(wait_ms % MS_PER_S) * US_PER_MS;
	return evtimer_add(transfer->timer, &wait) ? CM_E_MEMORY : CM_OK;
}

static void transfer_append(struct transfer *transfer, struct evbuffer *input)
{
	const struct cm_http_request *request = transfer->request;
	size_t length = evbuffer_get_length(input);
	const unsigned char *bytes = evbuffer_pullup(input, -1);

	if (!length || transfer->is_done)
		return;
	if (transfer->text->len + length > ANSWER_SIZE_MAX) {
		transfer_end(transfer, CM_E_TOO_LARGE);
		return;
	}
	if (!transfer->body_started_ms)
		transfer->body_started_ms = cm_clock_ms();
	g_string_append_len(transfer->text, (const char *)bytes,
			    (gssize)length);
	if (transfer_restart_timer(transfer))
		transfer_end(transfer, CM_E_MEMORY);
	if (request->on_body &&
	    !request->on_body(request->user, transfer->text->str,
			      transfer->text->len))
		transfer_end(transfer, CM_E_INTERRUPTED);
}

static void on_chunk(struct evhttp_request *http, void *user)
{
	transfer_append(user, evhttp_request_get_input_buffer(http));
}

/* A header that occurs several times stands for the list of its values. */
static void read_header(struct transfer *transfer, struct evhttp_request *http)
{
	const char *name = transfer->request->answer_header;
	const struct evkeyvalq *headers =
		evhttp_request_get_input_headers(http);
	const struct evkeyval *header;

	if (!name)
		return;
	TAILQ_FOREACH (header, headers, next) {
		if (evutil_ascii_strcasecmp(header->key, name) != 0)
			continue;
		if (transfer->header)
			g_string_append_printf(transfer->header, ", %s",
					       header->value);
		else
			transfer->header = g_string_new(header->value);
	}
}

static void on_answer(struct evhttp_request *http, void *user)
{
	struct transfer *transfer = user;
	int status = http ? evhttp_request_get_response_code(http) : 0;

	if (!status) {
		transfer_end(transfer, CM_E_UNAVAILABLE);
		return;
	}
	transfer_append(transfer, evhttp_request_get_input_buffer(http));
	transfer->status = (unsigned int)status;
	read_header(transfer, http);
	transfer_end(transfer, CM_OK);
}

/* libevent calls this first and then on_answer() with a NULL request. */
static void on_error(enum evhttp_request_error error, void *user)
{
	if (error == EVREQ_HTTP_DATA_TOO_LONG)
		transfer_end(user, CM_E_TOO_LARGE);
}

static void on_timeout(evutil_socket_t fd, short events, void *user)
{
	(void)fd;
	(void)events;
	transfer_end(user, CM_E_TIMEOUT);
}

static void drop_connection(struct cm_http_client *client)
{
	if (client->connection)
		evhttp_connection_free(client->connection);
	client->connection = NULL;
}

static int connect_client(struct cm_http_client *client)
{
	client->connection = evhttp_connection_base_new(
		client->loop.base, NULL, client->host, client->port);
	if (!client->connection)
		return CM_E_MEMORY;
	evhttp_connection_set_max_body_size(client->connection,
					    ANSWER_SIZE_MAX);
	return CM_OK;
}

static size_t body_size(const struct cm_http_request *request)
{
	if (request->body_type || request->body_size)
		return request->body_size;
	return strlen(request->body);
}

static int add_headers(struct evhttp_request *http,
		       const struct cm_http_client *client,
		       const struct cm_http_request *request)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(http);

	if (evhttp_add_header(headers, "Host", client->authority) ||
	    evhttp_add_header(headers, "Connection", "close"))
		return CM_E_MEMORY;
	if (!request->body)
		return CM_OK;
	if (evhttp_add_header(headers, "Content-Type",
			      request->body_type ? request->body_type :
						   JSON_TYPE))
		return CM_E_MEMORY;
	return evbuffer_add(evhttp_request_get_output_buffer(http),
			    request->body, body_size(request)) ?
		       CM_E_MEMORY :
		       CM_OK;
}

/* evhttp_make_request() takes ownership of the request, also when it fails. */
static int send_request(struct cm_http_client *client,
			const struct cm_http_request *request,
			struct transfer *transfer)
{
	struct evhttp_request *http = evhttp_request_new(on_answer, transfer);
	char path[PATH_SIZE];

	if (!http)
		return CM_E_MEMORY;
	if (add_headers(http, client, request)) {
		evhttp_request_free(http);
		return CM_E_MEMORY;
	}
	evhttp_request_set_chunked_cb(http, on_chunk);
	evhttp_request_set_error_cb(http, on_error);
	snprintf(path, sizeof(path), "%s%s", client->base_path, request->path);
	ck_pr_inc_64(&client->call_count);
	if (evhttp_make_request(
		    client->connection, http,
		    request->body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path))
		return CM_E_UNAVAILABLE;
	return CM_OK;
}

static void wait_for_transfer(struct cm_http_client *client,
			      struct transfer *transfer)
{
	const struct cm_http_request *request = transfer->request;
	uint32_t total_ms = request->total_timeout_ms ?
				    request->total_timeout_ms :
				    request->timeout_ms;

	transfer->deadline_ms = cm_clock_ms() + total_ms;
	transfer->timer = evtimer_new(client->loop.base, on_timeout, transfer);
	if (!transfer->timer || transfer_restart_timer(transfer)) {
		transfer_end(transfer, CM_E_MEMORY);
	} else {
		while (!transfer->is_done &&
		       !ck_pr_load_32(&client->interrupted))
			event_base_dispatch(client->loop.base);
	}
	/* No effect unless the wait was interrupted. */
	transfer_end(transfer, CM_E_UNAVAILABLE);
	if (transfer->timer)
		event_free(transfer->timer);
}

static int perform(struct cm_http_client *client,
		   const struct cm_http_request *request,
		   struct transfer *transfer)
{
	int error = connect_client(client);

	if (ck_pr_load_32(&client->interrupted))
		return CM_E_UNAVAILABLE;
	if (!error)
		error = send_request(client, request, transfer);
	if (error)
		return error;
	wait_for_transfer(client, transfer);
	return transfer->error;
}

int cm_http_call(struct cm_http_client *client,
		 const struct cm_http_request *request,
		 struct cm_http_answer *answer)
{
	struct transfer transfer = {
		.client = client,
		.request = request,
		.text = g_string_new(NULL),
	};
	int error = perform(client, request, &transfer);

	/* A late answer must not be taken for the one to the next request. */
	drop_connection(client);
	answer->status = transfer.status;
	answer->body_started_ms = transfer.body_started_ms;
	answer->length = transfer.text->len;
	answer->text = g_string_free(transfer.text, FALSE);
	answer->header =
		transfer.header ? g_string_free(transfer.header, FALSE) : NULL;
	return error;
}

void cm_http_answer_finish(struct cm_http_answer *answer)
{
	g_free(answer->text);
	g_free(answer->header);
	answer->text = NULL;
	answer->header = NULL;
	answer->length = 0;
}

bool cm_http_url_is_valid(const char *url)
{
	struct evhttp_uri *uri = evhttp_uri_parse(url);
	const char *scheme = uri ? evhttp_uri_get_scheme(uri) : NULL;
	const char *host = uri ? evhttp_uri_get_host(uri) : NULL;
	bool is_valid = scheme && !strcmp(scheme, "http") && host && *host &&
			!evhttp_uri_get_query(uri) &&
			!evhttp_uri_get_fragment(uri);

	if (uri)
		evhttp_uri_free(uri);
	return is_valid;
}

static int set_url(struct cm_http_client *client, const char *url)
{
	struct evhttp_uri *uri = evhttp_uri_parse(url);
	const char *host = uri ? evhttp_uri_get_host(uri) : NULL;
	int port = uri ? evhttp_uri_get_port(uri) : 0;
	size_t length;

	if (host) {
		client->host = strdup(host);
		client->port = (uint16_t)(port > 0 ? port : DEFAULT_PORT);
		client->authority =
			g_strdup_printf("%s:%u", host, client->port);
		client->base_path = strdup(evhttp_uri_get_path(uri));
	}
	if (uri)
		evhttp_uri_free(uri);
	if (!client->host || !client->base_path)
		return CM_E_MEMORY;
	length = strlen(client->base_path);
	if (length && client->base_path[length - 1] == '/')
		client->base_path[length - 1] = '\0';
	return CM_OK;
}

int cm_http_client_init(struct cm_http_client *client, const char *url)
{
	memset(client, 0, sizeof(*client));
	client->loop.stop_fd = -1;
	if (set_url(client, url) || cm_event_loop_init(&client->loop)) {
		cm_http_client_finish(client);
		return CM_E_MEMORY;
	}
	return CM_OK;
}

void cm_http_interrupt(struct cm_http_client *client)
{
	ck_pr_store_32(&client->interrupted, 1);
	cm_event_loop_stop(&client->loop);
}

uint64_t cm_http_call_count(const struct cm_http_client *client)
{
	return ck_pr_load_64(&client->call_count);
}

void cm_http_client_finish(struct cm_http_client *client)
{
	drop_connection(client);
	cm_event_loop_finish(&client->loop);
	free(client->host);
	g_free(client->authority);
	free(client->base_path);
	memset(client, 0, sizeof(*client));
	client->loop.stop_fd = -1;
}
