#include "unit/suites.h"

#include "chervilmast/admission.h"
#include "chervilmast/flow_request.h"

#define START_MS 100000
#define WORK_MS 50
/* Two slots. */
#define CAPACITY 2000000
#define TWO_SERVERS 2
#define ONE_SERVER 1

static const struct cm_plan_route urgent_route = {
	.address = { 0xc6120001, 443, 6 },
	.objective_ms = 500,
	.traits = { CM_ROUTE_NON_IDEMPOTENT, 1, 2700 },
};
static const struct cm_plan_route bulk_route = {
	.address = { 0xc6120002, 443, 6 },
	.objective_ms = 450,
	.traits = { CM_ROUTE_IDEMPOTENT, 2, 2250 },
};

static struct cm_admission admission;
static struct cm_route_demand *urgent, *bulk;
static uint64_t now_ms;
/* Congestion of the other failure domains, thousandths. */
static uint32_t congestion;

/**
 * struct seen - what an instance sees in each 100 ms
 * @started: requests of the bulk route that start
 * @answered: responses
 * @took_ms: time of a response, ms
 * @rejected: rejections
 * @rejecting: number of servers that reject
 */
struct seen {
	uint32_t started;
	uint32_t answered;
	uint32_t took_ms;
	uint32_t rejected;
	uint32_t rejecting;
};

static const struct seen usual = { 2, 2, WORK_MS, 0, 0 };
static const struct seen surge = { 8, 4, 5 * WORK_MS, 4, TWO_SERVERS };

static void see(const struct seen *seen, uint32_t ms)
{
	for (uint64_t end_ms = now_ms + ms; now_ms < end_ms; now_ms += 100) {
		for (uint32_t i = 0; i < seen->started; i++)
			cm_route_demand_started(bulk, now_ms);
		for (uint32_t i = 0; i < seen->answered; i++)
			cm_admission_answered(&admission, now_ms, bulk,
					      seen->took_ms);
		for (uint32_t i = 0; i < seen->rejected; i++)
			cm_admission_rejected(&admission, now_ms, bulk,
					      1 + i % seen->rejecting);
		cm_admission_update(&admission, now_ms, CAPACITY, congestion);
	}
}

static void setup(void)
{
	now_ms = START_MS;
	congestion = CM_CONGESTION_FULL;
	cm_admission_init(&admission);
	cm_admission_add_route(&admission, &urgent_route, now_ms);
	cm_admission_add_route(&admission, &bulk_route, now_ms);
	urgent = cm_admission_find_route(&admission, &urgent_route.address);
	bulk = cm_admission_find_route(&admission, &bulk_route.address);
	for (int i = 0; i < CM_DEMAND_SAMPLES_MIN; i++)
		cm_route_demand_answered(urgent, now_ms, WORK_MS, true);
	see(&usual, 3000);
}

static void begin_overload(void)
{
	see(&surge, 1000);
	ck_assert(admission.is_overloaded);
}

static enum cm_admission_outcome decide(const struct cm_route_demand *route,
					uint32_t elapsed_ms, uint32_t next_ms)
{
	const struct cm_admission_request request = { route, elapsed_ms,
						      next_ms };

	return cm_admission_decide(&admission, now_ms, &request);
}

UNIT_CASE("steer_admission", "decisions", setup, NULL, UNIT_TIMEOUT_S);

/* What an instance sees for 3 s, and whether it is an overload. */
static const struct {
	const char *what;
	struct seen seen;
	bool is_overload;
} loads[] = {
	{ "usual load", { 2, 2, WORK_MS, 0, 0 }, false },
	{ "demand above capacity, usual responses",
	  { 8, 8, WORK_MS, 0, 0 },
	  false },
	{ "demand above capacity, one server rejects",
	  { 8, 6, WORK_MS, 2, ONE_SERVER },
	  false },
	{ "demand below capacity, all servers reject",
	  { 2, 0, 0, 2, TWO_SERVERS },
	  false },
	{ "demand below capacity, slow responses",
	  { 2, 2, 8 * WORK_MS, 0, 0 },
	  false },
	{ "demand above capacity, slow but well within the objective",
	  { 8, 8, 3 * WORK_MS, 0, 0 },
	  false },
	{ "demand above capacity, servers reject",
	  { 8, 4, WORK_MS, 4, TWO_SERVERS },
	  true },
	{ "demand above capacity, slow responses",
	  { 8, 4, 5 * WORK_MS, 0, 0 },
	  true },
};

/* Guards against requests that are refused although the servers could serve
 * them, as demand above the estimated capacity, rejections or slow responses
 * alone are no overload, and against an overload that is not found. */
TEST_TABLE(overload_needs_demand_and_evidence, loads)
{
	see(&loads[_i].seen, 3000);
	ck_assert_msg(admission.is_overloaded == loads[_i].is_overload, "%s",
		      loads[_i].what);
	if (!loads[_i].is_overload)
		for (int i = 0; i < 1000; i++)
			ck_assert_int_eq(decide(bulk, 0, 200),
					 CM_ADMISSION_ADMIT);
}

/* Guards against requests that are refused in a burst of one failure domain
 * although the servers of another one have room. Once that is full too, the
 * overload begins. */
TEST(room_elsewhere_is_no_overload)
{
	congestion = 0;
	see(&surge, 3000);
	ck_assert(!admission.is_overloaded);
	ck_assert_int_eq(decide(bulk, 0, 200), CM_ADMISSION_ADMIT);
	congestion = CM_CONGESTION_FULL;
	see(&surge, 500);
	ck_assert(admission.is_overloaded);
}

/* A surge of 300 ms or less is no overload. */
TEST(overload_begins_after_300_ms)
{
	see(&surge, 300);
	ck_assert(!admission.is_overloaded);
	see(&surge, 500);
	ck_assert(admission.is_overloaded);
}

/* Without a known share of the capacity, nothing is refused. */
TEST(unknown_capacity_is_no_overload)
{
	begin_overload();
	cm_admission_update(&admission, now_ms, 0, congestion);
	ck_assert(!admission.is_overloaded);
}

/* Until the work of a route is known, its requests are admitted. */
TEST(unknown_work_is_admitted)
{
	begin_overload();
	cm_route_demand_init(urgent, &urgent_route, now_ms);
	admission.credit = INT32_MIN;
	ck_assert_int_eq(decide(urgent, 0, 0), CM_ADMISSION_ADMIT);
}

/* A dip of demand of 1.5 s must not end an overload, but the overload must end
 * within 2.5 s after the demand is covered. */
TEST(overload_ends_when_demand_is_covered)
{
	begin_overload();
	see(&usual, 1500);
	ck_assert(admission.is_overloaded);
	see(&usual, 1000);
	ck_assert(!admission.is_overloaded);
}

/* The estimated capacity is a quarter of the real one: the limit must rise
 * until the state ends, while responses are as fast as usual. */
TEST(wrong_estimate_is_overcome)
{
	static const struct seen fast = { 8, 8, WORK_MS, 0, 0 };

	begin_overload();
	see(&fast, 3500);
	ck_assert(!admission.is_overloaded);
}

/* What is completed is possible, so the limit stays near it in spite of
 * rejections. */
TEST(limit_is_not_lowered_far_below_completed_work)
{
	begin_overload();
	see(&surge, 10000);
	ck_assert_uint_ge(admission.limit, admission.evidence.completed / 2);
	ck_assert_uint_ge(admission.limit, CAPACITY / 2);
}

/* Guards against a limit that stays low at a small instance: one response in
 * 100 ms is enough to raise it. */
TEST(few_fast_responses_raise_the_limit)
{
	static const struct seen few = { 4, 1, WORK_MS, 0, 0 };
	uint64_t limit;

	begin_overload();
	limit = admission.limit;
	see(&few, 5000);
	ck_assert_uint_gt(admission.limit, limit + limit / 4);
}

/* Guards against an overload that began too early and then limits requests for
 * seconds although another failure domain has room. */
TEST(room_elsewhere_ends_the_overload)
{
	static const struct seen slow = { 8, 6, 3 * WORK_MS, 0, 0 };

	begin_overload();
	congestion = 0;
	see(&slow, 3000);
	ck_assert(!admission.is_overloaded);
}

/* Servers that don't answer have no free slots: the limit must not rise until
 * the demand seems covered. */
TEST(limit_does_not_rise_without_responses)
{
	static const struct seen silence = { 8, 0, 0, 0, 0 };
	uint64_t limit;

	begin_overload();
	limit = admission.limit;
	see(&silence, 10000);
	ck_assert(admission.is_overloaded);
	ck_assert_uint_le(admission.limit, limit);
}

/* Fast responses to a quarter of the requests don't show that servers can serve
 * all: the overload must not end. */
TEST(limit_is_at_most_twice_what_is_possible)
{
	static const struct seen quarter = { 16, 4, WORK_MS, 0, 0 };
	uint64_t possible = CAPACITY;

	begin_overload();
	see(&quarter, 10000);
	ck_assert(admission.is_overloaded);
	if (admission.evidence.completed > possible)
		possible = admission.evidence.completed;
	ck_assert_uint_le(admission.limit, 2 * possible);
}

/* After a pause, the packets that waited arrive at once. */
TEST(pause_ends_overload_and_its_burst_begins_none)
{
	begin_overload();
	now_ms += 2500;
	for (int i = 0; i < 100; i++) {
		cm_route_demand_started(bulk, now_ms);
		cm_admission_rejected(&admission, now_ms, bulk,
				      1 + (uint32_t)i % 2);
	}
	cm_admission_update(&admission, now_ms, CAPACITY, congestion);
	ck_assert(!admission.is_overloaded);
	now_ms += 100;
	for (int i = 0; i < 100; i++)
		cm_route_demand_started(bulk, now_ms);
	see(&usual, 3000);
	ck_assert(!admission.is_overloaded);
}

/* Credit in bursts, time since the request was first sent, time until the next
 * transmission, and the outcome. A response takes about 250 ms here, of an
 * objective of 450 ms. */
static const struct {
	const char *what;
	bool is_urgent;
	int credit_quarters;
	uint32_t elapsed_ms;
	uint32_t next_ms;
	enum cm_admission_outcome outcome;
} decisions[] = {
	{ "full credit", false, 4, 0, 200, CM_ADMISSION_ADMIT },
	{ "no credit, comes back", false, -1, 0, 200, CM_ADMISSION_DEFER },
	{ "no credit, does not come back", false, -1, 0, 0, CM_ADMISSION_SHED },
	{ "last chance for the objective", false, 0, 200, 400,
	  CM_ADMISSION_ADMIT },
	{ "misses the objective, comes after the others", false, 1, 600, 800,
	  CM_ADMISSION_DEFER },
	{ "misses the objective, no others", false, 2, 600, 800,
	  CM_ADMISSION_ADMIT },
	{ "misses the deadline at its return", false, -1, 1400, 1600,
	  CM_ADMISSION_SHED },
	{ "misses the deadline", false, 4, 2240, 0, CM_ADMISSION_SHED },
	{ "higher priority without credit", true, -4, 0, 200,
	  CM_ADMISSION_ADMIT },
	{ "higher priority after its debt", true, -13, 0, 200,
	  CM_ADMISSION_DEFER },
};

TEST_TABLE(decision_follows_priority_and_age, decisions)
{
	begin_overload();
	decide(bulk, 0, 200);
	admission.reserve[1] = 0;
	admission.credit =
		decisions[_i].credit_quarters * (int64_t)(admission.limit / 40);
	ck_assert_msg(decide(decisions[_i].is_urgent ? urgent : bulk,
			     decisions[_i].elapsed_ms,
			     decisions[_i].next_ms) == decisions[_i].outcome,
		      "%s", decisions[_i].what);
}

/* Urgent requests use all credit; a lower priority keeps a tenth of it. */
TEST(lower_priority_keeps_a_tenth)
{
	uint64_t tenth, admitted = 0;

	begin_overload();
	tenth = 10 * (admission.limit / 10) / bulk->work_us;
	for (int ms = 0; ms < 10000; ms += 5) {
		now_ms += 5;
		decide(urgent, 0, 200);
		admitted += decide(bulk, 0, 200) == CM_ADMISSION_ADMIT;
	}
	ck_assert_uint_ge(admitted, tenth * 9 / 10);
	ck_assert_uint_le(admitted, tenth * 2);
}

/* A reset is answered by a retry: at most one for ten admitted requests. */
TEST(resets_are_a_tenth_of_admitted_requests)
{
	uint32_t admitted = 0, resets = 0;

	begin_overload();
	for (int ms = 0; ms < 10000; ms += 5) {
		now_ms += 5;
		admitted += decide(bulk, 0, 0) == CM_ADMISSION_ADMIT;
		resets += cm_admission_take_reset(&admission);
	}
	ck_assert_uint_gt(resets, 0);
	ck_assert_uint_le(resets * 10, admitted);
}

/* Acknowledgment numbers wrap around within the responses. */
TEST(request_ends_with_the_response)
{
	struct cm_flow_request request = { 0 };
	uint32_t ack = 0xffffff00U;

	ck_assert(cm_flow_request_is_next(&request, ack));
	cm_flow_request_begin(&request, 1, ack);
	/* A second packet, or a retransmission, of the same request. */
	ck_assert(!cm_flow_request_is_next(&request, ack));
	ck_assert(!cm_flow_request_acknowledge(&request, ack));
	ck_assert(cm_flow_request_acknowledge(&request, ack + 1000));
	ck_assert_int_eq(request.state, CM_REQUEST_ANSWERED);
	/* An old packet that was overtaken. */
	ck_assert(!cm_flow_request_is_next(&request, ack));
	ck_assert(cm_flow_request_is_next(&request, ack + 1000));
}

/* A header that is acknowledged before the body is no rejection. */
TEST(longer_response_is_no_rejection)
{
	struct cm_flow_request request = { 0 };

	cm_flow_request_begin(&request, 1, 1);
	ck_assert(cm_flow_request_acknowledge(&request, 101));
	ck_assert_int_eq(request.state, CM_REQUEST_SHORT);
	ck_assert(!cm_flow_request_acknowledge(&request, 101));
	ck_assert(cm_flow_request_acknowledge(&request, 1001));
	ck_assert_int_eq(request.state, CM_REQUEST_ANSWERED);
	ck_assert(!cm_flow_request_end(&request));
}

/* A repeated FIN, or a next request that is sent again, must not count the
 * rejection twice. */
TEST(short_response_is_one_rejection_at_its_end)
{
	struct cm_flow_request request = { 0 };

	cm_flow_request_begin(&request, 1, 1);
	ck_assert(!cm_flow_request_end(&request));
	ck_assert(cm_flow_request_acknowledge(&request, 101));
	ck_assert(cm_flow_request_end(&request));
	ck_assert_int_eq(request.state, CM_REQUEST_REJECTED);
	ck_assert(!cm_flow_request_end(&request));
	ck_assert(cm_flow_request_is_next(&request, 101));
}
