#include <msgpack.h>
#include <netinet/in.h>
#include <string.h>

#include "chervilmast/error.h"
#include "message_internal.h"
#include "message_msgpack.h"
#include "message_reader.h"

#define ENVELOPE_FIELDS 6
/* An endpoint is encoded as in message_msgpack.c. */
#define ADDRESS_SHIFT 24
#define PORT_SHIFT 8
#define ENDPOINT_WORD_MAX ((1ULL << 56) - 1)

static struct cm_endpoint decode_endpoint(uint64_t word)
{
	struct cm_endpoint endpoint = {
		.address = (uint32_t)(word >> ADDRESS_SHIFT),
		.port = (uint16_t)(word >> PORT_SHIFT),
		.protocol = (uint8_t)word,
	};

	return endpoint;
}

static struct cm_endpoint get_endpoint(struct cm_reader *reader)
{
	struct cm_endpoint endpoint =
		decode_endpoint(cm_reader_number(reader, ENDPOINT_WORD_MAX));

	if (endpoint.protocol != IPPROTO_TCP &&
	    endpoint.protocol != IPPROTO_UDP)
		cm_reader_fail(reader, CM_E_OUT_OF_RANGE);
	return endpoint;
}

static struct cm_endpoint get_control(struct cm_reader *reader,
				      const struct cm_endpoint *data)
{
	uint64_t word = cm_reader_number(reader, ENDPOINT_WORD_MAX);
	struct cm_endpoint control = decode_endpoint(word);

	if (word <= UINT16_MAX) {
		control.address = data->address;
		control.port = (uint16_t)word;
	}
	control.protocol = IPPROTO_TCP;
	return control;
}

static void get_member(struct cm_reader *list, struct cm_member *member)
{
	struct cm_reader reader = cm_reader_struct(list, CM_MEMBER_FIELDS);

	cm_reader_name(&reader, member->name);
	cm_reader_name(&reader, member->domain);
	member->data_address = get_endpoint(&reader);
	member->control_address = get_control(&reader, &member->data_address);
	member->incarnation = cm_reader_number(&reader, UINT64_MAX);
	member->state = cm_reader_number(&reader, CM_MEMBER_SUSPECT);
}

static void get_members(struct cm_reader *reader,
			struct cm_message_members *members)
{
	struct cm_reader list = cm_reader_array(reader, CM_MESSAGE_ARRAY_MAX);
	int error;

	if (*reader->error)
		return;
	error = cm_message_members_reserve(members, list.remaining);
	if (error)
		cm_reader_fail(reader, error);
	for (uint32_t i = 0; i < members->count && !*reader->error; i++)
		get_member(&list, &members->items[i]);
}

static void get_loads(struct cm_reader *reader, struct cm_message_loads *loads)
{
	struct cm_reader list = cm_reader_array(reader, CM_MESSAGE_ARRAY_MAX);
	int error;

	if (*reader->error)
		return;
	error = cm_message_loads_reserve(loads, list.remaining);
	if (error)
		cm_reader_fail(reader, error);
	for (uint32_t i = 0; i < loads->count && !*reader->error; i++) {
		struct cm_reader load = cm_reader_struct(&list, CM_LOAD_FIELDS);

		loads->items[i].server = get_endpoint(&load);
		loads->items[i].open_connections =
			cm_reader_number(&load, UINT32_MAX);
		loads->items[i].flags = cm_reader_number(&load, UINT32_MAX);
	}
}

static void get_publication_id(struct cm_reader *reader,
			       struct cm_message_heartbeat *body)
{
	const msgpack_object *item = cm_reader_next(reader, MSGPACK_OBJECT_BIN);
	uint32_t expected_size = body->version ? CM_PUBLICATION_ID_SIZE : 0;

	if (!item)
		return;
	if (item->via.bin.size != expected_size)
		cm_reader_fail(reader, CM_E_OUT_OF_RANGE);
	else if (expected_size)
		memcpy(body->publication_id, item->via.bin.ptr, expected_size);
}

static void get_heartbeat(struct cm_reader *outer, struct cm_message *message)
{
	struct cm_message_heartbeat *body = &message->heartbeat;
	struct cm_reader reader = cm_reader_struct(outer, CM_HEARTBEAT_FIELDS);

	body->sent_ms = cm_reader_number(&reader, UINT64_MAX);
	body->state = cm_reader_number(&reader, CM_MEMBER_DEAD);
	body->grants_lease = cm_reader_number(&reader, true);
	body->version = cm_reader_number(&reader, UINT64_MAX);
	get_publication_id(&reader, body);
	body->digest = cm_reader_number(&reader, UINT32_MAX);
	get_members(&reader, &body->events);
	get_loads(&reader, &body->loads);
}

static void get_bindings(struct cm_reader *reader, struct cm_message *message)
{
	struct cm_message_bindings *body = &message->bindings;
	struct cm_reader list = cm_reader_array(reader, CM_MESSAGE_ARRAY_MAX);
	int error;

	if (*reader->error)
		return;
	error = cm_message_bindings_reserve(body, list.remaining);
	if (error)
		cm_reader_fail(reader, error);
	for (uint32_t i = 0; i < body->count && !*reader->error; i++) {
		struct cm_reader binding =
			cm_reader_struct(&list, CM_BINDING_FIELDS);

		body->items[i].flow.caller = get_endpoint(&binding);
		body->items[i].flow.service = get_endpoint(&binding);
		body->items[i].server = get_endpoint(&binding);
	}
}

static void get_loads_body(struct cm_reader *reader, struct cm_message *message)
{
	get_loads(reader, &message->loads);
}

static void get_notes_request(struct cm_reader *outer,
			      struct cm_message *message)
{
	struct cm_reader reader =
		cm_reader_struct(outer, CM_NOTES_REQUEST_FIELDS);

	message->notes_request.after_version =
		cm_reader_number(&reader, UINT64_MAX);
	message->notes_request.limit = cm_reader_number(&reader, UINT32_MAX);
	message->notes_request.snapshot_version =
		cm_reader_number(&reader, UINT64_MAX);
	message->notes_request.next_part =
		cm_reader_number(&reader, UINT32_MAX);
}

static void get_notes(struct cm_reader *outer, struct cm_message *message)
{
	struct cm_message_notes *body = &message->notes;
	struct cm_reader reader = cm_reader_struct(outer, CM_NOTES_FIELDS);
	struct cm_reader list;
	int error;

	body->version = cm_reader_number(&reader, UINT64_MAX);
	list = cm_reader_array(&reader, CM_MESSAGE_ARRAY_MAX);
	if (*reader.error)
		return;
	error = cm_message_notes_reserve(body, list.remaining);
	if (error)
		cm_reader_fail(&reader, error);
	for (uint32_t i = 0; i < body->count && !*reader.error; i++) {
		const msgpack_object *item =
			cm_reader_next(&list, MSGPACK_OBJECT_BIN);

		if (!item)
			return;
		error = cm_message_note_set(&body->items[i], item->via.bin.ptr,
					    item->via.bin.size);
		if (error)
			cm_reader_fail(&reader, error);
	}
}

static void get_status_request(struct cm_reader *reader,
			       struct cm_message *message)
{
	(void)message;
	cm_reader_array(reader, 0);
}

static void get_server(struct cm_reader *list, struct cm_message_server *server)
{
	struct cm_reader reader = cm_reader_struct(list, CM_SERVER_FIELDS);

	cm_reader_name(&reader, server->name);
	server->address = get_endpoint(&reader);
	server->state = cm_reader_number(&reader, CM_SERVER_WITHDRAWN);
	server->is_home = cm_reader_number(&reader, true);
	server->open_connections = cm_reader_number(&reader, UINT32_MAX);
}

static void get_status(struct cm_reader *outer, struct cm_message *message)
{
	struct cm_message_status *body = &message->status;
	struct cm_reader reader = cm_reader_struct(outer, CM_STATUS_FIELDS);
	struct cm_reader list;
	int error;

	cm_reader_name(&reader, body->name);
	body->version = cm_reader_number(&reader, UINT64_MAX);
	body->uptime_s = cm_reader_number(&reader, UINT64_MAX);
	get_members(&reader, &body->members);
	list = cm_reader_array(&reader, CM_MESSAGE_ARRAY_MAX);
	if (*reader.error)
		return;
	error = cm_message_servers_reserve(body, list.remaining);
	if (error)
		cm_reader_fail(&reader, error);
	for (uint32_t i = 0; i < body->server_count && !*reader.error; i++)
		get_server(&list, &body->servers[i]);
}

typedef void get_body_function(struct cm_reader *reader,
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
	[CM_MESSAGE_ITEMS_REQUEST] = cm_message_read_items_request,
	[CM_MESSAGE_ITEMS] = cm_message_read_items,
};

static int get_message(struct cm_message *message, const msgpack_object *object)
{
	int error = CM_OK;
	struct cm_reader outer = { .next = object,
				   .remaining = 1,
				   .error = &error };
	struct cm_reader reader = cm_reader_struct(&outer, ENVELOPE_FIELDS);
	uint64_t kind = cm_reader_number(&reader, UINT64_MAX);

	if (error)
		return error;
	if (kind < CM_MESSAGE_HEARTBEAT || kind >= CM_MESSAGE_KIND_END)
		return CM_E_UNSUPPORTED;
	cm_message_init(message, kind);
	message->sender_data_address = get_endpoint(&reader);
	message->sender_control_address =
		get_control(&reader, &message->sender_data_address);
	cm_reader_name(&reader, message->sender_domain);
	message->sender_incarnation = cm_reader_number(&reader, UINT64_MAX);
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
