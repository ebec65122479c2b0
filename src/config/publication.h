/**
 * DOC: Published release notes
 *
 * Layout of release notes in the store: the key "head" names the newest note
 * and the newest snapshot, each key below "notes/" holds one note, and each key
 * below "snapshots/" holds one part of a catalog snapshot.
 *
 * A note is published by a compare-and-swap of the head that also writes the
 * note. The parts of a snapshot are written before that, one at a time, under
 * keys that contain the publication id and so are unique to the publisher. They
 * are valid once the head refers to them. Notes and snapshots are immutable.
 */
#ifndef CONFIG_PUBLICATION_H
#define CONFIG_PUBLICATION_H

#include "catalog_json.h"
#include "chervilmast/view.h"
#include "ports/clock.h"
#include "ports/store.h"

/** Maximum size of a published note, bytes. */
#define CM_NOTE_TEXT_SIZE_MAX 1000000
/** Distance between two snapshots, versions. */
#define CM_SNAPSHOT_INTERVAL_VERSIONS 64
/** Age up to which notes and snapshots are kept, versions. */
#define CM_NOTE_RETENTION_VERSIONS 256
/** Time for which a publication retries the writes of the snapshot parts, and
 * then again the compare-and-swap, milliseconds. */
#define CM_PUBLISH_TIMEOUT_MS 10000

/**
 * struct cm_publication - location of the release notes
 * @store: the store
 * @prefix: prefix of all keys
 * @timer: clock; used by cm_publication_publish() only
 */
struct cm_publication {
	struct cm_store *store;
	const char *prefix;
	struct cm_timer *timer;
};

/**
 * struct cm_publication_head - newest note and snapshot
 * @version: version of the newest note; 0 if there is none
 * @publication_id: publication id of the newest note
 * @snapshot_version: version of the newest snapshot; 0 if there is none
 * @snapshot_id: publication id of the note whose publisher wrote the snapshot
 * @revision: store revision at which the key "head" last changed; 0 if the key
 *            does not exist
 * @store_revision: revision of the store when the head was read
 */
struct cm_publication_head {
	uint64_t version;
	uint8_t publication_id[CM_PUBLICATION_ID_SIZE];
	uint64_t snapshot_version;
	uint8_t snapshot_id[CM_PUBLICATION_ID_SIZE];
	int64_t revision;
	int64_t store_revision;
};

/**
 * struct cm_publication_sink - callbacks of cm_publication_read_after()
 * @head: called with the head before the other callbacks; may be NULL
 * @snapshot: called with a snapshot; takes ownership of the contents of
 *            @catalog and @history on success
 * @note: called for each note in the order of versions; @note and its JSON
 *        @text are valid during the call only
 * @user: first argument of all callbacks
 *
 * A callback returns 0, or an error that makes the read fail.
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
 * cm_publication_read_head() - read which note and snapshot are the newest
 * @publication: location of the notes
 * @head: set on success; zeroed except for the store revision if nothing has
 *        been published
 *
 * Return: 0, CM_E_PROTOCOL if the head is malformed, or an error of the store.
 */
int cm_publication_read_head(const struct cm_publication *publication,
			     struct cm_publication_head *head);

/**
 * cm_publication_read_after() - read what was published after a version
 * @publication: location of the notes
 * @version: version that the calling function already has; 0 for none
 * @sink: callbacks that receive the snapshot and notes
 * @head: set on success
 *
 * If @version is 0, or more than CM_SNAPSHOT_INTERVAL_VERSIONS versions behind
 * the head, the newest snapshot is read first if there is a newer one than
 * @version.
 *
 * Return: 0, CM_E_CONTRADICTION if the newest note has another publication id
 * than the head names, CM_E_PROTOCOL if notes or the snapshot are missing, or
 * an error of the store, of the parser or of a callback.
 */
int cm_publication_read_after(const struct cm_publication *publication,
			      uint64_t version,
			      const struct cm_publication_sink *sink,
			      struct cm_publication_head *head);

/**
 * cm_publication_read_view() - read the current catalog and history
 * @publication: location of the notes
 * @view: uninitialized memory, owned by the calling function; set on success,
 *        with an empty list of members
 * @head: set on success
 *
 * Return: 0 or an error of cm_publication_read_after().
 */
int cm_publication_read_view(const struct cm_publication *publication,
			     struct cm_view *view,
			     struct cm_publication_head *head);

/**
 * cm_publication_read_id() - read the publication id of a note
 * @publication: location of the notes
 * @version: version of the note
 * @id: CM_PUBLICATION_ID_SIZE bytes, set on success
 *
 * Return: 0, CM_E_NOT_FOUND, or an error of the store or of the parser.
 */
int cm_publication_read_id(const struct cm_publication *publication,
			   uint64_t version, uint8_t *id);

/**
 * cm_publication_publish() - publish a note
 * @publication: location of the notes
 * @note: the note; its version and publication time are set
 * @now_s: current time, seconds since the epoch
 * @rejected: set to the refused entry if the catalog refuses the note,
 *            otherwise zeroed; may be NULL
 *
 * The calling function sets the publication id of @note, a new one for each
 * note. If the answer of the store is lost, the same compare-and-swap is sent
 * again. It takes effect at most once; if it is refused, the publication id of
 * the note that is stored under this version shows which publication succeeded.
 *
 * Return: 0 if the note was published, CM_E_CONFLICT if another note was
 * published first, CM_E_TOO_LARGE, an error of cm_catalog_apply() if the
 * catalog refuses the note, an error of the store if the head was not written,
 * or CM_E_OUTCOME_UNKNOWN if after CM_PUBLISH_TIMEOUT_MS it is unknown whether
 * the note was published.
 */
int cm_publication_publish(const struct cm_publication *publication,
			   struct cm_note *note, uint64_t now_s,
			   struct cm_note_rejected_entry *rejected);

#endif
