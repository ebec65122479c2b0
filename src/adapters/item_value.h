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

/**
 * cm_item_value_open() - decode the value of an item
 * @value: set; valid until cm_item_value_close(), also after an error
 * @item: the item, not a tombstone; must stay valid as long as @value
 *
 * An invalid value sets the error of @value to CM_E_MALFORMED.
 *
 * Return: a reader whose only element is the whole value.
 */
struct cm_reader cm_item_value_open(struct cm_item_value *value,
				    const struct cm_item *item);

/**
 * cm_item_value_close() - free what a value holds
 * @value: the value; the struct itself is not freed
 *
 * Return: 0 or the first error of the value's readers.
 */
int cm_item_value_close(struct cm_item_value *value);

#endif
