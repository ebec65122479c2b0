#include "unit/suites.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "fake/event_queue.h"
#include "fake/world.h"
#include "unit/one_node.h"

/* Start of the run, ms; the node gets the release note with the servers at 0.
 */
#define START_MS 100
#define RUN_MS 8000
/* Maximum time after the run until all requests have ended, ms. */
#define GRACE_MS 16000
#define STEP_MS 2
#define TICK_MS 100
#define REPORT_MS 500
#define CALLERS 24
#define LONG_PERCENT 2
/* New connections in 1 s that a server in a cold start can take during COLD_MS:
 * two thirds of its rate. */
#define COLD_LIMIT_PER_S 40
/* Half of the configured cold start, ms. */
#define COLD_MS 1500
/* New connections in 1 s that a server can take when it becomes cold during the
 * run without announcement: its cap, a tenth of its rate, and a burst. */
#define LATE_COLD_LIMIT_PER_S (12 + 6 + 6)
#define COLD_ANSWER_DELAY_MS 300
#define LATE_BEGIN_MS 4500

static const struct fake_deployment deployment = {
	.domains = 1,
	.instances = 1,
	.ledger_servers = 4,
	.servers = 6,
};

/**
 * struct run - callers and backend servers, with one node between them
 * @world: the callers and backend servers
 * @one: the node
 * @queue: packets in transit to the node
 */
struct run {
	struct fake_world world;
	struct one_node one;
	struct fake_event_queue queue;
};

/**
 * struct queued_packet - a packet in transit to the node
 * @due: time of arrival, in ms of the world; must stay the first member
 * @length: size of @bytes, in bytes
 * @bytes: the packet
 */
struct queued_packet {
	struct fake_event due;
	size_t length;
	uint8_t bytes[];
};

static struct run run;

static void to_instance(void *user, uint32_t instance, const uint8_t *bytes,
			size_t length)
{
	struct queued_packet *queued = calloc(1, sizeof(*queued) + length);

	(void)user;
	(void)instance;
	if (!queued)
		abort();
	queued->length = length;
	memcpy(queued->bytes, bytes, length);
	fake_event_queue_add(&run.queue, &queued->due, run.world.now_ms);
}

static void setup(void)
{
	memset(&run, 0, sizeof(run));
	one_node_init(&run.one, &deployment, 0);
	fake_world_init(&run.world, &run.one.node.view.catalog, 1, CALLERS, 1,
			START_MS);
	run.world.to_instance = to_instance;
	run.world.long_answer_percent = LONG_PERCENT;
}

static void teardown(void)
{
	fake_event_queue_finish(&run.queue);
	fake_world_finish(&run.world);
	one_node_finish(&run.one);
}

static void apply_actions(const struct cm_packet *given)
{
	for (size_t i = 0; i < run.one.actions.count; i++) {
		struct cm_action *action = &run.one.actions.items[i];
		uint8_t *bytes = action->built.bytes;
		size_t length = action->built.length;

		/* This runs often, and ck_assert() is slow even when it holds.
		 */
		if (action->kind != CM_ACTION_TO_SERVER &&
		    action->kind != CM_ACTION_TO_CALLER)
			ck_abort_msg("action of kind %d", action->kind);
		if (!length) {
			if (!given)
				ck_abort_msg("action without a packet");
			bytes = given->bytes;
			length = given->length;
		}
		fake_world_receive_from_instance(&run.world, bytes, length);
	}
	cm_actions_clear(&run.one.actions);
}

static void deliver(void)
{
	struct queued_packet *queued;
	struct cm_packet packet;

	while ((queued = (struct queued_packet *)fake_event_queue_take(
			&run.queue, run.world.now_ms))) {
		if (cm_packet_parse(&packet, queued->bytes, queued->length))
			ck_abort_msg("malformed packet");
		cm_node_packet(&run.one.node, run.world.now_ms, &packet, NULL,
			       &run.one.actions);
		apply_actions(&packet);
		free(queued);
	}
}

static void report_all(void)
{
	for (uint32_t i = 0; i < run.world.host_count; i++) {
		struct fake_host *host = &run.world.hosts[i];
		struct cm_server_report report = {
			.server = host->address,
			.made_ms = run.world.now_ms,
		};

		if (fake_host_report(host, &report.percent))
			ck_assert_int_eq(
				cm_node_apply_server_report(&run.one.node,
							    run.world.now_ms,
							    &report),
				host->misreport == FAKE_MISREPORT_MISTYPED ?
					CM_E_OUT_OF_RANGE :
					CM_OK);
	}
}

static void advance(uint64_t ms)
{
	uint64_t end_ms = run.world.now_ms + ms;

	while (run.world.now_ms < end_ms &&
	       !(run.world.is_stopping && fake_world_is_idle(&run.world))) {
		if (run.world.now_ms % REPORT_MS == 0)
			report_all();
		if (run.world.now_ms % TICK_MS == 0) {
			cm_node_tick(&run.one.node, run.world.now_ms,
				     &run.one.actions);
			apply_actions(NULL);
		}
		fake_world_tick(&run.world, run.world.now_ms + STEP_MS);
		deliver();
	}
}

static void steady(struct fake_host *host)
{
	(void)host;
}

static void starts_cold(struct fake_host *host)
{
	host->cold_max_new_per_s = COLD_LIMIT_PER_S;
	fake_host_begin_cold_start(host, COLD_MS);
}

static void becomes_cold(struct fake_host *host)
{
	advance(LATE_BEGIN_MS);
	host->cold_max_new_per_s = LATE_COLD_LIMIT_PER_S;
	host->cold_answer_ms = COLD_ANSWER_DELAY_MS;
	fake_host_begin_cold_start(host, COLD_MS);
}

static void resets_all(struct fake_host *host)
{
	host->resets_all_syns = true;
}

static void resets_all_later(struct fake_host *host)
{
	advance(LATE_BEGIN_MS);
	host->resets_all_syns = true;
}

static void resets_when_two_are_open(struct fake_host *host)
{
	host->shed_threshold = 2;
}

/**
 * struct server_case - behaviour of a backend server
 * @begin: starts the behaviour; some cases run the world for a while first
 * @resets: the server resets new connections
 */
struct server_case {
	void (*begin)(struct fake_host *host);
	bool resets;
};

static const struct server_case server_cases[] = {
	{ steady, false },	    { starts_cold, false },
	{ becomes_cold, false },    { resets_all, true },
	{ resets_all_later, true }, { resets_when_two_are_open, true },
};

#define SERVER_CASES ((int)(sizeof(server_cases) / sizeof(*server_cases)))

UNIT_CASE("server_load", "world", setup, teardown, 120);

/* A backend server starts cold, becomes cold without announcement or resets new
 * connections, while its reports are right, wrong, late, invalid or missing. No
 * request may fail except with "not-run=1", and the node must not overload the
 * server. */
TEST_LOOP(server_keeps_its_connections, 0, FAKE_MISREPORT_COUNT *SERVER_CASES)
{
	const struct server_case *server_case =
		&server_cases[_i % SERVER_CASES];
	const struct fake_totals *totals = &run.world.totals;
	struct fake_host *host = &run.world.hosts[0];

	host->misreport = (enum fake_misreport)(_i / SERVER_CASES);
	server_case->begin(host);
	advance(START_MS + RUN_MS - run.world.now_ms);
	run.world.is_stopping = true;
	advance(GRACE_MS);
	fake_world_count_executions(&run.world);
	ck_assert_uint_gt(totals->answered, 0);
	ck_assert_uint_eq(totals->answered + totals->refused_not_run,
			  totals->requests);
	ck_assert_uint_eq(totals->broken, 0);
	ck_assert_uint_eq(totals->false_not_run, 0);
	ck_assert_uint_eq(totals->executed_twice, 0);
	ck_assert_uint_eq(totals->collapses, 0);
	/* A server that always reports 1 % of its capacity may get too few
	 * connections to reset any. */
	if (!server_case->resets || host->misreport != FAKE_MISREPORT_LOW)
		ck_assert_int_eq(host->reset_syns > 0, server_case->resets);
}
