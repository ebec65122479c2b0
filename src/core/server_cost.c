#include "server_cost.h"

#include <string.h>

#include "steer_internal.h"
#include "test_switch.h"

#define PER_MILLE 1000
/**
 * A full server counts as clearly more loaded than the others when it has more
 * flows than their mean by this many standard deviations of a random number of
 * flows. With fewer, many servers are above by chance, and all instances avoid
 * the same ones until the next report.
 */
#define CLEARLY_MORE_DEVIATIONS 4
/**
 * Weight of the load estimated from own flows for a long flow; that of the
 * known load is 1. The estimate differs from instance to instance, so that they
 * do not all follow the same known loads.
 */
#define ESTIMATE_WEIGHT 3
/**
 * Added to the cost of a server in another failure domain, thousandths of the
 * cost of an idle server.
 */
#define REMOTE_COST 1000
/**
 * Added to the cost of the servers of a failure domain whose congestion is
 * CM_CONGESTION_FULL, thousandths of the cost of an idle server. From a
 * congestion of a fifth on, another domain costs less.
 */
#define CONGESTION_COST 5000
/**
 * Added to the cost of a server in its cold start, thousandths of the cost of
 * an idle server.
 */
#define COLD_COST 400
/**
 * Added to the cost of a server without a recent answer, for a flow whose last
 * SYN got no answer, thousandths of the cost of an idle server.
 */
#define UNPROVEN_COST 3000
/** Age up to which a server's last answer is recent, ms. */
#define ANSWER_RECENT_MS 1500
/**
 * Added to the cost of a server all of whose flows fail while those of others
 * do not, thousandths of the cost of an idle server.
 */
#define FAILING_COST 8000
/**
 * Failures add to a server's cost once its failure rate exceeds the mean by
 * this much, thousandths.
 */
#define FAILING_MARGIN 100
/**
 * Added to the cost of a server that the failure domain ejected, thousandths of
 * the cost of an idle server.
 */
#define EJECTED_COST 4000
/**
 * Ejections are ignored when more than one in this many of the service's usable
 * servers is ejected.
 */
#define EJECTED_MAX_DIVISOR 3
/** Service time from which a server is slow, thousandths of the mean. */
#define SLOW_PER_MILLE 1500
/**
 * Assumed number of instances that send flows to a server when none is known.
 */
#define SENDING_INSTANCES_DEFAULT 4
/**
 * Open flows per slot at which a server is full: one is processed and one
 * waits, about as long as it will then be processed.
 */
#define FULL_FLOWS_PER_SLOT 2
/** Network round trips of a flow: handshake, request, end. */
#define FLOW_ROUND_TRIPS 3
/**
 * Minimum number of silent servers in a failure domain for the domain to be
 * suspected.
 */
#define SUSPECT_DOMAIN_SILENT_MIN 2
/**
 * Time for which the sums of a service with more than SUMS_UNCACHED_MAX servers
 * are reused, ms.
 */
#define SUMS_TTL_MS 200
/** Number of a service's servers up to which each choice computes the sums. */
#define SUMS_UNCACHED_MAX 64

static bool failure_rate_is_known(const struct cm_steer_server *server,
				  uint64_t now_ms)
{
	return server->health.ended_ms &&
	       now_ms < server->health.ended_ms + CM_HEALTH_STALE_MS;
}

static bool service_time_is_known(const struct cm_steer_server *server,
				  uint64_t now_ms)
{
	return server->health.service_ms_eighths &&
	       failure_rate_is_known(server, now_ms);
}

static bool is_ejected(const struct cm_steer_server *server, uint64_t now_ms)
{
	return now_ms < server->health.ejected_until_ms;
}

static void sum_server(struct cm_pool_sums *sums,
		       const struct cm_steer_server *server, uint64_t now_ms)
{
	sums->usable_count++;
	sums->slots += server->entry.slots;
	sums->ejected_count += is_ejected(server, now_ms);
	if (failure_rate_is_known(server, now_ms)) {
		sums->failed_sum += server->health.failed_per_mille;
		sums->failed_count++;
	}
	if (!service_time_is_known(server, now_ms))
		return;
	sums->service_time_sum += server->health.service_ms_eighths;
	sums->service_time_count++;
}

/* The loads of servers in other failure domains are known in part only. */
static void sum_local_load(struct cm_pool_sums *sums,
			   const struct cm_steer_server *server,
			   uint64_t now_ms)
{
	sums->local_count++;
	if (!cm_server_load_is_known(&server->load, now_ms))
		return;
	sums->known_count++;
	sums->known_load += server->load.own + server->load.others;
	sums->known_slots += server->entry.slots;
}

static void sum_group(struct cm_steer *steer, struct cm_pool_sums *sums,
		      struct cm_server_group *group, uint64_t now_ms)
{
	group->usable_count = 0;
	for (uint32_t i = 0; i < group->count; i++) {
		const struct cm_steer_server *server = group->members[i];

		if (!cm_steer_server_is_usable(steer, server, now_ms))
			continue;
		group->usable_count++;
		sum_server(sums, server, now_ms);
		if (group->domain_hash == steer->domain_hash)
			sum_local_load(sums, server, now_ms);
	}
	steer->servers_examined += group->count;
}

static void sum_pool(struct cm_steer *steer, struct cm_server_pool *pool,
		     uint64_t now_ms)
{
	struct cm_server_group *group;

	if (pool->summed_ms && pool->count > SUMS_UNCACHED_MAX &&
	    now_ms < pool->summed_ms + SUMS_TTL_MS)
		return;
	memset(&pool->sums, 0, sizeof(pool->sums));
	LIST_FOREACH(group, &pool->groups, link)
	sum_group(steer, &pool->sums, group, now_ms);
	pool->summed_ms = now_ms;
}

static void collect_suspects(struct cm_choice_context *context,
			     const struct cm_steer *steer)
{
	const struct cm_steer_domains *domains = &steer->peers.domains;
	const struct cm_steer_server *server;

	TAILQ_FOREACH (server, &steer->servers.suspects, suspect_link) {
		uint32_t index =
			cm_steer_domains_find(domains, server->domain_hash);
		struct cm_choice_domain *state = &context->domains[index];

		if (index == domains->count)
			continue;
		state->silent_count += server->listing != CM_LEFT;
		if (server->health.unanswered_ms > state->last_unanswered_ms)
			state->last_unanswered_ms =
				server->health.unanswered_ms;
	}
}

static void collect_domains(struct cm_choice_context *context,
			    struct cm_steer *steer)
{
	struct cm_steer_domains *domains = &steer->peers.domains;
	const struct cm_server_group *group;

	LIST_FOREACH(group, &context->pool->groups, link)
	{
		/* collect_suspects() needs each domain in the list. */
		const struct cm_steer_domain *domain =
			cm_steer_domains_find_or_add(domains,
						     group->domain_hash);

		if (domain)
			context->domains[domain - domains->items]
				.has_usable_server = group->usable_count > 0;
	}
	for (uint32_t i = 0; i < domains->count; i++)
		if (!context->domains[i].has_usable_server)
			context->instances_without_server +=
				domains->items[i].instances;
}

void cm_choice_context_init(struct cm_choice_context *context,
			    struct cm_steer *steer,
			    const struct cm_choice_input *choice,
			    struct cm_server_pool *pool)
{
	memset(context, 0, sizeof(*context));
	context->choice = choice;
	context->pool = pool;
	sum_pool(steer, pool, choice->now_ms);
	collect_domains(context, steer);
	collect_suspects(context, steer);
}

bool cm_choice_context_domain_is_suspect(
	const struct cm_choice_context *context, const struct cm_steer *steer,
	uint64_t domain_hash)
{
	const struct cm_steer_domains *domains = &steer->peers.domains;
	uint32_t index = cm_steer_domains_find(domains, domain_hash);

	return !cm_switched_off(CM_SWITCH_SUSPECT_DOMAIN) &&
	       index < domains->count &&
	       context->domains[index].silent_count >=
		       SUSPECT_DOMAIN_SILENT_MIN &&
	       domains->items[index].answered_ms <
		       context->domains[index].last_unanswered_ms;
}

static bool domain_has_usable_server(const struct cm_choice_context *context,
				     const struct cm_steer *steer,
				     uint64_t domain_hash)
{
	const struct cm_steer_domains *domains = &steer->peers.domains;
	uint32_t index = cm_steer_domains_find(domains, domain_hash);

	return index < domains->count &&
	       context->domains[index].has_usable_server;
}

bool cm_server_counts_this_instance(const struct cm_steer_server *server,
				    const struct cm_steer *steer,
				    const struct cm_choice_context *context)
{
	return server->domain_hash == steer->domain_hash ||
	       !domain_has_usable_server(context, steer, steer->domain_hash);
}

uint32_t cm_server_sending_instances(const struct cm_steer_server *server,
				     const struct cm_steer *steer,
				     const struct cm_choice_context *context)
{
	const struct cm_steer_domains *domains = &steer->peers.domains;
	uint32_t index = cm_steer_domains_find(domains, server->domain_hash);
	uint32_t count = context->instances_without_server;

	if (index < domains->count)
		count += domains->items[index].instances;
	return count ? count : SENDING_INSTANCES_DEFAULT;
}

/*
 * Estimates the load per slot of a server, thousandths. Each instance that
 * sends flows to the server is assumed to cause as much load there as this one.
 */
static uint64_t estimated_load(const struct cm_steer_server *server,
			       const struct cm_steer *steer,
			       const struct cm_choice_context *context,
			       uint32_t own)
{
	if (!own)
		return 0;
	return (uint64_t)own *
	       cm_server_sending_instances(server, steer, context) /
	       server->entry.slots;
}

static uint64_t greater(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/*
 * Whether a server is full by the loads that all instances put on it, and this
 * is no random difference from the others. Most differences are over before a
 * flow arrives. The standard deviation of a number of flows is the square root
 * of its mean.
 */
static bool is_clearly_more(const struct cm_steer_server *server, uint64_t load,
			    const struct cm_choice_context *context)
{
	const struct cm_pool_sums *sums = &context->pool->sums;
	uint64_t mean, excess;

	if (load < FULL_FLOWS_PER_SLOT * PER_MILLE || !sums->known_slots)
		return false;
	mean = sums->known_load / sums->known_slots;
	excess = load > mean ? load - mean : 0;
	return excess * excess * server->entry.slots >=
	       (uint64_t)CLEARLY_MORE_DEVIATIONS * CLEARLY_MORE_DEVIATIONS *
		       PER_MILLE * mean;
}

/*
 * Load per slot that a long flow counts for a server of the own failure domain,
 * thousandths. While the known load leaves a slot free, it stays below the cost
 * of another failure domain: the loads of servers there are known in part only
 * and look small, and a long flow to them ends when the domains are cut off.
 */
static uint64_t long_flow_load(uint64_t known, uint64_t estimate)
{
	uint64_t mean =
		(known + ESTIMATE_WEIGHT * estimate) / (1 + ESTIMATE_WEIGHT);

	return known < PER_MILLE && mean >= REMOTE_COST ? REMOTE_COST - 1 :
							  mean;
}

/*
 * Load per slot of a server, thousandths. Of a server in another failure domain
 * only the loads of the instances in this one are known, so they are a lower
 * bound. For a flow with one request, it is the estimate from own flows with
 * one request, without long flows, which may be idle; the known load replaces
 * the estimate if it is greater, and clearly more than that of the other
 * servers.
 *
 * For a long flow it is a weighted mean of the known load and of the estimate.
 * The estimate makes each instance spread its own flows and limits how far all
 * instances follow the same loads, which are up to a second old.
 */
static uint64_t load_per_mille(const struct cm_steer_server *server,
			       const struct cm_steer *steer,
			       const struct cm_choice_context *context)
{
	const struct cm_server_load *load = &server->load;
	uint64_t known, estimate, single;

	if (!cm_server_load_is_known(load, context->choice->now_ms))
		return estimated_load(server, steer, context, load->own);
	known = ((uint64_t)load->own + load->others) / server->entry.slots;
	estimate = estimated_load(server, steer, context, load->own);
	if (server->domain_hash != steer->domain_hash)
		return greater(known, estimate);
	if (context->choice->is_long)
		return long_flow_load(known, estimate);
	single = estimated_load(server, steer, context, load->own_single);
	return is_clearly_more(server, known, context) ?
		       greater(known, single) :
		       single;
}

bool cm_choice_context_uses_loads(const struct cm_choice_context *context)
{
	const struct cm_pool_sums *sums = &context->pool->sums;

	return context->choice->is_long &&
	       sums->known_count > sums->local_count / 2;
}

bool cm_server_is_full(const struct cm_steer_server *server,
		       const struct cm_steer *steer,
		       const struct cm_choice_context *context)
{
	return load_per_mille(server, steer, context) >=
	       FULL_FLOWS_PER_SLOT * PER_MILLE;
}

static uint32_t known_instances(const struct cm_steer *steer)
{
	const struct cm_steer_domains *domains = &steer->peers.domains;
	uint32_t count = 0;

	for (uint32_t i = 0; i < domains->count; i++)
		count += domains->items[i].instances;
	return count ? count : SENDING_INSTANCES_DEFAULT;
}

/*
 * Estimates how much of the load of the service's open flows is at its servers
 * rather than on the network, thousandths of a slot. The share on the network
 * is the time of FLOW_ROUND_TRIPS mean handshakes divided by the mean duration
 * of a flow.
 */
static uint64_t load_at_servers(const struct cm_server_pool *pool)
{
	uint64_t network_sum = (uint64_t)pool->handshake_ms_eighths *
			       FLOW_ROUND_TRIPS * pool->sums.service_time_count;
	uint64_t total_sum = pool->sums.service_time_sum;

	if (!total_sum)
		return pool->own_load;
	return network_sum < total_sum ?
		       pool->own_load * (total_sum - network_sum) / total_sum :
		       0;
}

bool cm_choice_context_is_busy(const struct cm_choice_context *context,
			       const struct cm_steer *steer)
{
	const struct cm_server_pool *pool = context->pool;

	return load_at_servers(pool) * known_instances(steer) >
	       pool->sums.slots * FULL_FLOWS_PER_SLOT * CM_LOAD_SLOT;
}

/*
 * Service time, thousandths of the mean; PER_MILLE for a server that is not
 * slow or whose service time is not known.
 */
static uint64_t slowness_per_mille(const struct cm_steer_server *server,
				   const struct cm_choice_context *context)
{
	const struct cm_pool_sums *sums = &context->pool->sums;
	uint64_t ratio;

	if (cm_switched_off(CM_SWITCH_SLOW_SERVER) ||
	    sums->service_time_count < 2 ||
	    !service_time_is_known(server, context->choice->now_ms))
		return PER_MILLE;
	ratio = (uint64_t)server->health.service_ms_eighths * PER_MILLE *
		sums->service_time_count / (sums->service_time_sum + 1);
	return ratio < SLOW_PER_MILLE ? PER_MILLE : ratio;
}

/*
 * Cost of an ejection. It is 0 when many servers are ejected: the cause is then
 * probably not the servers, or their capacity is needed in spite of it.
 */
static uint64_t ejected_cost(const struct cm_steer_server *server,
			     const struct cm_choice_context *context)
{
	const struct cm_pool_sums *sums = &context->pool->sums;

	if (cm_switched_off(CM_SWITCH_EJECTION) ||
	    !is_ejected(server, context->choice->now_ms) ||
	    sums->ejected_count * EJECTED_MAX_DIVISOR > sums->usable_count)
		return 0;
	return EJECTED_COST;
}

/* Cost of a failure rate above the mean of the service's servers. */
static uint64_t failing_cost(const struct cm_steer_server *server,
			     const struct cm_choice_context *context)
{
	const struct cm_pool_sums *sums = &context->pool->sums;
	uint64_t failed = server->health.failed_per_mille;
	uint64_t mean;

	if (cm_switched_off(CM_SWITCH_FAILING_COST) ||
	    !failure_rate_is_known(server, context->choice->now_ms) ||
	    !sums->failed_count)
		return 0;
	mean = sums->failed_sum / sums->failed_count;
	if (failed < mean + FAILING_MARGIN)
		return 0;
	return (failed - mean) * FAILING_COST / PER_MILLE;
}

/*
 * Returns the larger of the two costs: an ejection is based on the flows of all
 * instances of the failure domain, which have more failures together than this
 * one alone.
 */
static uint64_t failures_cost(const struct cm_steer_server *server,
			      const struct cm_choice_context *context)
{
	uint64_t own = failing_cost(server, context);
	uint64_t ejected = ejected_cost(server, context);

	return own > ejected ? own : ejected;
}

static bool answered_recently(const struct cm_steer_server *server,
			      uint64_t now_ms)
{
	return server->health.answered_ms &&
	       now_ms < server->health.answered_ms + ANSWER_RECENT_MS;
}

/* Cost that is common to the servers of a group. */
static uint64_t domain_cost(const struct cm_server_group *group,
			    const struct cm_steer *steer, uint64_t now_ms)
{
	uint64_t congestion = cm_congestion_get(&group->congestion, now_ms);
	uint64_t cost = congestion * CONGESTION_COST / CM_CONGESTION_FULL;

	if (cm_switched_off(CM_SWITCH_CONGESTION_COST))
		cost = 0;
	if (group->domain_hash != steer->domain_hash)
		cost += REMOTE_COST;
	return cost;
}

uint64_t cm_server_cost(const struct cm_steer_server *server,
			const struct cm_steer *steer,
			const struct cm_choice_context *context)
{
	uint64_t sum = (CM_COST_IDLE + load_per_mille(server, steer, context)) *
		       slowness_per_mille(server, context) / PER_MILLE;

	sum += failures_cost(server, context);
	sum += domain_cost(server->group, steer, context->choice->now_ms);
	if (!cm_switched_off(CM_SWITCH_UNPROVEN_COST) &&
	    context->choice->avoid_token &&
	    !answered_recently(server, context->choice->now_ms))
		sum += UNPROVEN_COST;
	if (context->choice->now_ms < server->cold_until_ms)
		sum += COLD_COST;
	return sum;
}

uint64_t cm_group_least_cost(const struct cm_server_group *group,
			     const struct cm_steer *steer, uint64_t now_ms)
{
	return CM_COST_IDLE + domain_cost(group, steer, now_ms);
}
