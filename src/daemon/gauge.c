#include "gauge.h"

#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000

static const char *const gauge_name[CM_GAUGE_COUNT] = {
#define CM_GAUGE_NAME(gauge, text, help) text,
	CM_GAUGES(CM_GAUGE_NAME)
#undef CM_GAUGE_NAME
};

static const char *const gauge_help[CM_GAUGE_COUNT] = {
#define CM_GAUGE_HELP(gauge, text, help) help,
	CM_GAUGES(CM_GAUGE_HELP)
#undef CM_GAUGE_HELP
};

/* The second field of /proc/self/statm is the number of resident pages. */
static uint64_t resident_bytes(void)
{
	FILE *file = fopen("/proc/self/statm", "re");
	unsigned long long pages = 0;

	if (!file)
		return 0;
	if (fscanf(file, "%*u %llu", &pages) != 1)
		pages = 0;
	fclose(file);
	return pages * (uint64_t)sysconf(_SC_PAGESIZE);
}

static uint64_t cpu_ms(void)
{
	struct timespec used;

	if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used))
		return 0;
	return (uint64_t)used.tv_sec * MS_PER_S +
	       (uint64_t)used.tv_nsec / NS_PER_MS;
}

void cm_gauges_read(struct cm_gauges *gauges, struct cm_node *node,
		    uint64_t uptime_ms)
{
	uint64_t *value = gauges->value;
	struct cm_node_status status;

	cm_node_status_read(node, &status);
	value[CM_G_VERSION] = status.version;
	value[CM_G_LEAVING] = status.leaving;
	value[CM_G_MEMBERS_ALIVE] = status.members[CM_MEMBER_ALIVE];
	value[CM_G_MEMBERS_LEAVING] = status.members[CM_MEMBER_LEAVING];
	value[CM_G_MEMBERS_UNREACHABLE] = status.members[CM_MEMBER_UNREACHABLE];
	value[CM_G_MEMBERS_DEAD] = status.members[CM_MEMBER_DEAD];
	value[CM_G_DOMAINS] = status.domains;
	value[CM_G_DOMAINS_OUT] = status.domains_out;
	value[CM_G_SERVICES] = status.services;
	value[CM_G_SERVERS] = status.servers;
	value[CM_G_HOMES] = status.home_servers;
	value[CM_G_FLOWS] = status.flows;
	value[CM_G_HALF_OPEN] = status.half_open;
	value[CM_G_FLOW_BYTES] = status.flow_bytes;
	value[CM_G_RESIDENT_BYTES] = resident_bytes();
	value[CM_G_CPU_MS] = cpu_ms();
	value[CM_G_UPTIME_S] = uptime_ms / MS_PER_S;
}

const char *cm_gauge_name(enum cm_gauge gauge)
{
	return gauge_name[gauge];
}

const char *cm_gauge_help(enum cm_gauge gauge)
{
	return gauge_help[gauge];
}
