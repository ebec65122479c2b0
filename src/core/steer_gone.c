#include "chervilmast/steer_gone.h"

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
/**
 * Maximum duration of a pause after which data that was current at its start
 * still counts as renewed, ms: the first retransmission interval of callers. A
 * process with a small share of a core often stops for up to 100 ms.
 */
#define SHORT_PAUSE_MS 200

void cm_steer_gone_paused(struct cm_steer_gone *gone, uint64_t began_ms,
			  uint64_t ended_ms)
{
	gone->renewed_from_ms =
		ended_ms - began_ms <= SHORT_PAUSE_MS ? began_ms : ended_ms;
}

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

/*
 * Whether a server whose entry was removed without draining is gone: most other
 * entries of its failure domain stayed for long enough.
 */
static bool removal_is_certain(struct cm_steer *steer,
			       const struct cm_steer_server *server)
{
	return steer->registry_confirmed_ms >=
		       server->removed_ms + REMOVALS_SPREAD_MS &&
	       domain_is_listed(steer, server->domain_hash);
}

/*
 * Evidence from the registry; valid only while its data can be relied on. A
 * server that has lost its connection to the registry only still answers
 * callers.
 */
static bool check_registry(struct cm_steer *steer,
			   const struct cm_steer_server *server,
			   struct cm_steer_gone_evidence *evidence)
{
	if (cm_switched_off(CM_SWITCH_GONE_REGISTRY) ||
	    server->listing != CM_LEFT)
		return false;
	evidence->since_ms = server->removed_ms;
	evidence->reason = CM_C_STEER_GONE_REPLACED;
	if (server->is_replaced)
		return true;
	if (has_answered_since(server, server->removed_ms))
		return false;
	evidence->reason = CM_C_STEER_GONE_DRAINED;
	if (server->entry.is_draining)
		return true;
	evidence->reason = CM_C_STEER_GONE_REMOVED;
	return removal_is_certain(steer, server);
}

/*
 * Whether the copy of the registry can be relied on to conclude that a server
 * is gone: it is fresh and was renewed since the last pause, the registry is
 * reachable, and no grace period after an outage is running.
 */
static bool registry_is_reliable(const struct cm_steer *steer, uint64_t now_ms)
{
	return cm_steer_registry_is_fresh(steer, now_ms) &&
	       steer->registry_confirmed_ms >= steer->gone.renewed_from_ms &&
	       !cm_steer_may_have_lapsed(steer, now_ms);
}

bool cm_steer_gone_check(struct cm_steer *steer, uint64_t now_ms,
			 const struct cm_steer_packet *packet,
			 const struct cm_steer_server *server,
			 struct cm_steer_gone_evidence *evidence)
{
	if (packet->flags & (CM_STEER_SYN | CM_STEER_RST))
		return false;
	if (cm_steer_is_cut_off(steer) || !registry_is_reliable(steer, now_ms))
		return false;
	return check_registry(steer, server, evidence);
}
