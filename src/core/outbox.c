#include "chervilmast/outbox.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_CAPACITY 16

void cm_outbox_init(struct cm_outbox *outbox)
{
	memset(outbox, 0, sizeof(*outbox));
}

void cm_outbox_finish(struct cm_outbox *outbox)
{
	cm_outbox_clear(outbox);
	free(outbox->items);
	cm_outbox_init(outbox);
}

void cm_outbox_clear(struct cm_outbox *outbox)
{
	for (size_t i = 0; i < outbox->count; i++)
		cm_message_finish(&outbox->items[i].message);
	outbox->count = 0;
}

struct cm_message *cm_outbox_add(struct cm_outbox *outbox,
				 const struct cm_endpoint *to,
				 enum cm_message_kind kind)
{
	struct cm_outbox_item *item;

	if (outbox->count == outbox->capacity) {
		size_t capacity = outbox->capacity ? outbox->capacity * 2 :
						     FIRST_CAPACITY;
		struct cm_outbox_item *items = realloc(
			outbox->items, capacity * sizeof(*outbox->items));

		if (!items)
			return NULL;
		outbox->items = items;
		outbox->capacity = capacity;
	}
	item = &outbox->items[outbox->count++];
	item->to = *to;
	cm_message_init(&item->message, kind);
	return &item->message;
}
