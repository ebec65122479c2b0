/**
 * DOC: Benchmark of the membership protocol
 *
 * Measures, in virtual time and for groups of several sizes, the bytes that
 * an instance sends per second while no member changes, and the time until all
 * instances have detected the death of an instance, its restart, and the
 * partition of a failure domain. The figures are the same on every run.
 */
#include <stdio.h>
#include <stdlib.h>

#include "fake/group.h"

#define SETTLE_MS 20000
#define MEASURED_DURATION_S 20
#define MS_PER_S 1000
#define STEP_MS 10
#define DETECTION_TIMEOUT_MS 60000

/**
 * struct size - size of a group
 * @count: number of entry instances
 * @domains: number of failure domains
 */
struct size {
	uint32_t count;
	uint32_t domains;
};

static const struct size sizes[] = {
	{ 3, 1 }, { 9, 3 }, { 27, 3 }, { 100, 3 }, { 840, 6 },
};

static bool all_report_state(struct fake_group *group, uint32_t subject,
			     enum cm_member_state state)
{
	for (uint32_t i = 0; i < group->count; i++)
		if (i != subject && group->members[i].is_running &&
		    fake_group_state(group, subject, i) != state)
			return false;
	return true;
}

static uint32_t run_until_reported(struct fake_group *group, uint32_t subject,
				   enum cm_member_state state)
{
	uint32_t passed_ms = 0;

	while (passed_ms < DETECTION_TIMEOUT_MS &&
	       !all_report_state(group, subject, state)) {
		fake_group_run(group, STEP_MS);
		passed_ms += STEP_MS;
	}
	return passed_ms;
}

static void measure_bytes(struct fake_group *group)
{
	uint64_t sum = 0, most = 0;
	uint64_t instance_s = (uint64_t)group->count * MEASURED_DURATION_S;

	if (!instance_s)
		return;
	for (uint32_t i = 0; i < group->count; i++)
		group->members[i].sent_bytes = 0;
	fake_group_run(group, (uint64_t)MEASURED_DURATION_S * MS_PER_S);
	for (uint32_t i = 0; i < group->count; i++) {
		sum += group->members[i].sent_bytes;
		if (group->members[i].sent_bytes > most)
			most = group->members[i].sent_bytes;
	}
	printf(" bytes_per_s_mean=%llu bytes_per_s_max=%llu",
	       (unsigned long long)(sum / instance_s),
	       (unsigned long long)(most / MEASURED_DURATION_S));
}

static bool all_outside_report_partition(struct fake_group *group)
{
	for (uint32_t subject = 1; subject < group->count;
	     subject += group->domains)
		for (uint32_t observer = 0; observer < group->count; observer++)
			if (observer % group->domains != 1 &&
			    fake_group_state(group, subject, observer) !=
				    CM_MEMBER_UNREACHABLE)
				return false;
	return true;
}

static void measure_partition(struct fake_group *group)
{
	uint32_t passed_ms = 0;

	for (uint32_t i = 1; i < group->count; i += group->domains)
		group->members[i].partition = 1;
	while (passed_ms < DETECTION_TIMEOUT_MS &&
	       !all_outside_report_partition(group)) {
		fake_group_run(group, STEP_MS);
		passed_ms += STEP_MS;
	}
	printf(" cut_seen_ms=%u", passed_ms);
}

static void measure(const struct size *size)
{
	struct fake_group group;
	uint32_t victim = size->count / 2;

	fake_group_init(&group, size->count, size->domains);
	fake_group_run(&group, SETTLE_MS);
	printf("instances=%u domains=%u", size->count, size->domains);
	measure_bytes(&group);
	fake_group_kill(&group, victim);
	printf(" death_seen_ms=%u",
	       run_until_reported(&group, victim, CM_MEMBER_DEAD));
	fake_group_start(&group, victim);
	printf(" start_seen_ms=%u",
	       run_until_reported(&group, victim, CM_MEMBER_ALIVE));
	fake_group_run(&group, SETTLE_MS);
	if (size->domains > 1)
		measure_partition(&group);
	printf("\n");
	fflush(stdout);
	fake_group_finish(&group);
}

int main(void)
{
	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		measure(&sizes[i]);
	return EXIT_SUCCESS;
}
