/**
 * DOC: Services whose requests an instance admits by priority under overload
 *
 * These are the services to which routes of different priorities send flows.
 * Other services are not in the table and not limited.
 */
#ifndef CHERVILMAST_STEER_ADMISSION_H
#define CHERVILMAST_STEER_ADMISSION_H

#include <stdint.h>

#include "chervilmast/admission.h"
#include "chervilmast/note.h"

/** Maximum number of services in the table; further ones are not limited. */
#define CM_ADMISSION_SERVICES_MAX 16
/** Maximum number of reports kept until they are logged. */
#define CM_ADMISSION_REPORTS_MAX 32

/**
 * enum cm_admission_report_kind - why a report is made
 * @CM_ADMISSION_BEGAN: an overload began
 * @CM_ADMISSION_LASTS: an overload lasts; made once a second
 * @CM_ADMISSION_ENDED: an overload ended
 */
enum cm_admission_report_kind {
	CM_ADMISSION_BEGAN,
	CM_ADMISSION_LASTS,
	CM_ADMISSION_ENDED,
};

/**
 * struct cm_admission_totals - decisions under overload since the last report
 * @admitted: requests admitted
 * @deferred: packets dropped that the caller sends again
 * @shed: packets dropped, or flows reset, for good
 */
struct cm_admission_totals {
	uint32_t admitted;
	uint32_t deferred;
	uint32_t shed;
};

/**
 * struct cm_admission_report - state of an overload, to be logged
 * @capacity: estimated capacity, us of work per second
 * @limit: work that is admitted, us of work per second
 * @evidence: what the last update has seen
 * @lasted_ms: time since the overload began, ms
 * @kind: why the report is made
 * @totals: decisions since the last report
 * @service: name of the service
 */
struct cm_admission_report {
	uint64_t capacity;
	uint64_t limit;
	struct cm_admission_evidence evidence;
	uint64_t lasted_ms;
	enum cm_admission_report_kind kind;
	struct cm_admission_totals totals;
	char service[CM_NAME_SIZE];
};

/**
 * struct cm_admission_service - a service in the table
 * @name: name of the service
 * @hash: hash of @name
 * @admission: admission to the service
 * @capacity: capacity of this instance, us of work per second; 0 when unknown
 * @capacity_ms: when @capacity was last computed, ms; 0 for never
 * @totals: decisions since the last report
 * @reported_ms: when the last report was made, ms
 */
struct cm_admission_service {
	char name[CM_NAME_SIZE];
	uint64_t hash;
	struct cm_admission admission;
	uint64_t capacity;
	uint64_t capacity_ms;
	struct cm_admission_totals totals;
	uint64_t reported_ms;
};

/**
 * struct cm_steer_admissions - the services
 * @items: the services
 * @count: number of @items
 * @plan_version: version of the plan from which @items was made
 * @reports: reports to be logged
 * @report_count: number of @reports
 */
struct cm_steer_admissions {
	struct cm_admission_service items[CM_ADMISSION_SERVICES_MAX];
	uint32_t count;
	uint64_t plan_version;
	struct cm_admission_report reports[CM_ADMISSION_REPORTS_MAX];
	uint32_t report_count;
};

struct cm_steer;

/**
 * cm_steer_take_admission_reports() - take the reports since the last call
 * @steer: the instance
 * @reports: set to the reports; room for CM_ADMISSION_REPORTS_MAX
 *
 * Return: number of @reports.
 */
uint32_t cm_steer_take_admission_reports(struct cm_steer *steer,
					 struct cm_admission_report *reports);

#endif
