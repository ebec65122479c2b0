#include "unit/suites.h"

#include <netinet/in.h>

#include "chervilmast/error.h"
#include "unit/one_node.h"

#define START_MS 10000000
#define RUN_MS 30000
#define STEP_MS 5
#define REPORT_MS 1000
#define FIRST_PORT 1024
#define SERVER_ISN 500
#define HOUR_MS 3600000

static const struct fake_deployment deployment = {
	.domains = 1,
	.instances = 1,
	.ledger_servers = 1,
	.servers = 1,
};

/**
 * struct subject - a node and the connections that its backend server got
 * @one: the node
 * @accepted: new connections so far
 * @accepted_last_s: new connections in the last second of the run
 */
struct subject {
	struct one_node one;
	uint64_t accepted;
	uint64_t accepted_last_s;
};

/* Sends a SYN of a new caller; if the node forwards it, the server answers at
 * once and the caller resets the connection. */
static void offer_connection(struct subject *subject, uint64_t now_ms,
			     uint32_t number)
{
	struct one_node_segment syn = {
		.from = { 0xc6336401, (uint16_t)(FIRST_PORT + number),
			  IPPROTO_TCP },
		.to = fake_deployment_service(0),
		.flags = CM_TCP_SYN,
		.seq = number,
	};
	struct one_node_segment answer = {
		.to = syn.from,
		.flags = CM_TCP_SYN | CM_TCP_ACK,
		.seq = SERVER_ISN,
		.ack = number + 1,
	};
	struct one_node_segment reset = syn;
	const struct cm_action *action =
		one_node_input(&subject->one, now_ms, &syn, NULL);

	if (!action || action->kind != CM_ACTION_TO_SERVER)
		return;
	subject->accepted++;
	if (now_ms >= START_MS + RUN_MS - REPORT_MS)
		subject->accepted_last_s++;
	answer.from = action->server;
	one_node_input(&subject->one, now_ms, &answer, NULL);
	reset.flags = CM_TCP_RST;
	reset.seq = number + 1;
	one_node_input(&subject->one, now_ms, &reset, NULL);
}

/**
 * struct report_case - reports of a server and their expected effect
 * @percent: share of its rate that the server can take, as given in each of the
 *           two reports of a second, %
 * @age_ms: age of each report when it arrives; negative for a time in
 *          the future
 * @until_ms: time from which the server sends no reports
 * @error: expected result of the second of these two reports
 * @share_percent: share of its rate that the server must get in the last
 *                 second, %
 */
struct report_case {
	uint32_t percent[2];
	int64_t age_ms[2];
	uint64_t until_ms;
	int error;
	uint32_t share_percent;
};

static const struct report_case report_cases[] = {
	/* The server reports its whole rate, nothing of it, and a tenth. */
	{ { 100, 100 }, { 0, 0 }, RUN_MS, CM_OK, 100 },
	{ { 0, 0 }, { 0, 0 }, RUN_MS, CM_OK, 0 },
	{ { 10, 10 }, { 0, 0 }, RUN_MS, CM_OK, 10 },
	/* An older report after a newer one; reports that had expired when they
	 * arrived; reports that expire 0.5 s after they arrive and so apply
	 * half of the time. */
	{ { 10, 100 }, { 100, 600 }, RUN_MS, CM_E_STALE, 10 },
	{ { 10, 10 }, { HOUR_MS, HOUR_MS }, RUN_MS, CM_E_STALE, 100 },
	{ { 10, 10 }, { 9500, 9500 }, RUN_MS, CM_OK, 55 },
	/* A report from the future, due to a wrong clock, expires no later than
	 * one made when it arrives. */
	{ { 100, 10 }, { -HOUR_MS, 0 }, RUN_MS, CM_OK, 10 },
	{ { 10, 10 }, { -HOUR_MS, 0 }, 10000, CM_OK, 100 },
	/* Reports stop. */
	{ { 10, 10 }, { 0, 0 }, 10000, CM_OK, 100 },
	{ { 10, 10 }, { 0, 0 }, RUN_MS - 5000, CM_OK, 10 },
	/* Shares above 100 %, such as -1 as an unsigned number and a share in
	 * thousandths. */
	{ { UINT32_MAX, 101 }, { 0, 0 }, RUN_MS, CM_E_OUT_OF_RANGE, 100 },
	{ { 10, 1000 }, { 0, 0 }, RUN_MS, CM_E_OUT_OF_RANGE, 10 },
};

static int apply_reports(struct subject *subject, uint64_t now_ms,
			 const struct report_case *report_case)
{
	struct cm_server_spec spec;
	int error = CM_OK;

	fake_deployment_server(&deployment, 0, &spec);
	for (int i = 0; i < 2; i++) {
		struct cm_server_report report = {
			.server = spec.address,
			.percent = report_case->percent[i],
			.made_ms = now_ms - (uint64_t)report_case->age_ms[i],
		};

		error = cm_node_apply_server_report(&subject->one.node, now_ms,
						    &report);
	}
	return error;
}

UNIT_CASE("server_report", "node", NULL, NULL, 60);

/*
 * Reports may only lower the share that a server gets. Two nodes get the same
 * SYNs, and one of them also gets reports. At no time may that node have
 * forwarded more connections than the other.
 */
TEST_TABLE(report_never_raises_the_share, report_cases)
{
	const struct report_case *report_case = &report_cases[_i];
	struct subject with_reports = { .accepted = 0 };
	struct subject without_reports = { .accepted = 0 };
	struct cm_server_spec spec;

	fake_deployment_server(&deployment, 0, &spec);
	one_node_init(&with_reports.one, &deployment, 0);
	one_node_init(&without_reports.one, &deployment, 0);
	for (uint32_t ms = 0; ms < RUN_MS; ms += STEP_MS) {
		if (ms % REPORT_MS == 0 && ms < report_case->until_ms)
			ck_assert_int_eq(apply_reports(&with_reports,
						       START_MS + ms,
						       report_case),
					 report_case->error);
		offer_connection(&with_reports, START_MS + ms, ms / STEP_MS);
		offer_connection(&without_reports, START_MS + ms, ms / STEP_MS);
		ck_assert_uint_le(with_reports.accepted,
				  without_reports.accepted);
	}
	ck_assert_uint_ge(without_reports.accepted_last_s, spec.max_new_per_s);
	ck_assert_uint_le(
		with_reports.accepted_last_s,
		spec.max_new_per_s * report_case->share_percent / 100 + 1);
	ck_assert_uint_ge(with_reports.accepted_last_s + 1,
			  spec.max_new_per_s * report_case->share_percent /
				  100);
	one_node_finish(&with_reports.one);
	one_node_finish(&without_reports.one);
}

TEST(report_of_unknown_server_is_refused)
{
	struct cm_server_report report = { .percent = 50, .made_ms = START_MS };
	struct one_node one;

	one_node_init(&one, &deployment, 0);
	ck_assert_int_eq(
		cm_node_apply_server_report(&one.node, START_MS, &report),
		CM_E_UNKNOWN_SERVER);
	one_node_finish(&one);
}
