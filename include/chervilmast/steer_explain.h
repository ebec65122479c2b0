/**
 * DOC: Explanation of a placement
 *
 * States where an instance would place a new flow of a route now, and why: the
 * servers that may get it with the components of their costs, and the excluded
 * ones with the evidence against them. Explaining changes nothing: no server is
 * chosen, and the next choice is the one that would have been made without it.
 */
#ifndef CHERVILMAST_STEER_EXPLAIN_H
#define CHERVILMAST_STEER_EXPLAIN_H

#include "chervilmast/steer.h"

/**
 * Maximum number of candidates, and of excluded servers, that an explanation
 * lists for each service.
 */
#define CM_EXPLAIN_ROWS_MAX 64

/*
 * X(constant, name, source of the evidence)
 *
 * Why a server may not get a new flow, in the order in which the reasons are
 * examined. CM_EXCLUDED_UNKNOWN stands for a server that has no place in its
 * pool for lack of memory. docs/OPERATIONS.md explains each name.
 */
#define CM_EXCLUSIONS(X)                               \
	X(LEFT, "left", "registry")                    \
	X(DRAINING, "draining", "registry")            \
	X(DOMAIN_OUT, "domain_out", "operator")        \
	X(LAPSED, "lapsed", "registry")                \
	X(UNKNOWN, "unknown", "none")                  \
	X(AVOIDED, "avoided", "argument")              \
	X(REPORTED, "reported_silent", "report")       \
	X(SUSPECTED, "suspected", "own_syn")           \
	X(DOMAIN_SUSPECT, "domain_suspect", "own_syn") \
	X(COLD, "cold_start_rate", "own_flows")        \
	X(TOKEN, "shared_token", "registry")

/**
 * enum cm_exclusion - why a server may not get a new flow; CM_EXCLUDED_NOT when
 * it may
 */
enum cm_exclusion {
	CM_EXCLUDED_NOT,
#define CM_EXCLUSION_ENUM(constant, name, evidence) CM_EXCLUDED_##constant,
	CM_EXCLUSIONS(CM_EXCLUSION_ENUM)
#undef CM_EXCLUSION_ENUM
};

/**
 * struct cm_explained_cost - components of the cost of a server, in thousandths
 * of the cost of an idle server
 * @total: the cost, which is the sum of the others
 * @idle: cost of an idle server
 * @load: cost of its open flows
 * @slowness: cost of a service time above the mean
 * @failures: cost of failed flows or of an ejection
 * @unproven: cost of no recent answer, for a flow whose last SYN got no answer
 * @other_domain: cost of another failure domain, and of the congestion of the
 *                server's domain
 * @cold_start: cost of its cold start
 */
struct cm_explained_cost {
	uint64_t total;
	uint64_t idle;
	uint64_t load;
	uint64_t slowness;
	uint64_t failures;
	uint64_t unproven;
	uint64_t other_domain;
	uint64_t cold_start;
};

/**
 * struct cm_explained_server - a server in an explanation
 * @id: id of the server
 * @token: its token
 * @domain: its failure domain
 * @address: where it receives datagrams
 * @open_flows: flows of this instance that are open there
 * @is_full: it has as many flows as it can serve without a long wait
 * @cost: its cost; valid for a candidate
 * @exclusion: why it may not get the flow
 * @has_age: whether @age_ms is known
 * @age_ms: age of the evidence for @exclusion, ms
 */
struct cm_explained_server {
	uint64_t id;
	uint32_t token;
	char domain[CM_NAME_SIZE];
	struct cm_endpoint address;
	uint32_t open_flows;
	bool is_full;
	struct cm_explained_cost cost;
	enum cm_exclusion exclusion;
	bool has_age;
	uint64_t age_ms;
};

/**
 * struct cm_explained_service - a service that the route sends flows to
 * @name: name of the service
 * @weight: relative share of the route's flows
 * @verdict: what would be done with the SYN, and why
 * @mean_flow_ms: mean duration of its flows, ms; 0 when not known
 * @is_busy: it has as many flows as it can serve without a long wait
 * @candidate_count: number of servers that may get the flow
 * @candidates: those of least cost, the cheapest first
 * @excluded_count: number of servers that may not
 * @excluded: some of them, by reason and id
 */
struct cm_explained_service {
	char name[CM_NAME_SIZE];
	uint32_t weight;
	struct cm_steer_verdict verdict;
	uint32_t mean_flow_ms;
	bool is_busy;
	uint32_t candidate_count;
	struct cm_explained_server candidates[CM_EXPLAIN_ROWS_MAX];
	uint32_t excluded_count;
	struct cm_explained_server excluded[CM_EXPLAIN_ROWS_MAX];
};

/**
 * struct cm_explanation - where a new flow of a route would be placed
 * @route: address of the route
 * @avoid_token: token of the server that did not answer the flow's last SYN; 0
 *               for none
 * @domain: the instance's failure domain
 * @plan_version: version of the plan in force; 0 for none
 * @registry_age_ms: age of the registry data, ms
 * @has_registry_data: whether the registry has answered so far
 * @is_registry_unreachable: the registry can't be reached
 * @objective_ms: latency objective of the route, ms; 0 for none
 * @traits: properties of the route's requests
 * @verdict: what would be done with the SYN when there is no plan
 * @service_count: number of @services; 0 without a plan
 * @services: the services that the route sends flows to
 */
struct cm_explanation {
	struct cm_endpoint route;
	uint32_t avoid_token;
	char domain[CM_NAME_SIZE];
	uint64_t plan_version;
	uint64_t registry_age_ms;
	bool has_registry_data;
	bool is_registry_unreachable;
	uint32_t objective_ms;
	struct cm_route_traits traits;
	struct cm_steer_verdict verdict;
	uint32_t service_count;
	struct cm_explained_service services[CM_ROUTE_TARGETS_MAX];
};

/**
 * cm_exclusion_name() - name of an exclusion
 * @exclusion: the exclusion
 *
 * Return: a static string, as in "draining"; "none" for CM_EXCLUDED_NOT.
 */
const char *cm_exclusion_name(enum cm_exclusion exclusion);

/**
 * cm_exclusion_evidence() - source of the evidence for an exclusion
 * @exclusion: the exclusion
 *
 * Return: a static string, as in "registry"; "none" for CM_EXCLUDED_NOT.
 */
const char *cm_exclusion_evidence(enum cm_exclusion exclusion);

/**
 * cm_steer_explain() - explain where a new flow would be placed
 * @steer: the instance
 * @now_ms: current time, ms
 * @route: address of the route
 * @avoid_token: token of the server that did not answer the flow's first SYN,
 *               to explain the second SYN; 0 to explain a first SYN
 * @explanation: set on success
 *
 * Return: 0, CM_E_UNKNOWN_ROUTE when the plan has no such route,
 * CM_E_UNKNOWN_SERVER when no server has @avoid_token, or CM_E_MEMORY.
 */
int cm_steer_explain(struct cm_steer *steer, uint64_t now_ms,
		     const struct cm_endpoint *route, uint32_t avoid_token,
		     struct cm_explanation *explanation);

#endif
