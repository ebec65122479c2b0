#include "feed_era.h"

#include "log.h"
#include "ports/clock.h"

void cm_feed_observe(struct cm_feed *feed, cm_position position,
		     const char *from)
{
	struct cm_era_change change;
	bool is_first = !feed->era.latest && position;

	if (is_first)
		cm_log(CM_EVENT_STORE_ERA_FIRST,
		       "from=%s era=%llu revision=%llu", from,
		       (unsigned long long)cm_position_era(position),
		       (unsigned long long)cm_position_revision(position));
	if (!cm_store_era_observe(&feed->era, position, &change))
		return;
	feed->members_were_lost = true;
	cm_steer_era_changed(feed->steer, cm_clock_ms());
	cm_counters_add(&feed->steer->counters, CM_C_STORE_ERA_CHANGES);
	cm_log(CM_EVENT_STORE_ERA,
	       "from=%s before_era=%llu before_revision=%llu era=%llu "
	       "revision=%llu plan=%llu grace_ms=%u outcome=full_snapshot",
	       from, (unsigned long long)cm_position_era(change.before),
	       (unsigned long long)cm_position_revision(change.before),
	       (unsigned long long)cm_position_era(change.after),
	       (unsigned long long)cm_position_revision(change.after),
	       (unsigned long long)feed->plan_version,
	       feed->steer->config.lapse_grace_ms);
}

bool cm_feed_is_entering_era(const struct cm_feed *feed)
{
	return cm_position_era(feed->items.revision) <
	       cm_position_era(feed->era.latest);
}

void cm_feed_forget_earlier_members(struct cm_feed *feed)
{
	if (!feed->members_revision ||
	    cm_position_era(feed->members_revision) ==
		    cm_position_era(feed->era.latest))
		return;
	feed->members_revision = 0;
	cm_roster_load(&feed->roster, cm_clock_ms(), NULL);
}

void cm_feed_return_domains(struct cm_feed *feed, uint64_t now_ms)
{
	char domain[CM_NAME_SIZE];

	while (cm_steer_take_returned_domain(feed->steer, now_ms, domain))
		cm_log(CM_EVENT_DOMAIN,
		       "failure_domain=%s out=0 outcome=grace_over", domain);
}
