#include "unit/suites.h"

#include "unit/steering.h"

#define BULK_ADDRESS 0xc6120002
#define CALLER_ADDRESS 0x64400007
#define PORT 1025
#define ANSWER_BYTES 1000

static uint32_t ack;
static uint32_t token;

/* Puts a plan with two routes of different priorities in force. */
static void set_plan(enum cm_route_kind kind)
{
	const struct cm_steer_route routes[] = {
		{ .address = steering_route,
		  .objective_ms = 500,
		  .traits = { CM_ROUTE_NON_IDEMPOTENT, 1, 2700 },
		  .target_count = 1,
		  .targets = { { "ledger", 1 } } },
		{ .address = { BULK_ADDRESS, 443, 6 },
		  .objective_ms = 450,
		  .traits = { kind, 2, 2250 },
		  .target_count = 1,
		  .targets = { { "ledger", 1 } } },
	};
	struct cm_steer_plan plan;

	ASSERT_OK(cm_steer_plan_init(&plan, 1, 2, 0));
	for (int i = 0; i < COUNT_OF(routes); i++)
		ASSERT_OK(cm_steer_plan_add_route(&plan, &routes[i]));
	ASSERT_OK(cm_steer_plan_seal(&plan));
	ASSERT_OK(cm_steer_set_plan(&steering, &plan));
}

static struct cm_steer_verdict send_packet(uint8_t flags, uint32_t data_length)
{
	const struct cm_steer_packet packet = {
		.key = { { CALLER_ADDRESS, PORT, 6 },
			 { BULK_ADDRESS, 443, 6 } },
		.flags = flags,
		.token = token,
		.data_length = data_length,
		.ack = ack,
	};
	struct cm_steer_verdict verdict;

	cm_steer_packet(&steering, steering_ms, &packet, &verdict);
	return verdict;
}

/* Opens a flow that carries a request which is answered after 50 ms. */
static void open_flow(enum cm_route_kind kind)
{
	set_plan(kind);
	steering_add_server(1, "a");
	steering_add_server(2, "a");
	cm_steer_registry_answered(&steering, steering_ms);
	cm_steer_probe_succeeded(&steering, steering_ms, 0);
	token = 0;
	ack = 1;
	token = send_packet(CM_STEER_SYN, 0).token;
	send_packet(CM_STEER_ACK, 0);
	ck_assert_int_eq(send_packet(CM_STEER_ACK, 100).action,
			 CM_STEER_FORWARD);
	steering_advance(50);
	ack += ANSWER_BYTES;
	send_packet(CM_STEER_ACK, 0);
	steering_advance(100);
}

/* Lets the instance count as overloaded, with no credit for anything. */
static void overload(int64_t credit_us)
{
	struct cm_admission *admission =
		&steering.admissions.items[0].admission;

	ck_assert_uint_eq(steering.admissions.count, 1);
	admission->is_overloaded = true;
	admission->capacity = 1000000;
	admission->limit = 1000000;
	admission->credit = credit_us;
	admission->refilled_ms = steering_ms;
	for (uint32_t i = 0; i < admission->route_count; i++) {
		admission->routes[i].samples = CM_DEMAND_SAMPLES_MIN;
		admission->routes[i].work_us = 50000;
		admission->routes[i].usual_us = 50000;
	}
}

UNIT_CASE("steer_admission", "requests", steering_setup, steering_teardown,
	  UNIT_TIMEOUT_S);

/* The second request of a flow is dropped, is no request of the flow and no
 * failure of its server, and is forwarded once there is credit. */
TEST(deferred_request_does_not_count_for_the_server)
{
	open_flow(CM_ROUTE_IDEMPOTENT);
	overload(-10000000);
	ck_assert_int_eq(send_packet(CM_STEER_ACK, 100).reason,
			 CM_C_STEER_REQUEST_DEFERRED);
	steering_advance(200);
	overload(-10000000);
	ck_assert_int_eq(send_packet(CM_STEER_ACK, 100).action, CM_STEER_DROP);
	steering_advance(1000);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_FLOW_FAILED), 0);
	overload(100000);
	ck_assert_int_eq(send_packet(CM_STEER_ACK, 100).action,
			 CM_STEER_FORWARD);
}

/* No packet of an admitted request is dropped, however little credit is left:
 * neither its further packets nor a retransmission. */
TEST(admitted_request_is_forwarded_whole)
{
	open_flow(CM_ROUTE_IDEMPOTENT);
	overload(100000);
	ck_assert_int_eq(send_packet(CM_STEER_ACK, 100).action,
			 CM_STEER_FORWARD);
	overload(-10000000);
	for (int i = 0; i < 3; i++) {
		ck_assert_int_eq(send_packet(CM_STEER_ACK, 100).action,
				 CM_STEER_FORWARD);
		steering_advance(200);
		overload(-10000000);
	}
}

/* Packets without data and the end of a flow always pass. */
TEST(packets_without_data_are_forwarded)
{
	open_flow(CM_ROUTE_IDEMPOTENT);
	overload(-10000000);
	ck_assert_int_eq(send_packet(CM_STEER_ACK, 0).action, CM_STEER_FORWARD);
	ck_assert_int_eq(send_packet(CM_STEER_ACK, 100).action, CM_STEER_DROP);
	ck_assert_int_eq(send_packet(CM_STEER_ACK | CM_STEER_FIN, 0).action,
			 CM_STEER_FORWARD);
}

/* An upload may continue after an interim response. */
TEST(upload_is_not_deferred_half_way)
{
	open_flow(CM_ROUTE_UPLOAD);
	overload(-10000000);
	ck_assert_int_eq(send_packet(CM_STEER_ACK, 100).action,
			 CM_STEER_FORWARD);
}

/* Ends of a request whose response is as short as an error so far. */
static const struct {
	const char *what;
	enum cm_route_kind kind;
	uint8_t flags;
	uint32_t data_length;
	uint32_t rejected;
} short_ends[] = {
	{ "acknowledgment", CM_ROUTE_IDEMPOTENT, CM_STEER_ACK, 0, 0 },
	{ "FIN", CM_ROUTE_IDEMPOTENT, CM_STEER_ACK | CM_STEER_FIN, 0, 1 },
	{ "RST", CM_ROUTE_IDEMPOTENT, CM_STEER_RST, 0, 1 },
	{ "next request", CM_ROUTE_IDEMPOTENT, CM_STEER_ACK, 100, 1 },
	{ "interim response to an upload", CM_ROUTE_UPLOAD, CM_STEER_ACK, 100,
	  0 },
};

static uint32_t rejected_count(void)
{
	struct cm_admission *admission =
		&steering.admissions.items[0].admission;
	const struct cm_endpoint bulk = { BULK_ADDRESS, 443, 6 };
	struct cm_demand_count count;

	cm_route_demand_count(cm_admission_find_route(admission, &bulk),
			      steering_ms, CM_DEMAND_RECENT_WINDOWS, &count);
	return count.rejected;
}

/* A header that is acknowledged before the body is sent must not count as a
 * rejection, and a rejection must count once. */
TEST_TABLE(short_response_is_a_rejection_only_at_its_end, short_ends)
{
	open_flow(short_ends[_i].kind);
	send_packet(CM_STEER_ACK, 100);
	steering_advance(50);
	ack += 100;
	send_packet(CM_STEER_ACK, 0);
	for (int i = 0; i < 2; i++)
		send_packet(short_ends[_i].flags, short_ends[_i].data_length);
	steering_advance(100);
	ck_assert_msg(rejected_count() == short_ends[_i].rejected, "%s: %u",
		      short_ends[_i].what, rejected_count());
}

/* The first request of a flow was admitted with its SYN. */
TEST(request_of_an_admitted_syn_is_forwarded)
{
	open_flow(CM_ROUTE_IDEMPOTENT);
	send_packet(CM_STEER_ACK | CM_STEER_FIN, 0);
	token = 0;
	token = send_packet(CM_STEER_SYN, 0).token;
	overload(-10000000);
	send_packet(CM_STEER_ACK, 0);
	ck_assert_int_eq(send_packet(CM_STEER_ACK, 100).action,
			 CM_STEER_FORWARD);
}

/* New flows are deferred, and reset only within the budget. */
TEST(syn_without_credit_is_dropped)
{
	open_flow(CM_ROUTE_IDEMPOTENT);
	overload(-10000000);
	ck_assert_int_eq(steering_send_syn(2000, 0).reason,
			 CM_C_STEER_ADMISSION_DEFERRED);
	ck_assert_int_eq(steering_send_syn(2000, 2).reason,
			 CM_C_STEER_ADMISSION_SHED);
	steering.admissions.items[0].admission.reset_credit = 1000;
	ck_assert_int_eq(steering_send_syn(2000, 2).reason,
			 CM_C_STEER_ADMISSION_RESET);
	ck_assert_int_eq(steering_send_syn(2001, 2).reason,
			 CM_C_STEER_ADMISSION_SHED);
}

/* A SYN that waited while its caller sent it again, perhaps to an instance that
 * opened the flow, is not reset. */
TEST(delayed_syn_is_not_reset)
{
	open_flow(CM_ROUTE_IDEMPOTENT);
	overload(-10000000);
	steering.admissions.items[0].admission.reset_credit = 1000;
	ck_assert_int_eq(steering_send_delayed_syn(2000, 2, 199).action,
			 CM_STEER_RESET);
	steering.admissions.items[0].admission.reset_credit = 1000;
	ck_assert_int_eq(steering_send_delayed_syn(2000, 2, 200).action,
			 CM_STEER_DROP);
}

/* The begin and the end of an overload are reported once each, and once in a
 * second meanwhile. */
TEST(overload_is_reported)
{
	struct cm_admission_report reports[CM_ADMISSION_REPORTS_MAX];
	uint32_t count;

	open_flow(CM_ROUTE_IDEMPOTENT);
	overload(0);
	steering_advance(3500);
	count = cm_steer_take_admission_reports(&steering, reports);
	ck_assert_uint_ge(count, 1);
	ck_assert_uint_le(count, 4);
	ck_assert_int_eq(reports[count - 1].kind, CM_ADMISSION_ENDED);
	ck_assert_str_eq(reports[0].service, "ledger");
	ck_assert_uint_eq(cm_steer_take_admission_reports(&steering, reports),
			  0);
}

/* A new plan without different priorities ends the limits. */
TEST(plan_without_priorities_removes_the_service)
{
	open_flow(CM_ROUTE_IDEMPOTENT);
	overload(-10000000);
	steering_set_plan(2, 0);
	steering_advance(100);
	ck_assert_uint_eq(steering.admissions.count, 0);
	ck_assert_int_eq(steering_send_syn(2000, 0).action, CM_STEER_FORWARD);
}

/* A plan of a new version with the same routes keeps the state. */
TEST(new_plan_version_keeps_the_state)
{
	open_flow(CM_ROUTE_IDEMPOTENT);
	overload(-10000000);
	ASSERT_OK(cm_steer_set_plan_version(&steering, 2));
	steering_send_syn(2000, 0);
	ck_assert(steering.admissions.items[0].admission.is_overloaded);
	ck_assert_uint_eq(
		steering.admissions.items[0].admission.routes[1].samples,
		CM_DEMAND_SAMPLES_MIN);
}
