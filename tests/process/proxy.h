/**
 * DOC: TCP proxy with faults, on loopback
 *
 * Stands between the instances and the store, and harms connections as told.
 */
#ifndef PROCESS_PROXY_H
#define PROCESS_PROXY_H

#include <stdint.h>

/**
 * enum proxy_mode - what the proxy does
 * @PROXY_PASS: nothing
 * @PROXY_DELAY: holds all bytes back for a while
 * @PROXY_RESET: resets connections, old and new
 * @PROXY_ONE_WAY: passes questions on, drops answers
 * @PROXY_SILENT: passes nothing on, and keeps connections open
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

/** proxy_start() - stand before @port of loopback; returns the proxy's port */
uint16_t proxy_start(uint16_t port);

/** proxy_set() - what to do from now on */
void proxy_set(enum proxy_mode now);

/** proxy_stop() - end */
void proxy_stop(void);

#endif
