#include "chervilmast/steer_choice.h"

#include <string.h>

#include "server_cost.h"
#include "steer_internal.h"

#define PER_MILLE 1000
#define EIGHTHS 8
/** Token bucket size of a server in its cold start, thousandths of a flow. */
#define COLD_BURST 2000
/** Maximum time by which the token bucket is refilled at once, ms. */
#define COLD_REFILL_MAX_MS 1000
/**
 * Maximum number of servers of a group that a choice compares when none of them
 * is idle. The best of these is hardly worse than the best of the whole group.
 */
#define COMPARED_MAX 32
/**
 * Number of servers of a group that a choice compares by the loads that all
 * instances put on them. With many more, all instances choose the same servers
 * until the next loads arrive.
 */
#define COMPARED_BY_LOAD 4

/* Packets with a token reach only the first of the servers that share it. */
static bool owns_token(const struct cm_steer *steer,
		       const struct cm_steer_server *server)
{
	return cm_steer_servers_find_by_token(&steer->servers, server->token) ==
	       server;
}

/*
 * Refills the token bucket at this instance's share of the maximum rate of new
 * flows during the cold start.
 */
static void refill_cold_tokens(struct cm_steer_server *server, uint32_t per_s,
			       uint32_t instances, uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - server->cold_refilled_ms;

	if (passed_ms > COLD_REFILL_MAX_MS)
		passed_ms = COLD_REFILL_MAX_MS;
	server->cold_tokens += passed_ms * per_s / instances;
	if (server->cold_tokens > COLD_BURST)
		server->cold_tokens = COLD_BURST;
	server->cold_refilled_ms = now_ms;
}

static bool cold_start_allows(const struct cm_steer *steer,
			      struct cm_steer_server *server,
			      const struct cm_choice_context *context)
{
	uint64_t now_ms = context->choice->now_ms;
	const struct cm_steer_service *service;

	if (now_ms >= server->cold_until_ms)
		return true;
	service =
		cm_steer_plan_find_service(&steer->plan, server->entry.service);
	if (!service || !service->cold_per_s)
		return true;
	if (!cm_server_counts_this_instance(server, steer, context))
		return false;
	refill_cold_tokens(server, service->cold_per_s,
			   cm_server_sending_instances(server, steer, context),
			   now_ms);
	return server->cold_tokens >= PER_MILLE;
}

/*
 * Whether the flow may be placed on a server. A suspected server, or a server
 * in a failure domain that may be cut off, must have been reached by a probe
 * first.
 */
static bool is_eligible(const struct cm_steer *steer,
			struct cm_steer_server *server,
			const struct cm_choice_context *context)
{
	const struct cm_choice_input *choice = context->choice;

	if (!cm_steer_server_is_usable(steer, server, choice->now_ms) ||
	    server->token == choice->avoid_token)
		return false;
	if (!cm_server_health_may_get_flow(&server->health, choice->now_ms))
		return false;
	if (!server->health.is_reached &&
	    cm_choice_context_domain_is_suspect(context, steer,
						server->domain_hash))
		return false;
	return cold_start_allows(steer, server, context);
}

/**
 * struct best_choice - result of the comparison of servers so far
 * @server: the best server; NULL for none
 * @cost: cost of @server
 * @all_are_full: every server that was compared is full
 */
struct best_choice {
	struct cm_steer_server *server;
	uint64_t cost;
	bool all_are_full;
};

/*
 * At equal cost, the server that was compared first is kept within a group, and
 * the one chosen less recently is preferred between two groups.
 */
static bool is_better(const struct cm_steer_server *server, uint64_t cost,
		      const struct best_choice *best)
{
	if (!best->server)
		return true;
	if (cost != best->cost)
		return cost < best->cost;
	return server->group != best->server->group &&
	       server->choice_seq < best->server->choice_seq;
}

static void compare_server(struct cm_steer *steer,
			   struct cm_steer_server *server,
			   const struct cm_choice_context *context,
			   struct best_choice *best)
{
	uint64_t cost = cm_server_cost(server, steer, context);

	if (!cm_server_is_full(server, steer, context))
		best->all_are_full = false;
	if (!is_better(server, cost, best) || !owns_token(steer, server))
		return;
	best->server = server;
	best->cost = cost;
}

/*
 * Stops at a server that costs no more than an idle one, and after a few
 * servers when it compares loads; then it continues while all of them are full.
 */
static void search_group(struct cm_steer *steer,
			 const struct cm_server_group *group,
			 const struct cm_choice_context *context,
			 struct best_choice *best)
{
	uint64_t least =
		cm_group_least_cost(group, steer, context->choice->now_ms);
	uint32_t few = cm_choice_context_uses_loads(context) ?
			       COMPARED_BY_LOAD :
			       COMPARED_MAX;
	uint32_t compared = 0;

	for (uint32_t i = 0; i < group->count && compared < COMPARED_MAX; i++) {
		struct cm_steer_server *server =
			group->members[(group->next_index + i) % group->count];

		steer->servers_examined++;
		if (!is_eligible(steer, server, context))
			continue;
		compare_server(steer, server, context, best);
		if (best->server && best->cost <= least)
			return;
		compared++;
		if (compared >= few && !best->all_are_full)
			return;
	}
}

/*
 * Searches the instance's failure domain first, and each other one only if a
 * server there may cost less or all servers compared so far are full.
 */
static struct cm_steer_server *
choose_best(struct cm_steer *steer, const struct cm_choice_context *context,
	    bool *all_are_full)
{
	struct best_choice best = { .all_are_full = true };
	const struct cm_server_group *group;

	LIST_FOREACH(group, &context->pool->groups, link)
	if (group->domain_hash == steer->domain_hash)
		search_group(steer, group, context, &best);
	LIST_FOREACH(group, &context->pool->groups, link)
	if (group->domain_hash != steer->domain_hash &&
	    (!best.server ||
	     best.cost > cm_group_least_cost(group, steer,
					     context->choice->now_ms) ||
	     best.all_are_full))
		search_group(steer, group, context, &best);
	*all_are_full = best.all_are_full;
	return best.server;
}

/*
 * Prefers servers that may get flows according to their own health, then the
 * one to which a flow was sent least recently.
 */
static bool is_better_suspect(const struct cm_steer_server *server,
			      const struct cm_steer_server *best,
			      uint64_t now_ms)
{
	bool may_get_flow =
		cm_server_health_may_get_flow(&server->health, now_ms);

	if (!best)
		return true;
	if (may_get_flow !=
	    cm_server_health_may_get_flow(&best->health, now_ms))
		return may_get_flow;
	return server->health.flow_sent_ms < best->health.flow_sent_ms;
}

static void search_suspects(struct cm_steer *steer,
			    const struct cm_server_group *group,
			    const struct cm_choice_context *context,
			    struct cm_steer_server **best)
{
	uint64_t now_ms = context->choice->now_ms;

	for (uint32_t i = 0; i < group->count; i++) {
		struct cm_steer_server *server = group->members[i];

		if (!cm_steer_server_is_usable(steer, server, now_ms) ||
		    !owns_token(steer, server) ||
		    !cold_start_allows(steer, server, context))
			continue;
		if (is_better_suspect(server, *best, now_ms))
			*best = server;
	}
	steer->servers_examined += group->count;
}

/*
 * Chooses among all usable servers, suspected ones included, as none is
 * eligible.
 */
static struct cm_steer_server *
choose_suspect(struct cm_steer *steer, const struct cm_choice_context *context)
{
	const struct cm_server_group *group;
	struct cm_steer_server *best = NULL;

	LIST_FOREACH(group, &context->pool->groups, link)
	search_suspects(steer, group, context, &best);
	return best;
}

struct cm_steer_server *cm_steer_choose(struct cm_steer *steer,
					const struct cm_choice_input *choice,
					enum cm_spare_capacity *capacity)
{
	struct cm_server_pool *pool = cm_server_pools_find(
		&steer->servers.pools, cm_steer_name_hash(choice->service));
	struct cm_steer_server *server;
	struct cm_choice_context context;
	bool all_are_full;

	*capacity = CM_CAPACITY_AVAILABLE;
	if (!pool)
		return NULL;
	cm_choice_context_init(&context, steer, choice, pool);
	server = choose_best(steer, &context, &all_are_full);
	if (all_are_full)
		*capacity = CM_CAPACITY_NONE;
	else if (cm_choice_context_is_busy(&context, steer))
		*capacity = CM_CAPACITY_LOW;
	if (server && choice->is_long)
		cm_counters_add(&steer->counters,
				cm_choice_context_uses_loads(&context) ?
					CM_C_STEER_CHOSEN_BY_LOADS :
					CM_C_STEER_CHOSEN_BY_ESTIMATE);
	if (server)
		return server;
	*capacity = CM_CAPACITY_AVAILABLE;
	return choose_suspect(steer, &context);
}

uint32_t cm_steer_mean_flow_ms(const struct cm_steer *steer,
			       const char *service)
{
	const struct cm_server_pool *pool = cm_server_pools_find(
		&steer->servers.pools, cm_steer_name_hash(service));

	if (!pool || !pool->sums.service_time_count)
		return 0;
	return (uint32_t)(pool->sums.service_time_sum /
			  pool->sums.service_time_count / EIGHTHS);
}

void cm_steer_record_choice(struct cm_steer *steer,
			    struct cm_steer_server *server, uint64_t now_ms)
{
	server->choice_seq = ++steer->choice_seq;
	if (server->group)
		server->group->next_index =
			(server->group_index + 1) % server->group->count;
	if (now_ms < server->cold_until_ms && server->cold_tokens >= PER_MILLE)
		server->cold_tokens -= PER_MILLE;
	cm_server_health_flow_sent(&server->health, now_ms);
}
