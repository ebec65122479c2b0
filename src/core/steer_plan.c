#include "chervilmast/steer_plan.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

int cm_steer_plan_init(struct cm_steer_plan *plan, uint64_t version,
		       size_t routes, size_t services)
{
	memset(plan, 0, sizeof(*plan));
	plan->version = version;
	plan->routes = calloc(routes + 1, sizeof(*plan->routes));
	plan->services = calloc(services + 1, sizeof(*plan->services));
	if (plan->routes && plan->services)
		return CM_OK;
	cm_steer_plan_finish(plan);
	return CM_E_MEMORY;
}

void cm_steer_plan_finish(struct cm_steer_plan *plan)
{
	free(plan->routes);
	free(plan->services);
	memset(plan, 0, sizeof(*plan));
}

void cm_steer_plan_add_route(struct cm_steer_plan *plan,
			     const struct cm_steer_route *route)
{
	plan->routes[plan->route_count++] = *route;
}

void cm_steer_plan_add_service(struct cm_steer_plan *plan,
			       const struct cm_steer_service *service)
{
	plan->services[plan->service_count++] = *service;
}

static int compare_endpoints(const struct cm_endpoint *a,
			     const struct cm_endpoint *b)
{
	if (a->address != b->address)
		return a->address < b->address ? -1 : 1;
	if (a->port != b->port)
		return a->port < b->port ? -1 : 1;
	return 0;
}

static int compare_routes(const void *a, const void *b)
{
	const struct cm_steer_route *first = a;
	const struct cm_steer_route *second = b;

	return compare_endpoints(&first->address, &second->address);
}

static int compare_services(const void *a, const void *b)
{
	const struct cm_steer_service *first = a;
	const struct cm_steer_service *second = b;

	return strcmp(first->name, second->name);
}

int cm_steer_plan_seal(struct cm_steer_plan *plan)
{
	qsort(plan->routes, plan->route_count, sizeof(*plan->routes),
	      compare_routes);
	qsort(plan->services, plan->service_count, sizeof(*plan->services),
	      compare_services);
	for (size_t i = 1; i < plan->route_count; i++)
		if (!compare_routes(&plan->routes[i - 1], &plan->routes[i]))
			return CM_E_SAME_ENDPOINT;
	for (size_t i = 1; i < plan->service_count; i++)
		if (!compare_services(&plan->services[i - 1],
				      &plan->services[i]))
			return CM_E_REPEATED;
	return CM_OK;
}

const struct cm_steer_route *
cm_steer_plan_route(const struct cm_steer_plan *plan,
		    const struct cm_endpoint *address)
{
	struct cm_steer_route wanted = { .address = *address };

	if (!plan->route_count)
		return NULL;
	return bsearch(&wanted, plan->routes, plan->route_count, sizeof(wanted),
		       compare_routes);
}

const struct cm_steer_service *
cm_steer_plan_service(const struct cm_steer_plan *plan, const char *name)
{
	struct cm_steer_service wanted = { .cold_per_s = 0 };

	if (!plan->service_count || strlen(name) >= sizeof(wanted.name))
		return NULL;
	memcpy(wanted.name, name, strlen(name) + 1);
	return bsearch(&wanted, plan->services, plan->service_count,
		       sizeof(wanted), compare_services);
}

const char *cm_steer_route_service(const struct cm_steer_route *route,
				   uint64_t hash)
{
	uint64_t sum = 0;
	uint64_t at;

	for (uint32_t i = 0; i < route->target_count; i++)
		sum += route->targets[i].weight;
	if (!sum)
		return NULL;
	at = hash % sum;
	for (uint32_t i = 0; i < route->target_count; i++) {
		if (at < route->targets[i].weight)
			return route->targets[i].service;
		at -= route->targets[i].weight;
	}
	return NULL;
}
