#include "unit/suites.h"

#include "chervilmast/steer_report.h"
#include "unit/steering.h"

UNIT_CASE("steer", "eras", steering_setup, steering_teardown, UNIT_TIMEOUT_S);

/* The entries of both servers are missing after a change of era. The servers
 * are used until the grace period is over, and count as gone then. */
TEST(missing_servers_are_used_until_the_grace_period_ends)
{
	steering_make_ready(1);
	cm_steer_era_changed(&steering, steering_ms);
	cm_steer_remove_server(&steering, steering_ms, 1);
	cm_steer_remove_server(&steering, steering_ms, 101);
	cm_steer_registry_answered(&steering, steering_ms);
	ck_assert_int_eq(steering_send_syn(1, 0).action, CM_STEER_FORWARD);
	steering_advance(STEERING_LAPSE_GRACE_MS - 1);
	ck_assert_int_eq(steering_send_syn(2, 0).action, CM_STEER_FORWARD);
	steering_advance(1);
	ck_assert_int_eq(steering_send_syn(3, 0).action, CM_STEER_RESET);
}

/* A flow that is open when its server's entry is lost goes on. */
TEST(open_flow_keeps_its_server_over_a_change_of_era)
{
	struct cm_steer_verdict opened, later;

	steering_make_ready(2);
	opened = steering_send_syn(1, 0);
	steering_send_packet(1, opened.token, CM_STEER_ACK);
	cm_steer_era_changed(&steering, steering_ms);
	cm_steer_remove_server(&steering, steering_ms, opened.server_id);
	later = steering_send_packet(1, opened.token, CM_STEER_ACK);
	ck_assert_int_eq(later.action, CM_STEER_FORWARD);
	ck_assert_uint_eq(later.server_id, opened.server_id);
}

/* The answer that ends an outage may confirm data of before the change. The
 * grace period must not begin earlier by that. */
TEST(grace_period_begins_at_the_later_of_both_events)
{
	cm_steer_registry_unreachable(&steering);
	cm_steer_era_changed(&steering, steering_ms);
	cm_steer_registry_answered(&steering, steering_ms - 500);
	ck_assert_uint_eq(steering.registry_restored_ms, steering_ms);
}

/* The registry can't tell during an outage whether the operator has written the
 * entry of the failure domain again. */
TEST(held_domain_stays_out_during_an_outage)
{
	char domain[CM_NAME_SIZE];
	uint64_t end_ms = steering_ms + STEERING_LAPSE_GRACE_MS;

	ASSERT_OK(cm_steer_set_domain_out(&steering, steering_ms, "b", true));
	cm_steer_era_changed(&steering, steering_ms);
	cm_steer_hold_domain_out(&steering, "b");
	cm_steer_registry_unreachable(&steering);
	ck_assert(!cm_steer_take_returned_domain(&steering, end_ms, domain));
	cm_steer_registry_answered(&steering, end_ms);
	ck_assert(!cm_steer_take_returned_domain(&steering, end_ms, domain));
	end_ms += STEERING_LAPSE_GRACE_MS;
	ck_assert(cm_steer_take_returned_domain(&steering, end_ms, domain));
	ck_assert_str_eq(domain, "b");
	ck_assert(!cm_steer_take_returned_domain(&steering, end_ms, domain));
}
