#include "admission_internal.h"

#define US_PER_MS 1000
#define PER_MILLE 1000
/**
 * Response time below which servers have free slots, thousandths of the usual
 * one.
 */
#define FAST_PER_MILLE 1500
/**
 * Divisors of the steps of the limit at a response: at a rejection or one that
 * misses the objective, at one that shows free slots, and at any other. In
 * equilibrium, servers reject a few percent of the requests, so that their
 * slots are hardly ever idle.
 */
#define LOWER_DIVISOR 12
#define RAISE_FAST_DIVISOR 128
#define RAISE_DIVISOR 768
/** The limit is not lowered below the capacity divided by this. */
#define LIMIT_MIN_DIVISOR 2
/** Maximum of the limit, in multiples of the capacity or completed work. */
#define LIMIT_MAX_FACTOR 2
/** Fraction of the completed work by which the limit may be lower; divisor. */
#define QUEUE_DIVISOR 4

/*
 * What servers have completed is a measured lower bound of what they can. The
 * limit may be a little lower, so that full queues become shorter.
 */
static uint64_t least_limit(const struct cm_admission *admission)
{
	uint64_t completed = admission->evidence.completed;

	return cm_admission_max(admission->capacity / LIMIT_MIN_DIVISOR,
				completed - completed / QUEUE_DIVISOR);
}

static uint64_t greatest_limit(const struct cm_admission *admission)
{
	return LIMIT_MAX_FACTOR *
	       cm_admission_max(admission->capacity,
				admission->evidence.completed);
}

void cm_admission_clamp_limit(struct cm_admission *admission)
{
	uint64_t least = least_limit(admission);
	uint64_t greatest = greatest_limit(admission);

	if (admission->limit < least)
		admission->limit = least;
	if (admission->limit > greatest)
		admission->limit = greatest;
}

/*
 * Moves the limit by each response rather than by the responses of a period, of
 * which a small instance has too few.
 */
static void follow_answer(struct cm_admission *admission,
			  const struct cm_route_demand *route, uint32_t took_ms)
{
	uint64_t took = (uint64_t)took_ms * US_PER_MS * PER_MILLE /
			(route->usual_us + 1);

	if (route->objective_ms && took_ms > route->objective_ms)
		admission->limit -= admission->limit / LOWER_DIVISOR;
	else if (took < FAST_PER_MILLE)
		admission->limit += admission->limit / RAISE_FAST_DIVISOR;
	else
		admission->limit += admission->limit / RAISE_DIVISOR;
	cm_admission_clamp_limit(admission);
}

void cm_admission_answered(struct cm_admission *admission, uint64_t now_ms,
			   struct cm_route_demand *route, uint32_t took_ms)
{
	cm_route_demand_answered(route, now_ms, took_ms,
				 cm_admission_is_calm(admission));
	if (admission->is_overloaded)
		follow_answer(admission, route, took_ms);
}

void cm_admission_rejected(struct cm_admission *admission, uint64_t now_ms,
			   struct cm_route_demand *route, uint32_t token)
{
	cm_route_demand_rejected(route, now_ms);
	if (admission->rejecting_ms && admission->rejecting != token)
		admission->rejecting_others_ms = admission->rejecting_ms;
	admission->rejecting = token;
	admission->rejecting_ms = now_ms;
	if (!admission->is_overloaded)
		return;
	admission->limit -= admission->limit / LOWER_DIVISOR;
	cm_admission_clamp_limit(admission);
}
