/**
 * DOC: Port to the platform's key-value service
 *
 * A small ordered store with compare-and-swap and watches. An adapter fills
 * the table of functions and embeds struct cm_store.
 */
#ifndef PORTS_STORE_H
#define PORTS_STORE_H

#include <stddef.h>
#include <stdint.h>

struct cm_store;

/**
 * struct cm_store_item - a key and its value
 * @key: the key, NUL-terminated
 * @value: the value, with a NUL after its last byte
 * @size: size of @value without that NUL, bytes
 * @revision: revision of the store at the last change of the key
 */
struct cm_store_item {
	char *key;
	char *value;
	size_t size;
	int64_t revision;
};

/**
 * struct cm_store_items - the answer to a range request
 * @items: the items, sorted by key
 * @count: number of @items
 * @revision: revision of the store when it answered
 */
struct cm_store_items {
	struct cm_store_item *items;
	size_t count;
	int64_t revision;
};

/**
 * struct cm_store_put - write of one key
 * @key: the key
 * @value: its new value
 * @size: size of @value, bytes
 */
struct cm_store_put {
	const char *key;
	const char *value;
	size_t size;
};

/**
 * struct cm_store_ops - functions of an adapter
 * @range: read the keys from @first up to, not including, @end, or only @first
 *         when @end is NULL. @items is to be freed with
 *         cm_store_items_finish(). Returns 0, CM_E_UNAVAILABLE, CM_E_TIMEOUT,
 *         CM_E_PROTOCOL for an invalid answer, CM_E_TOO_LARGE for a request or
 *         an answer that exceeds the limits, CM_E_COMPACTED or CM_E_MEMORY.
 * @swap: write all of @puts in one transaction if the revision of @key still is
 *        @revision; 0 means that the key does not exist. Returns 0,
 *        CM_E_CONFLICT, or an error of @range, after which the write may have
 *        taken effect or may still do so.
 * @erase: delete the keys from @first up to, not including, @end. Returns 0 or
 *         an error of @range, after which they may have been deleted.
 * @wait: wait until a key from @first up to, not including, @end changes at or
 *        after @revision. Returns 0 when one has, CM_E_TIMEOUT after
 *        @timeout_ms without a change, CM_E_COMPACTED when changes since
 *        @revision are no longer available, so that the keys have to be read
 *        again, or an error of @range.
 */
struct cm_store_ops {
	int (*range)(struct cm_store *store, const char *first, const char *end,
		     struct cm_store_items *items);
	int (*swap)(struct cm_store *store, const char *key, int64_t revision,
		    const struct cm_store_put *puts, size_t count);
	int (*erase)(struct cm_store *store, const char *first,
		     const char *end);
	int (*wait)(struct cm_store *store, const char *first, const char *end,
		    int64_t revision, uint32_t timeout_ms);
};

/**
 * struct cm_store - a store
 * @ops: functions of its adapter
 */
struct cm_store {
	const struct cm_store_ops *ops;
};

/**
 * cm_store_items_init() - initialise an empty answer
 * @items: memory owned by the calling function
 */
void cm_store_items_init(struct cm_store_items *items);

/**
 * cm_store_items_finish() - free what an answer holds
 * @items: the answer; the struct itself is not freed
 */
void cm_store_items_finish(struct cm_store_items *items);

#endif
