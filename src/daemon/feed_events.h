/**
 * DOC: Items of the registry as events of the node
 */
#ifndef DAEMON_FEED_EVENTS_H
#define DAEMON_FEED_EVENTS_H

#include "feed.h"

/**
 * cm_feed_apply() - let the node know what an item means
 * @feed: the copy; its lock is held
 * @item: an item that changed
 */
void cm_feed_apply(struct cm_feed *feed, const struct cm_item *item);

/**
 * cm_feed_settle_plan() - put a plan in force whose items came late
 * @feed: the copy; its lock is held
 */
void cm_feed_settle_plan(struct cm_feed *feed);

/**
 * cm_feed_bad_item() - count and log an item that can't be used
 * @feed: the copy
 * @key: its key
 * @error: what is wrong with it
 */
void cm_feed_bad_item(struct cm_feed *feed, const char *key, int error);

#endif
