#include "standin/platform_store.h"

#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake/body.h"
#include "ports/clock.h"

#define FIRST_REVISION 100
#define DEFAULT_PAGE_SIZE 500
#define SILENT_CLOSE_DELAY_MS 1000
#define WATCH_POLL_INTERVAL_US 2000
#define US_PER_MS 1000
#define SLOW_PART_COUNT 4
#define SLOW_PART_INTERVAL_MS 300
#define TRICKLE_INTERVAL_MS 20
#define STREAM_BUFFER_SIZE 4096
#define ERA_TEXT_SIZE 32
#define FOREIGN_LEASE_TTL_MS 600000

/**
 * struct reply - HTTP response
 * @status: HTTP status
 * @body: body; NULL for an empty object
 * @era: value of the header Store-Era; empty for none
 */
struct reply {
	unsigned int status;
	json_t *body;
	char era[ERA_TEXT_SIZE];
};

static const char *query_argument(struct MHD_Connection *connection,
				  const char *key)
{
	const char *value = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, key);

	return value ? value : "";
}

static json_t *item_json(const struct fake_kv_item *item)
{
	char *value = g_base64_encode((const guchar *)item->value, item->size);
	json_t *json = json_pack(
		"{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value", value,
		"revision", (json_int_t)item->modified, "created",
		(json_int_t)item->created, "lease", (json_int_t)item->lease);

	g_free(value);
	return json;
}

static struct reply handle_range(struct platform_standin *standin,
				 struct MHD_Connection *connection)
{
	const char *prefix = query_argument(connection, "prefix");
	const char *after = query_argument(connection, "after");
	json_t *items = json_array();
	struct fake_kv_item *item;
	bool is_truncated = false;
	struct reply reply = { .status = MHD_HTTP_OK };

	standin->stale_reads +=
		!strcmp(query_argument(connection, "stale-ok"), "1");
	TAILQ_FOREACH (item, &standin->kv.items, link) {
		if (strncmp(item->key, prefix, strlen(prefix)) != 0 ||
		    strcmp(item->key, after) <= 0)
			continue;
		is_truncated = json_array_size(items) == standin->page_size;
		if (is_truncated)
			break;
		json_array_append_new(items, item_json(item));
	}
	reply.body = json_pack("{s:o, s:b, s:I}", "items", items, "truncated",
			       is_truncated, "as-of",
			       (json_int_t)standin->kv.revision);
	return reply;
}

static json_t *events_after(struct platform_standin *standin, int64_t after)
{
	json_t *events = json_array();
	struct fake_kv_item *item;

	TAILQ_FOREACH (item, &standin->kv.items, link)
		if (item->modified > after)
			json_array_append_new(events, item_json(item));
	TAILQ_FOREACH (item, &standin->kv.erased, link)
		if (item->modified > after)
			json_array_append_new(
				events, json_pack("{s:s, s:I, s:b}", "key",
						  item->key, "revision",
						  (json_int_t)item->modified,
						  "deleted", true));
	return events;
}

/* Reports changes of all keys, regardless of the prefix of the request. Called
 * with the lock held; releases it while waiting for a change. */
static struct reply handle_watch(struct platform_standin *standin,
				 struct MHD_Connection *connection)
{
	int64_t after = atoll(query_argument(connection, "after"));
	unsigned int era = standin->era;
	long polls = atol(query_argument(connection, "wait-ms")) * US_PER_MS /
		     WATCH_POLL_INTERVAL_US;
	struct reply reply = { .status = MHD_HTTP_OK };

	while (standin->kv.revision == after && polls-- > 0 &&
	       standin->era == era && !standin->is_stopping) {
		pthread_mutex_unlock(&standin->lock);
		usleep(WATCH_POLL_INTERVAL_US);
		pthread_mutex_lock(&standin->lock);
	}
	if (standin->kv.revision < after || standin->era != era) {
		reply.status = MHD_HTTP_GONE;
		return reply;
	}
	reply.body =
		json_pack("{s:o, s:I}", "events", events_after(standin, after),
			  "as-of", (json_int_t)standin->kv.revision);
	return reply;
}

static int64_t revision_of(struct platform_standin *standin, const char *key)
{
	const struct fake_kv_item *item = fake_kv_find(&standin->kv, key);

	return item ? item->modified : 0;
}

static json_t *current_items(struct platform_standin *standin, const char *key)
{
	const struct fake_kv_item *item = fake_kv_find(&standin->kv, key);
	json_t *items = json_array();

	if (item)
		json_array_append_new(items, item_json(item));
	return items;
}

static void put(struct platform_standin *standin, const char *key,
		const char *value, int64_t lease)
{
	gsize size;
	guchar *bytes = g_base64_decode(value, &size);

	standin->kv.revision++;
	fake_kv_put(&standin->kv, key, (const char *)bytes, size);
	fake_kv_find(&standin->kv, key)->lease = lease;
	g_free(bytes);
}

/* Supports only transactions that write one key with a lease, because the
 * registry client sends no others. */
static struct reply handle_txn(struct platform_standin *standin,
			       const json_t *body)
{
	const json_t *expected =
		json_array_get(json_object_get(body, "expect-rev"), 0);
	const json_t *write = json_array_get(json_object_get(body, "puts"), 0);
	const char *key = json_string_value(json_object_get(write, "key"));
	const char *value = json_string_value(json_object_get(write, "value"));
	int64_t lease = json_integer_value(json_object_get(write, "lease"));
	struct reply reply = { .status = MHD_HTTP_NOT_FOUND };

	if (!key || !value || !platform_lease_exists(&standin->leases, lease))
		return reply;
	if (json_integer_value(json_object_get(expected, "revision")) !=
	    revision_of(standin, key)) {
		reply.status = MHD_HTTP_PRECONDITION_FAILED;
		reply.body = json_pack("{s:o}", "items",
				       current_items(standin, key));
		return reply;
	}
	put(standin, key, value, lease);
	reply.status = MHD_HTTP_OK;
	reply.body = json_pack("{s:I}", "revision",
			       (json_int_t)standin->kv.revision);
	return reply;
}

static struct reply handle_lease_renewal(struct platform_standin *standin,
					 const char *id)
{
	struct reply reply = { .status = MHD_HTTP_NOT_FOUND };
	int ttl_ms = platform_lease_renew(&standin->leases, atoll(id));

	if (!ttl_ms)
		return reply;
	reply.status = MHD_HTTP_OK;
	reply.body = json_pack("{s:i}", "ttl-ms", ttl_ms);
	return reply;
}

static struct reply handle_lease_grant(struct platform_standin *standin,
				       const json_t *body)
{
	int ttl_ms = (int)json_integer_value(json_object_get(body, "ttl-ms"));
	int64_t id = platform_lease_grant(&standin->leases, ttl_ms);
	struct reply reply = { .status = MHD_HTTP_OK };

	reply.body = json_pack("{s:I, s:i}", "lease", (json_int_t)id, "ttl-ms",
			       ttl_ms);
	return reply;
}

#define KEEP_PATH_PREFIX "/-/kv-keep/"

static struct reply route(struct platform_standin *standin,
			  struct MHD_Connection *connection, const char *url,
			  const json_t *body)
{
	struct reply reply = { .status = MHD_HTTP_BAD_REQUEST };

	if (!strcmp(url, "/-/kv-range"))
		return handle_range(standin, connection);
	if (!strcmp(url, "/-/kv-watch"))
		return handle_watch(standin, connection);
	if (!strcmp(url, "/-/kv-txn"))
		return handle_txn(standin, body);
	if (!strcmp(url, "/-/kv-lease"))
		return handle_lease_grant(standin, body);
	if (!strncmp(url, KEEP_PATH_PREFIX, strlen(KEEP_PATH_PREFIX)))
		return handle_lease_renewal(standin,
					    url + strlen(KEEP_PATH_PREFIX));
	return reply;
}

static void add_era(struct MHD_Response *response, const char *era)
{
	if (*era)
		MHD_add_response_header(response, "Store-Era", era);
}

/* The response takes ownership of the bytes of @body and frees them. */
static enum MHD_Result send_body(struct MHD_Connection *connection,
				 unsigned int status, const char *era,
				 msgpack_sbuffer *body)
{
	size_t size = body->size;
	struct MHD_Response *response = MHD_create_response_from_buffer(
		size, msgpack_sbuffer_release(body), MHD_RESPMEM_MUST_FREE);
	enum MHD_Result result;

	add_era(response, era);
	result = MHD_queue_response(connection, status, response);

	MHD_destroy_response(response);
	return result;
}

/**
 * struct parts - body that is sent in parts
 * @bytes: the body
 * @length: size of the body in bytes
 * @part_size: size of a part in bytes
 */
struct parts {
	char *bytes;
	size_t length;
	size_t part_size;
};

static ssize_t read_part(void *user, uint64_t offset, char *buffer,
			 size_t capacity)
{
	const struct parts *parts = user;
	size_t left = parts->length - (size_t)offset;
	size_t size = left < parts->part_size ? left : parts->part_size;

	if (!left)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (offset)
		usleep(SLOW_PART_INTERVAL_MS * US_PER_MS);
	if (size > capacity)
		size = capacity;
	memcpy(buffer, parts->bytes + offset, size);
	return (ssize_t)size;
}

static ssize_t read_trickle(void *user, uint64_t offset, char *buffer,
			    size_t capacity)
{
	struct platform_standin *standin = user;
	bool continues;

	(void)offset;
	(void)capacity;
	pthread_mutex_lock(&standin->lock);
	continues = standin->fault == PLATFORM_FAULT_TRICKLE &&
		    !standin->is_stopping;
	pthread_mutex_unlock(&standin->lock);
	if (!continues)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	usleep(TRICKLE_INTERVAL_MS * US_PER_MS);
	*buffer = ' ';
	return 1;
}

static void free_parts(void *user)
{
	struct parts *parts = user;

	free(parts->bytes);
	free(parts);
}

static enum MHD_Result send_response(struct MHD_Connection *connection,
				     const char *era,
				     struct MHD_Response *response)
{
	enum MHD_Result result;

	add_era(response, era);
	result = MHD_queue_response(connection, MHD_HTTP_OK, response);

	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result send_parts(struct MHD_Connection *connection,
				  const char *era, msgpack_sbuffer *body)
{
	struct parts *parts = calloc(1, sizeof(*parts));

	if (!parts)
		abort();
	parts->length = body->size;
	parts->bytes = msgpack_sbuffer_release(body);
	parts->part_size = parts->length / SLOW_PART_COUNT + 1;
	return send_response(connection, era,
			     MHD_create_response_from_callback(
				     parts->length, STREAM_BUFFER_SIZE,
				     read_part, parts, free_parts));
}

static enum MHD_Result send_trickle(struct MHD_Connection *connection,
				    const char *era,
				    struct platform_standin *standin)
{
	return send_response(connection, era,
			     MHD_create_response_from_callback(
				     MHD_SIZE_UNKNOWN, STREAM_BUFFER_SIZE,
				     read_trickle, standin, NULL));
}

/* The header names the era at the end of the call. */
static void write_era(const struct platform_standin *standin, char *era)
{
	*era = '\0';
	if (standin->era_header)
		snprintf(era, ERA_TEXT_SIZE, "%s", standin->era_header);
	else if (standin->era)
		snprintf(era, ERA_TEXT_SIZE, "%u", standin->era);
}

static void go_back(struct platform_standin *standin, uint64_t ms)
{
	uint64_t now_ms = cm_clock_ms();

	platform_history_restore(&standin->history,
				 now_ms > ms ? now_ms - ms : 0, &standin->kv,
				 &standin->leases);
	standin->era++;
}

/* Handles what happens before a call: due changes of era, and a copy. */
static void begin_call(struct platform_standin *standin)
{
	if (standin->calls++ && standin->era_changes) {
		standin->era_changes--;
		standin->era++;
	}
	platform_leases_expire(&standin->leases, &standin->kv, cm_clock_ms());
	platform_history_record(&standin->history, cm_clock_ms(), &standin->kv);
}

static enum MHD_Result answer(struct platform_standin *standin,
			      struct MHD_Connection *connection,
			      const char *url, const json_t *body)
{
	struct reply reply = { .status = MHD_HTTP_OK };
	enum platform_fault fault;
	msgpack_sbuffer bytes;

	pthread_mutex_lock(&standin->lock);
	begin_call(standin);
	fault = standin->fault;
	if (platform_fault_executes_calls(fault))
		reply = route(standin, connection, url, body);
	write_era(standin, reply.era);
	pthread_mutex_unlock(&standin->lock);
	if (fault == PLATFORM_FAULT_SILENT)
		usleep(SILENT_CLOSE_DELAY_MS * US_PER_MS);
	if (fault == PLATFORM_FAULT_SILENT ||
	    fault == PLATFORM_FAULT_ANSWER_LOST) {
		json_decref(reply.body);
		return MHD_NO;
	}
	if (fault == PLATFORM_FAULT_TRICKLE)
		return send_trickle(connection, reply.era, standin);
	msgpack_sbuffer_init(&bytes);
	if (!platform_fault_executes_calls(fault)) {
		platform_fault_body(fault, &bytes);
		return send_body(connection, platform_fault_status(fault),
				 reply.era, &bytes);
	}
	if (reply.body)
		fake_body_write(&bytes, reply.body);
	else
		fake_body_write_text(&bytes, "{}");
	json_decref(reply.body);
	if (fault == PLATFORM_FAULT_SLOW)
		return send_parts(connection, reply.era, &bytes);
	return send_body(connection, reply.status, reply.era, &bytes);
}

static enum MHD_Result handle_request(void *user,
				      struct MHD_Connection *connection,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_size, void **state)
{
	GString *text = *state;
	enum MHD_Result result;
	json_t *body;

	(void)method;
	(void)version;
	if (!text) {
		*state = g_string_new(NULL);
		return MHD_YES;
	}
	if (*data_size) {
		g_string_append_len(text, data, (gssize)*data_size);
		*data_size = 0;
		return MHD_YES;
	}
	body = fake_body_read(text->str, text->len);
	result = answer(user, connection, url, body);
	json_decref(body);
	return result;
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

uint16_t platform_standin_start(struct platform_standin *standin, uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	const union MHD_DaemonInfo *info;

	memset(standin, 0, sizeof(*standin));
	pthread_mutex_init(&standin->lock, NULL);
	fake_kv_init(&standin->kv);
	standin->kv.revision = FIRST_REVISION;
	standin->page_size = DEFAULT_PAGE_SIZE;
	standin->server = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		0, NULL, NULL, handle_request, standin, MHD_OPTION_SOCK_ADDR,
		&address, MHD_OPTION_NOTIFY_COMPLETED, free_request, NULL,
		MHD_OPTION_END);
	if (!standin->server)
		return 0;
	info = MHD_get_daemon_info(standin->server, MHD_DAEMON_INFO_BIND_PORT);
	return info->port;
}

void platform_standin_stop(struct platform_standin *standin)
{
	pthread_mutex_lock(&standin->lock);
	standin->is_stopping = true;
	pthread_mutex_unlock(&standin->lock);
	MHD_stop_daemon(standin->server);
	platform_history_finish(&standin->history);
	fake_kv_finish(&standin->kv);
	pthread_mutex_destroy(&standin->lock);
}

void platform_standin_put_bytes(struct platform_standin *standin,
				const char *key, const char *bytes, size_t size)
{
	pthread_mutex_lock(&standin->lock);
	standin->kv.revision++;
	fake_kv_put(&standin->kv, key, bytes, size);
	pthread_mutex_unlock(&standin->lock);
}

void platform_standin_put(struct platform_standin *standin, const char *key,
			  const char *value)
{
	msgpack_sbuffer bytes;

	msgpack_sbuffer_init(&bytes);
	fake_body_write_text(&bytes, value);
	platform_standin_put_bytes(standin, key, bytes.data, bytes.size);
	msgpack_sbuffer_destroy(&bytes);
}

void platform_standin_remove(struct platform_standin *standin, const char *key)
{
	pthread_mutex_lock(&standin->lock);
	fake_kv_erase(&standin->kv, key, NULL);
	pthread_mutex_unlock(&standin->lock);
}

void platform_standin_set_fault(struct platform_standin *standin,
				enum platform_fault fault)
{
	pthread_mutex_lock(&standin->lock);
	standin->fault = fault;
	pthread_mutex_unlock(&standin->lock);
}

void platform_standin_expire_leases(struct platform_standin *standin)
{
	pthread_mutex_lock(&standin->lock);
	platform_leases_expire(&standin->leases, &standin->kv, UINT64_MAX);
	pthread_mutex_unlock(&standin->lock);
}

void platform_standin_set_era(struct platform_standin *standin,
			      unsigned int era)
{
	pthread_mutex_lock(&standin->lock);
	standin->era = era;
	pthread_mutex_unlock(&standin->lock);
}

void platform_standin_go_back(struct platform_standin *standin, uint64_t ms)
{
	pthread_mutex_lock(&standin->lock);
	go_back(standin, ms);
	pthread_mutex_unlock(&standin->lock);
}

void platform_standin_take_leases(struct platform_standin *standin)
{
	pthread_mutex_lock(&standin->lock);
	platform_lease_grant_foreign(&standin->leases, FOREIGN_LEASE_TTL_MS);
	pthread_mutex_unlock(&standin->lock);
}

int platform_standin_foreign_renewals(struct platform_standin *standin)
{
	int renewals;

	pthread_mutex_lock(&standin->lock);
	renewals = standin->leases.foreign_renewals;
	pthread_mutex_unlock(&standin->lock);
	return renewals;
}

uint64_t platform_standin_calls(struct platform_standin *standin)
{
	uint64_t calls;

	pthread_mutex_lock(&standin->lock);
	calls = standin->calls;
	pthread_mutex_unlock(&standin->lock);
	return calls;
}
