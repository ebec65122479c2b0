/**
 * DOC: Tries whether a server can be reached
 *
 * Opens a TCP connection without waiting for it, and closes it again.
 */
#ifndef ADAPTERS_REACH_PROBE_H
#define ADAPTERS_REACH_PROBE_H

#include <stdbool.h>

#include "chervilmast/flow_key.h"

/**
 * struct cm_reach_probe - a try
 * @fd: socket of the try in progress, or -1
 * @token: names the server
 * @began_ms: when the try began
 */
struct cm_reach_probe {
	int fd;
	uint32_t token;
	uint64_t began_ms;
};

/**
 * cm_reach_probe_init() - make a probe without a try in progress
 * @probe: memory of the caller
 */
void cm_reach_probe_init(struct cm_reach_probe *probe);

/**
 * cm_reach_probe_start() - begin a try; one in progress is given up
 * @probe: the probe
 * @token: names the server
 * @address: where the server listens
 * @now_ms: current time
 */
void cm_reach_probe_start(struct cm_reach_probe *probe, uint32_t token,
			  const struct cm_endpoint *address, uint64_t now_ms);

/**
 * cm_reach_probe_check() - whether the try in progress has succeeded
 * @probe: the probe
 *
 * Ends the try when it has succeeded or failed.
 *
 * Return: true when the server was reached.
 */
bool cm_reach_probe_check(struct cm_reach_probe *probe);

/**
 * cm_reach_probe_finish() - give up a try in progress
 * @probe: the probe; its memory stays the caller's
 */
void cm_reach_probe_finish(struct cm_reach_probe *probe);

#endif
