#include "chervilmast/steer_choice.h"

#include <string.h>

#include "steer_internal.h"

#define PER_MILLE 1000
#define EIGHTHS 8
/** Cost of leaving the own failure domain, thousandths of a free server. */
#define REMOTE_COST 500
/** Cost of a server in its cold start, thousandths of a free server. */
#define COLD_COST 400
/** A server is slow from this many thousandths of the usual time on. */
#define SLOW_PER_MILLE 1500
/** Age at which the time that a server took says nothing any more, ms. */
#define SERVICE_STALE_MS 4000
/** Nodes that a cold server's rate is shared between. */
#define COLD_SHARERS 4
/** Flows that a cold server may get at once, thousandths. */
#define COLD_BURST 2000

/**
 * struct usual - what is usual of the servers of a service
 * @sum: sum of their times, eighths of ms
 * @count: number of servers in @sum
 */
struct usual {
	uint64_t sum;
	uint32_t count;
};

static bool service_time_is_known(const struct cm_steer_server *server,
				  uint64_t now_ms)
{
	return server->health.service_eighths &&
	       now_ms < server->health.service_ms + SERVICE_STALE_MS;
}

/* Time that a flow takes there, thousandths of the usual; slight ones are 1. */
static uint64_t slowness(const struct cm_steer_server *server,
			 const struct usual *usual, uint64_t now_ms)
{
	uint64_t ratio;

	if (usual->count < 2 || !service_time_is_known(server, now_ms))
		return PER_MILLE;
	ratio = (uint64_t)server->health.service_eighths * PER_MILLE *
		usual->count / (usual->sum + 1);
	return ratio < SLOW_PER_MILLE ? PER_MILLE : ratio;
}

static uint64_t cost(const struct cm_steer *steer,
		     const struct cm_steer_server *server,
		     const struct usual *usual, uint64_t now_ms)
{
	uint64_t load = PER_MILLE + (uint64_t)server->open * PER_MILLE /
					    server->entry.slots;
	uint64_t sum = load * slowness(server, usual, now_ms) / PER_MILLE;

	if (strcmp(server->entry.domain, steer->config.domain) != 0)
		sum += REMOTE_COST;
	if (now_ms < server->cold_until_ms)
		sum += COLD_COST;
	return sum;
}

/* During a cold start a server gets no more than this node's part of a rate. */
static void refill_cold(struct cm_steer_server *server, uint32_t per_s,
			uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - server->cold_refilled_ms;

	if (passed_ms > PER_MILLE)
		passed_ms = PER_MILLE;
	server->cold_tokens += passed_ms * per_s / COLD_SHARERS;
	if (server->cold_tokens > COLD_BURST)
		server->cold_tokens = COLD_BURST;
	server->cold_refilled_ms = now_ms;
}

static bool cold_start_allows(const struct cm_steer *steer,
			      struct cm_steer_server *server, uint64_t now_ms)
{
	const struct cm_steer_service *service;

	if (now_ms >= server->cold_until_ms)
		return true;
	service = cm_steer_plan_service(&steer->plan, server->entry.service);
	if (!service || !service->cold_per_s)
		return true;
	refill_cold(server, service->cold_per_s, now_ms);
	return server->cold_tokens >= PER_MILLE;
}

static bool is_candidate(const struct cm_steer *steer,
			 const struct cm_steer_server *server,
			 const struct cm_choice *choice)
{
	return !strcmp(server->entry.service, choice->service) &&
	       cm_steer_server_is_usable(steer, server, choice->now_ms) &&
	       cm_steer_servers_by_token(&steer->servers, server->token) ==
		       server;
}

static void learn_usual(const struct cm_steer *steer,
			const struct cm_choice *choice, struct usual *usual)
{
	const struct cm_steer_server *server;

	TAILQ_FOREACH (server, &steer->servers.all, link) {
		if (!is_candidate(steer, server, choice) ||
		    !service_time_is_known(server, choice->now_ms))
			continue;
		usual->sum += server->health.service_eighths;
		usual->count++;
	}
}

static bool is_better(const struct cm_steer_server *server, uint64_t its_cost,
		      const struct cm_steer_server *best, uint64_t best_cost)
{
	if (!best)
		return true;
	if (its_cost != best_cost)
		return its_cost < best_cost;
	return server->chosen < best->chosen;
}

/* Servers that answer; those under suspicion only when a trial is due. */
static struct cm_steer_server *choose_best(struct cm_steer *steer,
					   const struct cm_choice *choice,
					   const struct usual *usual)
{
	struct cm_steer_server *server, *best = NULL;
	uint64_t best_cost = 0;

	TAILQ_FOREACH (server, &steer->servers.all, link) {
		uint64_t its_cost;

		if (!is_candidate(steer, server, choice) ||
		    server->token == choice->avoid_token)
			continue;
		if (cm_server_health_is_suspected(&server->health) &&
		    !cm_server_health_may_try(&server->health, choice->now_ms))
			continue;
		if (!cold_start_allows(steer, server, choice->now_ms))
			continue;
		its_cost = cost(steer, server, usual, choice->now_ms);
		if (!is_better(server, its_cost, best, best_cost))
			continue;
		best = server;
		best_cost = its_cost;
	}
	return best;
}

/* When none answers, the one that was tried longest ago. */
static struct cm_steer_server *choose_suspect(struct cm_steer *steer,
					      const struct cm_choice *choice)
{
	struct cm_steer_server *server, *best = NULL;

	TAILQ_FOREACH (server, &steer->servers.all, link) {
		if (!is_candidate(steer, server, choice) ||
		    !cold_start_allows(steer, server, choice->now_ms))
			continue;
		if (!best || server->health.trial_ms < best->health.trial_ms)
			best = server;
	}
	return best;
}

struct cm_steer_server *cm_steer_choose(struct cm_steer *steer,
					const struct cm_choice *choice)
{
	struct usual usual = { .count = 0 };
	struct cm_steer_server *server;

	learn_usual(steer, choice, &usual);
	server = choose_best(steer, choice, &usual);
	if (!server)
		server = choose_suspect(steer, choice);
	if (!server)
		return NULL;
	server->chosen = ++steer->choices;
	if (choice->now_ms < server->cold_until_ms &&
	    server->cold_tokens >= PER_MILLE)
		server->cold_tokens -= PER_MILLE;
	cm_server_health_tried(&server->health, choice->now_ms);
	return server;
}
