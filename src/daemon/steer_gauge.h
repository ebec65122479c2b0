/**
 * DOC: Gauges of an instance that steers by token
 */
#ifndef DAEMON_STEER_GAUGE_H
#define DAEMON_STEER_GAUGE_H

#include "chervilmast/steer.h"

/* X(constant, name in /metrics, help text) */
#define CM_STEER_GAUGES(X)                                                    \
	X(PLAN, "plan_version", "version of the plan in force; 0 for none")   \
	X(REGISTRY_AGE, "registry_age_milliseconds",                          \
	  "time since the registry data was last known to be current, in ms") \
	X(READY, "ready",                                                     \
	  "1 if the fabric should send packets to this instance")             \
	X(LISTED, "servers_listed", "backend servers with a registry entry")  \
	X(DRAINING, "servers_draining",                                       \
	  "backend servers that are draining and have not left yet")          \
	X(LAPSED, "servers_lapsed",                                           \
	  "servers whose entry was lost in or just after a registry outage")  \
	X(LEFT, "servers_left",                                               \
	  "servers that have left, kept for their open flows")                \
	X(SUSPECTED, "servers_suspected",                                     \
	  "servers that did not answer the last SYN sent to them")            \
	X(PEERS, "peers", "instances in the registry, this one included")     \
	X(FLOWS_OBSERVED, "flows_observed", "flows in the flow table")        \
	X(LINES_LEFT_OUT, "log_lines_left_out",                               \
	  "log lines dropped since the start or the last reload")

/**
 * enum cm_steer_gauge - index of a gauge
 */
enum cm_steer_gauge {
#define CM_STEER_GAUGE_ENUM(gauge, text, help) CM_STEER_GAUGE_##gauge,
	CM_STEER_GAUGES(CM_STEER_GAUGE_ENUM)
#undef CM_STEER_GAUGE_ENUM
		CM_STEER_GAUGE_COUNT
};

/**
 * struct cm_steer_gauges - one value for each gauge
 * @value: the values, indexed by enum cm_steer_gauge
 */
struct cm_steer_gauges {
	uint64_t value[CM_STEER_GAUGE_COUNT];
};

/**
 * cm_steer_gauges_read() - read all gauges
 * @steer: the steering instance
 * @now_ms: current time
 * @gauges: set to the values
 */
void cm_steer_gauges_read(struct cm_steer *steer, uint64_t now_ms,
			  struct cm_steer_gauges *gauges);

/**
 * cm_steer_gauge_name() - name of a gauge in /metrics
 * @gauge: the gauge
 *
 * Return: a static string.
 */
const char *cm_steer_gauge_name(enum cm_steer_gauge gauge);

/**
 * cm_steer_gauge_help() - help text of a gauge, one line
 * @gauge: the gauge
 *
 * Return: a static string.
 */
const char *cm_steer_gauge_help(enum cm_steer_gauge gauge);

#endif
