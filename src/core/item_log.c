#include "chervilmast/item_log.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static struct cm_item_bucket *bucket_of(const struct cm_item_log *log,
					const char *key)
{
	uint64_t hash = XXH3_64bits(key, strlen(key));

	return (struct cm_item_bucket *)&log->buckets[hash % CM_ITEM_BUCKETS];
}

void cm_item_log_init(struct cm_item_log *log)
{
	memset(log, 0, sizeof(*log));
	TAILQ_INIT(&log->all);
}

static void item_free(struct cm_item *item)
{
	free(item->key);
	free(item->value);
	free(item);
}

void cm_item_log_finish(struct cm_item_log *log)
{
	struct cm_item *item = TAILQ_FIRST(&log->all);

	while (item) {
		struct cm_item *next = TAILQ_NEXT(item, link);

		item_free(item);
		item = next;
	}
	cm_item_log_init(log);
}

static struct cm_item *find(const struct cm_item_log *log, const char *key)
{
	struct cm_item *item;

	LIST_FOREACH(item, bucket_of(log, key), bucket)
	if (!strcmp(item->key, key))
		return item;
	return NULL;
}

static struct cm_item *add(struct cm_item_log *log, const char *key)
{
	struct cm_item *item = calloc(1, sizeof(*item));

	if (!item)
		return NULL;
	item->key = strdup(key);
	if (!item->key) {
		free(item);
		return NULL;
	}
	LIST_INSERT_HEAD(bucket_of(log, key), item, bucket);
	TAILQ_INSERT_TAIL(&log->all, item, link);
	return item;
}

static void move_to_end(struct cm_item_log *log, struct cm_item *item)
{
	TAILQ_REMOVE(&log->all, item, link);
	TAILQ_INSERT_TAIL(&log->all, item, link);
}

static char *copy_bytes(const char *bytes, size_t size)
{
	char *copy = malloc(size + 1);

	if (!copy)
		return NULL;
	if (size)
		memcpy(copy, bytes, size);
	copy[size] = '\0';
	return copy;
}

const struct cm_item *cm_item_log_put(struct cm_item_log *log, const char *key,
				      const char *value, size_t size,
				      uint64_t revision)
{
	struct cm_item *item = find(log, key);
	char *copy;

	if (item && item->revision >= revision) {
		item->is_seen = true;
		return NULL;
	}
	copy = copy_bytes(value, size);
	if (!item && copy)
		item = add(log, key);
	if (!item || !copy) {
		free(copy);
		return NULL;
	}
	free(item->value);
	item->value = copy;
	item->size = size;
	item->revision = revision;
	item->is_gone = false;
	item->is_seen = true;
	move_to_end(log, item);
	return item;
}

static void set_gone(struct cm_item_log *log, struct cm_item *item,
		     uint64_t revision, uint64_t now_ms)
{
	free(item->value);
	item->value = NULL;
	item->size = 0;
	item->revision = revision;
	item->is_gone = true;
	item->gone_ms = now_ms;
	move_to_end(log, item);
}

const struct cm_item *cm_item_log_remove(struct cm_item_log *log,
					 const char *key, uint64_t revision,
					 uint64_t now_ms)
{
	struct cm_item *item = find(log, key);

	if (!item || item->is_gone || item->revision >= revision)
		return NULL;
	set_gone(log, item, revision, now_ms);
	return item;
}

void cm_item_log_begin(struct cm_item_log *log)
{
	struct cm_item *item;

	TAILQ_FOREACH (item, &log->all, link)
		item->is_seen = false;
}

/* Items that go are moved behind the last one that was there at first. */
void cm_item_log_end(struct cm_item_log *log, uint64_t revision,
		     uint64_t now_ms, cm_item_handler handler, void *user)
{
	struct cm_item *item = TAILQ_FIRST(&log->all);
	struct cm_item *last = TAILQ_LAST(&log->all, cm_item_list);
	bool more = item;

	while (more) {
		struct cm_item *next = TAILQ_NEXT(item, link);

		more = item != last;
		if (!item->is_seen && !item->is_gone &&
		    item->revision <= revision) {
			set_gone(log, item, revision, now_ms);
			handler(user, item);
		}
		item = next;
	}
	if (!log->complete_since)
		log->complete_since = revision;
	cm_item_log_reached(log, revision);
}

void cm_item_log_reached(struct cm_item_log *log, uint64_t revision)
{
	if (revision > log->revision)
		log->revision = revision;
}

bool cm_item_log_can_tell(const struct cm_item_log *log, uint64_t revision)
{
	return revision && revision >= log->complete_since;
}

void cm_item_log_tell(const struct cm_item_log *log, uint64_t after,
		      cm_item_handler handler, void *user)
{
	const struct cm_item *item;

	TAILQ_FOREACH (item, &log->all, link)
		if (after ? item->revision > after : !item->is_gone)
			handler(user, item);
}

static void forget(struct cm_item_log *log, struct cm_item *item)
{
	if (item->revision > log->complete_since)
		log->complete_since = item->revision;
	LIST_REMOVE(item, bucket);
	TAILQ_REMOVE(&log->all, item, link);
	item_free(item);
}

void cm_item_log_sweep(struct cm_item_log *log, uint64_t before_ms)
{
	struct cm_item *item = TAILQ_FIRST(&log->all);

	while (item) {
		struct cm_item *next = TAILQ_NEXT(item, link);

		if (item->is_gone && item->gone_ms < before_ms)
			forget(log, item);
		item = next;
	}
}
