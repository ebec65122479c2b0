#include "chervilmast/steer_gone.h"

#include "chervilmast/suspect_list.h"
#include "steer_internal.h"
#include "test_switch.h"

/**
 * Time after the removal of a server's entry from which the number of entries
 * of its failure domain counts, ms. Servers renew their entries every 1.2 s, so
 * when a failure domain is cut off from the registry its entries expire within
 * that time. A removal that is first seen later than others needs no margin, as
 * the time is compared with the time at which the data was current.
 */
#define REMOVALS_SPREAD_MS 1200
/** Time after a server's last renewal at which its entry expires, ms. */
#define ENTRY_EXPIRY_MS 3600
/**
 * Minimum duration of a pause after which data must have been current at its
 * end, ms: the first retransmission interval of callers. A process with a small
 * share of a core often stops for up to 100 ms; after that any new data is
 * enough.
 */
#define LONG_PAUSE_MS 200

void cm_steer_gone_paused(struct cm_steer_gone *gone, uint64_t began_ms,
			  uint64_t ended_ms)
{
	gone->must_renew = true;
	if (ended_ms - began_ms > LONG_PAUSE_MS)
		gone->renewed_from_ms = ended_ms;
}

/* Whether the entry is absent without draining and without a later run. */
static bool is_missing(const struct cm_steer_server *server)
{
	if (server->listing == CM_LISTED || server->is_replaced)
		return false;
	return !server->entry.is_draining;
}

static void count_domain(const struct cm_steer_servers *servers,
			 uint64_t domain_hash,
			 struct cm_steer_gone_domain *domain)
{
	const struct cm_steer_server *server;

	domain->domain_hash = domain_hash;
	domain->is_counted = true;
	domain->changes = servers->listing_changes;
	domain->listed = 0;
	domain->missing = 0;
	TAILQ_FOREACH (server, &servers->all, link) {
		if (server->domain_hash != domain_hash)
			continue;
		domain->listed += server->listing == CM_LISTED;
		domain->missing += is_missing(server);
	}
}

/*
 * Whether at least half of the servers of a failure domain are registered.
 * Otherwise the domain may be cut off from the registry while its servers are
 * alive. The servers are counted again only after a change of an entry.
 */
static bool domain_is_listed(struct cm_steer *steer, uint64_t domain_hash)
{
	struct cm_steer_gone_domain *domain =
		&steer->gone.domains[domain_hash % CM_STEER_GONE_DOMAINS];

	if (!domain->is_counted || domain->domain_hash != domain_hash ||
	    domain->changes != steer->servers.listing_changes)
		count_domain(&steer->servers, domain_hash, domain);
	return domain->listed >= domain->missing;
}

/* Whether the server answered this instance's callers since a given time. */
static bool has_answered_since(const struct cm_steer_server *server,
			       uint64_t since_ms)
{
	return server->acked_ms > since_ms ||
	       server->health.answered_ms > since_ms;
}

/* As has_answered_since(); an answer to a probe counts too. */
static bool was_reached_since(const struct cm_steer_server *server,
			      uint64_t since_ms)
{
	return has_answered_since(server, since_ms) ||
	       server->health.reached_ms > since_ms;
}

static const uint64_t *find_down_since(const struct cm_steer_down *down,
				       uint32_t token)
{
	for (uint32_t i = 0; i < down->servers.count; i++)
		if (down->servers.tokens[i] == token)
			return &down->since_ms[i];
	return NULL;
}

/*
 * Whether the source lists the server as down. A caller has retransmitted data
 * to it, so that it has not answered since CM_DATA_STALL_MS before the list was
 * first requested; an answer after that disproves the list.
 */
static bool is_down(const struct cm_steer *steer, uint64_t now_ms,
		    const struct cm_steer_server *server, uint64_t *since_ms)
{
	const struct cm_steer_down *down = &steer->gone.down;
	const uint64_t *listed_ms;

	if (!down->servers.count ||
	    now_ms >= down->requested_ms + CM_SUSPECT_TTL_MS)
		return false;
	listed_ms = find_down_since(down, server->token);
	if (!listed_ms)
		return false;
	*since_ms = *listed_ms;
	return !was_reached_since(server, *listed_ms - CM_DATA_STALL_MS);
}

/*
 * Whether the server is silent by an observation other than that of data: it
 * left a SYN of this instance and a probe unanswered, or the source suspects
 * it.
 */
static bool seems_silent(const struct cm_steer_server *server, uint64_t now_ms)
{
	const struct cm_server_health *health = &server->health;

	if (cm_server_health_is_silent(health, now_ms) &&
	    !has_answered_since(server, health->unanswered_ms))
		return true;
	return now_ms < health->reported_until_ms;
}

/*
 * Whether the source suspected the server while its entry was about to expire,
 * and the server has not answered since. After the removal such a report is not
 * renewed, as the server gets no new flows.
 */
static bool was_reported_before_removal(const struct cm_steer_server *server)
{
	uint64_t reported_ms = server->health.reported_ms;

	return reported_ms &&
	       reported_ms + ENTRY_EXPIRY_MS >= server->removed_ms &&
	       !was_reached_since(server, reported_ms);
}

/*
 * Whether an observation agrees that a server whose entry was removed is gone.
 * A server that is cut off from the registry alone loses its entry, too.
 */
static bool observation_confirms_removal(const struct cm_steer *steer,
					 uint64_t now_ms,
					 const struct cm_steer_server *server)
{
	uint64_t since_ms;

	return cm_steer_gone_is_stalled(server, now_ms) ||
	       seems_silent(server, now_ms) ||
	       was_reported_before_removal(server) ||
	       is_down(steer, now_ms, server, &since_ms);
}

/*
 * Whether a server whose entry was removed without draining is gone: most other
 * entries of its failure domain stayed for long enough, and an observation
 * agrees.
 */
static bool removal_is_certain(struct cm_steer *steer, uint64_t now_ms,
			       const struct cm_steer_server *server)
{
	return steer->registry_confirmed_ms >=
		       server->removed_ms + REMOVALS_SPREAD_MS &&
	       domain_is_listed(steer, server->domain_hash) &&
	       observation_confirms_removal(steer, now_ms, server);
}

/*
 * Evidence from the registry; valid only while the registry is reachable and no
 * grace period after an outage is running. A server that has lost only its
 * connection to the registry still answers callers. So does one that was
 * draining for longer than its entry lasts, and one under whose id another
 * writer left an entry with another address.
 */
static bool check_registry(struct cm_steer *steer, uint64_t now_ms,
			   const struct cm_steer_server *server,
			   struct cm_steer_gone_evidence *evidence)
{
	if (cm_switched_off(CM_SWITCH_GONE_REGISTRY) ||
	    server->listing != CM_LEFT)
		return false;
	evidence->since_ms = server->removed_ms;
	if (has_answered_since(server, server->removed_ms))
		return false;
	evidence->reason = CM_C_STEER_GONE_REPLACED;
	if (server->is_replaced)
		return observation_confirms_removal(steer, now_ms, server);
	evidence->reason = CM_C_STEER_GONE_DRAINED;
	if (server->entry.is_draining)
		return observation_confirms_removal(steer, now_ms, server);
	evidence->reason = CM_C_STEER_GONE_REMOVED;
	return removal_is_certain(steer, now_ms, server);
}

void cm_steer_gone_apply_down(struct cm_steer_gone *gone, uint64_t requested_ms,
			      const struct cm_message_tokens *servers)
{
	struct cm_steer_down before = gone->down;
	struct cm_steer_down *down = &gone->down;

	if (requested_ms < before.requested_ms)
		return;
	if (requested_ms >= before.requested_ms + CM_SUSPECT_TTL_MS)
		before.servers.count = 0;
	down->servers = *servers;
	down->requested_ms = requested_ms;
	for (uint32_t i = 0; i < servers->count; i++) {
		const uint64_t *since_ms =
			find_down_since(&before, servers->tokens[i]);

		down->since_ms[i] = since_ms ? *since_ms : requested_ms;
	}
}

bool cm_steer_gone_is_stalled(const struct cm_steer_server *server,
			      uint64_t now_ms)
{
	return cm_data_watch_is_stalled(&server->watch, now_ms) &&
	       !was_reached_since(server, server->watch.stalled_from_ms);
}

static bool contains(const struct cm_message_tokens *list, uint32_t token)
{
	for (uint32_t i = 0; i < list->count; i++)
		if (list->tokens[i] == token)
			return true;
	return false;
}

static void append(struct cm_message_tokens *list, uint32_t token)
{
	if (list->count < CM_MESSAGE_TOKENS_MAX)
		list->tokens[list->count++] = token;
}

void cm_steer_gone_record_packet(struct cm_steer *steer, uint64_t now_ms,
				 const struct cm_steer_packet *packet,
				 struct cm_steer_server *server)
{
	struct cm_steer_gone *gone = &steer->gone;

	if (cm_data_watch_packet(&server->watch, now_ms, packet))
		server->acked_ms = now_ms;
	if (server->watch.stalled_ms != now_ms)
		return;
	if (now_ms < server->health.reported_until_ms)
		gone->has_new_silent = true;
	if (!contains(&gone->stalled, server->token))
		append(&gone->stalled, server->token);
}

void cm_steer_gone_list_stalled(struct cm_steer *steer, uint64_t now_ms,
				struct cm_message_tokens *silent,
				struct cm_message_tokens *stalled)
{
	struct cm_message_tokens before = steer->gone.stalled;

	steer->gone.stalled.count = 0;
	for (uint32_t i = 0; i < before.count; i++) {
		uint32_t token = before.tokens[i];
		const struct cm_steer_server *server =
			cm_steer_servers_find_by_token(&steer->servers, token);

		if (!server || server->listing == CM_LEFT ||
		    !cm_steer_gone_is_stalled(server, now_ms))
			continue;
		append(&steer->gone.stalled, token);
		if (!contains(silent, token) &&
		    now_ms < server->health.reported_until_ms)
			append(silent, token);
		if (contains(silent, token))
			append(stalled, token);
	}
}

/*
 * Whether an observation other than that of data agrees: the server seems
 * silent, or its entry was removed while those of most other servers stayed.
 */
static bool has_other_observation(struct cm_steer *steer, uint64_t now_ms,
				  const struct cm_steer_server *server)
{
	if (seems_silent(server, now_ms))
		return true;
	return server->listing == CM_LEFT &&
	       !cm_steer_may_have_lapsed(steer, now_ms) &&
	       domain_is_listed(steer, server->domain_hash);
}

/*
 * Whether a request of the flow may be executed twice, so that its caller
 * retries it after a reset. For other flows a reset gains nothing.
 */
static bool is_repeatable(const struct cm_steer *steer,
			  const struct cm_steer_packet *packet)
{
	const struct cm_plan_route *route =
		cm_steer_plan_find_route(&steer->plan, &packet->key.service);

	return route && cm_route_is_repeatable(&route->traits);
}

/* Evidence from two independent observations of the server. */
static bool check_observed(struct cm_steer *steer, uint64_t now_ms,
			   const struct cm_steer_packet *packet,
			   const struct cm_steer_server *server,
			   struct cm_steer_gone_evidence *evidence)
{
	if (cm_switched_off(CM_SWITCH_GONE_OBSERVED))
		return false;
	evidence->reason = CM_C_STEER_GONE_DOWN;
	if (is_down(steer, now_ms, server, &evidence->since_ms))
		return is_repeatable(steer, packet);
	evidence->reason = CM_C_STEER_GONE_SILENT;
	evidence->since_ms = server->watch.stalled_from_ms;
	return cm_steer_gone_is_stalled(server, now_ms) &&
	       has_other_observation(steer, now_ms, server) &&
	       is_repeatable(steer, packet);
}

/*
 * Whether the instance may act on evidence: it reaches servers, and its
 * registry data is recent and was renewed since the last pause of the process.
 */
static bool may_act(const struct cm_steer *steer, uint64_t now_ms)
{
	return !cm_steer_is_cut_off(steer) &&
	       cm_steer_registry_is_fresh(steer, now_ms) &&
	       !steer->gone.must_renew &&
	       steer->registry_confirmed_ms >= steer->gone.renewed_from_ms;
}

static bool has_evidence(struct cm_steer *steer, uint64_t now_ms,
			 const struct cm_steer_packet *packet,
			 const struct cm_steer_server *server,
			 struct cm_steer_gone_evidence *evidence)
{
	if (!cm_steer_may_have_lapsed(steer, now_ms) &&
	    check_registry(steer, now_ms, server, evidence))
		return true;
	return check_observed(steer, now_ms, packet, server, evidence);
}

bool cm_steer_gone_check(struct cm_steer *steer, uint64_t now_ms,
			 const struct cm_steer_packet *packet,
			 const struct cm_steer_server *server,
			 struct cm_steer_gone_evidence *evidence)
{
	if (packet->flags & (CM_STEER_SYN | CM_STEER_RST) ||
	    !has_evidence(steer, now_ms, packet, server, evidence))
		return false;
	if (may_act(steer, now_ms))
		return true;
	cm_counters_add(&steer->counters, CM_C_STEER_GONE_WITHHELD);
	return false;
}
