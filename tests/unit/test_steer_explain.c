#include "unit/suites.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "chervilmast/steer_explain.h"
#include "daemon/explain_page.h"
#include "unit/steering.h"

#define FLOWS 300
#define COLD_PER_S 10
#define COLD_LEFT_MS 60000

static struct cm_explanation explanation;

UNIT_CASE("explain", "placements", steering_setup, steering_teardown,
	  UNIT_TIMEOUT_S);

static const struct cm_explained_service *explain(uint32_t avoid_token)
{
	ASSERT_OK(cm_steer_explain(&steering, steering_ms, &steering_route,
				   avoid_token, &explanation));
	ck_assert_uint_eq(explanation.service_count, 1);
	return &explanation.services[0];
}

static const struct cm_explained_server *find_candidate(uint64_t id)
{
	const struct cm_explained_service *service = &explanation.services[0];

	for (uint32_t i = 0; i < service->candidate_count; i++)
		if (service->candidates[i].id == id)
			return &service->candidates[i];
	return NULL;
}

static const struct cm_explained_server *find_excluded(uint64_t id)
{
	const struct cm_explained_service *service = &explanation.services[0];

	for (uint32_t i = 0; i < service->excluded_count; i++)
		if (service->excluded[i].id == id)
			return &service->excluded[i];
	return NULL;
}

static struct cm_steer_server *find_server(uint64_t id)
{
	return cm_steer_servers_find_by_id(&steering.servers, id);
}

static uint64_t sum_of(const struct cm_explained_cost *cost)
{
	return cost->idle + cost->load + cost->slowness + cost->failures +
	       cost->unproven + cost->other_domain + cost->cold_start;
}

/* Guards against costs that omit the surcharge of another failure domain, or
 * that are not in the order of the choice. */
TEST(idle_servers_cost_less_in_the_own_domain)
{
	const struct cm_explained_service *service;

	steering_make_ready(2);
	service = explain(0);
	ck_assert_uint_eq(service->candidate_count, 4);
	ck_assert_uint_eq(service->excluded_count, 0);
	ck_assert_int_eq(service->verdict.action, CM_STEER_FORWARD);
	ck_assert_int_eq(service->verdict.reason, CM_C_STEER_PLACED);
	ck_assert_uint_eq(service->candidates[0].cost.total, 1000);
	ck_assert_uint_eq(service->candidates[0].cost.other_domain, 0);
	ck_assert_uint_eq(service->candidates[2].id, 101);
	ck_assert_uint_eq(service->candidates[2].cost.total, 2000);
	ck_assert_uint_eq(service->candidates[2].cost.other_domain, 1000);
}

/* Server 1 has an open flow, failed flows and an ejection, server 2 is slow and
 * in its cold start. Each cause must appear in its own component only. */
TEST(components_of_a_cost_are_told_apart)
{
	const struct cm_explained_server *row;
	struct cm_steer_server *server;

	steering_make_ready(4);
	server = find_server(1);
	cm_server_pool_flow_opened(server);
	server->load.own = 1000;
	server->health.failed_per_mille = 500;
	server->health.ended_ms = steering_ms;
	cm_server_health_eject(&server->health, steering_ms);
	for (uint64_t id = 2; id <= 4; id++) {
		server = find_server(id);
		server->health.service_ms_eighths = id == 2 ? 8000 : 800;
		server->health.ended_ms = steering_ms;
	}
	find_server(2)->cold_until_ms = steering_ms + COLD_LEFT_MS;
	explain(0);
	row = find_candidate(1);
	ck_assert_uint_gt(row->cost.load, 0);
	ck_assert_uint_gt(row->cost.failures, 0);
	ck_assert_uint_eq(row->cost.slowness, 0);
	ck_assert_uint_eq(row->cost.cold_start, 0);
	ck_assert_uint_eq(row->cost.total, sum_of(&row->cost));
	row = find_candidate(2);
	ck_assert_uint_eq(row->cost.load, 0);
	ck_assert_uint_eq(row->cost.failures, 0);
	ck_assert_uint_gt(row->cost.slowness, 0);
	ck_assert_uint_gt(row->cost.cold_start, 0);
	ck_assert_uint_eq(row->cost.total, sum_of(&row->cost));
	ck_assert_uint_eq(find_candidate(3)->cost.total, 1000);
}

/* An explanation of a second SYN must not choose the server that left the first
 * one unanswered, and must show what servers without an answer cost more. */
TEST(avoided_server_is_excluded_and_others_must_have_answered)
{
	const struct cm_explained_service *service;
	struct cm_steer_verdict first;

	steering_make_ready(3);
	first = steering_send_syn(1, 0);
	service = explain(first.token);
	ck_assert_int_eq(service->verdict.reason, CM_C_STEER_PLACED_AGAIN);
	ck_assert_uint_ne(service->verdict.server_id, first.server_id);
	ck_assert_uint_gt(service->candidates[0].cost.unproven, 0);
	ck_assert_int_eq(find_excluded(first.server_id)->exclusion,
			 CM_EXCLUDED_AVOIDED);
}

static void drain(uint64_t id)
{
	struct cm_server_entry entry = steering_make_entry(id, "a");

	entry.is_draining = true;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
}

static void leave(uint64_t id)
{
	cm_steer_remove_server(&steering, steering_ms, id);
}

static void lapse(uint64_t id)
{
	cm_steer_servers_set_listing(&steering.servers, find_server(id),
				     CM_LAPSED, steering_ms);
	steering.registry_restored_ms =
		steering_ms - STEERING_LAPSE_GRACE_MS - 1;
}

static void take_domain_out(uint64_t id)
{
	ASSERT_OK(cm_steer_set_domain_out(&steering, steering_ms,
					  find_server(id)->entry.domain, true));
}

static void report_silent(uint64_t id)
{
	cm_server_health_reported(&find_server(id)->health, steering_ms);
}

static void leave_syn_unanswered(uint64_t id)
{
	cm_server_health_syn_unanswered(&find_server(id)->health, steering_ms);
}

static void start_cold(uint64_t id)
{
	struct cm_steer_server *server = find_server(id);

	server->cold_until_ms = steering_ms + COLD_LEFT_MS;
	server->cold_refilled_ms = steering_ms + 100;
	server->cold_tokens = 0;
}

/* What is done to a server, and the evidence 100 ms later. */
static const struct {
	uint64_t id;
	void (*act)(uint64_t id);
	enum cm_exclusion exclusion;
	bool has_age;
} exclusions[] = {
	{ 1, drain, CM_EXCLUDED_DRAINING, true },
	{ 1, leave, CM_EXCLUDED_LEFT, true },
	{ 1, lapse, CM_EXCLUDED_LAPSED, true },
	{ 101, take_domain_out, CM_EXCLUDED_DOMAIN_OUT, true },
	{ 1, report_silent, CM_EXCLUDED_REPORTED, true },
	{ 1, leave_syn_unanswered, CM_EXCLUDED_SUSPECTED, true },
	{ 1, start_cold, CM_EXCLUDED_COLD, false },
};

TEST_TABLE(excluded_server_is_listed_with_its_evidence, exclusions)
{
	const struct cm_explained_server *row;

	steering_make_ready(3);
	steering_set_plan(2, COLD_PER_S);
	exclusions[_i].act(exclusions[_i].id);
	steering_ms += 100;
	explain(0);
	ck_assert_ptr_null(find_candidate(exclusions[_i].id));
	row = find_excluded(exclusions[_i].id);
	ck_assert_ptr_nonnull(row);
	ck_assert_int_eq(row->exclusion, exclusions[_i].exclusion);
	ck_assert_int_eq(row->has_age, exclusions[_i].has_age);
	ck_assert_uint_eq(row->age_ms, exclusions[_i].has_age ? 100 : 0);
}

/* Two silent servers make their failure domain suspect. */
TEST(servers_of_a_suspect_domain_are_excluded)
{
	steering_make_ready(3);
	for (uint64_t id = 1; id <= 2; id++) {
		leave_syn_unanswered(id);
		cm_steer_servers_add_suspect(&steering.servers,
					     find_server(id));
	}
	steering_ms += 100;
	explain(0);
	ck_assert_int_eq(find_excluded(3)->exclusion,
			 CM_EXCLUDED_DOMAIN_SUSPECT);
	ck_assert_uint_eq(find_excluded(3)->age_ms, 100);
	ck_assert_uint_eq(explanation.services[0].verdict.server_id / 100, 1);
}

/* Without a plan, a server or fresh data, an explanation must state the action
 * and reason that a packet would get. */
TEST(refusals_are_explained)
{
	const struct cm_explained_service *service;

	ASSERT_OK(cm_steer_explain(&steering, steering_ms, &steering_route, 0,
				   &explanation));
	ck_assert_uint_eq(explanation.service_count, 0);
	ck_assert_int_eq(explanation.verdict.action, CM_STEER_RESET);
	ck_assert_int_eq(explanation.verdict.reason, CM_C_STEER_NO_PLAN);
	steering_set_plan(1, 0);
	cm_steer_registry_answered(&steering, steering_ms);
	service = explain(0);
	ck_assert_int_eq(service->verdict.action, CM_STEER_RESET);
	ck_assert_int_eq(service->verdict.reason, CM_C_STEER_NO_SERVER);
	steering_ms += STEERING_REGISTRY_FRESH_MS + 1;
	service = explain(0);
	ck_assert_int_eq(service->verdict.action, CM_STEER_HOLD);
	ck_assert_int_eq(service->verdict.reason, CM_C_STEER_HELD_STALE);
}

/* The second SYN of a flow is left to its last repetition while all servers are
 * full and the objective can't be met. */
TEST(deferral_is_explained)
{
	const struct cm_explained_service *service;
	struct cm_steer_verdict first;

	steering_set_plan_with_objective(1, 100);
	steering_add_server(1, "a");
	steering_add_server(2, "a");
	cm_steer_registry_answered(&steering, steering_ms);
	first = steering_send_syn(1, 0);
	for (uint16_t port = 2; port <= 60; port++)
		steering_send_packet(port, steering_send_syn(port, 0).token,
				     CM_STEER_ACK);
	service = explain(first.token);
	ck_assert_int_eq(service->verdict.action, CM_STEER_DROP);
	ck_assert_int_eq(service->verdict.reason, CM_C_STEER_DEFERRED);
	ck_assert(service->candidates[0].is_full);
}

/* A mistyped route or token must not yield an explanation of something else. */
TEST(unknown_route_and_unknown_token_are_errors)
{
	const struct cm_endpoint other = { 0xc6120009, 443, 6 };

	steering_make_ready(1);
	ck_assert_int_eq(cm_steer_explain(&steering, steering_ms, &other, 0,
					  &explanation),
			 CM_E_UNKNOWN_ROUTE);
	ck_assert_int_eq(cm_steer_explain(&steering, steering_ms,
					  &steering_route, 0x12345678,
					  &explanation),
			 CM_E_UNKNOWN_SERVER);
}

/* Runs flows at @servers servers of each failure domain, some of them in their
 * cold start, and stores the id of the server of each. */
static void run_flows(uint32_t servers, bool with_explanations, uint64_t *ids)
{
	steering_make_ready(servers);
	steering_set_plan(2, COLD_PER_S);
	for (uint64_t id = 1; id <= servers; id += 2)
		find_server(id)->cold_until_ms = steering_ms + COLD_LEFT_MS;
	for (uint32_t i = 0; i < FLOWS; i++) {
		struct cm_steer_verdict verdict;

		if (with_explanations && i % 3)
			explain(i % 2 ? find_server(1)->token : 0);
		verdict = steering_send_syn((uint16_t)(i % 100 + 1), 0);
		ids[i] = verdict.server_id;
		if (i % 5)
			steering_send_packet((uint16_t)(i % 100 + 1),
					     verdict.token, CM_STEER_ACK);
		if (i % 4)
			steering_advance(15);
		else
			steering_ms += 3;
	}
}

/* Numbers of servers of each failure domain; above 64 servers, the sums of a
 * service are reused for some time. */
static const uint32_t server_counts[] = { 1, 5, 60 };

/* Guards against an explanation that changes the order of choices: instances
 * with and without explanations between their flows must choose the same. */
TEST_TABLE(explanations_change_no_choice, server_counts)
{
	static uint64_t without[FLOWS], with[FLOWS];

	run_flows(server_counts[_i], false, without);
	steering_teardown();
	steering_setup();
	run_flows(server_counts[_i], true, with);
	ck_assert_mem_eq(without, with, sizeof(with));
}

/* Copies all servers, in the order in which they were added. */
static struct cm_steer_server *copy_servers(void)
{
	struct cm_steer_server *copies =
		calloc(steering.servers.count, sizeof(*copies));
	const struct cm_steer_server *server;
	uint32_t count = 0;

	TAILQ_FOREACH (server, &steering.servers.all, link)
		copies[count++] = *server;
	return copies;
}

/* Guards against an explanation that changes the state of a server, of the sums
 * or of the instance. */
TEST(explanation_changes_no_state)
{
	struct cm_steer_server *before, *after;
	struct cm_server_pool *pool, pool_before;
	struct cm_steer_domains domains;
	uint64_t examined;

	steering_make_ready(10);
	steering_set_plan(2, COLD_PER_S);
	pool = find_server(1)->pool;
	find_server(1)->cold_until_ms = steering_ms + COLD_LEFT_MS;
	steering_ms += 500;
	before = copy_servers();
	pool_before = *pool;
	domains = steering.peers.domains;
	examined = steering.servers_examined;
	explain(0);
	after = copy_servers();
	ck_assert_mem_eq(before, after,
			 steering.servers.count * sizeof(*after));
	ck_assert_mem_eq(&pool_before, pool, sizeof(pool_before));
	ck_assert_mem_eq(&domains, &steering.peers.domains, sizeof(domains));
	ck_assert_uint_eq(steering.servers_examined, examined);
	free(before);
	free(after);
}

/* The explained server is the one that the next flow gets, and a candidate. */
TEST(explained_server_gets_the_next_flow)
{
	steering_make_ready(7);
	for (uint16_t port = 1; port <= FLOWS; port++) {
		uint64_t id = explain(0)->verdict.server_id;
		struct cm_steer_verdict verdict = steering_send_syn(port, 0);

		ck_assert_ptr_nonnull(find_candidate(id));
		ck_assert_uint_eq(verdict.server_id, id);
		steering_send_packet(port, verdict.token, CM_STEER_ACK);
		steering_advance(10);
	}
}

/* More servers than rows: the cheapest are listed, and all are counted. */
TEST(rows_are_bounded_and_counts_are_not)
{
	const struct cm_explained_service *service;

	steering_make_ready(70);
	service = explain(0);
	ck_assert_uint_eq(service->candidate_count, 140);
	for (uint32_t i = 0; i < CM_EXPLAIN_ROWS_MAX; i++)
		ck_assert_uint_eq(service->candidates[i].cost.total, 1000);
}

/* Query of the page, its HTTP status and the first word of its text. */
static const struct {
	const char *query;
	unsigned int status;
	const char *text;
} queries[] = {
	{ "route=198.18.0.1:443", 200, "route=198.18.0.1:443 " },
	{ "avoid=0&route=198.18.0.1:443", 400, "bad-token\n" },
	{ "route=198.18.0.1:443&avoid=12345678", 404,
	  "unknown-backend-server\n" },
	{ "route=198.18.0.9:443", 404, "unknown-route\n" },
	{ "route=198.18.0.1:0", 400, "bad-address\n" },
	{ "route=", 400, "bad-address\n" },
	{ "avoid=1", 400, "missing-key\n" },
	{ "", 400, "missing-key\n" },
	{ "&", 400, "unknown-key\n" },
	{ "route=198.18.0.1:443#x", 400, "bad-address\n" },
};

TEST_TABLE(page_answers_each_query_with_its_status, queries)
{
	unsigned int status = 200;
	char *text;

	steering_make_ready(1);
	text = cm_explain_page_render(&steering, queries[_i].query, &status);
	ck_assert_uint_eq(status, queries[_i].status);
	ck_assert_msg(
		!strncmp(text, queries[_i].text, strlen(queries[_i].text)),
		"%s", text);
	free(text);
}
