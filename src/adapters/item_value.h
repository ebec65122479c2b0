/**
 * DOC: Reading the value of a registry item, a msgpack array
 */
#ifndef ADAPTERS_ITEM_VALUE_H
#define ADAPTERS_ITEM_VALUE_H

#include "chervilmast/item_log.h"
#include "message_reader.h"

/**
 * struct cm_item_value - a value that is being read
 * @unpacked: the decoded value
 * @error: first error of the readers; 0 for none
 */
struct cm_item_value {
	msgpack_unpacked unpacked;
	int error;
};

/** cm_item_value_open() - decode a value; returns a reader whose only element
 * is the whole value */
struct cm_reader cm_item_value_open(struct cm_item_value *value,
				    const struct cm_item *item);

/** cm_item_value_close() - free a value; returns the first error */
int cm_item_value_close(struct cm_item_value *value);

#endif
