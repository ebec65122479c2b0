/**
 * DOC: One service under load
 *
 * Opens connections to the servers of one TCP service through several nodes,
 * runs the nodes' ticks in between, and counts the results. Servers answer SYNs
 * immediately, as set by enum fake_server_mode. A second service, over UDP, is
 * for tests that send their own packets.
 */
#ifndef FAKE_SERVICE_RUN_H
#define FAKE_SERVICE_RUN_H

#include "fake/cluster.h"
#include "fake/random.h"

/** Maximum number of backend servers of the TCP service. */
#define FAKE_SERVERS_MAX 32
/** Size of the buffer for the text of a refusal, with its NUL, bytes. */
#define FAKE_TEXT_SIZE 128

/** Idle timeout of both services, seconds. */
#define FAKE_IDLE_TIMEOUT_S 600
/** IPv4 address of backend server 0; the others follow in order. */
#define FAKE_FIRST_SERVER_ADDRESS 0xc0000201
/** Public address of the service over TCP. */
#define FAKE_SERVICE_TCP          \
	{                         \
		0xcb007101, 80, 6 \
	}
/** Public address of the service over UDP. */
#define FAKE_SERVICE_UDP           \
	{                          \
		0xcb007102, 53, 17 \
	}

/**
 * struct fake_service_config - the services and their entry instances
 * @nodes: number of entry instances; instance i is in domain i modulo the
 *         number of domains
 * @domains: number of failure domains, named a, b and c; 0 for all three
 * @servers: number of backend servers of the TCP service, named s0 and on;
 *           server i is in domain i modulo the number of domains
 * @udp_servers: number of servers of the UDP service; their indices and names
 *               follow those of the TCP service
 * @slots: slots of the servers, used in rotation; NULL for one slot each
 * @slots_count: number of @slots
 * @cap: max_connections of each server
 * @rate: max_new_per_s of each server
 * @cold_start_s: duration of each server's cold start, seconds
 * @seed: seed of the random numbers
 */
struct fake_service_config {
	uint32_t nodes;
	uint32_t domains;
	uint32_t servers;
	uint32_t udp_servers;
	const uint32_t *slots;
	uint32_t slots_count;
	uint32_t cap;
	uint32_t rate;
	uint32_t cold_start_s;
	uint64_t seed;
};

/**
 * enum fake_server_mode - how a server answers a SYN
 * @FAKE_SERVER_ANSWERS: by SYN-ACK
 * @FAKE_SERVER_RESETS: by RST
 * @FAKE_SERVER_SHEDS: by RST and SYN-ACK alternately
 * @FAKE_SERVER_SILENT: not at all
 */
enum fake_server_mode {
	FAKE_SERVER_ANSWERS,
	FAKE_SERVER_RESETS,
	FAKE_SERVER_SHEDS,
	FAKE_SERVER_SILENT,
};

/**
 * struct fake_service_flow - a connection
 * @caller: address of the caller
 * @server: index of the server that answered
 * @isn: initial sequence number of the caller
 */
struct fake_service_flow {
	struct cm_endpoint caller;
	uint32_t server;
	uint32_t isn;
};

/**
 * enum fake_connect_result - result of an attempt to connect
 * @FAKE_OPENED: the caller got SYN-ACK
 * @FAKE_REFUSED: the caller got RST
 * @FAKE_UNANSWERED: the caller got nothing
 */
enum fake_connect_result {
	FAKE_OPENED,
	FAKE_REFUSED,
	FAKE_UNANSWERED,
};

/**
 * struct fake_service_run - state of a run
 * @cluster: the nodes
 * @random: random number generator
 * @config: the services
 * @mode: how each server answers a SYN
 * @open: open connections of each server
 * @first_candidates: number of flows that had each server as their first
 *                    candidate
 * @has_reset_last: for each server of mode FAKE_SERVER_SHEDS, whether it
 * answered the last SYN by RST
 * @syns: SYNs that reached a server
 * @requests: attempts to connect
 * @opened: attempts that were answered by SYN-ACK
 * @refused: attempts that were answered by RST
 * @next_tick_ms: time of the next tick of the nodes, ms
 * @refusal_text: text of the last refusal
 */
struct fake_service_run {
	struct fake_cluster cluster;
	struct fake_random random;
	struct fake_service_config config;
	enum fake_server_mode mode[FAKE_SERVERS_MAX];
	uint32_t open[FAKE_SERVERS_MAX];
	uint32_t first_candidates[FAKE_SERVERS_MAX];
	bool has_reset_last[FAKE_SERVERS_MAX];
	uint64_t syns;
	uint64_t requests;
	uint64_t opened;
	uint64_t refused;
	uint64_t next_tick_ms;
	char refusal_text[FAKE_TEXT_SIZE];
};

/**
 * fake_service_run_init() - start the nodes and advance time until the servers
 * get flows and takeovers are over
 * @run: memory of the caller
 * @config: the services
 */
void fake_service_run_init(struct fake_service_run *run,
			   const struct fake_service_config *config);

/**
 * fake_service_run_finish() - free the nodes of a run
 * @run: the run; its memory stays the caller's
 */
void fake_service_run_finish(struct fake_service_run *run);

/**
 * fake_service_run_add() - publish a note that adds a backend server
 * @run: the run
 * @number: index of the server, from which its name and address are made
 */
void fake_service_run_add(struct fake_service_run *run, uint32_t number);

/**
 * fake_service_run_open() - connect from a new caller
 * @run: the run
 * @flow: set to the connection
 *
 * Return: the result.
 */
enum fake_connect_result fake_service_run_open(struct fake_service_run *run,
					       struct fake_service_flow *flow);

/**
 * fake_service_run_close() - reset a connection from the caller's side
 * @run: the run
 * @flow: the connection
 */
void fake_service_run_close(struct fake_service_run *run,
			    const struct fake_service_flow *flow);

/**
 * fake_service_run_until() - advance time, with a tick every 100 ms
 * @run: the run
 * @until_ms: time to advance to, ms
 */
void fake_service_run_until(struct fake_service_run *run, uint64_t until_ms);

/**
 * fake_service_run_imbalance() - ratio of the highest to the mean load per slot
 * @run: the run
 * @count: number of connections of each server
 *
 * Return: the ratio, at least 1.
 */
double fake_service_run_imbalance(const struct fake_service_run *run,
				  const uint32_t *count);

#endif
