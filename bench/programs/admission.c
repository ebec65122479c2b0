/**
 * DOC: Benchmark of admission
 *
 * Simulates a service under load with nine entry instances and fifteen backend
 * servers and prints a line of key=value pairs for each run. See
 * docs/ADMISSION.md.
 */
#include <stdio.h>
#include <stdlib.h>

#include "fake/service_run.h"

#define INSTANCES 9
#define SERVERS 15
#define FLOWS 3000
#define SEEDS 6
#define OVERLOAD_DURATION_S 10
#define KILLED_INSTANCES 6
/* Flows that callers open after each kill. */
#define FLOWS_PER_KILL 500
/* Share of the connection caps that is in use before the first kill. */
#define FILLED_PERCENT 80
/* Connection cap of each backend server in runs that do not measure the cap. */
#define LARGE_CAP 2000
/* Limit of new flows per second of each server in runs without overload. */
#define LARGE_RATE_LIMIT 1000
#define MS_PER_S 1000
#define PERCENT 100
/*
 * Size of a load report in MessagePack, bytes: address, port, protocol and
 * three numbers.
 */
#define LOAD_SIZE 24

static struct fake_service_run run;
static struct fake_service_flow flows[FLOWS];

static const uint32_t one_slot[] = { 1 };
static const uint32_t mixed_slots[] = { 1, 2, 3 };

static void start_run(bool mixed, uint32_t cap, uint32_t rate, uint64_t seed)
{
	struct fake_service_config config = {
		.nodes = INSTANCES,
		.servers = SERVERS,
		.slots = mixed ? mixed_slots : one_slot,
		.slots_count = mixed ? 3 : 1,
		.cap = cap,
		.rate = rate,
		.seed = seed,
	};

	fake_service_run_init(&run, &config);
}

static void measure_balance(bool mixed, uint64_t seed)
{
	uint64_t begin_ms, loads;
	double elsewhere;

	start_run(mixed, LARGE_CAP, LARGE_RATE_LIMIT, seed);
	begin_ms = run.cluster.now_ms;
	loads = run.cluster.loads_sent;
	for (uint32_t i = 0; i < FLOWS; i++) {
		fake_service_run_open(&run, &flows[i]);
		fake_service_run_until(&run, run.cluster.now_ms + 2);
	}
	elsewhere =
		(double)fake_cluster_total(&run.cluster, CM_C_FLOWS_ELSEWHERE) /
		FLOWS;
	loads = (run.cluster.loads_sent - loads) * LOAD_SIZE * MS_PER_S;
	printf("figure=imbalance seed=%llu slots=%s bounded=%.3f plain=%.3f "
	       "elsewhere=%.3f load_bytes_per_instance_s=%.0f\n",
	       (unsigned long long)seed, mixed ? "mixed" : "equal",
	       fake_service_run_imbalance(&run, run.open),
	       fake_service_run_imbalance(&run, run.first_candidates),
	       elsewhere,
	       (double)loads / INSTANCES /
		       (double)(run.cluster.now_ms - begin_ms));
	fake_service_run_finish(&run);
}

/* Opens more flows than the rate limits of all servers allow. */
static void measure_overload(uint32_t rate, uint32_t percent, uint64_t seed)
{
	uint32_t capacity = SERVERS * rate * OVERLOAD_DURATION_S;
	uint32_t offered = capacity * percent / PERCENT;
	uint64_t begin_ms, relayed;

	start_run(false, LARGE_CAP, rate, seed);
	begin_ms = run.cluster.now_ms;
	for (uint32_t i = 0; i < offered; i++) {
		fake_service_run_until(
			&run, begin_ms + (uint64_t)i * OVERLOAD_DURATION_S *
						 MS_PER_S / offered);
		fake_service_run_open(&run, &flows[0]);
	}
	relayed = fake_cluster_total(&run.cluster, CM_C_PACKETS_RELAYED);
	printf("figure=overload seed=%llu rate=%u offered_percent=%u "
	       "served_of_capacity=%.3f lost=%llu relays_per_request=%.2f\n",
	       (unsigned long long)seed, rate, percent,
	       (double)run.opened / capacity,
	       (unsigned long long)(run.requests - run.opened - run.refused),
	       (double)relayed / (double)run.requests);
	fake_service_run_finish(&run);
}

/*
 * Without @shed, every other server resets all SYNs; with it, all servers reset
 * every other SYN.
 */
static void measure_retries(bool shed, uint64_t seed)
{
	start_run(false, LARGE_CAP, LARGE_RATE_LIMIT, seed);
	for (uint32_t i = 0; i < SERVERS; i += shed ? 1 : 2)
		run.mode[i] = shed ? FAKE_SERVER_SHEDS : FAKE_SERVER_RESETS;
	for (uint32_t i = 0; i < FLOWS; i++)
		fake_service_run_open(&run, &flows[i]);
	printf("figure=retry_amplification seed=%llu servers=%s "
	       "attempts_per_request=%.3f served=%.3f\n",
	       (unsigned long long)seed, shed ? "shed" : "half-fail",
	       (double)run.syns / (double)run.requests,
	       (double)run.opened / (double)run.requests);
	fake_service_run_finish(&run);
}

/* Kills instances one after the other while open connections are idle. */
static void measure_overshoot(uint64_t seed)
{
	uint32_t cap = 50, most = 0;

	start_run(false, cap, LARGE_RATE_LIMIT, seed);
	for (uint32_t i = 0; i < SERVERS * cap * FILLED_PERCENT / PERCENT; i++)
		fake_service_run_open(&run, &flows[0]);
	fake_service_run_until(&run, run.cluster.now_ms + 2 * MS_PER_S);
	for (uint32_t node = 0; node < KILLED_INSTANCES; node++) {
		fake_cluster_kill(&run.cluster, node);
		fake_cluster_update_members(&run.cluster);
		for (uint32_t i = 0; i < FLOWS_PER_KILL; i++)
			fake_service_run_open(&run, &flows[0]);
		fake_service_run_until(&run, run.cluster.now_ms + 5 * MS_PER_S);
	}
	for (uint32_t i = 0; i < SERVERS; i++)
		if (run.open[i] > most)
			most = run.open[i];
	printf("figure=overshoot seed=%llu cap=%u most=%u\n",
	       (unsigned long long)seed, cap, most);
	fake_service_run_finish(&run);
}

int main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;

	for (uint64_t i = 0; i < SEEDS; i++) {
		measure_balance(false, seed + i);
		measure_balance(true, seed + i);
	}
	for (uint64_t i = 0; i < 2; i++) {
		measure_overload(10, 150, seed + i);
		measure_overload(10, 300, seed + i);
		measure_overload(20, 150, seed + i);
		measure_retries(false, seed + i);
		measure_retries(true, seed + i);
		measure_overshoot(seed + i);
	}
	return 0;
}
