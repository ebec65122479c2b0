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

/* Marks (token_marks.h) are optional; earlier versions write none. */
static void get_marked_tokens(struct cm_reader *reader,
			      struct cm_message_tokens *tokens,
			      struct cm_message_tokens *marked)
{
	get_tokens(reader, tokens);
	if (!*reader->error)
		cm_token_marks_take(tokens, marked);
}

/* Reads a list of loads after @list->remaining was found to be valid. */
static void get_loads(struct cm_reader *list, struct cm_load_list *loads)
{
	uint32_t count = list->remaining / 2;

	if (list->remaining % 2)
		cm_reader_fail(list, CM_E_TRUNCATED);
	for (uint32_t i = 0; i < count && !*list->error; i++) {
		loads->tokens[i] = (uint32_t)cm_reader_number(list, UINT32_MAX);
		loads->loads[i] = (uint32_t)cm_reader_number(list, UINT32_MAX);
	}
	if (!*list->error)
		loads->count = count;
}

static void get_request_loads(struct cm_reader *reader,
			      struct cm_message_items_request *body)
{
	struct cm_reader list =
		cm_reader_array(reader, 2 + 2 * CM_LOAD_LIST_MAX);

	body->loads_epoch = (uint32_t)cm_reader_number(&list, UINT32_MAX);
	body->loads_complete = cm_reader_number(&list, 1);
	get_loads(&list, &body->loads);
}

static void get_answer_loads(struct cm_reader *reader,
			     struct cm_message_items *body)
{
	struct cm_reader list =
		cm_reader_array(reader, 1 + 2 * CM_LOAD_LIST_MAX);

	body->loads_age_ms = cm_reader_number(&list, UINT64_MAX);
	get_loads(&list, &body->loads);
}

/*
 * Looks up the map of optional fields. Elements after the map are of later
 * versions and ignored.
 *
 * Return: NULL when there is none.
 */
static const msgpack_object_map *get_optional(struct cm_reader *reader)
{
	const msgpack_object *map =
		!*reader->error && reader->remaining ?
			cm_reader_next(reader, MSGPACK_OBJECT_MAP) :
			NULL;

	return map ? &map->via.map : NULL;
}

/*
 * Looks up a field by its number and sets @value to a reader of it.
 *
 * Return: false when the map has no such field.
 */
static bool find_optional(const struct cm_reader *reader,
			  const msgpack_object_map *map, uint64_t number,
			  struct cm_reader *value)
{
	for (uint32_t i = 0; i < map->size; i++) {
		const msgpack_object_kv *field = &map->ptr[i];

		if (field->key.type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
		    field->key.via.u64 != number)
			continue;
		*value = (struct cm_reader){ &field->val, 1, reader->error };
		return true;
	}
	return false;
}

/* Removes the token 0, with which the sender says that it reads optional
 * fields, from the suspects. */
static bool take_optional_mark(struct cm_message_tokens *suspects)
{
	uint32_t count = 0;
	bool is_marked;

	for (uint32_t i = 0; i < suspects->count; i++)
		if (suspects->tokens[i])
			suspects->tokens[count++] = suspects->tokens[i];
	is_marked = count < suspects->count;
	suspects->count = count;
	return is_marked;
}

void cm_message_read_items_request(struct cm_reader *outer,
				   struct cm_message *message)
{
	struct cm_reader reader =
		cm_reader_open_struct(outer, CM_ITEMS_REQUEST_FIELDS);
	const msgpack_object_map *optional;
	struct cm_reader field;

	cm_reader_name(&reader, message->items_request.name);
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
	if (*reader.error)
		return;
	message->items_request.reads_optional =
		take_optional_mark(&message->items_request.suspects);
	optional = get_optional(&reader);
	message->items_request.has_optional = optional != NULL;
	if (optional &&
	    find_optional(&reader, optional, CM_OPTIONAL_LOADS, &field))
		get_request_loads(&field, &message->items_request);
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
	struct cm_reader reader = cm_reader_open_struct(outer, CM_ITEMS_FIELDS);
	const msgpack_object_map *optional;
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
	optional = get_optional(&reader);
	body->has_optional = optional != NULL;
	if (optional &&
	    find_optional(&reader, optional, CM_OPTIONAL_LOADS, &list))
		get_answer_loads(&list, body);
}
