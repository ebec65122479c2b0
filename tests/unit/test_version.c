/*
 * Guards against a catalog that goes back to an earlier version: a snapshot or
 * note whose version is not above the version in force must be refused.
 */
#include "unit/suites.h"

#include "chervilmast/error.h"
#include "chervilmast/note_follower.h"
#include "fake/deployment.h"
#include "unit/flows.h"

/* Version in force in all tests. */
#define IN_FORCE 2

static const struct fake_deployment deployment = {
	.domains = 1,
	.instances = 1,
	.ledger_servers = 1,
	.servers = 2,
};

UNIT_CASE("version", "only higher", flows_setup_small, flows_teardown,
	  UNIT_TIMEOUT_S);

TEST_LOOP(snapshot_that_is_not_higher_is_stale, 0, IN_FORCE + 1)
{
	struct cm_node *node = &cluster->nodes[0];
	struct cm_catalog catalog;
	struct cm_history history;

	flows_drain("s0");
	cm_catalog_init(&catalog);
	cm_history_init(&history);
	catalog.version = (uint64_t)_i;
	ck_assert_int_eq(cm_node_apply_snapshot(node, cluster->now_ms, &catalog,
						&history),
			 CM_E_STALE);
	ck_assert_uint_eq(cm_node_version(node), IN_FORCE);
}

TEST_LOOP(note_that_is_not_higher_is_not_followed, 0, IN_FORCE + 1)
{
	static const uint8_t id[CM_PUBLICATION_ID_SIZE] = { 7 };
	struct cm_note_follower follower;
	struct cm_member self;

	fake_deployment_member(&deployment, 0, &self);
	cm_note_follower_init(&follower, &self, 0);
	cm_note_follower_set_version(&follower, IN_FORCE, id);
	ck_assert_int_eq(
		cm_note_follower_check_snapshot(&follower, (uint64_t)_i, id),
		CM_E_STALE);
	ck_assert_int_eq(
		cm_note_follower_check_note(&follower, (uint64_t)_i, id),
		CM_E_STALE);
	ck_assert_int_eq(
		cm_note_follower_check_snapshot(&follower, IN_FORCE + 1, id),
		CM_OK);
	cm_note_follower_finish(&follower);
}
