/*
 * process SEED SECONDS|SCENARIO PROGRAM DIRECTORY [NET [PREVIOUS]]: runs
 * instances of PROGRAM under load, with random faults from SEED for SECONDS or
 * with those of SCENARIO, then without faults, and prints the results of the
 * requests. With PREVIOUS, the program of another build, instances of both run
 * side by side and change builds when they restart.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "process/process.h"
#include "process/proxy.h"

#define REQUESTS_PER_S 100
#define MS_PER_S 1000
#define WARM_UP_MS 3000
#define AFTER_FAULTS_RUN_MS 10000
#define STEP_MS 2
#define FAULT_MIN_MS 400
#define FAULT_GAP_SPAN_MS 2200
#define FAULT_DURATION_SPAN_MS 3500
#define SERVED_MIN 200
#define PLAN_VERSION 3
/** From this seed on, the store also goes back to older copies; lower seeds
 * keep their sequences of faults. */
#define FIRST_ERA_SEED 100
/** From this seed on, servers also restart under their ids, another writer
 * leaves odd entries, and names are long; lower seeds keep their sequences of
 * faults. */
#define FIRST_RESTART_SEED 200
#define LONG_SERVICE "ledger-of-the-elementary-schools-and-of-the-county"
/** Exclusive upper limit of the age of the copy, ms. */
#define GO_BACK_SPAN_MS 8000
/** With changes of era, one fault in this number is one. */
#define ERA_FAULTS_ONE_IN 3
/** Time until what the store lost is written again, ms. */
#define WRITE_AGAIN_MS 1500
#define DOMAIN_OUT_KEY "op/evacuate/b"

static struct fake_random rng;
static struct platform_standin store;
static uint64_t store_fault_until_ms, proxy_fault_until_ms, loss_until_ms,
	domain_out_until_ms, write_again_ms;
static uint64_t paused_until_ms[PROCESS_ALL_INSTANCES];

static uint64_t choose_fault_end_ms(void)
{
	return now_ms() + FAULT_MIN_MS +
	       fake_random_below(&rng, FAULT_DURATION_SPAN_MS);
}

static int random_instance(void)
{
	return (int)fake_random_below(&rng, PROCESS_ALL_INSTANCES);
}

static int random_slot(void)
{
	return (int)fake_random_below(&rng, PROCESS_ALL_SERVERS);
}

static void kill_one(void)
{
	instance_signal(random_instance(), SIGKILL);
	fault_extend(now_ms() + MS_PER_S);
}

static void kill_all(void)
{
	for (int i = 0; i < PROCESS_ALL_INSTANCES; i++)
		instance_signal(i, SIGKILL);
	fault_extend(now_ms() + 2 * MS_PER_S);
}

static void stop_one(void)
{
	instance_stop(random_instance());
	fault_extend(now_ms() + PROCESS_GRACE_MS);
}

static void pause_one(void)
{
	int instance = random_instance();

	paused_until_ms[instance] = choose_fault_end_ms();
	instance_signal(instance, SIGSTOP);
	fault_extend(paused_until_ms[instance] + MS_PER_S);
}

static void reload_one(void)
{
	instance_signal(random_instance(), SIGHUP);
}

static void stop_server_responses(void)
{
	server_stop_responding(random_slot());
}

static void drain_server(void)
{
	server_drain(random_slot());
}

/* The entry of the last start may arrive together with the one before. */
static void restart_server(void)
{
	server_restart(random_slot(), 1 + fake_random_below(&rng, 3));
}

/* Values that another writer leaves under the id of a server. */
static const char *const odd_values[] = {
	"{}",
	"7",
	"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]"
	"]]]]]]]]",
	"{\"service\":\"ledger\",\"address\":\"127.0.0.1:70000\"}",
	"{\"service\":\"none\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
	"\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
	"\"cold-left-ms\":0,\"sequence\":1,\"born\":9007199254740992}",
};

static void overwrite_entry(void)
{
	uint32_t count = sizeof(odd_values) / sizeof(*odd_values);

	server_overwrite_entry(random_slot(),
			       odd_values[fake_random_below(&rng, count)]);
}

static void fault_store(void)
{
	enum platform_fault fault =
		1 + fake_random_below(&rng, PLATFORM_FAULT_COUNT - 1);

	platform_standin_set_fault(&store, fault);
	store_fault_until_ms = choose_fault_end_ms();
	fault_extend(store_fault_until_ms + MS_PER_S);
}

static void fault_store_connections(void)
{
	proxy_set(1 + fake_random_below(&rng, PROXY_MODES - 1));
	proxy_fault_until_ms = choose_fault_end_ms();
	fault_extend(proxy_fault_until_ms + MS_PER_S);
}

static void lose_packets(void)
{
	callers_set_loss(10 + fake_random_below(&rng, 40));
	loss_until_ms = choose_fault_end_ms();
	fault_extend(loss_until_ms);
}

static void take_domain_out(void)
{
	platform_standin_put(&store, DOMAIN_OUT_KEY, "{}");
	domain_out_until_ms = choose_fault_end_ms();
	fault_extend(domain_out_until_ms);
}

static void lose_writes(void)
{
	platform_standin_go_back(&store,
				 fake_random_below(&rng, GO_BACK_SPAN_MS));
	platform_standin_take_leases(&store);
	write_again_ms = now_ms() + WRITE_AGAIN_MS;
	fault_extend(write_again_ms + MS_PER_S);
}

static void write_again(void)
{
	plan_put(&store, PLAN_VERSION);
	if (domain_out_until_ms)
		platform_standin_put(&store, DOMAIN_OUT_KEY, "{}");
	else
		platform_standin_remove(&store, DOMAIN_OUT_KEY);
	servers_register();
	write_again_ms = 0;
}

static void (*const faults[])(void) = {
	kill_one,
	stop_one,
	pause_one,
	reload_one,
	stop_server_responses,
	drain_server,
	fault_store,
	fault_store_connections,
	lose_packets,
	take_domain_out,
	kill_all,
};

/* Ends the faults whose end time has passed; with @all, ends every fault. */
static void end_faults(bool all)
{
	uint64_t now = all ? UINT64_MAX : now_ms();

	if (store_fault_until_ms && now >= store_fault_until_ms) {
		platform_standin_set_fault(&store, PLATFORM_FAULT_NONE);
		store_fault_until_ms = 0;
	}
	if (proxy_fault_until_ms && now >= proxy_fault_until_ms) {
		proxy_set(PROXY_PASS);
		proxy_fault_until_ms = 0;
	}
	if (loss_until_ms && now >= loss_until_ms) {
		callers_set_loss(0);
		loss_until_ms = 0;
	}
	if (domain_out_until_ms && now >= domain_out_until_ms) {
		platform_standin_remove(&store, DOMAIN_OUT_KEY);
		domain_out_until_ms = 0;
	}
	if (write_again_ms && now >= write_again_ms)
		write_again();
	for (int i = 0; i < PROCESS_ALL_INSTANCES; i++) {
		if (!paused_until_ms[i] || now < paused_until_ms[i])
			continue;
		instance_signal(i, SIGCONT);
		paused_until_ms[i] = 0;
	}
}

static void step(unsigned int per_s)
{
	static uint64_t begun_ms;
	struct pollfd fds[PROCESS_ALL_SERVERS + 1];
	int numbers[PROCESS_ALL_SERVERS];
	int count = servers_fds(numbers);
	unsigned int requests = 0;
	uint64_t now;

	for (int i = 0; i < count; i++)
		fds[i] = (struct pollfd){ .fd = numbers[i], .events = POLLIN };
	fds[count] = (struct pollfd){ .fd = callers_fd(), .events = POLLIN };
	poll(fds, (nfds_t)count + 1, STEP_MS);
	now = now_ms();
	if (per_s && now >= begun_ms + MS_PER_S / per_s) {
		requests = 1;
		begun_ms = now;
	}
	servers_poll();
	callers_poll(requests);
	instances_check();
	end_faults(false);
}

void run(uint64_t ms, unsigned int per_s)
{
	uint64_t end = now_ms() + ms;

	while (now_ms() < end)
		step(per_s);
}

static void inject_fault(void)
{
	faults[fake_random_below(&rng, sizeof(faults) / sizeof(*faults))]();
}

static void inject_server_fault(void)
{
	if (fake_random_below(&rng, 3))
		restart_server();
	else
		overwrite_entry();
}

/*
 * From FIRST_ERA_SEED on, one fault in ERA_FAULTS_ONE_IN takes the store back,
 * and from FIRST_RESTART_SEED on, a fault of a server comes with every fault.
 */
static void run_faults(uint64_t ms, uint64_t seed)
{
	uint64_t end = now_ms() + ms;

	for (uint32_t i = 0; now_ms() < end; i++) {
		if (seed >= FIRST_ERA_SEED && i % ERA_FAULTS_ONE_IN == 0)
			lose_writes();
		else
			inject_fault();
		if (seed >= FIRST_RESTART_SEED)
			inject_server_fault();
		run(FAULT_MIN_MS + fake_random_below(&rng, FAULT_GAP_SPAN_MS),
		    REQUESTS_PER_S);
	}
	end_faults(true);
	fault_extend(now_ms() + PROCESS_SETTLE_MS);
}

void plan_put(struct platform_standin *standin, unsigned int version)
{
	struct sockaddr_in service = address(30, 1, 443);
	unsigned int ip = ntohl(service.sin_addr.s_addr);
	char plan[512];

	snprintf(plan, sizeof(plan),
		 "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":"
		 "\"%u.%u.%u.%u\",\"prefix\":\"/443/\",\"service\":\"%s\"}],"
		 "\"services\":[{\"name\":\"%s\",\"cold-per-s\":0.0}],"
		 "\"limits\":{}}",
		 version, ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255,
		 process_service, process_service);
	platform_standin_put(standin, "op/config", plan);
}

static int report(const char *seed)
{
	struct callers_result result = callers_result();

	if (result.failed_after_faults)
		violation("%u requests failed after the end of the faults",
			  result.failed_after_faults);
	if (result.served < SERVED_MIN)
		violation("only %u requests were served", result.served);
	printf("seed %s: %u served, %u failed, %d violations\n", seed,
	       result.served, result.failed, violations());
	return violations() ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	const struct scenario *scenario;
	uint16_t store_port;
	uint64_t seed;

	if (argc < 5)
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	seed = strtoull(argv[1], NULL, 10);
	rng.state = seed;
	if (seed >= FIRST_RESTART_SEED)
		process_service = LONG_SERVICE;
	scenario = scenario_find(argv[2]);
	address_set_net(argc > 5 ? (unsigned int)atoi(argv[5]) : 1);
	store_port = platform_standin_start(&store, 0);
	plan_put(&store, PLAN_VERSION);
	servers_start(&store);
	callers_start(&rng);
	if (scenario && scenario->prepare)
		scenario->prepare();
	instances_start(argv[3], argc > 6 ? argv[6] : NULL, argv[4],
			proxy_start(store_port));
	instances_watch();
	fault_extend(now_ms() + WARM_UP_MS);
	run(WARM_UP_MS, 0);
	if (scenario)
		scenario->play(&store);
	else
		run_faults(strtoull(argv[2], NULL, 10) * MS_PER_S, seed);
	run(scenario ? MS_PER_S : AFTER_FAULTS_RUN_MS, REQUESTS_PER_S);
	while (!callers_are_done())
		step(0);
	instances_finish();
	proxy_stop();
	platform_standin_stop(&store);
	return report(argv[1]);
}
