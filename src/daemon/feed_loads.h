/**
 * DOC: Exchange of the loads of backend servers between instances
 */
#ifndef DAEMON_FEED_LOADS_H
#define DAEMON_FEED_LOADS_H

#include "feed.h"

/**
 * cm_feed_report_loads() - add this instance's loads to a request
 * @feed: the feed; its lock is held
 * @now_ms: current time, ms
 * @request: the request
 *
 * The first request to a source has none: whether the source reads optional
 * fields is not known before its answer.
 */
void cm_feed_report_loads(struct cm_feed *feed, uint64_t now_ms,
			  struct cm_message_items_request *request);

/**
 * cm_feed_exchange_loads() - record the loads of a request and answer with the
 * sums of the other instances' loads
 * @feed: the feed; its lock is held
 * @now_ms: current time, ms
 * @from: entry of the requesting instance
 * @request: the request
 * @items: the answer
 */
void cm_feed_exchange_loads(struct cm_feed *feed, uint64_t now_ms,
			    const struct cm_peer_entry *from,
			    const struct cm_message_items_request *request,
			    struct cm_message_items *items);

/**
 * cm_feed_apply_loads() - apply the sums in the answer of the source
 * @feed: the feed; its lock is held
 * @now_ms: current time, ms
 * @from: control address of the source
 * @incarnation: incarnation of the source
 * @items: its answer
 */
void cm_feed_apply_loads(struct cm_feed *feed, uint64_t now_ms,
			 const struct cm_endpoint *from, uint64_t incarnation,
			 const struct cm_message_items *items);

#endif
