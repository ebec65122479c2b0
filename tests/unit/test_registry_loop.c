#include "unit/suites.h"

#include <ck_pr.h>
#include <string.h>
#include <unistd.h>

#include "chervilmast/error.h"
#include "daemon/peer_loop.h"
#include "daemon/registry_loop.h"
#include "ports/clock.h"

#define US_PER_MS 1000
/** Interval between checks of the loop's progress, ms. */
#define POLL_INTERVAL_MS 2
/** Maximum wait of a call for changes, ms. */
#define WAIT_MAX_MS 100
/** Duration of a stalled call, ms; above WAIT_MAX_MS and the delay that the
 * loop tolerates. */
#define STALL_MS 900
/** Revision of all data in the registry. */
#define REVISION 7
/** Id of a registered server. */
#define PRESENT_ID 1
/** Id of a server that has left, which only stale reads still return. */
#define LEFT_ID 2

/**
 * struct fake_registry - a registry
 * @base: the interface that the loop uses
 * @refuses_current_reads: reads that must not be stale fail
 * @stalls: the first call for changes takes STALL_MS, and later ones fail
 * @current_reads: number of reads that must not be stale
 * @stale_reads: number of reads that may be stale
 * @change_calls: number of calls for changes
 * @era_changes_at: number of calls for changes at which the era increases; 0
 *                  for never
 * @earlier_answers: number of first calls for changes that get an answer of an
 *                   earlier era
 * @writes: number of writes of the members
 * @write_revision: expected revision of the last write
 * @write_era: era of the lease of the last write
 * @earlier_renewals: number of renewals of leases of an earlier era
 * @large_answers: number of first calls for changes whose answer is too large
 * @stalled_since_ms: when the stalled call began
 */
struct fake_registry {
	struct cm_registry base;
	bool refuses_current_reads;
	bool stalls;
	uint32_t current_reads;
	uint32_t stale_reads;
	uint32_t change_calls;
	uint32_t era_changes_at;
	uint32_t earlier_answers;
	uint32_t writes;
	uint64_t write_revision;
	uint64_t write_era;
	uint32_t earlier_renewals;
	uint32_t large_answers;
	uint64_t stalled_since_ms;
};

static struct fake_registry fake;
static struct cm_steer steer;
static struct cm_feed feed;
static struct cm_peer_loop peers;
static struct cm_registry_loop loop;
static struct cm_steer_settings settings;

static uint64_t position_of(uint64_t revision)
{
	cm_position position;

	ASSERT_OK(cm_position_compose(&position, fake.base.era, revision));
	return position;
}

static void put_server(const struct cm_registry_sink *sink, uint64_t id)
{
	const struct cm_server_entry entry = {
		.id = id,
		.service = "ledger",
		.domain = "a",
		.address = { 0x7f000001, (uint16_t)(8000 + id), 17 },
		.slots = 1,
	};

	sink->server(sink->user, &entry, position_of(id));
}

static int fake_read(struct cm_registry *base, bool may_be_stale,
		     const struct cm_registry_sink *sink)
{
	(void)base;
	ck_pr_inc_32(may_be_stale ? &fake.stale_reads : &fake.current_reads);
	if (!may_be_stale && fake.refuses_current_reads)
		return CM_E_UNAVAILABLE;
	put_server(sink, PRESENT_ID);
	if (may_be_stale)
		put_server(sink, LEFT_ID);
	sink->complete_up_to(sink->user, position_of(REVISION));
	return CM_OK;
}

static int fake_wait(struct cm_registry *base, uint64_t after, uint32_t wait_ms,
		     const struct cm_registry_sink *sink)
{
	(void)base;
	ck_pr_inc_32(&fake.change_calls);
	if (fake.change_calls == fake.era_changes_at)
		fake.base.era++;
	if (cm_position_era(after) < fake.base.era)
		return CM_E_COMPACTED;
	if (fake.change_calls <= fake.earlier_answers)
		return CM_E_ERA_DIFFERS;
	if (fake.change_calls <= fake.large_answers)
		return CM_E_TOO_LARGE;
	if (fake.stalled_since_ms)
		return CM_E_UNAVAILABLE;
	if (fake.stalls)
		fake.stalled_since_ms = cm_clock_ms();
	usleep((fake.stalls ? STALL_MS : wait_ms) * US_PER_MS);
	sink->complete_up_to(sink->user, after);
	return CM_OK;
}

static int fake_read_members(struct cm_registry *base,
			     const struct cm_registry_sink *sink)
{
	(void)base;
	(void)sink;
	return CM_OK;
}

static int fake_write_members(struct cm_registry *base,
			      const struct cm_members_write *write,
			      const struct cm_registry_sink *sink)
{
	fake.write_revision = write->revision;
	fake.write_era = write->lease.era;
	ck_pr_inc_32(&fake.writes);
	if (!fake.era_changes_at)
		return CM_E_UNAVAILABLE;
	sink->members(sink->user, &write->members,
		      position_of(REVISION + fake.writes));
	(void)base;
	return CM_OK;
}

static int fake_grant_lease(struct cm_registry *base,
			    struct cm_registry_lease *lease)
{
	lease->id = 1;
	lease->era = base->era;
	return CM_OK;
}

static int fake_keep_lease(struct cm_registry *base,
			   const struct cm_registry_lease *lease)
{
	if (lease->era < base->era)
		ck_pr_inc_32(&fake.earlier_renewals);
	return CM_OK;
}

static uint64_t fake_calls(const struct cm_registry *base)
{
	(void)base;
	return 0;
}

static void fake_interrupt(struct cm_registry *base)
{
	(void)base;
}

static const struct cm_registry_ops fake_ops = {
	.read = fake_read,
	.wait = fake_wait,
	.read_members = fake_read_members,
	.write_members = fake_write_members,
	.grant_lease = fake_grant_lease,
	.renew_lease = fake_keep_lease,
	.call_count = fake_calls,
	.interrupt = fake_interrupt,
};

static void setup(void)
{
	const struct cm_steer_config config = { .domain = "a",
						.flows_max = 1,
						.lapse_grace_ms = 1 };
	const struct cm_feed_config feed_config = {
		.self = { .name = "a-1",
			  .domain = "a",
			  .control = { 0x7f000001, 0, 6 } },
		.incarnation = 1,
		.age_max_ms = 1000,
	};

	memset(&fake, 0, sizeof(fake));
	fake.base.ops = &fake_ops;
	cm_steer_init(&steer, &config);
	cm_feed_init(&feed, &steer, &feed_config);
	ASSERT_OK(cm_peer_loop_init(&peers, &feed));
}

static void start(void)
{
	memset(&loop, 0, sizeof(loop));
	memcpy(settings.domain, "a", sizeof("a"));
	loop.feed = &feed;
	loop.peers = &peers;
	loop.registry = &fake.base;
	loop.settings = &settings;
	loop.wait_ms = WAIT_MAX_MS;
	ASSERT_OK(cm_registry_loop_init(&loop));
}

static void teardown(void)
{
	cm_registry_loop_finish(&loop);
	cm_peer_loop_finish(&peers);
	cm_feed_finish(&feed);
	cm_steer_finish(&steer);
}

UNIT_CASE("feed", "registry loop", setup, teardown, UNIT_TIMEOUT_S);

static void wait_until_count(const uint32_t *count, uint32_t least)
{
	while (ck_pr_load_32(count) < least)
		usleep(POLL_INTERVAL_MS * US_PER_MS);
}

static bool has_server(uint64_t id)
{
	bool found;

	pthread_mutex_lock(&steer.lock);
	found = cm_steer_servers_find_by_id(&steer.servers, id);
	pthread_mutex_unlock(&steer.lock);
	return found;
}

/* A new process must not begin with a stale read, which may still contain a
 * server that has left. */
TEST(new_process_does_not_bring_back_a_server_that_left)
{
	start();
	wait_until_count(&fake.change_calls, 2);
	ck_assert(has_server(PRESENT_ID));
	ck_assert(!has_server(LEFT_ID));
	ck_assert_uint_eq(fake.stale_reads, 0);
}

/* While the registry refuses current reads, the node must get the servers for
 * its flows by a stale read. The data of a stale read does not count as
 * current. */
TEST(stale_read_is_used_while_current_ones_fail)
{
	fake.refuses_current_reads = true;
	start();
	wait_until_count(&fake.stale_reads, 1);
	wait_until_count(&fake.current_reads, 2);
	ck_assert(has_server(PRESENT_ID));
	ck_assert_uint_eq(cm_steer_registry_confirmed_ms(&steer), 0);
}

/* The answer of a stalled call may have waited unread in the socket, so its
 * data was certainly current only when the call began. */
TEST(stalled_call_confirms_data_of_its_start_only)
{
	fake.stalls = true;
	start();
	wait_until_count(&fake.change_calls, 2);
	ck_assert_uint_ne(cm_steer_registry_confirmed_ms(&steer), 0);
	ck_assert_uint_le(cm_steer_registry_confirmed_ms(&steer),
			  fake.stalled_since_ms);
}

/* The copy got a later era from its source than the registry has reported. The
 * registry must refuse answers of an earlier era in its next call. */
TEST(era_of_the_copy_is_passed_to_the_registry)
{
	const struct cm_registry_sink sink = cm_feed_sink(&feed, true);
	cm_position reached;

	ASSERT_OK(cm_position_compose(&reached, 2, REVISION));
	cm_feed_begin_read(&feed, false);
	sink.complete_up_to(sink.user, reached);
	start();
	wait_until_count(&fake.change_calls, 1);
	ck_assert_uint_eq(fake.base.era, 2);
}

/* Guards against an instance that stops following the registry: another writer
 * wrote so many large values that the answer with the changes is refused, and
 * so is each later one. */
TEST(all_items_are_read_when_the_changes_are_too_large)
{
	fake.large_answers = UINT32_MAX;
	start();
	wait_until_count(&fake.change_calls, 2);
	ck_assert_uint_ge(ck_pr_load_32(&fake.current_reads), 2);
	ck_assert_uint_ne(cm_steer_registry_confirmed_ms(&steer), 0);
	ck_assert_uint_eq(cm_counters_get(&steer.counters, CM_C_STORE_RETRIES),
			  0);
}

/* Refused answers of an earlier era are counted, as they point to a replica of
 * the store that was not restored. */
TEST(answers_of_an_earlier_era_are_counted)
{
	fake.earlier_answers = 1;
	start();
	wait_until_count(&fake.change_calls, 2);
	ck_assert_uint_eq(
		cm_counters_get(&steer.counters, CM_C_STORE_ERA_REFUSED), 1);
}

/* The store comes back from an older copy, without the leases and the members
 * entry. The entry must be written again at once, under a lease of the new era
 * and without the expected revision of the earlier one. */
TEST(members_are_written_again_in_a_new_era)
{
	fake.era_changes_at = 3;
	start();
	wait_until_count(&fake.writes, 2);
	wait_until_count(&fake.change_calls, 4);
	ck_assert_uint_eq(fake.current_reads, 2);
	ck_assert_uint_eq(fake.stale_reads, 0);
	ck_assert_uint_eq(fake.write_revision, 0);
	ck_assert_uint_eq(fake.write_era, 1);
	ck_assert_uint_eq(fake.earlier_renewals, 0);
	ck_assert_uint_eq(
		cm_counters_get(&steer.counters, CM_C_STORE_ERA_CHANGES), 1);
}
