#include "unit/suites.h"

#include "unit/steering.h"

/** Time from the first SYN to the end of a caller's attempt, ms. */
#define CALLER_ATTEMPT_MS 1400
/** Time after which a SYN counts as unanswered, ms. */
#define ANSWER_TIMEOUT_MS 80

UNIT_CASE("steer", "pauses of the node", steering_setup, steering_teardown,
	  UNIT_TIMEOUT_S);

static uint32_t open_flows(uint32_t token)
{
	return cm_steer_servers_find_by_token(&steering.servers, token)
		->open_flows;
}

/* Answers that arrive during a pause of the node are handled only after the
 * pause, so a SYN that was sent before it must not count as unanswered. */
TEST(pause_makes_no_server_suspected)
{
	static const uint64_t pauses_ms[] = { 1000, CALLER_ATTEMPT_MS - 1 };
	struct cm_steer_verdict first, again;

	steering_make_ready(3);
	for (uint16_t i = 0; i < 2; i++) {
		first = steering_send_syn(i, 0);
		steering_ms += pauses_ms[i];
		cm_steer_tick(&steering, steering_ms);
		again = steering_send_syn(i, 1);
		ck_assert_uint_eq(again.server_id, first.server_id);
		steering_send_packet(i, first.token, CM_STEER_ACK);
	}
	steering_send_syn(2, 0);
	steering_pause(5000);
	cm_steer_tick(&steering, steering_ms);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_SYN_UNANSWERED), 0);
}

/* Callers keep flows open between requests. An idle flow does not count as
 * open, and its next packet goes to the same server. */
TEST(pause_in_an_open_flow_changes_nothing)
{
	struct cm_steer_verdict first, later;

	steering_make_ready(3);
	first = steering_send_syn(1, 0);
	steering_send_packet(1, first.token, CM_STEER_ACK);
	steering_advance(10000);
	ck_assert_uint_eq(open_flows(first.token), 0);
	later = steering_send_packet(1, first.token, CM_STEER_ACK);
	ck_assert_int_eq(later.action, CM_STEER_FORWARD);
	ck_assert_uint_eq(later.server_id, first.server_id);
	steering_send_packet(1, first.token, CM_STEER_ACK | CM_STEER_FIN);
	ck_assert_uint_eq(open_flows(first.token), 0);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_SYN_UNANSWERED), 0);
}

/* A SYN is forwarded after a pause and before the first tick. The duration of
 * the pause must not count towards its timeout. */
TEST(syn_after_a_pause_has_its_full_timeout)
{
	steering_make_ready(3);
	steering_pause(5000);
	steering_send_syn(1, 0);
	cm_steer_tick(&steering, steering_ms);
	steering_advance(ANSWER_TIMEOUT_MS - 1);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_SYN_UNANSWERED), 0);
	steering_advance(1);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_SYN_UNANSWERED), 1);
}

/* Callers of SYNs that waited in the receive queue during a pause may have
 * given up, so a missing answer must not make the server suspected. */
TEST(packets_that_waited_make_no_server_suspected)
{
	struct cm_steer_verdict first[10], again;

	steering_make_ready(3);
	steering_pause(5000);
	for (uint16_t i = 0; i < 10; i++) {
		first[i] = steering_send_delayed_syn(i, 0, 5000);
		ck_assert_int_eq(first[i].action, CM_STEER_FORWARD);
	}
	for (uint16_t i = 0; i < 10; i++) {
		again = steering_send_delayed_syn(i, 1, 5000);
		ck_assert_uint_eq(again.server_id, first[i].server_id);
	}
	steering_advance(1000);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_SYN_UNANSWERED), 0);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_SUSPECTED), 0);
	ck_assert(cm_steer_is_ready(&steering, steering_ms));
}

/* The SYN of the flow waited during a pause, so its caller may have given up.
 * The flow does not count as open until the caller acknowledges the server's
 * answer. */
TEST(packet_that_waited_opens_a_flow)
{
	struct cm_steer_verdict first;

	steering_make_ready(1);
	steering_pause(5000);
	first = steering_send_delayed_syn(1, 0, 5000);
	ck_assert_uint_eq(open_flows(first.token), 0);
	steering_send_packet(1, first.token, CM_STEER_ACK);
	ck_assert_uint_eq(open_flows(first.token), 1);
	steering_send_packet(1, first.token, CM_STEER_ACK | CM_STEER_FIN);
	ck_assert_uint_eq(open_flows(first.token), 0);
}

/* A SYN waited in the receive queue during a pause. When the caller repeats it
 * after 200 ms and the server has not answered, the flow goes to another
 * server. */
TEST(repeated_syn_leaves_the_server_of_one_that_waited)
{
	struct cm_steer_verdict first, again;

	steering_make_ready(3);
	steering_pause(5000);
	first = steering_send_delayed_syn(1, 0, 5000);
	steering_advance(200);
	again = steering_send_syn(1, 1);
	ck_assert_uint_ne(again.server_id, first.server_id);
}

/* State of the registry after a pause of the node, how long the SYN has been
 * held, and the action for the SYN, which waited during the pause. */
static const struct {
	const char *what;
	bool is_unreachable;
	uint32_t held_ms;
	enum cm_steer_action action;
} after_pauses[] = {
	{ "registry not read since the pause", false, 0, CM_STEER_HOLD },
	{ "registry has not answered for 200 ms", false, 200,
	  CM_STEER_FORWARD },
	{ "registry reported as unreachable", true, 0, CM_STEER_FORWARD },
};

/* A server may have left during the pause, so the node holds new flows until
 * the registry answers. If the registry does not answer, the last known data is
 * used. */
TEST_TABLE(node_waits_for_the_registry_after_a_pause, after_pauses)
{
	struct cm_steer_packet packet = {
		.key = { { 0x64400007, 1, 6 }, steering_route },
		.flags = CM_STEER_SYN,
	};
	struct cm_steer_verdict verdict;

	steering_set_plan(1, 0);
	steering_add_server(1, "a");
	cm_steer_registry_answered(&steering, steering_ms);
	cm_steer_probe_succeeded(&steering, steering_ms, 0);
	steering_ms += 10000;
	if (after_pauses[_i].is_unreachable)
		cm_steer_registry_unreachable(&steering);
	packet.waited_ms = 10000;
	packet.held_ms = after_pauses[_i].held_ms;
	cm_steer_packet(&steering, steering_ms, &packet, &verdict);
	ck_assert_int_eq(verdict.action, after_pauses[_i].action);
}

TEST(server_that_left_during_a_pause_gets_no_flow)
{
	steering_set_plan(1, 0);
	steering_add_server(1, "a");
	steering_add_server(2, "a");
	cm_steer_registry_answered(&steering, steering_ms);
	cm_steer_probe_succeeded(&steering, steering_ms, 0);
	steering_ms += 10000;
	for (uint16_t port = 1; port <= 4; port++)
		ck_assert_int_eq(steering_send_syn(port, 0).action,
				 CM_STEER_HOLD);
	cm_steer_remove_server(&steering, steering_ms, 1);
	cm_steer_registry_answered(&steering, steering_ms);
	for (uint16_t port = 1; port <= 4; port++)
		ck_assert_uint_eq(steering_send_syn(port, 0).server_id, 2);
}
