#include "chervilmast/position.h"

#include "chervilmast/error.h"

int cm_position_compose(cm_position *position, uint64_t era, uint64_t revision)
{
	if (era > CM_POSITION_ERA_MAX || revision > CM_POSITION_REVISION_MAX)
		return CM_E_OUT_OF_RANGE;
	*position = era << CM_POSITION_REVISION_BITS | revision;
	return CM_OK;
}

uint64_t cm_position_era(cm_position position)
{
	return position >> CM_POSITION_REVISION_BITS;
}

uint64_t cm_position_revision(cm_position position)
{
	return position & CM_POSITION_REVISION_MAX;
}
