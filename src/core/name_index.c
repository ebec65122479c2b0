#include "name_index.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "chervilmast/catalog.h"
#include "chervilmast/error.h"

/* Minimum number of hash slots for each item, to keep searches short. */
#define SLOTS_PER_ITEM 2

static const char *item_name(const struct cm_name_index *index, uint32_t item)
{
	return (const char *)index->items + item * index->stride;
}

static uint32_t first_slot(const struct cm_name_index *index, const char *name)
{
	return XXH64(name, strnlen(name, CM_NAME_SIZE), 0) & index->mask;
}

int cm_name_index_init(struct cm_name_index *index, void *items, size_t stride,
		       uint32_t count, uint32_t capacity)
{
	uint32_t size = 1;

	while (size < capacity * SLOTS_PER_ITEM + 1)
		size *= 2;
	index->items = items;
	index->stride = stride;
	index->mask = size - 1;
	index->slots = malloc(size * sizeof(*index->slots));
	if (!index->slots)
		return CM_E_MEMORY;
	/* Sets all slots to CM_NONE. */
	memset(index->slots, 0xff, size * sizeof(*index->slots));
	for (uint32_t i = 0; i < count; i++)
		cm_name_index_add(index, i);
	return CM_OK;
}

void cm_name_index_finish(struct cm_name_index *index)
{
	free(index->slots);
	index->slots = NULL;
}

uint32_t cm_name_index_find(const struct cm_name_index *index, const char *name)
{
	uint32_t slot = first_slot(index, name);
	uint32_t item;

	while ((item = index->slots[slot]) != CM_NONE) {
		if (cm_name_equal(item_name(index, item), name))
			return item;
		slot = (slot + 1) & index->mask;
	}
	return CM_NONE;
}

void cm_name_index_add(struct cm_name_index *index, uint32_t item)
{
	uint32_t slot = first_slot(index, item_name(index, item));

	while (index->slots[slot] != CM_NONE)
		slot = (slot + 1) & index->mask;
	index->slots[slot] = item;
}
