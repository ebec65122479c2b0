#include "admission_internal.h"

#define US_PER_MS 1000
#define MS_PER_S 1000
#define PER_MILLE 1000
/**
 * Length of a burst, ms: the work of the limit in this time may be admitted at
 * once. A fraction of an objective.
 */
#define BURST_MS 100
/** Maximum time for which credit is refilled at once, ms. */
#define REFILL_MAX_MS 200
/** Fraction of the limit reserved for each rank but the first; divisor. */
#define RESERVE_DIVISOR 10
/** Time for which an unused reserve is saved up, ms. */
#define RESERVE_SAVED_MS 500
/** Bursts by which the first rank may overdraw the credit. */
#define DEBT_BURSTS 3
/**
 * Fraction of a burst by which the credit that is needed differs between
 * neighbouring values of age_order(); divisor.
 */
#define AGE_DIVISOR 4
/** Resets per admitted request, thousandths. */
#define RESET_PER_MILLE 100
/** Maximum number of resets that are saved up, thousandths. */
#define RESET_SAVED 5000

static uint32_t rank_of(const struct cm_admission *admission, uint32_t priority)
{
	uint32_t rank = 0;

	while (rank + 1 < admission->rank_count &&
	       admission->priorities[rank] < priority)
		rank++;
	return rank;
}

/* Work of a burst, us. */
int64_t cm_admission_burst(const struct cm_admission *admission)
{
	return (int64_t)(admission->limit / MS_PER_S * BURST_MS);
}

static int64_t limited(int64_t value, int64_t max)
{
	return value < max ? value : max;
}

/*
 * Adds the work that has become due. Each rank but the first gets its reserve
 * until RESERVE_SAVED_MS of it are saved up; the rest is credit for all ranks.
 */
static void refill(struct cm_admission *admission, uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - admission->refilled_ms;
	int64_t added, reserved;

	if (now_ms <= admission->refilled_ms)
		return;
	if (passed_ms > REFILL_MAX_MS)
		passed_ms = REFILL_MAX_MS;
	admission->refilled_ms = now_ms;
	added = (int64_t)(admission->limit * passed_ms / MS_PER_S);
	reserved = added / RESERVE_DIVISOR;
	for (uint32_t rank = 1; rank < admission->rank_count; rank++) {
		int64_t max = (int64_t)(admission->limit / RESERVE_DIVISOR *
					RESERVE_SAVED_MS / MS_PER_S);
		int64_t kept =
			limited(reserved, max - admission->reserve[rank]);

		if (kept < 0)
			kept = 0;
		admission->reserve[rank] += kept;
		added -= kept;
	}
	admission->credit = limited(admission->credit + added,
				    cm_admission_burst(admission));
}

/* Time that a response is expected to take now, ms. */
static uint32_t expected_ms(const struct cm_admission *admission,
			    const struct cm_route_demand *route)
{
	uint32_t slowness = admission->evidence.slowness_per_mille;

	if (slowness < PER_MILLE)
		slowness = PER_MILLE;
	return (uint32_t)((uint64_t)route->work_us * slowness / PER_MILLE /
			  US_PER_MS);
}

/* Whether a time limit is met; 0 stands for no limit. */
static bool is_within(uint32_t elapsed_ms, uint32_t needed_ms,
		      uint32_t limit_ms)
{
	return !limit_ms || (uint64_t)elapsed_ms + needed_ms <= limit_ms;
}

/*
 * Order of a request by age, lower first: 0 if it meets the objective only when
 * admitted now, 1 if also at its next transmission, 2 if it can't meet it.
 */
static uint32_t age_order(const struct cm_admission *admission,
			  const struct cm_admission_request *request)
{
	const struct cm_route_demand *route = request->route;
	uint32_t needed_ms = expected_ms(admission, route);

	if (!is_within(request->elapsed_ms, needed_ms, route->objective_ms))
		return 2;
	return request->next_ms &&
	       is_within(request->elapsed_ms + request->next_ms, needed_ms,
			 route->objective_ms);
}

/*
 * Minimum credit at which a request is admitted, us: from -DEBT_BURSTS bursts
 * for the first rank in equal steps to 0 for the last one, and higher by age.
 */
static int64_t least_credit(const struct cm_admission *admission, uint32_t rank,
			    uint32_t order)
{
	int64_t step = cm_admission_burst(admission);
	int64_t least = 0;

	if (admission->rank_count > 1)
		least = -DEBT_BURSTS * step *
			(admission->rank_count - 1 - rank) /
			(admission->rank_count - 1);
	return least + order * step / AGE_DIVISOR;
}

static bool take_credit(struct cm_admission *admission,
			const struct cm_admission_request *request)
{
	uint32_t rank = rank_of(admission, request->route->traits.priority);
	int64_t work = request->route->work_us;

	if (rank && admission->reserve[rank] > 0) {
		admission->reserve[rank] -= work;
		return true;
	}
	if (admission->credit <
	    least_credit(admission, rank, age_order(admission, request)))
		return false;
	admission->credit -= work;
	return true;
}

static void save_reset(struct cm_admission *admission)
{
	if (admission->reset_credit < RESET_SAVED)
		admission->reset_credit += RESET_PER_MILLE;
}

enum cm_admission_outcome
cm_admission_decide(struct cm_admission *admission, uint64_t now_ms,
		    const struct cm_admission_request *request)
{
	const struct cm_route_demand *route = request->route;
	uint32_t work_ms = route->work_us / US_PER_MS;

	if (!admission->is_overloaded || !cm_route_demand_work_is_known(route))
		return CM_ADMISSION_ADMIT;
	refill(admission, now_ms);
	if (!is_within(request->elapsed_ms, work_ms, route->traits.timeout_ms))
		return CM_ADMISSION_SHED;
	if (take_credit(admission, request)) {
		save_reset(admission);
		return CM_ADMISSION_ADMIT;
	}
	if (request->next_ms &&
	    is_within(request->elapsed_ms + request->next_ms, work_ms,
		      route->traits.timeout_ms))
		return CM_ADMISSION_DEFER;
	return CM_ADMISSION_SHED;
}

bool cm_admission_take_reset(struct cm_admission *admission)
{
	if (admission->reset_credit < PER_MILLE)
		return false;
	admission->reset_credit -= PER_MILLE;
	return true;
}
