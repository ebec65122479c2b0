/**
 * DOC: Detection of a change of the store's era
 */
#ifndef CHERVILMAST_STORE_ERA_H
#define CHERVILMAST_STORE_ERA_H

#include <stdbool.h>

#include "chervilmast/position.h"

/**
 * struct cm_store_era - what an instance has seen of the store
 * @latest: latest position seen; 0 for none
 */
struct cm_store_era {
	cm_position latest;
};

/**
 * struct cm_era_change - a change of era
 * @before: latest position seen before the change; 0 for none
 * @after: first position seen in the new era
 */
struct cm_era_change {
	cm_position before;
	cm_position after;
};

/**
 * cm_store_era_observe() - record a position
 * @era: the state; zeroed at first
 * @position: a position that the store or another instance reported
 * @change: set to the change, if there is one
 *
 * The first position is no change: the instance had no data of an earlier era.
 *
 * Return: true when the position is of a later era than any before.
 */
bool cm_store_era_observe(struct cm_store_era *era, cm_position position,
			  struct cm_era_change *change);

#endif
