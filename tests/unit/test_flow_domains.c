#include <string.h>

#include "unit/flows.h"
#include "unit/suites.h"

static bool is_in_domain(const struct cm_endpoint *server, const char *domain)
{
	const struct cm_catalog *catalog = &cluster->nodes[0].view.catalog;
	uint32_t i = cm_catalog_find_server(catalog, server);

	return i != CM_NONE &&
	       cm_name_equal(catalog->servers[i].spec.domain, domain);
}

UNIT_CASE("flow", "domains", flows_setup, flows_teardown, UNIT_TIMEOUT_S);

/*
 * When a failure domain is taken out, the callers of its servers must be reset
 * within 100 ms, and none of its servers may get a packet after that.
 */
TEST(domain_out_ends_its_flows_at_once)
{
	uint32_t affected = 0, resets;

	flows_open_all();
	for (uint32_t i = 0; i < FLOWS_COUNT; i++)
		affected += is_in_domain(&flows[i].server, "b");
	ck_assert_uint_gt(affected, 0);
	flows_set_domain("b", "out");
	fake_cluster_advance(cluster, 100);
	resets = cluster->output_count;
	for (uint32_t i = 0; i < resets; i++) {
		struct cm_packet packet;

		ck_assert(!cluster->outputs[i].is_to_server);
		flows_read_output(i, &packet);
		ck_assert(packet.flags & CM_TCP_RST);
		ck_assert_uint_eq(packet.seq, 501);
	}
	ck_assert_uint_eq(resets, affected);
	for (uint32_t i = 0; i < FLOWS_COUNT; i++) {
		bool is_out = is_in_domain(&flows[i].server, "b");

		ck_assert_int_eq(
			flow_reaches_server(&flows[i], i % FLOWS_NODES, 102),
			!is_out);
		for (uint32_t k = 0; k < cluster->output_count; k++)
			ck_assert(!cluster->outputs[k].is_to_server ||
				  !is_in_domain(&cluster->outputs[k].server,
						"b"));
		if (!is_out)
			continue;
		ck_assert(flow_open(&flows[i], i, 0x40000000));
		ck_assert(!is_in_domain(&flows[i].server, "b"));
	}
	flows_set_domain("b", "in");
	fake_cluster_advance(cluster, FLOWS_SETTLE_MS);
	ck_assert_uint_eq(flows_count_lost(), 0);
}

/*
 * Every server outside the domain that is out has rejected the segment, so the
 * flow was at a server of that domain. The refusal must give this reason.
 */
TEST(flow_of_a_domain_that_is_out_is_reset)
{
	static const char reason[] = "refused=failure-domain-out";
	struct flow flow = { .caller = flows_caller(7) };
	struct cm_packet packet;

	flows_set_domain("b", "out");
	fake_cluster_advance(cluster, FLOWS_SETTLE_MS);
	flow_send(&flow, 4, CM_TCP_ACK, 101, 501);
	while (cluster->output_count == 1 && cluster->outputs[0].is_to_server)
		flow_answer_reset(&flow, 5);
	ck_assert_uint_eq(cluster->output_count, 1);
	flows_read_output(0, &packet);
	ck_assert_mem_eq(packet.bytes + packet.payload_offset, reason,
			 sizeof(reason) - 1);
}

/*
 * Cuts a failure domain off from the others, or ends the partition: members on
 * the other side are dead in the view of each node.
 */
static void set_partition(uint32_t domain, bool is_cut)
{
	struct cm_member members[FLOWS_NODES];

	for (uint32_t node = 0; node < FLOWS_NODES; node++) {
		memcpy(members, cluster->members, sizeof(members));
		for (uint32_t i = 0; i < FLOWS_NODES; i++)
			if (is_cut && (i % 3 == domain) != (node % 3 == domain))
				members[i].state = CM_MEMBER_DEAD;
		ASSERT_OK(cm_node_set_members(&cluster->nodes[node], members,
					      FLOWS_NODES));
	}
	fake_cluster_advance(cluster, FLOWS_SETTLE_MS);
}

/*
 * Each side of a partition must serve the flows of its own servers. It must
 * drop the segments of all other flows without a reset, because the other side
 * may hold these flows.
 */
TEST(partitioned_domain_serves_its_own_flows)
{
	flows_open_all();
	set_partition(1, true);
	for (uint32_t i = 0; i < FLOWS_COUNT; i++) {
		for (uint32_t node = 0; node < FLOWS_NODES; node++) {
			bool is_same_side =
				is_in_domain(&flows[i].server, "b") ==
				(node % 3 == 1);

			ck_assert_int_eq(flow_reaches_server(&flows[i], node,
							     102 + node),
					 is_same_side);
			if (!is_same_side)
				ck_assert_uint_eq(cluster->output_count, 0);
		}
	}
	for (uint32_t i = 0; i < FLOWS_COUNT; i++) {
		struct flow flow = { .caller = flows_caller(1000 + i) };

		flow_send(&flow, 1, CM_TCP_SYN, 1, 0);
		ck_assert_uint_eq(cluster->output_count, 1);
		ck_assert(cluster->outputs[0].is_to_server);
		ck_assert(is_in_domain(&cluster->outputs[0].server, "b"));
	}
	set_partition(1, false);
	ck_assert_uint_eq(flows_count_lost(), 0);
}

/* Flows that either side of a partition admits must be found after its end. */
TEST(flows_survive_end_of_partition)
{
	set_partition(1, true);
	for (uint32_t i = 0; i < FLOWS_COUNT; i++) {
		struct flow *flow = &flows[i];
		uint32_t node = i % 2 ? 1 : 0;

		flow->caller = flows_caller(i);
		flow->isn = 100;
		flow_send(flow, node, CM_TCP_SYN, 100, 0);
		ck_assert(cluster->outputs[0].is_to_server);
		flow->server = cluster->outputs[0].server;
		flow_answer(flow, flow->server, node, CM_TCP_SYN | CM_TCP_ACK,
			    500, 101);
	}
	set_partition(1, false);
	ck_assert_uint_eq(flows_count_lost(), 0);
}
