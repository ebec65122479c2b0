#include "msgpack_map.h"

#include <string.h>

#include "chervilmast/error.h"
#include "chervilmast/name.h"

int cm_map_decode(msgpack_unpacked *unpacked, const char *bytes, size_t size)
{
	size_t used = 0;

	msgpack_unpacked_init(unpacked);
	if (msgpack_unpack_next(unpacked, bytes, size, &used) !=
	    MSGPACK_UNPACK_SUCCESS)
		return CM_E_PROTOCOL;
	return used == size ? CM_OK : CM_E_PROTOCOL;
}

static bool is_key(const msgpack_object *key, const char *text, size_t length)
{
	return key->type == MSGPACK_OBJECT_STR && key->via.str.size == length &&
	       !memcmp(key->via.str.ptr, text, length);
}

const msgpack_object *cm_map_field(const msgpack_object *object,
				   const char *key)
{
	size_t length = strlen(key);

	if (object->type != MSGPACK_OBJECT_MAP)
		return NULL;
	for (uint32_t i = 0; i < object->via.map.size; i++)
		if (is_key(&object->via.map.ptr[i].key, key, length))
			return &object->via.map.ptr[i].val;
	return NULL;
}

const msgpack_object_array *cm_map_array(const msgpack_object *object,
					 const char *key)
{
	const msgpack_object *value = cm_map_field(object, key);

	if (!value || value->type != MSGPACK_OBJECT_ARRAY)
		return NULL;
	return &value->via.array;
}

static int find_text(const msgpack_object *object, const char *key,
		     const msgpack_object_str **text)
{
	const msgpack_object *value = cm_map_field(object, key);

	if (!value)
		return CM_E_MISSING_KEY;
	if (value->type != MSGPACK_OBJECT_STR)
		return CM_E_WRONG_TYPE;
	*text = &value->via.str;
	if (!(*text)->size)
		return CM_E_OUT_OF_RANGE;
	return memchr((*text)->ptr, '\0', (*text)->size) ? CM_E_BAD_NAME :
							   CM_OK;
}

int cm_map_text(char *text, const msgpack_object *object, const char *key)
{
	const msgpack_object_str *found;
	int error = find_text(object, key, &found);

	if (error)
		return error;
	if (found->size >= CM_NAME_SIZE)
		return CM_E_OUT_OF_RANGE;
	memset(text, 0, CM_NAME_SIZE);
	memcpy(text, found->ptr, found->size);
	return CM_OK;
}

int cm_map_name(char *name, const msgpack_object *object, const char *key)
{
	const msgpack_object_str *found;
	int error = find_text(object, key, &found);

	if (!error)
		cm_name_set(name, found->ptr, found->size);
	return error;
}

int cm_map_number(uint64_t *number, const msgpack_object *object,
		  const char *key)
{
	const msgpack_object *value = cm_map_field(object, key);

	if (!value)
		return CM_E_MISSING_KEY;
	if (value->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return CM_E_OUT_OF_RANGE;
	if (value->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return CM_E_WRONG_TYPE;
	*number = value->via.u64;
	return CM_OK;
}

bool cm_map_is_number(const msgpack_object *value)
{
	return value->type == MSGPACK_OBJECT_FLOAT32 ||
	       value->type == MSGPACK_OBJECT_FLOAT64 ||
	       value->type == MSGPACK_OBJECT_POSITIVE_INTEGER ||
	       value->type == MSGPACK_OBJECT_NEGATIVE_INTEGER;
}

double cm_map_real(const msgpack_object *object, const char *key)
{
	const msgpack_object *value = cm_map_field(object, key);

	if (!value)
		return 0;
	switch (value->type) {
	case MSGPACK_OBJECT_FLOAT32:
	case MSGPACK_OBJECT_FLOAT64:
		return value->via.f64;
	case MSGPACK_OBJECT_POSITIVE_INTEGER:
		return (double)value->via.u64;
	case MSGPACK_OBJECT_NEGATIVE_INTEGER:
		return (double)value->via.i64;
	default:
		return 0;
	}
}

bool cm_map_is_true(const msgpack_object *object, const char *key)
{
	const msgpack_object *value = cm_map_field(object, key);

	return value && value->type == MSGPACK_OBJECT_BOOLEAN &&
	       value->via.boolean;
}

void cm_map_put_text(msgpack_packer *packer, const char *text)
{
	msgpack_pack_str_with_body(packer, text, strlen(text));
}
