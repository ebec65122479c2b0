#include "unit/overload_model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/random.h"
#include "unit/suites.h"

#define STEP_MS 5
#define TICK_MS 25
#define START_MS 100000
#define REQUESTS_MAX 8192
#define FLOWS_MAX 4096
#define QUEUE_MAX 8
#define RETRIES_MAX 2
#define RETRY_DELAY_MS 10
/* Time after its first SYN at which an attempt to open a flow ends, ms. */
#define ATTEMPT_MS 1400
/* A caller closes a long flow after this time without a request. */
#define LONG_IDLE_MS 1000
#define ANSWER_BYTES 1000
#define REJECTION_BYTES 100
/* Number of random trials in a step, each of which may start a request. */
#define TRIALS 32
#define PERCENT 100
#define MS_PER_S 1000
/* Share of the bulk route in the work. */
#define BULK_PERCENT 73
#define FIRST_PORT 1024

static const uint32_t syn_offsets_ms[] = { 0, 200, 600 };
static const uint32_t data_offsets_ms[] = { 0, 200, 600, 1400 };

/* Work, objective and deadline of each route, ms. */
static const struct {
	struct cm_endpoint address;
	uint32_t work_ms;
	uint32_t objective_ms;
	uint32_t timeout_ms;
	enum cm_route_kind kind;
	uint32_t priority;
} route_specs[OVERLOAD_ROUTES] = {
	{ { 0xc6120001, 443, 6 }, 65, 500, 2700, CM_ROUTE_NON_IDEMPOTENT, 1 },
	{ { 0xc6120002, 443, 6 }, 50, 450, 2250, CM_ROUTE_IDEMPOTENT, 2 },
};

/**
 * struct model_flow - a flow
 * @idle_ms: since when a long flow is without a request; 0 for a flow in use
 * @token: token of its server
 * @server: index of its server
 * @ack: acknowledgment number of the caller
 * @key: its key
 * @domain: failure domain of its caller
 * @is_used: the entry is in use
 */
struct model_flow {
	uint64_t idle_ms;
	uint32_t token;
	uint32_t server;
	uint32_t ack;
	struct cm_flow_key key;
	uint32_t domain;
	bool is_used;
};

/** enum model_phase - what a request waits for */
enum model_phase {
	PHASE_UNUSED,
	PHASE_OPENING,
	PHASE_SENDING,
	PHASE_WAITING,
};

/**
 * struct model_request - a request
 * @started_ms: when it started
 * @since_ms: when the phase began
 * @answer_ms: when the server answers; 0 for never
 * @flow: its flow
 * @phase: what it waits for
 * @route: its route
 * @domain: failure domain of its caller
 * @sent: packets sent in the phase
 * @retries: number of retries so far
 * @is_rejected: the server rejects it
 */
struct model_request {
	uint64_t started_ms;
	uint64_t since_ms;
	uint64_t answer_ms;
	struct model_flow *flow;
	enum model_phase phase;
	enum overload_route route;
	uint32_t domain;
	uint32_t sent;
	uint32_t retries;
	bool is_rejected;
};

/**
 * struct model_server - a server
 * @slot_free_ms: when each slot becomes free
 * @finish_ms: when each accepted request ends
 * @is_lost: it was stopped
 */
struct model_server {
	uint64_t slot_free_ms[OVERLOAD_SLOTS];
	uint64_t finish_ms[OVERLOAD_SLOTS + QUEUE_MAX];
	bool is_lost;
};

static struct cm_steer *instances[OVERLOAD_INSTANCES_MAX];
static uint32_t instance_count;
static uint32_t running_count;
static uint32_t domain_count = 1;
static struct model_server servers[OVERLOAD_SERVERS];
static struct model_request requests[REQUESTS_MAX];
static struct model_flow flows[FLOWS_MAX];
static struct overload_totals totals;
static struct fake_random random_state;
static uint64_t now_ms;
static uint64_t period_ms;
static uint64_t paused_until_ms;
static uint32_t next_port;

static const char *const domain_names[OVERLOAD_DOMAINS_MAX] = { "a", "b", "c" };

/* Servers and instances are dealt to the failure domains in turn. */
static uint32_t domain_of(uint32_t index)
{
	return index % domain_count;
}

/* Hashes flows over the running instances of the caller's failure domain. */
static uint32_t instance_of(const struct model_flow *flow)
{
	uint32_t count = 0;

	for (uint32_t i = flow->domain; i < running_count; i += domain_count)
		count++;
	ck_assert_uint_gt(count, 0);
	return (uint32_t)(cm_flow_key_hash(&flow->key) % count) * domain_count +
	       flow->domain;
}

static void add_server(struct cm_steer *steer, uint32_t index)
{
	struct cm_server_entry entry = {
		.id = index + 1,
		.service = "ledger",
		.address = { 0x0a010000 + index, 8080, 17 },
		.slots = OVERLOAD_SLOTS,
	};

	snprintf(entry.domain, sizeof(entry.domain), "%s",
		 domain_names[domain_of(index)]);
	ASSERT_OK(cm_steer_put_server(steer, now_ms, &entry));
}

static void set_plan(struct cm_steer *steer, bool with_priorities)
{
	struct cm_steer_plan plan;

	ASSERT_OK(cm_steer_plan_init(&plan, 1, OVERLOAD_ROUTES, 0));
	for (int i = 0; i < OVERLOAD_ROUTES; i++) {
		const struct cm_steer_route route = {
			.address = route_specs[i].address,
			.objective_ms = route_specs[i].objective_ms,
			.traits = { route_specs[i].kind,
				    with_priorities ? route_specs[i].priority :
						      0,
				    route_specs[i].timeout_ms },
			.target_count = 1,
			.targets = { { "ledger", 1 } },
		};

		ASSERT_OK(cm_steer_plan_add_route(&plan, &route));
	}
	ASSERT_OK(cm_steer_plan_seal(&plan));
	ASSERT_OK(cm_steer_set_plan(steer, &plan));
}

static void name_instance(struct cm_peer_entry *entry, uint32_t index)
{
	memset(entry, 0, sizeof(*entry));
	snprintf(entry->name, sizeof(entry->name), "a-%u", index);
	snprintf(entry->domain, sizeof(entry->domain), "%s",
		 domain_names[domain_of(index)]);
}

static struct cm_steer *start_instance(uint32_t index, uint32_t listed,
				       bool with_priorities, uint64_t seed)
{
	struct cm_steer_config config = {
		.seed = seed + index,
		.flows_max = FLOWS_MAX,
		.flow_life_ms = 60000,
		.domain_out_ms = 4500,
		.registry_fresh_ms = 3000,
		.lapse_grace_ms = 2500,
	};
	struct cm_steer *steer = calloc(1, sizeof(*steer));
	struct cm_peer_entry entry;

	ck_assert_ptr_nonnull(steer);
	snprintf(config.domain, sizeof(config.domain), "%s",
		 domain_names[domain_of(index)]);
	cm_steer_init(steer, &config);
	set_plan(steer, with_priorities);
	for (uint32_t i = 0; i < OVERLOAD_SERVERS; i++)
		add_server(steer, i);
	for (uint32_t i = 0; i < listed; i++) {
		name_instance(&entry, i);
		ASSERT_OK(cm_steer_put_peer(steer, &entry));
	}
	cm_steer_registry_answered(steer, now_ms);
	cm_steer_probe_succeeded(steer, now_ms, 0);
	return steer;
}

static void start_model(uint32_t domains, uint32_t count, uint32_t listed,
			bool with_priorities, uint64_t seed)
{
	memset(servers, 0, sizeof(servers));
	memset(requests, 0, sizeof(requests));
	memset(flows, 0, sizeof(flows));
	now_ms = START_MS;
	paused_until_ms = 0;
	next_port = 0;
	random_state.state = seed;
	domain_count = domains;
	instance_count = count;
	running_count = count;
	for (uint32_t i = 0; i < count; i++)
		instances[i] = start_instance(i, listed, with_priorities, seed);
	overload_begin_period();
}

void overload_setup(uint32_t count, uint32_t listed, bool with_priorities,
		    uint64_t seed)
{
	start_model(1, count, listed, with_priorities, seed);
}

void overload_setup_domains(uint32_t domains, uint32_t count, uint64_t seed)
{
	start_model(domains, count, count, true, seed);
}

void overload_teardown(void)
{
	for (uint32_t i = 0; i < instance_count; i++) {
		cm_steer_finish(instances[i]);
		free(instances[i]);
	}
	instance_count = 0;
}

void overload_begin_period(void)
{
	memset(&totals, 0, sizeof(totals));
	period_ms = now_ms;
}

const struct overload_totals *overload_totals(void)
{
	return &totals;
}

/* A paused instance sends nothing; its packets are lost, so that the callers
 * repeat them. */
static void send_packet(const struct model_flow *flow,
			struct cm_steer_packet *packet,
			struct cm_steer_verdict *verdict)
{
	uint32_t index = instance_of(flow);

	packet->key = flow->key;
	memset(verdict, 0, sizeof(*verdict));
	if (index == 0 && now_ms < paused_until_ms)
		return;
	cm_steer_packet(instances[index], now_ms, packet, verdict);
}

static void send_flags(const struct model_flow *flow, uint8_t flags)
{
	struct cm_steer_packet packet = {
		.token = flow->token,
		.flags = flags,
		.ack = flow->ack,
	};
	struct cm_steer_verdict verdict;

	send_packet(flow, &packet, &verdict);
}

static void close_flow(struct model_flow *flow, uint8_t flags)
{
	if (flow->token)
		send_flags(flow, flags);
	flow->is_used = false;
}

static struct model_flow *open_flow(enum overload_route route, uint32_t domain)
{
	for (uint32_t i = 0; i < FLOWS_MAX; i++) {
		struct model_flow *flow = &flows[i];

		if (flow->is_used)
			continue;
		memset(flow, 0, sizeof(*flow));
		flow->is_used = true;
		flow->ack = 1;
		flow->domain = domain;
		flow->key.service = route_specs[route].address;
		flow->key.caller.address = 0x64400000 + (next_port >> 14);
		flow->key.caller.port =
			(uint16_t)(FIRST_PORT + (next_port & 0x3fff));
		flow->key.caller.protocol = 6;
		next_port++;
		return flow;
	}
	ck_abort_msg("too many flows");
}

/* Chooses at random, so that the requests of all flows reach all instances. */
static struct model_flow *idle_flow(enum overload_route route, uint32_t domain)
{
	uint32_t first = fake_random_below(&random_state, FLOWS_MAX);

	for (uint32_t i = 0; route == OVERLOAD_BULK && i < FLOWS_MAX; i++) {
		struct model_flow *flow = &flows[(first + i) % FLOWS_MAX];

		if (flow->is_used && flow->idle_ms && flow->domain == domain)
			return flow;
	}
	return NULL;
}

static void set_phase(struct model_request *request, enum model_phase phase)
{
	request->phase = phase;
	request->since_ms = now_ms;
	request->sent = 0;
}

static void begin_attempt(struct model_request *request)
{
	request->flow = request->retries ?
				NULL :
				idle_flow(request->route, request->domain);
	if (request->flow) {
		request->flow->idle_ms = 0;
		set_phase(request, PHASE_SENDING);
		return;
	}
	request->flow = open_flow(request->route, request->domain);
	set_phase(request, PHASE_OPENING);
	if (request->retries)
		request->since_ms += RETRY_DELAY_MS;
}

static void add_request(enum overload_route route, uint32_t domain)
{
	for (uint32_t i = 0; i < REQUESTS_MAX; i++) {
		struct model_request *request = &requests[i];

		if (request->phase != PHASE_UNUSED)
			continue;
		memset(request, 0, sizeof(*request));
		request->route = route;
		request->domain = domain;
		request->started_ms = now_ms;
		totals.routes[route].requests++;
		totals.domains[domain][route].requests++;
		begin_attempt(request);
		return;
	}
	ck_abort_msg("too many requests");
}

/* The server processes, queues or rejects the request, or is lost. */
static void reach_server(struct model_request *request)
{
	struct model_server *server = &servers[request->flow->server];
	uint64_t *slot = &server->slot_free_ms[0];
	uint32_t at = 0;

	totals.arrivals++;
	request->answer_ms = 0;
	if (server->is_lost)
		return;
	while (at < OVERLOAD_SLOTS + QUEUE_MAX &&
	       server->finish_ms[at] > now_ms)
		at++;
	request->is_rejected = at == OVERLOAD_SLOTS + QUEUE_MAX;
	request->answer_ms = now_ms + STEP_MS;
	if (request->is_rejected) {
		totals.rejected++;
		return;
	}
	for (int i = 1; i < OVERLOAD_SLOTS; i++)
		if (server->slot_free_ms[i] < *slot)
			slot = &server->slot_free_ms[i];
	if (*slot < now_ms)
		*slot = now_ms;
	*slot += route_specs[request->route].work_ms;
	server->finish_ms[at] = *slot;
	request->answer_ms = *slot;
}

static void end_request(struct model_request *request, bool is_served)
{
	uint64_t took_ms = now_ms - request->started_ms;
	struct overload_result *result = &totals.routes[request->route];
	struct overload_result *in_domain =
		&totals.domains[request->domain][request->route];

	request->phase = PHASE_UNUSED;
	if (!is_served || request->started_ms < period_ms)
		return;
	result->served++;
	in_domain->served++;
	if (took_ms > route_specs[request->route].objective_ms)
		return;
	result->in_time++;
	in_domain->in_time++;
	totals.useful_ms += route_specs[request->route].work_ms;
}

static void retry(struct model_request *request)
{
	if (request->retries == RETRIES_MAX) {
		end_request(request, false);
		return;
	}
	request->retries++;
	begin_attempt(request);
}

static void send_data(struct model_request *request)
{
	struct cm_steer_packet packet = {
		.token = request->flow->token,
		.flags = CM_STEER_ACK,
		.data_length = 100,
		.ack = request->flow->ack,
	};
	struct cm_steer_verdict verdict;

	send_packet(request->flow, &packet, &verdict);
	/* Only a flow whose server is gone may be reset. */
	if (verdict.action == CM_STEER_RESET) {
		ck_assert(servers[request->flow->server].is_lost);
		request->flow->is_used = false;
		retry(request);
		return;
	}
	if (verdict.action != CM_STEER_FORWARD)
		return;
	reach_server(request);
	set_phase(request, PHASE_WAITING);
}

static void send_syn(struct model_request *request)
{
	struct model_flow *flow = request->flow;
	struct cm_steer_packet packet = {
		.flags = CM_STEER_SYN,
		.repeats = request->sent,
	};
	struct cm_steer_verdict verdict;

	request->sent++;
	send_packet(flow, &packet, &verdict);
	if (verdict.action == CM_STEER_RESET) {
		flow->is_used = false;
		retry(request);
	}
	if (verdict.action != CM_STEER_FORWARD ||
	    servers[verdict.server_id - 1].is_lost)
		return;
	flow->token = verdict.token;
	flow->server = (uint32_t)(verdict.server_id - 1);
	send_flags(flow, CM_STEER_ACK);
	set_phase(request, PHASE_SENDING);
	request->sent = 1;
	send_data(request);
}

static void step_opening(struct model_request *request)
{
	uint32_t count = sizeof(syn_offsets_ms) / sizeof(*syn_offsets_ms);

	if (now_ms >= request->since_ms + ATTEMPT_MS) {
		request->flow->is_used = false;
		retry(request);
	} else if (request->sent < count &&
		   now_ms >=
			   request->since_ms + syn_offsets_ms[request->sent]) {
		send_syn(request);
	}
}

static void step_sending(struct model_request *request)
{
	uint32_t count = sizeof(data_offsets_ms) / sizeof(*data_offsets_ms);

	if (request->sent == count ||
	    now_ms < request->since_ms + data_offsets_ms[request->sent])
		return;
	request->sent++;
	send_data(request);
}

static void step_waiting(struct model_request *request)
{
	struct model_flow *flow = request->flow;

	if (!request->answer_ms || now_ms < request->answer_ms)
		return;
	flow->ack += request->is_rejected ? REJECTION_BYTES : ANSWER_BYTES;
	if (request->route == OVERLOAD_BULK) {
		send_flags(flow, CM_STEER_ACK);
		flow->idle_ms = now_ms;
	} else {
		close_flow(flow, CM_STEER_ACK | CM_STEER_FIN);
	}
	if (request->is_rejected)
		retry(request);
	else
		end_request(request, true);
}

static void step_request(struct model_request *request)
{
	if (request->phase == PHASE_UNUSED)
		return;
	if (now_ms >=
	    request->started_ms + route_specs[request->route].timeout_ms) {
		close_flow(request->flow, CM_STEER_RST);
		end_request(request, false);
	} else if (request->phase == PHASE_OPENING) {
		step_opening(request);
	} else if (request->phase == PHASE_SENDING) {
		step_sending(request);
	} else {
		step_waiting(request);
	}
}

static void close_idle_flows(void)
{
	for (uint32_t i = 0; i < FLOWS_MAX; i++)
		if (flows[i].is_used && flows[i].idle_ms &&
		    now_ms >= flows[i].idle_ms + LONG_IDLE_MS)
			close_flow(&flows[i], CM_STEER_ACK | CM_STEER_FIN);
}

/* Requests arrive at random, at a rate of @per_s on average. */
static void add_requests(enum overload_route route, uint32_t domain,
			 double per_s)
{
	double chance = per_s * STEP_MS / MS_PER_S / TRIALS;

	for (int i = 0; i < TRIALS; i++)
		if (fake_random_below(&random_state, 1 << 20) <
		    chance * (1 << 20))
			add_request(route, domain);
}

/* Adds the requests of a step for a demand of @load_percent of the slots of the
 * failure domain. */
static void add_demand(uint32_t domain, uint32_t load_percent)
{
	double work_per_s = (double)OVERLOAD_SERVERS * OVERLOAD_SLOTS *
			    MS_PER_S * load_percent / PERCENT / domain_count;
	double bulk_per_s = work_per_s * BULK_PERCENT / PERCENT /
			    route_specs[OVERLOAD_BULK].work_ms;
	double urgent_per_s = work_per_s * (PERCENT - BULK_PERCENT) / PERCENT /
			      route_specs[OVERLOAD_URGENT].work_ms;

	add_requests(OVERLOAD_BULK, domain, bulk_per_s);
	add_requests(OVERLOAD_URGENT, domain, urgent_per_s);
}

static void tick_instances(void)
{
	for (uint32_t i = 0; i < running_count; i++) {
		if (i == 0 && now_ms < paused_until_ms)
			continue;
		cm_steer_registry_answered(instances[i], now_ms);
		cm_steer_tick(instances[i], now_ms);
	}
}

void overload_run_domains(uint32_t ms, const uint32_t *load_percents)
{
	uint64_t end_ms = now_ms + ms;

	while (now_ms < end_ms) {
		for (uint32_t i = 0; i < OVERLOAD_DOMAINS_MAX; i++)
			if (i < domain_count)
				add_demand(i, load_percents[i]);
		for (uint32_t i = 0; i < REQUESTS_MAX; i++)
			step_request(&requests[i]);
		now_ms += STEP_MS;
		if (now_ms % TICK_MS)
			continue;
		tick_instances();
		close_idle_flows();
	}
}

void overload_run(uint32_t ms, uint32_t load_percent)
{
	const uint32_t load_percents[OVERLOAD_DOMAINS_MAX] = { load_percent,
							       load_percent,
							       load_percent };

	overload_run_domains(ms, load_percents);
}

static double share(uint64_t part, uint64_t whole)
{
	return whole ? (double)part / (double)whole : 0;
}

void overload_print(const char *what)
{
	static const char *const names[] = { "urgent", "bulk" };

	printf("%s:", what);
	for (int i = 0; i < OVERLOAD_ROUTES; i++)
		printf(" %s requests=%u served=%.3f in_time=%.3f;", names[i],
		       totals.routes[i].requests,
		       share(totals.routes[i].served,
			     totals.routes[i].requests),
		       share(totals.routes[i].in_time,
			     totals.routes[i].requests));
	printf(" arrivals=%u rejected=%.3f refused=%llu resets=%llu "
	       "useful=%.3f\n",
	       totals.arrivals, share(totals.rejected, totals.arrivals),
	       (unsigned long long)overload_refused(),
	       (unsigned long long)overload_counter(CM_C_STEER_ADMISSION_RESET),
	       share(totals.useful_ms,
		     (now_ms - period_ms) * OVERLOAD_SERVERS * OVERLOAD_SLOTS));
}

uint64_t overload_counter(enum cm_counter counter)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < instance_count; i++)
		sum += cm_counters_get(&instances[i]->counters, counter);
	return sum;
}

uint64_t overload_refused(void)
{
	return overload_counter(CM_C_STEER_ADMISSION_DEFERRED) +
	       overload_counter(CM_C_STEER_ADMISSION_RESET) +
	       overload_counter(CM_C_STEER_ADMISSION_SHED) +
	       overload_counter(CM_C_STEER_REQUEST_DEFERRED) +
	       overload_counter(CM_C_STEER_REQUEST_SHED);
}

bool overload_is_overloaded(void)
{
	for (uint32_t i = 0; i < running_count; i++) {
		const struct cm_steer_admissions *admissions =
			&instances[i]->admissions;

		for (uint32_t k = 0; k < admissions->count; k++)
			if (admissions->items[k].admission.is_overloaded)
				return true;
	}
	return false;
}

static void lose_server(uint32_t index)
{
	servers[index].is_lost = true;
	for (uint32_t i = 0; i < running_count; i++)
		cm_steer_remove_server(instances[i], now_ms, index + 1);
}

void overload_lose_servers(uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		lose_server(i);
}

void overload_lose_domain(uint32_t domain)
{
	for (uint32_t i = 0; i < OVERLOAD_SERVERS; i++)
		if (domain_of(i) == domain)
			lose_server(i);
}

void overload_lose_instance(bool is_listed)
{
	struct cm_peer_entry entry;

	running_count--;
	name_instance(&entry, running_count);
	for (uint32_t i = 0; i < running_count && !is_listed; i++)
		cm_steer_remove_peer(instances[i], entry.name);
}

void overload_pause_instance(uint32_t ms)
{
	paused_until_ms = now_ms + ms;
}
