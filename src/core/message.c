#include "chervilmast/message.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

static const char *const kind_names[CM_MESSAGE_KIND_END] = {
	[CM_MESSAGE_HEARTBEAT] = "heartbeat",
	[CM_MESSAGE_HEARTBEAT_ACK] = "heartbeat-ack",
	[CM_MESSAGE_BINDINGS] = "bindings",
	[CM_MESSAGE_LOADS] = "loads",
	[CM_MESSAGE_NOTES_REQUEST] = "notes-request",
	[CM_MESSAGE_NOTES] = "notes",
	[CM_MESSAGE_STATUS_REQUEST] = "status-request",
	[CM_MESSAGE_STATUS] = "status",
	[CM_MESSAGE_ITEMS_REQUEST] = "items-request",
	[CM_MESSAGE_ITEMS] = "items",
};

void cm_message_init(struct cm_message *message, enum cm_message_kind kind)
{
	memset(message, 0, sizeof(*message));
	message->kind = kind;
}

static void notes_finish(struct cm_message_notes *notes)
{
	for (uint32_t i = 0; i < notes->count; i++)
		free(notes->items[i].bytes);
	free(notes->items);
}

static void items_finish(struct cm_message_items *items)
{
	for (uint32_t i = 0; i < items->count; i++) {
		free(items->items[i].key);
		free(items->items[i].value);
	}
	free(items->items);
}

void cm_message_finish(struct cm_message *message)
{
	switch (message->kind) {
	case CM_MESSAGE_HEARTBEAT:
	case CM_MESSAGE_HEARTBEAT_ACK:
		free(message->heartbeat.events.items);
		free(message->heartbeat.loads.items);
		break;
	case CM_MESSAGE_BINDINGS:
		free(message->bindings.items);
		break;
	case CM_MESSAGE_LOADS:
		free(message->loads.items);
		break;
	case CM_MESSAGE_NOTES:
		notes_finish(&message->notes);
		break;
	case CM_MESSAGE_STATUS:
		free(message->status.members.items);
		free(message->status.servers);
		break;
	case CM_MESSAGE_ITEMS:
		items_finish(&message->items);
		break;
	case CM_MESSAGE_NOTES_REQUEST:
	case CM_MESSAGE_STATUS_REQUEST:
	case CM_MESSAGE_ITEMS_REQUEST:
	case CM_MESSAGE_KIND_END:
		break;
	}
	cm_message_init(message, message->kind);
}

static int reserve(void *items, uint32_t *count, uint32_t wanted, size_t size)
{
	void **array = items;

	if (wanted > CM_MESSAGE_ARRAY_MAX)
		return CM_E_TOO_LARGE;
	*array = calloc((size_t)wanted + 1, size);
	if (!*array)
		return CM_E_MEMORY;
	*count = wanted;
	return CM_OK;
}

int cm_message_members_reserve(struct cm_message_members *members,
			       uint32_t count)
{
	return reserve(&members->items, &members->count, count,
		       sizeof(*members->items));
}

int cm_message_loads_reserve(struct cm_message_loads *loads, uint32_t count)
{
	return reserve(&loads->items, &loads->count, count,
		       sizeof(*loads->items));
}

int cm_message_bindings_reserve(struct cm_message_bindings *bindings,
				uint32_t count)
{
	return reserve(&bindings->items, &bindings->count, count,
		       sizeof(*bindings->items));
}

int cm_message_notes_reserve(struct cm_message_notes *notes, uint32_t count)
{
	return reserve(&notes->items, &notes->count, count,
		       sizeof(*notes->items));
}

/* Returns a copy with a NUL appended, or NULL if out of memory. */
static char *copy_bytes(const void *bytes, size_t size)
{
	char *copy = malloc(size + 1);

	if (!copy)
		return NULL;
	if (size)
		memcpy(copy, bytes, size);
	copy[size] = '\0';
	return copy;
}

int cm_message_note_set(struct cm_message_note *note, const void *bytes,
			size_t size)
{
	if (size > CM_MESSAGE_BLOB_SIZE_MAX)
		return CM_E_TOO_LARGE;
	note->bytes = (uint8_t *)copy_bytes(bytes, size);
	if (!note->bytes)
		return CM_E_MEMORY;
	note->size = size;
	return CM_OK;
}

int cm_message_items_reserve(struct cm_message_items *items, uint32_t count)
{
	return reserve(&items->items, &items->count, count,
		       sizeof(*items->items));
}

int cm_message_item_set(struct cm_message_item *item, const char *key,
			size_t key_size, const char *value, size_t size)
{
	if (size > CM_MESSAGE_BLOB_SIZE_MAX ||
	    key_size > CM_MESSAGE_BLOB_SIZE_MAX)
		return CM_E_TOO_LARGE;
	item->key = copy_bytes(key, key_size);
	if (!item->key)
		return CM_E_MEMORY;
	if (!value)
		return CM_OK;
	item->value = copy_bytes(value, size);
	item->size = size;
	return item->value ? CM_OK : CM_E_MEMORY;
}

int cm_message_servers_reserve(struct cm_message_status *status, uint32_t count)
{
	return reserve(&status->servers, &status->server_count, count,
		       sizeof(*status->servers));
}

const char *cm_message_kind_name(enum cm_message_kind kind)
{
	if (kind < CM_MESSAGE_HEARTBEAT || kind >= CM_MESSAGE_KIND_END)
		return "unknown";
	return kind_names[kind];
}
