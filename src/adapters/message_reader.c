#include "message_reader.h"

#include <string.h>

#include "chervilmast/error.h"

void cm_reader_fail(struct cm_reader *reader, int error)
{
	if (!*reader->error)
		*reader->error = error;
}

const msgpack_object *cm_reader_next(struct cm_reader *reader,
				     msgpack_object_type type)
{
	const msgpack_object *item = reader->next;

	if (!reader->remaining)
		cm_reader_fail(reader, CM_E_TRUNCATED);
	else if (item->type != type)
		cm_reader_fail(reader, CM_E_WRONG_TYPE);
	if (*reader->error)
		return NULL;
	reader->next++;
	reader->remaining--;
	return item;
}

uint64_t cm_reader_number(struct cm_reader *reader, uint64_t maximum)
{
	const msgpack_object *item =
		cm_reader_next(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!item)
		return 0;
	if (item->via.u64 > maximum) {
		cm_reader_fail(reader, CM_E_OUT_OF_RANGE);
		return 0;
	}
	return item->via.u64;
}

void cm_reader_name(struct cm_reader *reader, char *name)
{
	const msgpack_object *item = cm_reader_next(reader, MSGPACK_OBJECT_STR);
	const msgpack_object_str *text;

	if (!item)
		return;
	text = &item->via.str;
	/* msgpack may set the pointer of an empty string to NULL. */
	if (text->size && memchr(text->ptr, '\0', text->size))
		cm_reader_fail(reader, CM_E_BAD_NAME);
	else
		cm_name_set(name, text->ptr, text->size);
}

struct cm_reader cm_reader_array(struct cm_reader *reader, uint32_t maximum)
{
	const msgpack_object *item =
		cm_reader_next(reader, MSGPACK_OBJECT_ARRAY);
	struct cm_reader inner = { .error = reader->error };

	if (!item)
		return inner;
	if (item->via.array.size > maximum) {
		cm_reader_fail(reader, CM_E_TOO_LARGE);
		return inner;
	}
	inner.next = item->via.array.ptr;
	inner.remaining = item->via.array.size;
	return inner;
}

struct cm_reader cm_reader_struct(struct cm_reader *reader, uint32_t fields)
{
	struct cm_reader inner = cm_reader_array(reader, fields);

	if (inner.remaining < fields)
		cm_reader_fail(reader, CM_E_TRUNCATED);
	return inner;
}

struct cm_reader cm_reader_open_struct(struct cm_reader *reader,
				       uint32_t fields)
{
	struct cm_reader inner = cm_reader_array(reader, CM_MESSAGE_ARRAY_MAX);

	if (inner.remaining < fields)
		cm_reader_fail(reader, CM_E_TRUNCATED);
	return inner;
}
