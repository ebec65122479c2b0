#include "standin/store_routes.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "ports/clock.h"
#include "standin/store_lease.h"

#define WATCH_POLL_INTERVAL_MS 5
#define WATCH_TIMEOUT_MS 30000
#define MS_PER_S 1000
#define NS_PER_MS 1000000

static char *decode_key(const json_t *body, const char *name)
{
	const char *text = json_string_value(json_object_get(body, name));
	gsize size;
	guchar *bytes;
	char *key;

	if (!text || !*text)
		return NULL;
	bytes = g_base64_decode(text, &size);
	key = g_strndup((char *)bytes, size);
	g_free(bytes);
	return key;
}

static json_t *encode(const char *bytes, size_t size)
{
	char *text = g_base64_encode((const guchar *)bytes, size);
	json_t *value = json_string(text);

	g_free(text);
	return value;
}

static json_t *encode_number(int64_t value)
{
	char text[32];

	snprintf(text, sizeof(text), "%lld", (long long)value);
	return json_string(text);
}

/* The JSON mapping accepts integers as strings and as numbers. */
static int64_t decode_number(const json_t *body, const char *name)
{
	const json_t *value = json_object_get(body, name);
	const char *text = json_string_value(value);

	return text ? g_ascii_strtoll(text, NULL, 10) :
		      json_integer_value(value);
}

static json_t *failure(int code, const char *message)
{
	return json_pack("{s:i, s:s}", "code", code, "message", message);
}

static json_t *lease_not_found(void)
{
	return failure(STANDIN_CODE_NOT_FOUND, "requested lease not found");
}

static json_t *header(const struct standin_store *store)
{
	return json_pack("{s:o}", "revision",
			 encode_number(store->kv.revision));
}

static json_t *item_json(const struct fake_kv_item *item)
{
	return json_pack("{s:o, s:o, s:o, s:o, s:o, s:o*}", "key",
			 encode(item->key, strlen(item->key)), "value",
			 encode(item->value, item->size), "create_revision",
			 encode_number(item->created), "mod_revision",
			 encode_number(item->modified), "version",
			 encode_number(item->version), "lease",
			 item->lease ? encode_number(item->lease) : NULL);
}

static json_t *handle_range(struct standin_store *store, const json_t *body)
{
	char *first = decode_key(body, "key");
	char *end = decode_key(body, "range_end");
	struct fake_kv_item *item;
	json_t *kvs = json_array();

	TAILQ_FOREACH (item, &store->kv.items, link)
		if (first && fake_kv_in_range(item->key, first, end))
			json_array_append_new(kvs, item_json(item));
	g_free(first);
	g_free(end);
	return json_pack("{s:o, s:o, s:o}", "header", header(store), "count",
			 encode_number((int64_t)json_array_size(kvs)), "kvs",
			 kvs);
}

static bool compare_holds(struct standin_store *store, const json_t *compare)
{
	char *key = decode_key(compare, "key");
	const struct fake_kv_item *item =
		key ? fake_kv_find(&store->kv, key) : NULL;

	g_free(key);
	return (item ? item->modified : 0) ==
	       decode_number(compare, "mod_revision");
}

static void put(struct standin_store *store, const json_t *request)
{
	char *key = decode_key(request, "key");
	const char *text = json_string_value(json_object_get(request, "value"));
	gsize size = 0;
	guchar *value = text ? g_base64_decode(text, &size) : NULL;

	if (key) {
		fake_kv_put(&store->kv, key, value ? (char *)value : "", size);
		fake_kv_find(&store->kv, key)->lease =
			decode_number(request, "lease");
	}
	g_free(key);
	g_free(value);
}

/* tests/scripts/measure_notes.sh reads this log line. */
static void log_transaction(const struct standin_store *store)
{
	struct timespec now;

	if (!store->logs_transactions)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	fprintf(stderr, "event=swapped time_ms=%lld\n",
		(long long)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS);
}

static bool leases_exist(const struct standin_store *store,
			 const json_t *requests)
{
	size_t i;
	json_t *request;

	json_array_foreach (requests, i, request) {
		int64_t lease = decode_number(
			json_object_get(request, "requestPut"), "lease");

		if (lease && !standin_lease_find(store, lease))
			return false;
	}
	return true;
}

static json_t *handle_txn(struct standin_store *store, const json_t *body)
{
	bool holds = true;
	size_t i;
	json_t *part;

	json_array_foreach (json_object_get(body, "compare"), i, part) {
		holds = holds && compare_holds(store, part);
	}
	if (holds && !leases_exist(store, json_object_get(body, "success")))
		return lease_not_found();
	if (holds) {
		store->kv.revision++;
		json_array_foreach (json_object_get(body, "success"), i, part) {
			put(store, json_object_get(part, "requestPut"));
		}
		log_transaction(store);
	}
	/* The JSON mapping omits fields that are false. */
	if (!holds)
		return json_pack("{s:o}", "header", header(store));
	return json_pack("{s:o, s:b}", "header", header(store), "succeeded",
			 holds);
}

static json_t *handle_delete(struct standin_store *store, const json_t *body)
{
	char *first = decode_key(body, "key");
	char *end = decode_key(body, "range_end");
	size_t erased = first ? fake_kv_erase(&store->kv, first, end) : 0;

	g_free(first);
	g_free(end);
	return json_pack("{s:o, s:o}", "header", header(store), "deleted",
			 encode_number((int64_t)erased));
}

/**
 * struct watch - range of keys and revisions that a watch reports
 * @first: first key
 * @end: key after the last one; NULL for @first alone
 * @first_revision: first revision that is reported
 */
struct watch {
	char *first;
	char *end;
	int64_t first_revision;
};

static void add_events(json_t *events, const struct fake_kv_list *list,
		       const struct watch *watch, int64_t revision,
		       const char *type)
{
	struct fake_kv_item *item;

	TAILQ_FOREACH (item, list, link)
		if (item->modified == revision &&
		    fake_kv_in_range(item->key, watch->first, watch->end))
			json_array_append_new(
				events, json_pack("{s:s*, s:o}", "type", type,
						  "kv", item_json(item)));
}

static json_t *watch_events(const struct standin_store *store,
			    const struct watch *watch)
{
	const struct fake_kv *kv = &store->kv;
	json_t *events = json_array();

	for (int64_t i = watch->first_revision; i <= kv->revision; i++) {
		/* The JSON mapping omits the event type PUT, as it is 0. */
		add_events(events, &kv->items, watch, i, NULL);
		add_events(events, &kv->erased, watch, i, "DELETE");
	}
	return events;
}

/* Whether the watch is to be answered: a key changed, the time is up or a fault
 * was set. */
static bool watch_is_due(struct standin_store *store, const struct watch *watch,
			 uint64_t end_ms)
{
	standin_leases_expire(store);
	return store->down || store->answer != STANDIN_ANSWER_RESULT ||
	       cm_clock_ms() >= end_ms ||
	       fake_kv_changed(&store->kv, watch->first, watch->end,
			       watch->first_revision);
}

/* Delays the answer until watch_is_due(). Releases the lock of the store while
 * waiting. */
static json_t *handle_watch(struct standin_store *store, const json_t *body)
{
	const json_t *create = json_object_get(body, "create_request");
	struct watch watch = {
		.first = decode_key(create, "key"),
		.end = decode_key(create, "range_end"),
		.first_revision = decode_number(create, "start_revision"),
	};
	uint64_t end_ms = cm_clock_ms() + WATCH_TIMEOUT_MS;
	json_t *answer;

	if (!watch.first_revision)
		watch.first_revision = store->kv.revision + 1;
	while (watch.first && !watch_is_due(store, &watch, end_ms)) {
		pthread_mutex_unlock(&store->lock);
		cm_clock_sleep_ms(WATCH_POLL_INTERVAL_MS);
		pthread_mutex_lock(&store->lock);
	}
	answer = json_pack("{s:{s:o, s:o}}", "result", "header", header(store),
			   "events", watch_events(store, &watch));
	g_free(watch.first);
	g_free(watch.end);
	return answer;
}

static json_t *handle_grant(struct standin_store *store, const json_t *body)
{
	const struct standin_lease *lease = standin_lease_grant(
		store, decode_number(body, "ID"), decode_number(body, "TTL"));

	if (!lease)
		return failure(STANDIN_CODE_FAILED_PRECONDITION,
			       "lease already exists");
	return json_pack("{s:o, s:o, s:o}", "header", header(store), "ID",
			 encode_number(lease->id), "TTL",
			 encode_number(lease->ttl_s));
}

static json_t *handle_revoke(struct standin_store *store, const json_t *body)
{
	struct standin_lease *lease =
		standin_lease_find(store, decode_number(body, "ID"));

	if (!lease)
		return lease_not_found();
	standin_lease_remove(store, lease);
	return json_pack("{s:o}", "header", header(store));
}

/* The JSON mapping omits the TTL of an expired lease, as it is 0. */
static json_t *handle_keepalive(struct standin_store *store, const json_t *body)
{
	int64_t id = decode_number(body, "ID");
	struct standin_lease *lease = standin_lease_find(store, id);

	if (lease)
		standin_lease_renew(store, lease);
	return json_pack("{s:{s:o, s:o, s:o*}}", "result", "header",
			 header(store), "ID", encode_number(id), "TTL",
			 lease ? encode_number(lease->ttl_s) : NULL);
}

static const struct standin_route routes[] = {
	{ "/v3/kv/range", handle_range, false },
	{ "/v3/kv/txn", handle_txn, true },
	{ "/v3/kv/deleterange", handle_delete, true },
	{ "/v3/watch", handle_watch, false },
	{ "/v3/lease/grant", handle_grant, true },
	{ "/v3/lease/revoke", handle_revoke, true },
	{ "/v3/lease/keepalive", handle_keepalive, true },
};

const struct standin_route *standin_route_find(const char *path)
{
	for (size_t i = 0; i < sizeof(routes) / sizeof(*routes); i++)
		if (!strcmp(path, routes[i].path))
			return &routes[i];
	return NULL;
}
