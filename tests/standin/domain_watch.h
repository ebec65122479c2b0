/**
 * DOC: Timing of a failure domain that is taken out and brought back
 *
 * The script that publishes the notes sends a signal when a note was accepted.
 * This module measures the time from the first signal to the last packet that
 * reached the domain's backend servers, and the time from the second signal
 * until the servers get their share of new connections again.
 */
#ifndef STANDIN_DOMAIN_WATCH_H
#define STANDIN_DOMAIN_WATCH_H

#include "fake/world.h"

/**
 * struct domain_watch - measurement of a failure domain
 * @domain: name of the failure domain; empty for none
 * @taken_out_ms: time when the domain was taken out; 0 before
 * @brought_back_ms: time when the domain was brought back; 0 before
 * @restored_ms: end of the first window since @brought_back_ms in which the
 *               domain got its share of new connections; 0 before
 * @window_start_ms: start of the current window
 * @window_domain_accepted: connections that the domain's servers had accepted
 *                          when the window started
 * @window_total_accepted: connections that all servers had accepted when the
 *                         window started
 */
struct domain_watch {
	char domain[CM_NAME_SIZE];
	uint64_t taken_out_ms;
	uint64_t brought_back_ms;
	uint64_t restored_ms;
	uint64_t window_start_ms;
	uint64_t window_domain_accepted;
	uint64_t window_total_accepted;
};

/**
 * domain_watch_init() - install handlers of SIGUSR1 (out) and SIGUSR2 (in)
 * @watch: memory of the caller
 * @domain: name of the failure domain; empty for none
 */
void domain_watch_init(struct domain_watch *watch, const char *domain);

/**
 * domain_watch_tick() - handle signals and measure the domain's share
 * @watch: the watch
 * @world: simulated callers and backend servers
 */
void domain_watch_tick(struct domain_watch *watch, struct fake_world *world);

/**
 * domain_watch_print() - print the measured times, if the domain was taken out
 * @watch: the watch
 * @world: simulated callers and backend servers
 */
void domain_watch_print(const struct domain_watch *watch,
			const struct fake_world *world);

#endif
