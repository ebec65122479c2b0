#include "unit/suites.h"

#include "chervilmast/steer_load.h"
#include "unit/steering.h"

/** Time from a request to the acknowledgment of its response, ms. */
#define WORK_MS 50
/** Time from one request of a long flow to the next, ms. */
#define INTERVAL_MS 3000
/** Ports from which the flows come that teach the node about the route. */
#define FIRST_PORT 500
#define TAUGHT_FLOWS 6

UNIT_CASE("steer", "load of flows", steering_setup, steering_teardown,
	  UNIT_TIMEOUT_S);

static void send_ack(uint16_t port, uint32_t token, uint32_t bytes)
{
	const struct cm_steer_packet packet = {
		.key = { { 0x64400007, port, 6 }, steering_route },
		.token = token,
		.flags = CM_STEER_ACK,
		.ack = STEERING_FIRST_ACK + bytes,
	};
	struct cm_steer_verdict verdict;

	cm_steer_packet(&steering, steering_ms, &packet, &verdict);
	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
}

/* Sends request number @request of a flow, of which all earlier ones were
 * answered, and acknowledges its answer. */
static void run_request(uint16_t port, uint32_t token, uint32_t request)
{
	steering_send_data(port, token, request * STEERING_ANSWER_BYTES);
	steering_advance(WORK_MS);
	send_ack(port, token, (request + 1) * STEERING_ANSWER_BYTES);
}

static uint32_t open_flow(uint16_t port)
{
	struct cm_steer_verdict verdict = steering_send_syn(port, 0);

	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
	steering_send_packet(port, verdict.token, CM_STEER_ACK);
	return verdict.token;
}

static const struct cm_steer_server *server_of(uint32_t token)
{
	return cm_steer_servers_find_by_token(&steering.servers, token);
}

static uint32_t load_of(uint32_t token)
{
	return server_of(token)->load.own;
}

/* Runs flows of two requests each, INTERVAL_MS apart, and ends them. */
static void teach_long_route(void)
{
	uint32_t tokens[TAUGHT_FLOWS];

	for (uint16_t i = 0; i < TAUGHT_FLOWS; i++)
		tokens[i] = open_flow(FIRST_PORT + i);
	for (uint16_t i = 0; i < TAUGHT_FLOWS; i++)
		run_request(FIRST_PORT + i, tokens[i], 0);
	steering_advance(1000);
	for (uint16_t i = 0; i < TAUGHT_FLOWS; i++)
		run_request(FIRST_PORT + i, tokens[i], 1);
	steering_advance(INTERVAL_MS - WORK_MS * TAUGHT_FLOWS);
	for (uint16_t i = 0; i < TAUGHT_FLOWS; i++)
		run_request(FIRST_PORT + i, tokens[i], 2);
	for (uint16_t i = 0; i < TAUGHT_FLOWS; i++)
		steering_end_flow(FIRST_PORT + i, tokens[i],
				  3 * STEERING_ANSWER_BYTES);
	ck_assert_uint_eq(load_of(tokens[0]), 0);
}

/* A flow that is idle between two requests must keep its share in the load of
 * its server. It was forgotten after 1.5 s, so that servers with many idle
 * flows seemed to be free. */
TEST(idle_long_flow_counts_with_its_mean_load)
{
	uint64_t kept;
	uint32_t token;

	steering_make_ready(1);
	teach_long_route();
	kept = steering_counter(CM_C_STEER_FLOW_KEPT);
	token = open_flow(1);
	run_request(1, token, 0);
	steering_advance(14000);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_FLOW_KEPT), kept + 1);
	ck_assert_uint_ge(load_of(token), 10);
	ck_assert_uint_le(load_of(token), 60);
	steering_advance(1100);
	ck_assert_uint_eq(load_of(token), 0);
	ck_assert_uint_eq(steering.flows.count, 0);
}

/* A flow that carries one request counts as one busy slot until it ends, and is
 * forgotten soon, as before long flows were distinguished. */
TEST(flow_with_one_request_is_one_busy_slot)
{
	uint32_t token;

	steering_make_ready(1);
	for (uint16_t port = 100; port < 110; port++)
		steering_run_flow(port, WORK_MS);
	token = open_flow(1);
	ck_assert_uint_eq(load_of(token), CM_LOAD_SLOT);
	run_request(1, token, 0);
	ck_assert_uint_eq(load_of(token), CM_LOAD_SLOT);
	steering_advance(1600);
	ck_assert_uint_eq(load_of(token), 0);
	ck_assert_uint_eq(steering.flows.count, 0);
}

/* The data of a TLS handshake follows the server's at once. It must not make
 * flows with one request look like long flows. */
TEST(handshake_is_no_further_request)
{
	uint32_t token;

	steering_make_ready(1);
	token = open_flow(1);
	run_request(1, token, 0);
	run_request(1, token, 1);
	ck_assert_uint_eq(load_of(token), CM_LOAD_SLOT);
	steering_advance(1600);
	ck_assert_uint_eq(steering.flows.count, 0);
}

/* A request whose response takes much longer than usual occupies a slot, or
 * waits for one. */
TEST(overdue_response_is_one_busy_slot)
{
	uint32_t token;

	steering_make_ready(1);
	teach_long_route();
	token = open_flow(1);
	run_request(1, token, 0);
	steering_advance(1000);
	steering_send_data(1, token, STEERING_ANSWER_BYTES);
	ck_assert_uint_lt(load_of(token), CM_LOAD_SLOT);
	steering_advance(6 * WORK_MS);
	steering_send_data(1, token, STEERING_ANSWER_BYTES);
	ck_assert_uint_eq(load_of(token), CM_LOAD_SLOT);
	send_ack(1, token, 2 * STEERING_ANSWER_BYTES);
	ck_assert_uint_lt(load_of(token), CM_LOAD_SLOT);
}

/* After the loss of an instance its flows continue at other instances, which
 * have to count them. They must not yield service times or results. */
TEST(flow_of_a_lost_instance_is_adopted)
{
	uint32_t token = cm_steer_token(1, 0);

	steering_make_ready(1);
	teach_long_route();
	steering.successes.count = 0;
	run_request(7, token, 5);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_FLOW_ADOPTED), 1);
	ck_assert_uint_gt(load_of(token), 0);
	ck_assert_uint_eq(server_of(token)->open_flows, 1);
	steering_advance(10000);
	ck_assert_uint_gt(load_of(token), 0);
	steering_end_flow(7, token, 6 * STEERING_ANSWER_BYTES);
	ck_assert_uint_eq(load_of(token), 0);
	ck_assert_uint_eq(server_of(token)->open_flows, 0);
	ck_assert_uint_eq(steering.successes.count, 0);
	ck_assert_uint_eq(steering.failures.count, 0);
}

/* All instances return and adopt all flows at once, before they know the
 * routes. Idle flows must not make all servers look full. */
TEST(adopted_flow_of_an_unknown_route_counts_during_a_request)
{
	uint32_t token = cm_steer_token(1, 0);

	steering_make_ready(1);
	steering_send_data(7, token, 0);
	ck_assert_uint_eq(load_of(token), CM_LOAD_SLOT);
	send_ack(7, token, STEERING_ANSWER_BYTES);
	ck_assert_uint_eq(load_of(token), 0);
}

/* A late RST of a flow whose SYN counts as unanswered must not leave a share in
 * the load behind. */
TEST(reset_of_an_unanswered_flow_leaves_no_load)
{
	struct cm_steer_verdict verdict;

	steering_make_ready(1);
	verdict = steering_send_syn(1, 0);
	steering_advance(100);
	ck_assert_uint_eq(load_of(verdict.token), 0);
	steering_send_packet(1, verdict.token, CM_STEER_RST);
	ck_assert_uint_eq(load_of(verdict.token), 0);
}

/* The pauses of a long flow are the caller's. Counted as service time, they
 * would make the server look slow. */
TEST(pauses_are_no_service_time)
{
	uint32_t token;

	steering_make_ready(1);
	token = open_flow(1);
	run_request(1, token, 0);
	steering_advance(1000);
	run_request(1, token, 1);
	steering_end_flow(1, token, 2 * STEERING_ANSWER_BYTES);
	ck_assert_uint_le(server_of(token)->health.service_ms_eighths / 8,
			  2 * WORK_MS);
}

/* Kept flows are evicted first when the table is full, and never a new flow for
 * an adopted one. */
TEST(full_table_evicts_kept_flows_first)
{
	uint32_t token;

	steering_make_ready(1);
	teach_long_route();
	token = open_flow(1);
	run_request(1, token, 0);
	steering_advance(2000);
	for (uint16_t port = 1000; port < 1000 + STEERING_FLOWS_MAX; port++)
		open_flow(port);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_FLOW_FORGOTTEN), 1);
	ck_assert_uint_eq(steering.flows.count, STEERING_FLOWS_MAX);
	steering_send_data(7, token, 0);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_FLOW_ADOPTED), 0);
}

/* Kept flows are not examined at each tick, which would take too much processor
 * time with thousands of them. */
TEST(kept_flows_are_not_examined_at_each_tick)
{
	uint32_t token;

	steering_make_ready(1);
	teach_long_route();
	token = open_flow(1);
	run_request(1, token, 0);
	steering_advance(2000);
	ck_assert_ptr_null(TAILQ_FIRST(&steering.flows.lru));
	ck_assert_ptr_nonnull(TAILQ_FIRST(&steering.flows.kept));
	run_request(1, token, 1);
	ck_assert_ptr_null(TAILQ_FIRST(&steering.flows.kept));
}

/* Sets the load that other instances put on a server. */
static void set_others(uint64_t id, uint32_t load)
{
	const struct cm_load_list sums = {
		.tokens = { cm_steer_token(id, 0) },
		.loads = { load },
		.count = 1,
	};

	cm_steer_apply_loads(&steering, steering_ms, &sums);
}

static void set_all_others(uint64_t servers, uint32_t load)
{
	for (uint64_t id = 1; id <= servers; id++)
		set_others(id, load);
}

#define ORDER_SERVERS 8
#define ORDER_FLOWS 32

/* Runs per-request flows; sets @ids to the servers that they were placed on. */
static void run_single_flows(uint64_t *ids)
{
	for (uint16_t i = 0; i < ORDER_FLOWS; i++)
		ids[i] = steering_run_flow(2000 + i, WORK_MS);
}

/* The loads are up to a second old, which is many times the duration of a flow
 * with one request. Usual differences must not change the order in which an
 * instance chooses servers for such flows. */
TEST(usual_loads_do_not_change_the_order_of_single_flows)
{
	uint64_t before[ORDER_FLOWS], after[ORDER_FLOWS];

	steering_make_ready(ORDER_SERVERS);
	run_single_flows(before);
	steering_teardown();
	steering_setup();
	steering_make_ready(ORDER_SERVERS);
	for (uint64_t id = 1; id <= ORDER_SERVERS; id++)
		set_others(id, (uint32_t)(id * 450));
	run_single_flows(after);
	for (int i = 0; i < ORDER_FLOWS; i++)
		ck_assert_uint_eq(before[i], after[i]);
}

/* At four flows at each server on average, eight at one of them are usual, and
 * over before the next report. All instances would avoid the server until then.
 */
TEST(random_burst_does_not_change_the_order_of_single_flows)
{
	uint64_t ids[ORDER_FLOWS];
	uint32_t at_busy = 0;

	steering_make_ready(ORDER_SERVERS);
	set_all_others(ORDER_SERVERS, 3500);
	set_others(3, 8000);
	run_single_flows(ids);
	for (int i = 0; i < ORDER_FLOWS; i++)
		at_busy += ids[i] == 3;
	ck_assert_uint_eq(at_busy, ORDER_FLOWS / ORDER_SERVERS);
}

/* A server that other instances have filled, while the rest is idle, must not
 * get more flows. */
TEST(clearly_loaded_server_gets_no_single_flows)
{
	uint64_t ids[ORDER_FLOWS];

	steering_make_ready(ORDER_SERVERS);
	set_all_others(ORDER_SERVERS, 500);
	set_others(3, 9000);
	run_single_flows(ids);
	for (int i = 0; i < ORDER_FLOWS; i++)
		ck_assert_uint_ne(ids[i], 3);
}

/* When all servers are full, none of them is worse than the others. */
TEST(equally_full_servers_get_single_flows_in_turn)
{
	uint64_t ids[ORDER_FLOWS];
	uint32_t counts[ORDER_SERVERS + 1] = { 0 };

	steering_make_ready(ORDER_SERVERS);
	set_all_others(ORDER_SERVERS, 9000);
	run_single_flows(ids);
	for (int i = 0; i < ORDER_FLOWS; i++) {
		ck_assert_uint_le(ids[i], ORDER_SERVERS);
		counts[ids[i]]++;
	}
	for (int id = 1; id <= ORDER_SERVERS; id++)
		ck_assert_uint_eq(counts[id], ORDER_FLOWS / ORDER_SERVERS);
}

static uint64_t place_long_flow(uint16_t port)
{
	return server_of(open_flow(port))->entry.id;
}

/* Long flows avoid a server that other instances have loaded, as long as this
 * is known; then the instance's own flows decide again. */
TEST(long_flows_avoid_a_loaded_server_while_loads_are_known)
{
	uint32_t at_loaded = 0;

	steering_make_ready(4);
	teach_long_route();
	set_all_others(4, 100);
	set_others(2, 1500);
	for (uint16_t port = 1; port <= 12; port++)
		at_loaded += place_long_flow(port) == 2;
	ck_assert_uint_le(at_loaded, 1);
	ck_assert_uint_gt(steering_counter(CM_C_STEER_CHOSEN_BY_LOADS), 0);
	steering_advance(CM_SERVER_LOAD_STALE_MS);
	for (uint16_t port = 21; port <= 32; port++)
		at_loaded += place_long_flow(port) == 2;
	ck_assert_uint_ge(at_loaded, 3);
	ck_assert_uint_gt(steering_counter(CM_C_STEER_CHOSEN_BY_ESTIMATE), 0);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_LOADS_UNKNOWN), 1);
}

/* A server in its cold start is empty, but must not get more long flows than
 * its rate allows. */
TEST(cold_start_limits_long_flows)
{
	struct cm_server_entry entry = steering_make_entry(5, "a");
	uint32_t cold = 0;

	steering_make_ready(4);
	teach_long_route();
	steering_set_plan(2, 20);
	entry.cold_left_ms = 10000;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
	for (uint16_t port = 1; port <= 50; port++) {
		set_all_others(4, 1900);
		set_others(5, 0);
		cold += place_long_flow(port) == 5;
		steering_advance(20);
	}
	ck_assert_uint_gt(cold, 2);
	ck_assert_uint_le(cold, 20 + 2);
}

/* A silent server has no load; it must not attract flows. */
TEST(silent_server_gets_no_long_flows)
{
	struct cm_steer_verdict verdict;

	steering_make_ready(4);
	teach_long_route();
	set_all_others(4, 800);
	verdict = steering_send_syn(900, 0);
	steering_advance(100);
	set_others(verdict.server_id, 0);
	for (uint16_t port = 1; port <= 20; port++)
		ck_assert_uint_ne(place_long_flow(port), verdict.server_id);
}

/* The load of a server in another failure domain is only known as far as
 * instances here cause it, and must not make the server look idle. */
TEST(other_domain_is_used_by_cost)
{
	uint32_t remote = 0;

	steering_make_ready(2);
	teach_long_route();
	set_all_others(2, 1000);
	set_others(101, 0);
	set_others(102, 0);
	for (uint16_t port = 1; port <= 8; port++)
		remote += place_long_flow(port) > 100;
	ck_assert_uint_eq(remote, 0);
	set_all_others(2, 20000);
	for (uint16_t port = 11; port <= 18; port++)
		remote += place_long_flow(port) > 100;
	ck_assert_uint_ge(remote, 6);
}

/* Loads that changed most are reported first; each message is bounded. */
TEST(changed_loads_are_reported_first)
{
	struct cm_load_list loads;

	steering_make_ready(40);
	for (uint64_t id = 1; id <= 40; id++) {
		cm_steer_servers_find_by_id(&steering.servers, id)->load.own =
			(uint32_t)id;
		cm_steer_servers_find_by_id(&steering.servers, 100 + id)
			->load.own = 1000 + (uint32_t)id;
	}
	ck_assert(!cm_steer_take_loads(&steering, steering_ms, &loads));
	ck_assert_uint_eq(loads.count, CM_LOAD_LIST_MAX);
	ck_assert_uint_eq(loads.tokens[0], cm_steer_token(140, 0));
	ck_assert(cm_steer_take_loads(&steering, steering_ms + 1000, &loads));
	ck_assert_uint_eq(loads.tokens[0], cm_steer_token(16, 0));
	cm_steer_servers_find_by_id(&steering.servers, 7)->load.own = 500;
	cm_steer_take_loads(&steering, steering_ms + 1100, &loads);
	ck_assert_uint_eq(loads.count, 8);
	ck_assert_uint_eq(loads.tokens[0], cm_steer_token(7, 0));
	ck_assert_uint_eq(loads.loads[0], 500);
}

/* A flow whose route is not known yet counts as one busy slot, many times the
 * load of a long flow. Loads with such flows must not be taken for complete. */
TEST(loads_are_incomplete_until_routes_are_known)
{
	struct cm_load_list loads;

	steering_make_ready(1);
	open_flow(1);
	ck_assert(!cm_steer_take_loads(&steering, steering_ms, &loads));
	run_request(1, cm_steer_token(1, 0), 0);
	steering_advance(500);
	run_request(1, cm_steer_token(1, 0), 1);
	ck_assert(cm_steer_take_loads(&steering, steering_ms, &loads));
}
