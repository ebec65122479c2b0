#include "unit/suites.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/down_list.h"
#include "chervilmast/error.h"
#include "chervilmast/steer.h"
#include "chervilmast/steer_report.h"
#include "chervilmast/suspect_list.h"

/*
 * A failure domain of 20 instances and 60 servers. 720 callers have long flows
 * with pauses between the requests, and 80 use a flow for each request. At
 * FAULT_MS, 12 servers fail. The entries of dead servers are removed 2.4 s to
 * 3.6 s later.
 */
#define NODES 20
#define SERVERS 60
#define FAILING 12
#define CALLERS 800
#define PER_REQUEST_CALLERS 80
#define FAULT_MS 3000
#define END_MS 13000
#define STEP_MS 5
#define TICK_MS 25
/** Interval of the requests of an instance to the source, ms. */
#define EXCHANGE_MS 400
/** Minimum time before a request that is sent early, ms. */
#define REPORT_MS 100
#define START_MS 1000000
#define ROUND_TRIP_MS 5
#define WORK_MS 50
#define SLOW_MS 300
#define PAUSE_MIN_MS 300
#define PAUSE_RANGE_MS 1400
#define DEADLINE_MS 2000
/** Time after its first SYN at which an attempt to open a flow ends, ms. */
#define ATTEMPT_MS 1400
#define RETRIES 2
#define RESPONSE_BYTES 1000
#define LOSS_PERCENT 2
#define PERCENT 100
#define REMOVAL_MIN_MS 2400
#define REMOVAL_RANGE_MS 1200

enum caller_state {
	CALLER_IDLE,
	CALLER_OPENING,
	CALLER_WAITING,
};

/**
 * struct caller - a caller and its flow
 * @state: what it does
 * @port: port of its flow; 0 for none
 * @token: token of its flow
 * @seq: number of its next byte of data
 * @ack: number of the server's next byte
 * @request_ms: when its request began
 * @sent_ms: when the SYN, or the data, was first sent
 * @next_ms: when it sends next
 * @sends: number of transmissions
 * @retries: number of further attempts of its request
 * @answer_ms: when the server's answer arrives; 0 for never
 */
struct caller {
	enum caller_state state;
	uint16_t port;
	uint32_t token;
	uint32_t seq;
	uint32_t ack;
	uint64_t request_ms;
	uint64_t sent_ms;
	uint64_t next_ms;
	uint32_t sends;
	uint32_t retries;
	uint64_t answer_ms;
};

/**
 * struct fault - a fault and what is expected of the callers
 * @name: its name
 * @source_lost_ms: when the source is lost; 0 for never. Another source starts
 *                  without reports 2 s later.
 * @work_ms: time that the failing servers take for a request while alive
 * @loss_percent: share of the packets that are lost, %
 * @failed_max: maximum number of requests that fail by their deadline
 * @wrong_max: maximum number of flows that are reset while their server is
 *             alive
 * @is_dead: the failing servers die; otherwise they leave SYNs and probes
 *           unanswered, as at their maximum number of connections
 * @is_unlisted: the failing servers only lose their entries, as they are cut
 *               off from the registry
 * @keeps_entries: the entries of dead servers stay in the registry
 * @is_repeatable: the requests of the route may be executed twice
 */
struct fault {
	const char *name;
	uint64_t source_lost_ms;
	uint32_t work_ms;
	uint32_t loss_percent;
	uint32_t failed_max;
	uint32_t wrong_max;
	bool is_dead;
	bool is_unlisted;
	bool keeps_entries;
	bool is_repeatable;
};

static const struct fault *fault;
static struct cm_steer nodes[NODES];
static uint64_t exchanged_ms[NODES];
static bool must_report[NODES];
static struct caller callers[CALLERS];
static struct cm_suspect_list suspects;
static struct cm_down_list down_list;
static uint64_t random_state;
static uint32_t requests, failed, resets, wrong_resets;

static uint32_t random_below(uint32_t bound)
{
	random_state = cm_hash_mix(random_state, 1);
	return (uint32_t)(random_state % bound);
}

static bool is_lost(void)
{
	return random_below(PERCENT) < fault->loss_percent;
}

/* Whether a server leaves SYNs and probes unanswered. */
static bool is_failing(uint64_t id, uint64_t ms)
{
	return !fault->is_unlisted && id <= FAILING && ms >= FAULT_MS;
}

static void set_plan(struct cm_steer *node)
{
	const struct cm_steer_route route = {
		.address = { 1, 443, 6 },
		.traits.kind = fault->is_repeatable ? CM_ROUTE_IDEMPOTENT :
						      CM_ROUTE_NON_IDEMPOTENT,
		.target_count = 1,
		.targets = { { "ledger", 1 } },
	};
	struct cm_steer_plan plan;

	ASSERT_OK(cm_steer_plan_init(&plan, 1, 1, 0));
	ASSERT_OK(cm_steer_plan_add_route(&plan, &route));
	ASSERT_OK(cm_steer_plan_seal(&plan));
	ASSERT_OK(cm_steer_set_plan(node, &plan));
}

static void start_node(int index)
{
	const struct cm_steer_config config = {
		.domain = "a",
		.seed = (uint64_t)index * 7919,
		.flows_max = 4096,
		.flow_life_ms = 60000,
		.registry_fresh_ms = 3000,
		.lapse_grace_ms = 2500,
	};
	struct cm_steer *node = &nodes[index];

	cm_steer_init(node, &config);
	set_plan(node);
	for (uint64_t id = 1; id <= SERVERS; id++) {
		const struct cm_server_entry entry = {
			.id = id,
			.service = "ledger",
			.domain = "a",
			.address = { (uint32_t)id, 80, 17 },
			.slots = 2,
		};

		ASSERT_OK(cm_steer_put_server(node, START_MS, &entry));
	}
	for (int peer = 0; peer < NODES; peer++) {
		struct cm_peer_entry entry = { .domain = "a" };

		snprintf(entry.name, sizeof(entry.name), "a-%d", peer);
		ASSERT_OK(cm_steer_put_peer(node, &entry));
	}
	cm_steer_probe_succeeded(node, START_MS, 0);
	cm_steer_registry_answered(node, START_MS);
	exchanged_ms[index] = random_below(EXCHANGE_MS);
	must_report[index] = false;
}

static void setup(void)
{
	random_state = 1;
	requests = failed = resets = wrong_resets = 0;
	memset(&suspects, 0, sizeof(suspects));
	memset(&down_list, 0, sizeof(down_list));
	memset(callers, 0, sizeof(callers));
	for (int i = 0; i < CALLERS; i++)
		callers[i].next_ms = random_below(PAUSE_RANGE_MS);
}

static void teardown(void)
{
	for (int i = 0; i < NODES; i++)
		cm_steer_finish(&nodes[i]);
}

UNIT_CASE("steer", "load on servers that are gone", setup, teardown, 60);

static bool source_is_lost(uint64_t ms)
{
	return fault->source_lost_ms && ms >= fault->source_lost_ms &&
	       ms < fault->source_lost_ms + 2000;
}

/* Sends a request of an instance to the source and applies the answer. */
static void exchange(int index, uint64_t ms)
{
	struct cm_steer *node = &nodes[index];
	struct cm_message_tokens silent, stalled, answer, down;
	uint64_t now_ms = START_MS + ms;

	exchanged_ms[index] = ms;
	must_report[index] = false;
	if (source_is_lost(ms)) {
		memset(&suspects, 0, sizeof(suspects));
		memset(&down_list, 0, sizeof(down_list));
		return;
	}
	silent.count = cm_steer_list_silent_servers(node, now_ms, silent.tokens,
						    CM_MESSAGE_TOKENS_MAX);
	cm_steer_list_stalled_servers(node, now_ms, &silent, &stalled);
	cm_suspect_list_add(&suspects, now_ms, silent.tokens, silent.count);
	cm_down_list_report(&down_list, now_ms, (uint64_t)index + 1, &silent,
			    &stalled);
	answer.count = cm_suspect_list_read(&suspects, now_ms, answer.tokens);
	cm_down_list_read(&down_list, now_ms, &down);
	cm_steer_apply_reports(node, now_ms, answer.tokens, answer.count);
	cm_steer_apply_down(node, now_ms, &down);
}

static void probe(struct cm_steer *node, uint64_t ms)
{
	struct cm_endpoint address;
	uint32_t token = cm_steer_next_probe(node, START_MS + ms, &address);

	if (token && !is_failing(address.address, ms) && !is_lost())
		cm_steer_probe_succeeded(node, START_MS + ms, token);
}

static void remove_entries(struct cm_steer *node, uint64_t ms)
{
	if (fault->keeps_entries)
		return;
	for (uint64_t id = 1; id <= FAILING; id++)
		if (ms >=
		    FAULT_MS + REMOVAL_MIN_MS + id * REMOVAL_RANGE_MS / FAILING)
			cm_steer_remove_server(node, START_MS + ms, id);
}

static void run_node(int index, uint64_t ms)
{
	struct cm_steer *node = &nodes[index];

	if (!source_is_lost(ms))
		cm_steer_registry_answered(node, START_MS + ms);
	cm_steer_tick(node, START_MS + ms);
	probe(node, ms);
	remove_entries(node, ms);
	must_report[index] |= cm_steer_take_new_silent(node);
	if (ms >= exchanged_ms[index] + EXCHANGE_MS ||
	    (must_report[index] && ms >= exchanged_ms[index] + REPORT_MS))
		exchange(index, ms);
}

static uint64_t server_of(const struct cm_steer *node, uint32_t token)
{
	const struct cm_steer_server *server =
		cm_steer_servers_find_by_token(&node->servers, token);

	return server ? server->entry.id : 0;
}

/* Sends a packet of the caller; returns the instance's verdict. */
static struct cm_steer_verdict send_packet(const struct caller *caller,
					   uint64_t ms, uint8_t flags,
					   uint32_t data_length)
{
	uint32_t index = (uint32_t)(caller - callers);
	struct cm_steer_packet packet = {
		.key = { { index + 1, caller->port, 6 }, { 1, 443, 6 } },
		.flags = flags,
		.token = flags & CM_STEER_SYN ? 0 : caller->token,
		.repeats = flags & CM_STEER_SYN ? caller->sends : 0,
		.data_length = data_length,
		.seq = caller->seq,
		.ack = caller->ack,
	};
	struct cm_steer_verdict verdict = { .action = CM_STEER_DROP };

	if (!is_lost())
		cm_steer_packet(&nodes[(index + caller->port * 7) % NODES],
				START_MS + ms, &packet, &verdict);
	return verdict;
}

static void end_request(struct caller *caller, uint64_t ms, bool has_failed)
{
	requests += ms >= FAULT_MS;
	failed += ms >= FAULT_MS && has_failed;
	caller->state = CALLER_IDLE;
	caller->next_ms = ms + PAUSE_MIN_MS + random_below(PAUSE_RANGE_MS);
	if (has_failed)
		caller->port = 0;
}

static void send_syn(struct caller *caller, uint64_t ms)
{
	static const uint64_t next_ms[] = { 200, 600, ATTEMPT_MS };
	struct cm_steer_verdict verdict =
		send_packet(caller, ms, CM_STEER_SYN, 0);

	caller->next_ms = caller->sent_ms + next_ms[caller->sends++];
	if (verdict.action != CM_STEER_FORWARD || caller->answer_ms ||
	    is_failing(verdict.server_id, ms) || is_lost())
		return;
	caller->token = verdict.token;
	caller->answer_ms = ms + ROUND_TRIP_MS;
}

static void open_flow(struct caller *caller, uint64_t ms)
{
	static uint16_t last_port;

	caller->port = ++last_port ? last_port : ++last_port;
	caller->seq = 1;
	caller->ack = 1;
	caller->state = CALLER_OPENING;
	caller->sends = 0;
	caller->sent_ms = ms;
	caller->answer_ms = 0;
	send_syn(caller, ms);
}

static void retry(struct caller *caller, uint64_t ms)
{
	if (caller->retries++ < RETRIES)
		open_flow(caller, ms);
	else
		end_request(caller, ms, true);
}

static void count_reset(uint64_t id, uint64_t ms)
{
	resets++;
	wrong_resets += !fault->is_dead || !is_failing(id, ms);
}

static void send_data(struct caller *caller, uint64_t ms)
{
	uint64_t id = server_of(&nodes[0], caller->token);
	struct cm_steer_verdict verdict =
		send_packet(caller, ms, CM_STEER_ACK, 1);

	caller->next_ms = ms + (200ULL << caller->sends++);
	if (verdict.action == CM_STEER_RESET) {
		count_reset(id, ms);
		if (!is_lost())
			retry(caller, ms);
		return;
	}
	if (verdict.action != CM_STEER_FORWARD || caller->answer_ms ||
	    (fault->is_dead && is_failing(id, ms)) || is_lost())
		return;
	caller->answer_ms =
		ms + (is_failing(id, ms) ? fault->work_ms : WORK_MS);
}

static void begin_data(struct caller *caller, uint64_t ms)
{
	caller->state = CALLER_WAITING;
	caller->sends = 0;
	caller->answer_ms = 0;
	send_data(caller, ms);
}

static void begin_request(struct caller *caller, uint64_t ms)
{
	caller->request_ms = ms;
	caller->retries = 0;
	if (caller->port)
		begin_data(caller, ms);
	else
		open_flow(caller, ms);
}

static void receive_response(struct caller *caller, uint64_t ms)
{
	caller->seq++;
	caller->ack += RESPONSE_BYTES;
	if (caller - callers < PER_REQUEST_CALLERS) {
		send_packet(caller, ms, CM_STEER_ACK | CM_STEER_FIN, 0);
		caller->port = 0;
	} else {
		send_packet(caller, ms, CM_STEER_ACK, 0);
	}
	end_request(caller, ms, false);
}

static void run_open(struct caller *caller, uint64_t ms)
{
	if (caller->answer_ms && ms >= caller->answer_ms)
		begin_data(caller, ms);
	else if (ms >= caller->sent_ms + ATTEMPT_MS)
		retry(caller, ms);
	else if (ms >= caller->next_ms)
		send_syn(caller, ms);
}

static void run_caller(struct caller *caller, uint64_t ms)
{
	if (caller->state == CALLER_IDLE) {
		if (ms >= caller->next_ms)
			begin_request(caller, ms);
	} else if (ms >= caller->request_ms + DEADLINE_MS) {
		end_request(caller, ms, true);
	} else if (caller->state == CALLER_OPENING) {
		run_open(caller, ms);
	} else if (caller->answer_ms && ms >= caller->answer_ms) {
		receive_response(caller, ms);
	} else if (ms >= caller->next_ms) {
		send_data(caller, ms);
	}
}

static void run(void)
{
	for (int i = 0; i < NODES; i++)
		start_node(i);
	for (uint64_t ms = 0; ms < END_MS; ms += STEP_MS) {
		for (int i = 0; i < NODES; i++)
			if (ms % TICK_MS == 0)
				run_node(i, ms);
		for (int i = 0; i < CALLERS; i++)
			run_caller(&callers[i], ms);
	}
}

/*
 * With the switch gone-observed off, 144 requests fail by their deadline for
 * each of the first faults, and 152 on lossy links: each flow to a dead server
 * once. While the source is lost, an instance has its own observations only.
 * When the links lose the data of a flow to a full server twice in a row, an
 * instance can't distinguish the server from a dead one.
 */
static const struct fault faults[] = {
	{ "dead", 0, WORK_MS, 0, 36, 0, true, false, false, true },
	{ "dead, lossy", 0, WORK_MS, LOSS_PERCENT, 38, 0, true, false, false,
	  true },
	{ "dead, entries stay", 0, WORK_MS, 0, 36, 0, true, false, true, true },
	{ "dead, source lost", FAULT_MS + 300, WORK_MS, 0, 130, 0, true, false,
	  false, true },
	{ "dead, non-idempotent", 0, WORK_MS, 0, 150, 0, true, false, false,
	  false },
	{ "full", 0, WORK_MS, 0, 0, 0, false, false, true, true },
	{ "full, lossy", 0, WORK_MS, LOSS_PERCENT, 2, 1, false, false, true,
	  true },
	{ "full, slow", 0, SLOW_MS, 0, 0, 0, false, false, true, true },
	{ "full, slow, lossy", 0, SLOW_MS, LOSS_PERCENT, 2, 0, false, false,
	  true, true },
	{ "unlisted", 0, WORK_MS, 0, 0, 0, false, true, false, true },
	{ "unlisted, lossy", 0, WORK_MS, LOSS_PERCENT, 2, 1, false, true, false,
	  true },
	{ "unlisted, non-idempotent", 0, WORK_MS, 0, 0, 0, false, true, false,
	  false },
};

static unsigned long long sum(enum cm_counter counter)
{
	unsigned long long total = 0;

	for (int i = 0; i < NODES; i++)
		total += cm_counters_get(&nodes[i].counters, counter);
	return total;
}

/* Callers of servers that died must not wait for their deadlines, and no flow
 * of a server that is alive may be reset, not even when the server is at its
 * maximum number of connections and the links lose packets. */
TEST_TABLE(requests_fail_by_deadline, faults)
{
	fault = &faults[_i];
	run();
	printf("%s: requests=%u failed=%u resets=%u wrong=%u down=%llu "
	       "silent=%llu\n",
	       fault->name, requests, failed, resets, wrong_resets,
	       sum(CM_C_STEER_GONE_DOWN), sum(CM_C_STEER_GONE_SILENT));
	ck_assert_uint_le(wrong_resets, fault->wrong_max);
	if (!fault->is_repeatable)
		ck_assert_uint_eq(sum(CM_C_STEER_GONE_DOWN) +
					  sum(CM_C_STEER_GONE_SILENT),
				  0);
	ck_assert_uint_le(failed, fault->failed_max);
}
