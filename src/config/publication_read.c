#include "publication.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"
#include "note_json.h"
#include "publication_keys.h"

/*
 * Notes per range request. Eight notes of maximum size, in base64, fit the HTTP
 * client's limit of 16 MiB for an answer.
 */
#define NOTES_PER_READ 8
/*
 * Maximum number of attempts of a read. An attempt fails with
 * CM_E_NOT_FOUND if, after it has read the head, a publisher deletes the
 * snapshot or the notes to be read next.
 */
#define READ_ATTEMPTS_MAX 3

void cm_key_head(const struct cm_publication *publication, char *key)
{
	snprintf(key, CM_STORE_KEY_SIZE, "%shead", publication->prefix);
}

void cm_key_note(const struct cm_publication *publication, uint64_t version,
		 char *key)
{
	snprintf(key, CM_STORE_KEY_SIZE, "%snotes/%016llx", publication->prefix,
		 (unsigned long long)version);
}

void cm_key_snapshots(const struct cm_publication *publication,
		      uint64_t version, char *key)
{
	snprintf(key, CM_STORE_KEY_SIZE, "%ssnapshots/%016llx/",
		 publication->prefix, (unsigned long long)version);
}

void cm_key_snapshot(const struct cm_publication *publication, uint64_t version,
		     const uint8_t *id, uint32_t part, char *key)
{
	char text[CM_PUBLICATION_ID_TEXT_SIZE];

	cm_publication_id_write(id, text);
	snprintf(key, CM_STORE_KEY_SIZE, "%ssnapshots/%016llx/%s/%04x",
		 publication->prefix, (unsigned long long)version, text, part);
}

static int head_parse(struct cm_publication_head *head,
		      const struct cm_store_item *item)
{
	json_t *root = json_loadb(item->value, item->size, 0, NULL);
	const char *id =
		json_string_value(json_object_get(root, "publication_id"));
	json_int_t version =
		json_integer_value(json_object_get(root, "version"));
	json_int_t snapshot =
		json_integer_value(json_object_get(root, "snapshot"));
	const char *snapshot_id =
		json_string_value(json_object_get(root, "snapshot_id"));
	int error = CM_E_PROTOCOL;

	if (id && snapshot_id && version > 0 && snapshot >= 0 &&
	    snapshot <= version &&
	    !cm_publication_id_read(head->publication_id, id) &&
	    !cm_publication_id_read(head->snapshot_id, snapshot_id)) {
		head->version = (uint64_t)version;
		head->snapshot_version = (uint64_t)snapshot;
		head->revision = item->revision;
		error = CM_OK;
	}
	json_decref(root);
	return error;
}

int cm_publication_read_head(const struct cm_publication *publication,
			     struct cm_publication_head *head)
{
	struct cm_store *store = publication->store;
	struct cm_store_items items;
	char key[CM_STORE_KEY_SIZE];
	int error;

	memset(head, 0, sizeof(*head));
	cm_key_head(publication, key);
	error = store->ops->range(store, key, NULL, &items);
	if (error)
		return error;
	head->store_revision = items.revision;
	if (items.count)
		error = head_parse(head, &items.items[0]);
	cm_store_items_finish(&items);
	return error;
}

/**
 * struct read_state - state of cm_publication_read_after()
 * @publication: location of the notes
 * @sink: callbacks that receive the snapshot and notes
 * @head: the head
 * @version: version up to which @sink has received everything
 */
struct read_state {
	const struct cm_publication *publication;
	const struct cm_publication_sink *sink;
	struct cm_publication_head head;
	uint64_t version;
};

static int deliver_note(struct read_state *state, const struct cm_note *note,
			const struct cm_store_item *item)
{
	const struct cm_publication_head *head = &state->head;
	int error;

	if (note->version != state->version + 1)
		return CM_E_PROTOCOL;
	if (note->version == head->version &&
	    memcmp(note->publication_id, head->publication_id,
		   CM_PUBLICATION_ID_SIZE) != 0)
		return CM_E_CONTRADICTION;
	error = state->sink->note(state->sink->user, note, item->value,
				  item->size);
	if (!error)
		state->version = note->version;
	return error;
}

static int deliver_item(struct read_state *state,
			const struct cm_store_item *item)
{
	struct cm_json_error json_error;
	struct cm_note note;
	int error;

	cm_note_init(&note);
	error = cm_note_read_published(&note, item->value, item->size,
				       &json_error);
	if (error)
		return error;
	error = deliver_note(state, &note, item);
	cm_note_finish(&note);
	return error;
}

/* Reads the next notes; @has_more is set to whether there may be more. */
static int read_notes(struct read_state *state, bool *has_more)
{
	struct cm_store *store = state->publication->store;
	char first[CM_STORE_KEY_SIZE], end[CM_STORE_KEY_SIZE];
	struct cm_store_items items;
	int error;

	cm_key_note(state->publication, state->version + 1, first);
	cm_key_note(state->publication, state->version + 1 + NOTES_PER_READ,
		    end);
	error = store->ops->range(store, first, end, &items);
	if (error)
		return error;
	*has_more = items.count == NOTES_PER_READ;
	for (size_t i = 0; i < items.count && !error; i++)
		error = deliver_item(state, &items.items[i]);
	cm_store_items_finish(&items);
	if (!error && !*has_more && state->version < state->head.version)
		error = CM_E_NOT_FOUND;
	return error;
}

static int deliver_snapshot(struct read_state *state,
			    const struct cm_snapshot_reader *reader)
{
	struct cm_catalog catalog;
	struct cm_history history;
	int error = cm_snapshot_reader_build(reader, &catalog, &history);

	if (error)
		return error;
	if (catalog.version != state->head.snapshot_version)
		error = CM_E_PROTOCOL;
	else
		error = state->sink->snapshot(state->sink->user, &catalog,
					      &history);
	if (!error)
		state->version = state->head.snapshot_version;
	cm_catalog_finish(&catalog);
	cm_history_finish(&history);
	return error;
}

static int read_snapshot(struct read_state *state)
{
	const struct cm_publication *publication = state->publication;
	struct cm_store *store = publication->store;
	struct cm_json_error json_error;
	struct cm_snapshot_reader reader;
	struct cm_store_items items;
	char first[CM_STORE_KEY_SIZE], end[CM_STORE_KEY_SIZE];
	int error;

	cm_key_snapshot(publication, state->head.snapshot_version,
			state->head.snapshot_id, 0, first);
	cm_key_snapshot(publication, state->head.snapshot_version,
			state->head.snapshot_id, CM_SNAPSHOT_PARTS_MAX, end);
	error = store->ops->range(store, first, end, &items);
	if (error)
		return error;
	cm_snapshot_reader_init(&reader);
	for (size_t i = 0; i < items.count && !error; i++)
		error = cm_snapshot_reader_add(&reader, items.items[i].value,
					       items.items[i].size,
					       &json_error);
	if (!error && !items.count)
		error = CM_E_NOT_FOUND;
	if (!error)
		error = deliver_snapshot(state, &reader);
	cm_snapshot_reader_finish(&reader);
	cm_store_items_finish(&items);
	return error;
}

static bool needs_snapshot(const struct read_state *state)
{
	const struct cm_publication_head *head = &state->head;

	return head->snapshot_version > state->version &&
	       (!state->version ||
		head->version - state->version > CM_SNAPSHOT_INTERVAL_VERSIONS);
}

static int read_attempt(struct read_state *state)
{
	const struct cm_publication_sink *sink = state->sink;
	int error = cm_publication_read_head(state->publication, &state->head);
	bool has_more = state->version < state->head.version;

	if (!error && sink->head)
		error = sink->head(sink->user, &state->head);
	if (!error && needs_snapshot(state)) {
		error = read_snapshot(state);
		has_more = state->version < state->head.version;
	}
	while (!error && has_more)
		error = read_notes(state, &has_more);
	return error;
}

int cm_publication_read_after(const struct cm_publication *publication,
			      uint64_t version,
			      const struct cm_publication_sink *sink,
			      struct cm_publication_head *head)
{
	struct read_state state = {
		.publication = publication,
		.sink = sink,
		.version = version,
	};
	int error = CM_E_NOT_FOUND;

	for (int i = 0; i < READ_ATTEMPTS_MAX && error == CM_E_NOT_FOUND; i++)
		error = read_attempt(&state);
	if (error == CM_E_NOT_FOUND)
		error = CM_E_PROTOCOL;
	if (!error)
		*head = state.head;
	return error;
}

static int view_on_snapshot(void *user, struct cm_catalog *catalog,
			    struct cm_history *history)
{
	struct cm_view *view = user;
	struct cm_view next;
	int error = cm_view_apply_snapshot(&next, view, catalog, history);

	if (error)
		return error;
	cm_view_finish(view);
	*view = next;
	return CM_OK;
}

static int view_on_note(void *user, const struct cm_note *note,
			const char *text, size_t size)
{
	struct cm_view *view = user;
	struct cm_view next;
	int error = cm_view_apply_note(&next, view, note);

	(void)text;
	(void)size;
	if (error)
		return error;
	cm_view_finish(view);
	*view = next;
	return CM_OK;
}

int cm_publication_read_view(const struct cm_publication *publication,
			     struct cm_view *view,
			     struct cm_publication_head *head)
{
	const struct cm_publication_sink sink = {
		.snapshot = view_on_snapshot,
		.note = view_on_note,
		.user = view,
	};
	int error;

	cm_view_init(view);
	error = cm_publication_read_after(publication, 0, &sink, head);
	if (error)
		cm_view_finish(view);
	return error;
}

int cm_publication_read_id(const struct cm_publication *publication,
			   uint64_t version, uint8_t *id)
{
	struct cm_store *store = publication->store;
	struct cm_json_error json_error;
	struct cm_store_items items;
	char key[CM_STORE_KEY_SIZE];
	struct cm_note note;
	int error;

	cm_key_note(publication, version, key);
	error = store->ops->range(store, key, NULL, &items);
	if (error)
		return error;
	cm_note_init(&note);
	error = items.count ?
			cm_note_read_published(&note, items.items[0].value,
					       items.items[0].size,
					       &json_error) :
			CM_E_NOT_FOUND;
	if (!error)
		memcpy(id, note.publication_id, CM_PUBLICATION_ID_SIZE);
	cm_note_finish(&note);
	cm_store_items_finish(&items);
	return error;
}
