#include "unit/suites.h"

#include <netinet/in.h>
#include <stdio.h>

#include "chervilmast/steer_report.h"
#include "unit/steering.h"

UNIT_CASE("steer", "outages", steering_setup, steering_teardown,
	  UNIT_TIMEOUT_S);

/* The entries of live servers expire while the registry is unreachable. These
 * servers keep getting flows for lapse_grace_ms after the outage. */
TEST(lapsed_servers_are_used_during_the_grace_time)
{
	steering_make_ready(1);
	cm_steer_registry_unreachable(&steering);
	steering_advance(5000);
	cm_steer_remove_server(&steering, steering_ms, 1);
	cm_steer_remove_server(&steering, steering_ms, 101);
	cm_steer_registry_answered(&steering, steering_ms);
	ck_assert_int_eq(steering_send_syn(1, 0).action, CM_STEER_FORWARD);
	steering_advance(STEERING_LAPSE_GRACE_MS - 1);
	ck_assert_int_eq(steering_send_syn(2, 0).action, CM_STEER_FORWARD);
	steering_advance(1);
	ck_assert_int_eq(steering_send_syn(3, 0).action, CM_STEER_RESET);
}

TEST(returned_entry_is_listed_again)
{
	steering_make_ready(1);
	cm_steer_registry_unreachable(&steering);
	cm_steer_remove_server(&steering, steering_ms, 1);
	cm_steer_registry_answered(&steering, steering_ms);
	steering_add_server(1, "a");
	steering_advance(STEERING_LAPSE_GRACE_MS + 1);
	cm_steer_registry_answered(&steering, steering_ms);
	ck_assert_uint_eq(steering_send_syn(1, 0).server_id, 1);
}

/* A draining server will not register again. If its entry expires during an
 * outage, the server therefore counts as left and gets no more flows. */
TEST(draining_server_that_lapsed_has_left)
{
	struct cm_server_entry entry = steering_make_entry(1, "a");

	steering_make_ready(1);
	entry.is_draining = true;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
	cm_steer_registry_unreachable(&steering);
	cm_steer_remove_server(&steering, steering_ms, 1);
	ck_assert_uint_eq(steering_send_syn(1, 0).server_id, 101);
}

/* When an entry is removed while the registry is reachable, its server has
 * left. */
TEST(server_removed_without_an_outage_gets_no_flow)
{
	steering_make_ready(1);
	cm_steer_remove_server(&steering, steering_ms, 1);
	for (uint16_t port = 1; port <= 10; port++)
		ck_assert_uint_eq(steering_send_syn(port, 0).server_id, 101);
}

/* Guards against new flows to a server that is gone, as another instance alone
 * is cut off from the registry: the removal counts as soon as it is clear. */
TEST(server_removed_while_one_instance_is_cut_off_gets_no_flow)
{
	const struct cm_endpoint reporter = { 0x0a000001, 8166, IPPROTO_TCP };

	steering_make_ready(1);
	cm_steer_registry_reported(&steering, &reporter);
	steering_advance(2000);
	cm_steer_remove_server(&steering, steering_ms, 1);
	cm_steer_registry_answered(&steering, steering_ms);
	for (uint16_t port = 1; port <= 10; port++)
		ck_assert_uint_eq(steering_send_syn(port, 0).server_id, 101);
	steering_advance(25);
	ck_assert_int_eq(
		cm_steer_servers_find_by_id(&steering.servers, 1)->listing,
		CM_LEFT);
}

/* The last known plan and servers stay in use for the whole outage. */
TEST(plan_and_servers_stay_in_use_during_an_outage)
{
	steering_make_ready(2);
	cm_steer_registry_unreachable(&steering);
	steering_advance(60000);
	ck_assert_int_eq(steering_send_syn(1, 0).action, CM_STEER_FORWARD);
	ck_assert(cm_steer_is_ready(&steering, steering_ms));
}

static void add_peer(const char *name, const char *domain, uint64_t rank)
{
	struct cm_peer_entry entry = { .control = { 1, 1, 6 }, .rank = rank };

	snprintf(entry.name, sizeof(entry.name), "%s", name);
	snprintf(entry.domain, sizeof(entry.domain), "%s", domain);
	ASSERT_OK(cm_steer_put_peer(&steering, &entry));
}

TEST(nodes_are_counted_while_they_are_members)
{
	struct cm_peer_entry entries[4];

	add_peer("a-1", "a", 1);
	add_peer("a-2", "a", 2);
	add_peer("b-1", "b", 1);
	ck_assert_uint_eq(cm_steer_count_local_peers(&steering), 2);
	ck_assert_uint_eq(cm_steer_list_peers(&steering, "b", entries, 4), 1);
	ck_assert_str_eq(entries[0].name, "b-1");
	ck_assert_uint_eq(cm_steer_list_peers(&steering, "a", entries, 1), 1);
	cm_steer_remove_peer(&steering, "a-1");
	ck_assert_uint_eq(cm_steer_count_local_peers(&steering), 1);
}

/* All nodes of a failure domain must select the same source: the node with the
 * lowest rank that is not skipped. */
TEST(source_is_the_first_of_the_own_domain)
{
	struct cm_feed_choice feed;
	struct cm_peer_entry source;

	cm_feed_choice_init(&feed, 1000);
	add_peer("a-2", "a", 8);
	add_peer("a-9", "a", 7);
	add_peer("a-3", "a", 9);
	add_peer("0", "b", 1);
	ck_assert(cm_steer_select_source(&steering, "a-3", steering_ms, &feed,
					 &source));
	ck_assert_str_eq(source.name, "a-9");
	ck_assert(!cm_steer_select_source(&steering, "a-9", steering_ms, &feed,
					  &source));
	cm_feed_choice_begin_request(&feed, "a-9", steering_ms);
	cm_feed_choice_begin_request(&feed, "a-9",
				     steering_ms + CM_FEED_TIMEOUT_MS);
	ck_assert(cm_steer_select_source(&steering, "a-3", steering_ms + 1000,
					 &feed, &source));
	ck_assert_str_eq(source.name, "a-2");
	ck_assert(!cm_steer_select_source(&steering, "a-2", steering_ms + 1000,
					  &feed, &source));
}

/* A node that starts in a failure domain that is cut off must not become ready,
 * or the fabric would send callers there. */
TEST(node_that_reached_no_server_is_not_ready)
{
	struct cm_endpoint address;
	uint32_t token;

	steering_set_plan(1, 0);
	steering_add_server(1, "a");
	steering_advance(1000);
	ck_assert(!cm_steer_is_ready(&steering, steering_ms));
	token = cm_steer_next_probe(&steering, steering_ms, &address);
	ck_assert_uint_eq(token, cm_steer_token(1, 0));
	cm_steer_probe_succeeded(&steering, steering_ms, token);
	ck_assert(cm_steer_is_ready(&steering, steering_ms));
}

TEST(node_that_a_server_answered_is_ready)
{
	struct cm_steer_verdict verdict;

	steering_set_plan(1, 0);
	steering_add_server(1, "a");
	verdict = steering_send_syn(1, 0);
	ck_assert(!cm_steer_is_ready(&steering, steering_ms));
	steering_send_packet(1, verdict.token, CM_STEER_ACK);
	ck_assert(cm_steer_is_ready(&steering, steering_ms));
}

/* Four SYNs in a row without an answer: the node counts as cut off, and the
 * fabric has to send callers to other nodes. */
TEST(node_that_no_server_answers_is_not_ready)
{
	struct cm_endpoint address;
	uint32_t token;

	steering_make_ready(5);
	for (uint16_t port = 1; port <= 4; port++) {
		ck_assert(cm_steer_is_ready(&steering, steering_ms));
		steering_send_syn(port, 0);
		steering_advance(10);
	}
	steering_advance(100);
	ck_assert(!cm_steer_is_ready(&steering, steering_ms));
	token = cm_steer_next_probe(&steering, steering_ms, &address);
	ck_assert_uint_ne(token, 0);
	cm_steer_probe_succeeded(&steering, steering_ms, token);
	ck_assert(cm_steer_is_ready(&steering, steering_ms));
}

/* A probe, not the SYN of a caller, has to find out whether a silent server
 * answers again. Once a probe has reached the server, it gets a single SYN
 * until it answers. */
TEST(silent_server_gets_no_flow_until_a_probe_reached_it)
{
	struct cm_steer_verdict first;
	struct cm_endpoint address;

	steering_make_ready(2);
	first = steering_send_syn(1, 0);
	steering_advance(100);
	for (uint16_t port = 2; port <= 40; port++) {
		struct cm_steer_verdict verdict = steering_send_syn(port, 0);

		ck_assert_uint_ne(verdict.server_id, first.server_id);
		steering_send_packet(port, verdict.token, CM_STEER_ACK);
		steering_send_packet(port, verdict.token, CM_STEER_FIN);
		steering_advance(25);
	}
	ck_assert_uint_eq(cm_steer_next_probe(&steering, steering_ms, &address),
			  first.token);
	ck_assert_uint_eq(address.address, first.server.address);
	ck_assert_uint_eq(cm_steer_next_probe(&steering, steering_ms, &address),
			  0);
	cm_steer_probe_succeeded(&steering, steering_ms, first.token);
	ck_assert_uint_eq(steering_send_syn(50, 0).server_id, first.server_id);
	ck_assert_uint_ne(steering_send_syn(51, 0).server_id, first.server_id);
}

/* Another server has taken over the address of a dead one. Probes reach the new
 * server, but it does not answer SYNs with the token of the dead one. */
TEST(server_that_answers_only_probes_is_not_retried)
{
	struct cm_endpoint address;
	struct cm_steer_verdict first;
	uint32_t tries = 0;

	steering_make_ready(2);
	first = steering_send_syn(1, 0);
	for (uint16_t port = 2; port <= 200; port++) {
		uint32_t token;
		struct cm_steer_verdict verdict;

		steering_advance(25);
		token = cm_steer_next_probe(&steering, steering_ms, &address);
		if (token)
			cm_steer_probe_succeeded(&steering, steering_ms, token);
		verdict = steering_send_syn(port, 0);
		tries += verdict.server_id == first.server_id;
		if (verdict.server_id == first.server_id)
			continue;
		steering_send_packet(port, verdict.token, CM_STEER_ACK);
		steering_send_packet(port, verdict.token, CM_STEER_FIN);
	}
	/* The loop takes 5 s, by the end of which the entry of a dead server
	 * has expired. In that time the server gets only one more SYN. */
	ck_assert_uint_eq(tries, 1);
}

/* The interval between probes of a server doubles from 200 ms up to 1,600 ms.
 */
TEST(probe_interval_grows)
{
	static const uint64_t at_ms[] = { 0, 200, 600, 1400, 3000, 4600 };
	struct cm_server_health health = { .unanswered_syns = 1 };
	size_t next = 0;

	for (uint64_t ms = 0; ms <= 4600; ms += 10) {
		if (!cm_server_health_probe_is_due(&health, 1000 + ms))
			continue;
		ck_assert_uint_eq(ms, at_ms[next++]);
		cm_server_health_probed(&health, 1000 + ms);
	}
	ck_assert_uint_eq(next, COUNT_OF(at_ms));
}

/* A node that gets answers from some servers is not cut off. */
TEST(any_answer_keeps_the_node_ready)
{
	struct cm_steer_verdict verdict;

	steering_make_ready(5);
	for (uint16_t port = 1; port <= 20; port++) {
		verdict = steering_send_syn(port, 0);
		if (port % 4 == 0)
			steering_send_packet(port, verdict.token, CM_STEER_ACK);
		steering_advance(100);
		ck_assert(cm_steer_is_ready(&steering, steering_ms));
	}
}

/* Two servers of another failure domain are silent, so the domain may be cut
 * off. Its other servers get no flow until one of the two is reached by a probe
 * and answers a SYN. */
TEST(domain_that_seems_cut_off_gets_no_flows)
{
	struct cm_endpoint address;
	uint32_t remote = 0, token;
	uint16_t port = 1;

	steering_make_ready(4);
	for (; port <= 60; port++) {
		struct cm_steer_verdict verdict = steering_send_syn(port, 0);

		remote += verdict.server_id > 100;
		if (verdict.server_id <= 100)
			steering_send_packet(port, verdict.token, CM_STEER_ACK);
	}
	steering_advance(100);
	ck_assert_uint_ge(remote, 2);
	for (; port <= 120; port++) {
		struct cm_steer_verdict verdict = steering_send_syn(port, 0);

		ck_assert_uint_le(verdict.server_id, 100);
		steering_send_packet(port, verdict.token, CM_STEER_ACK);
	}
	token = cm_steer_next_probe(&steering, steering_ms, &address);
	cm_steer_probe_succeeded(&steering, steering_ms, token);
	ck_assert_uint_eq(steering_send_syn(port, 0).token, token);
	steering_send_packet(port++, token, CM_STEER_ACK);
	remote = 0;
	for (; port <= 180; port++)
		remote += steering_send_syn(port, 0).server_id > 100;
	ck_assert_uint_ge(remote, 2);
}

/* While another node reports a server as silent, this node sends it neither
 * flows nor probes. */
TEST(server_that_others_report_gets_no_flow)
{
	uint32_t token = cm_steer_token(1, 0);
	struct cm_endpoint address;

	steering_make_ready(2);
	for (int report = 0; report < 3; report++) {
		cm_steer_apply_reports(&steering, steering_ms, &token, 1);
		for (uint16_t port = 1; port <= 4; port++)
			ck_assert_uint_ne(steering_send_syn(port, 0).server_id,
					  1);
		ck_assert_uint_eq(
			cm_steer_next_probe(&steering, steering_ms, &address),
			0);
		for (uint16_t port = 1; port <= 4; port++)
			steering_send_packet(port,
					     steering_send_syn(port, 1).token,
					     CM_STEER_ACK);
		steering_advance(1000);
	}
	steering_advance(1000);
	ck_assert_uint_eq(steering_send_syn(9, 0).server_id, 1);
	/* A report is ignored when the server has just answered this node. */
	steering_send_packet(9, token, CM_STEER_ACK);
	cm_steer_apply_reports(&steering, steering_ms, &token, 1);
	ck_assert_uint_eq(cm_steer_servers_find_by_id(&steering.servers, 1)
				  ->health.reported_until_ms,
			  0);
}

/* A successful probe does not cancel the reports of other nodes, because it may
 * have reached another server that has taken over the address. */
TEST(reported_server_gets_no_flow_after_a_probe)
{
	struct cm_steer_verdict silent;
	struct cm_endpoint address;

	steering_make_ready(2);
	silent = steering_send_syn(1, 0);
	steering_advance(100);
	ck_assert_uint_eq(cm_steer_next_probe(&steering, steering_ms, &address),
			  silent.token);
	cm_steer_probe_succeeded(&steering, steering_ms, silent.token);
	cm_steer_apply_reports(&steering, steering_ms, &silent.token, 1);
	for (uint16_t port = 2; port <= 6; port++)
		ck_assert_uint_ne(steering_send_syn(port, 0).token,
				  silent.token);
}

/* When a caller retransmits an unanswered SYN, its flow goes to a server that
 * has answered recently. Another silent server would cost the caller another
 * timeout. */
TEST(flow_placed_again_goes_to_a_server_that_answered)
{
	struct cm_steer_verdict busy, silent, again;

	steering_make_ready(4);
	busy = steering_send_syn(1, 0);
	steering_send_packet(1, busy.token, CM_STEER_ACK);
	silent = steering_send_syn(2, 0);
	ck_assert_uint_ne(silent.server_id, busy.server_id);
	steering_advance(200);
	again = steering_send_syn(2, 1);
	ck_assert_int_eq(again.reason, CM_C_STEER_PLACED_AGAIN);
	ck_assert_uint_eq(again.server_id, busy.server_id);
	/* The first SYN of a flow still goes to a server without flows. */
	ck_assert_uint_ne(steering_send_syn(3, 0).server_id, busy.server_id);
}

/* A node reports only servers that it found silent itself. If it also reported
 * those that other nodes have reported, the reports would renew each other and
 * never expire. */
TEST(node_reports_only_servers_that_it_found_silent)
{
	uint32_t tokens[4], token = cm_steer_token(2, 0);
	struct cm_steer_verdict verdict;
	struct cm_endpoint address;

	steering_make_ready(2);
	cm_steer_apply_reports(&steering, steering_ms, &token, 1);
	ck_assert_uint_eq(
		cm_steer_list_silent_servers(&steering, steering_ms, tokens, 4),
		0);
	verdict = steering_send_syn(1, 0);
	steering_advance(100);
	/* A single packet may have been lost, so the server is not reported
	 * until a probe has failed. */
	ck_assert_uint_eq(
		cm_steer_list_silent_servers(&steering, steering_ms, tokens, 4),
		0);
	ck_assert_uint_eq(cm_steer_next_probe(&steering, steering_ms, &address),
			  verdict.token);
	steering_advance(CM_HEALTH_FIRST_PROBE_TIMEOUT_MS - 1);
	ck_assert_uint_eq(
		cm_steer_list_silent_servers(&steering, steering_ms, tokens, 4),
		0);
	steering_advance(1);
	ck_assert_uint_eq(
		cm_steer_list_silent_servers(&steering, steering_ms, tokens, 4),
		1);
	ck_assert_uint_eq(tokens[0], verdict.token);
	cm_steer_probe_succeeded(&steering, steering_ms, verdict.token);
	ck_assert_uint_eq(
		cm_steer_list_silent_servers(&steering, steering_ms, tokens, 4),
		0);
}

/* Two servers of a failure domain are silent, so the domain's third server may
 * be cut off as well. */
TEST(no_server_of_a_domain_that_may_be_cut_off_gets_a_flow)
{
	steering_make_ready(3);
	for (uint16_t port = 1; port <= 2; port++)
		ck_assert_uint_le(steering_send_syn(port, 0).server_id, 3);
	steering_advance(100);
	ck_assert_uint_gt(steering_send_syn(3, 0).server_id, 100);
}
