#include "unit/suites.h"

#include "chervilmast/node_drain.h"
#include "unit/flows.h"

/* Bindings that a node may announce per second; fewer than it holds. */
#define ANNOUNCEMENTS_PER_S 5
/* Time limit of a drain, ms; enough to announce all bindings at that rate. */
#define DRAIN_MAX_MS 30000
#define TICK_MS 100

static struct cm_node_drain remaining;

/* Stores in remaining what the node still has to hand over before it may exit;
 * returns whether nothing is left. */
static bool is_drained(uint32_t node)
{
	return cm_node_drain_read(&cluster->nodes[node], &remaining);
}

/* Marks a node LEAVING in the view of all nodes. */
static void set_leaving(uint32_t node)
{
	cluster->members[node].state = CM_MEMBER_LEAVING;
	for (uint32_t i = 0; i < cluster->count; i++)
		cm_node_set_members(&cluster->nodes[i], cluster->members,
				    cluster->count);
}

static void leave(uint32_t node)
{
	cm_node_leave(&cluster->nodes[node]);
	set_leaving(node);
}

static void advance_until_drained(uint32_t node)
{
	uint64_t end_ms = cluster->now_ms + DRAIN_MAX_MS;

	while (!is_drained(node) && cluster->now_ms < end_ms)
		fake_cluster_advance(cluster, TICK_MS);
	ck_assert(is_drained(node));
}

/*
 * Asserts that a segment of each flow that had the given home reaches its
 * server at once, without a probe.
 */
static void assert_reached_without_probe(const uint32_t *homes, uint32_t home)
{
	for (uint32_t i = 0; i < FLOWS_COUNT; i++) {
		if (homes[i] != home)
			continue;
		flow_send(&flows[i], flows_live_node(i), CM_TCP_ACK, 101, 501);
		ck_assert_uint_eq(cluster->output_count, 1);
		ck_assert(cm_endpoint_equal(&cluster->outputs[0].server,
					    &flows[i].server));
	}
}

UNIT_CASE("drain", "node", NULL, flows_teardown, UNIT_TIMEOUT_S);

/*
 * The drain must not end before the instance is LEAVING in its own view and has
 * handed over its flows. Until then other instances may relay packets to it, so
 * flows would be lost if the process exited.
 */
TEST(drain_ends_with_the_flows_handed_over)
{
	uint32_t home;

	flows_setup();
	flows_open_all();
	home = flow_home(&flows[0]);
	ck_assert(!is_drained(home));
	cm_node_leave(&cluster->nodes[home]);
	fake_cluster_advance(cluster, DRAIN_MAX_MS);
	ck_assert(!is_drained(home));
	ck_assert(!remaining.leave_applied && remaining.held_flows);
	set_leaving(home);
	ck_assert(!is_drained(home));
	advance_until_drained(home);
	flows_kill(home);
	ck_assert_uint_eq(flows_count_lost(), 0);
}

/*
 * The drain must not end before the instance has sent the new homes the number
 * of connections that it held. Without this report they could exceed the caps
 * of the servers.
 */
TEST(drain_waits_for_the_report)
{
	uint32_t home;

	flows_setup();
	flows_open_all();
	home = flow_home(&flows[0]);
	fake_cluster_tick(cluster);
	leave(home);
	fake_cluster_tick(cluster);
	ck_assert(!is_drained(home));
	ck_assert(remaining.leave_applied && !remaining.held_flows &&
		  remaining.reports_pending);
	advance_until_drained(home);
}

/*
 * The last instance of a failure domain has no successor to hand its flows to,
 * so its drain lasts until the flows end.
 */
TEST(drain_without_successor_waits_for_flows)
{
	uint32_t home;

	flows_setup_small();
	flows_open_all();
	home = flow_home(&flows[0]);
	leave(home);
	fake_cluster_advance(cluster, DRAIN_MAX_MS);
	ck_assert(!is_drained(home));
	ck_assert(remaining.leave_applied && remaining.held_flows);
	for (uint32_t i = 0; i < FLOWS_COUNT; i++)
		flow_answer(&flows[i], flows[i].server, home,
			    CM_TCP_RST | CM_TCP_ACK, 501, 101);
	advance_until_drained(home);
}

/*
 * The first candidate of some flows was draining, so they are at another
 * server, and only an announced binding leads to it. The drain must not end
 * before the deferred announcements are sent; otherwise these flows would need
 * a probe.
 */
TEST(drain_waits_for_deferred_announcements)
{
	uint32_t homes[FLOWS_COUNT];
	uint32_t home;

	flows_setup();
	flows_drain("s0");
	flows_drain("s1");
	flows_stop_announcing();
	flows_open_all();
	for (uint32_t i = 0; i < FLOWS_COUNT; i++)
		homes[i] = flow_home(&flows[i]);
	home = homes[0];
	ck_assert_uint_gt(fake_cluster_total(cluster, CM_C_BINDINGS_DEFERRED),
			  0);
	leave(home);
	fake_cluster_advance(cluster, DRAIN_MAX_MS);
	ck_assert(!is_drained(home));
	ck_assert(!remaining.held_flows && remaining.bindings_pending);
	for (uint32_t i = 0; i < FLOWS_NODES; i++)
		cluster->nodes[i].announce_budget.per_s = ANNOUNCEMENTS_PER_S;
	advance_until_drained(home);
	flows_kill(home);
	assert_reached_without_probe(homes, home);
}
