/*
 * Guards against two faults of an HTTP client: a duplicate response taken for
 * the response to the next request, and a truncated response taken for a
 * complete one. A scripted server sends both.
 */
#include "unit/suites.h"

#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/http_client.h"
#include "chervilmast/error.h"

#define TIMEOUT_MS 2000
#define URL_SIZE 64
#define HEAD_MAX 2048
/** Interval at which the server checks whether it has to stop, ms. */
#define STOP_CHECK_MS 200
#define ONE "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
#define TWO "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"

/**
 * struct script - responses of the server
 * @what: description of the fault
 * @first: response to the first request
 * @second: response to all later requests, on any connection
 * @duplicate: sent before @second if the connection was used before; may be
 *             NULL
 * @closes_after_first: the server closes the connection after @first
 * @error: expected result of the first call
 */
struct script {
	const char *what;
	const char *first;
	const char *second;
	const char *duplicate;
	bool closes_after_first;
	int error;
};

static struct {
	int listener;
	const struct script *script;
	int requests;
	pthread_t thread;
	volatile bool is_stopping;
} server;

static bool is_readable(int fd)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

	return poll(&poll_fd, 1, STOP_CHECK_MS) > 0;
}

/* Returns true once a complete request head was received. */
static bool read_request(int fd)
{
	char head[HEAD_MAX + 1];
	size_t length = 0;

	while (!server.is_stopping && length < HEAD_MAX) {
		ssize_t got;

		if (!is_readable(fd))
			continue;
		got = recv(fd, head + length, HEAD_MAX - length, 0);
		if (got <= 0)
			return false;
		length += (size_t)got;
		head[length] = '\0';
		if (strstr(head, "\r\n\r\n"))
			return true;
	}
	return false;
}

static void send_text(int fd, const char *text)
{
	if (text)
		ck_assert_int_ge(send(fd, text, strlen(text), MSG_NOSIGNAL), 0);
}

static void serve_connection(int fd)
{
	const struct script *script = server.script;

	for (int request_count = 0; read_request(fd); request_count++) {
		if (server.requests++) {
			if (request_count)
				send_text(fd, script->duplicate);
			send_text(fd, script->second);
			continue;
		}
		send_text(fd, script->first);
		if (script->closes_after_first)
			return;
	}
}

static void *run_server(void *user)
{
	(void)user;
	while (!server.is_stopping) {
		int fd;

		if (!is_readable(server.listener))
			continue;
		fd = accept(server.listener, NULL, NULL);
		if (fd < 0)
			continue;
		serve_connection(fd);
		close(fd);
	}
	return NULL;
}

static struct cm_http_client client;

static void start_server(const struct script *script)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	char url[URL_SIZE];

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server.script = script;
	server.requests = 0;
	server.is_stopping = false;
	server.listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ck_assert_int_eq(bind(server.listener, (struct sockaddr *)&address,
			      sizeof(address)),
			 0);
	ck_assert_int_eq(listen(server.listener, 8), 0);
	getsockname(server.listener, (struct sockaddr *)&address, &size);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u",
		 ntohs(address.sin_port));
	ASSERT_OK(cm_http_client_init(&client, url));
	pthread_create(&server.thread, NULL, run_server, NULL);
}

static void setup(void)
{
}

static void teardown(void)
{
	server.is_stopping = true;
	cm_http_client_finish(&client);
	pthread_join(server.thread, NULL);
	close(server.listener);
}

UNIT_CASE("platform", "answers", setup, teardown, UNIT_TIMEOUT_S);

static const struct cm_http_request request = {
	.path = "/",
	.timeout_ms = TIMEOUT_MS,
};

/* Scripts that send the response to the first request twice. */
static const struct script duplicate_responses[] = {
	{ "duplicate at once", ONE ONE, TWO, NULL, false, CM_OK },
	{ "duplicate after the next request", ONE, TWO, ONE, false, CM_OK },
};

TEST_TABLE(duplicate_response_is_not_taken_for_the_next, duplicate_responses)
{
	struct cm_http_answer answer;

	start_server(&duplicate_responses[_i]);
	ASSERT_OK(cm_http_call(&client, &request, &answer));
	ck_assert_str_eq(answer.text, "one");
	cm_http_answer_finish(&answer);
	ASSERT_OK(cm_http_call(&client, &request, &answer));
	ck_assert_str_eq(answer.text, "two");
	cm_http_answer_finish(&answer);
}

/* Scripts that close the connection, most before the response is complete. */
static const struct script truncated_responses[] = {
	{ "body shorter than Content-Length",
	  "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\none", TWO, NULL, true,
	  CM_E_UNAVAILABLE },
	{ "no last chunk",
	  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "3\r\none\r\n",
	  TWO, NULL, true, CM_E_UNAVAILABLE },
	{ "cut within a chunk",
	  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "30\r\none",
	  TWO, NULL, true, CM_E_UNAVAILABLE },
	{ "cut within the head", "HTTP/1.1 200 OK\r\nContent-Le", TWO, NULL,
	  true, CM_E_UNAVAILABLE },
	{ "complete", ONE, TWO, NULL, true, CM_OK },
};

TEST_TABLE(truncated_response_is_an_error, truncated_responses)
{
	struct cm_http_answer answer;

	start_server(&truncated_responses[_i]);
	ck_assert_int_eq(cm_http_call(&client, &request, &answer),
			 truncated_responses[_i].error);
	cm_http_answer_finish(&answer);
	ASSERT_OK(cm_http_call(&client, &request, &answer));
	ck_assert_str_eq(answer.text, "two");
	cm_http_answer_finish(&answer);
}
