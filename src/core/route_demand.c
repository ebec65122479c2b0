#include "chervilmast/route_demand.h"

#include <string.h>

#define US_PER_MS 1000
#define PER_MILLE 1000
/**
 * Divisor of the steps of the work estimate. It falls by 3 steps on a shorter
 * time and rises by 1 step on a longer one, so that it approaches the lower
 * quartile of the times.
 */
#define WORK_STEP_DIVISOR 128
#define WORK_STEPS_DOWN 3
/** Divisor of the weight of a response time in the usual response time. */
#define USUAL_DIVISOR 32
/** Divisor of the weight of a flow in the share of long flows. */
#define SHAPE_DIVISOR 16
/** Multiple of the usual response time above which a response is slow. */
#define SLOW_FACTOR 2
/** A response is slow only above the objective divided by this. */
#define OBJECTIVE_DIVISOR 2
/** Maximum response time that is used, ms. */
#define TOOK_MAX_MS 10000

void cm_route_demand_init(struct cm_route_demand *demand,
			  const struct cm_plan_route *route, uint64_t now_ms)
{
	memset(demand, 0, sizeof(*demand));
	demand->address = route->address;
	demand->traits = route->traits;
	demand->objective_ms = route->objective_ms;
	cm_route_demand_restart(demand, now_ms);
}

void cm_route_demand_restart(struct cm_route_demand *demand, uint64_t now_ms)
{
	memset(demand->windows, 0, sizeof(demand->windows));
	demand->window_number = now_ms / CM_DEMAND_WINDOW_MS;
	demand->since_ms = now_ms;
}

/* Returns the current window; clears those that began since the last event. */
static struct cm_demand_count *current_window(struct cm_route_demand *demand,
					      uint64_t now_ms)
{
	uint64_t number = now_ms / CM_DEMAND_WINDOW_MS;

	if (number > demand->window_number + CM_DEMAND_WINDOWS)
		demand->window_number = number - CM_DEMAND_WINDOWS;
	while (demand->window_number < number) {
		demand->window_number++;
		memset(&demand->windows[demand->window_number %
					CM_DEMAND_WINDOWS],
		       0, sizeof(*demand->windows));
	}
	return &demand->windows[demand->window_number % CM_DEMAND_WINDOWS];
}

void cm_route_demand_started(struct cm_route_demand *demand, uint64_t now_ms)
{
	current_window(demand, now_ms)->started++;
}

/*
 * Under overload, longer times show waiting rather than work. Shorter times
 * always lower the estimates: an estimate that is too high may itself make
 * demand seem to exceed capacity, and must be corrected then.
 */
static void update_estimates(struct cm_route_demand *demand, uint32_t took_us,
			     bool is_calm)
{
	if (demand->samples < CM_DEMAND_SAMPLES_MIN)
		demand->samples++;
	if (!demand->work_us) {
		demand->work_us = took_us;
		demand->usual_us = took_us;
		return;
	}
	if (took_us < demand->work_us)
		demand->work_us -=
			demand->work_us * WORK_STEPS_DOWN / WORK_STEP_DIVISOR;
	else if (is_calm && took_us > demand->work_us)
		demand->work_us += demand->work_us / WORK_STEP_DIVISOR;
	if (!is_calm && took_us > demand->usual_us)
		return;
	demand->usual_us -= demand->usual_us / USUAL_DIVISOR;
	demand->usual_us += took_us / USUAL_DIVISOR;
}

void cm_route_demand_answered(struct cm_route_demand *demand, uint64_t now_ms,
			      uint32_t took_ms, bool is_calm)
{
	struct cm_demand_count *window = current_window(demand, now_ms);
	uint32_t took = took_ms < TOOK_MAX_MS ? took_ms : TOOK_MAX_MS;

	if (!took)
		took = 1;
	window->answered++;
	window->answer_ms += took;
	update_estimates(demand, took * US_PER_MS, is_calm);
}

void cm_route_demand_rejected(struct cm_route_demand *demand, uint64_t now_ms)
{
	current_window(demand, now_ms)->rejected++;
}

bool cm_route_demand_is_slow(const struct cm_route_demand *demand,
			     uint32_t took_ms)
{
	return demand->objective_ms &&
	       took_ms > demand->objective_ms / OBJECTIVE_DIVISOR &&
	       (uint64_t)took_ms * US_PER_MS >
		       (uint64_t)demand->usual_us * SLOW_FACTOR;
}

void cm_route_demand_flow_shape(struct cm_route_demand *demand, bool is_long)
{
	demand->long_per_mille -= demand->long_per_mille / SHAPE_DIVISOR;
	if (is_long)
		demand->long_per_mille += PER_MILLE / SHAPE_DIVISOR;
}

bool cm_route_demand_is_long(const struct cm_route_demand *demand)
{
	return demand->long_per_mille > PER_MILLE / 2;
}

bool cm_route_demand_work_is_known(const struct cm_route_demand *demand)
{
	return demand->samples >= CM_DEMAND_SAMPLES_MIN;
}

static void add_count(struct cm_demand_count *sum,
		      const struct cm_demand_count *count)
{
	sum->started += count->started;
	sum->answered += count->answered;
	sum->rejected += count->rejected;
	sum->answer_ms += count->answer_ms;
}

uint32_t cm_route_demand_count(const struct cm_route_demand *demand,
			       uint64_t now_ms, uint32_t windows,
			       struct cm_demand_count *sum)
{
	uint64_t number = now_ms / CM_DEMAND_WINDOW_MS;
	uint64_t from_ms = (number + 1 - windows) * CM_DEMAND_WINDOW_MS;

	memset(sum, 0, sizeof(*sum));
	for (uint64_t i = number + 1 - windows; i <= number; i++)
		if (i <= demand->window_number &&
		    i + CM_DEMAND_WINDOWS > demand->window_number)
			add_count(sum, &demand->windows[i % CM_DEMAND_WINDOWS]);
	if (from_ms < demand->since_ms)
		from_ms = demand->since_ms;
	return now_ms > from_ms ? (uint32_t)(now_ms - from_ms) : 1;
}
