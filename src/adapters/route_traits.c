#include "route_traits.h"

#include <netinet/in.h>

#include "chervilmast/error.h"
#include "item_value.h"
#include "msgpack_map.h"

/** Maximum number of groups. */
#define GROUPS_MAX 64
/** Number of kinds of requests. */
#define KINDS (CM_ROUTE_UPLOAD + 1)
/** Number of elements of a group's array that precede its routes. */
#define GROUP_FIELDS 3
/** Number of elements of a group's array for each of its routes. */
#define ROUTE_FIELDS 2
#define PORT_MAX 65535

/**
 * struct group - routes with equal traits
 * @traits: the traits
 * @count: number of the routes
 */
struct group {
	struct cm_route_traits traits;
	uint32_t count;
};

/**
 * struct groups - groups of the routes of a plan
 * @items: the groups
 * @count: number of @items
 */
struct groups {
	struct group items[GROUPS_MAX];
	uint32_t count;
};

static bool traits_equal(const struct cm_route_traits *a,
			 const struct cm_route_traits *b)
{
	return a->kind == b->kind && a->priority == b->priority &&
	       a->timeout_ms == b->timeout_ms;
}

static uint32_t find_kind(const struct groups *groups, enum cm_route_kind kind)
{
	uint32_t i = 0;

	while (i < groups->count && groups->items[i].traits.kind != kind)
		i++;
	return i;
}

/*
 * Finds the group of routes with the traits. When groups are left only for
 * kinds of requests that have none, this is the first one of the same kind: the
 * kind decides whether a request may run twice.
 * Return: its index; the number of groups for none.
 */
static uint32_t find_group(const struct groups *groups,
			   const struct cm_route_traits *traits)
{
	uint32_t i = 0;

	while (i < groups->count &&
	       !traits_equal(&groups->items[i].traits, traits))
		i++;
	if (i < groups->count || groups->count < GROUPS_MAX - KINDS)
		return i;
	return find_kind(groups, traits->kind);
}

/* The first group lists no routes, so the item is shortest if that is the group
 * with the most. */
static void move_largest_to_front(struct groups *groups)
{
	struct group *first = &groups->items[0];

	for (uint32_t i = 1; i < groups->count; i++) {
		struct group *group = &groups->items[i];
		const struct group former = *first;

		if (group->count <= first->count)
			continue;
		*first = *group;
		*group = former;
	}
}

static void count_routes(struct groups *groups,
			 const struct cm_steer_plan *plan)
{
	for (uint32_t i = 0; i < groups->count; i++)
		groups->items[i].count = 0;
	for (size_t i = 0; i < plan->route_count; i++)
		groups->items[find_group(groups, &plan->routes[i].traits)]
			.count++;
}

static void collect_groups(struct groups *groups,
			   const struct cm_steer_plan *plan)
{
	groups->count = 0;
	for (size_t i = 0; i < plan->route_count; i++) {
		const struct cm_route_traits *traits = &plan->routes[i].traits;

		if (find_group(groups, traits) == groups->count)
			groups->items[groups->count++].traits = *traits;
	}
	count_routes(groups, plan);
	move_largest_to_front(groups);
	/* The first group of a kind may have become another one. */
	count_routes(groups, plan);
}

static void put_group(msgpack_packer *packer, const struct group *group,
		      uint32_t route_count)
{
	msgpack_pack_array(packer, GROUP_FIELDS + ROUTE_FIELDS * route_count);
	msgpack_pack_uint8(packer, (uint8_t)group->traits.kind);
	msgpack_pack_uint32(packer, group->traits.priority);
	msgpack_pack_uint32(packer, group->traits.timeout_ms);
}

static void put_routes(msgpack_packer *packer, const struct cm_steer_plan *plan,
		       const struct groups *groups, uint32_t index)
{
	const struct group *group = &groups->items[index];

	put_group(packer, group, group->count);
	for (size_t i = 0; i < plan->route_count; i++) {
		const struct cm_plan_route *route = &plan->routes[i];

		if (find_group(groups, &route->traits) != index)
			continue;
		msgpack_pack_uint32(packer, route->address.address);
		msgpack_pack_uint16(packer, route->address.port);
	}
}

void cm_route_traits_write(const struct cm_steer_plan *plan,
			   cm_plan_item_handler handler, void *user)
{
	struct groups groups;
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	collect_groups(&groups, plan);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, groups.count);
	for (uint32_t i = 0; i < groups.count; i++)
		if (i)
			put_routes(&packer, plan, &groups, i);
		else
			put_group(&packer, &groups.items[i], 0);
	handler(user, CM_ROUTE_TRAITS_KEY, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

static void set_all(struct cm_steer_plan *plan,
		    const struct cm_route_traits *traits)
{
	for (size_t i = 0; i < plan->route_count; i++)
		plan->routes[i].traits = *traits;
}

static void read_route(struct cm_steer_plan *plan, struct cm_reader *reader,
		       const struct cm_route_traits *traits)
{
	struct cm_endpoint address = { .protocol = IPPROTO_TCP };
	struct cm_plan_route *route;

	address.address = (uint32_t)cm_reader_number(reader, UINT32_MAX);
	address.port = (uint16_t)cm_reader_number(reader, PORT_MAX);
	route = (struct cm_plan_route *)cm_steer_plan_find_route(plan,
								 &address);
	if (route)
		route->traits = *traits;
}

static void read_group(struct cm_steer_plan *plan, struct cm_reader *list,
		       bool is_first)
{
	struct cm_reader reader = cm_reader_array(
		list, GROUP_FIELDS + ROUTE_FIELDS * CM_PLAN_ITEM_ENTRIES_MAX);
	struct cm_route_traits traits;

	traits.kind =
		(enum cm_route_kind)cm_reader_number(&reader, CM_ROUTE_UPLOAD);
	traits.priority = (uint32_t)cm_reader_number(&reader, UINT32_MAX);
	traits.timeout_ms = (uint32_t)cm_reader_number(&reader, UINT32_MAX);
	if (is_first && !*list->error)
		set_all(plan, &traits);
	while (reader.remaining && !*list->error)
		read_route(plan, &reader, &traits);
}

int cm_route_traits_read(struct cm_steer_plan *plan,
			 const struct cm_item_log *log)
{
	const struct cm_item *item = cm_item_log_find(log, CM_ROUTE_TRAITS_KEY);
	struct cm_reader value_reader, list;
	struct cm_item_value value;
	bool is_first = true;

	if (!item || item->is_deleted)
		return CM_OK;
	value_reader = cm_item_value_open(&value, item);
	list = cm_reader_array(&value_reader, GROUPS_MAX);
	while (list.remaining && !*list.error) {
		read_group(plan, &list, is_first);
		is_first = false;
	}
	return cm_item_value_close(&value);
}
