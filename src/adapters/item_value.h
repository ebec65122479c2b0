/**
 * DOC: Value of an item as a msgpack array
 */
#ifndef ADAPTERS_ITEM_VALUE_H
#define ADAPTERS_ITEM_VALUE_H

#include "chervilmast/item_log.h"
#include "message_reader.h"

/**
 * struct cm_item_value - a value that is being read
 * @unpacked: the value as an object
 * @error: the first error of the readers
 */
struct cm_item_value {
	msgpack_unpacked unpacked;
	int error;
};

/** cm_item_value_open() - begin to read a value; returns a reader whose only
 * item is the whole value */
struct cm_reader cm_item_value_open(struct cm_item_value *value,
				    const struct cm_item *item);

/** cm_item_value_close() - end; returns the first error */
int cm_item_value_close(struct cm_item_value *value);

#endif
