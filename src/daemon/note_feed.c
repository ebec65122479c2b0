#include "note_feed.h"

#include <string.h>

#include "chervilmast/error.h"
#include "config/note_json.h"
#include "log.h"

/** Maximum number of notes in the answer to one request. */
#define NOTES_PER_REQUEST 64

static const enum cm_counter origin_counters[] = {
	[CM_NOTE_FROM_STORE] = CM_C_NOTES_FROM_STORE,
	[CM_NOTE_FROM_PEER] = CM_C_NOTES_FROM_PEERS,
};

static const char *const origin_names[] = {
	[CM_NOTE_FROM_STORE] = "store",
	[CM_NOTE_FROM_PEER] = "peer",
};

void cm_note_feed_init(struct cm_note_feed *feed, struct cm_node *node,
		       const struct cm_member *self, uint64_t now_ms)
{
	memset(feed, 0, sizeof(*feed));
	feed->node = node;
	feed->self = *self;
	cm_note_follower_init(&feed->follower, self, now_ms);
	cm_note_log_init(&feed->log);
	pthread_mutex_init(&feed->lock, NULL);
	cm_snapshot_reader_init(&feed->reader);
}

void cm_note_feed_finish(struct cm_note_feed *feed)
{
	cm_snapshot_parts_finish(&feed->served);
	cm_snapshot_reader_finish(&feed->reader);
	pthread_mutex_destroy(&feed->lock);
	cm_note_log_finish(&feed->log);
	cm_note_follower_finish(&feed->follower);
}

static void increment(struct cm_note_feed *feed, enum cm_counter counter)
{
	cm_counters_add(&feed->node->counters, counter);
}

static enum cm_counter refusal_counter(int error)
{
	switch (error) {
	case CM_E_STALE:
		return CM_C_REFUSED_NOTE_STALE;
	case CM_E_VERSION_GAP:
		return CM_C_REFUSED_NOTE_GAP;
	case CM_E_CONTRADICTION:
		return CM_C_REFUSED_NOTE_CONTRADICTION;
	default:
		return CM_C_REFUSED_NOTE_INVALID;
	}
}

static void report_outcome(struct cm_note_feed *feed, enum cm_log_event event,
			   enum cm_note_origin origin, uint64_t version,
			   const uint8_t *publication_id, int error)
{
	char id[CM_PUBLICATION_ID_TEXT_SIZE];

	cm_publication_id_write(publication_id, id);
	if (!error) {
		increment(feed, origin_counters[origin]);
		cm_log(event, "version=%llu publication_id=%s from=%s",
		       (unsigned long long)version, id, origin_names[origin]);
		return;
	}
	increment(feed, refusal_counter(error));
	if (error == CM_E_STALE || error == CM_E_VERSION_GAP)
		return;
	cm_log(error == CM_E_CONTRADICTION ? CM_EVENT_NOTE_CONTRADICTION :
					     CM_EVENT_NOTE_REFUSED,
	       "version=%llu publication_id=%s from=%s error=%s",
	       (unsigned long long)version, id, origin_names[origin],
	       cm_error_name(error));
}

/* Called with the lock held. */
static int apply_note(struct cm_note_feed *feed, uint64_t now_ms,
		      const struct cm_note *note, const char *text, size_t size)
{
	int error = cm_note_follower_check_note(&feed->follower, note->version,
						note->publication_id);

	if (!error)
		error = cm_node_apply_note(feed->node, now_ms, note);
	if (error)
		return error;
	cm_note_follower_set_version(&feed->follower, note->version,
				     note->publication_id);
	cm_note_log_add(&feed->log, note->version, text, size);
	return CM_OK;
}

int cm_note_feed_apply_note(struct cm_note_feed *feed, uint64_t now_ms,
			    enum cm_note_origin origin,
			    const struct cm_note *note, const char *text,
			    size_t size)
{
	int error;

	pthread_mutex_lock(&feed->lock);
	error = apply_note(feed, now_ms, note, text, size);
	pthread_mutex_unlock(&feed->lock);
	report_outcome(feed, CM_EVENT_NOTE_IN_FORCE, origin, note->version,
		       note->publication_id, error);
	return error;
}

/* Called with the lock held. */
static int apply_snapshot(struct cm_note_feed *feed, uint64_t now_ms,
			  struct cm_catalog *catalog,
			  struct cm_history *history)
{
	uint8_t id[CM_PUBLICATION_ID_SIZE];
	uint64_t version = catalog->version;
	int error = cm_note_follower_check_snapshot(&feed->follower, version,
						    catalog->publication_id);

	memcpy(id, catalog->publication_id, sizeof(id));
	if (!error)
		error = cm_node_apply_snapshot(feed->node, now_ms, catalog,
					       history);
	if (!error)
		cm_note_follower_set_version(&feed->follower, version, id);
	return error;
}

int cm_note_feed_apply_snapshot(struct cm_note_feed *feed, uint64_t now_ms,
				enum cm_note_origin origin,
				struct cm_catalog *catalog,
				struct cm_history *history)
{
	uint8_t id[CM_PUBLICATION_ID_SIZE];
	uint64_t version = catalog->version;
	int error;

	memcpy(id, catalog->publication_id, sizeof(id));
	pthread_mutex_lock(&feed->lock);
	error = apply_snapshot(feed, now_ms, catalog, history);
	pthread_mutex_unlock(&feed->lock);
	report_outcome(feed, CM_EVENT_SNAPSHOT_IN_FORCE, origin, version, id,
		       error);
	return error;
}

static int receive_note(struct cm_note_feed *feed, uint64_t now_ms,
			const struct cm_message_note *item)
{
	struct cm_json_error json_error;
	struct cm_note note;
	int error;

	cm_note_init(&note);
	error = cm_note_read_published(&note, item->bytes, item->size,
				       &json_error);
	if (error) {
		report_outcome(feed, CM_EVENT_NOTE_REFUSED, CM_NOTE_FROM_PEER,
			       0, note.publication_id, error);
		return error;
	}
	error = cm_note_feed_apply_note(feed, now_ms, CM_NOTE_FROM_PEER, &note,
					(const char *)item->bytes, item->size);
	cm_note_finish(&note);
	return error;
}

static void reset_reader(struct cm_note_feed *feed)
{
	cm_snapshot_reader_finish(&feed->reader);
	cm_snapshot_reader_init(&feed->reader);
}

/* Called with the lock held. */
static int read_part(struct cm_note_feed *feed,
		     const struct cm_message_note *item)
{
	struct cm_json_error json_error;
	int error = cm_snapshot_reader_add(&feed->reader, item->bytes,
					   item->size, &json_error);

	if (!error)
		return CM_OK;
	/* The part may be the first one of a newer snapshot. */
	reset_reader(feed);
	return cm_snapshot_reader_add(&feed->reader, item->bytes, item->size,
				      &json_error);
}

static int receive_part(struct cm_note_feed *feed, uint64_t now_ms,
			const struct cm_message_note *item)
{
	static const uint8_t no_id[CM_PUBLICATION_ID_SIZE];
	struct cm_catalog catalog;
	struct cm_history history;
	bool is_complete;
	int error;

	cm_catalog_init(&catalog);
	cm_history_init(&history);
	pthread_mutex_lock(&feed->lock);
	error = read_part(feed, item);
	is_complete = cm_snapshot_reader_is_complete(&feed->reader);
	if (!error && is_complete)
		error = cm_snapshot_reader_build(&feed->reader, &catalog,
						 &history);
	if (error || is_complete)
		reset_reader(feed);
	pthread_mutex_unlock(&feed->lock);
	if (error)
		report_outcome(feed, CM_EVENT_NOTE_REFUSED, CM_NOTE_FROM_PEER,
			       0, no_id, error);
	else if (is_complete)
		error = cm_note_feed_apply_snapshot(
			feed, now_ms, CM_NOTE_FROM_PEER, &catalog, &history);
	cm_catalog_finish(&catalog);
	cm_history_finish(&history);
	return error;
}

static void receive_notes(struct cm_note_feed *feed, uint64_t now_ms,
			  const struct cm_message *message)
{
	const struct cm_message_notes *notes = &message->notes;
	int error = CM_OK;

	for (uint32_t i = 0; i < notes->count && !error; i++) {
		const struct cm_message_note *item = &notes->items[i];

		error = cm_snapshot_is_part(item->bytes, item->size) ?
				receive_part(feed, now_ms, item) :
				receive_note(feed, now_ms, item);
		if (error == CM_E_STALE)
			error = CM_OK;
	}
	/* The publish command has no control address to request notes from. */
	if (message->sender_control_address.port)
		cm_note_follower_peer_answered(&feed->follower, now_ms,
					       &message->sender_control_address,
					       error ? 0 : notes->version);
}

/*
 * Replaces the served snapshot by one of the catalog that is in force. Called
 * with the lock held.
 */
static int refresh_served(struct cm_note_feed *feed)
{
	struct cm_snapshot_parts parts;
	struct cm_node *node = feed->node;
	const struct cm_view *view = &node->view;
	uint64_t version;
	int error;

	cm_slot_lock_read(&node->view_lock);
	version = view->catalog.version;
	error = cm_catalog_write(&view->catalog, &view->history, &parts);
	cm_slot_lock_end_read(&node->view_lock);
	if (error)
		return error;
	cm_snapshot_parts_finish(&feed->served);
	feed->served = parts;
	feed->served_version = version;
	return CM_OK;
}

/*
 * Puts the requested part of the served snapshot into the answer. If the
 * request names no part of that snapshot, makes a new snapshot and answers with
 * its first part. Called with the lock held.
 */
static int answer_part(struct cm_note_feed *feed,
		       const struct cm_message_notes_request *request,
		       struct cm_message_notes *notes)
{
	const struct cm_snapshot_part *part;
	uint32_t part_index = request->next_part;
	int error = CM_OK;

	if (!request->snapshot_version ||
	    request->snapshot_version != feed->served_version ||
	    part_index >= feed->served.count) {
		part_index = 0;
		error = refresh_served(feed);
	}
	if (error)
		return error;
	part = &feed->served.items[part_index];
	error = cm_message_notes_reserve(notes, 1);
	if (!error)
		error = cm_message_note_set(&notes->items[0], part->text,
					    part->size);
	return error;
}

static void set_sender(const struct cm_note_feed *feed,
		       struct cm_message *message)
{
	message->sender_data_address = feed->self.data_address;
	message->sender_control_address = feed->self.control_address;
	memcpy(message->sender_domain, feed->self.domain, CM_NAME_SIZE);
	message->sender_incarnation = feed->self.incarnation;
}

static bool answer_request(struct cm_note_feed *feed,
			   const struct cm_message_notes_request *request,
			   struct cm_message *answer)
{
	int error = CM_OK;

	cm_message_init(answer, CM_MESSAGE_NOTES);
	set_sender(feed, answer);
	answer->notes.version = cm_node_version(feed->node);
	if (answer->notes.version <= request->after_version)
		return true;
	error = cm_note_log_collect(&feed->log, request->after_version,
				    request->limit, &answer->notes);
	if (!error) {
		increment(feed, CM_C_NOTES_SERVED);
		return true;
	}
	pthread_mutex_lock(&feed->lock);
	error = answer_part(feed, request, &answer->notes);
	pthread_mutex_unlock(&feed->lock);
	if (error) {
		cm_message_finish(answer);
		return false;
	}
	increment(feed, CM_C_SNAPSHOTS_SERVED);
	return true;
}

bool cm_note_feed_receive(struct cm_note_feed *feed, uint64_t now_ms,
			  const struct cm_message *message,
			  struct cm_message *answer)
{
	switch (message->kind) {
	case CM_MESSAGE_HEARTBEAT:
	case CM_MESSAGE_HEARTBEAT_ACK:
		cm_note_follower_add_source(&feed->follower,
					    &message->sender_control_address,
					    message->heartbeat.version);
		return false;
	case CM_MESSAGE_NOTES_REQUEST:
		return answer_request(feed, &message->notes_request, answer);
	case CM_MESSAGE_NOTES:
		receive_notes(feed, now_ms, message);
		return false;
	default:
		return false;
	}
}

void cm_note_feed_tick(struct cm_note_feed *feed, uint64_t now_ms,
		       struct cm_peers *peers)
{
	struct cm_endpoint control;
	struct cm_message request;

	if (!cm_note_follower_next_request(&feed->follower, now_ms, &control))
		return;
	cm_message_init(&request, CM_MESSAGE_NOTES_REQUEST);
	set_sender(feed, &request);
	request.notes_request.after_version = cm_node_version(feed->node);
	request.notes_request.limit = NOTES_PER_REQUEST;
	pthread_mutex_lock(&feed->lock);
	if (feed->reader.part_count) {
		request.notes_request.snapshot_version =
			feed->reader.note.version;
		request.notes_request.next_part = feed->reader.next_part;
	}
	pthread_mutex_unlock(&feed->lock);
	peers->ops->send(peers, &control, &request);
	increment(feed, CM_C_NOTES_ASKED);
	cm_message_finish(&request);
}
