#include "chervilmast/steer_explain.h"

#include <string.h>

#include "chervilmast/error.h"
#include "pool_copy.h"
#include "server_cost.h"
#include "steer_internal.h"

#define PER_MILLE 1000
/**
 * Maximum time for which a token bucket is refilled at once, ms; as in
 * steer_choice.c.
 */
#define COLD_REFILL_MAX_MS 1000

/**
 * struct ranked_server - a server and its position in a list
 * @server: the server
 * @rank: cost of a candidate, exclusion of another server
 */
struct ranked_server {
	const struct cm_steer_server *server;
	uint64_t rank;
};

/**
 * struct server_ranking - the servers of least rank
 * @items: the servers, sorted by rank and id
 * @count: number of servers that were added, also of those not in @items
 */
struct server_ranking {
	struct ranked_server items[CM_EXPLAIN_ROWS_MAX];
	uint32_t count;
};

const char *cm_exclusion_name(enum cm_exclusion exclusion)
{
	static const char *const names[] = { [CM_EXCLUDED_NOT] = "none",
#define CM_EXCLUSION_NAME(constant, name, evidence) \
	[CM_EXCLUDED_##constant] = (name),
					     CM_EXCLUSIONS(CM_EXCLUSION_NAME)
#undef CM_EXCLUSION_NAME
	};

	return names[exclusion];
}

const char *cm_exclusion_evidence(enum cm_exclusion exclusion)
{
	static const char *const sources[] = {
		[CM_EXCLUDED_NOT] = "none",
#define CM_EXCLUSION_EVIDENCE(constant, name, evidence) \
	[CM_EXCLUDED_##constant] = (evidence),
		CM_EXCLUSIONS(CM_EXCLUSION_EVIDENCE)
#undef CM_EXCLUSION_EVIDENCE
	};

	return sources[exclusion];
}

static uint64_t slowness(const struct cm_steer *steer,
			 const struct cm_choice_context *context,
			 const struct cm_steer_server *server, uint64_t total)
{
	struct cm_steer_server copy = *server;

	copy.health.service_ms_eighths = 0;
	return total - cm_server_cost(&copy, steer, context);
}

static uint64_t failures(const struct cm_steer *steer,
			 const struct cm_choice_context *context,
			 const struct cm_steer_server *server, uint64_t total)
{
	struct cm_steer_server copy = *server;

	copy.health.failed_per_mille = 0;
	copy.health.ejected_until_ms = 0;
	return total - cm_server_cost(&copy, steer, context);
}

static uint64_t unproven(const struct cm_steer *steer,
			 const struct cm_choice_context *context,
			 const struct cm_steer_server *server, uint64_t total)
{
	struct cm_steer_server copy = *server;

	copy.health.answered_ms = context->choice->now_ms;
	return total - cm_server_cost(&copy, steer, context);
}

static uint64_t cold_start(const struct cm_steer *steer,
			   const struct cm_choice_context *context,
			   const struct cm_steer_server *server, uint64_t total)
{
	struct cm_steer_server copy = *server;

	copy.cold_until_ms = 0;
	return total - cm_server_cost(&copy, steer, context);
}

/*
 * A component is the difference that its cause makes to cm_server_cost(), so
 * that the components follow any change of the costs. The load is what the
 * others leave.
 */
static void explain_cost(const struct cm_steer *steer,
			 const struct cm_choice_context *context,
			 const struct cm_steer_server *server,
			 struct cm_explained_cost *cost)
{
	uint64_t total = cm_server_cost(server, steer, context);

	cost->total = total;
	cost->idle = CM_COST_IDLE;
	cost->slowness = slowness(steer, context, server, total);
	cost->failures = failures(steer, context, server, total);
	cost->unproven = unproven(steer, context, server, total);
	cost->cold_start = cold_start(steer, context, server, total);
	cost->other_domain = cm_group_least_cost(server->group, steer,
						 context->choice->now_ms) -
			     CM_COST_IDLE;
	cost->load = total - cost->idle - cost->slowness - cost->failures -
		     cost->unproven - cost->cold_start - cost->other_domain;
}

/* As the token bucket in steer_choice.c, without refilling it. */
static bool cold_rate_is_used_up(const struct cm_steer *steer,
				 const struct cm_choice_context *context,
				 const struct cm_steer_server *server)
{
	const struct cm_steer_service *service =
		cm_steer_plan_find_service(&steer->plan, server->entry.service);
	uint64_t now_ms = context->choice->now_ms;
	uint64_t passed_ms = now_ms - server->cold_refilled_ms;

	if (now_ms >= server->cold_until_ms || !service || !service->cold_per_s)
		return false;
	if (passed_ms > COLD_REFILL_MAX_MS)
		passed_ms = COLD_REFILL_MAX_MS;
	return server->cold_tokens + passed_ms * service->cold_per_s /
					     cm_server_sending_instances(
						     server, steer, context) <
	       PER_MILLE;
}

static enum cm_exclusion
unusable_reason(const struct cm_steer *steer,
		const struct cm_choice_context *context,
		const struct cm_steer_server *server)
{
	if (server->listing == CM_LEFT)
		return CM_EXCLUDED_LEFT;
	if (cm_steer_server_is_usable(steer, server, context->choice->now_ms))
		return server->pool ? CM_EXCLUDED_NOT : CM_EXCLUDED_UNKNOWN;
	if (server->entry.is_draining)
		return CM_EXCLUDED_DRAINING;
	if (cm_steer_find_domain_out(steer, server->entry.domain))
		return CM_EXCLUDED_DOMAIN_OUT;
	return server->listing == CM_LAPSED ? CM_EXCLUDED_LAPSED :
					      CM_EXCLUDED_UNKNOWN;
}

/* The conditions of a choice, see is_eligible() in steer_choice.c. */
static enum cm_exclusion exclusion_of(const struct cm_steer *steer,
				      const struct cm_choice_context *context,
				      const struct cm_steer_server *server)
{
	const struct cm_choice_input *choice = context->choice;
	enum cm_exclusion unusable = unusable_reason(steer, context, server);

	if (unusable != CM_EXCLUDED_NOT)
		return unusable;
	if (server->token == choice->avoid_token)
		return CM_EXCLUDED_AVOIDED;
	if (choice->now_ms < server->health.reported_until_ms)
		return CM_EXCLUDED_REPORTED;
	if (!cm_server_health_may_get_flow(&server->health, choice->now_ms))
		return CM_EXCLUDED_SUSPECTED;
	if (!server->health.is_reached &&
	    cm_choice_context_domain_is_suspect(context, steer,
						server->domain_hash))
		return CM_EXCLUDED_DOMAIN_SUSPECT;
	if (cold_rate_is_used_up(steer, context, server))
		return CM_EXCLUDED_COLD;
	if (cm_steer_servers_find_by_token(&steer->servers, server->token) !=
	    server)
		return CM_EXCLUDED_TOKEN;
	return CM_EXCLUDED_NOT;
}

static uint64_t domain_unanswered_ms(const struct cm_steer *steer,
				     const struct cm_choice_context *context,
				     uint64_t domain_hash)
{
	uint32_t index =
		cm_steer_domains_find(&steer->peers.domains, domain_hash);

	return index < steer->peers.domains.count ?
		       context->domains[index].last_unanswered_ms :
		       0;
}

/* Return: when the evidence for an exclusion arose, ms; 0 when not known. */
static uint64_t evidence_ms(const struct cm_steer *steer,
			    const struct cm_choice_context *context,
			    const struct cm_steer_server *server,
			    enum cm_exclusion exclusion)
{
	const struct cm_domain_out *out;

	switch (exclusion) {
	case CM_EXCLUDED_LEFT:
	case CM_EXCLUDED_LAPSED:
		return server->listing_changed_ms;
	case CM_EXCLUDED_DRAINING:
		return steer->registry_confirmed_ms;
	case CM_EXCLUDED_DOMAIN_OUT:
		out = cm_steer_find_domain_out(steer, server->entry.domain);
		return out ? out->since_ms : 0;
	case CM_EXCLUDED_REPORTED:
		return server->health.reported_until_ms -
		       CM_HEALTH_REPORT_TTL_MS;
	case CM_EXCLUDED_SUSPECTED:
		return server->health.unanswered_ms;
	case CM_EXCLUDED_DOMAIN_SUSPECT:
		return domain_unanswered_ms(steer, context,
					    server->domain_hash);
	default:
		return 0;
	}
}

static bool ranks_before(const struct ranked_server *left,
			 const struct ranked_server *right)
{
	if (left->rank != right->rank)
		return left->rank < right->rank;
	return left->server->entry.id < right->server->entry.id;
}

static void add_ranked(struct server_ranking *ranking,
		       const struct cm_steer_server *server, uint64_t rank)
{
	struct ranked_server item = { server, rank };
	uint32_t index = ranking->count++;

	if (index >= CM_EXPLAIN_ROWS_MAX) {
		index = CM_EXPLAIN_ROWS_MAX - 1;
		if (!ranks_before(&item, &ranking->items[index]))
			return;
	}
	for (; index && ranks_before(&item, &ranking->items[index - 1]);
	     index--)
		ranking->items[index] = ranking->items[index - 1];
	ranking->items[index] = item;
}

static void fill_row(const struct cm_steer *steer,
		     const struct cm_choice_context *context,
		     const struct cm_steer_server *server,
		     enum cm_exclusion exclusion,
		     struct cm_explained_server *row)
{
	uint64_t now_ms = context->choice->now_ms;
	uint64_t since_ms = evidence_ms(steer, context, server, exclusion);

	memset(row, 0, sizeof(*row));
	row->id = server->entry.id;
	row->token = server->token;
	memcpy(row->domain, server->entry.domain, sizeof(row->domain));
	row->address = server->entry.address;
	row->open_flows = server->open_flows;
	row->is_full = cm_server_is_full(server, steer, context);
	row->exclusion = exclusion;
	row->has_age = since_ms > 0;
	if (since_ms && now_ms > since_ms)
		row->age_ms = now_ms - since_ms;
	if (exclusion == CM_EXCLUDED_NOT)
		explain_cost(steer, context, server, &row->cost);
}

static uint32_t listed_count(const struct server_ranking *ranking)
{
	return ranking->count < CM_EXPLAIN_ROWS_MAX ? ranking->count :
						      CM_EXPLAIN_ROWS_MAX;
}

static void fill_candidates(const struct cm_steer *steer,
			    const struct cm_choice_context *context,
			    const struct server_ranking *ranking,
			    struct cm_explained_service *service)
{
	service->candidate_count = ranking->count;
	for (uint32_t i = 0; i < listed_count(ranking); i++)
		fill_row(steer, context, ranking->items[i].server,
			 CM_EXCLUDED_NOT, &service->candidates[i]);
}

static void fill_excluded(const struct cm_steer *steer,
			  const struct cm_choice_context *context,
			  const struct server_ranking *ranking,
			  struct cm_explained_service *service)
{
	service->excluded_count = ranking->count;
	for (uint32_t i = 0; i < listed_count(ranking); i++)
		fill_row(steer, context, ranking->items[i].server,
			 (enum cm_exclusion)ranking->items[i].rank,
			 &service->excluded[i]);
}

static void explain_servers(const struct cm_steer *steer,
			    const struct cm_choice_context *context,
			    struct cm_explained_service *service)
{
	uint64_t service_hash = cm_steer_name_hash(service->name);
	struct server_ranking candidates = { .count = 0 };
	struct server_ranking excluded = { .count = 0 };
	const struct cm_steer_server *server;

	TAILQ_FOREACH (server, &steer->servers.all, link) {
		enum cm_exclusion exclusion;

		if (server->service_hash != service_hash)
			continue;
		exclusion = exclusion_of(steer, context, server);
		if (exclusion == CM_EXCLUDED_NOT)
			add_ranked(&candidates, server,
				   cm_server_cost(server, steer, context));
		else
			add_ranked(&excluded, server, exclusion);
	}
	fill_candidates(steer, context, &candidates, service);
	fill_excluded(steer, context, &excluded, service);
}

static void explain_pool(struct cm_steer *steer, uint64_t now_ms,
			 const struct cm_explanation *explanation,
			 struct cm_server_pool *pool,
			 struct cm_explained_service *service)
{
	struct cm_steer_packet syn = {
		.key.service = explanation->route,
		.flags = CM_STEER_SYN,
		.repeats = explanation->avoid_token ? 1 : 0,
	};
	const struct cm_choice_input choice = {
		.service = service->name,
		.avoid_token = explanation->avoid_token,
		.now_ms = now_ms,
	};
	/* For a service without servers; the zeroed list of groups is empty. */
	struct cm_server_pool no_servers = { .count = 0 };
	struct cm_choice_context context;

	cm_steer_preview_syn(steer, now_ms, &syn, &choice, &service->verdict);
	cm_choice_context_init(&context, steer, &choice,
			       pool ? pool : &no_servers);
	service->is_busy = cm_choice_context_is_busy(&context, steer);
	service->mean_flow_ms = cm_steer_mean_flow_ms(steer, service->name);
	explain_servers(steer, &context, service);
}

static int explain_service(struct cm_steer *steer, uint64_t now_ms,
			   const struct cm_explanation *explanation,
			   struct cm_explained_service *service)
{
	struct cm_server_pool *pool = cm_server_pools_find(
		&steer->servers.pools, cm_steer_name_hash(service->name));
	struct cm_pool_copy copy;
	int error;

	if (!pool) {
		explain_pool(steer, now_ms, explanation, NULL, service);
		return CM_OK;
	}
	error = cm_pool_copy_init(&copy, steer, pool);
	if (error)
		return error;
	explain_pool(steer, now_ms, explanation, pool, service);
	cm_pool_copy_restore(&copy);
	return CM_OK;
}

static int explain_services(struct cm_steer *steer, uint64_t now_ms,
			    const struct cm_plan_route *route,
			    struct cm_explanation *explanation)
{
	const struct cm_steer_plan *plan = &steer->plan;
	int error = CM_OK;

	for (uint32_t i = 0; i < route->target_count && !error; i++) {
		const struct cm_plan_target *target =
			&plan->targets[route->first_target + i];
		struct cm_explained_service *service;

		if (!target->weight)
			continue;
		service = &explanation->services[explanation->service_count++];
		service->weight = target->weight;
		memcpy(service->name, plan->names[target->name_index].text,
		       sizeof(service->name));
		error = explain_service(steer, now_ms, explanation, service);
	}
	return error;
}

static void fill_state(const struct cm_steer *steer, uint64_t now_ms,
		       struct cm_explanation *explanation)
{
	memcpy(explanation->domain, steer->config.domain,
	       sizeof(explanation->domain));
	explanation->plan_version = steer->plan.version;
	explanation->has_registry_data = steer->registry_confirmed_ms > 0;
	if (now_ms > steer->registry_confirmed_ms)
		explanation->registry_age_ms =
			now_ms - steer->registry_confirmed_ms;
	explanation->is_registry_unreachable = steer->is_registry_unreachable;
}

/* Sets the verdict without a plan or a service; no server is compared. */
static void explain_refusal(struct cm_steer *steer, uint64_t now_ms,
			    struct cm_explanation *explanation)
{
	const struct cm_choice_input choice = { .now_ms = now_ms };
	const struct cm_steer_packet syn = {
		.key.service = explanation->route,
		.flags = CM_STEER_SYN,
	};

	cm_steer_preview_syn(steer, now_ms, &syn, &choice,
			     &explanation->verdict);
}

static int explain(struct cm_steer *steer, uint64_t now_ms,
		   struct cm_explanation *explanation)
{
	const struct cm_plan_route *route =
		cm_steer_plan_find_route(&steer->plan, &explanation->route);
	int error;

	fill_state(steer, now_ms, explanation);
	if (explanation->avoid_token &&
	    !cm_steer_servers_find_by_token(&steer->servers,
					    explanation->avoid_token))
		return CM_E_UNKNOWN_SERVER;
	if (!route && steer->plan.version)
		return CM_E_UNKNOWN_ROUTE;
	if (route) {
		explanation->objective_ms = route->objective_ms;
		explanation->traits = route->traits;
		error = explain_services(steer, now_ms, route, explanation);
		if (error)
			return error;
	}
	if (!explanation->service_count)
		explain_refusal(steer, now_ms, explanation);
	return CM_OK;
}

int cm_steer_explain(struct cm_steer *steer, uint64_t now_ms,
		     const struct cm_endpoint *route, uint32_t avoid_token,
		     struct cm_explanation *explanation)
{
	int error;

	memset(explanation, 0, sizeof(*explanation));
	explanation->route = *route;
	explanation->avoid_token = avoid_token;
	pthread_mutex_lock(&steer->lock);
	error = explain(steer, now_ms, explanation);
	pthread_mutex_unlock(&steer->lock);
	return error;
}
