#include "unit/suites.h"

#include <netinet/in.h>

#include "chervilmast/steer_report.h"
#include "unit/steering.h"

/** Time within which all entries of a failure domain expire when it is cut off
 * from the registry, ms; servers renew their entries at this interval. */
#define REMOVALS_SPREAD_MS 1200
#define ENTRY_EXPIRY_MS 3600
/** Number of servers in each failure domain. */
#define SERVERS 4

UNIT_CASE("steer", "servers that are gone", steering_setup, steering_teardown,
	  UNIT_TIMEOUT_S);

static uint32_t token_of(uint64_t id)
{
	return cm_steer_token(id, 0);
}

/* Passes a packet of an open flow to server @id. */
static struct cm_steer_verdict send_to(uint64_t id)
{
	return steering_send_packet(1, token_of(id), CM_STEER_ACK);
}

/* Passes a data packet of the flow of @port to server @id. */
static struct cm_steer_verdict send_data_to(uint64_t id, uint16_t port,
					    uint32_t seq)
{
	const struct cm_steer_packet packet = {
		.key = { { 1, port, IPPROTO_TCP }, steering_route },
		.token = token_of(id),
		.flags = CM_STEER_ACK,
		.data_length = 100,
		.seq = seq,
		.ack = 1,
	};
	struct cm_steer_verdict verdict;

	cm_steer_packet(&steering, steering_ms, &packet, &verdict);
	return verdict;
}

static void assert_forwarded(uint64_t id)
{
	struct cm_steer_verdict verdict = send_to(id);

	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
	ck_assert_uint_eq(verdict.server_id, id);
}

static void assert_reset(uint64_t id, enum cm_counter reason)
{
	struct cm_steer_verdict verdict = send_to(id);

	ck_assert_int_eq(verdict.action, CM_STEER_RESET);
	ck_assert_int_eq(verdict.reason, reason);
	ck_assert_uint_eq(verdict.server_id, id);
}

static void report(uint64_t id)
{
	uint32_t token = token_of(id);

	cm_steer_apply_reports(&steering, steering_ms, &token, 1);
}

/* The source suspects the server; it also counts as removed. */
static void assert_reset_as_removed(uint64_t id)
{
	report(id);
	assert_reset(id, CM_C_STEER_GONE_REMOVED);
}

static void assert_reset_as_drained(uint64_t id)
{
	report(id);
	assert_reset(id, CM_C_STEER_GONE_DRAINED);
}

/* The source suspects the server, but its removal is not certain. */
static void assert_forwarded_if_suspected(uint64_t id)
{
	report(id);
	assert_forwarded(id);
}

static void remove_server(uint64_t id)
{
	cm_steer_remove_server(&steering, steering_ms, id);
}

static void drain_server(uint64_t id)
{
	struct cm_server_entry entry = steering_make_entry(id, "a");

	entry.is_draining = true;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
}

/* A draining server serves its open flows until its entry is removed. After
 * that its callers must not wait for their deadlines. */
TEST(flow_of_a_drained_server_is_reset_after_its_removal)
{
	steering_make_ready(SERVERS);
	drain_server(1);
	steering_advance(500);
	assert_forwarded(1);
	remove_server(1);
	/* It may serve on after its entry has expired. */
	assert_forwarded(1);
	assert_reset_as_drained(1);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_GONE_DRAINED), 1);
	assert_forwarded(2);
}

/* Registers a run of server 1 that started at @started_ms. */
static void restart_server(uint64_t started_ms)
{
	struct cm_server_entry entry = steering_make_entry(1, "a");

	entry.started_ms = started_ms;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
}

static void assert_forwarded_to_run(uint32_t token, uint64_t started_ms)
{
	struct cm_steer_verdict verdict =
		steering_send_packet(1, token, CM_STEER_ACK);

	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
	ck_assert_uint_eq(verdict.server_id, 1);
	ck_assert_uint_eq(verdict.token, cm_steer_token(1, started_ms));
}

/* Guards against resets of flows that a restarted server holds: they were
 * opened before the instances knew of its restart, under the old token. The
 * server itself resets the flows that it does not hold. */
TEST(flow_of_a_restarted_server_is_forwarded_under_its_old_token)
{
	steering_make_ready(SERVERS);
	restart_server(1000);
	assert_forwarded_to_run(token_of(1), 1000);
	steering_advance(2 * REMOVALS_SPREAD_MS);
	assert_forwarded_to_run(token_of(1), 1000);
	assert_forwarded_to_run(cm_steer_token(1, 1000), 1000);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_BY_EARLIER_TOKEN), 2);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_BY_TOKEN), 1);
}

/* The flow may have been opened at the last of several runs. */
TEST(flow_of_a_server_that_restarted_twice_is_forwarded)
{
	steering_make_ready(SERVERS);
	restart_server(1000);
	restart_server(1500);
	assert_forwarded_to_run(token_of(1), 1500);
	assert_forwarded_to_run(cm_steer_token(1, 1000), 1500);
	restart_server(1000);
	assert_forwarded_to_run(token_of(1), 1000);
	assert_forwarded_to_run(cm_steer_token(1, 1500), 1000);
}

/* Guards against evidence of the time before the restart: the server was silent
 * and its entry removed, and its next run holds a flow under the old token. */
TEST(silence_before_a_restart_resets_no_flow)
{
	steering_make_ready(SERVERS);
	steering.plan.routes[0].traits.kind = CM_ROUTE_IDEMPOTENT;
	report(1);
	send_data_to(1, 5, 1);
	steering_advance(600);
	send_data_to(1, 5, 1);
	remove_server(1);
	steering_advance(REMOVALS_SPREAD_MS);
	assert_reset(1, CM_C_STEER_GONE_REMOVED);
	restart_server(1000);
	assert_forwarded_to_run(token_of(1), 1000);
	report(1);
	cm_steer_apply_down(&steering, steering_ms,
			    &(struct cm_message_tokens){ { token_of(1) }, 1 });
	assert_forwarded_to_run(token_of(1), 1000);
}

/* The end of the next run ends all flows of the server. */
TEST(flow_is_reset_once_the_next_run_is_gone)
{
	uint32_t token = cm_steer_token(1, 1000);

	steering_make_ready(SERVERS);
	restart_server(1000);
	remove_server(1);
	steering_advance(REMOVALS_SPREAD_MS);
	assert_forwarded_to_run(token_of(1), 1000);
	cm_steer_apply_reports(&steering, steering_ms, &token, 1);
	assert_reset(1, CM_C_STEER_GONE_REMOVED);
}

/* Another writer may have left an entry with another address. */
TEST(flow_of_a_server_at_another_address_is_reset_once_it_is_silent)
{
	struct cm_server_entry entry = steering_make_entry(1, "a");
	struct cm_endpoint address = entry.address;
	struct cm_steer_verdict verdict;

	steering_make_ready(SERVERS);
	entry.address.port++;
	entry.started_ms = 1000;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
	verdict = send_to(1);
	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
	ck_assert(cm_endpoint_equal(&verdict.server, &address));
	report(1);
	assert_reset(1, CM_C_STEER_GONE_REPLACED);
	restart_server(0);
	assert_forwarded(1);
}

/* A flow of the earlier run does not count in the load, and one of the present
 * run counts from its second packet on. */
TEST(flow_of_a_restarted_server_counts_once)
{
	struct cm_steer_server *server;
	struct cm_steer_verdict opened;
	uint16_t port = 0;

	steering_make_ready(SERVERS);
	do {
		opened = steering_send_syn(++port, 0);
	} while (opened.server_id != 1);
	steering_send_data(port, opened.token, 0);
	restart_server(1000);
	server = cm_steer_servers_find_by_id(&steering.servers, 1);
	steering_send_data(port, opened.token, 0);
	ck_assert_uint_eq(server->open_flows, 0);
	steering_send_data(port, cm_steer_token(1, 1000), 0);
	ck_assert_uint_eq(server->open_flows, 1);
}

/* An entry that was removed without draining may be the first of a failure
 * domain that is cut off from the registry. */
TEST(flow_of_a_removed_server_is_reset_once_others_stayed)
{
	steering_make_ready(SERVERS);
	remove_server(1);
	steering_advance(REMOVALS_SPREAD_MS - 1);
	assert_forwarded_if_suspected(1);
	steering_advance(1);
	assert_reset_as_removed(1);
}

/* The link may lose the reset. The caller then retransmits its data. */
TEST(every_packet_of_the_flow_is_reset)
{
	struct cm_steer_verdict opened;

	steering_make_ready(SERVERS);
	opened = steering_send_syn(1, 0);
	steering_send_data(1, opened.token, 0);
	remove_server(opened.server_id);
	steering_advance(REMOVALS_SPREAD_MS);
	report(opened.server_id);
	for (int i = 0; i < 3; i++)
		assert_reset(opened.server_id, CM_C_STEER_GONE_REMOVED);
	ck_assert_uint_eq(steering.flows.count, 0);
}

/* Resets must not be answered, and a SYN opens another flow. */
TEST(reset_and_syn_are_not_reset)
{
	struct cm_steer_verdict verdict;

	steering_make_ready(SERVERS);
	drain_server(1);
	remove_server(1);
	verdict = steering_send_packet(1, token_of(1), CM_STEER_RST);
	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
	ck_assert_int_eq(steering_send_syn(1, 0).action, CM_STEER_FORWARD);
}

/* A failure domain that is cut off from the registry loses its entries one
 * after another while its servers are alive. */
TEST(no_flow_to_a_domain_cut_off_from_the_registry_is_reset)
{
	steering_make_ready(SERVERS);
	for (uint64_t id = 1; id <= SERVERS; id++) {
		remove_server(id);
		for (uint64_t other = 1; other <= SERVERS; other++)
			assert_forwarded_if_suspected(other);
		steering_advance(REMOVALS_SPREAD_MS / SERVERS);
	}
	for (int i = 0; i < 10; i++) {
		steering_advance(500);
		for (uint64_t id = 1; id <= SERVERS; id++)
			assert_forwarded_if_suspected(id);
	}
	/* Half of the servers are back: the others are gone. */
	steering_add_server(1, "a");
	assert_forwarded_if_suspected(3);
	steering_add_server(2, "a");
	assert_reset_as_removed(3);
	assert_forwarded_if_suspected(1);
}

/* A single server that is cut off from the registry loses its entry too. Its
 * callers still acknowledge its responses. */
TEST(no_flow_of_a_removed_server_that_answers_is_reset)
{
	struct cm_steer_verdict opened;

	steering_make_ready(SERVERS);
	opened = steering_send_syn(7, 0);
	steering_send_data(7, opened.token, 0);
	remove_server(opened.server_id);
	steering_advance(REMOVALS_SPREAD_MS / 2);
	steering_send_data(7, opened.token, STEERING_ANSWER_BYTES);
	steering_advance(REMOVALS_SPREAD_MS);
	assert_forwarded_if_suspected(opened.server_id);
}

/* Without an observation of its own, an instance can't distinguish a server
 * that is gone from one that is cut off from the registry alone. */
TEST(no_flow_of_a_removed_server_is_reset_before_data_is_retransmitted)
{
	steering_make_ready(SERVERS);
	remove_server(1);
	steering_advance(REMOVALS_SPREAD_MS);
	assert_forwarded(1);
	ck_assert_int_eq(send_data_to(1, 5, 1).action, CM_STEER_FORWARD);
	steering_advance(50);
	/* A duplicate that the network made. */
	ck_assert_int_eq(send_data_to(1, 5, 1).action, CM_STEER_FORWARD);
	steering_advance(150);
	/* The first retransmission may be due to one lost packet. */
	ck_assert_int_eq(send_data_to(1, 5, 1).action, CM_STEER_FORWARD);
	steering_advance(400);
	ck_assert_int_eq(send_data_to(1, 5, 1).reason, CM_C_STEER_GONE_REMOVED);
	assert_reset(1, CM_C_STEER_GONE_REMOVED);
}

/* A report that agreed with the removal must not lapse before the callers of
 * idle flows send their next requests. An answer ends it. */
TEST(report_before_the_removal_stays_evidence)
{
	struct cm_steer_server *server;
	uint64_t reported_ms;

	steering_make_ready(SERVERS);
	server = cm_steer_servers_find_by_id(&steering.servers, 1);
	reported_ms = steering_ms;
	cm_server_health_reported(&server->health, reported_ms);
	steering_advance(ENTRY_EXPIRY_MS - 100);
	remove_server(1);
	steering_advance(2 * REMOVALS_SPREAD_MS);
	assert_reset(1, CM_C_STEER_GONE_REMOVED);
	server->health.answered_ms = reported_ms + 1;
	assert_forwarded(1);
}

/* The same for a server that was cut off from the registry while draining. */
TEST(no_flow_of_a_draining_server_that_answers_is_reset)
{
	struct cm_steer_verdict opened;

	steering_make_ready(SERVERS);
	opened = steering_send_syn(7, 0);
	steering_send_data(7, opened.token, 0);
	/* Reports are ignored shortly after an answer. */
	steering_advance(300);
	drain_server(opened.server_id);
	remove_server(opened.server_id);
	assert_reset_as_drained(opened.server_id);
	steering_advance(25);
	steering_send_data(7, opened.token, STEERING_ANSWER_BYTES);
	assert_forwarded(opened.server_id);
}

/* Entries that lapsed in an outage of the registry are back within the grace
 * period if their servers are alive. */
TEST(flow_of_a_lapsed_server_is_reset_after_the_grace_period)
{
	steering_make_ready(SERVERS);
	cm_steer_registry_unreachable(&steering);
	steering_advance(5000);
	for (uint64_t id = 1; id <= SERVERS; id++)
		remove_server(id);
	assert_forwarded_if_suspected(1);
	cm_steer_registry_answered(&steering, steering_ms);
	steering_advance(STEERING_LAPSE_GRACE_MS - 500);
	for (uint64_t id = 2; id <= SERVERS; id++)
		steering_add_server(id, "a");
	steering_advance(499);
	assert_forwarded_if_suspected(1);
	steering_advance(1);
	assert_reset_as_removed(1);
	for (uint64_t id = 2; id <= SERVERS; id++)
		assert_forwarded_if_suspected(id);
	ck_assert_int_eq(
		cm_steer_servers_find_by_id(&steering.servers, 1)->listing,
		CM_LEFT);
	/* A server that registers late gets flows again. */
	steering_add_server(1, "a");
	assert_forwarded(1);
}

/* A new outage, or a change of the store's era, starts a new grace period also
 * for entries that were removed before. */
TEST(no_flow_is_reset_in_a_later_grace_period)
{
	steering_make_ready(SERVERS);
	remove_server(1);
	steering_advance(REMOVALS_SPREAD_MS);
	assert_reset_as_removed(1);
	steering.registry_restored_ms = steering_ms;
	assert_forwarded_if_suspected(1);
	steering_advance(STEERING_LAPSE_GRACE_MS);
	assert_reset_as_removed(1);
	cm_steer_registry_unreachable(&steering);
	assert_forwarded_if_suspected(1);
}

/* Stale data may lack the new entry of a server that has come back. */
TEST(no_flow_is_reset_on_stale_data)
{
	steering_make_ready(SERVERS);
	drain_server(1);
	remove_server(1);
	steering_ms += STEERING_REGISTRY_FRESH_MS;
	steering.last_now_ms = steering_ms;
	assert_reset_as_drained(1);
	steering_ms++;
	assert_forwarded(1);
}

/* After a pause, the data may lack all changes since its start. */
TEST(no_flow_is_reset_between_a_pause_and_new_data)
{
	uint64_t resumed_ms;

	steering_make_ready(SERVERS);
	drain_server(1);
	remove_server(1);
	steering_ms += 2500;
	resumed_ms = steering_ms;
	assert_forwarded_if_suspected(1);
	steering_ms += 10;
	cm_steer_tick(&steering, steering_ms);
	cm_steer_registry_answered(&steering, resumed_ms - 1);
	assert_forwarded_if_suspected(1);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_GONE_WITHHELD), 2);
	cm_steer_registry_answered(&steering, resumed_ms);
	assert_reset_as_drained(1);
}

/* A process with a small share of a core often stops for up to 100 ms. Its data
 * may be older than that, but it has to be renewed. */
TEST(no_flow_is_reset_between_a_short_pause_and_new_data)
{
	steering_make_ready(SERVERS);
	drain_server(1);
	remove_server(1);
	assert_reset_as_drained(1);
	steering_ms += 100;
	assert_forwarded(1);
	cm_steer_registry_answered(&steering, steering_ms - 500);
	assert_reset_as_drained(1);
}

/* An instance that no server answers may be the one that is cut off. */
TEST(no_flow_is_reset_by_an_instance_that_is_cut_off)
{
	steering_make_ready(SERVERS);
	drain_server(1);
	remove_server(1);
	for (uint16_t port = 10; port < 14; port++)
		steering_send_syn(port, 0);
	steering_advance(100);
	assert_forwarded(1);
	cm_steer_probe_succeeded(&steering, steering_ms, token_of(2));
	assert_reset_as_drained(1);
}

/* Sends the data of a flow and retransmits it as a caller does whose server
 * does not answer; returns the verdict on the second retransmission. */
static struct cm_steer_verdict send_data_thrice(uint64_t id, uint16_t port)
{
	struct cm_steer_verdict verdict = send_data_to(id, port, 1);

	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
	steering_advance(200);
	verdict = send_data_to(id, port, 1);
	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
	steering_advance(400);
	return send_data_to(id, port, 1);
}

static void make_ready_for(enum cm_route_kind kind)
{
	steering_make_ready(SERVERS);
	steering.plan.routes[0].traits.kind = kind;
}

/* Makes the node find a server silent: it leaves a SYN and a probe unanswered.
 * Returns the id of the server. */
static uint64_t make_silent(void)
{
	struct cm_endpoint address;
	struct cm_steer_verdict silent = steering_send_syn(100, 0);

	steering_advance(100);
	ck_assert_uint_eq(cm_steer_next_probe(&steering, steering_ms, &address),
			  silent.token);
	steering_advance(CM_HEALTH_FIRST_PROBE_TIMEOUT_MS);
	return silent.server_id;
}

static void list_down(uint64_t id)
{
	const struct cm_message_tokens down = { { token_of(id) }, 1 };

	cm_steer_apply_down(&steering, steering_ms, &down);
}

static void assert_data_forwarded(uint64_t id, uint16_t port)
{
	ck_assert_int_eq(send_data_to(id, port, 1).action, CM_STEER_FORWARD);
}

static void assert_data_reset(uint64_t id, uint16_t port,
			      enum cm_counter reason)
{
	struct cm_steer_verdict verdict = send_data_to(id, port, 1);

	ck_assert_int_eq(verdict.action, CM_STEER_RESET);
	ck_assert_int_eq(verdict.reason, reason);
}

/* The two observations of one instance: a SYN, and the data of a flow. The
 * other flows to the server are reset at their next packet. */
TEST(flow_of_a_silent_server_is_reset_after_retransmissions)
{
	uint64_t id;

	make_ready_for(CM_ROUTE_IDEMPOTENT);
	id = make_silent();
	assert_data_forwarded(id, 6);
	steering_advance(800);
	ck_assert_int_eq(send_data_thrice(id, 5).reason,
			 CM_C_STEER_GONE_SILENT);
	assert_data_reset(id, 6, CM_C_STEER_GONE_SILENT);
	steering_advance(CM_DATA_STALL_TTL_MS);
	assert_data_forwarded(id, 7);
}

/* A lost packet, or a slow response, is no second observation. */
TEST(first_retransmission_resets_no_flow)
{
	uint64_t id;

	make_ready_for(CM_ROUTE_IDEMPOTENT);
	id = make_silent();
	assert_data_forwarded(id, 5);
	steering_advance(200);
	assert_data_forwarded(id, 5);
	assert_data_forwarded(id, 6);
}

/* Lost data alone does not show that the server is gone. */
TEST(retransmissions_alone_reset_no_flow)
{
	make_ready_for(CM_ROUTE_IDEMPOTENT);
	ck_assert_int_eq(send_data_thrice(1, 5).action, CM_STEER_FORWARD);
	report(1);
	assert_data_reset(1, 5, CM_C_STEER_GONE_SILENT);
	assert_data_forwarded(2, 5);
}

/* A server at its maximum number of connections leaves SYNs and probes
 * unanswered but serves its open flows. */
TEST(answer_ends_the_evidence)
{
	struct cm_steer_verdict opened;
	uint64_t id;

	make_ready_for(CM_ROUTE_DOWNLOAD);
	opened = steering_send_syn(50, 0);
	steering_send_data(50, opened.token, 0);
	id = opened.server_id;
	steering_advance(400);
	report(id);
	ck_assert_int_eq(send_data_thrice(id, 5).reason,
			 CM_C_STEER_GONE_SILENT);
	list_down(id);
	assert_data_reset(id, 5, CM_C_STEER_GONE_DOWN);
	steering_advance(1);
	steering_send_data(50, opened.token, STEERING_ANSWER_BYTES);
	assert_data_forwarded(id, 5);
}

/* A request that must not run twice may have been executed; its caller does not
 * retry it after a reset. */
TEST(observation_resets_only_repeatable_requests)
{
	static const enum cm_route_kind kinds[] = { CM_ROUTE_OTHER,
						    CM_ROUTE_NON_IDEMPOTENT,
						    CM_ROUTE_UPLOAD };

	make_ready_for(CM_ROUTE_OTHER);
	report(1);
	list_down(1);
	send_data_thrice(1, 5);
	report(1);
	list_down(1);
	for (int i = 0; i < COUNT_OF(kinds); i++) {
		steering.plan.routes[0].traits.kind = kinds[i];
		assert_data_forwarded(1, 5);
	}
	steering.plan.routes[0].traits.kind = CM_ROUTE_DOWNLOAD;
	assert_data_reset(1, 5, CM_C_STEER_GONE_DOWN);
}

/* Several instances found the server down: no caller here has to wait. When the
 * source is lost, its list expires. */
TEST(flow_of_a_server_that_is_down_is_reset_at_once)
{
	const struct cm_message_tokens none = { .count = 0 };

	make_ready_for(CM_ROUTE_IDEMPOTENT);
	list_down(1);
	assert_data_reset(1, 5, CM_C_STEER_GONE_DOWN);
	assert_data_forwarded(2, 5);
	steering_advance(1499);
	assert_data_reset(1, 5, CM_C_STEER_GONE_DOWN);
	steering_advance(1);
	assert_data_forwarded(1, 5);
	list_down(1);
	assert_data_reset(1, 5, CM_C_STEER_GONE_DOWN);
	cm_steer_apply_down(&steering, steering_ms, &none);
	assert_data_forwarded(1, 5);
}

/* A delayed answer of the source must not replace a newer one. */
TEST(older_list_of_servers_that_are_down_is_ignored)
{
	const struct cm_message_tokens down = { { token_of(1) }, 1 };
	const struct cm_message_tokens none = { .count = 0 };

	make_ready_for(CM_ROUTE_IDEMPOTENT);
	cm_steer_apply_down(&steering, steering_ms, &none);
	cm_steer_apply_down(&steering, steering_ms - 1, &down);
	assert_data_forwarded(1, 5);
}

/* The limits for evidence of the registry hold for observations as well: no
 * reset on stale data, after a pause, or while the instance is cut off. */
TEST(observation_resets_nothing_while_the_node_is_unsure)
{
	make_ready_for(CM_ROUTE_IDEMPOTENT);
	steering_pause(2500);
	steering.registry_confirmed_ms = steering_ms - 1;
	list_down(1);
	assert_data_forwarded(1, 5);
	cm_steer_registry_answered(&steering, steering_ms);
	assert_data_reset(1, 5, CM_C_STEER_GONE_DOWN);
	steering.registry_confirmed_ms =
		steering_ms - STEERING_REGISTRY_FRESH_MS - 1;
	assert_data_forwarded(1, 5);
	steering.registry_confirmed_ms = steering_ms;
	for (uint16_t port = 10; port < 14; port++)
		steering_send_syn(port, 0);
	steering_advance(100);
	list_down(1);
	assert_data_forwarded(1, 5);
}

/* A removal without draining is one observation, retransmitted data another,
 * so that the caller needs not wait until other entries stayed. */
TEST(flow_of_a_removed_server_is_reset_after_retransmissions)
{
	make_ready_for(CM_ROUTE_IDEMPOTENT);
	remove_server(1);
	ck_assert_int_eq(send_data_thrice(1, 5).reason, CM_C_STEER_GONE_SILENT);
	remove_server(2);
	remove_server(3);
	assert_data_forwarded(1, 5);
}

/* A newly silent server is reported to the source at once, and again when data
 * to it was retransmitted. */
TEST(silent_server_is_reported_at_once)
{
	struct cm_message_tokens silent, stalled;
	uint64_t id;

	make_ready_for(CM_ROUTE_OTHER);
	steering_advance(25);
	ck_assert(!cm_steer_take_new_silent(&steering));
	id = make_silent();
	ck_assert(cm_steer_take_new_silent(&steering));
	steering_advance(100);
	ck_assert(!cm_steer_take_new_silent(&steering));
	send_data_thrice(id, 5);
	steering_advance(25);
	ck_assert(cm_steer_take_new_silent(&steering));
	silent.count = cm_steer_list_silent_servers(
		&steering, steering_ms, silent.tokens, CM_MESSAGE_TOKENS_MAX);
	cm_steer_list_stalled_servers(&steering, steering_ms, &silent,
				      &stalled);
	ck_assert_uint_eq(stalled.count, 1);
	ck_assert_uint_eq(stalled.tokens[0], token_of(id));
}

/* Other instances send no SYN to a server that the source suspects, so the data
 * of their callers is the observation that they report. */
TEST(retransmitted_data_to_a_suspected_server_is_reported)
{
	struct cm_message_tokens silent = { .count = 0 }, stalled;

	make_ready_for(CM_ROUTE_OTHER);
	send_data_thrice(1, 5);
	cm_steer_list_stalled_servers(&steering, steering_ms, &silent,
				      &stalled);
	ck_assert_uint_eq(silent.count, 0);
	report(1);
	ck_assert(!cm_steer_take_new_silent(&steering));
	send_data_to(1, 5, 1);
	ck_assert(cm_steer_take_new_silent(&steering));
	cm_steer_list_stalled_servers(&steering, steering_ms, &silent,
				      &stalled);
	ck_assert_uint_eq(silent.count, 1);
	ck_assert_uint_eq(stalled.count, 1);
	ck_assert_uint_eq(stalled.tokens[0], token_of(1));
	silent.count = 0;
	steering_advance(CM_DATA_STALL_TTL_MS);
	cm_steer_list_stalled_servers(&steering, steering_ms, &silent,
				      &stalled);
	ck_assert_uint_eq(silent.count, 0);
}
