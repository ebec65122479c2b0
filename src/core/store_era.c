#include "chervilmast/store_era.h"

bool cm_store_era_observe(struct cm_store_era *era, cm_position position,
			  struct cm_era_change *change)
{
	cm_position before = era->latest;

	if (position <= before)
		return false;
	era->latest = position;
	if (!before || cm_position_era(position) == cm_position_era(before))
		return false;
	change->before = before;
	change->after = position;
	return true;
}
