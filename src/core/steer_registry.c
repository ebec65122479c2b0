#include <string.h>

#include "chervilmast/error.h"
#include "steer_internal.h"

struct cm_domain_out *cm_steer_find_domain_out(const struct cm_steer *steer,
					       const char *name)
{
	for (uint32_t i = 0; i < steer->domains_out_count; i++)
		if (!strcmp(steer->domains_out[i].name, name))
			return (struct cm_domain_out *)&steer->domains_out[i];
	return NULL;
}

bool cm_steer_server_is_usable(const struct cm_steer *steer,
			       const struct cm_steer_server *server,
			       uint64_t now_ms)
{
	if (server->listing == CM_LEFT || server->entry.is_draining)
		return false;
	if (server->listing == CM_LAPSED && !steer->is_registry_unreachable &&
	    now_ms >=
		    steer->registry_restored_ms + steer->config.lapse_grace_ms)
		return false;
	return !cm_steer_find_domain_out(steer, server->entry.domain);
}

int cm_steer_set_plan(struct cm_steer *steer, struct cm_steer_plan *plan)
{
	struct cm_steer_plan old;
	int error = CM_E_STALE;

	pthread_mutex_lock(&steer->lock);
	if (plan->version > steer->plan.version) {
		old = steer->plan;
		steer->plan = *plan;
		*plan = old;
		error = CM_OK;
	}
	pthread_mutex_unlock(&steer->lock);
	cm_steer_plan_finish(plan);
	return error;
}

int cm_steer_set_plan_version(struct cm_steer *steer, uint64_t version)
{
	int error = CM_E_STALE;

	pthread_mutex_lock(&steer->lock);
	if (version > steer->plan.version) {
		steer->plan.version = version;
		error = CM_OK;
	}
	pthread_mutex_unlock(&steer->lock);
	return error;
}

bool cm_steer_can_place(struct cm_steer *steer)
{
	bool can_place;

	pthread_mutex_lock(&steer->lock);
	can_place = steer->plan.version && steer->servers.count;
	pthread_mutex_unlock(&steer->lock);
	return can_place;
}

/*
 * Sets the position of a new server in the order of choices. It differs from
 * instance to instance; otherwise all instances would place their next flow on
 * the new server at the same time.
 */
static void set_initial_choice_seq(struct cm_steer *steer,
				   struct cm_steer_server *server)
{
	uint64_t range = steer->servers.count;

	if (steer->choice_seq == CM_STEER_CHOICE_SEQ_START)
		range = CM_STEER_CHOICE_SEQ_START;
	server->choice_seq =
		steer->choice_seq -
		cm_hash_mix(server->token, steer->config.seed) % range;
}

int cm_steer_put_server(struct cm_steer *steer, uint64_t now_ms,
			const struct cm_server_entry *entry)
{
	struct cm_steer_server *server;
	int error;

	pthread_mutex_lock(&steer->lock);
	error = cm_steer_servers_put(&steer->servers, entry, now_ms, &server);
	if (!error && !server->choice_seq)
		set_initial_choice_seq(steer, server);
	pthread_mutex_unlock(&steer->lock);
	return error;
}

bool cm_steer_registry_is_fresh(const struct cm_steer *steer, uint64_t now_ms)
{
	return now_ms <=
	       steer->registry_confirmed_ms + steer->config.registry_fresh_ms;
}

bool cm_steer_may_have_lapsed(const struct cm_steer *steer, uint64_t now_ms)
{
	return steer->is_registry_unreachable ||
	       (steer->registry_restored_ms &&
		now_ms < steer->registry_restored_ms +
				 steer->config.lapse_grace_ms);
}

static void handle_server_removed(struct cm_steer *steer,
				  struct cm_steer_server *server,
				  uint64_t now_ms)
{
	bool lapsed = server->listing != CM_LEFT &&
		      !server->entry.is_draining &&
		      cm_steer_may_have_lapsed(steer, now_ms);

	cm_steer_servers_set_listing(&steer->servers, server,
				     lapsed ? CM_LAPSED : CM_LEFT, now_ms);
}

/*
 * A server that is alive registers again within the grace period. The data must
 * have been current at the end of that period, or it may lack a new entry.
 */
void cm_steer_end_lapses(struct cm_steer *steer, uint64_t now_ms)
{
	if (!cm_steer_may_have_lapsed(steer, now_ms) &&
	    steer->registry_confirmed_ms >=
		    steer->registry_restored_ms + steer->config.lapse_grace_ms)
		cm_steer_servers_end_lapses(&steer->servers, now_ms);
}

void cm_steer_remove_server(struct cm_steer *steer, uint64_t now_ms,
			    uint64_t id)
{
	struct cm_steer_server *server;

	pthread_mutex_lock(&steer->lock);
	server = cm_steer_servers_find_by_id(&steer->servers, id);
	if (server)
		handle_server_removed(steer, server, now_ms);
	pthread_mutex_unlock(&steer->lock);
}

int cm_steer_put_peer(struct cm_steer *steer, const struct cm_peer_entry *entry)
{
	int error;

	pthread_mutex_lock(&steer->lock);
	error = cm_steer_peers_put(&steer->peers, entry);
	pthread_mutex_unlock(&steer->lock);
	return error;
}

void cm_steer_remove_peer(struct cm_steer *steer, const char *name)
{
	struct cm_steer_peer *peer;

	pthread_mutex_lock(&steer->lock);
	peer = cm_steer_peers_find(&steer->peers, name);
	if (peer)
		cm_steer_peers_remove(&steer->peers, peer);
	pthread_mutex_unlock(&steer->lock);
}

static void remove_domain_out(struct cm_steer *steer, struct cm_domain_out *out)
{
	*out = steer->domains_out[--steer->domains_out_count];
}

static int add_domain_out(struct cm_steer *steer, uint64_t now_ms,
			  const char *domain)
{
	struct cm_domain_out *out;

	if (steer->domains_out_count == CM_STEER_DOMAINS_OUT_MAX ||
	    strlen(domain) >= CM_NAME_SIZE)
		return CM_E_TOO_LARGE;
	out = &steer->domains_out[steer->domains_out_count++];
	memcpy(out->name, domain, strlen(domain) + 1);
	out->since_ms = now_ms;
	out->is_missing = false;
	return CM_OK;
}

int cm_steer_set_domain_out(struct cm_steer *steer, uint64_t now_ms,
			    const char *domain, bool is_out)
{
	struct cm_domain_out *out;
	int error = CM_OK;

	pthread_mutex_lock(&steer->lock);
	out = cm_steer_find_domain_out(steer, domain);
	if (out)
		out->is_missing = false;
	if (out && !is_out)
		remove_domain_out(steer, out);
	if (!out && is_out)
		error = add_domain_out(steer, now_ms, domain);
	pthread_mutex_unlock(&steer->lock);
	return error;
}

void cm_steer_hold_domain_out(struct cm_steer *steer, const char *domain)
{
	struct cm_domain_out *out;

	pthread_mutex_lock(&steer->lock);
	out = cm_steer_find_domain_out(steer, domain);
	if (out)
		out->is_missing = true;
	pthread_mutex_unlock(&steer->lock);
}

static struct cm_domain_out *find_missing_domain(struct cm_steer *steer)
{
	for (uint32_t i = 0; i < steer->domains_out_count; i++)
		if (steer->domains_out[i].is_missing)
			return &steer->domains_out[i];
	return NULL;
}

bool cm_steer_take_returned_domain(struct cm_steer *steer, uint64_t now_ms,
				   char *domain)
{
	struct cm_domain_out *out = NULL;

	pthread_mutex_lock(&steer->lock);
	if (!cm_steer_may_have_lapsed(steer, now_ms))
		out = find_missing_domain(steer);
	if (out) {
		memcpy(domain, out->name, sizeof(out->name));
		remove_domain_out(steer, out);
	}
	pthread_mutex_unlock(&steer->lock);
	return out;
}

void cm_steer_era_changed(struct cm_steer *steer, uint64_t now_ms)
{
	pthread_mutex_lock(&steer->lock);
	if (now_ms > steer->registry_restored_ms)
		steer->registry_restored_ms = now_ms;
	pthread_mutex_unlock(&steer->lock);
}

void cm_steer_registry_answered(struct cm_steer *steer, uint64_t current_at_ms)
{
	pthread_mutex_lock(&steer->lock);
	if (steer->is_outage_confirmed &&
	    current_at_ms > steer->registry_restored_ms)
		steer->registry_restored_ms = current_at_ms;
	steer->is_registry_unreachable = false;
	steer->is_outage_confirmed = false;
	steer->outage_reporter = 0;
	steer->gone.must_renew = false;
	if (current_at_ms > steer->registry_confirmed_ms)
		steer->registry_confirmed_ms = current_at_ms;
	pthread_mutex_unlock(&steer->lock);
}

uint64_t cm_steer_registry_confirmed_ms(struct cm_steer *steer)
{
	uint64_t confirmed_ms;

	pthread_mutex_lock(&steer->lock);
	confirmed_ms = steer->registry_confirmed_ms;
	pthread_mutex_unlock(&steer->lock);
	return confirmed_ms;
}

void cm_steer_registry_unreachable(struct cm_steer *steer)
{
	pthread_mutex_lock(&steer->lock);
	steer->is_registry_unreachable = true;
	steer->is_outage_confirmed = true;
	pthread_mutex_unlock(&steer->lock);
}

void cm_steer_registry_reported(struct cm_steer *steer,
				const struct cm_endpoint *reporter)
{
	uint64_t hash = cm_endpoint_hash(reporter);

	pthread_mutex_lock(&steer->lock);
	steer->is_registry_unreachable = true;
	if (steer->outage_reporter && steer->outage_reporter != hash)
		steer->is_outage_confirmed = true;
	else
		steer->outage_reporter = hash;
	pthread_mutex_unlock(&steer->lock);
}

static bool precedes(const struct cm_steer_peer *peer,
		     const struct cm_steer_peer *other)
{
	if (peer->entry.rank != other->entry.rank)
		return peer->entry.rank < other->entry.rank;
	return strcmp(peer->entry.name, other->entry.name) < 0;
}

bool cm_steer_select_source(struct cm_steer *steer, const char *self,
			    uint64_t now_ms,
			    const struct cm_feed_choice *choice,
			    struct cm_peer_entry *source)
{
	const struct cm_steer_peer *peer, *first = NULL;
	bool found;

	pthread_mutex_lock(&steer->lock);
	TAILQ_FOREACH (peer, &steer->peers.all, link) {
		if (peer->domain_hash != steer->domain_hash ||
		    cm_feed_choice_is_skipped(choice, peer->entry.name, now_ms))
			continue;
		if (!first || precedes(peer, first))
			first = peer;
	}
	found = first && strcmp(first->entry.name, self) != 0;
	if (found)
		*source = first->entry;
	pthread_mutex_unlock(&steer->lock);
	return found;
}

uint32_t cm_steer_count_local_peers(struct cm_steer *steer)
{
	uint32_t count;

	pthread_mutex_lock(&steer->lock);
	count = cm_steer_peers_count_in_domain(&steer->peers,
					       steer->config.domain);
	pthread_mutex_unlock(&steer->lock);
	return count;
}

uint32_t cm_steer_list_peers(struct cm_steer *steer, const char *domain,
			     struct cm_peer_entry *entries, uint32_t max)
{
	uint64_t domain_hash = cm_steer_name_hash(domain);
	const struct cm_steer_peer *peer;
	uint32_t count = 0;

	pthread_mutex_lock(&steer->lock);
	TAILQ_FOREACH (peer, &steer->peers.all, link)
		if (peer->domain_hash == domain_hash && count < max)
			entries[count++] = peer->entry;
	pthread_mutex_unlock(&steer->lock);
	return count;
}
