/**
 * DOC: Copy of the registry's items
 *
 * The items that an instance has received from the registry, each with its
 * revision. The instance serves the changes since a given revision to other
 * instances from this copy, so that few instances have to query the registry.
 * Deleted items are kept as tombstones for a while, as their deletion has to be
 * served too. The revision of an item only increases: a change with an older
 * one is ignored. An item that is written again with the same value gets the
 * new revision and is served again, as a receiver may have missed a change in
 * between, but it is not reported as a change at this instance.
 *
 * Revisions are positions (position.h). After the first snapshot of a later
 * era, all items have positions of that era, and no changes since an earlier
 * position are served.
 */
#ifndef CHERVILMAST_ITEM_LOG_H
#define CHERVILMAST_ITEM_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/** Number of hash buckets; a power of two. */
#define CM_ITEM_BUCKETS 4096

/**
 * struct cm_item - an item of the registry
 * @key: its key, NUL-terminated
 * @value: its value; NULL for a tombstone
 * @size: size of @value, bytes
 * @revision: revision of the registry at its last change
 * @is_deleted: the item is a tombstone
 * @deleted_ms: when this instance received the deletion, ms
 * @is_in_snapshot: the snapshot that is being received, or was received last,
 *                  contains the item
 * @bucket: link in its hash bucket
 * @link: link in the list of all items
 */
struct cm_item {
	char *key;
	char *value;
	size_t size;
	uint64_t revision;
	bool is_deleted;
	uint64_t deleted_ms;
	bool is_in_snapshot;
	LIST_ENTRY(cm_item) bucket;
	TAILQ_ENTRY(cm_item) link;
};

LIST_HEAD(cm_item_bucket, cm_item);
TAILQ_HEAD(cm_item_list, cm_item);

/**
 * struct cm_item_log - a copy of the registry
 * @buckets: the items by their keys
 * @all: the items by revision; within a revision, in order of arrival
 * @count: number of items in @all
 * @revision: all changes up to this revision are in the copy; 0 at first
 * @complete_since: every change after this revision, up to @revision, is in the
 *                  copy; tombstones of earlier deletions may be missing
 * @is_receiving_snapshot: a snapshot is being received, so @all may be unsorted
 */
struct cm_item_log {
	struct cm_item_bucket buckets[CM_ITEM_BUCKETS];
	struct cm_item_list all;
	uint32_t count;
	uint64_t revision;
	uint64_t complete_since;
	bool is_receiving_snapshot;
};

/** Called for each item; the item is valid until the call returns. */
typedef void (*cm_item_handler)(void *user, const struct cm_item *item);

/**
 * cm_item_log_init() - initialize an empty copy
 * @log: uninitialized memory, owned by the calling function
 */
void cm_item_log_init(struct cm_item_log *log);

/**
 * cm_item_log_finish() - free all items
 * @log: the copy; the struct itself is not freed
 */
void cm_item_log_finish(struct cm_item_log *log);

/**
 * cm_item_log_find() - look up an item
 * @log: the copy
 * @key: its key
 *
 * Return: the item, which may be a tombstone, or NULL. It is owned by the copy.
 */
const struct cm_item *cm_item_log_find(const struct cm_item_log *log,
				       const char *key);

/**
 * cm_item_log_put() - record the write of an item
 * @log: the copy
 * @key: its key
 * @value: its value; copied
 * @size: size of @value, bytes
 * @revision: revision of the registry at the write
 *
 * Return: the item; NULL when the copy has a change of this or a later
 * revision, when the value is unchanged, or when out of memory.
 */
const struct cm_item *cm_item_log_put(struct cm_item_log *log, const char *key,
				      const char *value, size_t size,
				      uint64_t revision);

/**
 * cm_item_log_remove() - record the deletion of an item
 * @log: the copy
 * @key: its key
 * @revision: revision of the registry at the deletion
 * @now_ms: current time, ms
 *
 * Return: the tombstone; NULL when the item does not exist, or when the copy
 * has a change of this or a later revision.
 */
const struct cm_item *cm_item_log_remove(struct cm_item_log *log,
					 const char *key, uint64_t revision,
					 uint64_t now_ms);

/**
 * cm_item_log_begin_snapshot() - begin to receive a snapshot
 * @log: the copy
 */
void cm_item_log_begin_snapshot(struct cm_item_log *log);

/**
 * cm_item_log_keep() - record that the snapshot contains an item, unchanged
 * @log: the copy
 * @key: its key; need not exist
 */
void cm_item_log_keep(struct cm_item_log *log, const char *key);

/**
 * cm_item_log_keep_prefix() - record that the snapshot contains all items whose
 * keys have a prefix, unchanged
 * @log: the copy
 * @prefix: the prefix
 */
void cm_item_log_keep_prefix(struct cm_item_log *log, const char *prefix);

/**
 * cm_item_log_end_snapshot() - end a snapshot and delete the items it does not
 * contain
 * @log: the copy
 * @revision: revision of the registry in the snapshot
 * @now_ms: current time, ms
 * @handler: called for each item that is deleted
 * @user: passed to @handler
 *
 * An item that changed after @revision stays as it is. If @revision is of a
 * later era than the copy, items of earlier eras that are kept get @revision:
 * their positions refer to a history that the store no longer has.
 */
void cm_item_log_end_snapshot(struct cm_item_log *log, uint64_t revision,
			      uint64_t now_ms, cm_item_handler handler,
			      void *user);

/**
 * cm_item_log_cancel_snapshot() - end an incomplete snapshot without deleting
 * items
 * @log: the copy; need not be receiving a snapshot
 */
void cm_item_log_cancel_snapshot(struct cm_item_log *log);

/**
 * cm_item_log_advance() - record that all changes up to a revision are present
 * @log: the copy
 * @revision: the revision
 */
void cm_item_log_advance(struct cm_item_log *log, uint64_t revision);

/**
 * cm_item_log_has_changes_since() - whether all changes since a revision are
 * present
 * @log: the copy
 * @revision: the revision
 *
 * Return: false when a full snapshot has to be served instead.
 */
bool cm_item_log_has_changes_since(const struct cm_item_log *log,
				   uint64_t revision);

/**
 * cm_item_log_read_changes_since() - read the changes since a revision, in
 * parts
 * @log: the copy; not receiving a snapshot
 * @after: revision to read from, exclusive; 0 for all items but tombstones
 * @max_items: number of items after which the part ends, at the end of a
 *             revision
 * @handler: called for each item
 * @user: passed to @handler
 *
 * Return: revision up to which all changes were read: that of the copy, or a
 * lower one from which to continue.
 */
uint64_t cm_item_log_read_changes_since(const struct cm_item_log *log,
					uint64_t after, uint32_t max_items,
					cm_item_handler handler, void *user);

/**
 * cm_item_log_free_tombstones() - free old tombstones
 * @log: the copy
 * @before_ms: tombstones of deletions received before this time are freed
 */
void cm_item_log_free_tombstones(struct cm_item_log *log, uint64_t before_ms);

#endif
