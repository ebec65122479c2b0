#include <msgpack.h>
#include <netinet/in.h>
#include <string.h>

#include "chervilmast/error.h"
#include "message_internal.h"
#include "message_msgpack.h"

#define ENVELOPE_FIELDS 6
#define ADDRESS_SHIFT 24
#define PORT_SHIFT 8
#define WORD_MAX ((1ULL << 56) - 1)

/**
 * struct reader - the rest of a msgpack array
 * @at: the next item
 * @left: items that are left
 * @error: the first error; shared by the readers of one message
 */
struct reader {
	const msgpack_object *at;
	uint32_t left;
	int *error;
};

static void fail(struct reader *reader, int error)
{
	if (!*reader->error)
		*reader->error = error;
}

/* The next item when it has the type; NULL after any error. */
static const msgpack_object *next(struct reader *reader,
				  msgpack_object_type type)
{
	const msgpack_object *item = reader->at;

	if (!reader->left)
		fail(reader, CM_E_TRUNCATED);
	else if (item->type != type)
		fail(reader, CM_E_WRONG_TYPE);
	if (*reader->error)
		return NULL;
	reader->at++;
	reader->left--;
	return item;
}

static uint64_t get_number(struct reader *reader, uint64_t maximum)
{
	const msgpack_object *item =
		next(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!item)
		return 0;
	if (item->via.u64 > maximum) {
		fail(reader, CM_E_OUT_OF_RANGE);
		return 0;
	}
	return item->via.u64;
}

static void get_text(struct reader *reader, char *text)
{
	const msgpack_object *item = next(reader, MSGPACK_OBJECT_STR);

	if (!item)
		return;
	if (item->via.str.size >= CM_NAME_SIZE) {
		fail(reader, CM_E_TOO_LARGE);
		return;
	}
	/* An empty string may come without a place. */
	if (item->via.str.size)
		memcpy(text, item->via.str.ptr, item->via.str.size);
	text[item->via.str.size] = '\0';
	if (strlen(text) != item->via.str.size)
		fail(reader, CM_E_BAD_NAME);
}

/* A reader of the next item, an array of up to @maximum items. */
static struct reader get_array(struct reader *reader, uint32_t maximum)
{
	const msgpack_object *item = next(reader, MSGPACK_OBJECT_ARRAY);
	struct reader inner = { .error = reader->error };

	if (!item)
		return inner;
	if (item->via.array.size > maximum) {
		fail(reader, CM_E_TOO_LARGE);
		return inner;
	}
	inner.at = item->via.array.ptr;
	inner.left = item->via.array.size;
	return inner;
}

static struct reader get_struct(struct reader *reader, uint32_t fields)
{
	struct reader inner = get_array(reader, fields);

	if (inner.left < fields)
		fail(reader, CM_E_TRUNCATED);
	return inner;
}

static struct cm_endpoint word_endpoint(uint64_t word)
{
	struct cm_endpoint endpoint = {
		.address = (uint32_t)(word >> ADDRESS_SHIFT),
		.port = (uint16_t)(word >> PORT_SHIFT),
		.protocol = (uint8_t)word,
	};

	return endpoint;
}

static struct cm_endpoint get_endpoint(struct reader *reader)
{
	struct cm_endpoint endpoint =
		word_endpoint(get_number(reader, WORD_MAX));

	if (endpoint.protocol != IPPROTO_TCP &&
	    endpoint.protocol != IPPROTO_UDP)
		fail(reader, CM_E_OUT_OF_RANGE);
	return endpoint;
}

static struct cm_endpoint get_control(struct reader *reader,
				      const struct cm_endpoint *data)
{
	uint64_t word = get_number(reader, WORD_MAX);
	struct cm_endpoint control = word_endpoint(word);

	if (word <= UINT16_MAX) {
		control.address = data->address;
		control.port = (uint16_t)word;
	}
	control.protocol = IPPROTO_TCP;
	return control;
}

static void get_member(struct reader *list, struct cm_member *member)
{
	struct reader reader = get_struct(list, CM_MEMBER_FIELDS);

	get_text(&reader, member->name);
	get_text(&reader, member->domain);
	member->data = get_endpoint(&reader);
	member->control = get_control(&reader, &member->data);
	member->incarnation = get_number(&reader, UINT64_MAX);
	member->state = get_number(&reader, CM_MEMBER_SUSPECT);
}

static void get_members(struct reader *reader,
			struct cm_message_members *members)
{
	struct reader list = get_array(reader, CM_MESSAGE_ITEMS_MAX);
	int error;

	if (*reader->error)
		return;
	error = cm_message_members_reserve(members, list.left);
	if (error)
		fail(reader, error);
	for (uint32_t i = 0; i < members->count && !*reader->error; i++)
		get_member(&list, &members->items[i]);
}

static void get_loads(struct reader *reader, struct cm_message_loads *loads)
{
	struct reader list = get_array(reader, CM_MESSAGE_ITEMS_MAX);
	int error;

	if (*reader->error)
		return;
	error = cm_message_loads_reserve(loads, list.left);
	if (error)
		fail(reader, error);
	for (uint32_t i = 0; i < loads->count && !*reader->error; i++) {
		struct reader load = get_struct(&list, CM_LOAD_FIELDS);

		loads->items[i].server = get_endpoint(&load);
		loads->items[i].open = get_number(&load, UINT32_MAX);
		loads->items[i].flags = get_number(&load, UINT32_MAX);
	}
}

static void get_publication_id(struct reader *reader,
			       struct cm_message_heartbeat *body)
{
	const msgpack_object *item = next(reader, MSGPACK_OBJECT_BIN);
	uint32_t wanted = body->version ? CM_PUBLICATION_ID_SIZE : 0;

	if (!item)
		return;
	if (item->via.bin.size != wanted)
		fail(reader, CM_E_OUT_OF_RANGE);
	else if (wanted)
		memcpy(body->publication_id, item->via.bin.ptr, wanted);
}

static void get_heartbeat(struct reader *outer, struct cm_message *message)
{
	struct cm_message_heartbeat *body = &message->heartbeat;
	struct reader reader = get_struct(outer, CM_HEARTBEAT_FIELDS);

	body->stamp_ms = get_number(&reader, UINT64_MAX);
	body->state = get_number(&reader, CM_MEMBER_DEAD);
	body->grants = get_number(&reader, true);
	body->version = get_number(&reader, UINT64_MAX);
	get_publication_id(&reader, body);
	body->digest = get_number(&reader, UINT32_MAX);
	get_members(&reader, &body->members);
	get_loads(&reader, &body->loads);
}

static void get_bindings(struct reader *reader, struct cm_message *message)
{
	struct cm_message_bindings *body = &message->bindings;
	struct reader list = get_array(reader, CM_MESSAGE_ITEMS_MAX);
	int error;

	if (*reader->error)
		return;
	error = cm_message_bindings_reserve(body, list.left);
	if (error)
		fail(reader, error);
	for (uint32_t i = 0; i < body->count && !*reader->error; i++) {
		struct reader binding = get_struct(&list, CM_BINDING_FIELDS);

		body->items[i].flow.caller = get_endpoint(&binding);
		body->items[i].flow.service = get_endpoint(&binding);
		body->items[i].server = get_endpoint(&binding);
	}
}

static void get_loads_body(struct reader *reader, struct cm_message *message)
{
	get_loads(reader, &message->loads);
}

static void get_notes_request(struct reader *outer, struct cm_message *message)
{
	struct reader reader = get_struct(outer, CM_NOTES_REQUEST_FIELDS);

	message->notes_request.after = get_number(&reader, UINT64_MAX);
	message->notes_request.limit = get_number(&reader, UINT32_MAX);
	message->notes_request.snapshot = get_number(&reader, UINT64_MAX);
	message->notes_request.part = get_number(&reader, UINT32_MAX);
}

static void get_notes(struct reader *outer, struct cm_message *message)
{
	struct cm_message_notes *body = &message->notes;
	struct reader reader = get_struct(outer, CM_NOTES_FIELDS);
	struct reader list;
	int error;

	body->version = get_number(&reader, UINT64_MAX);
	list = get_array(&reader, CM_MESSAGE_ITEMS_MAX);
	if (*reader.error)
		return;
	error = cm_message_notes_reserve(body, list.left);
	if (error)
		fail(&reader, error);
	for (uint32_t i = 0; i < body->count && !*reader.error; i++) {
		const msgpack_object *item = next(&list, MSGPACK_OBJECT_BIN);

		if (!item)
			return;
		error = cm_message_note_set(&body->items[i], item->via.bin.ptr,
					    item->via.bin.size);
		if (error)
			fail(&reader, error);
	}
}

static void get_status_request(struct reader *reader,
			       struct cm_message *message)
{
	(void)message;
	get_array(reader, 0);
}

static void get_server(struct reader *list, struct cm_message_server *server)
{
	struct reader reader = get_struct(list, CM_SERVER_FIELDS);

	get_text(&reader, server->name);
	server->address = get_endpoint(&reader);
	server->state = get_number(&reader, CM_SERVER_WITHDRAWN);
	server->is_home = get_number(&reader, true);
	server->open = get_number(&reader, UINT32_MAX);
}

static void get_status(struct reader *outer, struct cm_message *message)
{
	struct cm_message_status *body = &message->status;
	struct reader reader = get_struct(outer, CM_STATUS_FIELDS);
	struct reader list;
	int error;

	get_text(&reader, body->name);
	body->version = get_number(&reader, UINT64_MAX);
	body->uptime_s = get_number(&reader, UINT64_MAX);
	get_members(&reader, &body->members);
	list = get_array(&reader, CM_MESSAGE_ITEMS_MAX);
	if (*reader.error)
		return;
	error = cm_message_servers_reserve(body, list.left);
	if (error)
		fail(&reader, error);
	for (uint32_t i = 0; i < body->server_count && !*reader.error; i++)
		get_server(&list, &body->servers[i]);
}

static void get_suspects(struct reader *reader,
			 struct cm_message_suspects *suspects)
{
	struct reader list = get_array(reader, CM_MESSAGE_SUSPECTS_MAX);

	suspects->count = list.left;
	for (uint32_t i = 0; i < suspects->count && !*reader->error; i++)
		suspects->tokens[i] = (uint32_t)get_number(&list, UINT32_MAX);
}

static void get_items_request(struct reader *outer, struct cm_message *message)
{
	struct reader reader = get_struct(outer, CM_ITEMS_REQUEST_FIELDS);

	message->items_request.after = get_number(&reader, UINT64_MAX);
	get_suspects(&reader, &message->items_request.suspects);
}

static void get_item(struct reader *list, struct cm_message_item *item)
{
	struct reader reader = get_struct(list, CM_ITEM_FIELDS);
	const msgpack_object *key = next(&reader, MSGPACK_OBJECT_BIN);
	const msgpack_object *value = next(&reader, MSGPACK_OBJECT_BIN);
	int error;

	item->revision = get_number(&reader, UINT64_MAX);
	item->is_gone = get_number(&reader, 1);
	if (*reader.error)
		return;
	error = cm_message_item_set(item, key->via.bin.ptr, key->via.bin.size,
				    item->is_gone ? NULL : value->via.bin.ptr,
				    value->via.bin.size);
	if (error)
		fail(&reader, error);
	else if (strlen(item->key) != key->via.bin.size)
		fail(&reader, CM_E_BAD_NAME);
}

static void get_items(struct reader *outer, struct cm_message *message)
{
	struct cm_message_items *body = &message->items;
	struct reader reader = get_struct(outer, CM_ITEMS_FIELDS);
	struct reader list;
	int error;

	body->revision = get_number(&reader, UINT64_MAX);
	body->age_ms = get_number(&reader, UINT64_MAX);
	body->is_all = get_number(&reader, 1);
	list = get_array(&reader, CM_MESSAGE_ITEMS_MAX);
	if (*reader.error)
		return;
	error = cm_message_items_reserve(body, list.left);
	if (error)
		fail(&reader, error);
	for (uint32_t i = 0; i < body->count && !*reader.error; i++)
		get_item(&list, &body->items[i]);
	get_suspects(&reader, &body->suspects);
}

typedef void get_body_function(struct reader *reader,
			       struct cm_message *message);

static get_body_function *const get_body[CM_MESSAGE_KIND_END] = {
	[CM_MESSAGE_HEARTBEAT] = get_heartbeat,
	[CM_MESSAGE_HEARTBEAT_ACK] = get_heartbeat,
	[CM_MESSAGE_BINDINGS] = get_bindings,
	[CM_MESSAGE_LOADS] = get_loads_body,
	[CM_MESSAGE_NOTES_REQUEST] = get_notes_request,
	[CM_MESSAGE_NOTES] = get_notes,
	[CM_MESSAGE_STATUS_REQUEST] = get_status_request,
	[CM_MESSAGE_STATUS] = get_status,
	[CM_MESSAGE_ITEMS_REQUEST] = get_items_request,
	[CM_MESSAGE_ITEMS] = get_items,
};

static int get_message(struct cm_message *message, const msgpack_object *object)
{
	int error = CM_OK;
	struct reader outer = { .at = object, .left = 1, .error = &error };
	struct reader reader = get_struct(&outer, ENVELOPE_FIELDS);
	uint64_t kind = get_number(&reader, UINT64_MAX);

	if (error)
		return error;
	if (kind < CM_MESSAGE_HEARTBEAT || kind >= CM_MESSAGE_KIND_END)
		return CM_E_UNSUPPORTED;
	cm_message_init(message, kind);
	message->sender = get_endpoint(&reader);
	message->control = get_control(&reader, &message->sender);
	get_text(&reader, message->domain);
	message->incarnation = get_number(&reader, UINT64_MAX);
	if (!error)
		get_body[kind](&reader, message);
	if (error)
		cm_message_finish(message);
	return error;
}

int cm_message_read(struct cm_message *message, const char *bytes, size_t size)
{
	msgpack_unpacked unpacked;
	msgpack_unpack_return result;
	size_t end = 0;
	int error;

	msgpack_unpacked_init(&unpacked);
	result = msgpack_unpack_next(&unpacked, bytes, size, &end);
	if (result == MSGPACK_UNPACK_NOMEM_ERROR)
		error = CM_E_MEMORY;
	else if (result == MSGPACK_UNPACK_CONTINUE)
		error = CM_E_TRUNCATED;
	else if (result != MSGPACK_UNPACK_SUCCESS || end != size)
		error = CM_E_MALFORMED;
	else
		error = get_message(message, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	return error;
}
