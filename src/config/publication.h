/**
 * DOC: Published release notes
 *
 * How release notes stand in the store: the key "head" names the newest
 * version, the keys "notes/" hold one note each and the keys "snapshots/" the
 * parts of a catalog snapshot. A note is accepted when the swap of the head
 * took effect, which also writes the note. The parts of a snapshot are written
 * before, one by one under a key of their publisher's own, and count once the
 * head names them. Notes and snapshots never change once written.
 */
#ifndef CONFIG_PUBLICATION_H
#define CONFIG_PUBLICATION_H

#include "catalog_json.h"
#include "chervilmast/view.h"
#include "ports/clock.h"
#include "ports/store.h"

/** Most bytes of a value in the store. */
#define CM_VALUE_MAX 1000000
/** Versions from one snapshot to the next. */
#define CM_SNAPSHOT_INTERVAL 64
/** Versions before the newest snapshot that are kept. */
#define CM_NOTE_RETENTION 256
/** Time in which the outcome of a publication is looked for, milliseconds. */
#define CM_RESOLVE_MS 10000

/**
 * struct cm_publication - the release notes in a store
 * @store: the store
 * @prefix: prefix of all keys
 * @timer: clock, for publishing only
 */
struct cm_publication {
	struct cm_store *store;
	const char *prefix;
	struct cm_timer *timer;
};

/**
 * struct cm_publication_head - what is newest
 * @version: newest version; 0 for none
 * @publication_id: its publication id
 * @snapshot: version of the newest snapshot; 0 for none
 * @snapshot_id: publication id of the note with which it was written
 * @revision: revision of the key "head"; 0 when it does not exist
 * @store_revision: revision of the store when the head was read
 */
struct cm_publication_head {
	uint64_t version;
	uint8_t publication_id[CM_PUBLICATION_ID_SIZE];
	uint64_t snapshot;
	uint8_t snapshot_id[CM_PUBLICATION_ID_SIZE];
	int64_t revision;
	int64_t store_revision;
};

/**
 * struct cm_publication_sink - is given what was read, by version
 * @head: the head, before anything else; may be NULL
 * @snapshot: a snapshot; takes over @catalog and @history on success
 * @note: a note, with its published text; both end with the call
 * @user: argument of all
 *
 * Each returns 0 to go on, or an error that ends the reading.
 */
struct cm_publication_sink {
	int (*head)(void *user, const struct cm_publication_head *head);
	int (*snapshot)(void *user, struct cm_catalog *catalog,
			struct cm_history *history);
	int (*note)(void *user, const struct cm_note *note, const char *text,
		    size_t size);
	void *user;
};

/**
 * cm_publication_read_head() - read what is newest
 * @publication: where
 * @head: set on success
 *
 * Return: 0 or an error of the store.
 */
int cm_publication_read_head(const struct cm_publication *publication,
			     struct cm_publication_head *head);

/**
 * cm_publication_read_after() - read what was published after a version
 * @publication: where
 * @version: the last version known; 0 for none
 * @sink: is given it
 * @head: set on success
 *
 * Without a version, or far behind, the newest snapshot comes first.
 *
 * Return: 0, CM_E_CONTRADICTION when the note of the newest version is not
 * the one that the head names, or an error of the store, of a text or of
 * @sink.
 */
int cm_publication_read_after(const struct cm_publication *publication,
			      uint64_t version,
			      const struct cm_publication_sink *sink,
			      struct cm_publication_head *head);

/**
 * cm_publication_read_view() - read the catalog and history in force
 * @publication: where
 * @view: memory of the caller; set on success, without members
 * @head: set on success
 *
 * Return: 0 or an error of cm_publication_read_after().
 */
int cm_publication_read_view(const struct cm_publication *publication,
			     struct cm_view *view,
			     struct cm_publication_head *head);

/**
 * cm_publication_read_id() - read the publication id of a version
 * @publication: where
 * @version: the version
 * @id: CM_PUBLICATION_ID_SIZE bytes, set on success
 *
 * Return: 0, CM_E_NOT_FOUND, or an error of the store or of the text.
 */
int cm_publication_read_id(const struct cm_publication *publication,
			   uint64_t version, uint8_t *id);

/**
 * cm_publication_publish() - publish a note
 * @publication: where
 * @note: the note; its version and time are set
 * @now_s: seconds since the epoch
 * @place: set to the refused line when the note does not fit; may be NULL
 *
 * The publication id of @note must be set, and new for each note. When an
 * answer is lost the same swap is repeated: either it takes effect, once, or
 * the note that stands at its version says who won.
 *
 * Return: 0 when the note was accepted, CM_E_CONFLICT when another one won,
 * CM_E_TOO_LARGE or an error of cm_catalog_apply() when it does not fit, an
 * error of the store when the head was not touched, or CM_E_OUTCOME_UNKNOWN
 * when after CM_RESOLVE_MS it still may or may not be accepted.
 */
int cm_publication_publish(const struct cm_publication *publication,
			   struct cm_note *note, uint64_t now_s,
			   struct cm_note_rejected_entry *place);

#endif
