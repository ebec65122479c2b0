#include "store.h"

#include <stdlib.h>
#include <string.h>

void cm_store_items_init(struct cm_store_items *items)
{
	memset(items, 0, sizeof(*items));
}

void cm_store_items_finish(struct cm_store_items *items)
{
	for (size_t i = 0; i < items->count; i++) {
		free(items->items[i].key);
		free(items->items[i].value);
	}
	free(items->items);
	cm_store_items_init(items);
}
