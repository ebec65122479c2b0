#include "store_loop.h"

#include <ck_pr.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "config/instance_json.h"
#include "config/note_json.h"
#include "log.h"
#include "ports/clock.h"

#define KEY_SIZE 192

static int on_head(void *user, const struct cm_publication_head *head)
{
	struct cm_store_loop *loop = user;
	char id[CM_PUBLICATION_ID_TEXT_SIZE];
	int error = cm_note_follower_set_store_version(
		&loop->feed->follower, head->version, head->publication_id);

	if (!error)
		return CM_OK;
	cm_publication_id_write(head->publication_id, id);
	cm_counters_add(&loop->feed->node->counters,
			CM_C_REFUSED_NOTE_CONTRADICTION);
	cm_log(CM_EVENT_NOTE_CONTRADICTION,
	       "version=%llu publication_id=%s from=store error=%s",
	       (unsigned long long)head->version, id, cm_error_name(error));
	return error;
}

/*
 * A snapshot or note that is not newer than the one in force (CM_E_STALE) is
 * not an error: a peer may have sent the newer one in the meantime.
 */
static int on_snapshot(void *user, struct cm_catalog *catalog,
		       struct cm_history *history)
{
	struct cm_store_loop *loop = user;
	int error = cm_note_feed_apply_snapshot(loop->feed, cm_clock_ms(),
						CM_NOTE_FROM_STORE, catalog,
						history);

	return error == CM_E_STALE ? CM_OK : error;
}

static int on_note(void *user, const struct cm_note *note, const char *text,
		   size_t size)
{
	struct cm_store_loop *loop = user;
	int error =
		cm_note_feed_apply_note(loop->feed, cm_clock_ms(),
					CM_NOTE_FROM_STORE, note, text, size);

	return error == CM_E_STALE ? CM_OK : error;
}

static int read_notes(struct cm_store_loop *loop)
{
	const struct cm_publication_sink sink = {
		.head = on_head,
		.snapshot = on_snapshot,
		.note = on_note,
		.user = loop,
	};
	struct cm_publication_head head;
	int error = cm_publication_read_after(&loop->publication,
					      cm_node_version(loop->feed->node),
					      &sink, &head);

	if (!error)
		loop->revision = head.store_revision;
	return error;
}

static int read_instances(struct cm_store_loop *loop)
{
	struct cm_member *members;
	uint32_t count;
	int error = cm_instances_read(&loop->store.base,
				      loop->settings->store_prefix, &members,
				      &count);

	if (error)
		return error;
	loop->handler(loop->user, members, count);
	free(members);
	return CM_OK;
}

static int read_store(struct cm_store_loop *loop)
{
	int error = read_notes(loop);

	cm_counters_add(&loop->feed->node->counters, CM_C_STORE_READS);
	if (error == CM_E_UNAVAILABLE || error == CM_E_TIMEOUT)
		return error;
	/*
	 * The list of instances is read even if a note was refused. Any failure
	 * to read it is returned as CM_E_UNAVAILABLE.
	 */
	return read_instances(loop) ? CM_E_UNAVAILABLE : error;
}

/*
 * Watches the head and the instances with one call. The range from "head" to
 * "instances0" (exclusive) contains the key of the head and all keys that begin
 * with "instances/", as '0' is the character after '/'.
 */
static int watch_store(struct cm_store_loop *loop, uint32_t wait_ms)
{
	struct cm_store *store = &loop->store.base;
	char first[KEY_SIZE], end[KEY_SIZE];

	snprintf(first, sizeof(first), "%shead", loop->settings->store_prefix);
	snprintf(end, sizeof(end), "%sinstances0",
		 loop->settings->store_prefix);
	return store->ops->wait(store, first, end, loop->revision + 1, wait_ms);
}

static void record_reachability(struct cm_store_loop *loop, int error)
{
	bool is_reachable = error != CM_E_UNAVAILABLE && error != CM_E_TIMEOUT;

	if (is_reachable == loop->is_reachable)
		return;
	loop->is_reachable = is_reachable;
	cm_log(is_reachable ? CM_EVENT_STORE_REACHABLE :
			      CM_EVENT_STORE_UNREACHABLE,
	       "error=%s", cm_error_name(error));
}

static void count_calls(struct cm_store_loop *loop)
{
	uint64_t calls = cm_etcd_store_call_count(&loop->store);

	cm_counters_add_many(&loop->feed->node->counters, CM_C_STORE_CALLS,
			     calls - loop->counted_calls);
	loop->counted_calls = calls;
}

static void run_step(struct cm_store_loop *loop)
{
	struct cm_note_follower *follower = &loop->feed->follower;
	uint32_t wait_ms;
	enum cm_follow_step step =
		cm_note_follower_next_step(follower, cm_clock_ms(), &wait_ms);
	int error;

	if (step == CM_FOLLOW_SLEEP) {
		cm_clock_sleep_ms(wait_ms);
		return;
	}
	error = step == CM_FOLLOW_READ ? read_store(loop) :
					 watch_store(loop, wait_ms);
	count_calls(loop);
	cm_note_follower_step_done(follower, cm_clock_ms(), step, error);
	if (step == CM_FOLLOW_WATCH && error == CM_E_TIMEOUT)
		return;
	if (error && error != CM_E_COMPACTED)
		cm_counters_add(&loop->feed->node->counters,
				CM_C_STORE_RETRIES);
	record_reachability(loop, error);
}

static void *store_thread(void *user)
{
	struct cm_store_loop *loop = user;

	while (!ck_pr_load_32(&loop->stopping))
		run_step(loop);
	return NULL;
}

int cm_store_loop_init(struct cm_store_loop *loop, struct cm_note_feed *feed,
		       const struct cm_settings *settings,
		       cm_instances_handler handler, void *user)
{
	int error;

	memset(loop, 0, sizeof(*loop));
	loop->feed = feed;
	loop->settings = settings;
	loop->handler = handler;
	loop->user = user;
	error = cm_etcd_store_init(&loop->store, settings->store_url,
				   settings->store_timeout_ms);
	if (error)
		return error;
	loop->publication.store = &loop->store.base;
	loop->publication.prefix = settings->store_prefix;
	if (pthread_create(&loop->thread, NULL, store_thread, loop)) {
		cm_etcd_store_finish(&loop->store);
		return CM_E_MEMORY;
	}
	return CM_OK;
}

void cm_store_loop_finish(struct cm_store_loop *loop)
{
	ck_pr_store_32(&loop->stopping, 1);
	cm_etcd_store_interrupt(&loop->store);
	pthread_join(loop->thread, NULL);
	cm_etcd_store_finish(&loop->store);
}
