#include "chervilmast/action.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_CAPACITY 4

void cm_actions_init(struct cm_actions *actions)
{
	memset(actions, 0, sizeof(*actions));
}

void cm_actions_finish(struct cm_actions *actions)
{
	free(actions->items);
	cm_actions_init(actions);
}

void cm_actions_clear(struct cm_actions *actions)
{
	actions->count = 0;
}

static int actions_grow(struct cm_actions *actions)
{
	size_t capacity =
		actions->capacity ? actions->capacity * 2 : FIRST_CAPACITY;
	struct cm_action *items =
		realloc(actions->items, capacity * sizeof(*items));

	if (!items)
		return -1;
	actions->items = items;
	actions->capacity = capacity;
	return 0;
}

struct cm_action *cm_actions_add(struct cm_actions *actions,
				 enum cm_action_kind kind)
{
	struct cm_action *action;

	if (actions->count == actions->capacity && actions_grow(actions))
		return NULL;
	action = &actions->items[actions->count++];
	memset(action, 0, sizeof(*action));
	action->kind = kind;
	return action;
}
