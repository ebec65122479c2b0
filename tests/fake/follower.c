#include "fake/follower.h"

#include <string.h>

#include "chervilmast/error.h"

/* Number of calls to the store in a read step, which reads the head, the notes
 * and the list of instances. */
#define READ_CALLS 3

void fake_follower_init(struct fake_follower *follower, struct cm_node *node,
			const struct cm_member *self, struct fake_store *store,
			uint64_t now_ms)
{
	memset(follower, 0, sizeof(*follower));
	follower->node = node;
	follower->store = store;
	follower->publication.store = &store->base;
	follower->publication.prefix = FAKE_PREFIX;
	cm_note_feed_init(&follower->feed, node, self, now_ms);
}

void fake_follower_finish(struct fake_follower *follower)
{
	cm_note_feed_finish(&follower->feed);
}

static int apply_head(void *user, const struct cm_publication_head *head)
{
	struct fake_follower *follower = user;

	return cm_note_follower_set_store_version(
		&follower->feed.follower, head->version, head->publication_id);
}

static int apply_snapshot(void *user, struct cm_catalog *catalog,
			  struct cm_history *history)
{
	struct fake_follower *follower = user;

	return cm_note_feed_apply_snapshot(&follower->feed, follower->now_ms,
					   CM_NOTE_FROM_STORE, catalog,
					   history);
}

static int apply_note(void *user, const struct cm_note *note, const char *text,
		      size_t size)
{
	struct fake_follower *follower = user;
	int error =
		cm_note_feed_apply_note(&follower->feed, follower->now_ms,
					CM_NOTE_FROM_STORE, note, text, size);

	return error == CM_E_STALE ? CM_OK : error;
}

static int read_store(struct fake_follower *follower)
{
	const struct cm_publication_sink sink = {
		.head = apply_head,
		.snapshot = apply_snapshot,
		.note = apply_note,
		.user = follower,
	};
	struct cm_publication_head head;
	int error = cm_publication_read_after(&follower->publication,
					      cm_node_version(follower->node),
					      &sink, &head);

	/* The list of instances is not simulated; only its call is counted. */
	follower->store->calls++;
	if (!error)
		follower->revision = head.store_revision;
	return error;
}

static void begin_step(struct fake_follower *follower, uint32_t call_ms)
{
	uint32_t wait_ms;

	follower->step = cm_note_follower_next_step(&follower->feed.follower,
						    follower->now_ms, &wait_ms);
	follower->until_ms = follower->now_ms + wait_ms;
	if (follower->step == CM_FOLLOW_READ)
		follower->until_ms = follower->now_ms + READ_CALLS * call_ms;
	if (follower->step == CM_FOLLOW_WATCH)
		follower->store->calls++;
}

static void end_step(struct fake_follower *follower, int error)
{
	enum cm_follow_step step = follower->step;

	follower->step = CM_FOLLOW_SLEEP;
	follower->until_ms = 0;
	cm_note_follower_step_done(&follower->feed.follower, follower->now_ms,
				   step, error);
}

static void run_step(struct fake_follower *follower, uint32_t call_ms)
{
	const struct fake_store *store = follower->store;
	bool is_due = follower->now_ms >= follower->until_ms;

	if (follower->step == CM_FOLLOW_SLEEP && is_due)
		begin_step(follower, call_ms);
	else if (follower->step == CM_FOLLOW_READ && is_due)
		end_step(follower, read_store(follower));
	else if (follower->step != CM_FOLLOW_WATCH)
		return;
	else if (store->fault != FAKE_FAULT_NONE)
		end_step(follower, CM_E_UNAVAILABLE);
	else if (store->service->kv.revision > follower->revision)
		end_step(follower, CM_OK);
	else if (is_due)
		end_step(follower, CM_E_TIMEOUT);
}

bool fake_follower_run(struct fake_follower *follower, uint64_t now_ms,
		       uint32_t call_ms)
{
	uint64_t before = follower->version;

	follower->now_ms = now_ms;
	run_step(follower, call_ms);
	follower->version = cm_node_version(follower->node);
	return follower->version >= before;
}

void fake_follower_heartbeat(struct fake_follower *follower,
			     struct cm_message *message,
			     enum cm_message_kind kind)
{
	const struct cm_member *self = &follower->feed.self;

	cm_message_init(message, kind);
	message->sender_data_address = self->data_address;
	message->sender_control_address = self->control_address;
	message->heartbeat.version = cm_node_publication(
		follower->node, message->heartbeat.publication_id);
}
