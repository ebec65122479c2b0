#include "steer_admission_plan.h"

#include <stdlib.h>
#include <string.h>

struct cm_admission_service *
cm_steer_admissions_find(struct cm_steer_admissions *admissions, uint64_t hash)
{
	for (uint32_t i = 0; i < admissions->count; i++)
		if (admissions->items[i].hash == hash)
			return &admissions->items[i];
	return NULL;
}

static bool targets_service(const struct cm_steer_plan *plan,
			    const struct cm_plan_route *route,
			    uint32_t name_index)
{
	for (uint32_t i = 0; i < route->target_count; i++) {
		const struct cm_plan_target *target =
			&plan->targets[route->first_target + i];

		if (target->name_index == name_index && target->weight)
			return true;
	}
	return false;
}

/**
 * struct target_state - routes that send flows to a service of the plan
 * @priority: priority of the last one examined
 * @has_route: there is at least one
 * @is_ranked: they have different priorities
 */
struct target_state {
	uint32_t priority;
	bool has_route;
	bool is_ranked;
};

static void add_target(struct target_state *state,
		       const struct cm_plan_route *route)
{
	if (state->has_route && state->priority != route->traits.priority)
		state->is_ranked = true;
	state->has_route = true;
	state->priority = route->traits.priority;
}

/*
 * Returns the state of each service, by the index of its name; NULL when out of
 * memory. One pass over all routes, as a plan may have thousands.
 */
static struct target_state *list_targets(const struct cm_steer_plan *plan)
{
	struct target_state *states =
		calloc(plan->name_count + 1, sizeof(*states));

	for (size_t i = 0; states && i < plan->route_count; i++) {
		const struct cm_plan_route *route = &plan->routes[i];

		for (uint32_t k = 0; k < route->target_count; k++) {
			const struct cm_plan_target *target =
				&plan->targets[route->first_target + k];

			if (target->weight)
				add_target(&states[target->name_index], route);
		}
	}
	return states;
}

static void add_routes(struct cm_admission *admission,
		       const struct cm_steer_plan *plan, uint32_t name_index,
		       uint64_t now_ms)
{
	for (size_t i = 0; i < plan->route_count; i++)
		if (targets_service(plan, &plan->routes[i], name_index))
			cm_admission_add_route(admission, &plan->routes[i],
					       now_ms);
}

static uint32_t find_name(const struct cm_steer_plan *plan, const char *name)
{
	uint32_t i = 0;

	while (i < plan->name_count && strcmp(plan->names[i].text, name) != 0)
		i++;
	return i;
}

/* Removes the routes that no longer send flows to a service. */
static void remove_old_routes(struct cm_admission *admission,
			      const struct cm_steer_plan *plan,
			      uint32_t name_index)
{
	uint32_t i = 0;

	while (i < admission->route_count) {
		const struct cm_plan_route *route = cm_steer_plan_find_route(
			plan, &admission->routes[i].address);

		if (route && targets_service(plan, route, name_index))
			i++;
		else
			cm_admission_remove_route(admission, i);
	}
}

/* Removes the services whose routes no longer have different priorities. */
static void remove_old_services(struct cm_steer_admissions *admissions,
				const struct cm_steer_plan *plan,
				const struct target_state *states)
{
	uint32_t i = 0;

	while (i < admissions->count) {
		uint32_t name_index =
			find_name(plan, admissions->items[i].name);

		if (name_index < plan->name_count &&
		    states[name_index].is_ranked) {
			remove_old_routes(&admissions->items[i].admission, plan,
					  name_index);
			i++;
		} else {
			admissions->items[i] =
				admissions->items[--admissions->count];
		}
	}
}

static void add_service(struct cm_steer_admissions *admissions,
			const struct cm_steer_plan *plan, uint32_t name_index,
			uint64_t now_ms)
{
	uint64_t hash = cm_steer_name_hash(plan->names[name_index].text);
	struct cm_admission_service *service =
		cm_steer_admissions_find(admissions, hash);

	if (service) {
		add_routes(&service->admission, plan, name_index, now_ms);
		return;
	}
	if (admissions->count == CM_ADMISSION_SERVICES_MAX)
		return;
	service = &admissions->items[admissions->count++];
	memset(service, 0, sizeof(*service));
	memcpy(service->name, plan->names[name_index].text, CM_NAME_SIZE);
	service->hash = hash;
	cm_admission_init(&service->admission);
	add_routes(&service->admission, plan, name_index, now_ms);
}

void cm_steer_admissions_read_plan(struct cm_steer *steer, uint64_t now_ms)
{
	struct cm_steer_admissions *admissions = &steer->admissions;
	const struct cm_steer_plan *plan = &steer->plan;
	struct target_state *states = list_targets(plan);

	admissions->plan_version = plan->version;
	if (!states) {
		admissions->count = 0;
		return;
	}
	remove_old_services(admissions, plan, states);
	for (uint32_t i = 0; i < plan->name_count; i++)
		if (states[i].is_ranked)
			add_service(admissions, plan, i, now_ms);
	free(states);
}
