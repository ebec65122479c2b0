#include <string.h>

#include "chervilmast/error.h"
#include "chervilmast/token_marks.h"
#include "message_internal.h"
#include "message_reader.h"

static void get_tokens(struct cm_reader *reader,
		       struct cm_message_tokens *tokens)
{
	struct cm_reader list = cm_reader_array(reader, CM_MESSAGE_TOKENS_MAX);

	tokens->count = list.remaining;
	for (uint32_t i = 0; i < tokens->count && !*reader->error; i++)
		tokens->tokens[i] =
			(uint32_t)cm_reader_number(&list, UINT32_MAX);
}

/* Marks are optional; an instance of an earlier version writes none. */
static void get_marked_tokens(struct cm_reader *reader,
			      struct cm_message_tokens *tokens,
			      struct cm_message_tokens *marked)
{
	get_tokens(reader, tokens);
	if (!*reader->error)
		cm_token_marks_take(tokens, marked);
}

void cm_message_read_items_request(struct cm_reader *outer,
				   struct cm_message *message)
{
	struct cm_reader reader =
		cm_reader_struct(outer, CM_ITEMS_REQUEST_FIELDS);

	cm_reader_text(&reader, message->items_request.name);
	message->items_request.after_revision =
		cm_reader_number(&reader, UINT64_MAX);
	message->items_request.snapshot_incarnation =
		cm_reader_number(&reader, UINT64_MAX);
	message->items_request.requested_ms =
		cm_reader_number(&reader, UINT64_MAX);
	get_marked_tokens(&reader, &message->items_request.suspects,
			  &message->items_request.stalled);
	get_tokens(&reader, &message->items_request.failures);
	get_tokens(&reader, &message->items_request.successes);
}

static void get_item(struct cm_reader *list, struct cm_message_item *item)
{
	struct cm_reader reader = cm_reader_struct(list, CM_ITEM_FIELDS);
	const msgpack_object *key = cm_reader_next(&reader, MSGPACK_OBJECT_BIN);
	const msgpack_object *value =
		cm_reader_next(&reader, MSGPACK_OBJECT_BIN);
	int error;

	item->revision = cm_reader_number(&reader, UINT64_MAX);
	item->is_deleted = cm_reader_number(&reader, 1);
	if (*reader.error)
		return;
	error = cm_message_item_set(item, key->via.bin.ptr, key->via.bin.size,
				    item->is_deleted ? NULL :
						       value->via.bin.ptr,
				    value->via.bin.size);
	if (error)
		cm_reader_fail(&reader, error);
	else if (strlen(item->key) != key->via.bin.size)
		cm_reader_fail(&reader, CM_E_BAD_NAME);
}

void cm_message_read_items(struct cm_reader *outer, struct cm_message *message)
{
	struct cm_message_items *body = &message->items;
	struct cm_reader reader = cm_reader_struct(outer, CM_ITEMS_FIELDS);
	struct cm_reader list;
	int error;

	body->after_revision = cm_reader_number(&reader, UINT64_MAX);
	body->revision = cm_reader_number(&reader, UINT64_MAX);
	body->requested_ms = cm_reader_number(&reader, UINT64_MAX);
	body->age_ms = cm_reader_number(&reader, UINT64_MAX);
	body->starts_snapshot = cm_reader_number(&reader, 1);
	body->has_more = cm_reader_number(&reader, 1);
	list = cm_reader_array(&reader, CM_MESSAGE_ARRAY_MAX);
	if (*reader.error)
		return;
	error = cm_message_items_reserve(body, list.remaining);
	if (error)
		cm_reader_fail(&reader, error);
	for (uint32_t i = 0; i < body->count && !*reader.error; i++)
		get_item(&list, &body->items[i]);
	get_marked_tokens(&reader, &body->suspects, &body->down);
	get_tokens(&reader, &body->ejected);
}
