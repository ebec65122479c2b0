/**
 * DOC: Encoding of a plan as registry items
 *
 * The routes are distributed over a fixed number of items by a hash of their
 * address, so that a plan with few changes changes few items. The services are
 * one more item, and the traits of the routes another one, which instances
 * without support for it ignore. The item with the version is written last and
 * contains a digest of the routes and services, from which a reader detects an
 * incomplete plan.
 */
#ifndef ADAPTERS_PLAN_ITEMS_H
#define ADAPTERS_PLAN_ITEMS_H

#include "chervilmast/item_log.h"
#include "chervilmast/steer_plan.h"

/** Number of items that contain routes. */
#define CM_PLAN_PARTS 32
/** Maximum number of routes, or of services, in one item. */
#define CM_PLAN_ITEM_ENTRIES_MAX 100000

/** Called for each item of a plan, last for the one with the version. */
typedef void (*cm_plan_item_handler)(void *user, const char *key,
				     const char *value, size_t size);

/**
 * cm_plan_items_write() - encode a plan
 * @plan: a sealed plan
 * @handler: called for each item
 * @user: passed to @handler
 */
void cm_plan_items_write(const struct cm_steer_plan *plan,
			 cm_plan_item_handler handler, void *user);

/**
 * cm_plan_items_read() - decode a plan
 * @plan: set to a sealed plan on success
 * @log: copy of the registry with the items
 * @version: version of the plan
 *
 * Return: 0, CM_E_MISSING_KEY when an item is missing, CM_E_MEMORY, an error of
 * cm_steer_plan_seal(), or one of cm_message_read() for an invalid item.
 */
int cm_plan_items_read(struct cm_steer_plan *plan,
		       const struct cm_item_log *log, uint64_t version);

/**
 * cm_plan_items_keep() - keep the plan although a snapshot does not contain it
 * @log: copy of the registry that is receiving a snapshot
 *
 * Without this call, the end of a snapshot without a plan would delete the plan
 * in @log.
 */
void cm_plan_items_keep(struct cm_item_log *log);

/**
 * cm_plan_items_version() - decode the item with the version
 * @item: an item of a plan
 * @version: set on success to the version
 * @digest: set on success to the digest of the plan's other items
 *
 * Return: 0; CM_E_UNSUPPORTED for another item or a tombstone; or an error of
 * cm_message_read() for an invalid value.
 */
int cm_plan_items_version(const struct cm_item *item, uint64_t *version,
			  uint64_t *digest);

/**
 * cm_plan_items_check() - check that all items of a plan are present
 * @log: copy of the registry
 * @digest: digest from the item with the version
 *
 * Return: 0, CM_E_MISSING_KEY when an item is missing, or CM_E_STALE when the
 * digest of the items differs from @digest, as with an item of another version.
 */
int cm_plan_items_check(const struct cm_item_log *log, uint64_t digest);

/**
 * cm_plan_items_find_version() - find the item with the version
 * @log: copy of the registry
 *
 * Return: the item, or NULL when there is none.
 */
const struct cm_item *cm_plan_items_find_version(const struct cm_item_log *log);

/**
 * cm_plan_items_is_content() - whether an item has routes, services or traits
 * @key: key of the item
 *
 * Return: false for the item with the version and for items that belong to no
 * plan.
 */
bool cm_plan_items_is_content(const char *key);

/**
 * cm_plan_items_has_key() - whether an item belongs to a plan
 * @key: key of the item
 *
 * Return: true also for the item with the version.
 */
bool cm_plan_items_has_key(const char *key);

#endif
