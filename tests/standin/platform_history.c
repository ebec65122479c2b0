#include "standin/platform_history.h"

#include <stdlib.h>
#include <string.h>

static void copy_list(struct fake_kv_list *to, const struct fake_kv_list *from)
{
	const struct fake_kv_item *item;

	TAILQ_FOREACH (item, from, link) {
		struct fake_kv_item *copy = malloc(sizeof(*copy));

		if (!copy)
			abort();
		*copy = *item;
		copy->key = strdup(item->key);
		if (item->value) {
			copy->value = malloc(item->size + 1);
			if (!copy->value)
				abort();
			memcpy(copy->value, item->value, item->size + 1);
		}
		TAILQ_INSERT_TAIL(to, copy, link);
	}
}

static void copy_kv(struct fake_kv *to, const struct fake_kv *from)
{
	fake_kv_init(to);
	to->revision = from->revision;
	copy_list(&to->items, &from->items);
	copy_list(&to->erased, &from->erased);
}

static struct platform_copy *copy_at(struct platform_history *history,
				     uint64_t index)
{
	return &history->copies[index % PLATFORM_COPIES_MAX];
}

static void drop_copy(struct platform_copy *copy)
{
	if (copy->taken_ms)
		fake_kv_finish(&copy->kv);
	copy->taken_ms = 0;
}

void platform_history_record(struct platform_history *history, uint64_t now_ms,
			     const struct fake_kv *kv)
{
	struct platform_copy *copy = copy_at(history, history->count);

	if (history->count &&
	    now_ms < copy_at(history, history->count - 1)->taken_ms +
			     PLATFORM_COPY_INTERVAL_MS)
		return;
	drop_copy(copy);
	copy->taken_ms = now_ms;
	copy_kv(&copy->kv, kv);
	history->count++;
}

static void forget_leases(struct fake_kv *kv)
{
	struct fake_kv_item *item;

	TAILQ_FOREACH (item, &kv->items, link)
		item->lease = 0;
}

void platform_history_restore(struct platform_history *history,
			      uint64_t before_ms, struct fake_kv *kv,
			      struct platform_leases *leases)
{
	const struct platform_copy *copy;

	while (history->count > 1 &&
	       copy_at(history, history->count - 1)->taken_ms > before_ms &&
	       copy_at(history, history->count - 2)->taken_ms)
		drop_copy(copy_at(history, --history->count));
	copy = copy_at(history, history->count - 1);
	fake_kv_finish(kv);
	copy_kv(kv, &copy->kv);
	forget_leases(kv);
	platform_leases_lose(leases);
}

void platform_history_finish(struct platform_history *history)
{
	for (int i = 0; i < PLATFORM_COPIES_MAX; i++)
		drop_copy(&history->copies[i]);
}
