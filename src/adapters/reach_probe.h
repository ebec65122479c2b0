/**
 * DOC: Reachability probe of a server
 *
 * Opens a TCP connection without blocking, and closes it once the outcome is
 * known.
 */
#ifndef ADAPTERS_REACH_PROBE_H
#define ADAPTERS_REACH_PROBE_H

#include <stdbool.h>

#include "chervilmast/flow_key.h"

/**
 * struct cm_reach_probe - a probe
 * @fd: socket of the attempt in progress; -1 for none
 * @token: token of the server
 * @started_ms: when the last attempt started, ms
 */
struct cm_reach_probe {
	int fd;
	uint32_t token;
	uint64_t started_ms;
};

/**
 * cm_reach_probe_init() - initialise without an attempt in progress
 * @probe: memory owned by the calling function
 */
void cm_reach_probe_init(struct cm_reach_probe *probe);

/**
 * cm_reach_probe_start() - start an attempt; one in progress is cancelled
 * @probe: the probe
 * @token: token of the server
 * @address: address that the server listens on
 * @now_ms: current time
 */
void cm_reach_probe_start(struct cm_reach_probe *probe, uint32_t token,
			  const struct cm_endpoint *address, uint64_t now_ms);

/**
 * cm_reach_probe_check() - whether the attempt in progress has succeeded
 * @probe: the probe
 *
 * Ends the attempt when it has succeeded or failed.
 *
 * Return: true when the server accepted the connection; false when the attempt
 * has failed, is still in progress, or could not be started.
 */
bool cm_reach_probe_check(struct cm_reach_probe *probe);

/**
 * cm_reach_probe_finish() - cancel an attempt in progress
 * @probe: the probe; the struct itself is not freed
 */
void cm_reach_probe_finish(struct cm_reach_probe *probe);

#endif
