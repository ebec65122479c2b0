#include "etcd_codec.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

/* Size of a 64-bit number as text with its NUL, bytes. */
#define NUMBER_SIZE 32

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_REQUEST_TIMEOUT 408
#define HTTP_TOO_LARGE 413
#define HTTP_SERVER_ERROR 500
#define HTTP_GATEWAY_TIMEOUT 504
/* gRPC status code OUT_OF_RANGE: the revision was compacted. */
#define GRPC_OUT_OF_RANGE 11

static json_t *encode_base64(const char *bytes, size_t size)
{
	char *text = g_base64_encode((const guchar *)bytes, size);
	json_t *value = json_string(text);

	g_free(text);
	return value;
}

static char *decode_base64(const json_t *value, size_t *size)
{
	const char *text = json_string_value(value);
	gsize length = 0;
	guchar *bytes;
	char *copy;

	/* The JSON mapping omits empty values. */
	if (!text || !*text) {
		*size = 0;
		return calloc(1, 1);
	}
	bytes = g_base64_decode(text, &length);
	copy = malloc(length + 1);
	if (copy) {
		memcpy(copy, bytes, length);
		copy[length] = '\0';
	}
	g_free(bytes);
	*size = length;
	return copy;
}

/* The JSON mapping encodes 64-bit numbers as strings. */
static int64_t decode_number(const json_t *value)
{
	const char *text = json_string_value(value);

	return text ? g_ascii_strtoll(text, NULL, 10) :
		      json_integer_value(value);
}

static int decode_item(struct cm_store_item *item, const json_t *kv)
{
	size_t key_size;

	if (!json_is_string(json_object_get(kv, "key")))
		return CM_E_PROTOCOL;
	item->key = decode_base64(json_object_get(kv, "key"), &key_size);
	item->value = decode_base64(json_object_get(kv, "value"), &item->size);
	item->revision = decode_number(json_object_get(kv, "mod_revision"));
	return item->key && item->value ? CM_OK : CM_E_MEMORY;
}

int cm_etcd_decode_items(struct cm_store_items *items, const json_t *result)
{
	const json_t *kvs = json_object_get(result, "kvs");
	const json_t *header = json_object_get(result, "header");
	size_t count = json_array_size(kvs);
	int error = cm_etcd_check_header(result);

	cm_store_items_init(items);
	if (error)
		return error;
	items->revision = decode_number(json_object_get(header, "revision"));
	items->items = calloc(count + 1, sizeof(*items->items));
	if (!items->items)
		return CM_E_MEMORY;
	for (size_t i = 0; i < count; i++) {
		items->count++;
		error = decode_item(&items->items[i], json_array_get(kvs, i));
		if (error) {
			cm_store_items_finish(items);
			return error;
		}
	}
	return CM_OK;
}

json_t *cm_etcd_range_body(const char *first, const char *end)
{
	json_t *body = json_object();

	json_object_set_new(body, "key", encode_base64(first, strlen(first)));
	if (end)
		json_object_set_new(body, "range_end",
				    encode_base64(end, strlen(end)));
	return body;
}

json_t *cm_etcd_swap_body(const char *key, int64_t revision,
			  const struct cm_store_put *puts, size_t count)
{
	char number[NUMBER_SIZE];
	json_t *success = json_array();

	snprintf(number, sizeof(number), "%lld", (long long)revision);
	for (size_t i = 0; i < count; i++)
		json_array_append_new(
			success,
			json_pack(
				"{s:{s:o, s:o}}", "requestPut", "key",
				encode_base64(puts[i].key, strlen(puts[i].key)),
				"value",
				encode_base64(puts[i].value, puts[i].size)));
	return json_pack("{s:[{s:o, s:s, s:s, s:s}], s:o}", "compare", "key",
			 encode_base64(key, strlen(key)), "target", "MOD",
			 "result", "EQUAL", "mod_revision", number, "success",
			 success);
}

json_t *cm_etcd_watch_body(const char *first, const char *end, int64_t revision)
{
	json_t *create = cm_etcd_range_body(first, end);
	char number[NUMBER_SIZE];

	snprintf(number, sizeof(number), "%lld", (long long)revision);
	json_object_set_new(create, "start_revision", json_string(number));
	return json_pack("{s:o}", "create_request", create);
}

int cm_etcd_check_header(const json_t *result)
{
	const json_t *header = json_object_get(result, "header");

	return json_object_get(header, "revision") ? CM_OK : CM_E_PROTOCOL;
}

int cm_etcd_check_swap(const json_t *result)
{
	int error = cm_etcd_check_header(result);

	if (error)
		return error;
	/* The JSON mapping omits fields that are false. */
	return json_is_true(json_object_get(result, "succeeded")) ?
		       CM_OK :
		       CM_E_CONFLICT;
}

int cm_etcd_decode_error(unsigned int status, const char *text)
{
	json_t *root;
	json_int_t code;

	switch (status) {
	case HTTP_OK:
		return CM_OK;
	case HTTP_REQUEST_TIMEOUT:
	case HTTP_GATEWAY_TIMEOUT:
		return CM_E_TIMEOUT;
	case HTTP_TOO_LARGE:
		return CM_E_TOO_LARGE;
	case HTTP_BAD_REQUEST:
		break;
	default:
		return status < HTTP_SERVER_ERROR ? CM_E_PROTOCOL :
						    CM_E_UNAVAILABLE;
	}
	root = json_loads(text, 0, NULL);
	code = json_integer_value(json_object_get(root, "code"));
	json_decref(root);
	return code == GRPC_OUT_OF_RANGE ? CM_E_COMPACTED : CM_E_PROTOCOL;
}

enum cm_etcd_watch cm_etcd_decode_watch(const char *text, size_t size)
{
	json_t *root = json_loadb(text, size, 0, NULL);
	const json_t *result = json_object_get(root, "result");
	enum cm_etcd_watch watch = CM_ETCD_WATCH_NO_CHANGE;

	if (cm_etcd_check_header(result))
		watch = CM_ETCD_WATCH_INVALID;
	else if (json_object_get(result, "compact_revision"))
		watch = CM_ETCD_WATCH_COMPACTED;
	else if (json_is_true(json_object_get(result, "canceled")))
		watch = CM_ETCD_WATCH_CANCELLED;
	else if (json_array_size(json_object_get(result, "events")))
		watch = CM_ETCD_WATCH_CHANGED;
	json_decref(root);
	return watch;
}
