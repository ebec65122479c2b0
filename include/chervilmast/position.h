/**
 * DOC: Positions in the history of the registry's store
 *
 * A store that is restored from an older copy assigns revisions again. Its era
 * increases by one each time, so that era and revision together order all
 * changes. A position has the era in its upper 16 bits and the revision in its
 * lower 48 bits, so positions are compared as numbers. A store without eras has
 * era 0; its positions equal its revisions. Position 0 stands for none.
 */
#ifndef CHERVILMAST_POSITION_H
#define CHERVILMAST_POSITION_H

#include <stdint.h>

/** Number of bits of a revision in a position. */
#define CM_POSITION_REVISION_BITS 48
/** Maximum era. */
#define CM_POSITION_ERA_MAX 0xffffULL
/** Maximum revision. */
#define CM_POSITION_REVISION_MAX ((1ULL << CM_POSITION_REVISION_BITS) - 1)

/** A position: era and revision of the store. */
typedef uint64_t cm_position;

/**
 * cm_position_compose() - compose a position
 * @position: set to the position on success
 * @era: era of the store
 * @revision: revision of the store in this era
 *
 * Return: 0, or CM_E_OUT_OF_RANGE when a number exceeds its maximum.
 */
int cm_position_compose(cm_position *position, uint64_t era, uint64_t revision);

/**
 * cm_position_era() - era of a position
 * @position: the position
 *
 * Return: the era.
 */
uint64_t cm_position_era(cm_position position);

/**
 * cm_position_revision() - revision of a position
 * @position: the position
 *
 * Return: the revision in the era of the position.
 */
uint64_t cm_position_revision(cm_position position);

#endif
