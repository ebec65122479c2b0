#include "registry_item.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "item_value.h"
#include "msgpack_map.h"
#include "plan_items.h"

/*
 * Kind of an item: the first character of its key. Keys are "s/ID", with the id
 * in hexadecimal digits, "o/DOMAIN" and "m/INSTANCE"; the keys of the items of
 * a plan, "p/...", are in plan_items.c.
 */
#define KIND_SERVER 's'
#define KIND_PLAN 'p'
#define KIND_DOMAIN_OUT 'o'
#define KIND_PEER 'm'

/* Number of elements of the msgpack array that is the value of an item. */
#define SERVER_FIELDS 8
#define PEER_FIELDS 4

#define PORT_MAX 65535

/*
 * Parts of a value that do not fit are left out; decoding the value then
 * returns an error.
 */
static int write_value(void *user, const char *bytes, size_t size)
{
	struct cm_registry_item *item = user;

	if (size > sizeof(item->value) - item->size)
		return -1;
	memcpy(item->value + item->size, bytes, size);
	item->size += size;
	return 0;
}

/* Begins an array of @fields elements; 0 leaves the value empty. */
static msgpack_packer begin_value(struct cm_registry_item *item, size_t fields)
{
	msgpack_packer packer;

	item->size = 0;
	msgpack_packer_init(&packer, item, write_value);
	if (fields)
		msgpack_pack_array(&packer, fields);
	return packer;
}

void cm_registry_item_server(struct cm_registry_item *item, uint64_t id,
			     const struct cm_server_entry *entry)
{
	msgpack_packer packer = begin_value(item, entry ? SERVER_FIELDS : 0);

	snprintf(item->key, sizeof(item->key), "%c/%llx", KIND_SERVER,
		 (unsigned long long)id);
	if (!entry)
		return;
	msgpack_pack_uint64(&packer, entry->started_ms);
	cm_map_put_text(&packer, entry->service);
	cm_map_put_text(&packer, entry->domain);
	msgpack_pack_uint32(&packer, entry->address.address);
	msgpack_pack_uint16(&packer, entry->address.port);
	msgpack_pack_uint32(&packer, entry->slots);
	msgpack_pack_uint32(&packer, entry->cold_left_ms);
	msgpack_pack_uint8(&packer, entry->is_draining);
}

void cm_registry_item_domain_out(struct cm_registry_item *item,
				 const char *domain)
{
	begin_value(item, 0);
	snprintf(item->key, sizeof(item->key), "%c/%s", KIND_DOMAIN_OUT,
		 domain);
}

void cm_registry_item_peer(struct cm_registry_item *item,
			   const struct cm_peer_entry *entry)
{
	msgpack_packer packer = begin_value(item, PEER_FIELDS);

	snprintf(item->key, sizeof(item->key), "%c/%s", KIND_PEER, entry->name);
	cm_map_put_text(&packer, entry->domain);
	msgpack_pack_uint32(&packer, entry->control.address);
	msgpack_pack_uint16(&packer, entry->control.port);
	msgpack_pack_uint64(&packer, entry->rank);
}

static void read_endpoint(struct cm_reader *reader,
			  struct cm_endpoint *endpoint, uint8_t protocol)
{
	endpoint->address = (uint32_t)cm_reader_number(reader, UINT32_MAX);
	endpoint->port = (uint16_t)cm_reader_number(reader, PORT_MAX);
	endpoint->protocol = protocol;
}

/*
 * An entry that can't be decoded has overwritten the one before, so that the
 * server has none.
 */
static int decode_server(const struct cm_item *item, const char *name,
			 const struct cm_registry_events *events)
{
	struct cm_server_entry entry = { .started_ms = 0 };
	struct cm_reader value_reader, field_reader;
	struct cm_item_value value;
	char *end;

	entry.id = strtoull(name, &end, 16);
	if (!*name || *end)
		return CM_E_BAD_NAME;
	if (item->is_deleted) {
		events->server_removed(events->user, entry.id);
		return CM_OK;
	}
	value_reader = cm_item_value_open(&value, item);
	field_reader = cm_reader_struct(&value_reader, SERVER_FIELDS);
	entry.started_ms = cm_reader_number(&field_reader, UINT64_MAX);
	cm_reader_name(&field_reader, entry.service);
	cm_reader_name(&field_reader, entry.domain);
	read_endpoint(&field_reader, &entry.address, IPPROTO_UDP);
	entry.slots = (uint32_t)cm_reader_number(&field_reader, UINT32_MAX);
	entry.cold_left_ms =
		(uint32_t)cm_reader_number(&field_reader, UINT32_MAX);
	entry.is_draining = cm_reader_number(&field_reader, 1);
	if (!value.error && !entry.slots)
		value.error = CM_E_OUT_OF_RANGE;
	if (value.error)
		events->server_removed(events->user, entry.id);
	else
		events->server(events->user, &entry);
	return cm_item_value_close(&value);
}

/*
 * Only the item with the version is decoded here; the receiver of the event
 * decodes the plan's other items with cm_plan_items_read().
 */
static int decode_plan(const struct cm_item *item,
		       const struct cm_registry_events *events)
{
	uint64_t version, digest;
	int error = cm_plan_items_version(item, &version, &digest);

	if (!error)
		events->plan(events->user, version, digest);
	if (error == CM_E_UNSUPPORTED && cm_plan_items_is_content(item->key))
		return CM_OK;
	return error;
}

static int decode_domain_out(const struct cm_item *item, const char *name,
			     const struct cm_registry_events *events)
{
	char domain[CM_NAME_SIZE];

	cm_name_set(domain, name, strlen(name));
	events->domain_out(events->user, domain, !item->is_deleted);
	return CM_OK;
}

static int decode_peer(const struct cm_item *item, const char *name,
		       const struct cm_registry_events *events)
{
	struct cm_peer_entry entry = { .rank = 0 };
	struct cm_reader value_reader, field_reader;
	struct cm_item_value value;

	if (!*name)
		return CM_E_BAD_NAME;
	cm_name_set(entry.name, name, strlen(name));
	if (item->is_deleted) {
		events->peer_removed(events->user, entry.name);
		return CM_OK;
	}
	value_reader = cm_item_value_open(&value, item);
	field_reader = cm_reader_struct(&value_reader, PEER_FIELDS);
	cm_reader_name(&field_reader, entry.domain);
	read_endpoint(&field_reader, &entry.control, IPPROTO_TCP);
	entry.rank = cm_reader_number(&field_reader, UINT64_MAX);
	if (!value.error)
		events->peer(events->user, &entry);
	return cm_item_value_close(&value);
}

int cm_registry_item_decode(const struct cm_item *item,
			    const struct cm_registry_events *events)
{
	const char *name;

	if (!item->key[0] || item->key[1] != '/')
		return CM_E_UNSUPPORTED;
	name = item->key + 2;
	switch (item->key[0]) {
	case KIND_SERVER:
		return decode_server(item, name, events);
	case KIND_PLAN:
		return decode_plan(item, events);
	case KIND_DOMAIN_OUT:
		return decode_domain_out(item, name, events);
	case KIND_PEER:
		return decode_peer(item, name, events);
	default:
		return CM_E_UNSUPPORTED;
	}
}
