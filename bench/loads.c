#include "bench.h"

#include <stdio.h>

#include "fake/service_run.h"

#define INSTANCES 9
#define SERVERS 15
#define FLOWS 3000
#define OVERLOAD_SERVERS 10
/* Limit of new flows per second of each backend server (max_new_per_s). */
#define OVERLOAD_RATE_LIMIT 20
#define OVERLOAD_DURATION_S 10
/* Connection cap of each backend server. */
#define TAKEOVER_CAP 50
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

static struct fake_service_run run;
static struct fake_service_flow flows[FLOWS];
static const uint32_t one_slot[] = { 1 };
static const uint32_t mixed_slots[] = { 1, 2, 3 };

static void start_run(const uint32_t *slots, uint32_t slots_count,
		      uint32_t servers, uint32_t cap, uint32_t rate,
		      uint64_t seed)
{
	struct fake_service_config config = {
		.nodes = INSTANCES,
		.servers = servers,
		.slots = slots,
		.slots_count = slots_count,
		.cap = cap,
		.rate = rate,
		.seed = seed,
	};

	fake_service_run_init(&run, &config);
}

static json_t *measure_imbalance(const uint32_t *slots, uint32_t slots_count,
				 uint64_t seed)
{
	uint64_t skipped;
	json_t *figures;

	start_run(slots, slots_count, SERVERS, LARGE_CAP, LARGE_RATE_LIMIT,
		  seed);
	for (uint32_t i = 0; i < FLOWS; i++) {
		fake_service_run_open(&run, &flows[i]);
		fake_service_run_until(&run, run.cluster.now_ms + 2);
	}
	skipped = fake_cluster_total(&run.cluster, CM_C_SKIP_BALANCE);
	figures = json_pack(
		"{s:f, s:f, s:f}", "chervilmast",
		fake_service_run_imbalance(&run, run.open), "plain_hashing",
		fake_service_run_imbalance(&run, run.first_candidates),
		"passed_over_per_flow", (double)skipped / FLOWS);
	fake_service_run_finish(&run);
	return figures;
}

static void measure_overload(json_t *report, uint32_t percent, uint64_t seed)
{
	uint32_t capacity =
		OVERLOAD_SERVERS * OVERLOAD_RATE_LIMIT * OVERLOAD_DURATION_S;
	uint32_t offered = capacity * percent / PERCENT;
	char name[32];
	uint64_t begin_ms;

	start_run(one_slot, 1, OVERLOAD_SERVERS, LARGE_CAP, OVERLOAD_RATE_LIMIT,
		  seed);
	begin_ms = run.cluster.now_ms;
	for (uint32_t i = 0; i < offered; i++) {
		fake_service_run_until(
			&run, begin_ms + (uint64_t)i * OVERLOAD_DURATION_S *
						 MS_PER_S / offered);
		fake_service_run_open(&run, &flows[0]);
	}
	snprintf(name, sizeof(name), "served_share_at_%u_percent", percent);
	bench_add_figure(report, name, (double)run.opened / capacity);
	fake_service_run_finish(&run);
}

static void measure_retries(json_t *report, uint64_t seed)
{
	start_run(one_slot, 1, SERVERS, LARGE_CAP, LARGE_RATE_LIMIT, seed);
	for (uint32_t i = 0; i < SERVERS; i += 2)
		run.mode[i] = FAKE_SERVER_RESETS;
	for (uint32_t i = 0; i < FLOWS; i++)
		fake_service_run_open(&run, &flows[i]);
	bench_add_figure(report, "retry_amplification",
			 (double)run.syns / (double)run.requests);
	fake_service_run_finish(&run);
}

/*
 * Kills instances one after the other, so that their servers get other homes.
 * After each kill, callers open new flows; the flows opened before stay idle.
 */
static void measure_overshoot(json_t *report, uint64_t seed)
{
	uint32_t most = 0;

	start_run(one_slot, 1, SERVERS, TAKEOVER_CAP, LARGE_RATE_LIMIT, seed);
	for (uint32_t i = 0;
	     i < SERVERS * TAKEOVER_CAP * FILLED_PERCENT / PERCENT; i++)
		fake_service_run_open(&run, &flows[i]);
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
	bench_add_figure(report, "overshoot", (double)most / TAKEOVER_CAP);
	fake_service_run_finish(&run);
}

void bench_loads(json_t *report, uint64_t seed)
{
	json_t *imbalance = json_object();

	json_object_set_new(imbalance, "equal_slots",
			    measure_imbalance(one_slot, 1, seed));
	json_object_set_new(imbalance, "mixed_slots",
			    measure_imbalance(mixed_slots, 3, seed));
	json_object_set_new(report, "imbalance", imbalance);
	measure_overload(report, 150, seed);
	measure_overload(report, 300, seed);
	measure_retries(report, seed);
	measure_overshoot(report, seed);
}
