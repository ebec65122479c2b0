#include "chervilmast/steer_change.h"

void cm_steer_changes_add(struct cm_steer_changes *changes,
			  const struct cm_steer_change *change)
{
	if (changes->count == CM_STEER_CHANGES_MAX) {
		changes->dropped++;
		return;
	}
	changes->items[changes->count++] = *change;
}
