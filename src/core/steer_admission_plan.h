/**
 * DOC: Services of the plan whose requests are admitted by priority
 */
#ifndef CORE_STEER_ADMISSION_PLAN_H
#define CORE_STEER_ADMISSION_PLAN_H

#include "chervilmast/steer.h"

/**
 * cm_steer_admissions_find() - find the admission to a service
 * @admissions: the services
 * @hash: hash of the name of the service
 *
 * Return: the admission, or NULL when the service is not limited.
 */
struct cm_admission_service *
cm_steer_admissions_find(struct cm_steer_admissions *admissions, uint64_t hash);

/**
 * cm_steer_admissions_read_plan() - update the services to the plan
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 *
 * Without memory, no service is limited.
 */
void cm_steer_admissions_read_plan(struct cm_steer *steer, uint64_t now_ms);

#endif
