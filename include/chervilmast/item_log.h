/**
 * DOC: Copy of the registry's items
 *
 * What a node has heard of the registry, item by item, with the revision of
 * each. From it a node tells another one what has changed since any revision,
 * so that few nodes have to ask the registry. Items that went are kept for a
 * while, since their going has to be told too. Revisions never go back: what is
 * older than the copy is refused. An item that is written as it was is handed
 * on with its new revision, since another node may have missed what was
 * between, but means nothing new to this one.
 */
#ifndef CHERVILMAST_ITEM_LOG_H
#define CHERVILMAST_ITEM_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/** Hash buckets of a copy; a power of two. */
#define CM_ITEM_BUCKETS 4096

/**
 * struct cm_item - an item of the registry
 * @key: its key, NUL-terminated
 * @value: its value; NULL when it went
 * @size: bytes of @value
 * @revision: revision of the registry at its last change
 * @is_gone: it went
 * @gone_ms: when this node heard that it went
 * @is_seen: the present snapshot has it
 * @bucket: link in its hash bucket
 * @link: link in the list of all
 */
struct cm_item {
	char *key;
	char *value;
	size_t size;
	uint64_t revision;
	bool is_gone;
	uint64_t gone_ms;
	bool is_seen;
	LIST_ENTRY(cm_item) bucket;
	TAILQ_ENTRY(cm_item) link;
};

LIST_HEAD(cm_item_bucket, cm_item);
TAILQ_HEAD(cm_item_list, cm_item);

/**
 * struct cm_item_log - a copy of the registry
 * @buckets: the items by their keys
 * @all: the items by revision; those of one revision as they came
 * @count: number of @all
 * @revision: all changes up to this revision are in the copy; 0 at first
 * @complete_since: changes after this revision can be told one by one; before
 *                  it, an item may have gone without a trace
 * @in_snapshot: a snapshot is being put; @all may be out of order
 */
struct cm_item_log {
	struct cm_item_bucket buckets[CM_ITEM_BUCKETS];
	struct cm_item_list all;
	uint32_t count;
	uint64_t revision;
	uint64_t complete_since;
	bool in_snapshot;
};

/** Called for an item that changed; it is valid until the call returns. */
typedef void (*cm_item_handler)(void *user, const struct cm_item *item);

/**
 * cm_item_log_init() - make an empty copy
 * @log: memory of the caller
 */
void cm_item_log_init(struct cm_item_log *log);

/**
 * cm_item_log_finish() - free all items
 * @log: the copy; its memory stays the caller's
 */
void cm_item_log_finish(struct cm_item_log *log);

/**
 * cm_item_log_find() - look for an item
 * @log: the copy
 * @key: its key
 *
 * Return: the item, which may have gone, or NULL.
 */
const struct cm_item *cm_item_log_find(const struct cm_item_log *log,
				       const char *key);

/**
 * cm_item_log_put() - an item was written
 * @log: the copy
 * @key: its key
 * @value: its value; copied
 * @size: bytes of @value
 * @revision: revision of the registry at that
 *
 * Return: the item; NULL when a change as late as this one is known, when the
 * value is what it was, or without memory.
 */
const struct cm_item *cm_item_log_put(struct cm_item_log *log, const char *key,
				      const char *value, size_t size,
				      uint64_t revision);

/**
 * cm_item_log_remove() - an item went
 * @log: the copy
 * @key: its key
 * @revision: revision of the registry at that
 * @now_ms: current time
 *
 * Return: the item; NULL when it was not there, or when a later change is
 * known.
 */
const struct cm_item *cm_item_log_remove(struct cm_item_log *log,
					 const char *key, uint64_t revision,
					 uint64_t now_ms);

/**
 * cm_item_log_begin() - all items of the registry are about to be put
 * @log: the copy
 */
void cm_item_log_begin(struct cm_item_log *log);

/**
 * cm_item_log_keep() - the snapshot has an item as it is
 * @log: the copy
 * @key: its key; need not be there
 */
void cm_item_log_keep(struct cm_item_log *log, const char *key);

/**
 * cm_item_log_end() - all items were put: the others have gone
 * @log: the copy
 * @revision: revision of the registry that the snapshot is of
 * @now_ms: current time
 * @handler: called for each item that has gone
 * @user: for @handler
 *
 * An item that changed after @revision is left as it is.
 */
void cm_item_log_end(struct cm_item_log *log, uint64_t revision,
		     uint64_t now_ms, cm_item_handler handler, void *user);

/**
 * cm_item_log_cancel() - a snapshot was not put to its end: nothing has gone
 * @log: the copy; need not be in a snapshot
 */
void cm_item_log_cancel(struct cm_item_log *log);

/**
 * cm_item_log_reached() - all changes up to a revision are in the copy
 * @log: the copy
 * @revision: the revision
 */
void cm_item_log_reached(struct cm_item_log *log, uint64_t revision);

/**
 * cm_item_log_can_tell() - whether the changes since a revision are all known
 * @log: the copy
 * @revision: the revision
 *
 * Return: false when all items have to be told.
 */
bool cm_item_log_can_tell(const struct cm_item_log *log, uint64_t revision);

/**
 * cm_item_log_tell() - tell what changed, or a part of it
 * @log: the copy; not in a snapshot
 * @after: changes after this revision; 0 for all items that are there
 * @most: items after which a part ends; all items of a revision are in one part
 * @handler: called for each item
 * @user: for @handler
 *
 * Return: revision up to which all was given: that of the copy, or an earlier
 * one after which the next part begins.
 */
uint64_t cm_item_log_tell(const struct cm_item_log *log, uint64_t after,
			  uint32_t most, cm_item_handler handler, void *user);

/**
 * cm_item_log_sweep() - forget items that went long ago
 * @log: the copy
 * @before_ms: those that went before are forgotten
 */
void cm_item_log_sweep(struct cm_item_log *log, uint64_t before_ms);

#endif
