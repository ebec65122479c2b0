#include "unit/suites.h"

#include <string.h>

#include "unit/steps.h"

#define STEPS_MAX 6
#define STEP_MS 2
#define TICK_MS 100
/* Idle timeout of the services, ms. */
#define IDLE_MS 60000

static struct steps flow;

static void setup(void)
{
	steps_init(&flow);
}

static void teardown(void)
{
	steps_finish(&flow);
}

/**
 * struct fault - segments that arrive late, twice or out of order
 * @name: shown if the test fails
 * @steps: the segments and their expected outcomes
 */
struct fault {
	const char *name;
	struct step steps[STEPS_MAX];
};

static const struct fault faults[] = {
	{ "second connection of a repeated SYN, at its home",
	  { SYN, ANSWER(0, SECOND_ISN, TO_CALLER), RESET(0, FIRST_ISN, DROPPED),
	    ACK(FIRST_ISN, TO_FIRST), RESET(0, FIRST_ISN, TO_SECOND) } },
	{ "second connection of a repeated SYN, at its directory",
	  { ANSWER(1, SECOND_ISN, RELAYED),
	    RESET(1, FIRST_ISN, RELAYED_UNCONFIRMED), ACK(FIRST_ISN, TO_FIRST),
	    RESET(0, FIRST_ISN, TO_SECOND) } },
	{ "second connection whose SYN-ACK has not arrived yet",
	  { SYN, RESET(0, FIRST_ISN, DROPPED),
	    ANSWER(0, SECOND_ISN, TO_CALLER) } },
	{ "refused SYN",
	  { SYN,
	    { 0, CM_TCP_RST | CM_TCP_ACK, 0, SYN_SEQ + 1, RELAYED, 0, 0 } } },
	{ "late SYN while the flow is probed",
	  { ACK(FIRST_ISN, TO_FIRST), LATE_SYN(0, DROPPED),
	    LATE_SYN(CM_RELAY_ADMIT, DROPPED),
	    LATE_SYN(CM_RELAY_BOUND, DROPPED),
	    RESET(0, FIRST_ISN, TO_SECOND) } },
	{ "next connection while an old one is probed",
	  { ACK(FIRST_ISN, TO_FIRST), NEXT_SYN(TO_FIRST) } },
	{ "admission relay after a server has answered the SYN",
	  { ANSWER(0, FIRST_ISN, TO_CALLER),
	    LATE_SYN(CM_RELAY_ADMIT, TO_FIRST) } },
	{ "admission relay for the next connection",
	  { ANSWER(0, FIRST_ISN, TO_CALLER),
	    { CALLER, CM_TCP_SYN, NEXT_SYN_SEQ, 0, TO_OTHER, CM_RELAY_ADMIT,
	      2 } } },
	{ "answer to the probe of another instance, at the directory",
	  { RESET(1, FIRST_ISN, RELAYED) } },
	{ "answer to the probe of another instance, flow bound to another server",
	  { ANSWER(1, FIRST_ISN, RELAYED), RESET(3, FIRST_ISN, RELAYED) } },
	{ "answer to the probe of another instance, directory holds the flow",
	  { SYN, ANSWER(0, FIRST_ISN, TO_CALLER),
	    RESET(1, FIRST_ISN, RELAYED) } },
	{ "answer to a probe of which the directory has no record",
	  { BOUND(2, FIRST_ISN, TO_OTHER),
	    RESET_AT(RETURN_UNBOUND, 2, FIRST_ISN, TO_FIRST) } },
	{ "RST without a binding at the directory, of a server that answered",
	  { SYN, ANSWER(0, FIRST_ISN, TO_CALLER),
	    RESET_AT(RETURN_UNBOUND, 0, FIRST_ISN, DROPPED) } },
	{ "RST of the server that holds the flow",
	  { SYN, ANSWER(0, SECOND_ISN, TO_CALLER),
	    RESET(0, SECOND_ISN, TO_CALLER) } },
	{ "RST of the server that holds the flow, at its directory",
	  { ANSWER(1, SECOND_ISN, RELAYED), RESET(1, SECOND_ISN, RELAYED) } },
};

UNIT_CASE("flow_faults", "faults", setup, teardown, UNIT_TIMEOUT_S);

/*
 * An RST that answers a probe, or that belongs to a second connection opened by
 * a repeated SYN, must not reach the caller: it would end the caller's
 * connection, which the RST does not concern.
 */
TEST_TABLE(false_reset_does_not_reach_the_caller, faults)
{
	const struct fault *fault = &faults[_i];

	for (int i = 0; i < STEPS_MAX && fault->steps[i].flags; i++) {
		const struct step *step = &fault->steps[i];

		ck_assert_msg(steps_input(&flow, 10 + STEP_MS * i, step) ==
				      step->outcome,
			      "%s: step %d", fault->name, i);
	}
}

/* The other instance is dead, so its servers have no home. */
static void kill_other(struct cm_member *members)
{
	members[1].state = CM_MEMBER_DEAD;
}

/*
 * No server has a home: the other instance is dead, and the node is now in a
 * failure domain without servers.
 */
static void remove_all_homes(struct cm_member *members)
{
	members[0].domain[0]++;
	members[1].state = CM_MEMBER_DEAD;
}

/* The node is leaving, and the other instance becomes home of its servers. */
static void leave(struct cm_member *members)
{
	members[0].state = CM_MEMBER_LEAVING;
	memcpy(members[1].domain, members[0].domain, CM_NAME_SIZE);
}

/**
 * struct change - a change of the members during a connection
 * @name: shown if the test fails
 * @apply: makes the change
 * @before: segment before the change
 * @after: segment after the change
 */
struct change {
	const char *name;
	void (*apply)(struct cm_member *members);
	struct step before;
	struct step after;
};

static const struct change changes[] = {
	{ "repeated SYN for a server without a home", kill_other,
	  ANSWER(1, FIRST_ISN, RELAYED), LATE_SYN(0, DROPPED) },
	{ "new connection goes to another server", kill_other,
	  ANSWER(1, FIRST_ISN, RELAYED), NEXT_SYN(TO_FIRST) },
	{ "RST before the SYN-ACK, no directory", remove_all_homes, SYN,
	  RESET(0, FIRST_ISN, DROPPED) },
	{ "RSTs of an unknown flow, no directory", remove_all_homes,
	  RESET(0, FIRST_ISN, DROPPED), RESET(1, FIRST_ISN, DROPPED) },
	{ "SYN-ACK without a directory", remove_all_homes, SYN,
	  ANSWER(0, FIRST_ISN, TO_CALLER) },
	{ "SYN-ACK of another server than the one that got the SYN", leave, SYN,
	  LATE_ANSWER(2, RELAYED) },
};

TEST_TABLE(change_of_members_breaks_no_connection, changes)
{
	const struct change *change = &changes[_i];

	ck_assert_msg(steps_input(&flow, 10, &change->before) ==
			      change->before.outcome,
		      "%s: before", change->name);
	steps_set_members(&flow, change->apply);
	cm_node_tick(&flow.one.node, 20, &flow.one.actions);
	ck_assert_msg(steps_input(&flow, 30, &change->after) ==
			      change->after.outcome,
		      "%s: after", change->name);
}

/* Publishes a note that takes the first candidate's failure domain out. */
static void take_first_out(uint64_t now_ms)
{
	const struct cm_catalog *catalog = &flow.one.node.view.catalog;
	uint32_t domain = catalog->servers[flow.candidates.servers[0]].domain;
	struct cm_note note;

	cm_note_init(&note);
	ck_assert_int_eq(cm_note_reserve(&note, 1, 0, 0), 0);
	note.version = cm_node_version(&flow.one.node) + 1;
	note.published_at_s = 1;
	note.domains->change = CM_CHANGE_UPDATE;
	note.domains->spec = catalog->domains[domain].spec;
	note.domains->spec.state = CM_DOMAIN_OUT;
	ck_assert_int_eq(cm_node_apply_note(&flow.one.node, now_ms, &note), 0);
	cm_note_finish(&note);
}

/**
 * struct out_case - a flow whose server's failure domain is taken out
 * @name: state of the flow at the node
 * @out_ms: time at which the domain is taken out, ms
 * @steps: two segments before @out_ms, and one after
 * @resets: number of RSTs that the sweep sends to the caller
 */
struct out_case {
	const char *name;
	uint64_t out_ms;
	struct step steps[3];
	uint32_t resets;
};

static const struct out_case out_cases[] = {
	{ "its server has answered",
	  400,
	  { SYN, ANSWER(0, FIRST_ISN, TO_CALLER),
	    LOOKUP(FIRST_ISN, TO_CALLER) },
	  1 },
	{ "server inferred from the caller's second ACK",
	  400,
	  { ACK(FIRST_ISN, TO_FIRST), ACK(FIRST_ISN + 1200, TO_FIRST),
	    LOOKUP(FIRST_ISN + 1200, RELAYED) },
	  0 },
	{ "server inferred more than CM_UNCONFIRMED_MS before",
	  6000,
	  { ACK(FIRST_ISN, TO_FIRST), ACK(FIRST_ISN + 1200, TO_FIRST),
	    LOOKUP(FIRST_ISN + 1200, RELAYED) },
	  1 },
	{ "its server has not answered",
	  400,
	  { SYN, LATE_SYN(0, TO_FIRST), LOOKUP(FIRST_ISN, RELAYED) },
	  0 },
	{ "caller has sent an ACK, but no SYN-ACK was seen",
	  400,
	  { SYN, ACK(FIRST_ISN, TO_FIRST), LOOKUP(FIRST_ISN, RELAYED) },
	  0 },
};

/*
 * The caller must be reset only if its connection is confirmed to be open at a
 * server of the domain. Until the node sees an answer of the server, the
 * connection may be open at another one. The segment after the note arrives
 * before the sweep (even _i) or after it (odd _i).
 */
TEST_LOOP(flow_of_unconfirmed_server_is_not_reset, 0,
	  2 * sizeof(out_cases) / sizeof(*out_cases))
{
	const struct out_case *out = &out_cases[_i / 2];
	bool is_after_sweep = _i % 2;

	for (int i = 0; i < 2; i++)
		ck_assert_int_eq(steps_input(&flow, 300 * i, &out->steps[i]),
				 out->steps[i].outcome);
	take_first_out(out->out_ms);
	if (is_after_sweep) {
		cm_actions_clear(&flow.one.actions);
		cm_node_tick(&flow.one.node, out->out_ms, &flow.one.actions);
		ck_assert_msg(flow.one.actions.count == out->resets, "%s",
			      out->name);
	}
	ck_assert_msg(steps_input(&flow, out->out_ms + 10, &out->steps[2]) ==
			      out->steps[2].outcome,
		      "%s", out->name);
}

/* Ticks the node every TICK_MS; returns the number of RSTs to servers. */
static uint32_t count_cancelled(uint64_t from_ms, uint64_t to_ms)
{
	uint32_t cancelled = 0;

	for (uint64_t now_ms = from_ms; now_ms <= to_ms; now_ms += TICK_MS) {
		cm_actions_clear(&flow.one.actions);
		cm_node_tick(&flow.one.node, now_ms, &flow.one.actions);
		for (size_t i = 0; i < flow.one.actions.count; i++)
			cancelled +=
				steps_is_cancel(&flow.one.actions.items[i]);
	}
	return cancelled;
}

/**
 * struct idle_case - an instance that sees no more packets of a flow it holds
 * @name: state of the instance after the handshake
 * @unauthorized_ms: time for which it may not admit flows, ms
 * @pause_ms: time for which it does not run, ms
 * @steps: number of segments of the handshake that it sees
 * @cancelled: number of RSTs that it sends to the server at the idle timeout
 */
struct idle_case {
	const char *name;
	uint64_t unauthorized_ms;
	uint64_t pause_ms;
	int steps;
	uint32_t cancelled;
};

static const struct idle_case idle_cases[] = {
	{ "running all the time", 0, 0, 3, 1 },
	{ "paused for less than a lease", 0, 500, 3, 1 },
	{ "without authority for a while", 300, 0, 3, 0 },
	{ "paused for longer than a lease", 0, 5000, 3, 0 },
	{ "paused until the flow was idle", 0, 70000, 3, 0 },
	{ "SYN-ACK not seen", 0, 0, 1, 0 },
};

/*
 * At the idle timeout the home sends an RST to the flow's server. It must not
 * do so if another instance may have become home in the meantime, or if it has
 * not seen the SYN-ACK, because other instances may then serve the connection.
 */
TEST_TABLE(idle_flow_is_cancelled_by_its_home_only, idle_cases)
{
	static const struct step steps[] = { SYN,
					     ANSWER(0, FIRST_ISN, TO_CALLER),
					     ACK(FIRST_ISN, TO_FIRST) };
	const struct idle_case *idle = &idle_cases[_i];
	uint64_t end_ms = 100 + 2 * IDLE_MS + idle->pause_ms;
	uint32_t cancelled;

	count_cancelled(0, 100);
	for (int i = 0; i < idle->steps; i++)
		ck_assert_int_eq(steps_input(&flow, 110, &steps[i]),
				 steps[i].outcome);
	cancelled = count_cancelled(200, 400);
	if (idle->unauthorized_ms)
		cm_node_set_deadlines(&flow.one.node, 500, UINT64_MAX);
	cancelled += count_cancelled(500, 500 + idle->unauthorized_ms);
	cm_node_set_deadlines(&flow.one.node, UINT64_MAX, UINT64_MAX);
	cancelled += count_cancelled(
		600 + idle->unauthorized_ms + idle->pause_ms, end_ms);
	ck_assert_msg(cancelled == idle->cancelled, "%s: %u", idle->name,
		      cancelled);
	ck_assert_uint_eq(
		cm_counters_get(&flow.one.node.counters, CM_C_FLOWS_IDLE), 1);
}
