#include "unit/suites.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"
#include "daemon/feed.h"
#include "ports/clock.h"

/** Longer than the timeout of a test, so only a wakeup ends the pause. */
#define ENDLESS_PAUSE_MS 3600000
/** Time at which an answer arrives, ms. */
#define ANSWER_MS 2

static struct cm_steer steer;
static struct cm_feed feed;
static const struct cm_endpoint source_address = { 0x7f000001, 9, 6 };
static const struct cm_peer_entry follower = { .name = "a-3", .domain = "a" };

static void setup(void)
{
	const struct cm_steer_config config = { .domain = "a",
						.flows_max = 1,
						.lapse_grace_ms = 1 };
	const struct cm_feed_config feed_config = {
		.self = { .name = "a-2", .domain = "a" },
		.incarnation = 1,
		.age_max_ms = 1000,
	};

	cm_steer_init(&steer, &config);
	cm_feed_init(&feed, &steer, &feed_config);
}

static void teardown(void)
{
	cm_feed_finish(&feed);
	cm_steer_finish(&steer);
}

UNIT_CASE("feed", "pause", setup, teardown, UNIT_TIMEOUT_S);

static void *pause_endlessly(void *user)
{
	(void)user;
	cm_feed_pause(&feed, ENDLESS_PAUSE_MS);
	return NULL;
}

static void select_source(void)
{
	struct cm_peer_entry entry = { .name = "a-1",
				       .domain = "a",
				       .control = source_address };
	struct cm_peer_entry source;

	ASSERT_OK(cm_steer_put_peer(&steer, &entry));
	feed.items.revision = 1;
	ck_assert(cm_feed_select_source(&feed, 1, &source));
}

static void apply_answer(const struct cm_endpoint *from, uint64_t age_ms)
{
	const struct cm_message_items items = {
		.revision = 1,
		.requested_ms = ANSWER_MS,
		.age_ms = age_ms,
	};

	ASSERT_OK(cm_feed_apply_answer(&feed, ANSWER_MS, from, 7, &items));
}

/* A wakeup ends the pause in progress; if there is none, the next pause ends at
 * once. */
TEST(wakeup_ends_the_pause)
{
	pthread_t thread;

	pthread_create(&thread, NULL, pause_endlessly, NULL);
	cm_feed_wake(&feed);
	pthread_join(thread, NULL);
	cm_feed_wake(&feed);
	cm_feed_pause(&feed, ENDLESS_PAUSE_MS);
}

TEST(pause_ends_when_the_source_lost_the_registry)
{
	select_source();
	apply_answer(&source_address, CM_FEED_AGE_UNREACHABLE);
	cm_feed_pause(&feed, ENDLESS_PAUSE_MS);
	ck_assert(cm_feed_choice_is_skipped(&feed.source, "a-1", 2));
}

/* An answer of another instance may be a late one, from a source that was
 * skipped meanwhile. It must not get the current source skipped. */
TEST(answer_of_another_instance_skips_no_source)
{
	const struct cm_endpoint other = { 0x7f000001, 10, 6 };

	select_source();
	apply_answer(&other, CM_FEED_AGE_UNREACHABLE);
	ck_assert(!cm_feed_choice_is_skipped(&feed.source, "a-1", 2));
	cm_feed_pause(&feed, 1);
}

/* An instance that can't reach the registry sends CM_FEED_AGE_UNREACHABLE as
 * the age of its data, so that other instances do not use the data. */
TEST(answer_reports_an_unreachable_registry)
{
	const struct cm_message_items_request request = { .after_revision = 1 };
	struct cm_message_items items = { 0 };

	feed.items.revision = 1;
	cm_feed_registry_answered(&feed, 100);
	ASSERT_OK(cm_feed_make_answer(&feed, 150, &follower, &request, &items));
	ck_assert_uint_eq(items.age_ms, 50);
	cm_feed_registry_unreachable(&feed);
	ASSERT_OK(cm_feed_make_answer(&feed, 150, &follower, &request, &items));
	ck_assert_uint_eq(items.age_ms, CM_FEED_AGE_UNREACHABLE);
	cm_feed_registry_answered(&feed, 150);
	ASSERT_OK(cm_feed_make_answer(&feed, 150, &follower, &request, &items));
	ck_assert_uint_eq(items.age_ms, 0);
}

/* When two sources can't reach the registry, their follower has to treat this
 * as an outage of the registry too: servers whose entries expire during the
 * outage get time to register again. */
TEST(sources_without_registry_are_an_outage)
{
	const struct cm_endpoint other = { 0x7f000001, 10, 6 };

	select_source();
	ck_assert(!steer.is_registry_unreachable);
	apply_answer(&source_address, CM_FEED_AGE_UNREACHABLE);
	apply_answer(&other, CM_FEED_AGE_UNREACHABLE);
	ck_assert(steer.is_registry_unreachable);
	apply_answer(&source_address, 0);
	ck_assert(!steer.is_registry_unreachable);
	ck_assert_uint_eq(steer.registry_restored_ms, ANSWER_MS);
}

/* Guards against new flows to a server whose entry is gone: its removal counted
 * as one of an outage, as the source alone was cut off from the registry. */
TEST(source_without_registry_alone_is_no_outage)
{
	const struct cm_endpoint other = { 0x7f000001, 10, 6 };

	select_source();
	apply_answer(&source_address, CM_FEED_AGE_UNREACHABLE);
	apply_answer(&source_address, CM_FEED_AGE_UNREACHABLE);
	ck_assert(steer.is_registry_unreachable);
	apply_answer(&other, 0);
	ck_assert(!steer.is_registry_unreachable);
	ck_assert_uint_eq(steer.registry_restored_ms, 0);
	/* An earlier report does not confirm a later one. */
	apply_answer(&other, CM_FEED_AGE_UNREACHABLE);
	apply_answer(&source_address, 0);
	ck_assert_uint_eq(steer.registry_restored_ms, 0);
}

/* The follower's own call shows the outage, whatever one source reports. */
TEST(own_call_without_an_answer_is_an_outage)
{
	select_source();
	apply_answer(&source_address, CM_FEED_AGE_UNREACHABLE);
	cm_feed_registry_unreachable(&feed);
	apply_answer(&source_address, 0);
	ck_assert_uint_eq(steer.registry_restored_ms, ANSWER_MS);
}

/* The registry returns the entry of the members a-1, a-2 and a-3. */
static void load_members(void)
{
	const struct cm_registry_sink sink = cm_feed_sink(&feed, false);
	struct cm_peer_entry entries[3];
	const struct cm_domain_members members = { "a", entries, 3 };

	memset(entries, 0, sizeof(entries));
	for (uint64_t i = 0; i < 3; i++) {
		snprintf(entries[i].name, sizeof(entries[i].name), "a-%u",
			 (unsigned int)i + 1);
		memcpy(entries[i].domain, "a", sizeof("a"));
		entries[i].rank = i;
	}
	sink.members(sink.user, &members, 1);
	cm_feed_registry_answered(&feed, cm_clock_ms());
}

static uint32_t count_members(uint64_t now_ms)
{
	static struct cm_peer_entry entries[CM_ROSTER_MAX];
	uint64_t revision;

	return cm_feed_take_due_members(&feed, now_ms, true, entries,
					&revision);
}

/* Guards against a source that writes living members out of the registry's
 * entry, so that too few instances share the rate of a server in its cold
 * start: they skipped the source as it could not reach the registry. */
TEST(members_are_kept_after_an_outage)
{
	uint64_t begin_ms = cm_clock_ms();

	load_members();
	feed.members_kept_until_ms = 0;
	cm_feed_registry_unreachable(&feed);
	cm_feed_registry_answered(&feed, begin_ms);
	ck_assert_uint_eq(count_members(begin_ms + CM_FEED_SKIP_MS - 1), 3);
	ck_assert_uint_eq(count_members(begin_ms + CM_FEED_SKIP_MS - 2 +
					CM_ROSTER_TIMEOUT_MS),
			  3);
	ck_assert_uint_eq(count_members(begin_ms + CM_FEED_SKIP_MS +
					CM_ROSTER_TIMEOUT_MS),
			  1);
}

/* The same after a start: the others skipped it while it was not running. */
TEST(members_are_kept_after_a_start)
{
	uint64_t begin_ms = cm_clock_ms();

	load_members();
	ck_assert_uint_eq(count_members(begin_ms + CM_FEED_SKIP_MS - 1), 3);
	ck_assert_uint_eq(count_members(begin_ms + CM_FEED_SKIP_MS - 2 +
					CM_ROSTER_TIMEOUT_MS),
			  3);
	ck_assert_uint_eq(count_members(begin_ms + CM_FEED_SKIP_MS +
					CM_ROSTER_TIMEOUT_MS),
			  1);
}

/* An answer to a request that was sent at 1,000 ms; its data was 200 ms old. It
 * is applied at @applied_ms. The data is known to have been current at
 * @confirmed_ms; 0 if the answer is too old to be used. */
static const struct {
	const char *what;
	uint64_t applied_ms;
	uint64_t confirmed_ms;
} delayed_answers[] = {
	{ "at once", 1005, 800 },
	{ "half a second after the request", 1500, 800 },
	{ "after a pause of ten seconds", 11000, 0 },
};

/* The age of the data counts from the time of the request, so that a delay in
 * transit or a pause of the process does not make old data look current. */
TEST_TABLE(age_of_an_answer_counts_from_its_request, delayed_answers)
{
	const struct cm_message_items items = {
		.revision = 1,
		.requested_ms = 1000,
		.age_ms = 200,
	};

	select_source();
	cm_feed_apply_answer(&feed, delayed_answers[_i].applied_ms,
			     &source_address, 7, &items);
	ck_assert_uint_eq(cm_steer_registry_confirmed_ms(&steer),
			  delayed_answers[_i].confirmed_ms);
}

/* A duplicate of an answer that arrives long after the answer itself must not
 * make the data look current. */
TEST(duplicate_answer_confirms_nothing)
{
	const struct cm_message_items items = { .revision = 1,
						.requested_ms = 100 };

	select_source();
	ASSERT_OK(cm_feed_apply_answer(&feed, 110, &source_address, 7, &items));
	ck_assert_uint_eq(cm_steer_registry_confirmed_ms(&steer), 100);
	ASSERT_OK(cm_feed_apply_answer(&feed, 900, &source_address, 7, &items));
	ASSERT_OK(
		cm_feed_apply_answer(&feed, 9000, &source_address, 7, &items));
	ck_assert_uint_eq(cm_steer_registry_confirmed_ms(&steer), 100);
}

TEST(answer_to_a_future_request_is_refused)
{
	const struct cm_message_items items = { .revision = 1,
						.requested_ms = 200 };

	select_source();
	ck_assert_int_eq(
		cm_feed_apply_answer(&feed, 100, &source_address, 7, &items),
		CM_E_OUT_OF_RANGE);
	ck_assert_uint_eq(cm_steer_registry_confirmed_ms(&steer), 0);
}
