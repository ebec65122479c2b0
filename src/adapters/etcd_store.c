#include "etcd_store.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "etcd_codec.h"

#define PATH_SIZE 64

/**
 * struct watch - lines of a watch, decoded as they arrive
 * @decoded: size of the lines decoded so far, bytes
 * @content: content of the last decoded line; the transfer ends at the first
 *           line other than CM_ETCD_WATCH_NO_CHANGE
 */
struct watch {
	size_t decoded;
	enum cm_etcd_watch content;
};

static bool on_watch_body(void *user, const char *text, size_t length)
{
	struct watch *watch = user;
	const char *start = text + watch->decoded;
	const char *end = strchr(start, '\n');

	(void)length;
	while (end && watch->content == CM_ETCD_WATCH_NO_CHANGE) {
		watch->content =
			cm_etcd_decode_watch(start, (size_t)(end - start));
		watch->decoded += (size_t)(end - start) + 1;
		start = end + 1;
		end = strchr(start, '\n');
	}
	return watch->content == CM_ETCD_WATCH_NO_CHANGE;
}

static int etcd_post(struct cm_etcd_store *store, const char *path,
		     struct cm_http_request *request,
		     struct cm_http_answer *answer)
{
	char full[PATH_SIZE];
	int error;

	snprintf(full, sizeof(full), "/v3/%s", path);
	request->path = full;
	error = cm_http_call(&store->http, request, answer);
	if (error)
		return error;
	return cm_etcd_decode_error(answer->status, answer->text);
}

/* Sends a request and parses the answer; takes ownership of body. */
static int etcd_call(struct cm_etcd_store *store, const char *path,
		     json_t *body, json_t **result)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct cm_http_request request = {
		.body = text,
		.timeout_ms = store->timeout_ms,
	};
	struct cm_http_answer answer = { .text = NULL };
	int error = CM_E_MEMORY;

	json_decref(body);
	if (text)
		error = etcd_post(store, path, &request, &answer);
	if (!error) {
		*result = json_loads(answer.text, 0, NULL);
		if (!*result)
			error = CM_E_PROTOCOL;
	}
	free(text);
	cm_http_answer_finish(&answer);
	return error;
}

static int etcd_range(struct cm_store *base, const char *first, const char *end,
		      struct cm_store_items *items)
{
	struct cm_etcd_store *store = (struct cm_etcd_store *)base;
	json_t *result;
	int error = etcd_call(store, "kv/range", cm_etcd_range_body(first, end),
			      &result);

	if (error)
		return error;
	error = cm_etcd_decode_items(items, result);
	json_decref(result);
	return error;
}

static int etcd_swap(struct cm_store *base, const char *key, int64_t revision,
		     const struct cm_store_put *puts, size_t count)
{
	struct cm_etcd_store *store = (struct cm_etcd_store *)base;
	json_t *result;
	int error = etcd_call(store, "kv/txn",
			      cm_etcd_swap_body(key, revision, puts, count),
			      &result);

	if (error)
		return error;
	error = cm_etcd_check_swap(result);
	json_decref(result);
	return error;
}

static int etcd_erase(struct cm_store *base, const char *first, const char *end)
{
	struct cm_etcd_store *store = (struct cm_etcd_store *)base;
	json_t *result;
	int error = etcd_call(store, "kv/deleterange",
			      cm_etcd_range_body(first, end), &result);

	if (error)
		return error;
	error = cm_etcd_check_header(result);
	json_decref(result);
	return error;
}

static int watch_error(enum cm_etcd_watch watch)
{
	switch (watch) {
	case CM_ETCD_WATCH_CHANGED:
		return CM_OK;
	case CM_ETCD_WATCH_NO_CHANGE:
		return CM_E_TIMEOUT;
	case CM_ETCD_WATCH_COMPACTED:
		return CM_E_COMPACTED;
	case CM_ETCD_WATCH_CANCELLED:
		return CM_E_UNAVAILABLE;
	default:
		return CM_E_PROTOCOL;
	}
}

static int etcd_wait(struct cm_store *base, const char *first, const char *end,
		     int64_t revision, uint32_t timeout_ms)
{
	struct cm_etcd_store *store = (struct cm_etcd_store *)base;
	struct watch watch = { .decoded = 0,
			       .content = CM_ETCD_WATCH_NO_CHANGE };
	json_t *body = cm_etcd_watch_body(first, end, revision);
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct cm_http_request request = {
		.body = text,
		.timeout_ms = timeout_ms,
		.on_body = on_watch_body,
		.user = &watch,
	};
	struct cm_http_answer answer = { .text = NULL };
	int error = CM_E_MEMORY;

	json_decref(body);
	if (text)
		error = etcd_post(store, "watch", &request, &answer);
	/* The last line may lack its newline. */
	if (!error && watch.content == CM_ETCD_WATCH_NO_CHANGE)
		watch.content =
			cm_etcd_decode_watch(answer.text + watch.decoded,
					     answer.length - watch.decoded);
	if (!error || watch.content != CM_ETCD_WATCH_NO_CHANGE)
		error = watch_error(watch.content);
	free(text);
	cm_http_answer_finish(&answer);
	return error;
}

static const struct cm_store_ops etcd_store_ops = {
	.range = etcd_range,
	.swap = etcd_swap,
	.erase = etcd_erase,
	.wait = etcd_wait,
};

int cm_etcd_store_init(struct cm_etcd_store *store, const char *url,
		       uint32_t timeout_ms)
{
	store->base.ops = &etcd_store_ops;
	store->timeout_ms = timeout_ms;
	return cm_http_client_init(&store->http, url);
}

void cm_etcd_store_interrupt(struct cm_etcd_store *store)
{
	cm_http_interrupt(&store->http);
}

uint64_t cm_etcd_store_call_count(const struct cm_etcd_store *store)
{
	return cm_http_call_count(&store->http);
}

void cm_etcd_store_finish(struct cm_etcd_store *store)
{
	cm_http_client_finish(&store->http);
}
