#include "unit/feed_instances.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "unit/suites.h"

/** Maximum number of parts that fetch_all() requests; more than any copy in
 * these tests has. */
#define PARTS_MAX 50

struct feed_instance source, follower, other;
static const struct cm_endpoint source_address = { 0x7f000001, 9, 6 };

static void start(struct feed_instance *instance, const char *name,
		  uint64_t incarnation)
{
	const struct cm_steer_config config = { .domain = "a", .flows_max = 1 };
	struct cm_feed_config feed_config = {
		.self.domain = "a",
		.incarnation = incarnation,
		.age_max_ms = 1000,
	};

	snprintf(feed_config.self.name, sizeof(feed_config.self.name), "%s",
		 name);
	cm_steer_init(&instance->steer, &config);
	cm_feed_init(&instance->feed, &instance->steer, &feed_config);
}

static void finish(struct feed_instance *instance)
{
	cm_feed_finish(&instance->feed);
	cm_steer_finish(&instance->steer);
}

void feed_instances_setup(void)
{
	start(&source, "a-1", SOURCE_INCARNATION);
	start(&follower, "a-2", 21);
	start(&other, "a-3", OTHER_INCARNATION);
}

void feed_instances_teardown(void)
{
	finish(&source);
	finish(&follower);
	finish(&other);
}

struct cm_server_entry server_entry(uint64_t id)
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

void put_servers(struct feed_instance *instance, uint64_t count)
{
	const struct cm_registry_sink sink =
		cm_feed_sink(&instance->feed, true);

	cm_feed_begin_read(&instance->feed, false);
	for (uint64_t id = 1; id <= count; id++) {
		const struct cm_server_entry entry = server_entry(id);

		sink.server(sink.user, &entry, id);
	}
	sink.complete_up_to(sink.user, count);
	cm_feed_registry_answered(&instance->feed, NOW_MS);
}

struct cm_message make_answer(struct feed_instance *from,
			      struct feed_instance *to)
{
	struct cm_message_items_request request = { .after_revision = 0 };
	struct cm_message message;

	cm_feed_make_request(&to->feed, NOW_MS, &request);
	cm_message_init(&message, CM_MESSAGE_ITEMS);
	ASSERT_OK(cm_feed_make_answer(&from->feed, NOW_MS, &to->feed.self,
				      &request, &message.items));
	return message;
}

int apply_answer(struct feed_instance *to, uint64_t incarnation,
		 struct cm_message *message)
{
	int error = cm_feed_apply_answer(&to->feed, NOW_MS, &source_address,
					 incarnation, &message->items);

	cm_message_finish(message);
	return error;
}

bool fetch_part(struct feed_instance *from, uint64_t incarnation)
{
	struct cm_message message = make_answer(from, &follower);
	bool has_more = message.items.has_more;

	ASSERT_OK(apply_answer(&follower, incarnation, &message));
	return has_more;
}

int fetch_all(struct feed_instance *from, uint64_t incarnation)
{
	int parts = 1;

	while (fetch_part(from, incarnation) && parts < PARTS_MAX)
		parts++;
	return parts;
}

void put_plan(struct feed_instance *instance, uint64_t version, uint32_t routes,
	      uint64_t revision)
{
	const struct cm_registry_sink sink =
		cm_feed_sink(&instance->feed, false);
	const struct cm_route_traits urgent = { CM_ROUTE_NON_IDEMPOTENT, 1,
						2500 };
	const struct cm_route_traits usual = { CM_ROUTE_IDEMPOTENT, 2, 2000 };
	struct cm_steer_plan plan;

	ASSERT_OK(cm_steer_plan_init(&plan, version, routes, 0));
	for (uint32_t i = 0; i < routes; i++) {
		const struct cm_steer_route route = {
			.address = { 0xc6120000 + i, 443, IPPROTO_TCP },
			.traits = i ? usual : urgent,
			.target_count = 1,
			.targets = { { "ledger", 1 } },
		};

		ASSERT_OK(cm_steer_plan_add_route(&plan, &route));
	}
	ASSERT_OK(cm_steer_plan_seal(&plan));
	sink.plan(sink.user, &plan, revision);
	sink.complete_up_to(sink.user, revision);
}
