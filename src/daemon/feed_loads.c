#include "feed_loads.h"

#include <string.h>

#include "chervilmast/steer_load.h"
#include "log.h"

/**
 * Interval at which the source records its own loads and reads the sums of the
 * others, ms; about that of the other instances' requests.
 */
#define OWN_LOADS_INTERVAL_MS 500
/**
 * Time after an answer of a source during which an instance reports its loads
 * to that source only, ms. Instances that skip the source send requests to this
 * one meanwhile. Without the limit it would alternate between reports to the
 * source and to itself.
 */
#define SOURCE_ANSWER_VALID_MS 2000

void cm_feed_report_loads(struct cm_feed *feed, uint64_t now_ms,
			  struct cm_message_items_request *request)
{
	request->reads_optional = true;
	request->has_optional =
		feed->loads_source && cm_endpoint_equal(&feed->optional_address,
							&feed->request_address);
	if (!request->has_optional)
		return;
	request->loads_epoch = feed->loads_epoch;
	request->loads_complete =
		cm_steer_take_loads(feed->steer, now_ms, &request->loads);
}

static void expire_loads(struct cm_feed *feed, uint64_t now_ms)
{
	uint32_t expired = cm_load_table_expire(&feed->loads, now_ms);

	if (!expired)
		return;
	cm_counters_add_many(&feed->steer->counters, CM_C_STEER_LOADS_EXPIRED,
			     expired);
	cm_log(CM_EVENT_LOADS_EXPIRED, "instances=%u left=%u", expired,
	       feed->loads.instance_count);
}

/*
 * Records this instance's own loads in its table and applies the sums of the
 * other instances. A new series of reports begins when this instance becomes
 * the source, as its last reports went to another one.
 */
static void exchange_own_loads(struct cm_feed *feed, uint64_t now_ms,
			       uint32_t members)
{
	struct cm_load_list loads, sums;
	struct cm_load_report report = {
		.name = feed->self.name,
		.loads = &loads,
	};
	uint64_t age_ms;

	if (now_ms < feed->own_loads_ms + OWN_LOADS_INTERVAL_MS ||
	    (feed->loads_answered_ms &&
	     now_ms < feed->loads_answered_ms + SOURCE_ANSWER_VALID_MS))
		return;
	feed->own_loads_ms = now_ms;
	if (feed->loads_source != feed->incarnation) {
		feed->loads_source = feed->incarnation;
		feed->loads_epoch++;
		cm_steer_reset_load_reports(feed->steer);
	}
	report.epoch = feed->loads_epoch;
	report.is_complete = cm_steer_take_loads(feed->steer, now_ms, &loads);
	cm_load_table_report(&feed->loads, now_ms, &report);
	age_ms = cm_load_table_sum(&feed->loads, now_ms, feed->self.name,
				   members, &sums);
	cm_steer_apply_loads(feed->steer, now_ms - age_ms, &sums);
}

void cm_feed_exchange_loads(struct cm_feed *feed, uint64_t now_ms,
			    const struct cm_peer_entry *from,
			    const struct cm_message_items_request *request,
			    struct cm_message_items *items)
{
	const struct cm_load_report report = {
		.name = request->name,
		.epoch = request->loads_epoch,
		.is_complete = request->loads_complete,
		.loads = &request->loads,
	};
	uint32_t members = cm_steer_count_local_peers(feed->steer);

	items->has_optional = request->reads_optional;
	/* An instance of another failure domain requests only a first copy. */
	if (!request->has_optional ||
	    strcmp(from->domain, feed->self.domain) != 0)
		return;
	expire_loads(feed, now_ms);
	cm_load_table_report(&feed->loads, now_ms, &report);
	exchange_own_loads(feed, now_ms, members);
	items->loads_age_ms = cm_load_table_sum(
		&feed->loads, now_ms, request->name, members, &items->loads);
}

void cm_feed_apply_loads(struct cm_feed *feed, uint64_t now_ms,
			 const struct cm_endpoint *from, uint64_t incarnation,
			 const struct cm_message_items *items)
{
	if (!items->has_optional ||
	    !cm_endpoint_equal(from, &feed->request_address))
		return;
	feed->optional_address = *from;
	feed->loads_answered_ms = now_ms;
	if (feed->loads_source != incarnation) {
		feed->loads_source = incarnation;
		feed->loads_epoch++;
		cm_steer_reset_load_reports(feed->steer);
	}
	if (items->loads.count && items->requested_ms > items->loads_age_ms)
		cm_steer_apply_loads(feed->steer,
				     items->requested_ms - items->loads_age_ms,
				     &items->loads);
}
