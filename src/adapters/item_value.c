#include "item_value.h"

#include "chervilmast/error.h"

struct cm_reader cm_item_value_open(struct cm_item_value *value,
				    const struct cm_item *item)
{
	struct cm_reader reader = { .next = &value->unpacked.data,
				    .remaining = 1,
				    .error = &value->error };
	size_t used = 0;

	value->error = CM_OK;
	msgpack_unpacked_init(&value->unpacked);
	if (msgpack_unpack_next(&value->unpacked, item->value, item->size,
				&used) != MSGPACK_UNPACK_SUCCESS ||
	    used != item->size)
		cm_reader_fail(&reader, CM_E_MALFORMED);
	return reader;
}

int cm_item_value_close(struct cm_item_value *value)
{
	msgpack_unpacked_destroy(&value->unpacked);
	return value->error;
}
