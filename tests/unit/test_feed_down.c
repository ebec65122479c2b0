#include "unit/suites.h"

#include <netinet/in.h>
#include <stdlib.h>

#include "adapters/message_msgpack.h"
#include "chervilmast/steer_report.h"
#include "unit/feed_instances.h"

#define SERVERS 4

UNIT_CASE("feed", "servers that are down", feed_instances_setup,
	  feed_instances_teardown, UNIT_TIMEOUT_S);

static struct cm_steer_server *find_server(struct feed_instance *instance,
					   uint64_t id)
{
	return cm_steer_servers_find_by_id(&instance->steer.servers, id);
}

/* Makes a server leave a SYN and two probes of an instance unanswered. */
static void make_silent(struct feed_instance *instance, uint64_t id)
{
	struct cm_steer_server *server = find_server(instance, id);

	instance->steer.has_reached_server = true;
	server->health.unanswered_syns = 1;
	server->health.unanswered_ms = NOW_MS - 1000;
	server->health.probes = 2;
	cm_steer_servers_add_suspect(&instance->steer.servers, server);
}

/* Makes an instance see that data to a server was retransmitted. */
static void make_stalled(struct feed_instance *instance, uint64_t id)
{
	struct cm_steer_server *server = find_server(instance, id);
	struct cm_message_tokens *stalled = &instance->steer.gone.stalled;

	instance->steer.has_reached_server = true;
	server->watch.stalled_from_ms = NOW_MS - CM_DATA_STALL_MS;
	server->watch.stalled_ms = NOW_MS;
	stalled->tokens[stalled->count++] = server->token;
}

/* Replaces a message by what an instance reads from its encoding. */
static void transfer(struct cm_message *message)
{
	size_t size;
	char *bytes;

	message->sender_data_address.protocol = IPPROTO_UDP;
	message->sender_control_address.protocol = IPPROTO_TCP;
	ASSERT_OK(cm_message_write(message, &bytes, &size));
	cm_message_finish(message);
	ASSERT_OK(cm_message_read(message, bytes, size));
	free(bytes);
}

/* Lets @to send a request to @from and apply the answer. */
static void exchange(struct feed_instance *from, struct feed_instance *to)
{
	struct cm_message request, answer;

	cm_message_init(&request, CM_MESSAGE_ITEMS_REQUEST);
	cm_feed_make_request(&to->feed, NOW_MS, &request.items_request);
	transfer(&request);
	cm_message_init(&answer, CM_MESSAGE_ITEMS);
	ASSERT_OK(cm_feed_make_answer(&from->feed, NOW_MS, &to->feed.self,
				      &request.items_request, &answer.items));
	cm_message_finish(&request);
	transfer(&answer);
	ASSERT_OK(apply_answer(to, from->feed.incarnation, &answer));
}

static void start(void)
{
	put_servers(&source, SERVERS);
	put_servers(&follower, SERVERS);
	put_servers(&other, SERVERS);
}

static uint32_t count_down(const struct feed_instance *instance)
{
	return instance->steer.gone.down.servers.count;
}

/* Two instances see retransmitted data: all instances, the source included,
 * have to learn that the server is down, but not after the first one. */
TEST(server_that_two_instances_report_is_down_everywhere)
{
	start();
	make_silent(&follower, 2);
	exchange(&source, &follower);
	exchange(&source, &other);
	ck_assert_uint_eq(count_down(&other), 0);
	make_stalled(&other, 2);
	exchange(&source, &other);
	ck_assert_uint_eq(count_down(&other), 0);
	make_stalled(&follower, 2);
	exchange(&source, &follower);
	exchange(&source, &other);
	ck_assert_uint_eq(count_down(&other), 1);
	ck_assert_uint_eq(count_down(&source), 1);
	exchange(&source, &follower);
	ck_assert_uint_eq(count_down(&follower), 1);
	ck_assert_uint_eq(follower.steer.gone.down.servers.tokens[0],
			  find_server(&follower, 2)->token);
}

/* An instance whose server answers again withdraws its report. */
TEST(server_that_answers_an_instance_is_not_down)
{
	start();
	make_silent(&follower, 2);
	exchange(&source, &follower);
	exchange(&source, &other);
	make_stalled(&other, 2);
	make_stalled(&follower, 2);
	exchange(&source, &follower);
	exchange(&source, &other);
	ck_assert_uint_eq(count_down(&other), 1);
	find_server(&other, 2)->acked_ms = NOW_MS;
	exchange(&source, &other);
	ck_assert_uint_eq(count_down(&other), 0);
	ck_assert_uint_eq(count_down(&source), 0);
}

/* The source is lost: another one starts without reports. It must not list a
 * server before two instances have reported it again. */
TEST(new_source_counts_the_reports_anew)
{
	start();
	make_silent(&follower, 2);
	exchange(&source, &follower);
	exchange(&source, &other);
	make_stalled(&other, 2);
	make_stalled(&follower, 2);
	exchange(&source, &follower);
	exchange(&source, &other);
	ck_assert_uint_eq(count_down(&other), 1);
	exchange(&other, &follower);
	ck_assert_uint_eq(count_down(&follower), 1);
	feed_instances_teardown();
	feed_instances_setup();
	start();
	make_silent(&follower, 2);
	make_stalled(&follower, 2);
	exchange(&other, &follower);
	ck_assert_uint_eq(count_down(&follower), 0);
	make_silent(&source, 2);
	make_stalled(&source, 2);
	exchange(&other, &source);
	ck_assert_uint_eq(count_down(&source), 1);
}

/* Instances report servers that another one has found silent only by an
 * observation of their own; otherwise the reports would renew each other. */
TEST(reports_do_not_renew_each_other)
{
	struct cm_message_items_request request = { .after_revision = 0 };

	start();
	make_silent(&follower, 2);
	exchange(&source, &follower);
	exchange(&source, &other);
	cm_feed_make_request(&other.feed, NOW_MS, &request);
	ck_assert_uint_eq(request.suspects.count, 0);
	ck_assert_uint_eq(request.stalled.count, 0);
}

/* Early requests are limited to one in 100 ms, however many servers become
 * silent, and wait until the lock of the feed is free. */
TEST(early_requests_are_limited)
{
	struct cm_feed *feed = &follower.feed;

	feed->source.source_name[0] = 'a';
	ck_assert(cm_feed_report_silent(feed, NOW_MS));
	ck_assert_uint_eq(feed->wakeups, 1);
	ck_assert(!cm_feed_report_silent(feed, NOW_MS + 99));
	ck_assert_uint_eq(feed->wakeups, 1);
	ck_assert(cm_feed_report_silent(feed, NOW_MS + 100));
	ck_assert_uint_eq(feed->wakeups, 2);
	pthread_mutex_lock(&feed->lock);
	ck_assert(!cm_feed_report_silent(feed, NOW_MS + 200));
	pthread_mutex_unlock(&feed->lock);
	/* An instance that queries the registry itself calls it no earlier. */
	feed->source.source_name[0] = '\0';
	ck_assert(cm_feed_report_silent(feed, NOW_MS + 200));
	ck_assert_uint_eq(feed->wakeups, 2);
}
