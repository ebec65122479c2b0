/**
 * DOC: Functions shared by the modules of admission
 *
 * admission.c keeps the routes and begins and ends an overload,
 * admission_evidence.c finds signs of one, admission_limit.c moves the limit,
 * and admission_decide.c decides on requests.
 */
#ifndef CORE_ADMISSION_INTERNAL_H
#define CORE_ADMISSION_INTERNAL_H

#include "chervilmast/admission.h"

/**
 * cm_admission_collect_evidence() - sum up the counts of all routes
 * @admission: its @evidence is set, but for @others_congestion
 * @now_ms: current time, ms
 */
void cm_admission_collect_evidence(struct cm_admission *admission,
				   uint64_t now_ms);

/**
 * cm_admission_demand_is_exceeded() - whether demand exceeds capacity by more
 * than chance
 * @admission: the admission
 *
 * Return: true if so for the demand of the last second or the recent demand.
 */
bool cm_admission_demand_is_exceeded(const struct cm_admission *admission);

/**
 * cm_admission_responses_show_overload() - whether rejections or response times
 * show an overload
 * @admission: the admission
 * @now_ms: current time, ms
 *
 * Return: true if so.
 */
bool cm_admission_responses_show_overload(const struct cm_admission *admission,
					  uint64_t now_ms);

/**
 * cm_admission_others_have_room() - whether another failure domain has room for
 * requests
 * @admission: the admission
 *
 * Return: true if so at the last update.
 */
bool cm_admission_others_have_room(const struct cm_admission *admission);

/**
 * cm_admission_clamp_limit() - keep the limit within what is possible
 * @admission: the admission
 */
void cm_admission_clamp_limit(struct cm_admission *admission);

/**
 * cm_admission_burst() - work that may be admitted at once
 * @admission: the admission
 *
 * Return: the work, us.
 */
int64_t cm_admission_burst(const struct cm_admission *admission);

static inline uint64_t cm_admission_max(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

#endif
