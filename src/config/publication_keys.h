/**
 * DOC: Store keys of release notes and snapshots
 */
#ifndef CONFIG_PUBLICATION_KEYS_H
#define CONFIG_PUBLICATION_KEYS_H

#include "publication.h"

/** Maximum size of a store key including its NUL, bytes. */
#define CM_STORE_KEY_SIZE 192

/**
 * cm_key_head() - key of the head
 * @publication: location of the notes
 * @key: buffer of CM_STORE_KEY_SIZE bytes
 */
void cm_key_head(const struct cm_publication *publication, char *key);

/**
 * cm_key_note() - key of a release note
 * @publication: location of the notes
 * @version: version of the note
 * @key: buffer of CM_STORE_KEY_SIZE bytes
 *
 * Keys of notes sort by version.
 */
void cm_key_note(const struct cm_publication *publication, uint64_t version,
		 char *key);

/**
 * cm_key_snapshots() - prefix of the keys of all snapshots of a version
 * @publication: location of the notes
 * @version: version of the snapshots
 * @key: buffer of CM_STORE_KEY_SIZE bytes
 *
 * Several publishers may write a snapshot of one version.
 */
void cm_key_snapshots(const struct cm_publication *publication,
		      uint64_t version, char *key);

/**
 * cm_key_snapshot() - key of a part of a snapshot
 * @publication: location of the notes
 * @version: version of the snapshot
 * @id: publication id of the note whose publisher wrote the snapshot
 * @part: index of the part, or CM_SNAPSHOT_PARTS_MAX for the end of the range
 * @key: buffer of CM_STORE_KEY_SIZE bytes
 *
 * Keys of parts sort by @part.
 */
void cm_key_snapshot(const struct cm_publication *publication, uint64_t version,
		     const uint8_t *id, uint32_t part, char *key);

#endif
