/**
 * DOC: Changes of the store's era in the local copy of the registry
 *
 * docs/design/store-era.md describes what an instance does on a change. The
 * lock of the feed is held during these calls.
 */
#ifndef DAEMON_FEED_ERA_H
#define DAEMON_FEED_ERA_H

#include "feed.h"

/**
 * cm_feed_observe() - record a position and handle a change of era
 * @feed: the feed
 * @position: position that was received
 * @from: its sender for the log, "registry" or "instance"
 */
void cm_feed_observe(struct cm_feed *feed, cm_position position,
		     const char *from);

/**
 * cm_feed_is_entering_era() - whether a full snapshot of the latest era is
 * missing
 * @feed: the feed
 *
 * Return: true from the first position of a later era until the end of the
 * first snapshot in it. An entry that this snapshot lacks may have been lost
 * with the change of era.
 */
bool cm_feed_is_entering_era(const struct cm_feed *feed);

/**
 * cm_feed_forget_earlier_members() - forget a members entry of an earlier era
 * @feed: the feed
 *
 * The registry's present entry of the members is then unknown.
 */
void cm_feed_forget_earlier_members(struct cm_feed *feed);

/**
 * cm_feed_return_domains() - put failure domains back in service whose entries
 * are still missing after the grace period
 * @feed: the feed
 * @now_ms: time at which the data of the last answer was current, ms
 */
void cm_feed_return_domains(struct cm_feed *feed, uint64_t now_ms);

#endif
