/**
 * DOC: Fault-injecting TCP proxy on loopback
 *
 * Forwards the connections between the instances and the store, and delays,
 * resets or interrupts them according to its mode.
 */
#ifndef PROCESS_PROXY_H
#define PROCESS_PROXY_H

#include <stdint.h>

/**
 * enum proxy_mode - how the proxy handles connections
 * @PROXY_PASS: forwards all data
 * @PROXY_DELAY: delays all data
 * @PROXY_RESET: resets existing and new connections
 * @PROXY_ONE_WAY: forwards requests and drops responses
 * @PROXY_SILENT: forwards nothing and keeps connections open
 * @PROXY_MODES: number of modes
 */
enum proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,
	PROXY_RESET,
	PROXY_ONE_WAY,
	PROXY_SILENT,
	PROXY_MODES,
};

/** proxy_start() - forward to loopback @port; returns the proxy's port */
uint16_t proxy_start(uint16_t port);

/** proxy_set() - set the mode */
void proxy_set(enum proxy_mode new_mode);

/** proxy_stop() - stop the proxy and close its connections */
void proxy_stop(void);

#endif
