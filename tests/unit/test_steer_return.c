#include "unit/suites.h"

#include <string.h>

#include "unit/steering.h"

/*
 * Callers retry after an outage of the only node. Each caller makes up to three
 * attempts of 1.4 s and in each attempt sends SYNs at 0, 200 and 600 ms. It
 * waits BACKOFF_MS between attempts and gives up at its deadline, DEADLINE_MS
 * after it started. A server works on one request per slot, queues QUEUE_MAX
 * more and refuses the others.
 */
#define STEP_MS 5
#define CALLERS_MAX 700
#define CALLER_INTERVAL_MS 15
#define OUTAGE_BEGIN_MS 1000
#define OUTAGE_END_MS 2400
#define LAST_CALLER_MS 4000
#define END_MS 9000
#define OBJECTIVE_MS 250
#define DEADLINE_MS 3000
#define ATTEMPTS 3
#define ATTEMPT_MS 1400
#define BACKOFF_MS 20
#define SERVERS 4
#define SLOTS 2
#define QUEUE_MAX 8
#define WORK_MS 60

static const uint32_t syn_offsets_ms[] = { 0, 200, 600 };

#define SYNS (sizeof(syn_offsets_ms) / sizeof(*syn_offsets_ms))

/**
 * struct retrying_caller - a caller; times count from the start of the test
 * @started_ms: when its first attempt began
 * @attempt_ms: when the current attempt began
 * @held_since_ms: when its SYN was first held; 0 while none is held
 * @answer_ms: when the server answers or refuses
 * @served_ms: when the caller got its answer; 0 while it has none
 * @attempt: number of completed attempts
 * @sent: number of SYNs in the current attempt
 * @token: token of its flow's server; 0 while it has no flow
 * @port: its port in the current attempt
 * @is_refused: the server refuses the request of the current attempt
 * @is_over: the caller was served or has given up
 */
struct retrying_caller {
	uint64_t started_ms;
	uint64_t attempt_ms;
	uint64_t held_since_ms;
	uint64_t answer_ms;
	uint64_t served_ms;
	uint32_t attempt;
	uint32_t sent;
	uint32_t token;
	uint16_t port;
	bool is_refused;
	bool is_over;
};

static struct retrying_caller callers[CALLERS_MAX];
static uint32_t caller_count;
static uint16_t next_port;
/* Time at which each slot of each server becomes free, ms from the start, and
 * number of requests at each server. */
static uint64_t slot_free_ms[SERVERS + 1][SLOTS];
static uint32_t request_counts[SERVERS + 1];
static uint64_t begin_ms;

UNIT_CASE("steer", "return of callers", steering_setup, steering_teardown,
	  UNIT_TIMEOUT_S);

static uint64_t elapsed_ms(void)
{
	return steering_ms - begin_ms;
}

static bool is_outage(void)
{
	return elapsed_ms() >= OUTAGE_BEGIN_MS && elapsed_ms() < OUTAGE_END_MS;
}

static uint64_t *first_free_slot(uint64_t id)
{
	uint64_t *first = &slot_free_ms[id][0];

	for (int i = 1; i < SLOTS; i++)
		if (slot_free_ms[id][i] < *first)
			first = &slot_free_ms[id][i];
	return first;
}

/* The server queues the request or refuses it. */
static void queue_request(struct retrying_caller *caller, uint64_t id)
{
	uint64_t *slot = first_free_slot(id);

	caller->is_refused = request_counts[id] >= SLOTS + QUEUE_MAX;
	if (caller->is_refused) {
		caller->answer_ms = elapsed_ms() + STEP_MS;
		return;
	}
	request_counts[id]++;
	if (*slot < elapsed_ms())
		*slot = elapsed_ms();
	*slot += WORK_MS;
	caller->answer_ms = *slot;
}

static void send_syn(struct retrying_caller *caller, uint32_t repeats)
{
	struct cm_steer_packet packet = {
		.key = { { 0x64400007, caller->port, 6 }, steering_route },
		.flags = CM_STEER_SYN,
		.repeats = repeats,
	};
	struct cm_steer_verdict verdict;

	if (caller->held_since_ms)
		packet.held_ms =
			(uint32_t)(elapsed_ms() - caller->held_since_ms + 1);
	cm_steer_packet(&steering, steering_ms, &packet, &verdict);
	if (verdict.action == CM_STEER_HOLD && !caller->held_since_ms)
		caller->held_since_ms = elapsed_ms();
	if (verdict.action != CM_STEER_FORWARD)
		return;
	caller->held_since_ms = 0;
	caller->token = verdict.token;
	queue_request(caller, verdict.server_id);
	steering_send_packet(caller->port, caller->token, CM_STEER_ACK);
}

static void begin_attempt(struct retrying_caller *caller)
{
	caller->attempt_ms = elapsed_ms();
	caller->port = ++next_port;
	caller->sent = 0;
	caller->token = 0;
	caller->held_since_ms = 0;
}

static void end_attempt(struct retrying_caller *caller)
{
	caller->attempt++;
	if (caller->attempt >= ATTEMPTS) {
		caller->is_over = true;
		return;
	}
	begin_attempt(caller);
	caller->attempt_ms += BACKOFF_MS;
}

static void take_answer(struct retrying_caller *caller)
{
	const struct cm_steer_server *server = cm_steer_servers_find_by_token(
		&steering.servers, caller->token);

	if (elapsed_ms() < caller->answer_ms)
		return;
	steering_end_flow(caller->port, caller->token,
			  caller->is_refused ? 100 : STEERING_ANSWER_BYTES);
	if (caller->is_refused) {
		end_attempt(caller);
		return;
	}
	request_counts[server->entry.id]--;
	caller->served_ms = elapsed_ms();
	caller->is_over = true;
}

static void repeat_syn(struct retrying_caller *caller)
{
	uint64_t due_ms;

	if (caller->held_since_ms) {
		send_syn(caller, SYNS - 1);
		return;
	}
	if (caller->sent == SYNS) {
		if (elapsed_ms() >= caller->attempt_ms + ATTEMPT_MS)
			end_attempt(caller);
		return;
	}
	due_ms = caller->attempt_ms + syn_offsets_ms[caller->sent];
	if (elapsed_ms() < due_ms)
		return;
	caller->sent++;
	if (!is_outage())
		send_syn(caller, caller->sent - 1);
}

static void step_caller(struct retrying_caller *caller)
{
	if (caller->is_over)
		return;
	if (elapsed_ms() >= caller->started_ms + DEADLINE_MS)
		caller->is_over = true;
	else if (caller->token)
		take_answer(caller);
	else
		repeat_syn(caller);
}

static void add_caller(void)
{
	struct retrying_caller *caller = &callers[caller_count++];

	ck_assert_uint_le(caller_count, CALLERS_MAX);
	caller->started_ms = elapsed_ms();
	begin_attempt(caller);
}

static void run_callers(void)
{
	const struct cm_peer_entry self = { .name = "a-1", .domain = "a" };

	memset(callers, 0, sizeof(callers));
	memset(slot_free_ms, 0, sizeof(slot_free_ms));
	memset(request_counts, 0, sizeof(request_counts));
	caller_count = 0;
	next_port = 0;
	steering_set_plan(1, 0);
	for (uint64_t id = 1; id <= SERVERS; id++)
		steering_add_server(id, "a");
	ASSERT_OK(cm_steer_put_peer(&steering, &self));
	cm_steer_registry_answered(&steering, steering_ms);
	cm_steer_probe_succeeded(&steering, steering_ms, 0);
	begin_ms = steering_ms;
	while (elapsed_ms() < END_MS) {
		if (elapsed_ms() < LAST_CALLER_MS &&
		    elapsed_ms() % CALLER_INTERVAL_MS == 0)
			add_caller();
		for (uint32_t i = 0; i < caller_count; i++)
			step_caller(&callers[i]);
		steering_advance(STEP_MS);
	}
}

static bool meets_objective(const struct retrying_caller *caller)
{
	return caller->served_ms &&
	       caller->served_ms < caller->started_ms + OBJECTIVE_MS;
}

/* Before and after the outage, the callers use half of the capacity of the
 * servers, so the servers can also serve the callers of the outage before their
 * deadlines. */
TEST(all_retrying_callers_are_served)
{
	uint32_t served = 0;

	run_callers();
	for (uint32_t i = 0; i < caller_count; i++)
		served += callers[i].served_ms > 0;
	ck_assert_uint_eq(served, caller_count);
}

/* The backlog after the outage must not delay all new callers: more than half
 * of them are served within OBJECTIVE_MS. */
TEST(new_callers_are_preferred_to_retrying_ones)
{
	uint32_t new_callers = 0, in_time = 0;

	run_callers();
	for (uint32_t i = 0; i < caller_count; i++) {
		if (callers[i].started_ms < OUTAGE_END_MS)
			continue;
		new_callers++;
		in_time += meets_objective(&callers[i]);
	}
	ck_assert_uint_gt(in_time, new_callers / 2);
}

/* No SYN is held or dropped while a server has room. */
TEST(repeated_syn_is_placed_while_there_is_room)
{
	steering_make_ready(SERVERS);
	ck_assert_int_eq(steering_send_delayed_syn(1, 1, 0).action,
			 CM_STEER_FORWARD);
	ck_assert_int_eq(steering_send_delayed_syn(2, 2, 0).action,
			 CM_STEER_FORWARD);
}

/* Number of repeats of a SYN, how long it has been held, and the action for it
 * while all servers are full. An attempt has up to three SYNs. */
static const struct {
	const char *what;
	uint32_t repeats;
	uint32_t held_ms;
	enum cm_steer_action action;
} full_servers[] = {
	{ "first SYN", 0, 0, CM_STEER_FORWARD },
	{ "second SYN, which the caller repeats", 1, 0, CM_STEER_DROP },
	{ "last SYN", 2, 0, CM_STEER_HOLD },
	{ "last SYN, held for 299 ms", 2, 299, CM_STEER_HOLD },
	{ "last SYN, held for the maximum of 300 ms", 2, 300,
	  CM_STEER_FORWARD },
};

/* Latency objective of a service whose flows take 40 ms, and the action for a
 * second SYN, 200 ms after the first, while all servers are full. */
static const struct {
	uint32_t objective_ms;
	enum cm_steer_action action;
} objectives[] = {
	{ 0, CM_STEER_DROP },
	{ 150, CM_STEER_DROP },
	{ 260, CM_STEER_DROP },
	{ 400, CM_STEER_FORWARD },
};

TEST_TABLE(flow_that_can_meet_its_objective_is_placed, objectives)
{
	steering_set_plan_with_objective(1, objectives[_i].objective_ms);
	steering_add_server(1, "a");
	cm_steer_registry_answered(&steering, steering_ms);
	cm_steer_probe_succeeded(&steering, steering_ms, 0);
	for (uint16_t port = 1; port <= 20; port++)
		steering_run_flow(port, 40);
	for (uint16_t port = 101; port <= 120; port++)
		steering_send_packet(port, steering_send_syn(port, 0).token,
				     CM_STEER_ACK);
	ck_assert_int_eq(steering_send_syn(999, 1).action,
			 objectives[_i].action);
}

TEST_TABLE(first_syns_are_preferred_when_servers_are_full, full_servers)
{
	const struct cm_steer_packet packet = {
		.key = { { 0x64400007, 999, 6 }, steering_route },
		.flags = CM_STEER_SYN,
		.repeats = full_servers[_i].repeats,
		.held_ms = full_servers[_i].held_ms,
	};
	struct cm_steer_verdict verdict;

	steering_make_ready(1);
	for (uint16_t port = 1; port <= 20; port++)
		steering_send_packet(port, steering_send_syn(port, 0).token,
				     CM_STEER_ACK);
	cm_steer_packet(&steering, steering_ms, &packet, &verdict);
	ck_assert_int_eq(verdict.action, full_servers[_i].action);
}
