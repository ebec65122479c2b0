#include "registry_loop.h"

#include <ck_pr.h>
#include <string.h>

#include "chervilmast/error.h"
#include "condition.h"
#include "log.h"
#include "ports/clock.h"

/** Minimum pause between two calls that wait for changes, ms, so that several
 * changes arrive in one answer. */
#define PAUSE_MIN_MS 400
/** Ratio of the pause to the time spent on receiving and applying the last
 * answer, so that packets get most of the processor time. */
#define PAUSE_FACTOR 4
/** Maximum pause between two calls that wait for changes, ms. */
#define PAUSE_MAX_MS 800
/** Mean pause after the first failed call, ms; doubled by each further one. */
#define BACKOFF_MS 150
/** Maximum mean pause after a failed call, ms. */
#define BACKOFF_MAX_MS 600
/** Time between two requests to the source, ms, without the additional time for
 * the instances of the failure domain. */
#define SOURCE_INTERVAL_MS 180
/** Additional time between two requests to the source for each instance of the
 * failure domain, ms; bounds the rate of requests at the source. */
#define SOURCE_INTERVAL_PER_PEER_MS 10
/** Time between two requests to a source that has not yet given a usable
 * answer, ms. */
#define SEARCH_INTERVAL_MS 120
/** Time between renewals of the lease of the members entry, ms. */
#define LEASE_RENEWAL_INTERVAL_MS (CM_REGISTRY_MEMBERS_TTL_MS / 3)
/** Maximum random pause after the first read when no members are known, ms. Of
 * several instances that start together, the first one to continue writes the
 * members entry, and the others find it. */
#define START_JITTER_MAX_MS 400
/** Interval at which startup checks whether flows can be placed, ms. */
#define START_CHECK_MS 20
/** Time by which a call may exceed its wait for changes, ms; a longer call
 * counts as delayed, for example by a pause of the process. */
#define DELAY_TOLERANCE_MS 500
/** Maximum wait for changes, ms, unless the last step called the registry and
 * succeeded; short, to detect quickly that the registry does not answer. */
#define SHORT_WAIT_MS 20

/*
 * Return: the latest time at which the data of an answer was certainly current,
 * ms. This is now or, if the call took much longer than its wait, the start of
 * the call: the answer may have been in the socket buffer for most of the call.
 */
static uint64_t data_current_at_ms(uint64_t begin_ms, uint32_t wait_ms)
{
	uint64_t now_ms = cm_clock_ms();

	return now_ms > begin_ms + wait_ms + DELAY_TOLERANCE_MS ? begin_ms :
								  now_ms;
}

static void record_result(struct cm_registry_loop *loop, int error)
{
	struct cm_steer *steer = loop->feed->steer;
	bool is_reachable = !error || error == CM_E_COMPACTED;

	if (error == CM_E_ERA_DIFFERS)
		cm_counters_add(&steer->counters, CM_C_STORE_ERA_REFUSED);
	if (!error)
		cm_feed_registry_answered(loop->feed, loop->data_current_ms);
	if (!is_reachable) {
		cm_feed_registry_unreachable(loop->feed);
		cm_counters_add(&steer->counters, CM_C_STORE_RETRIES);
	}
	if (is_reachable == loop->is_reachable)
		return;
	loop->is_reachable = is_reachable;
	cm_log(is_reachable ? CM_EVENT_STORE_REACHABLE :
			      CM_EVENT_STORE_UNREACHABLE,
	       "error=%s", cm_error_name(error));
}

static void count_calls(struct cm_registry_loop *loop)
{
	uint64_t calls = loop->registry->ops->call_count(loop->registry);

	cm_counters_add_many(&loop->feed->steer->counters, CM_C_STORE_CALLS,
			     calls - loop->counted_calls);
	loop->counted_calls = calls;
}

static void record_duration(struct cm_registry_loop *loop,
			    enum cm_histogram_kind kind, uint64_t begin_ms)
{
	cm_histograms_add(&loop->feed->steer->histograms, kind,
			  cm_clock_ms() - begin_ms);
}

static void signal_first_read(struct cm_registry_loop *loop)
{
	pthread_mutex_lock(&loop->lock);
	loop->has_first_read_ended = true;
	pthread_cond_broadcast(&loop->first_read_ended);
	pthread_mutex_unlock(&loop->lock);
}

static int read_all(struct cm_registry_loop *loop, bool may_be_stale)
{
	const struct cm_registry_sink sink = cm_feed_sink(loop->feed, true);
	uint64_t begin_ms = cm_clock_ms();
	int error;

	cm_counters_add(&loop->feed->steer->counters, CM_C_REGISTRY_SNAPSHOTS);
	cm_feed_begin_read(loop->feed, may_be_stale);
	error = loop->registry->ops->read(loop->registry, may_be_stale, &sink);
	if (error)
		cm_feed_cancel_read(loop->feed);
	loop->data_current_ms = data_current_at_ms(begin_ms, 0);
	record_duration(loop, CM_H_STORE_READ, begin_ms);
	return error;
}

static int wait_for_changes(struct cm_registry_loop *loop, cm_position after)
{
	const struct cm_registry_sink sink = cm_feed_sink(loop->feed, false);
	uint64_t begin_ms = cm_clock_ms();
	uint32_t wait_ms = loop->was_answered ? loop->wait_ms : SHORT_WAIT_MS;
	int error = loop->registry->ops->wait(loop->registry, after, wait_ms,
					      &sink);

	loop->data_current_ms = data_current_at_ms(begin_ms, wait_ms);
	record_duration(loop, CM_H_STORE_WAIT, begin_ms);
	return error;
}

/*
 * Changes that are too large for one answer, such as large values of another
 * writer, are read in parts with all other items.
 */
static int call_registry(struct cm_registry_loop *loop)
{
	int error = CM_E_COMPACTED;

	/* A stale copy may lack changes before its revision: read all items. */
	if (!cm_feed_is_stale(loop->feed))
		error = wait_for_changes(loop, cm_feed_revision(loop->feed));
	if (error == CM_E_COMPACTED || error == CM_E_TOO_LARGE)
		error = read_all(loop, false);
	return error;
}

/*
 * CM_E_NOT_FOUND: the lease has expired, and the registry has deleted the
 * members entry with it. Clears the lease, so that the entry is written again.
 */
static void clear_expired_lease(struct cm_registry_loop *loop, int error)
{
	if (error == CM_E_NOT_FOUND)
		loop->lease.id = 0;
}

/*
 * A lease of an earlier era is gone, and its number may belong to another
 * client. Without a lease, the members entry is written again at once.
 */
static void clear_earlier_lease(struct cm_registry_loop *loop)
{
	if (loop->lease.era < loop->registry->era)
		loop->lease.id = 0;
}

static void renew_lease(struct cm_registry_loop *loop, uint64_t now_ms)
{
	int error;

	if (!loop->lease.id || now_ms < loop->next_lease_renewal_ms)
		return;
	error = loop->registry->ops->renew_lease(loop->registry, &loop->lease);
	record_duration(loop, CM_H_STORE_ENTRY, now_ms);
	if (!error)
		loop->next_lease_renewal_ms =
			now_ms + LEASE_RENEWAL_INTERVAL_MS;
	clear_expired_lease(loop, error);
}

static int write_members_entry(struct cm_registry_loop *loop,
			       struct cm_members_write *write)
{
	const struct cm_registry_sink sink = cm_feed_sink(loop->feed, false);
	const struct cm_registry_ops *ops = loop->registry->ops;
	int error = CM_OK;

	if (!loop->lease.id)
		error = ops->grant_lease(loop->registry, &loop->lease);
	write->lease = loop->lease;
	if (!error)
		error = ops->write_members(loop->registry, write, &sink);
	clear_expired_lease(loop, error);
	return error;
}

static void write_due_members(struct cm_registry_loop *loop, uint64_t now_ms)
{
	static struct cm_peer_entry entries[CM_ROSTER_MAX];
	struct cm_members_write write = { .members.entries = entries };
	int error;

	write.members.count = cm_feed_take_due_members(
		loop->feed, now_ms, !loop->lease.id, entries, &write.revision);
	if (!write.members.count)
		return;
	memcpy(write.members.domain, loop->settings->domain,
	       sizeof(write.members.domain));
	error = write_members_entry(loop, &write);
	record_duration(loop, CM_H_STORE_ENTRY, now_ms);
	if (!error)
		loop->next_lease_renewal_ms =
			now_ms + LEASE_RENEWAL_INTERVAL_MS;
	cm_log(CM_EVENT_MEMBERS_WRITTEN, "members=%u replaces=%llu outcome=%s",
	       write.members.count, (unsigned long long)write.revision,
	       cm_error_name(error));
}

/*
 * Keeps the members entry of the failure domain up to date. One instance of the
 * failure domain does so at a time.
 */
static void maintain_members(struct cm_registry_loop *loop)
{
	uint64_t now_ms = cm_clock_ms();

	if (!loop->was_answered ||
	    !cm_feed_is_members_writer(loop->feed, now_ms))
		return;
	clear_earlier_lease(loop);
	renew_lease(loop, now_ms);
	write_due_members(loop, now_ms);
}

/*
 * While the copy is empty, requests the items from a seed, which may be in any
 * failure domain.
 */
static void request_from_seed(struct cm_registry_loop *loop)
{
	const struct cm_steer_settings *settings = loop->settings;
	const struct cm_endpoint *seed;

	if (!settings->seed_count || cm_feed_revision(loop->feed))
		return;
	seed = &settings->seeds[loop->next_seed++ % settings->seed_count];
	if (!cm_endpoint_equal(seed, &loop->feed->self.control))
		cm_peer_loop_request_items(loop->peers, seed);
}

/* Return: a pseudo-random number below @limit, different for each instance. */
static uint32_t random_below(struct cm_registry_loop *loop, uint32_t limit)
{
	return (uint32_t)(cm_hash_mix(loop->feed->incarnation,
				      ++loop->random_count) %
			  limit);
}

/*
 * The pause differs from its mean by up to a half, so that instances that fail
 * together do not retry together.
 */
static uint32_t next_retry_ms(struct cm_registry_loop *loop)
{
	uint32_t retry_ms =
		loop->retry_ms / 2 + random_below(loop, loop->retry_ms);

	if (loop->retry_ms < BACKOFF_MAX_MS)
		loop->retry_ms *= 2;
	return retry_ms;
}

static bool has_members(struct cm_registry_loop *loop)
{
	return cm_steer_count_local_peers(loop->feed->steer) > 0;
}

/*
 * Reads only the members, which costs the registry little. Later requests then
 * go to one of them instead of the registry.
 */
static int read_members(struct cm_registry_loop *loop)
{
	const struct cm_registry_sink sink = cm_feed_sink(loop->feed, false);

	return loop->registry->ops->read_members(loop->registry, &sink);
}

/*
 * Reads current data, as stale data could contain servers that have left and
 * plans that were withdrawn. The registry may reject such reads when many
 * instances start together. If the read fails for a reason other than a
 * timeout, reads data that may be stale; it is used until a later step reads
 * current data.
 */
static int read_first(struct cm_registry_loop *loop)
{
	int error = read_all(loop, false);

	/* A read of data that may be stale is not recorded as a success. */
	if (!error)
		record_result(loop, error);
	else if (error != CM_E_TIMEOUT)
		error = read_all(loop, true);
	return error;
}

/* Return: pause until the next step, ms. */
static uint32_t run_first_step(struct cm_registry_loop *loop)
{
	int error = read_first(loop);

	signal_first_read(loop);
	if (error) {
		record_result(loop, error);
		request_from_seed(loop);
		return next_retry_ms(loop);
	}
	return has_members(loop) ? 0 : random_below(loop, START_JITTER_MAX_MS);
}

static uint32_t next_pause_ms(const struct cm_registry_loop *loop)
{
	uint64_t answered_ms = loop->registry->answer_started_ms;
	uint64_t pause =
		answered_ms ? (cm_clock_ms() - answered_ms) * PAUSE_FACTOR : 0;

	if (pause < PAUSE_MIN_MS)
		return PAUSE_MIN_MS;
	return pause < PAUSE_MAX_MS ? (uint32_t)pause : PAUSE_MAX_MS;
}

/*
 * The era of the local copy may be later than that of the registry's last
 * answer, as the copy also gets changes from the source.
 */
static void raise_era(struct cm_registry_loop *loop)
{
	uint64_t era = cm_position_era(cm_feed_revision(loop->feed));

	if (era > loop->registry->era)
		loop->registry->era = era;
}

/* Return: pause until the next step, ms. */
static uint32_t run_registry_step(struct cm_registry_loop *loop)
{
	int error = CM_OK;
	uint32_t pause;

	raise_era(loop);
	if (!cm_feed_revision(loop->feed))
		return run_first_step(loop);
	if (!has_members(loop)) {
		error = read_members(loop);
		if (has_members(loop))
			return 0;
	}
	if (!error)
		error = call_registry(loop);
	record_result(loop, error);
	loop->was_answered = !error;
	if (error)
		return next_retry_ms(loop);
	loop->retry_ms = BACKOFF_MS;
	pause = next_pause_ms(loop);
	maintain_members(loop);
	return pause;
}

/*
 * Sends a request to the source; the peer thread applies the answer.
 *
 * Return: pause until the next step, ms.
 */
static uint32_t run_source_step(struct cm_registry_loop *loop,
				const struct cm_peer_entry *source)
{
	loop->was_answered = false;
	cm_counters_add(&loop->feed->steer->counters, CM_C_FEED_ASKED);
	if (cm_peer_loop_request_items(loop->peers, &source->control))
		cm_counters_add(&loop->feed->steer->counters,
				CM_C_FEED_NOT_ASKED);
	if (cm_feed_is_searching(loop->feed))
		return SEARCH_INTERVAL_MS;
	return SOURCE_INTERVAL_MS +
	       SOURCE_INTERVAL_PER_PEER_MS *
		       cm_steer_count_local_peers(loop->feed->steer);
}

static void run_step(struct cm_registry_loop *loop)
{
	struct cm_peer_entry source;
	uint32_t pause_ms;

	if (cm_feed_select_source(loop->feed, cm_clock_ms(), &source))
		pause_ms = run_source_step(loop, &source);
	else
		pause_ms = run_registry_step(loop);
	if (ck_pr_load_32(&loop->stopping))
		return;
	count_calls(loop);
	cm_feed_pause(loop->feed, pause_ms);
}

static void *registry_thread(void *user)
{
	struct cm_registry_loop *loop = user;

	while (!ck_pr_load_32(&loop->stopping))
		run_step(loop);
	return NULL;
}

int cm_registry_loop_init(struct cm_registry_loop *loop)
{
	loop->is_reachable = true;
	loop->retry_ms = BACKOFF_MS;
	pthread_mutex_init(&loop->lock, NULL);
	cm_condition_init(&loop->first_read_ended);
	if (pthread_create(&loop->thread, NULL, registry_thread, loop))
		return CM_E_MEMORY;
	return CM_OK;
}

void cm_registry_loop_wait_first_data(struct cm_registry_loop *loop,
				      uint32_t max_wait_ms)
{
	uint64_t end_ms = cm_clock_ms() + max_wait_ms;

	pthread_mutex_lock(&loop->lock);
	while (!loop->has_first_read_ended && cm_clock_ms() < end_ms &&
	       !cm_steer_can_place(loop->feed->steer)) {
		struct timespec end = cm_condition_deadline(START_CHECK_MS);

		pthread_cond_timedwait(&loop->first_read_ended, &loop->lock,
				       &end);
	}
	pthread_mutex_unlock(&loop->lock);
}

void cm_registry_loop_finish(struct cm_registry_loop *loop)
{
	ck_pr_store_32(&loop->stopping, 1);
	loop->registry->ops->interrupt(loop->registry);
	cm_feed_wake(loop->feed);
	pthread_join(loop->thread, NULL);
}
