/**
 * DOC: Runs of the real program among stand-ins
 *
 * One process plays the fabric, the callers, the backend servers and the
 * platform's store on loopback, starts instances of the program as processes of
 * their own, and injects faults from outside them. All times are milliseconds
 * of one clock.
 */
#ifndef PROCESS_PROCESS_H
#define PROCESS_PROCESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "fake/random.h"
#include "standin/platform_store.h"

/** Failure domains, and instances and backend servers in each. */
#define PROCESS_DOMAINS 3
#define PROCESS_INSTANCES 2
#define PROCESS_SERVERS 3
#define PROCESS_ALL_INSTANCES (PROCESS_DOMAINS * PROCESS_INSTANCES)
#define PROCESS_SLOTS (PROCESS_DOMAINS * PROCESS_SERVERS)

/** Bounds that the program is held to, ms. */
#define PROCESS_DRAIN_MS 3000
#define PROCESS_GRACE_MS 6000
/** Time after a fault after which bounds hold again, ms. */
#define PROCESS_CALM_MS 4000

/** Port at which instances and callers take packets. */
#define PROCESS_PACKET_PORT 18172

/** Flags of a packet, as on the wire. */
#define PACKET_SYN 1
#define PACKET_ACK 4
#define PACKET_FIN 8
#define PACKET_RST 64
/** Bytes of a packet's head. */
#define PACKET_HEAD 32
/** Room for a packet. */
#define PACKET_MAX 256
/** Bytes of the id that goes before a packet to a server. */
#define PACKET_ID 8

/**
 * struct packet - a packet of the fabric
 * @flags: PACKET_SYN and others
 * @sum: sum of the sender; 0 in a reset of the program
 * @seq: sequence number
 * @ack: acknowledgement; in a SYN the copies sent before
 * @echo: the token
 * @from: sender's end
 * @to: receiver's end
 * @data: what it carries
 * @length: bytes of @data
 */
struct packet {
	uint8_t flags;
	uint32_t sum;
	uint32_t seq;
	uint32_t ack;
	uint32_t echo;
	struct sockaddr_in from;
	struct sockaddr_in to;
	uint8_t data[PACKET_MAX - PACKET_HEAD];
	uint16_t length;
};

/** packet_write() - write a packet; returns its bytes */
size_t packet_write(const struct packet *packet, uint8_t *bytes);

/** packet_read() - read a packet; false when it is too short */
bool packet_read(struct packet *packet, const uint8_t *bytes, size_t length);

/** address() - a loopback address of this run: 127.NET.GROUP.HOST */
struct sockaddr_in address(unsigned int group, unsigned int host,
			   uint16_t port);

/** address_set_net() - network of this run, so that two can run at once */
void address_set_net(unsigned int number);

/** udp_open() - a socket bound to an address; ends the program on failure */
int udp_open(const struct sockaddr_in *bound);

/** now_ms() - the clock */
uint64_t now_ms(void);

/** violation() - count and print a broken promise */
void violation(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** violations() - how many there were */
int violations(void);

/* Instances of the program. */

/** instances_start() - start all; @program is the binary, @dir for files */
void instances_start(const char *program, const char *dir, uint16_t store_port);

/** instances_block_log() - nobody reads the log of an instance, whose pipe is
 * full; before instances_start() */
void instances_block_log(int instance);

/** instance_metric() - value of a metric of an instance that runs */
uint64_t instance_metric(int instance, const char *name);

/** instance_signal() - send a signal to an instance that runs */
void instance_signal(int instance, int signal);

/** instance_stop() - ask an instance to stop; it has to end in time */
void instance_stop(int instance);

/** instances_check() - notice ends, start again what is due */
void instances_check(void);

/** instances_finish() - end all that were started */
void instances_finish(void);

/** instance_ready() - whether the fabric gives packets to an instance */
bool instance_ready(int instance);

/** instance_address() - where an instance takes packets */
struct sockaddr_in instance_address(int instance);

/** instances_watch() - start to ask instances whether they are ready */
void instances_watch(void);

/* Backend servers. */

/** servers_start() - start all and enter them in the store */
void servers_start(struct platform_standin *standin);

/** servers_poll() - handle what came; never waits */
void servers_poll(void);

/** server_go_dark() - a server falls silent for good; another one comes later
 */
void server_go_dark(int slot);

/** server_drain() - a server drains, and is replaced */
void server_drain(int slot);

/** servers_fds() - sockets to wait on; returns their number */
int servers_fds(int *fds);

/** server_runs() - times that a request was run */
uint32_t server_runs(uint32_t request);

/* Callers. */

/** callers_start() - open their socket */
void callers_start(struct fake_random *random);

/** callers_poll() - handle what came and what is due; begins @count requests */
void callers_poll(unsigned int count);

/** callers_fd() - socket to wait on */
int callers_fd(void);

/** callers_drop() - share of packets that are lost both ways, per mille */
void callers_drop(unsigned int per_mille);

/**
 * struct callers_result - what came of requests
 * @served: answered
 * @failed: given up
 * @late_failed: of these, begun in calm
 * @refused: attempts that were reset before the flow was open
 */
struct callers_result {
	uint32_t served;
	uint32_t failed;
	uint32_t late_failed;
	uint32_t refused;
};

/** callers_result() - what came of the requests so far */
struct callers_result callers_result(void);

/** callers_are_done() - no request is in progress */
bool callers_are_done(void);

/* Runs. */

/** run() - let @ms pass, with @per_s new requests a second */
void run(uint64_t ms, unsigned int per_s);

/**
 * struct scenario - a run without drawn faults
 * @name: its name
 * @prepare: called before the instances start; may be NULL
 * @play: injects what it is about and judges what came of it
 */
struct scenario {
	const char *name;
	void (*prepare)(void);
	void (*play)(struct platform_standin *store);
};

/** scenario_find() - the scenario of a name, or NULL */
const struct scenario *scenario_find(const char *name);

/* Faults. */

/** fault_at() - note that something is disturbed now */
void fault_at(uint64_t ms);

/** calm_since() - when the last disturbance ended */
uint64_t calm_since(void);

#endif
