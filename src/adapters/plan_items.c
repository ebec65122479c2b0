#include "plan_items.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "chervilmast/error.h"
#include "item_value.h"
#include "msgpack_map.h"
#include "route_traits.h"

#define VERSION_KEY "p/version"
#define SERVICES_KEY "p/services"
#define ROUTES_KEY "p/routes/"
#define KEY_SIZE 16

/*
 * Number of elements of the msgpack arrays. The array of a route has
 * ROUTE_FIELDS elements and TARGET_FIELDS more for each of its targets.
 */
#define ROUTE_FIELDS 3
#define TARGET_FIELDS 2
#define SERVICE_FIELDS 2
#define VERSION_FIELDS 2

#define PORT_MAX 65535

static void routes_key(char *key, uint32_t part)
{
	snprintf(key, KEY_SIZE, ROUTES_KEY "%u", part % CM_PLAN_PARTS);
}

static uint32_t part_index(const struct cm_endpoint *address)
{
	return cm_hash_mix(address->address, address->port) % CM_PLAN_PARTS;
}

/**
 * struct part - one of the CM_PLAN_PARTS items with routes, while it is encoded
 * @buffer: its value
 * @count: number of its routes
 */
struct part {
	msgpack_sbuffer buffer;
	uint32_t count;
};

static void put_route(struct part *part, const struct cm_steer_plan *plan,
		      const struct cm_plan_route *route)
{
	const struct cm_plan_target *targets =
		plan->targets + route->first_target;
	msgpack_packer packer;

	msgpack_packer_init(&packer, &part->buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer,
			   ROUTE_FIELDS + TARGET_FIELDS * route->target_count);
	msgpack_pack_uint32(&packer, route->address.address);
	msgpack_pack_uint16(&packer, route->address.port);
	msgpack_pack_uint32(&packer, route->objective_ms);
	for (uint32_t i = 0; i < route->target_count; i++) {
		cm_map_put_text(&packer,
				plan->names[targets[i].name_index].text);
		msgpack_pack_uint32(&packer, targets[i].weight);
	}
}

static uint64_t add_digest(uint64_t digest, const char *value, size_t size)
{
	return cm_hash_mix(digest, XXH3_64bits(value, size));
}

/* Return: digest of the items with routes. */
static uint64_t write_routes(const struct cm_steer_plan *plan,
			     cm_plan_item_handler handler, void *user)
{
	uint64_t digest = 0;
	struct part parts[CM_PLAN_PARTS] = { 0 };
	char key[KEY_SIZE];

	for (size_t i = 0; i < plan->route_count; i++)
		parts[part_index(&plan->routes[i].address)].count++;
	for (uint32_t i = 0; i < CM_PLAN_PARTS; i++) {
		msgpack_packer packer;

		msgpack_sbuffer_init(&parts[i].buffer);
		msgpack_packer_init(&packer, &parts[i].buffer,
				    msgpack_sbuffer_write);
		msgpack_pack_array(&packer, parts[i].count);
	}
	for (size_t i = 0; i < plan->route_count; i++)
		put_route(&parts[part_index(&plan->routes[i].address)], plan,
			  &plan->routes[i]);
	for (uint32_t i = 0; i < CM_PLAN_PARTS; i++) {
		routes_key(key, i);
		handler(user, key, parts[i].buffer.data, parts[i].buffer.size);
		digest = add_digest(digest, parts[i].buffer.data,
				    parts[i].buffer.size);
		msgpack_sbuffer_destroy(&parts[i].buffer);
	}
	return digest;
}

static uint64_t write_services(const struct cm_steer_plan *plan,
			       uint64_t digest, cm_plan_item_handler handler,
			       void *user)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, plan->service_count);
	for (size_t i = 0; i < plan->service_count; i++) {
		msgpack_pack_array(&packer, SERVICE_FIELDS);
		cm_map_put_text(&packer, plan->services[i].name);
		msgpack_pack_uint32(&packer, plan->services[i].cold_per_s);
	}
	handler(user, SERVICES_KEY, buffer.data, buffer.size);
	digest = add_digest(digest, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return digest;
}

void cm_plan_items_write(const struct cm_steer_plan *plan,
			 cm_plan_item_handler handler, void *user)
{
	uint64_t digest = write_routes(plan, handler, user);
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	digest = write_services(plan, digest, handler, user);
	cm_route_traits_write(plan, handler, user);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, VERSION_FIELDS);
	msgpack_pack_uint64(&packer, plan->version);
	msgpack_pack_uint64(&packer, digest);
	handler(user, VERSION_KEY, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

/**
 * struct item_array - an item with an array that is being decoded
 * @value: its value
 * @list: unread rest of the array
 */
struct item_array {
	struct cm_item_value value;
	struct cm_reader list;
};

static int item_array_open(struct item_array *array,
			   const struct cm_item_log *log, const char *key)
{
	const struct cm_item *item = cm_item_log_find(log, key);
	struct cm_reader value_reader;

	if (!item || item->is_deleted)
		return CM_E_MISSING_KEY;
	value_reader = cm_item_value_open(&array->value, item);
	array->list = cm_reader_array(&value_reader, CM_PLAN_ITEM_ENTRIES_MAX);
	return CM_OK;
}

/**
 * struct plan_source - the items of a plan that is being decoded
 * @arrays: the items with routes, then the item with the services
 * @open_count: number of @arrays that are open
 */
struct plan_source {
	struct item_array arrays[CM_PLAN_PARTS + 1];
	uint32_t open_count;
};

static int plan_source_open(struct plan_source *source,
			    const struct cm_item_log *log)
{
	char key[KEY_SIZE];
	int error = CM_OK;

	source->open_count = 0;
	while (!error && source->open_count < CM_PLAN_PARTS) {
		routes_key(key, source->open_count);
		error = item_array_open(&source->arrays[source->open_count],
					log, key);
		source->open_count += !error;
	}
	if (!error)
		error = item_array_open(&source->arrays[CM_PLAN_PARTS], log,
					SERVICES_KEY);
	source->open_count += !error;
	return error;
}

/* Return: first error of the items. */
static int plan_source_close(struct plan_source *source)
{
	int error = CM_OK;

	for (uint32_t i = 0; i < source->open_count; i++) {
		int array_error = cm_item_value_close(&source->arrays[i].value);

		if (!error)
			error = array_error;
	}
	return error;
}

static void read_services(struct cm_steer_plan *plan, struct cm_reader *list)
{
	while (list->remaining && !*list->error) {
		struct cm_steer_service service = { .cold_per_s = 0 };
		struct cm_reader reader =
			cm_reader_struct(list, SERVICE_FIELDS);

		cm_reader_name(&reader, service.name);
		service.cold_per_s =
			(uint32_t)cm_reader_number(&reader, UINT32_MAX);
		cm_steer_plan_add_service(plan, &service);
	}
}

static int read_targets(struct cm_steer_plan *plan, struct cm_reader *reader)
{
	int error = CM_OK;

	while (!error && reader->remaining && !*reader->error) {
		struct cm_route_target target = { .weight = 0 };

		cm_reader_name(reader, target.service);
		target.weight = (uint32_t)cm_reader_number(reader, UINT32_MAX);
		error = cm_steer_plan_add_target(plan, &target);
	}
	return error;
}

static int read_route(struct cm_steer_plan *plan, struct cm_reader *list)
{
	struct cm_reader reader =
		cm_reader_open_struct(list, ROUTE_FIELDS + TARGET_FIELDS);
	struct cm_steer_route route = { .target_count = 0 };
	int error;

	route.address.address = (uint32_t)cm_reader_number(&reader, UINT32_MAX);
	route.address.port = (uint16_t)cm_reader_number(&reader, PORT_MAX);
	route.address.protocol = IPPROTO_TCP;
	route.objective_ms = (uint32_t)cm_reader_number(&reader, UINT32_MAX);
	error = cm_steer_plan_add_route(plan, &route);
	return error ? error : read_targets(plan, &reader);
}

static void read_routes(struct cm_steer_plan *plan, struct cm_reader *list)
{
	while (list->remaining && !*list->error) {
		int error = read_route(plan, list);

		if (error)
			cm_reader_fail(list, error);
	}
}

static int read_plan(struct cm_steer_plan *plan, struct plan_source *source,
		     uint64_t version)
{
	struct cm_reader *services = &source->arrays[CM_PLAN_PARTS].list;
	size_t routes = 0;
	int error;

	for (uint32_t i = 0; i < CM_PLAN_PARTS; i++)
		routes += source->arrays[i].list.remaining;
	error = cm_steer_plan_init(plan, version, routes, services->remaining);
	if (error)
		return error;
	read_services(plan, services);
	for (uint32_t i = 0; i < CM_PLAN_PARTS; i++)
		read_routes(plan, &source->arrays[i].list);
	return CM_OK;
}

int cm_plan_items_read(struct cm_steer_plan *plan,
		       const struct cm_item_log *log, uint64_t version)
{
	struct plan_source source;
	int error = plan_source_open(&source, log);
	int item_error;

	memset(plan, 0, sizeof(*plan));
	if (!error)
		error = read_plan(plan, &source, version);
	item_error = plan_source_close(&source);
	if (item_error)
		error = item_error;
	if (!error)
		error = cm_steer_plan_seal(plan);
	if (!error)
		error = cm_route_traits_read(plan, log);
	if (error)
		cm_steer_plan_finish(plan);
	return error;
}

void cm_plan_items_keep(struct cm_item_log *log)
{
	char key[KEY_SIZE];

	for (uint32_t i = 0; i < CM_PLAN_PARTS; i++) {
		routes_key(key, i);
		cm_item_log_keep(log, key);
	}
	cm_item_log_keep(log, SERVICES_KEY);
	cm_item_log_keep(log, CM_ROUTE_TRAITS_KEY);
	cm_item_log_keep(log, VERSION_KEY);
}

static int compute_digest(const struct cm_item_log *log, uint64_t *digest)
{
	char key[KEY_SIZE] = SERVICES_KEY;

	*digest = 0;
	for (uint32_t i = 0; i <= CM_PLAN_PARTS; i++) {
		const struct cm_item *item;

		if (i < CM_PLAN_PARTS)
			routes_key(key, i);
		else
			memcpy(key, SERVICES_KEY, sizeof(SERVICES_KEY));
		item = cm_item_log_find(log, key);
		if (!item || item->is_deleted)
			return CM_E_MISSING_KEY;
		*digest = add_digest(*digest, item->value, item->size);
	}
	return CM_OK;
}

int cm_plan_items_check(const struct cm_item_log *log, uint64_t digest)
{
	uint64_t found;
	int error = compute_digest(log, &found);

	if (error)
		return error;
	return found == digest ? CM_OK : CM_E_STALE;
}

int cm_plan_items_version(const struct cm_item *item, uint64_t *version,
			  uint64_t *digest)
{
	struct cm_item_value value;
	struct cm_reader value_reader, field_reader;

	if (strcmp(item->key, VERSION_KEY) != 0 || item->is_deleted)
		return CM_E_UNSUPPORTED;
	value_reader = cm_item_value_open(&value, item);
	field_reader = cm_reader_struct(&value_reader, VERSION_FIELDS);
	*version = cm_reader_number(&field_reader, UINT64_MAX);
	*digest = cm_reader_number(&field_reader, UINT64_MAX);
	return cm_item_value_close(&value);
}

const struct cm_item *cm_plan_items_find_version(const struct cm_item_log *log)
{
	const struct cm_item *item = cm_item_log_find(log, VERSION_KEY);

	return item && !item->is_deleted ? item : NULL;
}

bool cm_plan_items_is_content(const char *key)
{
	return !strncmp(key, ROUTES_KEY, strlen(ROUTES_KEY)) ||
	       !strcmp(key, SERVICES_KEY) || !strcmp(key, CM_ROUTE_TRAITS_KEY);
}

bool cm_plan_items_has_key(const char *key)
{
	return cm_plan_items_is_content(key) || !strcmp(key, VERSION_KEY);
}
