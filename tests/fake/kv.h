/**
 * DOC: Key-value service of the platform, in memory
 *
 * Has the revisions, compare-and-swap and change history of etcd v3. Not
 * thread-safe.
 */
#ifndef FAKE_KV_H
#define FAKE_KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/**
 * struct fake_kv_item - a key and its value
 * @link: entry in the list of items, ordered by key
 * @key: the key
 * @value: its value, with a NUL after its last byte
 * @size: bytes of @value
 * @created: revision at which the key was created
 * @modified: revision of the last change
 * @version: number of changes since the key was created
 * @lease: ID of the lease with which the key expires; 0 for none
 */
struct fake_kv_item {
	TAILQ_ENTRY(fake_kv_item) link;
	char *key;
	char *value;
	size_t size;
	int64_t created;
	int64_t modified;
	int64_t version;
	int64_t lease;
};

TAILQ_HEAD(fake_kv_list, fake_kv_item);

/**
 * struct fake_kv - the store
 * @items: all keys
 * @erased: tombstones of deleted keys, in the order of deletion; @modified is
 *          the revision of the deletion
 * @revision: revision of the store; grows by one with each transaction
 */
struct fake_kv {
	struct fake_kv_list items;
	struct fake_kv_list erased;
	int64_t revision;
};

/**
 * fake_kv_init() - make an empty store
 * @kv: memory of the caller
 */
void fake_kv_init(struct fake_kv *kv);

/**
 * fake_kv_finish() - free all keys of a store
 * @kv: the store; its memory stays the caller's
 */
void fake_kv_finish(struct fake_kv *kv);

/**
 * fake_kv_find() - look a key up
 * @kv: the store
 * @key: the key
 *
 * Return: the item or NULL.
 */
struct fake_kv_item *fake_kv_find(struct fake_kv *kv, const char *key);

/**
 * fake_kv_put() - write a key at the current revision
 * @kv: the store
 * @key: the key
 * @value: its value
 * @size: bytes of @value
 *
 * The caller increments @kv->revision first, once for each transaction. The key
 * has no lease afterwards.
 */
void fake_kv_put(struct fake_kv *kv, const char *key, const char *value,
		 size_t size);

/**
 * fake_kv_erase() - delete the keys of a range, in one transaction
 * @kv: the store
 * @first: first key
 * @end: key after the last one; NULL for @first alone
 *
 * Return: the number of keys deleted.
 */
size_t fake_kv_erase(struct fake_kv *kv, const char *first, const char *end);

/**
 * fake_kv_erase_lease() - delete the keys of a lease, in one transaction
 * @kv: the store
 * @lease: the lease
 *
 * Return: the number of keys deleted.
 */
size_t fake_kv_erase_lease(struct fake_kv *kv, int64_t lease);

/**
 * fake_kv_changed() - whether a key of a range has changed since a revision
 * @kv: the store
 * @first: first key
 * @end: key after the last one; NULL for @first alone
 * @revision: the revision
 *
 * Return: true when a key was written or deleted at @revision or later.
 */
bool fake_kv_changed(const struct fake_kv *kv, const char *first,
		     const char *end, int64_t revision);

/**
 * fake_kv_in_range() - whether a key is in a range
 * @key: the key
 * @first: first key
 * @end: key after the last one; NULL for @first alone
 *
 * Return: true if so.
 */
bool fake_kv_in_range(const char *key, const char *first, const char *end);

#endif
