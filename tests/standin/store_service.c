#include "standin/store_service.h"

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ports/clock.h"
#include "standin/store_lease.h"
#include "standin/store_routes.h"

#define LOOPBACK 0x7f000001
#define BODY_SIZE_MAX (16 * 1024 * 1024)
/* Exceeds the limit of 16 MiB that the HTTP client sets for an answer. */
#define OVERSIZE_BYTES (17 * 1024 * 1024)

static const char *const answer_names[] = {
	[STANDIN_ANSWER_RESULT] = "true",
	[STANDIN_ANSWER_GARBAGE] = "garbage",
	[STANDIN_ANSWER_EMPTY] = "empty",
	[STANDIN_ANSWER_OVERSIZE] = "oversize",
	[STANDIN_ANSWER_COMPACTED] = "compacted",
};

static enum standin_answer answer_of(const char *name)
{
	for (int i = 0; i < STANDIN_ANSWER_COUNT; i++)
		if (name && !strcmp(name, answer_names[i]))
			return (enum standin_answer)i;
	return STANDIN_ANSWER_RESULT;
}

static json_t *handle_switch(struct standin_store *store, const json_t *body)
{
	json_t *value = json_object_get(body, "down");

	if (value)
		store->down = json_is_true(value);
	value = json_object_get(body, "slow_ms");
	if (value)
		store->slow_ms = (uint32_t)json_integer_value(value);
	value = json_object_get(body, "lose_answers");
	if (value)
		store->lose_answers = (uint32_t)json_integer_value(value);
	value = json_object_get(body, "down_after_writes");
	if (value)
		store->down_after_writes = (uint32_t)json_integer_value(value);
	value = json_object_get(body, "answer");
	if (value)
		store->answer = answer_of(json_string_value(value));
	return json_pack("{s:I}", "calls", (json_int_t)store->calls);
}

static json_t *run_route(struct standin_store *store,
			 const struct standin_route *route, const json_t *body)
{
	uint32_t slow_ms = store->slow_ms;
	json_t *answer;

	store->calls++;
	if (slow_ms) {
		pthread_mutex_unlock(&store->lock);
		cm_clock_sleep_ms(slow_ms);
		pthread_mutex_lock(&store->lock);
	}
	if (store->down)
		return NULL;
	standin_leases_expire(store);
	answer = route->handle(store, body);
	if (route->writes && store->down_after_writes)
		store->down = !--store->down_after_writes;
	if (route->writes && store->lose_answers) {
		store->lose_answers--;
		json_decref(answer);
		return NULL;
	}
	return answer;
}

static json_t *dispatch(struct standin_store *store, const char *url,
			const json_t *body)
{
	const struct standin_route *route = standin_route_find(url);
	json_t *answer = NULL;

	pthread_mutex_lock(&store->lock);
	if (!strcmp(url, "/switch"))
		answer = handle_switch(store, body);
	else if (route)
		answer = run_route(store, route, body);
	pthread_mutex_unlock(&store->lock);
	return answer;
}

/**
 * struct reply - HTTP response
 * @status: HTTP status
 * @text: body, freed by the HTTP server library
 */
struct reply {
	unsigned int status;
	char *text;
};

static struct reply make_fault_reply(enum standin_answer answer)
{
	struct reply reply = { .status = MHD_HTTP_OK };

	if (answer == STANDIN_ANSWER_COMPACTED) {
		reply.status = MHD_HTTP_BAD_REQUEST;
		reply.text = strdup("{\"code\":11,\"message\":\"compacted\"}");
	} else if (answer == STANDIN_ANSWER_OVERSIZE) {
		reply.text = malloc(OVERSIZE_BYTES + 1);
		memset(reply.text, ' ', OVERSIZE_BYTES);
		reply.text[OVERSIZE_BYTES] = '\0';
	} else {
		reply.text = strdup(answer == STANDIN_ANSWER_EMPTY ?
					    "{}" :
					    "<html>no json</html>");
	}
	return reply;
}

static unsigned int status_of(const json_t *answer)
{
	switch (json_integer_value(json_object_get(answer, "code"))) {
	case 0:
		return MHD_HTTP_OK;
	case STANDIN_CODE_NOT_FOUND:
		return MHD_HTTP_NOT_FOUND;
	default:
		return MHD_HTTP_BAD_REQUEST;
	}
}

static struct reply make_reply(struct standin_store *store, json_t *answer,
			       bool is_switch)
{
	struct reply reply = { .status = MHD_HTTP_SERVICE_UNAVAILABLE };
	enum standin_answer kind;

	pthread_mutex_lock(&store->lock);
	kind = is_switch ? STANDIN_ANSWER_RESULT : store->answer;
	pthread_mutex_unlock(&store->lock);
	if (answer && kind != STANDIN_ANSWER_RESULT) {
		reply = make_fault_reply(kind);
	} else if (answer) {
		reply.status = status_of(answer);
		reply.text = json_dumps(answer, JSON_COMPACT);
	} else {
		reply.text = strdup("{\"code\":14}");
	}
	json_decref(answer);
	return reply;
}

static enum MHD_Result respond(struct MHD_Connection *connection,
			       const struct reply *reply)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(reply->text), reply->text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result result =
		MHD_queue_response(connection, reply->status, response);

	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result handle_request(void *user,
				      struct MHD_Connection *connection,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_size, void **state)
{
	GString *text = *state;
	struct reply reply;
	json_t *body;
	json_t *answer;

	(void)method;
	(void)version;
	if (!text) {
		*state = g_string_new(NULL);
		return MHD_YES;
	}
	if (*data_size) {
		if (text->len + *data_size > BODY_SIZE_MAX)
			return MHD_NO;
		g_string_append_len(text, data, (gssize)*data_size);
		*data_size = 0;
		return MHD_YES;
	}
	body = json_loads(text->str, 0, NULL);
	answer = dispatch(user, url, body);
	json_decref(body);
	reply = make_reply(user, answer, !strcmp(url, "/switch"));
	return respond(connection, &reply);
}

static void free_request(void *user, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	(void)user;
	(void)connection;
	(void)code;
	if (*state)
		g_string_free(*state, TRUE);
	*state = NULL;
}

int standin_store_start(struct standin_store *store, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	const union MHD_DaemonInfo *info;

	address.sin_port = htons(port);
	address.sin_addr.s_addr = htonl(LOOPBACK);
	store->server = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		0, NULL, NULL, handle_request, store, MHD_OPTION_SOCK_ADDR,
		&address, MHD_OPTION_NOTIFY_COMPLETED, free_request, NULL,
		MHD_OPTION_END);
	if (!store->server)
		return -1;
	info = MHD_get_daemon_info(store->server, MHD_DAEMON_INFO_BIND_PORT);
	return info->port;
}

void standin_store_stop(struct standin_store *store)
{
	pthread_mutex_lock(&store->lock);
	store->down = true;
	pthread_mutex_unlock(&store->lock);
	MHD_stop_daemon(store->server);
	store->server = NULL;
}

void standin_store_init(struct standin_store *store)
{
	memset(store, 0, sizeof(*store));
	pthread_mutex_init(&store->lock, NULL);
	fake_kv_init(&store->kv);
	LIST_INIT(&store->leases);
}

void standin_store_finish(struct standin_store *store)
{
	standin_leases_finish(store);
	fake_kv_finish(&store->kv);
	pthread_mutex_destroy(&store->lock);
}
