/**
 * DOC: Catalog snapshots in JSON
 *
 * A snapshot holds the whole catalog at one version and the history of its
 * candidate sets, so that an instance need not apply every release note since
 * the first. It is split into parts, each of which is stored under its own key.
 * A part has the format of a published note that adds items, with the
 * additional keys "snapshot", "withdrawn" and "history".
 */
#ifndef CONFIG_CATALOG_JSON_H
#define CONFIG_CATALOG_JSON_H

#include "chervilmast/catalog.h"
#include "chervilmast/history.h"
#include "json_reader.h"

/** Maximum size of one part without the entries of "withdrawn", bytes. */
#define CM_SNAPSHOT_PART_SIZE_MAX 900000
/** Maximum number of parts of a snapshot. */
#define CM_SNAPSHOT_PARTS_MAX 8

/**
 * struct cm_snapshot_part - JSON text of one part of a snapshot
 * @text: the text, NUL-terminated
 * @size: length of @text without the NUL, bytes
 */
struct cm_snapshot_part {
	char *text;
	size_t size;
};

/**
 * struct cm_snapshot_parts - JSON texts of all parts of a snapshot
 * @items: the parts
 * @count: number of @items
 */
struct cm_snapshot_parts {
	struct cm_snapshot_part items[CM_SNAPSHOT_PARTS_MAX];
	uint32_t count;
};

/**
 * cm_snapshot_parts_finish() - free the texts of a snapshot
 * @parts: the parts; the structure itself is not freed
 */
void cm_snapshot_parts_finish(struct cm_snapshot_parts *parts);

/**
 * cm_catalog_write() - write a snapshot of a catalog as JSON
 * @catalog: the catalog
 * @history: the history that belongs to @catalog
 * @parts: set on success; empty on failure
 *
 * Return: 0, CM_E_TOO_LARGE if the snapshot needs more than
 * CM_SNAPSHOT_PARTS_MAX parts, or CM_E_MEMORY.
 */
int cm_catalog_write(const struct cm_catalog *catalog,
		     const struct cm_history *history,
		     struct cm_snapshot_parts *parts);

/**
 * cm_snapshot_is_part() - distinguish a snapshot part from a release note
 * @bytes: JSON text of either
 * @size: length of @bytes
 *
 * Return: true for a part of a snapshot.
 */
bool cm_snapshot_is_part(const void *bytes, size_t size);

/**
 * struct cm_snapshot_reader - assembles a snapshot from its parts
 * @note: note that adds the items of all parts read so far
 * @withdrawn: JSON object that maps "LIST/NAME" of a withdrawn item to the time
 *             of its withdrawal, seconds since the epoch
 * @history: JSON array of the history entries read so far
 * @next_part: index of the next part, from 0
 * @part_count: number of parts of the snapshot; 0 until the first part is read
 */
struct cm_snapshot_reader {
	struct cm_note note;
	json_t *withdrawn;
	json_t *history;
	uint32_t next_part;
	uint32_t part_count;
};

/**
 * cm_snapshot_reader_init() - initialize a reader without any part
 * @reader: uninitialized memory, owned by the calling function
 */
void cm_snapshot_reader_init(struct cm_snapshot_reader *reader);

/**
 * cm_snapshot_reader_finish() - free the contents of a reader
 * @reader: the reader; the structure itself is not freed
 */
void cm_snapshot_reader_finish(struct cm_snapshot_reader *reader);

/**
 * cm_snapshot_reader_add() - read the next part
 * @reader: the reader
 * @bytes: JSON text of the part
 * @size: length of @bytes
 * @error: set on failure
 *
 * Return: 0, CM_E_PROTOCOL if @bytes is not the next part of the same snapshot,
 * or a parse error, as in @error.
 */
int cm_snapshot_reader_add(struct cm_snapshot_reader *reader, const void *bytes,
			   size_t size, struct cm_json_error *error);

/**
 * cm_snapshot_reader_is_complete() - whether all parts have been read
 * @reader: the reader
 *
 * Return: true if so; false before the first part.
 */
bool cm_snapshot_reader_is_complete(const struct cm_snapshot_reader *reader);

/**
 * cm_snapshot_reader_build() - build the catalog and history of a snapshot
 * @reader: reader that has read all parts
 * @catalog: uninitialized memory, owned by the calling function; set on success
 * @history: uninitialized memory, owned by the calling function; set on success
 *
 * The items are checked like those of a release note.
 *
 * Return: 0, CM_E_PROTOCOL if a part is missing, an error of cm_catalog_apply()
 * or cm_history_append(), or a parse error.
 */
int cm_snapshot_reader_build(const struct cm_snapshot_reader *reader,
			     struct cm_catalog *catalog,
			     struct cm_history *history);

#endif
