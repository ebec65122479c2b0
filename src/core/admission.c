#include "chervilmast/admission.h"

#include <string.h>

#include "admission_internal.h"
#include "test_switch.h"

#define PER_MILLE 1000
/**
 * Time for which requests must have been counted before demand is compared, ms.
 * By then, packets that waited during a pause are no longer in the counts.
 */
#define COUNTED_MS (CM_DEMAND_WINDOWS * CM_DEMAND_WINDOW_MS)
/** Time for which demand must exceed capacity before an overload begins, ms. */
#define EXCEEDED_MS 300
/** Time for which demand must be covered before an overload ends, ms. */
#define COVERED_MS 1000
/** Demand is covered below this share of the limit, thousandths. */
#define COVERED_PER_MILLE 850
/**
 * Divisor of the step of the limit at an update while another failure domain
 * has room, so that an overload that began too early ends.
 */
#define RAISE_ROOM_DIVISOR 8
/** Bursts of work assumed to wait at the servers when an overload begins. */
#define BACKLOG_BURSTS 2

void cm_admission_init(struct cm_admission *admission)
{
	memset(admission, 0, sizeof(*admission));
}

/* Inserts a priority in order; the lowest ones are dropped when too many. */
static void add_priority(struct cm_admission *admission, uint32_t priority)
{
	uint32_t at = 0;

	while (at < admission->rank_count &&
	       admission->priorities[at] < priority)
		at++;
	if (at == CM_ADMISSION_RANKS_MAX ||
	    (at < admission->rank_count &&
	     admission->priorities[at] == priority))
		return;
	if (admission->rank_count < CM_ADMISSION_RANKS_MAX)
		admission->rank_count++;
	for (uint32_t i = admission->rank_count - 1; i > at; i--)
		admission->priorities[i] = admission->priorities[i - 1];
	admission->priorities[at] = priority;
}

static void list_priorities(struct cm_admission *admission)
{
	admission->rank_count = 0;
	for (uint32_t i = 0; i < admission->route_count; i++)
		add_priority(admission, admission->routes[i].traits.priority);
}

struct cm_route_demand *
cm_admission_find_route(struct cm_admission *admission,
			const struct cm_endpoint *address)
{
	for (uint32_t i = 0; i < admission->route_count; i++)
		if (cm_endpoint_equal(&admission->routes[i].address, address))
			return &admission->routes[i];
	return NULL;
}

void cm_admission_add_route(struct cm_admission *admission,
			    const struct cm_plan_route *route, uint64_t now_ms)
{
	struct cm_route_demand *demand =
		cm_admission_find_route(admission, &route->address);

	if (demand) {
		demand->traits = route->traits;
		demand->objective_ms = route->objective_ms;
	} else if (admission->route_count < CM_ADMISSION_ROUTES_MAX) {
		demand = &admission->routes[admission->route_count++];
		cm_route_demand_init(demand, route, now_ms);
	}
	list_priorities(admission);
}

void cm_admission_remove_route(struct cm_admission *admission, uint32_t index)
{
	admission->routes[index] = admission->routes[--admission->route_count];
	list_priorities(admission);
}

bool cm_admission_is_calm(const struct cm_admission *admission)
{
	return !admission->is_overloaded && !admission->exceeded_ms;
}

static void begin_overload(struct cm_admission *admission, uint64_t now_ms)
{
	admission->is_overloaded = true;
	admission->overloaded_ms = now_ms;
	admission->covered_ms = 0;
	admission->limit = cm_admission_max(admission->capacity,
					    admission->evidence.completed);
	admission->credit = -BACKLOG_BURSTS * cm_admission_burst(admission);
	admission->refilled_ms = now_ms;
	memset(admission->reserve, 0, sizeof(admission->reserve));
	admission->reset_credit = 0;
}

static void end_overload(struct cm_admission *admission)
{
	admission->is_overloaded = false;
	admission->exceeded_ms = 0;
	admission->covered_ms = 0;
}

/* Sets @since_ms to the time since when @condition holds. */
static void track_since(uint64_t *since_ms, bool condition, uint64_t now_ms)
{
	if (!condition)
		*since_ms = 0;
	else if (!*since_ms)
		*since_ms = now_ms;
}

static void check_begin(struct cm_admission *admission, uint64_t now_ms)
{
	if (admission->exceeded_ms &&
	    now_ms >= admission->exceeded_ms + EXCEEDED_MS &&
	    cm_admission_responses_show_overload(admission, now_ms) &&
	    !cm_admission_others_have_room(admission) &&
	    !cm_switched_off(CM_SWITCH_ADMISSION))
		begin_overload(admission, now_ms);
}

static void check_end(struct cm_admission *admission, uint64_t now_ms)
{
	uint64_t limit =
		cm_admission_max(admission->capacity, admission->limit);

	track_since(&admission->covered_ms,
		    admission->evidence.demand <
			    limit / PER_MILLE * COVERED_PER_MILLE,
		    now_ms);
	if (!admission->capacity ||
	    (admission->covered_ms &&
	     now_ms >= admission->covered_ms + COVERED_MS))
		end_overload(admission);
}

static void restart(struct cm_admission *admission, uint64_t now_ms)
{
	for (uint32_t i = 0; i < admission->route_count; i++)
		cm_route_demand_restart(&admission->routes[i], now_ms);
	admission->counted_ms = now_ms;
	admission->slow_ms = 0;
	admission->rejecting_ms = 0;
	admission->rejecting_others_ms = 0;
	end_overload(admission);
}

bool cm_admission_update_is_due(const struct cm_admission *admission,
				uint64_t now_ms)
{
	return now_ms >= admission->updated_ms + CM_ADMISSION_UPDATE_MS;
}

void cm_admission_update(struct cm_admission *admission, uint64_t now_ms,
			 uint64_t capacity, uint32_t others_congestion)
{
	if (now_ms >= admission->updated_ms + CM_ADMISSION_PAUSE_MS)
		restart(admission, now_ms);
	admission->updated_ms = now_ms;
	admission->capacity = capacity;
	cm_admission_collect_evidence(admission, now_ms);
	admission->evidence.others_congestion = others_congestion;
	track_since(&admission->exceeded_ms,
		    now_ms >= admission->counted_ms + COUNTED_MS &&
			    cm_admission_demand_is_exceeded(admission),
		    now_ms);
	track_since(&admission->slow_ms, admission->evidence.is_slow, now_ms);
	if (!admission->is_overloaded) {
		check_begin(admission, now_ms);
		return;
	}
	if (cm_admission_others_have_room(admission))
		admission->limit += admission->limit / RAISE_ROOM_DIVISOR;
	cm_admission_clamp_limit(admission);
	check_end(admission, now_ms);
}
