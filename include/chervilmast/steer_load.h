/**
 * DOC: Exchange of the loads of backend servers with the source
 *
 * All functions take the instance's lock.
 */
#ifndef CHERVILMAST_STEER_LOAD_H
#define CHERVILMAST_STEER_LOAD_H

#include "chervilmast/steer.h"

/**
 * cm_steer_take_loads() - list the loads of this instance's flows to report to
 * the source
 * @steer: the instance
 * @now_ms: current time, ms
 * @loads: set to the loads that changed most since they were last reported,
 *         then to others in turn, but no more than CM_LOADS_PER_S a second
 *
 * Return: true when each load was reported at least once, with @loads included,
 * and the routes of all recent flows are known.
 */
bool cm_steer_take_loads(struct cm_steer *steer, uint64_t now_ms,
			 struct cm_load_list *loads);

/**
 * cm_steer_reset_load_reports() - report all loads again, to a source that does
 * not have them
 * @steer: the instance
 */
void cm_steer_reset_load_reports(struct cm_steer *steer);

/**
 * cm_steer_apply_loads() - apply the sums of the other instances' loads
 * @steer: the instance
 * @current_ms: time at which the sums were current, ms
 * @sums: the sums
 */
void cm_steer_apply_loads(struct cm_steer *steer, uint64_t current_ms,
			  const struct cm_load_list *sums);

#endif
