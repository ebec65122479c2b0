/**
 * DOC: Index of items by name
 *
 * A hash table with open addressing over an array of structs that begin with
 * their name. It is used only while a release note is applied.
 */
#ifndef CORE_NAME_INDEX_H
#define CORE_NAME_INDEX_H

#include <stddef.h>
#include <stdint.h>

/**
 * struct cm_name_index - an index over an array
 * @items: the array; each item begins with its name
 * @stride: size of an item, bytes
 * @slots: index of an item in each hash slot; CM_NONE in an empty one
 * @mask: number of @slots minus one
 */
struct cm_name_index {
	void *items;
	size_t stride;
	uint32_t *slots;
	uint32_t mask;
};

/**
 * cm_name_index_init() - index the items of an array
 * @index: the index to initialize
 * @items: the array
 * @stride: size of an item, bytes
 * @count: number of items in the array
 * @capacity: maximum number of items that the array will have
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_name_index_init(struct cm_name_index *index, void *items, size_t stride,
		       uint32_t count, uint32_t capacity);

/**
 * cm_name_index_finish() - free the contents of an index
 * @index: the index; the structure itself is not freed
 */
void cm_name_index_finish(struct cm_name_index *index);

/**
 * cm_name_index_find() - find an item by its name
 * @index: the index
 * @name: the name
 *
 * Return: index of the item or CM_NONE.
 */
uint32_t cm_name_index_find(const struct cm_name_index *index,
			    const char *name);

/**
 * cm_name_index_add() - add an item that was appended to the array
 * @index: the index
 * @item: index of the item in the array
 */
void cm_name_index_add(struct cm_name_index *index, uint32_t item);

#endif
