/**
 * DOC: Application of registry items to the steering instance (steer.h)
 */
#ifndef DAEMON_FEED_EVENTS_H
#define DAEMON_FEED_EVENTS_H

#include "feed.h"

/**
 * cm_feed_apply() - apply a changed item to the steering instance
 * @feed: the feed; its lock is held
 * @item: the item
 */
void cm_feed_apply(struct cm_feed *feed, const struct cm_item *item);

/**
 * cm_feed_apply_pending_plan() - put a plan in force that is now complete
 * @feed: the feed; its lock is held
 *
 * Called at the end of a snapshot: a plan cannot be put in force before if its
 * version item was received before its other items.
 */
void cm_feed_apply_pending_plan(struct cm_feed *feed);

/**
 * cm_feed_report_bad_item() - count and log an invalid item
 * @feed: the feed
 * @key: key of the item
 * @error: why it is invalid, an enum cm_error
 */
void cm_feed_report_bad_item(struct cm_feed *feed, const char *key, int error);

#endif
