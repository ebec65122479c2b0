#include "publication.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "core/test_switch.h"
#include "note_json.h"
#include "publication_keys.h"

/*
 * Delay before the first retry; doubled for each further one until it reaches
 * RETRY_DELAY_MAX_MS.
 */
#define RETRY_DELAY_FIRST_MS 50
#define RETRY_DELAY_MAX_MS 800
#define HEAD_VALUE_SIZE 256
/* One put of the head and one of the note. */
#define PUTS_MAX 2

/**
 * struct draft - a note that is being published
 * @publication: location of the notes
 * @note: the note
 * @head: the current head, which the note supersedes
 * @text: JSON text of the note
 * @parts: snapshot of the catalog at the version of @head, if one is due
 * @head_key: store key of the head
 * @note_key: store key of the note
 * @head_value: new value of the head
 * @puts: writes of the compare-and-swap
 * @put_count: number of @puts
 * @parts_written: number of @parts that have been written
 */
struct draft {
	const struct cm_publication *publication;
	struct cm_note *note;
	struct cm_publication_head head;
	char *text;
	struct cm_snapshot_parts parts;
	char head_key[CM_STORE_KEY_SIZE];
	char note_key[CM_STORE_KEY_SIZE];
	char head_value[HEAD_VALUE_SIZE];
	struct cm_store_put puts[PUTS_MAX];
	size_t put_count;
	uint32_t parts_written;
};

static void draft_finish(struct draft *draft)
{
	free(draft->text);
	cm_snapshot_parts_finish(&draft->parts);
}

static void draft_add_put(struct draft *draft, const char *key,
			  const char *value, size_t size)
{
	draft->puts[draft->put_count++] =
		(struct cm_store_put){ key, value, size };
}

static void draft_write_head(struct draft *draft)
{
	const struct cm_note *note = draft->note;
	bool has_new_snapshot = draft->parts.count > 0;
	uint64_t snapshot = has_new_snapshot ? draft->head.version :
					       draft->head.snapshot_version;
	char id[CM_PUBLICATION_ID_TEXT_SIZE];
	char snapshot_id[CM_PUBLICATION_ID_TEXT_SIZE];

	cm_publication_id_write(note->publication_id, id);
	cm_publication_id_write(has_new_snapshot ? note->publication_id :
						   draft->head.snapshot_id,
				snapshot_id);
	snprintf(draft->head_value, HEAD_VALUE_SIZE,
		 "{\"version\":%llu,\"publication_id\":\"%s\","
		 "\"snapshot\":%llu,\"snapshot_id\":\"%s\"}",
		 (unsigned long long)note->version, id,
		 (unsigned long long)snapshot, snapshot_id);
	cm_key_head(draft->publication, draft->head_key);
	draft_add_put(draft, draft->head_key, draft->head_value,
		      strlen(draft->head_value));
}

static int draft_write(struct draft *draft, const struct cm_view *view)
{
	const struct cm_note *note = draft->note;
	size_t size;
	int error = CM_OK;

	draft->text = cm_note_write_published(note);
	if (!draft->text)
		return CM_E_MEMORY;
	size = strlen(draft->text);
	if (size > CM_NOTE_TEXT_SIZE_MAX)
		return CM_E_TOO_LARGE;
	if (note->version % CM_SNAPSHOT_INTERVAL_VERSIONS == 0)
		error = cm_catalog_write(&view->catalog, &view->history,
					 &draft->parts);
	if (error)
		return error;
	draft_write_head(draft);
	cm_key_note(draft->publication, note->version, draft->note_key);
	draft_add_put(draft, draft->note_key, draft->text, size);
	return CM_OK;
}

/*
 * Gives the note the next version, checks it against the current catalog before
 * anything is written, and encodes what is to be written. A note that is
 * refused is applied a second time to set @rejected, which cm_view_apply_note()
 * does not return.
 */
static int draft_prepare(struct draft *draft,
			 struct cm_note_rejected_entry *rejected)
{
	struct cm_note *note = draft->note;
	struct cm_view view, next;
	struct cm_catalog unused;
	int error = cm_publication_read_view(draft->publication, &view,
					     &draft->head);

	if (error)
		return error;
	note->version = draft->head.version + 1;
	if (view.catalog.version != draft->head.version)
		error = CM_E_CONFLICT;
	else
		error = cm_view_apply_note(&next, &view, note);
	if (!error) {
		error = draft_write(draft, &view);
		cm_view_finish(&next);
	} else if (rejected && error != CM_E_CONFLICT &&
		   !cm_catalog_apply(&unused, &view.catalog, note, rejected)) {
		cm_catalog_finish(&unused);
	}
	cm_view_finish(&view);
	return error;
}

/*
 * Revision of the head that the compare-and-swap expects. With the test switch
 * CM_SWITCH_SWAP_REVISION it is the current revision, so that the swap does not
 * detect another publication since the head was read.
 */
static uint64_t draft_expected_revision(const struct draft *draft)
{
	struct cm_publication_head now;

	if (cm_switched_off(CM_SWITCH_SWAP_REVISION) &&
	    !cm_publication_read_head(draft->publication, &now))
		return now.revision;
	return draft->head.revision;
}

static int draft_swap(const struct draft *draft)
{
	struct cm_store *store = draft->publication->store;

	return store->ops->swap(store, draft->head_key,
				draft_expected_revision(draft), draft->puts,
				draft->put_count);
}

/*
 * The head was changed either by another publication or by an earlier attempt
 * of this publication whose answer was lost. The publication id of the note
 * that is stored under this version distinguishes the two.
 */
static int draft_resolve_conflict(const struct draft *draft)
{
	uint8_t id[CM_PUBLICATION_ID_SIZE];
	int error = cm_publication_read_id(draft->publication,
					   draft->note->version, id);

	if (error)
		return CM_E_OUTCOME_UNKNOWN;
	return memcmp(id, draft->note->publication_id, CM_PUBLICATION_ID_SIZE) ?
		       CM_E_CONFLICT :
		       CM_OK;
}

static int draft_put_note(struct draft *draft)
{
	int error = draft_swap(draft);

	if (error == CM_E_CONFLICT && !cm_switched_off(CM_SWITCH_ID_CHECK))
		return draft_resolve_conflict(draft);
	if (error && error != CM_E_CONFLICT)
		return CM_E_OUTCOME_UNKNOWN;
	return error;
}

/*
 * The key contains the publication id, so a conflict means that an earlier
 * attempt has written the part.
 */
static int draft_put_part(const struct draft *draft, uint32_t part_index)
{
	const struct cm_publication *publication = draft->publication;
	const struct cm_snapshot_part *part = &draft->parts.items[part_index];
	struct cm_store *store = publication->store;
	char key[CM_STORE_KEY_SIZE];
	struct cm_store_put put = { key, part->text, part->size };
	int error;

	cm_key_snapshot(publication, draft->head.version,
			draft->note->publication_id, part_index, key);
	error = store->ops->swap(store, key, 0, &put, 1);
	return error == CM_E_CONFLICT ? CM_OK : error;
}

/* Continues with the first part that has not been written. */
static int draft_put_parts(struct draft *draft)
{
	int error = CM_OK;

	while (draft->parts_written < draft->parts.count && !error) {
		error = draft_put_part(draft, draft->parts_written);
		draft->parts_written += !error;
	}
	return error;
}

/*
 * Retries @step until it succeeds, CM_PUBLISH_TIMEOUT_MS have passed, or it
 * fails with CM_E_CONFLICT or CM_E_MEMORY.
 */
static int draft_retry(struct draft *draft, int (*step)(struct draft *draft))
{
	struct cm_timer *timer = draft->publication->timer;
	uint64_t end_ms = timer->now_ms(timer) + CM_PUBLISH_TIMEOUT_MS;
	uint32_t wait_ms = RETRY_DELAY_FIRST_MS;
	int error = step(draft);

	while (error && error != CM_E_CONFLICT && error != CM_E_MEMORY &&
	       timer->now_ms(timer) < end_ms) {
		timer->sleep_ms(timer, wait_ms);
		if (wait_ms < RETRY_DELAY_MAX_MS)
			wait_ms *= 2;
		error = step(draft);
	}
	return error;
}

/*
 * A compare-and-swap whose answer is lost may still take effect later. Each
 * retry expects the same revision of the head, so at most one attempt takes
 * effect, and after one has been refused, no other attempt can.
 */
static int draft_commit(struct draft *draft)
{
	int error = draft_retry(draft, draft_put_parts);

	return error ? error : draft_retry(draft, draft_put_note);
}

/*
 * If the publication wrote a snapshot, deletes the notes and snapshots that are
 * more than CM_NOTE_RETENTION_VERSIONS versions older than the note. A failure
 * is ignored, as the next publication with a snapshot deletes them.
 */
static void erase_expired(const struct draft *draft)
{
	const struct cm_publication *publication = draft->publication;
	struct cm_store *store = publication->store;
	char first[CM_STORE_KEY_SIZE], end[CM_STORE_KEY_SIZE];
	uint64_t version = draft->note->version;

	if (!draft->parts.count || version <= CM_NOTE_RETENTION_VERSIONS)
		return;
	cm_key_note(publication, 0, first);
	cm_key_note(publication, version - CM_NOTE_RETENTION_VERSIONS, end);
	store->ops->erase(store, first, end);
	cm_key_snapshots(publication, 0, first);
	cm_key_snapshots(publication, version - CM_NOTE_RETENTION_VERSIONS,
			 end);
	store->ops->erase(store, first, end);
}

int cm_publication_publish(const struct cm_publication *publication,
			   struct cm_note *note, uint64_t now_s,
			   struct cm_note_rejected_entry *rejected)
{
	struct draft draft = { .publication = publication, .note = note };
	int error;

	if (rejected)
		memset(rejected, 0, sizeof(*rejected));
	note->published_at_s = now_s;
	error = draft_prepare(&draft, rejected);
	if (!error)
		error = draft_commit(&draft);
	if (!error)
		erase_expired(&draft);
	draft_finish(&draft);
	return error;
}
