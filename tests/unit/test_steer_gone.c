#include "unit/suites.h"

#include "unit/steering.h"

/** Time within which all entries of a failure domain expire when it is cut off
 * from the registry, ms; servers renew their entries at this interval. */
#define REMOVALS_SPREAD_MS 1200
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
	assert_reset(1, CM_C_STEER_GONE_DRAINED);
	ck_assert_uint_eq(steering_counter(CM_C_STEER_GONE_DRAINED), 1);
	assert_forwarded(2);
}

TEST(flow_of_an_earlier_run_is_reset)
{
	struct cm_server_entry entry = steering_make_entry(1, "a");
	struct cm_steer_verdict verdict;

	steering_make_ready(SERVERS);
	entry.started_ms = 1000;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
	assert_reset(1, CM_C_STEER_GONE_REPLACED);
	verdict =
		steering_send_packet(1, cm_steer_token(1, 1000), CM_STEER_ACK);
	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
}

/* An entry that was removed without draining may be the first of a failure
 * domain that is cut off from the registry. */
TEST(flow_of_a_removed_server_is_reset_once_others_stayed)
{
	steering_make_ready(SERVERS);
	remove_server(1);
	steering_advance(REMOVALS_SPREAD_MS - 1);
	assert_forwarded(1);
	steering_advance(1);
	assert_reset(1, CM_C_STEER_GONE_REMOVED);
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
			assert_forwarded(other);
		steering_advance(REMOVALS_SPREAD_MS / SERVERS);
	}
	for (int i = 0; i < 10; i++) {
		steering_advance(500);
		for (uint64_t id = 1; id <= SERVERS; id++)
			assert_forwarded(id);
	}
	/* Half of the servers are back: the others are gone. */
	steering_add_server(1, "a");
	assert_forwarded(3);
	steering_add_server(2, "a");
	assert_reset(3, CM_C_STEER_GONE_REMOVED);
	assert_forwarded(1);
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
	assert_forwarded(opened.server_id);
}

/* The same for a server that was cut off from the registry while draining. */
TEST(no_flow_of_a_draining_server_that_answers_is_reset)
{
	struct cm_steer_verdict opened;

	steering_make_ready(SERVERS);
	opened = steering_send_syn(7, 0);
	steering_send_data(7, opened.token, 0);
	drain_server(opened.server_id);
	remove_server(opened.server_id);
	assert_reset(opened.server_id, CM_C_STEER_GONE_DRAINED);
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
	assert_forwarded(1);
	cm_steer_registry_answered(&steering, steering_ms);
	steering_advance(STEERING_LAPSE_GRACE_MS - 500);
	for (uint64_t id = 2; id <= SERVERS; id++)
		steering_add_server(id, "a");
	steering_advance(499);
	assert_forwarded(1);
	steering_advance(1);
	assert_reset(1, CM_C_STEER_GONE_REMOVED);
	for (uint64_t id = 2; id <= SERVERS; id++)
		assert_forwarded(id);
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
	assert_reset(1, CM_C_STEER_GONE_REMOVED);
	steering.registry_restored_ms = steering_ms;
	assert_forwarded(1);
	steering_advance(STEERING_LAPSE_GRACE_MS);
	assert_reset(1, CM_C_STEER_GONE_REMOVED);
	cm_steer_registry_unreachable(&steering);
	assert_forwarded(1);
}

/* Stale data may lack the new entry of a server that has come back. */
TEST(no_flow_is_reset_on_stale_data)
{
	steering_make_ready(SERVERS);
	drain_server(1);
	remove_server(1);
	steering_ms += STEERING_REGISTRY_FRESH_MS;
	steering.last_now_ms = steering_ms;
	assert_reset(1, CM_C_STEER_GONE_DRAINED);
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
	assert_forwarded(1);
	steering_ms += 10;
	cm_steer_tick(&steering, steering_ms);
	cm_steer_registry_answered(&steering, resumed_ms - 1);
	assert_forwarded(1);
	cm_steer_registry_answered(&steering, resumed_ms);
	assert_reset(1, CM_C_STEER_GONE_DRAINED);
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
	assert_reset(1, CM_C_STEER_GONE_DRAINED);
}
