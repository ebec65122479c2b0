#include "chervilmast/steer_plan.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

/** Initial size of a growing array; doubled when it is full. */
#define INITIAL_CAPACITY 16

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
	free(plan->targets);
	free(plan->names);
	free(plan->services);
	memset(plan, 0, sizeof(*plan));
}

/*
 * Makes room for one more item in a growing array. @array_pointer points to the
 * pointer to the array.
 */
static int ensure_capacity(void *array_pointer, size_t *capacity, size_t count,
			   size_t size)
{
	size_t new_capacity = *capacity ? *capacity * 2 : INITIAL_CAPACITY;
	void **array = array_pointer;
	void *grown;

	if (count < *capacity)
		return CM_OK;
	grown = realloc(*array, new_capacity * size);
	if (!grown)
		return CM_E_MEMORY;
	*array = grown;
	*capacity = new_capacity;
	return CM_OK;
}

/*
 * Finds the index of a service's name, adding the name if it is missing. The
 * search starts at the name added last, as most routes lead to the same service
 * as the route added before them.
 */
static int intern_name(struct cm_steer_plan *plan, const char *text,
		       uint32_t *name)
{
	int error;

	for (size_t i = plan->name_count; i-- > 0;) {
		if (strcmp(plan->names[i].text, text) != 0)
			continue;
		*name = (uint32_t)i;
		return CM_OK;
	}
	error = ensure_capacity(&plan->names, &plan->name_capacity,
				plan->name_count, sizeof(*plan->names));
	if (error)
		return error;
	*name = (uint32_t)plan->name_count++;
	memcpy(plan->names[*name].text, text, CM_NAME_SIZE);
	return CM_OK;
}

static int add_target(struct cm_steer_plan *plan,
		      const struct cm_route_target *target)
{
	struct cm_plan_target added = { .weight = target->weight };
	int error = intern_name(plan, target->service, &added.name_index);

	if (!error)
		error = ensure_capacity(&plan->targets, &plan->target_capacity,
					plan->target_count,
					sizeof(*plan->targets));
	if (!error)
		plan->targets[plan->target_count++] = added;
	return error;
}

int cm_steer_plan_add_route(struct cm_steer_plan *plan,
			    const struct cm_steer_route *route)
{
	const struct cm_plan_route added = {
		.address = route->address,
		.objective_ms = route->objective_ms,
		.traits = route->traits,
		.target_count = route->target_count,
		.first_target = (uint32_t)plan->target_count,
	};
	int error = CM_OK;

	for (uint32_t i = 0; i < route->target_count && !error; i++)
		error = add_target(plan, &route->targets[i]);
	if (!error)
		plan->routes[plan->route_count++] = added;
	return error;
}

int cm_steer_plan_add_target(struct cm_steer_plan *plan,
			     const struct cm_route_target *target)
{
	int error = add_target(plan, target);

	if (!error)
		plan->routes[plan->route_count - 1].target_count++;
	return error;
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
	const struct cm_plan_route *first = a;
	const struct cm_plan_route *second = b;

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
			return CM_E_DUPLICATE_ENDPOINT;
	for (size_t i = 1; i < plan->service_count; i++)
		if (!compare_services(&plan->services[i - 1],
				      &plan->services[i]))
			return CM_E_DUPLICATE_ITEM;
	return CM_OK;
}

bool cm_route_is_repeatable(const struct cm_route_traits *traits)
{
	return traits->kind == CM_ROUTE_IDEMPOTENT ||
	       traits->kind == CM_ROUTE_DOWNLOAD;
}

const struct cm_plan_route *
cm_steer_plan_find_route(const struct cm_steer_plan *plan,
			 const struct cm_endpoint *address)
{
	struct cm_plan_route wanted = { .address = *address };

	if (!plan->route_count)
		return NULL;
	return bsearch(&wanted, plan->routes, plan->route_count, sizeof(wanted),
		       compare_routes);
}

const struct cm_steer_service *
cm_steer_plan_find_service(const struct cm_steer_plan *plan, const char *name)
{
	struct cm_steer_service wanted = { .cold_per_s = 0 };

	if (!plan->service_count || strlen(name) >= sizeof(wanted.name))
		return NULL;
	memcpy(wanted.name, name, strlen(name) + 1);
	return bsearch(&wanted, plan->services, plan->service_count,
		       sizeof(wanted), compare_services);
}

bool cm_steer_plan_has_target(const struct cm_steer_plan *plan,
			      const char *service)
{
	for (size_t i = 0; i < plan->name_count; i++)
		if (cm_name_equal(plan->names[i].text, service))
			return true;
	return false;
}

const char *cm_steer_plan_select_service(const struct cm_steer_plan *plan,
					 const struct cm_plan_route *route,
					 uint64_t hash)
{
	const struct cm_plan_target *targets =
		plan->targets + route->first_target;
	uint64_t sum = 0;
	uint64_t position;

	for (uint32_t i = 0; i < route->target_count; i++)
		sum += targets[i].weight;
	if (!sum)
		return NULL;
	position = hash % sum;
	for (uint32_t i = 0; i < route->target_count; i++) {
		if (position < targets[i].weight)
			return plan->names[targets[i].name_index].text;
		position -= targets[i].weight;
	}
	return NULL;
}
