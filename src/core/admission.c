#include "chervilmast/admission.h"

#include <string.h>

#include "test_switch.h"

#define US_PER_MS 1000
#define MS_PER_S 1000
#define PER_MILLE 1000
/**
 * Time for which requests must have been counted before demand is compared, ms.
 * By then, packets that waited during a pause are no longer in the counts.
 */
#define COUNTED_MS (CM_DEMAND_WINDOWS * CM_DEMAND_WINDOW_MS)
/** Number of windows in which a surge of demand shows. */
#define SURGE_WINDOWS 3
/** Time for which demand must exceed capacity before an overload begins, ms. */
#define EXCEEDED_MS 300
/** Time for which demand must be covered before an overload ends, ms. */
#define COVERED_MS 1000
/** Demand is covered below this share of the limit, thousandths. */
#define COVERED_PER_MILLE 850
/** Response time that shows an overload, thousandths of the usual one. */
#define SLOW_PER_MILLE 2000
/**
 * Response times show an overload only above the objective divided by this.
 * Well below the objective, waiting costs callers nothing.
 */
#define OBJECTIVE_DIVISOR 2
/**
 * Response time below which servers have free slots, thousandths of the usual
 * one.
 */
#define FAST_PER_MILLE 1500
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
 * Divisors of the steps of the limit at a response: at a rejection or one that
 * misses the objective, at one that shows free slots, and at any other. In
 * equilibrium, servers reject a few percent of the requests, so that their
 * slots are hardly ever idle.
 */
#define LOWER_DIVISOR 12
#define RAISE_FAST_DIVISOR 128
#define RAISE_DIVISOR 768
/**
 * Divisor of the step of the limit at an update while another failure domain
 * has room, so that an overload that began too early ends.
 */
#define RAISE_ROOM_DIVISOR 8
/**
 * Congestion from which a failure domain has no room for further requests,
 * thousandths.
 */
#define CONGESTED_PER_MILLE 200
/** The limit is not lowered below the capacity divided by this. */
#define LIMIT_MIN_DIVISOR 2
/** Maximum of the limit, in multiples of the capacity or completed work. */
#define LIMIT_MAX_FACTOR 2
/** Fraction of the completed work by which the limit may be lower; divisor. */
#define QUEUE_DIVISOR 4
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
/** Bursts of work assumed to wait at the servers when an overload begins. */
#define BACKLOG_BURSTS 2
/**
 * Fraction of a burst by which the credit that is needed differs between
 * neighbouring values of age_order(); divisor.
 */
#define AGE_DIVISOR 4
/** Resets per admitted request, thousandths. */
#define RESET_PER_MILLE 100
/** Maximum number of resets that are saved up, thousandths. */
#define RESET_SAVED 5000

void cm_admission_init(struct cm_admission *admission)
{
	memset(admission, 0, sizeof(*admission));
}

static uint32_t rank_of(const struct cm_admission *admission, uint32_t priority)
{
	uint32_t rank = 0;

	while (rank + 1 < admission->rank_count &&
	       admission->priorities[rank] < priority)
		rank++;
	return rank;
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

static void collect_evidence(struct cm_admission *admission, uint64_t now_ms)
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
static bool is_exceeded(const struct cm_admission *admission)
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

static bool responses_show_overload(const struct cm_admission *admission,
				    uint64_t now_ms)
{
	return servers_reject(admission, now_ms) ||
	       (admission->slow_ms &&
		now_ms >= admission->slow_ms + EXCEEDED_MS);
}

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/* Work of a burst, us. */
static int64_t burst(const struct cm_admission *admission)
{
	return (int64_t)(admission->limit / MS_PER_S * BURST_MS);
}

static void begin_overload(struct cm_admission *admission, uint64_t now_ms)
{
	admission->is_overloaded = true;
	admission->overloaded_ms = now_ms;
	admission->covered_ms = 0;
	admission->limit =
		max_u64(admission->capacity, admission->evidence.completed);
	admission->credit = -BACKLOG_BURSTS * burst(admission);
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

/*
 * What servers have completed is a measured lower bound of what they can. The
 * limit may be a little lower, so that full queues become shorter.
 */
static uint64_t least_limit(const struct cm_admission *admission)
{
	uint64_t completed = admission->evidence.completed;

	return max_u64(admission->capacity / LIMIT_MIN_DIVISOR,
		       completed - completed / QUEUE_DIVISOR);
}

static uint64_t greatest_limit(const struct cm_admission *admission)
{
	return LIMIT_MAX_FACTOR *
	       max_u64(admission->capacity, admission->evidence.completed);
}

static void clamp_limit(struct cm_admission *admission)
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
	clamp_limit(admission);
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
	clamp_limit(admission);
}

static bool others_have_room(const struct cm_admission *admission)
{
	return admission->evidence.others_congestion < CONGESTED_PER_MILLE;
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
	    responses_show_overload(admission, now_ms) &&
	    !others_have_room(admission) &&
	    !cm_switched_off(CM_SWITCH_ADMISSION))
		begin_overload(admission, now_ms);
}

static void check_end(struct cm_admission *admission, uint64_t now_ms)
{
	uint64_t limit = max_u64(admission->capacity, admission->limit);

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
	collect_evidence(admission, now_ms);
	admission->evidence.others_congestion = others_congestion;
	track_since(&admission->exceeded_ms,
		    now_ms >= admission->counted_ms + COUNTED_MS &&
			    is_exceeded(admission),
		    now_ms);
	track_since(&admission->slow_ms, admission->evidence.is_slow, now_ms);
	if (!admission->is_overloaded) {
		check_begin(admission, now_ms);
		return;
	}
	if (others_have_room(admission))
		admission->limit += admission->limit / RAISE_ROOM_DIVISOR;
	clamp_limit(admission);
	check_end(admission, now_ms);
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
	admission->credit =
		limited(admission->credit + added, burst(admission));
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
	int64_t step = burst(admission);
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
