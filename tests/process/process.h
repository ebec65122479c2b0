/**
 * DOC: Process tests
 *
 * Runs instances of the program as child processes on loopback. The test
 * process simulates the fabric, the callers, the backend servers and the
 * platform's store, and injects faults from outside the instances: signals,
 * store faults, connection faults and packet loss. All times are in
 * milliseconds of the monotonic clock.
 */
#ifndef PROCESS_PROCESS_H
#define PROCESS_PROCESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "fake/random.h"
#include "standin/platform_store.h"

/** Number of failure domains, of instances and backend servers per failure
 * domain, and of instances and backend servers in all domains. */
#define PROCESS_DOMAINS 3
#define PROCESS_INSTANCES_PER_DOMAIN 2
#define PROCESS_BUILDS 2
#define PROCESS_SERVERS_PER_DOMAIN 3
#define PROCESS_ALL_INSTANCES (PROCESS_DOMAINS * PROCESS_INSTANCES_PER_DOMAIN)
#define PROCESS_ALL_SERVERS (PROCESS_DOMAINS * PROCESS_SERVERS_PER_DOMAIN)

/** Time from the start of a drain after which the server must receive no new
 * flow, ms. */
#define PROCESS_DRAIN_MS 3000
/** Time within which an instance must exit after SIGTERM, ms. */
#define PROCESS_GRACE_MS 6000
/** Time after the end of the last fault for which failed requests and new flows
 * to draining servers are still tolerated, ms. */
#define PROCESS_SETTLE_MS 4000

/** Port on which instances and callers receive packets. */
#define PROCESS_PACKET_PORT 18172

/** Flags of a packet on the wire. */
#define PACKET_SYN 1
#define PACKET_ACK 4
#define PACKET_FIN 8
#define PACKET_RST 64
/** Size of the header of a packet, bytes. */
#define PACKET_HEADER_SIZE 32
/** Maximum size of a packet, bytes. */
#define PACKET_MAX 256
/** Size of the server id before a packet to a server, bytes. */
#define PACKET_ID_SIZE 8

/**
 * struct packet - a packet of the fabric
 * @flags: combination of PACKET_SYN, PACKET_ACK, PACKET_FIN and PACKET_RST
 * @checksum: 0 in a reset sent by an instance, another fixed value in packets
 *            of callers and servers
 * @seq: sequence number
 * @ack: acknowledgement number; in a SYN the number of its retransmission
 * @token: steering token; callers and servers return the last one received
 * @from: source address and port
 * @to: destination address and port
 * @data: payload
 * @length: size of @data, bytes
 */
struct packet {
	uint8_t flags;
	uint32_t checksum;
	uint32_t seq;
	uint32_t ack;
	uint32_t token;
	struct sockaddr_in from;
	struct sockaddr_in to;
	uint8_t data[PACKET_MAX - PACKET_HEADER_SIZE];
	uint16_t length;
};

/** packet_write() - encode a packet into @bytes, which must have room for
 * PACKET_MAX bytes; returns its size in bytes */
size_t packet_write(const struct packet *packet, uint8_t *bytes);

/** packet_read() - decode a packet; returns false when its size is wrong */
bool packet_read(struct packet *packet, const uint8_t *bytes, size_t length);

/** address() - return a loopback address of this run: 127.NET.GROUP.HOST */
struct sockaddr_in address(unsigned int group, unsigned int host,
			   uint16_t port);

/** address_set_net() - set NET of address(); concurrent runs need different
 * values */
void address_set_net(unsigned int number);

/** udp_open() - open a socket bound to an address; exits on failure */
int udp_open(const struct sockaddr_in *bound);

/** now_ms() - return the time of the monotonic clock, ms */
uint64_t now_ms(void);

/** violation() - count and print a violation */
void violation(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** violations() - return the number of violations */
int violations(void);

/* Instances of the program. */

/** instances_start() - start all instances of @program, with files in @dir.
 * With @previous, the program of another build, every second instance starts
 * with it, and each restart of an instance changes its build. */
void instances_start(const char *program, const char *previous, const char *dir,
		     uint16_t store_port);

/**
 * instances_block_log() - give an instance a full pipe as its log
 * @instance: number of the instance
 *
 * Nothing reads the pipe. Must be called before instances_start().
 */
void instances_block_log(int instance);

/** instance_metric() - read a metric of a running instance; returns 0 and
 * counts a violation on failure */
uint64_t instance_metric(int instance, const char *name);

/** instance_signal() - send a signal to an instance if it runs */
void instance_signal(int instance, int signal);

/** instance_stop() - send SIGTERM to an instance if it runs; the instance must
 * exit within PROCESS_GRACE_MS */
void instance_stop(int instance);

/** instances_check() - handle exits and due restarts of instances, and count a
 * violation for each one that exits unexpectedly or too late */
void instances_check(void);

/** instances_finish() - kill all instances */
void instances_finish(void);

/** instance_is_ready() - check whether the fabric sends packets to an instance
 */
bool instance_is_ready(int instance);

/** instance_address() - return the packet address of an instance */
struct sockaddr_in instance_address(int instance);

/** instances_watch() - start the threads that poll the instances' readiness */
void instances_watch(void);

/* Backend servers. */

/** Name of the service of all servers. */
extern const char *process_service;

/** servers_start() - start all servers and add them to the store */
void servers_start(struct platform_standin *standin);

/** servers_poll() - handle received packets and due events; does not block */
void servers_poll(void);

/** server_stop_responding() - make a server stop answering packets and health
 * probes until a new server takes over its index @slot */
void server_stop_responding(int slot);

/** server_drain() - drain a server; a new one replaces it afterwards */
void server_drain(int slot);

/** servers_fds() - store the sockets to poll in @fds; returns their number */
int servers_fds(int *fds);

/** server_restart() - crash a server, which starts again under its id without
 * its flows, @times times in succession */
void server_restart(int slot, unsigned int times);

/** server_overwrite_entry() - write @value, JSON text, under the id of a
 * server, which writes its own entry again at its next heartbeat */
void server_overwrite_entry(int slot, const char *value);

/** server_serves() - whether an instance must forward a flow with a token: its
 * server responds, and if the token is of an earlier run, holds the flow of
 * @caller */
bool server_serves(uint32_t token, const struct sockaddr_in *caller);

/** servers_count_executions() - return the number of executions of a request */
uint32_t servers_count_executions(uint32_t request);

/** servers_count_opened() - return the number of flows that the servers of a
 * failure domain, 0 for the first, have opened */
uint32_t servers_count_opened(int domain);

/** servers_register() - write the store entries of all servers again, and
 * remove those of former ones */
void servers_register(void);

/* Callers. */

/** callers_start() - open the socket of the callers */
void callers_start(struct fake_random *random);

/**
 * callers_poll() - handle received packets and timers of the callers
 * @new_requests: number of new requests to begin
 */
void callers_poll(unsigned int new_requests);

/** callers_fd() - return the socket to poll */
int callers_fd(void);

/** callers_set_loss() - set the packet loss in each direction, per mille */
void callers_set_loss(unsigned int per_mille);

/**
 * struct callers_result - results of the requests
 * @served: requests answered
 * @failed: requests that failed
 * @failed_after_faults: failed requests that began more than PROCESS_SETTLE_MS
 *                       after the end of the last fault
 * @refused: attempts that an instance reset before their flow was open
 */
struct callers_result {
	uint32_t served;
	uint32_t failed;
	uint32_t failed_after_faults;
	uint32_t refused;
};

/** callers_result() - return the results of the requests so far */
struct callers_result callers_result(void);

/** callers_are_done() - check that no request is in progress */
bool callers_are_done(void);

/* Runs. */

/** plan_put() - write a plan with a version to the store */
void plan_put(struct platform_standin *standin, unsigned int version);

/** run() - run the event loop for @ms with @per_s new requests per second */
void run(uint64_t ms, unsigned int per_s);

/**
 * struct scenario - a run with a fixed sequence of faults
 * @name: name on the command line
 * @prepare: called before the instances start; may be NULL
 * @play: injects the faults and checks the results
 */
struct scenario {
	const char *name;
	void (*prepare)(void);
	void (*play)(struct platform_standin *store);
};

/** scenario_find() - look up a scenario by name; returns NULL if not found */
const struct scenario *scenario_find(const char *name);

/* Faults. */

/** fault_extend() - record that the effects of a fault last until @ms */
void fault_extend(uint64_t ms);

/** fault_end_ms() - return the time at which the effects of all faults end */
uint64_t fault_end_ms(void);

#endif
