/**
 * DOC: Plan of an instance that steers by token
 *
 * One version of the operators' configuration: the services to which the flows
 * of each public address are routed, and the settings of the services. A
 * complete plan is sealed, that is sorted and checked for duplicates; after
 * that only its version may change.
 */
#ifndef CHERVILMAST_STEER_PLAN_H
#define CHERVILMAST_STEER_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chervilmast/flow_key.h"
#include "chervilmast/note.h"

/** Number of targets that struct cm_steer_route has room for. */
#define CM_ROUTE_TARGETS_MAX 8

/**
 * struct cm_route_target - a service to which a route sends flows
 * @service: name of the service
 * @weight: relative share of the route's flows
 */
struct cm_route_target {
	char service[CM_NAME_SIZE];
	uint32_t weight;
};

/**
 * enum cm_route_kind - kind of the requests of a route
 * @CM_ROUTE_OTHER: not known, so that a request must not run twice
 * @CM_ROUTE_IDEMPOTENT: idempotent requests
 * @CM_ROUTE_NON_IDEMPOTENT: requests that must not run twice
 * @CM_ROUTE_DOWNLOAD: idempotent requests with large responses
 * @CM_ROUTE_UPLOAD: large requests that must not run twice
 */
enum cm_route_kind {
	CM_ROUTE_OTHER,
	CM_ROUTE_IDEMPOTENT,
	CM_ROUTE_NON_IDEMPOTENT,
	CM_ROUTE_DOWNLOAD,
	CM_ROUTE_UPLOAD,
};

/**
 * struct cm_route_traits - properties of the requests of a route
 * @kind: kind of the requests
 * @priority: priority under overload; 0 is the highest
 * @timeout_ms: time after which a caller gives up a request, ms; 0 when not
 *              known
 */
struct cm_route_traits {
	enum cm_route_kind kind;
	uint32_t priority;
	uint32_t timeout_ms;
};

/**
 * struct cm_steer_route - a route to be added to a plan; a plan stores it as
 * struct cm_plan_route and struct cm_plan_target
 * @address: public address that callers send to
 * @objective_ms: latency objective of requests, ms; 0 when none is set
 * @traits: properties of its requests
 * @target_count: number of @targets
 * @targets: the services to which the route sends flows; further ones are added
 *           by cm_steer_plan_add_target()
 */
struct cm_steer_route {
	struct cm_endpoint address;
	uint32_t objective_ms;
	struct cm_route_traits traits;
	uint32_t target_count;
	struct cm_route_target targets[CM_ROUTE_TARGETS_MAX];
};

/**
 * struct cm_plan_route - a route as a plan stores it
 * @address: public address that callers send to
 * @objective_ms: latency objective of requests, ms; 0 when none is set
 * @traits: properties of its requests
 * @target_count: number of its targets
 * @first_target: index of its first target in @targets of the plan
 */
struct cm_plan_route {
	struct cm_endpoint address;
	uint32_t objective_ms;
	struct cm_route_traits traits;
	uint32_t target_count;
	uint32_t first_target;
};

/**
 * struct cm_plan_target - a target of a route as a plan stores it
 * @name_index: index of the service's name in @names of the plan
 * @weight: relative share of the route's flows
 */
struct cm_plan_target {
	uint32_t name_index;
	uint32_t weight;
};

/**
 * struct cm_plan_name - name of a service that is a target of a route
 * @text: the name
 */
struct cm_plan_name {
	char text[CM_NAME_SIZE];
};

/**
 * struct cm_steer_service - settings of a service
 * @name: name of the service
 * @cold_per_s: maximum rate of new flows to one of its servers during the
 *              server's cold start, flows/s; 0 for no limit
 */
struct cm_steer_service {
	char name[CM_NAME_SIZE];
	uint32_t cold_per_s;
};

/**
 * struct cm_steer_plan - one version of the operators' configuration
 * @version: increases from plan to plan
 * @routes: the routes, sorted by address once sealed
 * @route_count: number of @routes
 * @targets: the targets of all routes
 * @target_count: number of @targets
 * @target_capacity: allocated length of @targets
 * @names: names of the targets' services, each of them once
 * @name_count: number of @names
 * @name_capacity: allocated length of @names
 * @services: the services, sorted by name once sealed
 * @service_count: number of @services
 */
struct cm_steer_plan {
	uint64_t version;
	struct cm_plan_route *routes;
	size_t route_count;
	struct cm_plan_target *targets;
	size_t target_count;
	size_t target_capacity;
	struct cm_plan_name *names;
	size_t name_count;
	size_t name_capacity;
	struct cm_steer_service *services;
	size_t service_count;
};

/**
 * cm_steer_plan_init() - initialize an empty plan
 * @plan: uninitialized memory, owned by the calling function
 * @version: version of the plan
 * @routes: number of routes to allocate room for
 * @services: number of services to allocate room for
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_steer_plan_init(struct cm_steer_plan *plan, uint64_t version,
		       size_t routes, size_t services);

/**
 * cm_steer_plan_finish() - free what a plan holds
 * @plan: the plan; the struct itself is not freed
 */
void cm_steer_plan_finish(struct cm_steer_plan *plan);

/**
 * cm_steer_plan_add_route() - add a route to a plan that is not sealed
 * @plan: the plan, with room left
 * @route: the route; copied
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_steer_plan_add_route(struct cm_steer_plan *plan,
			    const struct cm_steer_route *route);

/**
 * cm_steer_plan_add_target() - add a target to the route that was added last
 * @plan: the plan, which is not sealed and has a route
 * @target: the target; copied
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_steer_plan_add_target(struct cm_steer_plan *plan,
			     const struct cm_route_target *target);

/**
 * cm_steer_plan_add_service() - add a service to a plan that is not sealed
 * @plan: the plan, with room left
 * @service: the service; copied
 */
void cm_steer_plan_add_service(struct cm_steer_plan *plan,
			       const struct cm_steer_service *service);

/**
 * cm_steer_plan_seal() - sort and check a plan that is complete
 * @plan: the plan
 *
 * Return: 0, CM_E_DUPLICATE_ENDPOINT when two routes share an address, or
 * CM_E_DUPLICATE_ITEM when two services share a name.
 */
int cm_steer_plan_seal(struct cm_steer_plan *plan);

/**
 * cm_route_is_repeatable() - whether a request may run more than once
 * @traits: properties of the route's requests
 *
 * Return: true when callers may repeat a request that may have run.
 */
bool cm_route_is_repeatable(const struct cm_route_traits *traits);

/**
 * cm_steer_plan_find_route() - find a route by its address
 * @plan: a sealed plan
 * @address: public address that a caller sends to
 *
 * Return: the route, or NULL when there is none.
 */
const struct cm_plan_route *
cm_steer_plan_find_route(const struct cm_steer_plan *plan,
			 const struct cm_endpoint *address);

/**
 * cm_steer_plan_find_service() - find a service by its name
 * @plan: a sealed plan
 * @name: name of the service
 *
 * Return: the service, or NULL when there is none.
 */
const struct cm_steer_service *
cm_steer_plan_find_service(const struct cm_steer_plan *plan, const char *name);

/**
 * cm_steer_plan_has_target() - whether a route sends flows to a service
 * @plan: a plan
 * @service: name of the service; CM_NAME_SIZE bytes
 *
 * Return: true when the service is a target of a route.
 */
bool cm_steer_plan_has_target(const struct cm_steer_plan *plan,
			      const char *service);

/**
 * cm_steer_plan_select_service() - select the service of a flow by weight
 * @plan: a sealed plan
 * @route: route of the flow
 * @hash: hash of the flow's key, so that a retransmitted SYN is routed to the
 *        same service
 *
 * Return: name of the service, or NULL when every weight is 0.
 */
const char *cm_steer_plan_select_service(const struct cm_steer_plan *plan,
					 const struct cm_plan_route *route,
					 uint64_t hash);

#endif
