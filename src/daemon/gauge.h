/**
 * DOC: Gauges
 *
 * Metrics in /metrics that can go up and down, in addition to the counters of
 * the core.
 */
#ifndef DAEMON_GAUGE_H
#define DAEMON_GAUGE_H

#include "chervilmast/node_status.h"

/* X(constant, name in /metrics, help text) */
#define CM_GAUGES(X)                                                         \
	X(VERSION, "release_note_version",                                   \
	  "version of the release note in force; 0 before the first one")    \
	X(LEAVING, "leaving", "1 during a graceful shutdown")                \
	X(MEMBERS_ALIVE, "members_alive",                                    \
	  "instances that are alive, this one included")                     \
	X(MEMBERS_LEAVING, "members_leaving",                                \
	  "instances in a graceful shutdown")                                \
	X(MEMBERS_UNREACHABLE, "members_unreachable",                        \
	  "instances of other failure domains that cannot be reached")       \
	X(MEMBERS_DEAD, "members_dead",                                      \
	  "instances that have stopped or send no heartbeats")               \
	X(DOMAINS, "failure_domains",                                        \
	  "failure domains in the configuration in force")                   \
	X(DOMAINS_OUT, "failure_domains_out",                                \
	  "failure domains taken out by a release note")                     \
	X(SERVICES, "services", "services in the configuration in force")    \
	X(SERVERS, "backend_servers",                                        \
	  "backend servers, including those withdrawn within the last day")  \
	X(HOMES, "backend_servers_home",                                     \
	  "backend servers whose home is this instance")                     \
	X(FLOWS, "flows", "flows in the flow table")                         \
	X(HALF_OPEN, "flows_half_open", "half-open flows in the flow table") \
	X(FLOW_BYTES, "flow_memory_bytes",                                   \
	  "memory of the flow table in bytes")                               \
	X(RESIDENT_BYTES, "resident_memory_bytes",                           \
	  "resident memory of the process in bytes")                         \
	X(CPU_MS, "cpu_milliseconds",                                        \
	  "processor time used since the start, in milliseconds")            \
	X(UPTIME_S, "uptime_seconds", "time since the start, in seconds")

/**
 * enum cm_gauge - index of a gauge
 */
enum cm_gauge {
#define CM_GAUGE_ENUM(gauge, text, help) CM_G_##gauge,
	CM_GAUGES(CM_GAUGE_ENUM)
#undef CM_GAUGE_ENUM
		CM_GAUGE_COUNT
};

/**
 * struct cm_gauges - one value for each gauge
 * @value: the values, indexed by enum cm_gauge
 */
struct cm_gauges {
	uint64_t value[CM_GAUGE_COUNT];
};

/**
 * cm_gauges_read() - read all gauges
 * @gauges: set
 * @node: node whose state is read
 * @uptime_ms: time since the start of the process
 */
void cm_gauges_read(struct cm_gauges *gauges, struct cm_node *node,
		    uint64_t uptime_ms);

/**
 * cm_gauge_name() - stable name of a gauge in /metrics
 * @gauge: the gauge
 *
 * Return: a static string.
 */
const char *cm_gauge_name(enum cm_gauge gauge);

/**
 * cm_gauge_help() - one-line help text of a gauge in /metrics
 * @gauge: the gauge
 *
 * Return: a static string.
 */
const char *cm_gauge_help(enum cm_gauge gauge);

#endif
