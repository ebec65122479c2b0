#include "steer_log.h"

#include "adapters/socket.h"
#include "log.h"

/** Work of a thousandth of a slot, us per second. */
#define WORK_US_PER_MILLISLOT 1000

static const enum cm_log_event change_events[] = {
	[CM_STEER_CHANGE_UNANSWERED] = CM_EVENT_SYN_UNANSWERED,
	[CM_STEER_CHANGE_SUSPECTED] = CM_EVENT_SERVER_SUSPECTED,
	[CM_STEER_CHANGE_CLEARED] = CM_EVENT_SERVER_CLEARED,
	[CM_STEER_CHANGE_FLOW_FAILED] = CM_EVENT_FLOW_FAILED,
	[CM_STEER_CHANGE_EJECTED] = CM_EVENT_SERVER_EJECTED,
	[CM_STEER_CHANGE_CUT_OFF] = CM_EVENT_CUT_OFF,
	[CM_STEER_CHANGE_LOADS_KNOWN] = CM_EVENT_LOADS_KNOWN,
	[CM_STEER_CHANGE_LOADS_UNKNOWN] = CM_EVENT_LOADS_UNKNOWN,
	[CM_STEER_CHANGE_READY] = CM_EVENT_READY,
	[CM_STEER_CHANGE_NOT_READY] = CM_EVENT_NOT_READY,
};

static void log_gone(const struct cm_steer_packet *packet,
		     const struct cm_steer_verdict *verdict)
{
	char caller[CM_ENDPOINT_TEXT_SIZE], route[CM_ENDPOINT_TEXT_SIZE];

	cm_log(CM_EVENT_FLOW_GONE,
	       "caller=%s route=%s reason=%s server=%llx token=%08x "
	       "evidence_age_ms=%llu plan=%llu registry_age_ms=%llu",
	       cm_endpoint_write(&packet->key.caller, caller),
	       cm_endpoint_write(&packet->key.service, route),
	       cm_counter_name(verdict->reason),
	       (unsigned long long)verdict->server_id, packet->token,
	       (unsigned long long)verdict->evidence_age_ms,
	       (unsigned long long)verdict->plan_version,
	       (unsigned long long)verdict->registry_age_ms);
}

static bool is_gone(enum cm_counter reason)
{
	return reason == CM_C_STEER_GONE_DRAINED ||
	       reason == CM_C_STEER_GONE_REPLACED ||
	       reason == CM_C_STEER_GONE_REMOVED ||
	       reason == CM_C_STEER_GONE_DOWN ||
	       reason == CM_C_STEER_GONE_SILENT;
}

/*
 * A reset of an open flow is logged as CM_EVENT_FLOW_GONE. Every other packet
 * that is not forwarded is logged as CM_EVENT_FLOW_REFUSED; the field reason
 * states whether it was refused, held or dropped.
 */
void cm_steer_log_verdict(const struct cm_steer_packet *packet,
			  const struct cm_steer_verdict *verdict)
{
	char caller[CM_ENDPOINT_TEXT_SIZE], route[CM_ENDPOINT_TEXT_SIZE];
	char server[CM_ENDPOINT_TEXT_SIZE];

	if (verdict->reason == CM_C_STEER_BY_TOKEN)
		return;
	if (is_gone(verdict->reason)) {
		log_gone(packet, verdict);
		return;
	}
	cm_log(verdict->action == CM_STEER_FORWARD ? CM_EVENT_FLOW_PLACED :
						     CM_EVENT_FLOW_REFUSED,
	       "caller=%s route=%s reason=%s service=%s server=%llx at=%s "
	       "token=%08x repeats=%u waited_ms=%u plan=%llu "
	       "registry_age_ms=%llu load=%u others=%u loads_age_ms=%lld",
	       cm_endpoint_write(&packet->key.caller, caller),
	       cm_endpoint_write(&packet->key.service, route),
	       cm_counter_name(verdict->reason), verdict->service,
	       (unsigned long long)verdict->server_id,
	       cm_endpoint_write(&verdict->server, server),
	       verdict->token ? verdict->token : packet->token, packet->repeats,
	       packet->waited_ms, (unsigned long long)verdict->plan_version,
	       (unsigned long long)verdict->registry_age_ms, verdict->own_load,
	       verdict->others_load, (long long)verdict->loads_age_ms);
}

static void log_flow_change(const struct cm_steer_change *change)
{
	char caller[CM_ENDPOINT_TEXT_SIZE], route[CM_ENDPOINT_TEXT_SIZE];

	cm_endpoint_write(&change->key.caller, caller);
	cm_endpoint_write(&change->key.service, route);
	if (change->kind == CM_STEER_CHANGE_UNANSWERED)
		cm_log(change_events[change->kind],
		       "caller=%s route=%s server=%llx token=%08x "
		       "silent_syns=%u",
		       caller, route, (unsigned long long)change->server_id,
		       change->token, change->unanswered_syns);
	else
		cm_log(change_events[change->kind],
		       "caller=%s route=%s server=%llx token=%08x "
		       "waited_ms=%u bytes=%u",
		       caller, route, (unsigned long long)change->server_id,
		       change->token, change->waited_ms, change->bytes);
}

static bool is_loads_change(const struct cm_steer_change *change)
{
	return change->kind == CM_STEER_CHANGE_LOADS_KNOWN ||
	       change->kind == CM_STEER_CHANGE_LOADS_UNKNOWN;
}

static void log_change(const struct cm_steer_change *change)
{
	if (change->kind == CM_STEER_CHANGE_UNANSWERED ||
	    change->kind == CM_STEER_CHANGE_FLOW_FAILED)
		log_flow_change(change);
	else if (is_loads_change(change))
		cm_log(change_events[change->kind], "age_ms=%u",
		       change->waited_ms);
	else
		cm_log(change_events[change->kind],
		       "server=%llx token=%08x silent_syns=%u",
		       (unsigned long long)change->server_id, change->token,
		       change->unanswered_syns);
}

static void log_admission_report(const struct cm_admission_report *report)
{
	static const char *const states[] = {
		[CM_ADMISSION_BEGAN] = "began",
		[CM_ADMISSION_LASTS] = "lasts",
		[CM_ADMISSION_ENDED] = "ended",
	};
	const struct cm_admission_evidence *evidence = &report->evidence;

	cm_log(CM_EVENT_OVERLOAD,
	       "service=%s state=%s lasted_ms=%llu demand_slots_milli=%llu "
	       "capacity_slots_milli=%llu limit_slots_milli=%llu "
	       "completed_slots_milli=%llu requests_per_s=%u answered=%u "
	       "rejected=%u slowness_per_mille=%u others_congestion=%u "
	       "admitted=%u deferred=%u shed=%u",
	       report->service, states[report->kind],
	       (unsigned long long)report->lasted_ms,
	       (unsigned long long)(evidence->demand / WORK_US_PER_MILLISLOT),
	       (unsigned long long)(report->capacity / WORK_US_PER_MILLISLOT),
	       (unsigned long long)(report->limit / WORK_US_PER_MILLISLOT),
	       (unsigned long long)(evidence->completed /
				    WORK_US_PER_MILLISLOT),
	       evidence->started, evidence->answered, evidence->rejected,
	       evidence->slowness_per_mille, evidence->others_congestion,
	       report->totals.admitted, report->totals.deferred,
	       report->totals.shed);
}

static void log_admission_reports(struct cm_steer *steer)
{
	static struct cm_admission_report reports[CM_ADMISSION_REPORTS_MAX];
	uint32_t count = cm_steer_take_admission_reports(steer, reports);

	for (uint32_t i = 0; i < count; i++)
		log_admission_report(&reports[i]);
}

void cm_steer_log_changes(struct cm_steer *steer)
{
	static struct cm_steer_changes changes;

	log_admission_reports(steer);
	cm_steer_take_changes(steer, &changes);
	for (uint32_t i = 0; i < changes.count; i++)
		log_change(&changes.items[i]);
	if (changes.dropped)
		cm_log(CM_EVENT_LINES_LEFT_OUT, "of=changes lines=%u",
		       changes.dropped);
}
