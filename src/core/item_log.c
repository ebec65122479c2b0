#include "chervilmast/item_log.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "chervilmast/position.h"

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

const struct cm_item *cm_item_log_find(const struct cm_item_log *log,
				       const char *key)
{
	return find(log, key);
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
	log->count++;
	return item;
}

/*
 * Moves an item to its place in the order of revisions. Changes mostly arrive
 * in order, so the search starts at the tail. While a snapshot is received,
 * items are only appended; they are sorted at its end.
 */
static void move_by_revision(struct cm_item_log *log, struct cm_item *item)
{
	struct cm_item *before;

	TAILQ_REMOVE(&log->all, item, link);
	before = TAILQ_LAST(&log->all, cm_item_list);
	while (!log->is_receiving_snapshot && before &&
	       before->revision > item->revision)
		before = TAILQ_PREV(before, cm_item_list, link);
	if (before)
		TAILQ_INSERT_AFTER(&log->all, before, item, link);
	else
		TAILQ_INSERT_HEAD(&log->all, item, link);
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

static bool has_value(const struct cm_item *item, const char *value,
		      size_t size)
{
	return !item->is_deleted && item->size == size &&
	       (!size || !memcmp(item->value, value, size));
}

const struct cm_item *cm_item_log_put(struct cm_item_log *log, const char *key,
				      const char *value, size_t size,
				      uint64_t revision)
{
	struct cm_item *item = find(log, key);
	char *copy;

	if (item && item->revision >= revision) {
		item->is_in_snapshot = true;
		return NULL;
	}
	if (item && has_value(item, value, size)) {
		item->revision = revision;
		item->is_in_snapshot = true;
		move_by_revision(log, item);
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
	item->is_deleted = false;
	item->is_in_snapshot = true;
	move_by_revision(log, item);
	return item;
}

static void set_deleted(struct cm_item_log *log, struct cm_item *item,
			uint64_t revision, uint64_t now_ms)
{
	free(item->value);
	item->value = NULL;
	item->size = 0;
	item->revision = revision;
	item->is_deleted = true;
	item->deleted_ms = now_ms;
	move_by_revision(log, item);
}

const struct cm_item *cm_item_log_remove(struct cm_item_log *log,
					 const char *key, uint64_t revision,
					 uint64_t now_ms)
{
	struct cm_item *item = find(log, key);

	if (!item || item->is_deleted || item->revision >= revision)
		return NULL;
	set_deleted(log, item, revision, now_ms);
	return item;
}

void cm_item_log_begin_snapshot(struct cm_item_log *log)
{
	struct cm_item *item;

	TAILQ_FOREACH (item, &log->all, link)
		item->is_in_snapshot = false;
	log->is_receiving_snapshot = true;
}

void cm_item_log_keep(struct cm_item_log *log, const char *key)
{
	struct cm_item *item = find(log, key);

	if (item)
		item->is_in_snapshot = true;
}

void cm_item_log_keep_prefix(struct cm_item_log *log, const char *prefix)
{
	size_t length = strlen(prefix);
	struct cm_item *item;

	TAILQ_FOREACH (item, &log->all, link)
		if (!strncmp(item->key, prefix, length))
			item->is_in_snapshot = true;
}

/**
 * struct place - position of an item in the list of all items
 * @item: the item
 * @index: number of items before it
 */
struct place {
	struct cm_item *item;
	uint32_t index;
};

static int compare_places(const void *a, const void *b)
{
	const struct place *first = a;
	const struct place *second = b;

	if (first->item->revision != second->item->revision)
		return first->item->revision < second->item->revision ? -1 : 1;
	return first->index < second->index ? -1 : 1;
}

static bool is_in_order(const struct cm_item_log *log)
{
	const struct cm_item *item;

	TAILQ_FOREACH (item, &log->all, link) {
		const struct cm_item *next = TAILQ_NEXT(item, link);

		if (next && next->revision < item->revision)
			return false;
	}
	return true;
}

/* Used when there is no memory for the array that qsort() needs. */
static void insertion_sort(struct cm_item_log *log)
{
	struct cm_item_list unsorted;

	TAILQ_INIT(&unsorted);
	TAILQ_CONCAT(&unsorted, &log->all, link);
	while (!TAILQ_EMPTY(&unsorted)) {
		struct cm_item *item = TAILQ_FIRST(&unsorted);

		TAILQ_REMOVE(&unsorted, item, link);
		TAILQ_INSERT_TAIL(&log->all, item, link);
		move_by_revision(log, item);
	}
}

static void sort(struct cm_item_log *log)
{
	struct place *places;
	struct cm_item *item;
	uint32_t count = 0;

	if (is_in_order(log))
		return;
	places = calloc(log->count, sizeof(*places));
	if (!places) {
		insertion_sort(log);
		return;
	}
	TAILQ_FOREACH (item, &log->all, link) {
		places[count].item = item;
		places[count].index = count;
		count++;
	}
	qsort(places, count, sizeof(*places), compare_places);
	TAILQ_INIT(&log->all);
	for (uint32_t i = 0; i < count; i++)
		TAILQ_INSERT_TAIL(&log->all, places[i].item, link);
	free(places);
}

static bool is_of_earlier_era(uint64_t revision, uint64_t other)
{
	return cm_position_era(revision) < cm_position_era(other);
}

static void enter_era(struct cm_item_log *log, uint64_t revision)
{
	struct cm_item *item;

	TAILQ_FOREACH (item, &log->all, link)
		if (!item->is_deleted &&
		    is_of_earlier_era(item->revision, revision))
			item->revision = revision;
	log->complete_since = revision;
}

/*
 * Deleting an item moves it to the tail, so the loop ends at the item that was
 * the last one at the start.
 */
void cm_item_log_end_snapshot(struct cm_item_log *log, uint64_t revision,
			      uint64_t now_ms, cm_item_handler handler,
			      void *user)
{
	struct cm_item *item = TAILQ_FIRST(&log->all);
	struct cm_item *last = TAILQ_LAST(&log->all, cm_item_list);
	bool more = item;

	while (more) {
		struct cm_item *next = TAILQ_NEXT(item, link);

		more = item != last;
		if (!item->is_in_snapshot && !item->is_deleted &&
		    item->revision <= revision) {
			set_deleted(log, item, revision, now_ms);
			handler(user, item);
		}
		item = next;
	}
	if (is_of_earlier_era(log->revision, revision))
		enter_era(log, revision);
	log->is_receiving_snapshot = false;
	sort(log);
	if (!log->complete_since)
		log->complete_since = revision;
	cm_item_log_advance(log, revision);
}

void cm_item_log_cancel_snapshot(struct cm_item_log *log)
{
	if (!log->is_receiving_snapshot)
		return;
	log->is_receiving_snapshot = false;
	sort(log);
}

void cm_item_log_advance(struct cm_item_log *log, uint64_t revision)
{
	if (revision > log->revision)
		log->revision = revision;
}

bool cm_item_log_has_changes_since(const struct cm_item_log *log,
				   uint64_t revision)
{
	return revision && revision >= log->complete_since;
}

/* The first item that changed after a revision; NULL for none. */
static const struct cm_item *first_after(const struct cm_item_log *log,
					 uint64_t after)
{
	const struct cm_item *first = NULL;
	const struct cm_item *item;

	if (!after)
		return TAILQ_FIRST(&log->all);
	TAILQ_FOREACH_REVERSE(item, &log->all, cm_item_list, link)
	{
		if (item->revision <= after)
			break;
		first = item;
	}
	return first;
}

uint64_t cm_item_log_read_changes_since(const struct cm_item_log *log,
					uint64_t after, uint32_t max_items,
					cm_item_handler handler, void *user)
{
	const struct cm_item *item = first_after(log, after);
	uint64_t last = after;
	uint32_t count = 0;

	for (; item; item = TAILQ_NEXT(item, link)) {
		if (count >= max_items && item->revision > last)
			return last;
		last = item->revision;
		if (!after && item->is_deleted)
			continue;
		handler(user, item);
		count++;
	}
	return log->revision;
}

static void free_tombstone(struct cm_item_log *log, struct cm_item *item)
{
	if (item->revision > log->complete_since)
		log->complete_since = item->revision;
	log->count--;
	LIST_REMOVE(item, bucket);
	TAILQ_REMOVE(&log->all, item, link);
	item_free(item);
}

void cm_item_log_free_tombstones(struct cm_item_log *log, uint64_t before_ms)
{
	struct cm_item *item = TAILQ_FIRST(&log->all);

	while (item) {
		struct cm_item *next = TAILQ_NEXT(item, link);

		if (item->is_deleted && item->deleted_ms < before_ms)
			free_tombstone(log, item);
		item = next;
	}
}
