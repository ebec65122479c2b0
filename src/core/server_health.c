#include "chervilmast/server_health.h"

#include "test_switch.h"

#define EIGHTHS 8
#define PER_MILLE 1000
/** Inverse weight of the last flow in the smoothed share of failed flows. */
#define FAILED_WEIGHT_DIVISOR 4
/**
 * Time after a server's answer in which other instances' reports of it are
 * ignored, ms.
 */
#define ANSWER_PRECEDENCE_MS 300
/** Time after which an ejection expires unless it is repeated, ms. */
#define EJECTION_TTL_MS 1000
/** Upper bound of a sample of the service time, ms. */
#define SERVICE_MAX_MS 10000

bool cm_server_health_syn_answered(struct cm_server_health *health,
				   uint64_t now_ms)
{
	bool was_suspected = health->unanswered_syns > 0;

	health->unanswered_syns = 0;
	health->reported_until_ms = 0;
	health->probes = 0;
	health->answered_ms = now_ms;
	return was_suspected;
}

bool cm_server_health_syn_unanswered(struct cm_server_health *health,
				     uint64_t sent_ms)
{
	if (health->answered_ms && sent_ms < health->answered_ms)
		return false;
	health->unanswered_syns++;
	health->unanswered_ms = sent_ms;
	/*
	 * A probe was answered, but a later SYN was not: another server has
	 * probably taken over the address and would answer further probes.
	 */
	if (health->reached_ms && sent_ms >= health->reached_ms &&
	    !cm_switched_off(CM_SWITCH_PROBE_REST))
		health->probe_backoff_until_ms =
			sent_ms + CM_HEALTH_PROBE_BACKOFF_MS;
	health->is_reached = false;
	return health->unanswered_syns == 1;
}

void cm_server_health_reported(struct cm_server_health *health, uint64_t now_ms)
{
	if (cm_switched_off(CM_SWITCH_SILENT_REPORT) ||
	    (health->answered_ms &&
	     now_ms < health->answered_ms + ANSWER_PRECEDENCE_MS))
		return;
	health->reported_ms = now_ms;
	health->reported_until_ms = now_ms + CM_HEALTH_REPORT_TTL_MS;
}

/*
 * Halves the failure rate first if no flow has ended for CM_HEALTH_STALE_MS, as
 * the server may have recovered.
 */
static void update_failure_rate(struct cm_server_health *health, bool failed,
				uint64_t now_ms)
{
	if (now_ms >= health->ended_ms + CM_HEALTH_STALE_MS)
		health->failed_per_mille /= 2;
	health->failed_per_mille -=
		health->failed_per_mille / FAILED_WEIGHT_DIVISOR;
	if (failed)
		health->failed_per_mille += PER_MILLE / FAILED_WEIGHT_DIVISOR;
}

bool cm_server_health_is_failure(uint32_t bytes)
{
	return bytes <= CM_HEALTH_ERROR_BYTES_MAX;
}

bool cm_server_health_flow_ended(struct cm_server_health *health,
				 uint32_t took_ms, uint32_t bytes,
				 uint64_t now_ms)
{
	uint32_t took = took_ms < SERVICE_MAX_MS ? took_ms : SERVICE_MAX_MS;
	bool failed = cm_server_health_is_failure(bytes);

	update_failure_rate(health, failed, now_ms);
	health->ended_ms = now_ms;
	if (failed)
		return true;

	if (!health->service_ms_eighths)
		health->service_ms_eighths = took * EIGHTHS;
	health->service_ms_eighths -= health->service_ms_eighths / EIGHTHS;
	health->service_ms_eighths += took;
	return false;
}

void cm_server_health_eject(struct cm_server_health *health, uint64_t now_ms)
{
	health->ejected_until_ms = now_ms + EJECTION_TTL_MS;
}

bool cm_server_health_is_suspected(const struct cm_server_health *health)
{
	return health->unanswered_syns > 0;
}

static uint64_t probe_interval_ms(const struct cm_server_health *health)
{
	uint64_t interval_ms = CM_HEALTH_PROBE_INTERVAL_MS;

	for (uint32_t i = 1; i < health->probes; i++)
		if (interval_ms < CM_HEALTH_PROBE_INTERVAL_MAX_MS)
			interval_ms *= 2;
	return interval_ms;
}

bool cm_server_health_is_silent(const struct cm_server_health *health,
				uint64_t now_ms)
{
	if (!health->unanswered_syns || health->is_reached || !health->probes)
		return false;
	return health->probes > 1 ||
	       now_ms >= health->probed_ms + CM_HEALTH_FIRST_PROBE_TIMEOUT_MS;
}

bool cm_server_health_probe_is_due(const struct cm_server_health *health,
				   uint64_t now_ms)
{
	if (!health->unanswered_syns || health->is_reached)
		return false;
	if (now_ms < health->probe_backoff_until_ms)
		return false;
	return !health->probes ||
	       now_ms >= health->probed_ms + probe_interval_ms(health);
}

void cm_server_health_probed(struct cm_server_health *health, uint64_t now_ms)
{
	health->probes++;
	health->probed_ms = now_ms;
}

void cm_server_health_reached(struct cm_server_health *health, uint64_t now_ms)
{
	health->reached_ms = now_ms;
	health->is_reached = true;
}

bool cm_server_health_may_get_flow(const struct cm_server_health *health,
				   uint64_t now_ms)
{
	if (now_ms < health->reported_until_ms)
		return false;
	return !health->unanswered_syns || health->is_reached;
}

void cm_server_health_flow_sent(struct cm_server_health *health,
				uint64_t now_ms)
{
	health->flow_sent_ms = now_ms;
	if (health->unanswered_syns)
		health->is_reached = false;
}
