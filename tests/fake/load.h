/**
 * DOC: Load of a backend server and its bounds
 *
 * The bounds are those of docs/ADMISSION.md. Within one second a server gets at
 * most its rate plus one burst of new connections. While two instances each
 * regard themselves as its home, the bound is 1.25 times the rate plus two
 * bursts. During a cold start the rate is reduced to the share that the ramp
 * has reached; the bursts are not.
 */
#ifndef FAKE_LOAD_H
#define FAKE_LOAD_H

#include "chervilmast/catalog.h"
#include "chervilmast/cold_start.h"

/** Number of new connections recorded; exceeds the bounds for one second. */
#define FAKE_LOAD_RING 256

/**
 * struct fake_load - new connections of a backend server
 * @spec: specification of the server, with its limits
 * @cold_started: the server has had a cold start
 * @cold_since_ms: time at which the last cold start began, ms
 * @announced: a release note announced that cold start
 * @count: new connections so far; the begin of a cold start sets it to 0
 * @at_ms: ring of the arrival times of the last new connections, ms
 * @retransmitted: for each entry of @at_ms, whether the SYN was retransmitted
 */
struct fake_load {
	struct cm_server_spec spec;
	bool cold_started;
	uint64_t cold_since_ms;
	bool announced;
	uint64_t count;
	uint64_t at_ms[FAKE_LOAD_RING];
	bool retransmitted[FAKE_LOAD_RING];
};

/**
 * fake_load_begin_cold_start() - begin a cold start
 * @load: the load
 * @now_ms: current time, ms
 * @announced: a release note announces the cold start
 */
void fake_load_begin_cold_start(struct fake_load *load, uint64_t now_ms,
				bool announced);

/**
 * fake_load_add() - count a new connection
 * @load: the load
 * @now_ms: current time, ms
 * @is_retransmitted: the SYN that arrived was retransmitted
 *
 * Return: new connections within the last second; those before the last cold
 * start do not count.
 */
uint32_t fake_load_add(struct fake_load *load, uint64_t now_ms,
		       bool is_retransmitted);

/**
 * fake_load_count_first_syns() - count recent connections by their first SYN
 * @load: the load
 * @now_ms: current time, ms
 *
 * Leaves out connections that arrived by a retransmitted SYN: if the first SYN
 * was lost between home and server, the home admitted the connection earlier
 * and counted it against the rate at that time.
 *
 * Return: the number of connections within the last second.
 */
uint32_t fake_load_count_first_syns(const struct fake_load *load,
				    uint64_t now_ms);

/**
 * fake_load_percent() - share of its rate that a server can take now
 * @load: the load
 * @now_ms: current time, ms
 *
 * Return: the share in percent, below 100 during a cold start.
 */
uint32_t fake_load_percent(const struct fake_load *load, uint64_t now_ms);

/**
 * fake_load_rate_max() - upper bound of new connections within one second
 * @load: the load
 * @percent: share of the rate that the server can take
 * @agreed: all instances agree on the server's home
 *
 * Return: the bound.
 */
uint32_t fake_load_rate_max(const struct fake_load *load, uint32_t percent,
			    bool agreed);

/**
 * fake_load_open_max() - upper bound of open connections
 * @load: the load
 * @agreed: all instances agree on the server's home
 *
 * While the instances do not agree, a new home may not count the connections
 * that the old home admitted. Each home admits at most the cap, so the bound is
 * then twice the cap.
 *
 * Return: the bound.
 */
uint32_t fake_load_open_max(const struct fake_load *load, bool agreed);

#endif
