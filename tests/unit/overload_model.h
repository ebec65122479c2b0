/**
 * DOC: Callers, instances and backend servers under overload, for tests
 *
 * Instances of up to three failure domains steer the flows of two routes to the
 * servers of one service. Callers of a domain reach its own instances only,
 * which may place flows in any domain. The urgent route has per-request flows
 * and priority 1, the bulk route long flows and priority 2. Callers repeat SYNs
 * and data packets, give up at their deadline and retry failed requests twice.
 * A server processes one request per slot, queues 8 more and rejects the
 * others. Packets take no time, and none is lost.
 */
#ifndef UNIT_OVERLOAD_MODEL_H
#define UNIT_OVERLOAD_MODEL_H

#include "chervilmast/steer.h"

/** Maximum number of instances. */
#define OVERLOAD_INSTANCES_MAX 24
/** Number of servers. */
#define OVERLOAD_SERVERS 20
/** Slots of a server. */
#define OVERLOAD_SLOTS 2
/** Maximum number of failure domains. */
#define OVERLOAD_DOMAINS_MAX 3

/** enum overload_route - index of a route */
enum overload_route { OVERLOAD_URGENT, OVERLOAD_BULK, OVERLOAD_ROUTES };

/**
 * struct overload_result - what the callers of a route got
 * @requests: requests that started
 * @served: requests that were answered
 * @in_time: requests that were answered within the objective
 */
struct overload_result {
	uint32_t requests;
	uint32_t served;
	uint32_t in_time;
};

/**
 * struct overload_totals - what the model counted since the last
 * overload_begin_period()
 * @routes: results by route, for requests that started in the period
 * @domains: the same by the failure domain of the callers
 * @arrivals: requests that reached a server
 * @rejected: requests that a server rejected
 * @useful_ms: work of the requests that were answered within the objective, ms
 */
struct overload_totals {
	struct overload_result routes[OVERLOAD_ROUTES];
	struct overload_result domains[OVERLOAD_DOMAINS_MAX][OVERLOAD_ROUTES];
	uint32_t arrivals;
	uint32_t rejected;
	uint64_t useful_ms;
};

/** overload_setup() - start @count instances and the servers; @listed
 * instances are in the registry, and without @with_priorities both routes have
 * the same priority, so that requests are not admitted by priority */
void overload_setup(uint32_t count, uint32_t listed, bool with_priorities,
		    uint64_t seed);

/** overload_setup_domains() - start @count instances and the servers, spread
 * evenly over @domains failure domains */
void overload_setup_domains(uint32_t domains, uint32_t count, uint64_t seed);

/** overload_teardown() - free everything */
void overload_teardown(void);

/** overload_run() - run for @ms with a demand for @load_percent of the slots */
void overload_run(uint32_t ms, uint32_t load_percent);

/** overload_run_domains() - run for @ms; the demand of the callers of each
 * failure domain is given in percent of the slots of its servers */
void overload_run_domains(uint32_t ms, const uint32_t *load_percents);

/** overload_begin_period() - set the totals to 0; requests that started before
 * no longer count */
void overload_begin_period(void);

/** overload_totals() - totals of the period */
const struct overload_totals *overload_totals(void);

/** overload_print() - print the totals of the period */
void overload_print(const char *what);

/** overload_counter() - sum of a counter over the instances */
uint64_t overload_counter(enum cm_counter counter);

/** overload_refused() - packets that admission deferred, dropped or reset */
uint64_t overload_refused(void);

/** overload_is_overloaded() - whether an instance is in the overload state */
bool overload_is_overloaded(void);

/** overload_lose_domain() - stop the servers of a failure domain; the registry
 * drops them at once */
void overload_lose_domain(uint32_t domain);

/** overload_lose_servers() - stop @count servers; the registry drops them at
 * once, and their requests are never answered */
void overload_lose_servers(uint32_t count);

/** overload_lose_instance() - stop the last instance; with @is_listed, the
 * registry still lists it */
void overload_lose_instance(bool is_listed);

/** overload_pause_instance() - keep the packets of instance 0 waiting for
 * @ms */
void overload_pause_instance(uint32_t ms);

#endif
