#include <string.h>

#include "chervilmast/steer_report.h"
#include "steer_admission.h"
#include "steer_internal.h"

/**
 * Time without an answer after which a SYN counts as unanswered, by the active
 * clock (active_ms of struct cm_steer), ms.
 */
#define ANSWER_TIMEOUT_MS 80
/**
 * Maximum step of the active clock from one packet or tick to the next, ms;
 * makes a pause of the process count for little.
 */
#define ACTIVE_STEP_MAX_MS 60
/**
 * Consecutive unanswered SYNs, to any server, after which the instance counts
 * as cut off.
 */
#define CUT_OFF_SYNS 4
/**
 * Minimum time between probes while the instance is cut off, ms; suspected
 * servers are probed in addition.
 */
#define CUT_OFF_PROBE_MS 200

void cm_steer_record_change(struct cm_steer *steer,
			    enum cm_steer_change_kind kind,
			    const struct cm_flow_key *key,
			    const struct cm_steer_server *server)
{
	struct cm_steer_change change = {
		.kind = kind,
		.unanswered_syns = steer->unanswered_syns,
		.at_ms = steer->last_now_ms,
	};

	if (key)
		change.key = *key;
	if (server) {
		change.server_id = server->entry.id;
		change.token = server->token;
	}
	cm_steer_changes_add(&steer->changes, &change);
}

static void decrement_open_flows(struct cm_steer_server *server,
				 struct cm_steer_flow *flow)
{
	if (!server)
		return;
	cm_server_pool_flow_closed(server);
	cm_server_load_uncount(server, flow);
}

/*
 * A flow whose SYN counts as unanswered is not included in open_flows of its
 * server, so that this number is not decremented for it.
 */
void cm_steer_remove_flow(struct cm_steer *steer, struct cm_steer_flow *flow)
{
	struct cm_steer_server *server =
		cm_steer_servers_find_by_token(&steer->servers, flow->token);

	if (!flow->is_unanswered)
		decrement_open_flows(server, flow);
	cm_steer_flows_remove(&steer->flows, flow);
}

bool cm_steer_syn_is_overdue(const struct cm_steer *steer,
			     const struct cm_steer_flow *flow)
{
	return steer->active_ms >= flow->syn_active_ms + ANSWER_TIMEOUT_MS;
}

void cm_steer_mark_syn_unanswered(struct cm_steer *steer,
				  struct cm_steer_flow *flow)
{
	struct cm_steer_server *server =
		cm_steer_servers_find_by_token(&steer->servers, flow->token);
	bool is_newly_suspected;

	cm_steer_flows_set_syn_result(&steer->flows, flow, false);
	decrement_open_flows(server, flow);
	steer->unanswered_syns++;
	cm_steer_record_change(steer, CM_STEER_CHANGE_UNANSWERED, &flow->key,
			       server);
	if (steer->unanswered_syns == CUT_OFF_SYNS)
		cm_steer_record_change(steer, CM_STEER_CHANGE_CUT_OFF, NULL,
				       server);
	cm_counters_add(&steer->counters, CM_C_STEER_SYN_UNANSWERED);
	if (!server)
		return;
	is_newly_suspected =
		cm_server_health_syn_unanswered(&server->health, flow->syn_ms);
	if (cm_server_health_is_suspected(&server->health))
		cm_steer_servers_add_suspect(&steer->servers, server);
	if (!is_newly_suspected)
		return;
	cm_counters_add(&steer->counters, CM_C_STEER_SUSPECTED);
	cm_steer_record_change(steer, CM_STEER_CHANGE_SUSPECTED, NULL, server);
}

void cm_steer_advance_clock(struct cm_steer *steer, uint64_t now_ms)
{
	uint64_t step_ms = steer->last_now_ms ? now_ms - steer->last_now_ms : 0;

	if (now_ms < steer->last_now_ms)
		step_ms = 0;
	if (step_ms > ACTIVE_STEP_MAX_MS)
		cm_steer_gone_paused(&steer->gone, steer->last_now_ms, now_ms);
	steer->active_ms +=
		step_ms < ACTIVE_STEP_MAX_MS ? step_ms : ACTIVE_STEP_MAX_MS;
	steer->last_now_ms = now_ms;
}

static void check_unanswered_syns(struct cm_steer *steer)
{
	struct cm_steer_flow *flow = TAILQ_FIRST(&steer->flows.opening);

	while (flow && cm_steer_syn_is_overdue(steer, flow)) {
		cm_steer_mark_syn_unanswered(steer, flow);
		flow = TAILQ_FIRST(&steer->flows.opening);
	}
}

void cm_steer_leave(struct cm_steer *steer)
{
	pthread_mutex_lock(&steer->lock);
	steer->is_leaving = true;
	pthread_mutex_unlock(&steer->lock);
}

bool cm_steer_is_leaving(struct cm_steer *steer)
{
	bool is_leaving;

	pthread_mutex_lock(&steer->lock);
	is_leaving = steer->is_leaving;
	pthread_mutex_unlock(&steer->lock);
	return is_leaving;
}

bool cm_steer_is_cut_off(const struct cm_steer *steer)
{
	return !steer->has_reached_server ||
	       steer->unanswered_syns >= CUT_OFF_SYNS;
}

/*
 * Whether a route may send flows to a server. Another writer may have left an
 * entry of a service that the plan does not name.
 */
static bool may_be_chosen(const struct cm_steer *steer,
			  const struct cm_steer_server *server, uint64_t now_ms)
{
	return cm_steer_server_is_usable(steer, server, now_ms) &&
	       cm_steer_plan_has_target(&steer->plan, server->entry.service);
}

static struct cm_steer_server *least_recently_chosen(struct cm_steer *steer,
						     uint64_t now_ms)
{
	struct cm_steer_server *server, *next = NULL;

	TAILQ_FOREACH (server, &steer->servers.all, link)
		if (may_be_chosen(steer, server, now_ms) &&
		    (!next || server->choice_seq < next->choice_seq))
			next = server;
	return next;
}

/* Examines only the suspects, as it is called many times a second. */
static struct cm_steer_server *suspect_to_probe(struct cm_steer *steer,
						uint64_t now_ms)
{
	struct cm_steer_server *server;

	TAILQ_FOREACH (server, &steer->servers.suspects, suspect_link) {
		steer->servers_examined++;
		if (cm_steer_server_is_usable(steer, server, now_ms) &&
		    cm_server_health_probe_is_due(&server->health, now_ms))
			return server;
	}
	return NULL;
}

static bool has_usable_server(struct cm_steer *steer, uint64_t now_ms)
{
	const struct cm_steer_server *server;

	TAILQ_FOREACH (server, &steer->servers.all, link) {
		steer->servers_examined++;
		if (may_be_chosen(steer, server, now_ms))
			return true;
	}
	return false;
}

uint32_t cm_steer_next_probe(struct cm_steer *steer, uint64_t now_ms,
			     struct cm_endpoint *address)
{
	struct cm_steer_server *server;
	uint32_t token = 0;

	pthread_mutex_lock(&steer->lock);
	server = suspect_to_probe(steer, now_ms);
	if (!server && cm_steer_is_cut_off(steer) &&
	    now_ms >= steer->probed_ms + CUT_OFF_PROBE_MS) {
		server = least_recently_chosen(steer, now_ms);
		if (server)
			server->choice_seq = ++steer->choice_seq;
	}
	if (server) {
		steer->probed_ms = now_ms;
		cm_server_health_probed(&server->health, now_ms);
		*address = server->entry.address;
		token = server->token;
	}
	pthread_mutex_unlock(&steer->lock);
	if (token)
		cm_counters_add(&steer->counters, CM_C_STEER_PROBES);
	return token;
}

void cm_steer_probe_succeeded(struct cm_steer *steer, uint64_t now_ms,
			      uint32_t token)
{
	struct cm_steer_server *server;

	pthread_mutex_lock(&steer->lock);
	server = cm_steer_servers_find_by_token(&steer->servers, token);
	steer->unanswered_syns = 0;
	steer->has_reached_server = true;
	if (server)
		cm_server_health_reached(&server->health, now_ms);
	pthread_mutex_unlock(&steer->lock);
}

static bool is_ready(struct cm_steer *steer, uint64_t now_ms)
{
	return steer->plan.version && !steer->is_leaving &&
	       !cm_steer_is_cut_off(steer) && has_usable_server(steer, now_ms);
}

bool cm_steer_is_ready(struct cm_steer *steer, uint64_t now_ms)
{
	bool ready;

	pthread_mutex_lock(&steer->lock);
	ready = is_ready(steer, now_ms);
	pthread_mutex_unlock(&steer->lock);
	return ready;
}

static void record_readiness(struct cm_steer *steer, uint64_t now_ms)
{
	bool ready = is_ready(steer, now_ms);

	if (ready != steer->was_ready)
		cm_steer_record_change(steer,
				       ready ? CM_STEER_CHANGE_READY :
					       CM_STEER_CHANGE_NOT_READY,
				       NULL, NULL);
	steer->was_ready = ready;
}

/*
 * Number of kinds of evidence that a server is silent: 0, 1 for SYNs and
 * probes, 2 if data is not acknowledged either.
 */
static uint32_t count_observations(const struct cm_steer_server *server,
				   uint64_t now_ms)
{
	if (!cm_server_health_is_silent(&server->health, now_ms))
		return 0;
	return 1 + cm_steer_gone_is_stalled(server, now_ms);
}

/*
 * Finds servers of which there is more to report than at the last tick.
 * Examines only the suspects, as it is called many times a second.
 */
static void find_new_silent(struct cm_steer *steer, uint64_t now_ms)
{
	struct cm_steer_server *server;

	TAILQ_FOREACH (server, &steer->servers.suspects, suspect_link) {
		uint32_t observations = count_observations(server, now_ms);

		if (observations > server->observations)
			steer->gone.has_new_silent = true;
		server->observations = observations;
	}
}

void cm_steer_tick(struct cm_steer *steer, uint64_t now_ms)
{
	pthread_mutex_lock(&steer->lock);
	cm_steer_advance_clock(steer, now_ms);
	cm_steer_admission_update(steer, now_ms);
	check_unanswered_syns(steer);
	cm_steer_check_idle_flows(steer, now_ms);
	cm_steer_end_lapses(steer, now_ms);
	find_new_silent(steer, now_ms);
	cm_steer_check_loads(steer, now_ms);
	if (now_ms > steer->config.flow_life_ms)
		cm_steer_servers_expire(&steer->servers,
					now_ms - steer->config.flow_life_ms);
	record_readiness(steer, now_ms);
	pthread_mutex_unlock(&steer->lock);
}

void cm_steer_take_changes(struct cm_steer *steer,
			   struct cm_steer_changes *changes)
{
	pthread_mutex_lock(&steer->lock);
	changes->count = steer->changes.count;
	changes->dropped = steer->changes.dropped;
	memcpy(changes->items, steer->changes.items,
	       changes->count * sizeof(*changes->items));
	steer->changes.count = 0;
	steer->changes.dropped = 0;
	pthread_mutex_unlock(&steer->lock);
}

uint32_t cm_steer_list_silent_servers(struct cm_steer *steer, uint64_t now_ms,
				      uint32_t *tokens, uint32_t max)
{
	const struct cm_steer_server *server;
	uint32_t count = 0;

	pthread_mutex_lock(&steer->lock);
	TAILQ_FOREACH (server, &steer->servers.suspects, suspect_link) {
		if (count == max || cm_steer_is_cut_off(steer))
			break;
		if (server->listing != CM_LEFT &&
		    cm_server_health_is_silent(&server->health, now_ms))
			tokens[count++] = server->token;
	}
	pthread_mutex_unlock(&steer->lock);
	return count;
}

void cm_steer_list_stalled_servers(struct cm_steer *steer, uint64_t now_ms,
				   struct cm_message_tokens *silent,
				   struct cm_message_tokens *stalled)
{
	pthread_mutex_lock(&steer->lock);
	stalled->count = 0;
	if (!cm_steer_is_cut_off(steer))
		cm_steer_gone_list_stalled(steer, now_ms, silent, stalled);
	pthread_mutex_unlock(&steer->lock);
}

void cm_steer_apply_down(struct cm_steer *steer, uint64_t requested_ms,
			 const struct cm_message_tokens *servers)
{
	pthread_mutex_lock(&steer->lock);
	cm_steer_gone_apply_down(&steer->gone, requested_ms, servers);
	pthread_mutex_unlock(&steer->lock);
}

bool cm_steer_take_new_silent(struct cm_steer *steer)
{
	bool has_new;

	pthread_mutex_lock(&steer->lock);
	has_new = steer->gone.has_new_silent;
	steer->gone.has_new_silent = false;
	pthread_mutex_unlock(&steer->lock);
	return has_new;
}

void cm_steer_apply_reports(struct cm_steer *steer, uint64_t now_ms,
			    const uint32_t *tokens, uint32_t count)
{
	pthread_mutex_lock(&steer->lock);
	for (uint32_t i = 0; i < count; i++) {
		struct cm_steer_server *server = cm_steer_servers_find_by_token(
			&steer->servers, tokens[i]);

		if (server)
			cm_server_health_reported(&server->health, now_ms);
	}
	pthread_mutex_unlock(&steer->lock);
}

uint64_t cm_steer_idle_ms(struct cm_steer *steer, uint64_t now_ms)
{
	uint64_t idle_ms;

	pthread_mutex_lock(&steer->lock);
	idle_ms = now_ms - steer->last_forwarded_ms;
	pthread_mutex_unlock(&steer->lock);
	return idle_ms;
}
