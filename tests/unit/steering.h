/**
 * DOC: A node that steers by token, for tests
 *
 * The plan has one route, 198.18.0.1:443, to the service "ledger". Servers are
 * in the failure domains "a", which is the node's own, and "b".
 */
#ifndef UNIT_STEERING_H
#define UNIT_STEERING_H

#include "chervilmast/steer.h"

/** Maximum number of flows that the node tracks. */
#define STEERING_FLOWS_MAX 128
/** Time at which a test begins, ms. */
#define STEERING_START_MS 100000
/** Value of domain_out_ms, ms. */
#define STEERING_DOMAIN_OUT_MS 4500
/** Value of registry_fresh_ms, ms. */
#define STEERING_REGISTRY_FRESH_MS 3000
/** Value of lapse_grace_ms, ms. */
#define STEERING_LAPSE_GRACE_MS 2500
/** Value of flow_life_ms, ms. */
#define STEERING_FLOW_LIFE_MS 60000

/** First acknowledgment number of callers; the numbers wrap around within an
 * answer of STEERING_ANSWER_BYTES. */
#define STEERING_FIRST_ACK 0xfffffff0U
/** Size of a successful answer, bytes. */
#define STEERING_ANSWER_BYTES 1000

/** The route's address. */
extern const struct cm_endpoint steering_route;

/** The node under test. */
extern struct cm_steer steering;
/** Current time of the test, ms. */
extern uint64_t steering_ms;

/** steering_setup() - start the node without a plan or servers */
void steering_setup(void);

/** steering_teardown() - free the node */
void steering_teardown(void);

/** steering_set_plan() - put a plan with the route in force */
void steering_set_plan(uint64_t version, uint32_t cold_per_s);

/** steering_set_plan_with_objective() - put a plan with the route and a latency
 * objective in force */
void steering_set_plan_with_objective(uint64_t version, uint32_t objective_ms);

/**
 * steering_make_entry() - registry entry of server @id in @domain, with two
 *                         slots
 */
struct cm_server_entry steering_make_entry(uint64_t id, const char *domain);

/** steering_add_server() - add server @id in @domain from its registry entry */
void steering_add_server(uint64_t id, const char *domain);

/** steering_make_ready() - make the node ready by a plan, @count servers in
 * each failure domain, an answer of the registry and a successful probe; the
 * ids of the servers count from 1 in "a" and from 101 in "b" */
void steering_make_ready(uint32_t count);

/** steering_send_syn() - pass a SYN of the caller at @port, which states that
 * @repeats SYNs of the flow were sent before it */
struct cm_steer_verdict steering_send_syn(uint16_t port, uint32_t repeats);

/** steering_send_delayed_syn() - as steering_send_syn(), for a SYN that may
 * have waited @waited_ms in the receive queue */
struct cm_steer_verdict
steering_send_delayed_syn(uint16_t port, uint32_t repeats, uint32_t waited_ms);

/** steering_send_packet() - pass a packet other than a SYN of the caller at
 * @port */
struct cm_steer_verdict steering_send_packet(uint16_t port, uint32_t token,
					     uint8_t flags);

/** steering_send_data() - pass a data packet of the caller at @port, which has
 * acknowledged @bytes of the answer */
void steering_send_data(uint16_t port, uint32_t token, uint32_t bytes);

/** steering_end_flow() - end the flow of the caller at @port, which has
 * acknowledged @bytes of the answer */
void steering_end_flow(uint16_t port, uint32_t token, uint32_t bytes);

/** steering_run_flow() - open a flow of the caller at @port and end it after
 * @duration_ms; returns the id of its server */
uint64_t steering_run_flow(uint16_t port, uint32_t duration_ms);

/** steering_advance() - advance the time by @ms; ticks the node every 25 ms,
 * and the registry answers before each tick unless it is unreachable */
void steering_advance(uint64_t ms);

/**
 * steering_pause() - advance the time by @ms without a tick, as if the process
 *                    were paused; the registry answers at the end unless it is
 *                    unreachable
 */
void steering_pause(uint64_t ms);

/** steering_counter() - value of a counter */
uint64_t steering_counter(enum cm_counter counter);

#endif
