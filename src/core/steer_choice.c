#include "chervilmast/steer_choice.h"

#include <string.h>

#include "steer_internal.h"

#define PER_MILLE 1000
/** Cost of leaving the own failure domain, thousandths of a free server. */
#define REMOTE_COST 1000
/** Cost of a server in its cold start, thousandths of a free server. */
#define COLD_COST 400
/** Cost, for a flow that was placed in vain, of a server that did not answer
 * lately, thousandths of a free server. */
#define UNPROVEN_COST 3000
/** Time for which an answer proves that a server is there, ms. */
#define ANSWER_PROVES_MS 1500
/** Cost of a server all of whose flows fail while those of others do not,
 * thousandths of a free server... */
#define FAILING_COST 8000
/** ...unless it fails so little more often than they, thousandths. */
#define FAILING_LEAST 100
/** Cost of a server whose flows fail by the word of others, thousandths of a
 * free server. */
#define WARNED_COST 4000
/** The word of others holds for one server in so many at most. */
#define WARNED_PART 3
/** A server is slow from this many thousandths of the usual time on. */
#define SLOW_PER_MILLE 1500
/** Nodes that give flows to a server, while none is known. */
#define SHARERS_DEFAULT 4
/**
 * Flows for each slot with which a server is full: as many as it works on wait,
 * so that a flow waits about as long as it is worked on.
 */
#define FULL_PER_SLOT 2
/** Silent servers by which a whole failure domain is in doubt. */
#define DOUBT_SERVERS 2
/** Most failure domains that a choice tells apart. */
#define DOMAINS_MAX 32
/** Flows that a cold server may get at once, thousandths. */
#define COLD_BURST 2000

/**
 * struct domain - what a choice looks at of a failure domain
 * @hash: hash of its name
 * @nodes: nodes of the fleet in it
 * @has_candidate: one of its servers may get the flow
 * @silent: its servers whose last SYN got no answer
 * @silent_ms: when the last of these SYNs was sent
 * @answered_ms: when one of its servers last answered
 */
struct domain {
	uint64_t hash;
	uint32_t nodes;
	bool has_candidate;
	uint32_t silent;
	uint64_t silent_ms;
	uint64_t answered_ms;
};

/**
 * struct outlook - what a choice looks at beside each server
 * @choice: what it is about
 * @service_hash: hash of the service's name
 * @usual_sum: sum of the known times of servers, eighths of ms
 * @usual_count: number of servers in @usual_sum
 * @failed_sum: sum of the known shares of flows that failed, thousandths
 * @failed_count: number of servers in @failed_sum
 * @candidates: servers that may get the flow
 * @warned: of these, servers whose flows fail by the word of others
 * @strangers: nodes of failure domains without a server of the service; they
 *             give their flows to all others
 * @domains: the failure domains
 * @domain_count: number of @domains
 */
struct outlook {
	const struct cm_choice *choice;
	uint64_t service_hash;
	uint64_t usual_sum;
	uint32_t usual_count;
	uint64_t failed_sum;
	uint32_t failed_count;
	uint32_t candidates;
	uint32_t warned;
	uint32_t strangers;
	struct domain domains[DOMAINS_MAX];
	uint32_t domain_count;
};

static bool is_candidate(const struct cm_steer *steer,
			 const struct cm_steer_server *server,
			 const struct outlook *outlook)
{
	return server->service_hash == outlook->service_hash &&
	       cm_steer_server_is_usable(steer, server,
					 outlook->choice->now_ms);
}

/* Of servers that share a token only the first can be named by it. */
static bool is_named_by_token(const struct cm_steer *steer,
			      const struct cm_steer_server *server)
{
	return cm_steer_servers_by_token(&steer->servers, server->token) ==
	       server;
}

static const struct domain *find_domain(const struct outlook *outlook,
					uint64_t hash)
{
	for (uint32_t i = 0; i < outlook->domain_count; i++)
		if (outlook->domains[i].hash == hash)
			return &outlook->domains[i];
	return NULL;
}

/* NULL when there are more than a choice tells apart. */
static struct domain *get_domain(struct outlook *outlook, uint64_t hash)
{
	struct domain *domain = (struct domain *)find_domain(outlook, hash);

	if (domain || outlook->domain_count == DOMAINS_MAX)
		return domain;
	domain = &outlook->domains[outlook->domain_count++];
	memset(domain, 0, sizeof(*domain));
	domain->hash = hash;
	return domain;
}

/* Nodes that give flows to a server, this one included. */
static uint32_t sharers(const struct cm_steer_server *server,
			const struct outlook *outlook)
{
	const struct domain *domain = find_domain(outlook, server->domain_hash);
	uint32_t count = outlook->strangers + (domain ? domain->nodes : 0);

	return count ? count : SHARERS_DEFAULT;
}

/* Flows of all nodes for each slot, in thousandths, if all are like this one.
 */
static uint64_t load(const struct cm_steer_server *server,
		     const struct outlook *outlook)
{
	if (!server->open)
		return 0;
	return (uint64_t)server->open * sharers(server, outlook) * PER_MILLE /
	       server->entry.slots;
}

static bool quality_is_known(const struct cm_steer_server *server,
			     uint64_t now_ms)
{
	return server->health.ended_ms &&
	       now_ms < server->health.ended_ms + CM_HEALTH_STALE_MS;
}

static bool service_time_is_known(const struct cm_steer_server *server,
				  uint64_t now_ms)
{
	return server->health.service_eighths &&
	       quality_is_known(server, now_ms);
}

/* Time that a flow takes there, thousandths of the usual; slight ones are 1. */
static uint64_t slowness(const struct cm_steer_server *server,
			 const struct outlook *outlook)
{
	uint64_t ratio;

	if (outlook->usual_count < 2 ||
	    !service_time_is_known(server, outlook->choice->now_ms))
		return PER_MILLE;
	ratio = (uint64_t)server->health.service_eighths * PER_MILLE *
		outlook->usual_count / (outlook->usual_sum + 1);
	return ratio < SLOW_PER_MILLE ? PER_MILLE : ratio;
}

static bool is_warned_of(const struct cm_steer_server *server, uint64_t now_ms)
{
	return now_ms < server->health.warned_until_ms;
}

/* Where many fail, it is not the servers, or they are needed all the same. */
static uint64_t warned_cost(const struct cm_steer_server *server,
			    const struct outlook *outlook)
{
	if (!is_warned_of(server, outlook->choice->now_ms) ||
	    outlook->warned * WARNED_PART > outlook->candidates)
		return 0;
	return WARNED_COST;
}

/* What a server costs that fails more often than the service's others. */
static uint64_t failing_cost(const struct cm_steer_server *server,
			     const struct outlook *outlook)
{
	uint64_t failed = server->health.failed_per_mille;
	uint64_t usual;

	if (!quality_is_known(server, outlook->choice->now_ms))
		return warned_cost(server, outlook);
	usual = outlook->failed_sum / outlook->failed_count;
	if (failed < usual + FAILING_LEAST)
		return 0;
	return (failed - usual) * FAILING_COST / PER_MILLE;
}

static bool answered_lately(const struct cm_steer_server *server,
			    uint64_t now_ms)
{
	return server->health.answered_ms &&
	       now_ms < server->health.answered_ms + ANSWER_PROVES_MS;
}

static uint64_t cost(const struct cm_steer *steer,
		     const struct cm_steer_server *server,
		     const struct outlook *outlook)
{
	uint64_t sum = (PER_MILLE + load(server, outlook)) *
		       slowness(server, outlook) / PER_MILLE;

	sum += failing_cost(server, outlook);
	if (server->domain_hash != steer->domain_hash)
		sum += REMOTE_COST;
	if (outlook->choice->avoid_token &&
	    !answered_lately(server, outlook->choice->now_ms))
		sum += UNPROVEN_COST;
	if (outlook->choice->now_ms < server->cold_until_ms)
		sum += COLD_COST;
	return sum;
}

/* During a cold start a server gets no more than this node's part of a rate. */
static void refill_cold(struct cm_steer_server *server, uint32_t per_s,
			uint32_t nodes, uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - server->cold_refilled_ms;

	if (passed_ms > PER_MILLE)
		passed_ms = PER_MILLE;
	server->cold_tokens += passed_ms * per_s / nodes;
	if (server->cold_tokens > COLD_BURST)
		server->cold_tokens = COLD_BURST;
	server->cold_refilled_ms = now_ms;
}

static bool cold_start_allows(const struct cm_steer *steer,
			      struct cm_steer_server *server,
			      const struct outlook *outlook)
{
	uint64_t now_ms = outlook->choice->now_ms;
	const struct cm_steer_service *service;

	if (now_ms >= server->cold_until_ms)
		return true;
	service = cm_steer_plan_service(&steer->plan, server->entry.service);
	if (!service || !service->cold_per_s)
		return true;
	refill_cold(server, service->cold_per_s, sharers(server, outlook),
		    now_ms);
	return server->cold_tokens >= PER_MILLE;
}

/*
 * Several servers of a failure domain are silent and none has answered since:
 * the domain may be cut off, and its other servers with it.
 */
static bool domain_is_in_doubt(const struct outlook *outlook, uint64_t hash)
{
	const struct domain *domain = find_domain(outlook, hash);

	return domain && domain->silent >= DOUBT_SERVERS &&
	       domain->answered_ms < domain->silent_ms;
}

static void look_at_health(struct domain *domain,
			   const struct cm_steer_server *server)
{
	const struct cm_server_health *health = &server->health;

	if (health->unanswered && server->listing != CM_LEFT)
		domain->silent++;
	if (health->unanswered && health->unanswered_ms > domain->silent_ms)
		domain->silent_ms = health->unanswered_ms;
	if (health->answered_ms > domain->answered_ms)
		domain->answered_ms = health->answered_ms;
}

static void look_at_server(const struct cm_steer *steer,
			   struct outlook *outlook,
			   const struct cm_steer_server *server)
{
	struct domain *domain = get_domain(outlook, server->domain_hash);

	if (domain)
		look_at_health(domain, server);
	if (!is_candidate(steer, server, outlook))
		return;
	if (domain)
		domain->has_candidate = true;
	outlook->candidates++;
	outlook->warned += is_warned_of(server, outlook->choice->now_ms);
	if (quality_is_known(server, outlook->choice->now_ms)) {
		outlook->failed_sum += server->health.failed_per_mille;
		outlook->failed_count++;
	}
	if (!service_time_is_known(server, outlook->choice->now_ms))
		return;
	outlook->usual_sum += server->health.service_eighths;
	outlook->usual_count++;
}

static void look(const struct cm_steer *steer, struct outlook *outlook)
{
	const struct cm_steer_server *server;
	const struct cm_steer_peer *peer;

	TAILQ_FOREACH (server, &steer->servers.all, link)
		look_at_server(steer, outlook, server);
	TAILQ_FOREACH (peer, &steer->peers.all, link) {
		struct domain *domain = get_domain(outlook, peer->domain_hash);

		if (domain)
			domain->nodes++;
	}
	for (uint32_t i = 0; i < outlook->domain_count; i++)
		if (!outlook->domains[i].has_candidate)
			outlook->strangers += outlook->domains[i].nodes;
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

/* Servers that answer; those under suspicion once a probe reached them. */
static bool may_get(const struct cm_steer *steer,
		    struct cm_steer_server *server,
		    const struct outlook *outlook)
{
	const struct cm_choice *choice = outlook->choice;

	if (!is_candidate(steer, server, outlook) ||
	    server->token == choice->avoid_token)
		return false;
	if (!cm_server_health_may_try(&server->health, choice->now_ms))
		return false;
	if (!server->health.is_reached &&
	    domain_is_in_doubt(outlook, server->domain_hash))
		return false;
	return cold_start_allows(steer, server, outlook);
}

static struct cm_steer_server *choose_best(struct cm_steer *steer,
					   const struct outlook *outlook,
					   bool *is_full)
{
	struct cm_steer_server *server, *best = NULL;
	uint64_t best_cost = 0;

	*is_full = true;
	TAILQ_FOREACH (server, &steer->servers.all, link) {
		uint64_t its_cost;

		if (!may_get(steer, server, outlook))
			continue;
		if (load(server, outlook) < FULL_PER_SLOT * PER_MILLE)
			*is_full = false;
		its_cost = cost(steer, server, outlook);
		if (!is_better(server, its_cost, best, best_cost) ||
		    !is_named_by_token(steer, server))
			continue;
		best = server;
		best_cost = its_cost;
	}
	return best;
}

/* Servers that are not silent themselves first, then the one that was tried
 * longest ago. */
static bool is_better_suspect(const struct cm_steer_server *server,
			      const struct cm_steer_server *best,
			      uint64_t now_ms)
{
	bool may_try = cm_server_health_may_try(&server->health, now_ms);

	if (!best)
		return true;
	if (may_try != cm_server_health_may_try(&best->health, now_ms))
		return may_try;
	return server->health.tried_ms < best->health.tried_ms;
}

/* When no failure domain seems to answer. */
static struct cm_steer_server *choose_suspect(struct cm_steer *steer,
					      const struct outlook *outlook)
{
	struct cm_steer_server *server, *best = NULL;

	TAILQ_FOREACH (server, &steer->servers.all, link) {
		if (!is_candidate(steer, server, outlook) ||
		    !is_named_by_token(steer, server) ||
		    !cold_start_allows(steer, server, outlook))
			continue;
		if (is_better_suspect(server, best, outlook->choice->now_ms))
			best = server;
	}
	return best;
}

struct cm_steer_server *cm_steer_choose(struct cm_steer *steer,
					const struct cm_choice *choice,
					bool *is_full)
{
	struct outlook outlook = {
		.choice = choice,
		.service_hash = cm_steer_name_hash(choice->service),
	};
	struct cm_steer_server *server;

	look(steer, &outlook);
	server = choose_best(steer, &outlook, is_full);
	if (server)
		return server;
	*is_full = false;
	return choose_suspect(steer, &outlook);
}

void cm_steer_chosen(struct cm_steer *steer, struct cm_steer_server *server,
		     uint64_t now_ms)
{
	server->chosen = ++steer->choices;
	if (now_ms < server->cold_until_ms && server->cold_tokens >= PER_MILLE)
		server->cold_tokens -= PER_MILLE;
	cm_server_health_tried(&server->health, now_ms);
}
