/**
 * DOC: Simulated callers, backend servers and the fabric
 *
 * Callers send requests to the backend servers of a catalog. The fabric
 * delivers every packet of callers and servers to a random live instance. The
 * owner passes in the time and the packets that instances send, and provides a
 * callback that delivers packets to instances. The world checks that answers
 * are complete and come from the right service, and counts how often the
 * servers ran each request.
 */
#ifndef FAKE_WORLD_H
#define FAKE_WORLD_H

#include <sys/queue.h>

#include "chervilmast/catalog.h"
#include "fake/load.h"
#include "fake/random.h"
#include "fake/tcp_end.h"

/** Maximum number of instances that the fabric delivers packets to. */
#define FAKE_INSTANCES_MAX 64
/** Upper bound of request ids in one run; size of arrays indexed by id. */
#define FAKE_REQUESTS_MAX 1000000

struct fake_world;
struct fake_host;

/**
 * struct fake_request - a request as sent on the wire
 * @id: identifies the request; used to count how often it ran
 * @service: public address of the requested service
 * @answer_size: size of the answer's body, bytes
 */
struct fake_request {
	uint64_t id;
	uint32_t service;
	uint32_t answer_size;
};

/**
 * struct fake_connection - a connection of a backend server
 * @end: server's TCP endpoint; must stay the first member
 * @link: entry in the host's list of connections
 * @host: the backend server
 * @request: the request
 * @request_received: bytes of @request received so far
 * @sent: bytes of the answer's body passed to @end
 * @next_portion_ms: time at which to pass the next portion to @end, ms; 0 for
 * never
 * @silent_until_ms: time before which the server sends nothing, ms
 */
struct fake_connection {
	struct fake_tcp_end end;
	LIST_ENTRY(fake_connection) link;
	struct fake_host *host;
	struct fake_request request;
	size_t request_received;
	size_t sent;
	uint64_t next_portion_ms;
	uint64_t silent_until_ms;
};

/** Delay of the reports of FAKE_MISREPORT_LAG, in reports. */
#define FAKE_REPORT_LAG 4

/**
 * enum fake_misreport - fault in the load reports of a backend server
 * @FAKE_MISREPORT_NONE: reports are correct
 * @FAKE_MISREPORT_HIGH: always reports full capacity
 * @FAKE_MISREPORT_LOW: always reports 1 % of its capacity
 * @FAKE_MISREPORT_LAG: reports the state of FAKE_REPORT_LAG reports ago
 * @FAKE_MISREPORT_SILENT: sends no report
 * @FAKE_MISREPORT_MISTYPED: reports a value that is not a percentage
 * @FAKE_MISREPORT_COUNT: number of values
 */
enum fake_misreport {
	FAKE_MISREPORT_NONE,
	FAKE_MISREPORT_HIGH,
	FAKE_MISREPORT_LOW,
	FAKE_MISREPORT_LAG,
	FAKE_MISREPORT_SILENT,
	FAKE_MISREPORT_MISTYPED,
	FAKE_MISREPORT_COUNT,
};

/**
 * struct fake_host - a backend server
 * @world: the world
 * @address: its address
 * @service: public address of its service
 * @domain: name of its failure domain
 * @connections: its connections
 * @accepted: connections accepted so far
 * @is_frozen: the server is not scheduled and handles nothing
 * @load: its new connections and their bounds
 * @cold_until_ms: end of a cold start begun by fake_host_begin_cold_start(), ms
 * @cold_max_new_per_s: new connections per second that the server can take
 * until
 *              @cold_until_ms; 0 for the limit of fake_load_rate_max()
 * @cold_answer_ms: delay of its answers to SYNs until @cold_until_ms, ms
 * @leaving_from_ms: time from which it must get no new connection, ms; 0 for
 * never
 * @resets_all_syns: refuses every new connection by RST
 * @shed_threshold: number of open connections from which it refuses new ones by
 *                  RST; 0 for none
 * @reset_syns: number of SYNs answered by RST
 * @misreport: fault in its reports
 * @past_percents: ring of the correct values of its last reports, percent
 * @reports: number of reports so far
 */
struct fake_host {
	struct fake_world *world;
	struct cm_endpoint address;
	struct cm_endpoint service;
	char domain[CM_NAME_SIZE];
	LIST_HEAD(, fake_connection) connections;
	uint64_t accepted;
	bool is_frozen;
	struct fake_load load;
	uint64_t cold_until_ms;
	uint32_t cold_max_new_per_s;
	uint32_t cold_answer_ms;
	uint64_t leaving_from_ms;
	bool resets_all_syns;
	uint32_t shed_threshold;
	uint64_t reset_syns;
	enum fake_misreport misreport;
	uint32_t past_percents[FAKE_REPORT_LAG];
	uint64_t reports;
};

/**
 * struct fake_caller - a caller
 * @end: its TCP endpoint; must stay the first member
 * @world: the world
 * @address: its address; the port grows by one with each connection
 * @is_busy: a request is under way
 * @request: the current request
 * @received: bytes of the answer received so far, including its header
 * @header: header of the answer, a copy of the request
 * @next_request_ms: time at which to begin the next request, ms
 * @begun_ms: time at which the current request began, ms
 * @deadline_ms: time at which the current request fails, ms
 * @is_server_lost: the server of the current request crashed, or the server's
 *               failure domain was taken out
 */
struct fake_caller {
	struct fake_tcp_end end;
	struct fake_world *world;
	struct cm_endpoint address;
	bool is_busy;
	struct fake_request request;
	size_t received;
	struct fake_request header;
	uint64_t next_request_ms;
	uint64_t begun_ms;
	uint64_t deadline_ms;
	bool is_server_lost;
};

/**
 * enum fake_failure - how a request failed
 * @FAKE_FAILURE_WRONG_ANSWER: the answer was wrong
 * @FAKE_FAILURE_CLOSED_EARLY: the server closed before the answer was complete
 * @FAKE_FAILURE_RESET: the connection was reset for a reason other than
 *                      @FAKE_FAILURE_DOMAIN_OUT
 * @FAKE_FAILURE_DOMAIN_OUT: the connection was reset because the server's
 * failure domain was taken out
 * @FAKE_FAILURE_DEADLINE: the answer was not complete by the deadline
 */
enum fake_failure {
	FAKE_FAILURE_WRONG_ANSWER,
	FAKE_FAILURE_CLOSED_EARLY,
	FAKE_FAILURE_RESET,
	FAKE_FAILURE_DOMAIN_OUT,
	FAKE_FAILURE_DEADLINE,
};

/**
 * struct fake_totals - results of the requests
 * @requests: requests begun
 * @answered: requests with a complete and correct answer
 * @refused_not_run: requests that were refused with "not-run=1"
 * @given_up: requests reset because a failure domain was taken out
 * @broken: requests that failed otherwise
 * @wrong_service: requests or answers that belong to another service
 * @executed_twice: requests that ran more than once
 * @false_not_run: requests that were refused with "not-run=1" but ran
 * @domain_out_packets: packets to a failure domain after it was taken out
 * @leaving_accepts: new connections of servers whose @leaving_ms has passed
 * @over_cap: new connections of servers that already had fake_load_open_max()
 *            open ones
 * @over_rate: new connections beyond fake_load_rate_max() in one second; only
 *             announced cold starts reduce that bound
 * @collapses: crashes of cold servers that got more new connections than they
 *             can take
 */
struct fake_totals {
	uint64_t requests;
	uint64_t answered;
	uint64_t refused_not_run;
	uint64_t given_up;
	uint64_t broken;
	uint64_t wrong_service;
	uint64_t executed_twice;
	uint64_t false_not_run;
	uint64_t domain_out_packets;
	uint64_t leaving_accepts;
	uint64_t over_cap;
	uint64_t over_rate;
	uint64_t collapses;
};

/**
 * struct fake_world - callers, backend servers and fabric
 * @to_instance: callback that delivers a packet to an instance
 * @failed: callback for a failed request; may be NULL
 * @user: argument for @to_instance and @failed
 * @random: random number generator
 * @now_ms: current time, ms
 * @services: public addresses of the services
 * @service_count: number of @services
 * @hosts: backend servers
 * @host_count: number of @hosts
 * @callers: callers
 * @caller_count: number of @callers
 * @instance_live: whether the fabric delivers packets to each instance
 * @instance_count: number of instances
 * @run_counts: how often each request ran, indexed by request id
 * @refused_not_run: whether each request was refused with "not-run=1", indexed
 *                   by request id
 * @next_id: id of the next request
 * @is_stopping: callers begin no more requests
 * @long_answer_percent: share of requests for a long answer, percent
 * @domain_out: name of the failure domain that is taken out; empty for none
 * @domain_out_grace_end_ms: time from which @domain_out must get no packets, ms
 * @last_domain_out_packet_ms: time of the last packet to @domain_out, ms
 * @homes_agreed: all instances agree on the home of every server, as there was
 *                no recent fault; set by the owner; selects the stricter bounds
 *                of struct fake_load
 * @totals: results of the requests
 */
struct fake_world {
	void (*to_instance)(void *user, uint32_t instance, const uint8_t *bytes,
			    size_t length);
	void (*failed)(void *user, const struct fake_caller *caller,
		       enum fake_failure failure);
	void *user;
	struct fake_random random;
	uint64_t now_ms;
	struct cm_endpoint *services;
	uint32_t service_count;
	struct fake_host *hosts;
	uint32_t host_count;
	struct fake_caller *callers;
	uint32_t caller_count;
	bool instance_live[FAKE_INSTANCES_MAX];
	uint32_t instance_count;
	uint8_t *run_counts;
	uint8_t *refused_not_run;
	uint64_t next_id;
	bool is_stopping;
	uint32_t long_answer_percent;
	char domain_out[CM_NAME_SIZE];
	uint64_t domain_out_grace_end_ms;
	uint64_t last_domain_out_packet_ms;
	bool homes_agreed;
	struct fake_totals totals;
};

/**
 * fake_world_init() - initialize a world
 * @world: memory of the caller
 * @catalog: its services and backend servers; copied
 * @instances: number of entry instances
 * @callers: number of callers
 * @seed: seed of the random numbers
 * @now_ms: current time, ms
 */
void fake_world_init(struct fake_world *world, const struct cm_catalog *catalog,
		     uint32_t instances, uint32_t callers, uint64_t seed,
		     uint64_t now_ms);

/**
 * fake_world_finish() - free the callers and servers of a world
 * @world: the world; its memory stays the caller's
 */
void fake_world_finish(struct fake_world *world);

/**
 * fake_world_tick() - run the timers of callers and servers
 * @world: the world
 * @now_ms: current time, ms
 */
void fake_world_tick(struct fake_world *world, uint64_t now_ms);

/**
 * fake_world_receive_from_instance() - handle a packet that an instance sent;
 * drop it if it is malformed or its destination is no caller or server
 * @world: the world
 * @bytes: the packet
 * @length: length of the packet, in bytes
 */
void fake_world_receive_from_instance(struct fake_world *world, uint8_t *bytes,
				      size_t length);

/**
 * fake_world_send_to_any_instance() - deliver a packet to a random live
 * instance; drop it if there is none
 * @world: the world
 * @bytes: the packet
 * @length: length of the packet, in bytes
 */
void fake_world_send_to_any_instance(struct fake_world *world,
				     const uint8_t *bytes, size_t length);

/**
 * fake_world_is_idle() - whether no request is under way
 * @world: the world
 *
 * Return: true if so.
 */
bool fake_world_is_idle(const struct fake_world *world);

/**
 * fake_world_count_executions() - count @executed_twice and @false_not_run of
 * struct fake_totals
 * @world: the world, at the end of the run
 */
void fake_world_count_executions(struct fake_world *world);

/**
 * fake_answer_byte() - a byte of the correct answer
 * @request: the request
 * @at: offset in the body
 *
 * Return: the byte.
 */
uint8_t fake_answer_byte(const struct fake_request *request, size_t at);

/**
 * fake_host_input() - handle a packet for a backend server
 * @host: the server
 * @packet: the packet
 */
void fake_host_input(struct fake_host *host, const struct cm_packet *packet);

/**
 * fake_host_tick() - send the data and retransmissions of a server that are
 * due, and free its closed connections
 * @host: the server
 */
void fake_host_tick(struct fake_host *host);

/**
 * fake_host_mark_server_lost() - set @server_lost on all callers of a server
 * @host: the server, which crashes or whose failure domain is taken out
 */
void fake_host_mark_server_lost(struct fake_host *host);

/**
 * fake_host_kill() - free all connections without FIN or RST, as in a crash
 * @host: the server; sets @server_lost on its callers
 */
void fake_host_kill(struct fake_host *host);

/**
 * fake_host_begin_cold_start() - begin a cold start that no release note
 * announces
 * @host: the server; its connections stay open but no longer count towards
 *        the bounds of new connections
 * @ms: duration of the cold start, ms
 */
void fake_host_begin_cold_start(struct fake_host *host, uint64_t ms);

/**
 * fake_host_report() - make a load report of a server
 * @host: the server
 * @percent: set to the share of its rate and cap that it reports, percent
 *
 * Return: false when the server sends no report.
 */
bool fake_host_report(struct fake_host *host, uint32_t *percent);

/**
 * fake_caller_input() - handle a packet for a caller
 * @caller: the caller
 * @packet: the packet
 */
void fake_caller_input(struct fake_caller *caller,
		       const struct cm_packet *packet);

/**
 * fake_caller_tick() - run the retransmissions, deadline and next request of a
 * caller
 * @caller: the caller
 */
void fake_caller_tick(struct fake_caller *caller);

/**
 * fake_caller_init() - initialize a caller
 * @caller: the caller, zeroed
 * @world: the world
 * @address: address of the caller
 */
void fake_caller_init(struct fake_caller *caller, struct fake_world *world,
		      const struct cm_endpoint *address);

#endif
