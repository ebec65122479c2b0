#include "unit/suites.h"

#include <string.h>

#include "chervilmast/error.h"
#include "unit/steering.h"

UNIT_CASE("steer", "packets", steering_setup, steering_teardown,
	  UNIT_TIMEOUT_S);

TEST(later_packets_follow_their_token)
{
	struct cm_steer_verdict first, later;

	steering_make_ready(3);
	first = steering_send_syn(1, 0);
	ck_assert_int_eq(first.action, CM_STEER_FORWARD);
	ck_assert_uint_ne(first.token, 0);
	later = steering_send_packet(1, first.token, CM_STEER_ACK);
	ck_assert_int_eq(later.action, CM_STEER_FORWARD);
	ck_assert_int_eq(later.reason, CM_C_STEER_BY_TOKEN);
	ck_assert_uint_eq(later.server_id, first.server_id);
}

/* The node has no state of the flow, since another node forwarded its SYN. */
TEST(token_suffices_on_another_node)
{
	uint32_t token = cm_steer_token(2, 0);
	struct cm_steer_verdict verdict;

	steering_make_ready(3);
	verdict = steering_send_packet(9, token, CM_STEER_ACK);
	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
	ck_assert_uint_eq(verdict.server_id, 2);
}

/* The flow may be alive at a server of which this node has no entry, so its
 * packet is dropped and the caller gets no reset. */
TEST(packet_with_unknown_token_is_dropped)
{
	struct cm_steer_verdict verdict;

	steering_make_ready(1);
	verdict = steering_send_packet(1, 0x12345678, CM_STEER_ACK);
	ck_assert_int_eq(verdict.action, CM_STEER_DROP);
	ck_assert_int_eq(verdict.reason, CM_C_STEER_UNKNOWN_TOKEN);
	verdict = steering_send_packet(1, 0, CM_STEER_ACK);
	ck_assert_int_eq(verdict.action, CM_STEER_DROP);
	ck_assert_int_eq(verdict.reason, CM_C_STEER_NO_TOKEN);
}

TEST(syn_without_a_plan_is_reset_at_once)
{
	struct cm_steer_verdict verdict = steering_send_syn(1, 0);

	ck_assert_int_eq(verdict.action, CM_STEER_RESET);
	ck_assert_int_eq(verdict.reason, CM_C_STEER_NO_PLAN);
	ck_assert(!cm_steer_is_ready(&steering, steering_ms));
}

/* A SYN that waited in the receive queue, and what becomes of it without a
 * plan. */
static const struct {
	uint32_t repeats;
	uint32_t waited_ms;
	enum cm_steer_action action;
} waited_without_plan[] = {
	{ 0, 199, CM_STEER_RESET }, { 0, 200, CM_STEER_DROP },
	{ 1, 399, CM_STEER_RESET }, { 1, 400, CM_STEER_DROP },
	{ 2, 799, CM_STEER_RESET }, { 2, 800, CM_STEER_DROP },
	{ 9, 799, CM_STEER_RESET }, { 0, 2477, CM_STEER_DROP },
};

/* Guards against the reset of an open flow: an instance that was paused before
 * it had a plan finds SYNs that waited in its socket, and their callers may
 * have opened the flows at another instance by a repeated SYN. */
TEST_TABLE(syn_that_waited_without_a_plan_is_not_reset, waited_without_plan)
{
	struct cm_steer_verdict verdict =
		steering_send_delayed_syn(1, waited_without_plan[_i].repeats,
					  waited_without_plan[_i].waited_ms);

	ck_assert_int_eq(verdict.action, waited_without_plan[_i].action);
	ck_assert_int_eq(verdict.reason, verdict.action == CM_STEER_DROP ?
						 CM_C_STEER_NO_PLAN_LATE :
						 CM_C_STEER_NO_PLAN);
}

/* A node whose registry data is old may lack a route that was added. It holds
 * the SYN for 200 ms to wait for new data, and then drops it without a reset.
 */
TEST(syn_without_a_route_is_reset_only_on_fresh_registry_data)
{
	struct cm_steer_packet packet = {
		.key = { { 1, 1, 6 }, { 0xc6120009, 443, 6 } },
		.flags = CM_STEER_SYN,
	};
	struct cm_steer_verdict verdict;

	steering_make_ready(1);
	cm_steer_packet(&steering, steering_ms, &packet, &verdict);
	ck_assert_int_eq(verdict.action, CM_STEER_RESET);
	ck_assert_int_eq(verdict.reason, CM_C_STEER_NO_ROUTE);
	steering_ms += STEERING_REGISTRY_FRESH_MS + 1;
	cm_steer_packet(&steering, steering_ms, &packet, &verdict);
	ck_assert_int_eq(verdict.action, CM_STEER_HOLD);
	packet.held_ms = 200;
	cm_steer_packet(&steering, steering_ms, &packet, &verdict);
	ck_assert_int_eq(verdict.action, CM_STEER_DROP);
	ck_assert_int_eq(verdict.reason, CM_C_STEER_STALE);
}

TEST(older_plan_is_refused)
{
	struct cm_steer_plan plan;

	steering_set_plan(7, 0);
	ASSERT_OK(cm_steer_plan_init(&plan, 7, 0, 0));
	ck_assert_int_eq(cm_steer_set_plan(&steering, &plan), CM_E_STALE);
	ASSERT_OK(cm_steer_plan_init(&plan, 6, 0, 0));
	ck_assert_int_eq(cm_steer_set_plan(&steering, &plan), CM_E_STALE);
	ck_assert_uint_eq(steering.plan.version, 7);
}

/* A repeated SYN of an open flow has arrived late. It must go to the flow's
 * server, since a SYN-ACK of another one would divert the flow. */
TEST(repeated_syn_of_an_open_flow_keeps_its_server)
{
	struct cm_steer_verdict first, again;

	steering_make_ready(3);
	first = steering_send_syn(1, 0);
	steering_send_packet(1, first.token, CM_STEER_ACK);
	steering_advance(200);
	again = steering_send_syn(1, 1);
	ck_assert_uint_eq(again.server_id, first.server_id);
	ck_assert_int_eq(again.reason, CM_C_STEER_SYN_REPEATED);
}

/* A repeated SYN arrives after its flow was opened and the flow's server has
 * left. It must be dropped: a reset would state that the request has not run,
 * which it may have, and a SYN-ACK of another server would divert the flow. */
TEST(late_syn_is_dropped_when_the_server_has_left)
{
	struct cm_steer_verdict first, late;

	steering_make_ready(2);
	first = steering_send_syn(1, 0);
	steering_send_packet(1, first.token, CM_STEER_ACK);
	cm_steer_remove_server(&steering, steering_ms, first.server_id);
	late = steering_send_syn(1, 1);
	ck_assert_int_eq(late.action, CM_STEER_DROP);
	ck_assert_int_eq(late.reason, CM_C_STEER_SYN_LATE);
	for (uint64_t id = 1; id <= 2; id++) {
		cm_steer_remove_server(&steering, steering_ms, id);
		cm_steer_remove_server(&steering, steering_ms, 100 + id);
	}
	ck_assert_int_eq(steering_send_syn(1, 2).action, CM_STEER_DROP);
	ck_assert_int_eq(
		steering_send_packet(1, first.token, CM_STEER_ACK).action,
		CM_STEER_FORWARD);
}

TEST(repeated_syn_leaves_a_silent_server)
{
	struct cm_steer_verdict first, again;

	steering_make_ready(3);
	first = steering_send_syn(1, 0);
	steering_advance(200);
	again = steering_send_syn(1, 1);
	ck_assert_int_eq(again.action, CM_STEER_FORWARD);
	ck_assert_int_eq(again.reason, CM_C_STEER_PLACED_AGAIN);
	ck_assert_uint_ne(again.server_id, first.server_id);
}

/* A probe has reached the server after the SYN was sent, so only the SYN or its
 * answer may have been lost. The first repeated SYN goes to the same server,
 * since otherwise two servers could answer one flow. The second one still goes
 * to another server, since it is the last SYN of the caller's attempt. */
TEST(repeated_syn_stays_with_a_server_that_a_probe_reached)
{
	struct cm_steer_verdict first, again;
	struct cm_endpoint address;

	steering_make_ready(3);
	first = steering_send_syn(1, 0);
	steering_advance(100);
	ck_assert_uint_eq(cm_steer_next_probe(&steering, steering_ms, &address),
			  first.token);
	cm_steer_probe_succeeded(&steering, steering_ms, first.token);
	steering_advance(100);
	again = steering_send_syn(1, 1);
	ck_assert_uint_eq(again.server_id, first.server_id);
	ck_assert_int_eq(again.reason, CM_C_STEER_SYN_REPEATED);
	steering_advance(400);
	again = steering_send_syn(1, 2);
	ck_assert_uint_ne(again.server_id, first.server_id);
}

TEST(reused_port_is_a_new_flow)
{
	struct cm_steer_verdict first;

	steering_make_ready(1);
	first = steering_send_syn(1, 0);
	steering_send_packet(1, first.token, CM_STEER_ACK);
	ck_assert_int_eq(steering_send_syn(1, 0).reason, CM_C_STEER_PLACED);
	ck_assert_uint_eq(steering.flows.count, 1);
}

TEST(table_of_flows_is_bounded)
{
	steering_make_ready(3);
	for (uint16_t port = 1; port <= 200; port++)
		ck_assert_int_eq(steering_send_syn(port, 0).action,
				 CM_STEER_FORWARD);
	ck_assert_uint_eq(steering.flows.count, STEERING_FLOWS_MAX);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_FLOW_FORGOTTEN),
			  200 - STEERING_FLOWS_MAX);
}

/* Open flows stay with a server that is draining; new flows go to other
 * servers. */
TEST(server_that_drains_keeps_its_flows)
{
	struct cm_server_entry entry = steering_make_entry(1, "a");
	struct cm_steer_verdict verdict;

	steering_make_ready(2);
	entry.is_draining = true;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
	for (uint16_t port = 1; port <= 20; port++)
		ck_assert_uint_ne(steering_send_syn(port, 0).server_id, 1);
	verdict = steering_send_packet(30, cm_steer_token(1, 0), CM_STEER_ACK);
	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
	ck_assert_uint_eq(verdict.server_id, 1);
}

/* Open flows stay for up to flow_life_ms with a server that has left but may be
 * alive, here because all entries of its failure domain were removed; new flows
 * go to other servers. */
TEST(server_that_left_keeps_its_flows)
{
	struct cm_steer_verdict verdict;

	steering_make_ready(2);
	cm_steer_remove_server(&steering, steering_ms, 1);
	cm_steer_remove_server(&steering, steering_ms, 2);
	for (uint16_t port = 1; port <= 20; port++)
		ck_assert_uint_gt(steering_send_syn(port, 0).server_id, 100);
	for (uint16_t port = 1; port <= 20; port++)
		steering_send_packet(port, steering_send_syn(port, 1).token,
				     CM_STEER_ACK);
	steering_advance(STEERING_FLOW_LIFE_MS);
	verdict = steering_send_packet(30, cm_steer_token(1, 0), CM_STEER_ACK);
	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
	ck_assert_uint_eq(verdict.server_id, 1);
	steering_advance(1);
	verdict = steering_send_packet(30, cm_steer_token(1, 0), CM_STEER_ACK);
	ck_assert_int_eq(verdict.action, CM_STEER_DROP);
}

/* New flows of a restarted server with the same id are told from those before
 * its restart. */
TEST(restarted_server_gets_a_token_of_its_own)
{
	struct cm_server_entry entry = steering_make_entry(1, "a");
	struct cm_steer_server *server;

	steering_make_ready(1);
	entry.started_ms = 1000;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
	server = cm_steer_servers_find_by_id(&steering.servers, 1);
	ck_assert_uint_eq(server->token, cm_steer_token(1, 1000));
	ck_assert_uint_ne(server->token, cm_steer_token(1, 0));
	server = cm_steer_servers_find_by_token(&steering.servers,
						cm_steer_token(1, 0));
	ck_assert_int_eq(server->listing, CM_LEFT);
}

/* Guards against an instance that is ready, or probes an address, because of an
 * entry of another writer whose service the plan does not name. */
TEST(server_of_an_unknown_service_is_not_used)
{
	struct cm_server_entry entry = steering_make_entry(1, "a");
	struct cm_endpoint address;

	steering_set_plan(1, 0);
	memcpy(entry.service, "none", sizeof("none"));
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
	cm_steer_registry_answered(&steering, steering_ms);
	steering_advance(1000);
	ck_assert_uint_eq(cm_steer_next_probe(&steering, steering_ms, &address),
			  0);
	cm_steer_probe_succeeded(&steering, steering_ms, 0);
	ck_assert(!cm_steer_is_ready(&steering, steering_ms));
	ck_assert_int_ne(steering_send_syn(1, 0).action, CM_STEER_FORWARD);
	steering_add_server(2, "a");
	ck_assert(cm_steer_is_ready(&steering, steering_ms));
}

/* Guards against a server that is ignored, its draining too, because an entry
 * under its id stated a later start: its clock was set back, or another writer
 * left that entry. */
TEST(entry_with_an_earlier_start_counts)
{
	struct cm_server_entry entry = steering_make_entry(1, "a");
	struct cm_steer_server *server;

	steering_make_ready(1);
	cm_steer_remove_server(&steering, steering_ms, 101);
	entry.started_ms = 2000;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
	entry.started_ms = 1000;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
	ck_assert_uint_eq(steering_send_syn(1, 0).token,
			  cm_steer_token(1, 1000));
	entry.started_ms = 2000;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
	ck_assert_uint_eq(steering_send_syn(2, 0).token,
			  cm_steer_token(1, 2000));
	entry.started_ms = 1000;
	entry.is_draining = true;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
	ck_assert_int_ne(steering_send_syn(3, 0).action, CM_STEER_FORWARD);
	server = cm_steer_servers_find_by_id(&steering.servers, 1);
	ck_assert_uint_eq(server->token, cm_steer_token(1, 1000));
	ck_assert_int_eq(server->listing, CM_LISTED);
	ck_assert_uint_eq(steering.servers.count, 4);
}

/* A failure domain that is taken out of service gets no new flows from that
 * moment on, and no packets of open flows once domain_out_ms has passed. */
TEST(domain_that_is_out_gets_nothing_after_domain_out_ms)
{
	uint32_t token = cm_steer_token(1, 0);

	steering_make_ready(3);
	ASSERT_OK(cm_steer_set_domain_out(&steering, steering_ms, "a", true));
	for (uint16_t port = 1; port <= 20; port++)
		ck_assert_uint_gt(steering_send_syn(port, 0).server_id, 100);
	steering_advance(STEERING_DOMAIN_OUT_MS - 1);
	ck_assert_int_eq(steering_send_packet(30, token, CM_STEER_ACK).action,
			 CM_STEER_FORWARD);
	steering_advance(1);
	ck_assert_int_eq(steering_send_packet(30, token, CM_STEER_ACK).reason,
			 CM_C_DROP_DOMAIN_OUT);
	ASSERT_OK(cm_steer_set_domain_out(&steering, steering_ms, "a", false));
	ck_assert_int_eq(steering_send_packet(30, token, CM_STEER_ACK).action,
			 CM_STEER_FORWARD);
}

TEST(syn_without_a_server_is_reset_at_once)
{
	struct cm_steer_verdict verdict;

	steering_make_ready(1);
	cm_steer_remove_server(&steering, steering_ms, 1);
	cm_steer_remove_server(&steering, steering_ms, 101);
	verdict = steering_send_syn(1, 0);
	ck_assert_int_eq(verdict.action, CM_STEER_RESET);
	ck_assert_int_eq(verdict.reason, CM_C_STEER_NO_SERVER);
	ck_assert(!cm_steer_is_ready(&steering, steering_ms));
}

/* Two servers are added in the order opposite to that of their starts. Each
 * must be found by its own token. */
TEST(server_is_found_by_its_own_token)
{
	struct cm_steer_servers servers;
	struct cm_server_entry early = steering_make_entry(1, "a");
	struct cm_server_entry late = steering_make_entry(2, "a");
	struct cm_steer_server *first, *second;

	cm_steer_servers_init(&servers, 0);
	early.started_ms = 10;
	late.started_ms = 20;
	ASSERT_OK(cm_steer_servers_put(&servers, &late, 1, &second));
	ASSERT_OK(cm_steer_servers_put(&servers, &early, 1, &first));
	ck_assert_ptr_eq(cm_steer_servers_find_by_token(&servers, first->token),
			 first);
	ck_assert_ptr_eq(
		cm_steer_servers_find_by_token(&servers, second->token),
		second);
	ck_assert_uint_eq(servers.count, 2);
	cm_steer_servers_finish(&servers);
}
