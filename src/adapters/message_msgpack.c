#include "message_msgpack.h"

#include <msgpack.h>
#include <netinet/in.h>
#include <string.h>

#include "chervilmast/error.h"
#include "chervilmast/token_marks.h"
#include "message_internal.h"
#include "msgpack_map.h"

#define ENVELOPE_FIELDS 6
/*
 * An endpoint is encoded as one integer: address (32 bits), port (16 bits) and
 * protocol (8 bits), from the highest bit.
 */
#define ADDRESS_SHIFT 24
#define PORT_SHIFT 8

static uint64_t encode_endpoint(const struct cm_endpoint *endpoint)
{
	return (uint64_t)endpoint->address << ADDRESS_SHIFT |
	       (uint64_t)endpoint->port << PORT_SHIFT | endpoint->protocol;
}

static void put_endpoint(msgpack_packer *packer,
			 const struct cm_endpoint *endpoint)
{
	msgpack_pack_uint64(packer, encode_endpoint(endpoint));
}

/*
 * The control endpoint usually has the same IPv4 address as the data endpoint.
 * In that case only its port is encoded. The decoder takes a value of at most
 * UINT16_MAX for a port: the encoding of an endpoint with a non-zero address is
 * always greater. The protocol of a control endpoint is always TCP.
 */
static void put_control(msgpack_packer *packer,
			const struct cm_endpoint *control,
			const struct cm_endpoint *data)
{
	if (control->address == data->address)
		msgpack_pack_uint64(packer, control->port);
	else
		put_endpoint(packer, control);
}

static void put_members(msgpack_packer *packer,
			const struct cm_message_members *members)
{
	msgpack_pack_array(packer, members->count);
	for (uint32_t i = 0; i < members->count; i++) {
		const struct cm_member *member = &members->items[i];

		msgpack_pack_array(packer, CM_MEMBER_FIELDS);
		cm_map_put_text(packer, member->name);
		cm_map_put_text(packer, member->domain);
		put_endpoint(packer, &member->data_address);
		put_control(packer, &member->control_address,
			    &member->data_address);
		msgpack_pack_uint64(packer, member->incarnation);
		msgpack_pack_uint64(packer, member->state);
	}
}

static void put_loads(msgpack_packer *packer,
		      const struct cm_message_loads *loads)
{
	msgpack_pack_array(packer, loads->count);
	for (uint32_t i = 0; i < loads->count; i++) {
		const struct cm_message_load *load = &loads->items[i];

		msgpack_pack_array(packer, CM_LOAD_FIELDS);
		put_endpoint(packer, &load->server);
		msgpack_pack_uint64(packer, load->open_connections);
		msgpack_pack_uint64(packer, load->flags);
	}
}

static void put_heartbeat(msgpack_packer *packer,
			  const struct cm_message *message)
{
	const struct cm_message_heartbeat *body = &message->heartbeat;
	/* Version 0: no release note is in force, so there is no id. */
	size_t id_size = body->version ? CM_PUBLICATION_ID_SIZE : 0;

	msgpack_pack_array(packer, CM_HEARTBEAT_FIELDS);
	msgpack_pack_uint64(packer, body->sent_ms);
	msgpack_pack_uint64(packer, body->state);
	msgpack_pack_uint64(packer, body->grants_lease);
	msgpack_pack_uint64(packer, body->version);
	msgpack_pack_bin_with_body(packer, body->publication_id, id_size);
	msgpack_pack_uint64(packer, body->digest);
	put_members(packer, &body->events);
	put_loads(packer, &body->loads);
}

static void put_bindings(msgpack_packer *packer,
			 const struct cm_message *message)
{
	const struct cm_message_bindings *body = &message->bindings;

	msgpack_pack_array(packer, body->count);
	for (uint32_t i = 0; i < body->count; i++) {
		msgpack_pack_array(packer, CM_BINDING_FIELDS);
		put_endpoint(packer, &body->items[i].flow.caller);
		put_endpoint(packer, &body->items[i].flow.service);
		put_endpoint(packer, &body->items[i].server);
	}
}

static void put_loads_body(msgpack_packer *packer,
			   const struct cm_message *message)
{
	put_loads(packer, &message->loads);
}

static void put_notes_request(msgpack_packer *packer,
			      const struct cm_message *message)
{
	msgpack_pack_array(packer, CM_NOTES_REQUEST_FIELDS);
	msgpack_pack_uint64(packer, message->notes_request.after_version);
	msgpack_pack_uint64(packer, message->notes_request.limit);
	msgpack_pack_uint64(packer, message->notes_request.snapshot_version);
	msgpack_pack_uint64(packer, message->notes_request.next_part);
}

static void put_notes(msgpack_packer *packer, const struct cm_message *message)
{
	const struct cm_message_notes *body = &message->notes;

	msgpack_pack_array(packer, CM_NOTES_FIELDS);
	msgpack_pack_uint64(packer, body->version);
	msgpack_pack_array(packer, body->count);
	for (uint32_t i = 0; i < body->count; i++)
		msgpack_pack_bin_with_body(packer, body->items[i].bytes,
					   body->items[i].size);
}

static void put_status_request(msgpack_packer *packer,
			       const struct cm_message *message)
{
	(void)message;
	msgpack_pack_array(packer, 0);
}

static void put_status(msgpack_packer *packer, const struct cm_message *message)
{
	const struct cm_message_status *body = &message->status;

	msgpack_pack_array(packer, CM_STATUS_FIELDS);
	cm_map_put_text(packer, body->name);
	msgpack_pack_uint64(packer, body->version);
	msgpack_pack_uint64(packer, body->uptime_s);
	put_members(packer, &body->members);
	msgpack_pack_array(packer, body->server_count);
	for (uint32_t i = 0; i < body->server_count; i++) {
		const struct cm_message_server *server = &body->servers[i];

		msgpack_pack_array(packer, CM_SERVER_FIELDS);
		cm_map_put_text(packer, server->name);
		put_endpoint(packer, &server->address);
		msgpack_pack_uint64(packer, server->state);
		msgpack_pack_uint64(packer, server->is_home);
		msgpack_pack_uint64(packer, server->open_connections);
	}
}

static void put_tokens(msgpack_packer *packer,
		       const struct cm_message_tokens *tokens)
{
	msgpack_pack_array(packer, tokens->count);
	for (uint32_t i = 0; i < tokens->count; i++)
		msgpack_pack_uint64(packer, tokens->tokens[i]);
}

static void put_marked_tokens(msgpack_packer *packer,
			      const struct cm_message_tokens *tokens,
			      const struct cm_message_tokens *marked)
{
	struct cm_message_tokens list = *tokens;

	cm_token_marks_add(&list, marked);
	put_tokens(packer, &list);
}

static void put_loads_list(msgpack_packer *packer,
			   const struct cm_load_list *loads)
{
	for (uint32_t i = 0; i < loads->count; i++) {
		msgpack_pack_uint64(packer, loads->tokens[i]);
		msgpack_pack_uint64(packer, loads->loads[i]);
	}
}

static void put_request_optional(msgpack_packer *packer,
				 const struct cm_message_items_request *body)
{
	if (!body->has_optional)
		return;
	msgpack_pack_map(packer, 1);
	msgpack_pack_uint64(packer, CM_OPTIONAL_LOADS);
	msgpack_pack_array(packer, 2 + 2 * body->loads.count);
	msgpack_pack_uint64(packer, body->loads_epoch);
	msgpack_pack_uint64(packer, body->loads_complete);
	put_loads_list(packer, &body->loads);
}

static void put_items_optional(msgpack_packer *packer,
			       const struct cm_message_items *body)
{
	if (!body->has_optional)
		return;
	msgpack_pack_map(packer, body->loads.count ? 1 : 0);
	if (!body->loads.count)
		return;
	msgpack_pack_uint64(packer, CM_OPTIONAL_LOADS);
	msgpack_pack_array(packer, 1 + 2 * body->loads.count);
	msgpack_pack_uint64(packer, body->loads_age_ms);
	put_loads_list(packer, &body->loads);
}

/* Adds the token 0 if the sender reads optional fields. Without room for it
 * the receiver sends none. */
static void put_suspects(msgpack_packer *packer,
			 const struct cm_message_items_request *body)
{
	struct cm_message_tokens suspects = body->suspects;

	cm_token_marks_add(&suspects, &body->stalled);
	if (body->reads_optional && suspects.count < CM_MESSAGE_TOKENS_MAX)
		suspects.tokens[suspects.count++] = 0;
	put_tokens(packer, &suspects);
}

static void put_items_request(msgpack_packer *packer,
			      const struct cm_message *message)
{
	msgpack_pack_array(packer, CM_ITEMS_REQUEST_FIELDS +
					   message->items_request.has_optional);
	cm_map_put_text(packer, message->items_request.name);
	msgpack_pack_uint64(packer, message->items_request.after_revision);
	msgpack_pack_uint64(packer,
			    message->items_request.snapshot_incarnation);
	msgpack_pack_uint64(packer, message->items_request.requested_ms);
	put_suspects(packer, &message->items_request);
	put_tokens(packer, &message->items_request.failures);
	put_tokens(packer, &message->items_request.successes);
	put_request_optional(packer, &message->items_request);
}

static void put_items(msgpack_packer *packer, const struct cm_message *message)
{
	const struct cm_message_items *body = &message->items;

	msgpack_pack_array(packer, CM_ITEMS_FIELDS + body->has_optional);
	msgpack_pack_uint64(packer, body->after_revision);
	msgpack_pack_uint64(packer, body->revision);
	msgpack_pack_uint64(packer, body->requested_ms);
	msgpack_pack_uint64(packer, body->age_ms);
	msgpack_pack_uint64(packer, body->starts_snapshot);
	msgpack_pack_uint64(packer, body->has_more);
	msgpack_pack_array(packer, body->count);
	for (uint32_t i = 0; i < body->count; i++) {
		const struct cm_message_item *item = &body->items[i];

		msgpack_pack_array(packer, CM_ITEM_FIELDS);
		msgpack_pack_bin_with_body(packer, item->key,
					   strlen(item->key));
		msgpack_pack_bin_with_body(packer, item->value, item->size);
		msgpack_pack_uint64(packer, item->revision);
		msgpack_pack_uint64(packer, item->is_deleted);
	}
	put_marked_tokens(packer, &body->suspects, &body->down);
	put_tokens(packer, &body->ejected);
	put_items_optional(packer, body);
}

typedef void put_body_function(msgpack_packer *packer,
			       const struct cm_message *message);

static put_body_function *const put_body[CM_MESSAGE_KIND_END] = {
	[CM_MESSAGE_HEARTBEAT] = put_heartbeat,
	[CM_MESSAGE_HEARTBEAT_ACK] = put_heartbeat,
	[CM_MESSAGE_BINDINGS] = put_bindings,
	[CM_MESSAGE_LOADS] = put_loads_body,
	[CM_MESSAGE_NOTES_REQUEST] = put_notes_request,
	[CM_MESSAGE_NOTES] = put_notes,
	[CM_MESSAGE_STATUS_REQUEST] = put_status_request,
	[CM_MESSAGE_STATUS] = put_status,
	[CM_MESSAGE_ITEMS_REQUEST] = put_items_request,
	[CM_MESSAGE_ITEMS] = put_items,
};

int cm_message_write(const struct cm_message *message, char **bytes,
		     size_t *size)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	if (message->kind < CM_MESSAGE_HEARTBEAT ||
	    message->kind >= CM_MESSAGE_KIND_END)
		return CM_E_UNSUPPORTED;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, ENVELOPE_FIELDS);
	msgpack_pack_uint64(&packer, message->kind);
	put_endpoint(&packer, &message->sender_data_address);
	put_control(&packer, &message->sender_control_address,
		    &message->sender_data_address);
	cm_map_put_text(&packer, message->sender_domain);
	msgpack_pack_uint64(&packer, message->sender_incarnation);
	put_body[message->kind](&packer, message);
	*size = buffer.size;
	*bytes = msgpack_sbuffer_release(&buffer);
	return *bytes ? CM_OK : CM_E_MEMORY;
}
