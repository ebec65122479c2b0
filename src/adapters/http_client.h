/**
 * DOC: HTTP client
 *
 * Sends requests to one server, one at a time, each over a new connection, so
 * that a late answer can't be taken for the answer to another request. Only
 * cm_http_interrupt() and cm_http_call_count() may be called while another
 * thread uses the client.
 */
#ifndef ADAPTERS_HTTP_CLIENT_H
#define ADAPTERS_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "event_loop.h"

/**
 * struct cm_http_client - a client of one server
 * @loop: event loop of the requests
 * @connection: connection of the request in progress, or NULL
 * @host: host of the server
 * @port: port of the server
 * @authority: host and port, as in the Host header
 * @base_path: path of the base URL, without a trailing slash
 * @call_count: number of requests sent so far
 * @interrupted: set to abort the request in progress and all later ones
 */
struct cm_http_client {
	struct cm_event_loop loop;
	struct evhttp_connection *connection;
	char *host;
	uint16_t port;
	char *authority;
	char *base_path;
	uint64_t call_count;
	uint32_t interrupted;
};

/**
 * struct cm_http_request - a request
 * @path: path and query below the base URL
 * @body: body of a POST, or NULL for a GET
 * @body_size: size of @body, bytes; with a NULL @body_type, 0 stands for the
 *             length of the NUL-terminated @body
 * @body_type: media type of @body; NULL for JSON
 * @timeout_ms: timeout for the first part of the answer, and again for each
 *              further part, ms
 * @total_timeout_ms: timeout for the complete answer, ms; 0 for @timeout_ms
 * @answer_header: name of a header of the answer to return, or NULL
 * @on_body: called with the body received so far whenever a part arrives;
 *           returns false to end the transfer; may be NULL
 * @user: passed to @on_body
 */
struct cm_http_request {
	const char *path;
	const char *body;
	size_t body_size;
	const char *body_type;
	uint32_t timeout_ms;
	uint32_t total_timeout_ms;
	const char *answer_header;
	bool (*on_body)(void *user, const char *text, size_t length);
	void *user;
};

/**
 * struct cm_http_answer - an answer
 * @status: HTTP status
 * @text: the body, NUL-terminated; freed by cm_http_answer_finish()
 * @length: length of @text, bytes
 * @header: value of the header that the request names, several values joined
 *          by ", "; NULL without one; freed by cm_http_answer_finish()
 * @body_started_ms: when the first part of the body arrived, ms; 0 without a
 *                   body
 */
struct cm_http_answer {
	unsigned int status;
	char *text;
	size_t length;
	char *header;
	uint64_t body_started_ms;
};

/**
 * cm_http_url_is_valid() - whether a URL can be the base URL of a client
 * @url: the URL
 *
 * Return: true for an http URL with a host and without query and fragment.
 */
bool cm_http_url_is_valid(const char *url);

/**
 * cm_http_client_init() - initialise a client
 * @client: memory owned by the calling function
 * @url: base URL that cm_http_url_is_valid() accepts, as in
 *       "http://127.0.0.1:2379"; copied
 *
 * Return: 0, or CM_E_MEMORY for any failure.
 */
int cm_http_client_init(struct cm_http_client *client, const char *url);

/**
 * cm_http_client_finish() - free what a client holds
 * @client: the client; the struct itself is not freed
 */
void cm_http_client_finish(struct cm_http_client *client);

/**
 * cm_http_call() - send a request and wait for its answer
 * @client: the client
 * @request: the request
 * @answer: set, also on failure; freed with cm_http_answer_finish()
 *
 * Return: 0 for an answer of any status, CM_E_TIMEOUT, CM_E_TOO_LARGE,
 * CM_E_INTERRUPTED when @on_body of the request ended the transfer,
 * CM_E_UNAVAILABLE or CM_E_MEMORY.
 */
int cm_http_call(struct cm_http_client *client,
		 const struct cm_http_request *request,
		 struct cm_http_answer *answer);

/**
 * cm_http_answer_finish() - free what an answer holds
 * @answer: the answer; the struct itself is not freed
 */
void cm_http_answer_finish(struct cm_http_answer *answer);

/**
 * cm_http_interrupt() - abort the request in progress and all later ones
 * @client: the client
 *
 * They return CM_E_UNAVAILABLE at once. May be called by another thread. Used
 * at shutdown, mostly to end a watch that is waiting for changes.
 */
void cm_http_interrupt(struct cm_http_client *client);

/**
 * cm_http_call_count() - number of requests sent so far
 * @client: the client
 *
 * May be called by another thread.
 *
 * Return: the number; a request counts once, however many parts its answer has.
 */
uint64_t cm_http_call_count(const struct cm_http_client *client);

#endif
