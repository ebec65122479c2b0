#include "chervilmast/server_health.h"

#define EIGHTHS 8
/** Longest time of a flow that is taken for work of the server, ms. */
#define SERVICE_MAX_MS 10000

bool cm_server_health_answered(struct cm_server_health *health, uint64_t now_ms)
{
	bool was_suspected = health->unanswered > 0;

	health->unanswered = 0;
	health->answered_ms = now_ms;
	return was_suspected;
}

bool cm_server_health_unanswered(struct cm_server_health *health,
				 uint64_t sent_ms)
{
	if (health->answered_ms && sent_ms < health->answered_ms)
		return false;
	if (!health->unanswered)
		health->silent_since_ms = sent_ms;
	health->unanswered++;
	return health->unanswered == 1;
}

void cm_server_health_ended(struct cm_server_health *health, uint32_t took_ms,
			    uint64_t now_ms)
{
	uint32_t took = took_ms < SERVICE_MAX_MS ? took_ms : SERVICE_MAX_MS;

	if (!health->service_eighths)
		health->service_eighths = took * EIGHTHS;
	health->service_eighths -= health->service_eighths / EIGHTHS;
	health->service_eighths += took;
	health->service_ms = now_ms;
}

bool cm_server_health_is_suspected(const struct cm_server_health *health)
{
	return health->unanswered > 0;
}

bool cm_server_health_may_try(const struct cm_server_health *health,
			      uint64_t now_ms)
{
	uint64_t pause_ms = CM_HEALTH_TRIAL_MS;

	for (uint32_t i = 1; i < health->unanswered; i++)
		if (pause_ms < CM_HEALTH_TRIAL_MAX_MS)
			pause_ms *= 2;
	return now_ms >= health->trial_ms + pause_ms;
}

void cm_server_health_tried(struct cm_server_health *health, uint64_t now_ms)
{
	health->trial_ms = now_ms;
}
