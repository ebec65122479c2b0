#include "admission_internal.h"

#include <string.h>

#define US_PER_MS 1000
#define MS_PER_S 1000
#define PER_MILLE 1000
/** Number of windows in which a surge of demand shows. */
#define SURGE_WINDOWS 3
/** Time for which demand must exceed capacity before an overload begins, ms. */
#define EXCEEDED_MS 300
/** Response time that shows an overload, thousandths of the usual one. */
#define SLOW_PER_MILLE 2000
/**
 * Response times show an overload only above the objective divided by this.
 * Well below the objective, waiting costs callers nothing.
 */
#define OBJECTIVE_DIVISOR 2
/** Minimum number of responses for a mean that counts as evidence. */
#define ANSWERED_MIN 8
/** Minimum number of rejections that count as evidence. */
#define REJECTED_MIN 3
/**
 * Rejections count as evidence above this fraction of all responses; divisor.
 */
#define REJECTED_DIVISOR 20
/** Time for which the rejection of a second server counts, ms. */
#define REJECTING_MS 1000
/**
 * Congestion from which a failure domain has no room for further requests,
 * thousandths.
 */
#define CONGESTED_PER_MILLE 200

static uint64_t work_per_s(uint32_t count, uint32_t work_us, uint32_t span_ms)
{
	return (uint64_t)count * work_us * MS_PER_S / span_ms;
}

/**
 * struct recent_times - sums over the recent responses
 * @took_ms: their times, ms
 * @usual_us: usual times of their routes, us
 * @objective_ms: objectives of their routes, ms
 */
struct recent_times {
	uint64_t took_ms;
	uint64_t usual_us;
	uint64_t objective_ms;
};

/*
 * Adds a route to the evidence. Its requests count only once their work is
 * known: until then the demand is underestimated, so that nothing is refused.
 */
static void add_route_evidence(struct cm_admission_evidence *evidence,
			       struct recent_times *times,
			       const struct cm_route_demand *route,
			       uint64_t now_ms)
{
	struct cm_demand_count last_s, recent, surge;
	uint32_t span_ms = cm_route_demand_count(route, now_ms,
						 CM_DEMAND_WINDOWS, &last_s);
	uint32_t surge_ms =
		cm_route_demand_count(route, now_ms, SURGE_WINDOWS, &surge);

	cm_route_demand_count(route, now_ms, CM_DEMAND_RECENT_WINDOWS, &recent);

	evidence->rejected += recent.rejected;
	if (!cm_route_demand_work_is_known(route))
		return;
	evidence->demand += work_per_s(last_s.started, route->work_us, span_ms);
	evidence->recent_demand +=
		work_per_s(surge.started, route->work_us, surge_ms);
	evidence->completed +=
		work_per_s(last_s.answered, route->work_us, span_ms);
	evidence->started += last_s.started;
	evidence->recent_started += surge.started;
	evidence->answered += recent.answered;
	times->took_ms += recent.answer_ms;
	times->usual_us += (uint64_t)recent.answered * route->usual_us;
	times->objective_ms += (uint64_t)recent.answered * route->objective_ms;
}

void cm_admission_collect_evidence(struct cm_admission *admission,
				   uint64_t now_ms)
{
	struct cm_admission_evidence *evidence = &admission->evidence;
	struct recent_times times = { 0 };

	memset(evidence, 0, sizeof(*evidence));
	for (uint32_t i = 0; i < admission->route_count; i++)
		add_route_evidence(evidence, &times, &admission->routes[i],
				   now_ms);
	if (evidence->answered < ANSWERED_MIN || !times.usual_us)
		return;
	evidence->slowness_per_mille = (uint32_t)(times.took_ms * US_PER_MS *
						  PER_MILLE / times.usual_us);
	evidence->is_slow =
		evidence->slowness_per_mille > SLOW_PER_MILLE &&
		times.took_ms * OBJECTIVE_DIVISOR > times.objective_ms;
}

/*
 * Whether a demand exceeds capacity by more than the standard deviation that
 * follows from the number of requests, which is demand / sqrt(started): an
 * instance sees few requests.
 */
static bool exceeds_capacity(const struct cm_admission *admission,
			     uint64_t demand_us, uint32_t started)
{
	uint64_t demand = demand_us / US_PER_MS;
	uint64_t capacity = admission->capacity / US_PER_MS;

	if (!capacity || demand <= capacity)
		return false;
	return (demand - capacity) * (demand - capacity) * started >
	       demand * demand;
}

/*
 * The recent demand shows the start of a surge sooner, and the demand of the
 * last second shows a small excess more clearly.
 */
bool cm_admission_demand_is_exceeded(const struct cm_admission *admission)
{
	const struct cm_admission_evidence *evidence = &admission->evidence;

	return exceeds_capacity(admission, evidence->demand,
				evidence->started) ||
	       exceeds_capacity(admission, evidence->recent_demand,
				evidence->recent_started);
}

static bool rejections_are_many(const struct cm_admission_evidence *evidence)
{
	return evidence->rejected * REJECTED_DIVISOR >
	       evidence->rejected + evidence->answered;
}

/* A single server that rejects requests may be faulty. */
static bool servers_reject(const struct cm_admission *admission,
			   uint64_t now_ms)
{
	return admission->evidence.rejected >= REJECTED_MIN &&
	       rejections_are_many(&admission->evidence) &&
	       admission->rejecting_others_ms &&
	       now_ms < admission->rejecting_others_ms + REJECTING_MS;
}

bool cm_admission_responses_show_overload(const struct cm_admission *admission,
					  uint64_t now_ms)
{
	return servers_reject(admission, now_ms) ||
	       (admission->slow_ms &&
		now_ms >= admission->slow_ms + EXCEEDED_MS);
}

bool cm_admission_others_have_room(const struct cm_admission *admission)
{
	return admission->evidence.others_congestion < CONGESTED_PER_MILLE;
}
