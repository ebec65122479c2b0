#include "chervilmast/suspect_list.h"

#include <stdbool.h>
#include <stddef.h>

static bool is_valid(const struct cm_suspect *suspect, uint64_t now_ms)
{
	return suspect->token &&
	       now_ms < suspect->reported_ms + CM_SUSPECT_TTL_MS;
}

/* The entry of a token, or a free one; NULL when the list is full. */
static struct cm_suspect *find_or_unused(struct cm_suspect_list *list,
					 uint64_t now_ms, uint32_t token)
{
	struct cm_suspect *free_entry = NULL;

	for (int i = 0; i < CM_SUSPECT_LIST_MAX; i++) {
		struct cm_suspect *suspect = &list->items[i];

		if (suspect->token == token)
			return suspect;
		if (!free_entry && !is_valid(suspect, now_ms))
			free_entry = suspect;
	}
	return free_entry;
}

void cm_suspect_list_add(struct cm_suspect_list *list, uint64_t now_ms,
			 const uint32_t *tokens, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		struct cm_suspect *entry =
			find_or_unused(list, now_ms, tokens[i]);

		if (!entry)
			return;
		entry->token = tokens[i];
		entry->reported_ms = now_ms;
	}
}

uint32_t cm_suspect_list_read(const struct cm_suspect_list *list,
			      uint64_t now_ms, uint32_t *tokens)
{
	uint32_t count = 0;

	for (int i = 0; i < CM_SUSPECT_LIST_MAX; i++)
		if (is_valid(&list->items[i], now_ms))
			tokens[count++] = list->items[i].token;
	return count;
}
