#include "unit/feed_sides.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "unit/suites.h"

/** Limit of ask_all(); no copy in these tests has as many parts. */
#define PARTS_MOST 50

struct side source, follower, other;
static const struct cm_endpoint source_address = { 0x7f000001, 9, 6 };

static void start(struct side *side, const char *name, uint64_t incarnation)
{
	const struct cm_steer_config config = { .domain = "a", .flows_max = 1 };
	struct cm_feed_config feed_config = {
		.self.domain = "a",
		.incarnation = incarnation,
		.age_max_ms = 1000,
	};

	snprintf(feed_config.self.name, sizeof(feed_config.self.name), "%s",
		 name);
	cm_steer_init(&side->steer, &config);
	cm_feed_init(&side->feed, &side->steer, &feed_config);
}

static void finish(struct side *side)
{
	cm_feed_finish(&side->feed);
	cm_steer_finish(&side->steer);
}

void sides_setup(void)
{
	start(&source, "a-1", SOURCE_INCARNATION);
	start(&follower, "a-2", 21);
	start(&other, "a-3", OTHER_INCARNATION);
}

void sides_teardown(void)
{
	finish(&source);
	finish(&follower);
	finish(&other);
}

struct cm_server_entry server(uint64_t id)
{
	const struct cm_server_entry entry = {
		.id = id,
		.service = "ledger",
		.domain = "a",
		.address = { 0x0a800000 + (uint32_t)id, 8080, IPPROTO_UDP },
		.slots = 2,
	};

	return entry;
}

void tell_all(struct side *side, uint64_t count)
{
	const struct cm_registry_sink sink = cm_feed_sink(&side->feed, true);

	cm_feed_begin_read(&side->feed, false);
	for (uint64_t id = 1; id <= count; id++) {
		const struct cm_server_entry entry = server(id);

		sink.server(sink.user, &entry, id);
	}
	sink.reached(sink.user, count);
	cm_feed_registry_answered(&side->feed, NOW_MS);
}

struct cm_message answer(struct side *from, struct side *to)
{
	struct cm_message_items_request request = { .after = 0 };
	struct cm_message message;

	cm_feed_request(&to->feed, NOW_MS, &request);
	cm_message_init(&message, CM_MESSAGE_ITEMS);
	ASSERT_OK(cm_feed_answer(&from->feed, NOW_MS, &to->feed.self, &request,
				 &message.items));
	return message;
}

int take(struct side *to, uint64_t incarnation, struct cm_message *message)
{
	int error = cm_feed_apply_answer(&to->feed, NOW_MS, &source_address,
					 incarnation, &message->items);

	cm_message_finish(message);
	return error;
}

bool ask(struct side *from, uint64_t incarnation)
{
	struct cm_message message = answer(from, &follower);
	bool has_more = message.items.has_more;

	ASSERT_OK(take(&follower, incarnation, &message));
	return has_more;
}

int ask_all(struct side *from, uint64_t incarnation)
{
	int parts = 1;

	while (ask(from, incarnation) && parts < PARTS_MOST)
		parts++;
	return parts;
}

void tell_plan(struct side *side, uint64_t version, uint32_t routes,
	       uint64_t revision)
{
	const struct cm_registry_sink sink = cm_feed_sink(&side->feed, false);
	struct cm_steer_plan plan;

	ASSERT_OK(cm_steer_plan_init(&plan, version, routes, 0));
	for (uint32_t i = 0; i < routes; i++) {
		const struct cm_steer_route route = {
			.address = { 0xc6120000 + i, 443, IPPROTO_TCP },
			.target_count = 1,
			.targets = { { "ledger", 1 } },
		};

		ASSERT_OK(cm_steer_plan_add_route(&plan, &route));
	}
	ASSERT_OK(cm_steer_plan_seal(&plan));
	sink.plan(sink.user, &plan, revision);
	sink.reached(sink.user, revision);
}
