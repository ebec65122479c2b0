/**
 * DOC: A plan as items of the registry
 *
 * The routes are dealt to a fixed number of items by their addresses, so that a
 * plan with few changes is given by few items. The version comes last: with it
 * the plan is whole.
 */
#ifndef ADAPTERS_PLAN_ITEMS_H
#define ADAPTERS_PLAN_ITEMS_H

#include "chervilmast/item_log.h"
#include "chervilmast/steer_plan.h"

/** Items that hold routes. */
#define CM_PLAN_PARTS 32
/** Most routes, and most services, that a plan has room for. */
#define CM_PLAN_ROWS_MAX 100000

/** Called for each item of a plan, the version last. */
typedef void (*cm_plan_item_handler)(void *user, const char *key,
				     const char *value, size_t size);

/**
 * cm_plan_items_write() - give a plan as items
 * @plan: a sealed plan
 * @handler: called for each item
 * @user: for @handler
 */
void cm_plan_items_write(const struct cm_steer_plan *plan,
			 cm_plan_item_handler handler, void *user);

/**
 * cm_plan_items_read() - build a plan of its items
 * @plan: set to a sealed plan on success
 * @log: where the items are
 * @version: version of the plan
 *
 * Return: 0, CM_E_MISSING_KEY when an item is not there, CM_E_MEMORY, an error
 * of cm_steer_plan_seal(), or of the message codec for an item that can't be
 * read.
 */
int cm_plan_items_read(struct cm_steer_plan *plan,
		       const struct cm_item_log *log, uint64_t version);

/**
 * cm_plan_items_keep() - a snapshot without a plan takes none away
 * @log: the copy, in a snapshot
 */
void cm_plan_items_keep(struct cm_item_log *log);

/**
 * cm_plan_items_version() - version that an item gives
 * @item: an item
 * @version: set on success
 * @digest: set on success to the digest of the plan's other items
 *
 * Return: 0; CM_E_UNSUPPORTED for another item of a plan; or an error of the
 * message codec.
 */
int cm_plan_items_version(const struct cm_item *item, uint64_t *version,
			  uint64_t *digest);

/**
 * cm_plan_items_check() - whether the items of a plan are all there
 * @log: where they are
 * @digest: digest that came with the version
 *
 * Return: 0, CM_E_MISSING_KEY, or CM_E_STALE when one of them is not the one
 * that belongs to the version.
 */
int cm_plan_items_check(const struct cm_item_log *log, uint64_t digest);

/**
 * cm_plan_items_last() - the item that gives the version
 * @log: where it is
 *
 * Return: the item, or NULL when there is none.
 */
const struct cm_item *cm_plan_items_last(const struct cm_item_log *log);

/**
 * cm_plan_items_has_content() - whether an item is content of a plan
 * @key: its key
 *
 * Return: true for routes and services.
 */
bool cm_plan_items_has_content(const char *key);

#endif
