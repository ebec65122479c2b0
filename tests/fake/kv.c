#include "fake/kv.h"

#include <stdlib.h>
#include <string.h>

void fake_kv_init(struct fake_kv *kv)
{
	TAILQ_INIT(&kv->items);
	TAILQ_INIT(&kv->erased);
	kv->revision = 1;
}

static void list_free(struct fake_kv_list *list)
{
	struct fake_kv_item *item;

	while ((item = TAILQ_FIRST(list))) {
		TAILQ_REMOVE(list, item, link);
		free(item->key);
		free(item->value);
		free(item);
	}
}

void fake_kv_finish(struct fake_kv *kv)
{
	list_free(&kv->items);
	list_free(&kv->erased);
}

struct fake_kv_item *fake_kv_find(struct fake_kv *kv, const char *key)
{
	struct fake_kv_item *item;

	TAILQ_FOREACH (item, &kv->items, link)
		if (!strcmp(item->key, key))
			return item;
	return NULL;
}

static struct fake_kv_item *item_add(struct fake_kv *kv, const char *key)
{
	struct fake_kv_item *item = calloc(1, sizeof(*item));
	struct fake_kv_item *after;

	if (!item)
		abort();
	item->key = strdup(key);
	item->created = kv->revision;
	TAILQ_FOREACH (after, &kv->items, link)
		if (strcmp(after->key, key) > 0)
			break;
	if (after)
		TAILQ_INSERT_BEFORE(after, item, link);
	else
		TAILQ_INSERT_TAIL(&kv->items, item, link);
	return item;
}

void fake_kv_put(struct fake_kv *kv, const char *key, const char *value,
		 size_t size)
{
	struct fake_kv_item *item = fake_kv_find(kv, key);

	if (!item)
		item = item_add(kv, key);
	free(item->value);
	item->value = malloc(size + 1);
	if (!item->value)
		abort();
	memcpy(item->value, value, size);
	item->value[size] = '\0';
	item->size = size;
	item->modified = kv->revision;
	item->version++;
	item->lease = 0;
}

static void item_erase(struct fake_kv *kv, struct fake_kv_item *item)
{
	TAILQ_REMOVE(&kv->items, item, link);
	free(item->value);
	item->value = NULL;
	item->size = 0;
	item->modified = kv->revision;
	item->version = 0;
	TAILQ_INSERT_TAIL(&kv->erased, item, link);
}

/* Deletes the keys of a range or, when @first is NULL, of a lease. */
static size_t erase(struct fake_kv *kv, const char *first, const char *end,
		    int64_t lease)
{
	struct fake_kv_item *item, *next;
	size_t erased = 0;

	for (item = TAILQ_FIRST(&kv->items); item; item = next) {
		next = TAILQ_NEXT(item, link);
		if (first ? !fake_kv_in_range(item->key, first, end) :
			    item->lease != lease)
			continue;
		if (!erased++)
			kv->revision++;
		item_erase(kv, item);
	}
	return erased;
}

size_t fake_kv_erase(struct fake_kv *kv, const char *first, const char *end)
{
	return erase(kv, first, end, 0);
}

size_t fake_kv_erase_lease(struct fake_kv *kv, int64_t lease)
{
	return erase(kv, NULL, NULL, lease);
}

static bool list_changed(const struct fake_kv_list *list, const char *first,
			 const char *end, int64_t revision)
{
	const struct fake_kv_item *item;

	TAILQ_FOREACH (item, list, link)
		if (item->modified >= revision &&
		    fake_kv_in_range(item->key, first, end))
			return true;
	return false;
}

bool fake_kv_changed(const struct fake_kv *kv, const char *first,
		     const char *end, int64_t revision)
{
	return list_changed(&kv->items, first, end, revision) ||
	       list_changed(&kv->erased, first, end, revision);
}

bool fake_kv_in_range(const char *key, const char *first, const char *end)
{
	if (!end)
		return !strcmp(key, first);
	return strcmp(key, first) >= 0 && strcmp(key, end) < 0;
}
