#include "fake/body.h"

#include <stdlib.h>
#include <string.h>

static void pack_value(msgpack_packer *packer, const json_t *json);

static void pack_string(msgpack_packer *packer, const char *text, size_t size)
{
	msgpack_pack_str_with_body(packer, text, size);
}

static void pack_array(msgpack_packer *packer, const json_t *json)
{
	size_t index;
	json_t *value;

	msgpack_pack_array(packer, json_array_size(json));
	json_array_foreach (json, index, value)
		pack_value(packer, value);
}

static void pack_object(msgpack_packer *packer, const json_t *json)
{
	const char *key;
	json_t *value;

	msgpack_pack_map(packer, json_object_size(json));
	json_object_foreach ((json_t *)json, key, value) {
		pack_string(packer, key, strlen(key));
		pack_value(packer, value);
	}
}

static void pack_value(msgpack_packer *packer, const json_t *json)
{
	switch (json_typeof(json)) {
	case JSON_OBJECT:
		pack_object(packer, json);
		break;
	case JSON_ARRAY:
		pack_array(packer, json);
		break;
	case JSON_STRING:
		pack_string(packer, json_string_value(json),
			    json_string_length(json));
		break;
	case JSON_INTEGER:
		msgpack_pack_int64(packer, json_integer_value(json));
		break;
	case JSON_REAL:
		msgpack_pack_double(packer, json_real_value(json));
		break;
	case JSON_TRUE:
		msgpack_pack_true(packer);
		break;
	case JSON_FALSE:
		msgpack_pack_false(packer);
		break;
	case JSON_NULL:
		msgpack_pack_nil(packer);
		break;
	}
}

void fake_body_write(msgpack_sbuffer *buffer, const json_t *json)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	pack_value(&packer, json);
}

void fake_body_write_text(msgpack_sbuffer *buffer, const char *text)
{
	json_t *json = json_loads(text, JSON_DECODE_ANY, NULL);

	if (!json)
		abort();
	fake_body_write(buffer, json);
	json_decref(json);
}

static json_t *to_json(const msgpack_object *object);

static json_t *array_to_json(const msgpack_object_array *array)
{
	json_t *json = json_array();

	for (uint32_t i = 0; i < array->size; i++)
		json_array_append_new(json, to_json(&array->ptr[i]));
	return json;
}

static json_t *map_to_json(const msgpack_object_map *map)
{
	json_t *json = json_object();

	for (uint32_t i = 0; i < map->size; i++) {
		const msgpack_object_str *key = &map->ptr[i].key.via.str;
		char *text = strndup(key->ptr, key->size);

		json_object_set_new(json, text, to_json(&map->ptr[i].val));
		free(text);
	}
	return json;
}

static json_t *to_json(const msgpack_object *object)
{
	switch (object->type) {
	case MSGPACK_OBJECT_MAP:
		return map_to_json(&object->via.map);
	case MSGPACK_OBJECT_ARRAY:
		return array_to_json(&object->via.array);
	case MSGPACK_OBJECT_STR:
		return json_stringn(object->via.str.ptr, object->via.str.size);
	case MSGPACK_OBJECT_POSITIVE_INTEGER:
	case MSGPACK_OBJECT_NEGATIVE_INTEGER:
		return json_integer(object->via.i64);
	default:
		return json_null();
	}
}

json_t *fake_body_read(const char *bytes, size_t size)
{
	msgpack_unpacked unpacked;
	json_t *json = NULL;
	size_t used = 0;

	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, bytes, size, &used) ==
	    MSGPACK_UNPACK_SUCCESS)
		json = to_json(&unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	return json;
}
