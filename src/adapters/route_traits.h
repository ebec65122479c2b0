/**
 * DOC: Encoding of the traits of a plan's routes as a registry item
 *
 * The traits are separate from the routes, whose items have a fixed number of
 * fields that earlier versions check. Routes with equal traits form a group.
 * The first group lists no routes: it applies to all that no other group lists.
 */
#ifndef ADAPTERS_ROUTE_TRAITS_H
#define ADAPTERS_ROUTE_TRAITS_H

#include "plan_items.h"

/** Key of the item. */
#define CM_ROUTE_TRAITS_KEY "p/traits"

/**
 * cm_route_traits_write() - encode the traits of a plan's routes
 * @plan: a sealed plan
 * @handler: called for the item
 * @user: passed to @handler
 */
void cm_route_traits_write(const struct cm_steer_plan *plan,
			   cm_plan_item_handler handler, void *user);

/**
 * cm_route_traits_read() - decode the traits of a plan's routes
 * @plan: a sealed plan, whose routes get the traits
 * @log: copy of the registry with the item; without it, the routes keep their
 *       traits
 *
 * Routes of the item that the plan does not have are ignored.
 *
 * Return: 0, or an error of cm_message_read() for an invalid item.
 */
int cm_route_traits_read(struct cm_steer_plan *plan,
			 const struct cm_item_log *log);

#endif
