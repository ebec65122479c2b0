#include "node_admit.h"

#include <ck_pr.h>

#include "chervilmast/membership.h"
#include "node_balance.h"
#include "node_event.h"
#include "node_internal.h"
#include "node_maintain.h"
#include "test_switch.h"

#define MS_PER_S 1000

_Static_assert(CM_TAKEOVER_LEASE_MS >= CM_LEASE_MS,
	       "a takeover must cover the lease of the previous home");

/* Bounds the memory that a SYN flood can use. */
void cm_half_open_evict(struct cm_event *event, struct cm_flow_shard *shard)
{
	uint32_t limit = event->node->config.half_open_max / CM_FLOW_SHARDS + 1;

	if (cm_switched_off(CM_SWITCH_HALF_OPEN_BOUND))
		return;
	while (shard->half_open_count >= limit) {
		struct cm_flow *oldest = TAILQ_FIRST(&shard->half_open);

		cm_node_reset_at_server(event->node, oldest, event->actions);
		cm_node_release(event->node, oldest);
		cm_flow_shard_remove(shard, oldest);
		cm_event_count(event, CM_C_HALF_OPEN_DISPLACED);
	}
}

/**
 * struct server_search - search for a server that admits a flow
 * @event: the flow's first packet, or the server's RST in answer to it
 * @shard: the flow's shard, locked
 * @tried: bit mask of the candidates that were tried
 * @candidate: index of the chosen candidate
 * @home: home of that candidate
 * @refusal: reason to send to the caller if no candidate is found
 */
struct server_search {
	struct cm_event *event;
	struct cm_flow_shard *shard;
	uint32_t tried;
	uint32_t candidate;
	uint32_t home;
	enum cm_refusal refusal;
};

static uint32_t chosen_server(const struct server_search *search)
{
	return search->event->candidates.servers[search->candidate];
}

static const struct cm_endpoint *
chosen_address(const struct server_search *search)
{
	const struct cm_catalog *catalog = &search->event->node->view.catalog;

	return &catalog->servers[chosen_server(search)].spec.address;
}

uint64_t cm_admit_idle_timeout_ms(const struct cm_node *node, uint32_t server)
{
	const struct cm_catalog *catalog = &node->view.catalog;
	uint32_t service = catalog->servers[server].service;

	return (uint64_t)catalog->services[service].spec.idle_timeout_s *
	       MS_PER_S;
}

void cm_admit_take_over(struct cm_node *node, uint32_t server, uint64_t now_ms)
{
	cm_backend_take_over(node->backends[server],
			     &node->view.catalog.servers[server].spec,
			     cm_admit_idle_timeout_ms(node, server),
			     CM_TAKEOVER_LEASE_MS, now_ms);
}

static enum cm_refusal refusal_for(enum cm_counter skip)
{
	if (skip == CM_C_SKIP_CAP)
		return CM_REFUSAL_CAP;
	if (skip == CM_C_SKIP_RATE)
		return CM_REFUSAL_RATE;
	return CM_REFUSAL_COLD_START;
}

/* Keeps the reason with the shortest delay until the caller may retry. */
static void record_refusal(struct server_search *search,
			   const struct cm_admission_refusal *refusal)
{
	struct cm_event *event = search->event;

	cm_event_count(event, refusal->reason);
	if (!refusal->retry_after_ms ||
	    (event->retry_after_ms &&
	     event->retry_after_ms <= refusal->retry_after_ms))
		return;
	event->retry_after_ms = refusal->retry_after_ms;
	search->refusal = refusal_for(refusal->reason);
}

/*
 * Without a lease, another instance may have become the home of this instance's
 * servers.
 */
static bool may_admit(const struct cm_event *event)
{
	struct cm_node *node = event->node;

	if (node->is_leaving && !cm_switched_off(CM_SWITCH_LEAVING_INSTANCE))
		return false;
	return event->now_ms < ck_pr_load_64(&node->admit_until_ms) ||
	       cm_switched_off(CM_SWITCH_LEASE);
}

/*
 * Admits the flow to the candidate's server, whose home is this instance.
 * Returns false and records the reason if the flow cannot be admitted.
 */
static bool admit_here(struct server_search *search)
{
	struct cm_event *event = search->event;
	struct cm_node *node = event->node;
	uint32_t server = chosen_server(search);
	struct cm_admission_refusal refusal;

	if (!may_admit(event)) {
		cm_event_count(event, CM_C_SKIP_AUTHORITY);
		return false;
	}
	cm_admit_take_over(node, server, event->now_ms);
	if (cm_backend_admit(node->backends[server],
			     &node->view.catalog.servers[server].spec,
			     event->now_ms, &refusal))
		return true;
	record_refusal(search, &refusal);
	return false;
}

/*
 * Tries a candidate. Returns true if the flow was admitted to its server here,
 * or if another instance is the home of that server and the flow can be relayed
 * to it.
 */
static bool try_candidate(struct server_search *search, uint32_t candidate)
{
	struct cm_event *event = search->event;

	search->candidate = candidate;
	search->tried |= 1u << candidate;
	search->home = cm_event_home(event, chosen_server(search));
	if (search->home == CM_NONE) {
		cm_event_count(event, CM_C_SKIP_UNREACHABLE);
		return false;
	}
	if (cm_event_is_self(event, search->home))
		return admit_here(search);
	if (event->relay.hops < CM_HOP_LIMIT)
		return true;
	search->refusal = CM_REFUSAL_OVERLOAD;
	return false;
}

/* Tries the remaining candidates in order of preference until one succeeds. */
static bool try_next_candidates(struct server_search *search)
{
	uint32_t candidate;

	while ((candidate = cm_balance_choose(search->event, search->tried)) !=
	       CM_NO_CANDIDATE)
		if (try_candidate(search, candidate))
			return true;
	return false;
}

/*
 * Candidate whose server an ADMIT relay names, if the home of that server is
 * this instance.
 */
static uint32_t requested_candidate(const struct cm_event *event)
{
	const struct cm_catalog *catalog = &event->node->view.catalog;

	if (event->relay.kind != CM_RELAY_ADMIT)
		return CM_NO_CANDIDATE;
	for (uint32_t i = 0; i < event->candidates.count; i++) {
		uint32_t server = event->candidates.servers[i];

		if (cm_endpoint_equal(&catalog->servers[server].spec.address,
				      &event->relay.server) &&
		    cm_event_is_self(event, cm_event_home(event, server)))
			return i;
	}
	return CM_NO_CANDIDATE;
}

static struct cm_flow *add_half_open(const struct server_search *search,
				     enum cm_flow_state state)
{
	struct cm_event *event = search->event;
	struct cm_flow *flow;

	cm_half_open_evict(event, search->shard);
	flow = cm_flow_shard_add(search->shard, &event->key, event->hash, state,
				 event->now_ms);
	if (!flow) {
		cm_event_count(event, CM_C_DROP_MEMORY);
		return NULL;
	}
	flow->tried_or_position = (uint8_t)search->tried;
	flow->server = *chosen_address(search);
	return flow;
}

static void count_admitted(const struct server_search *search)
{
	cm_event_count(search->event, CM_C_FLOWS_ADMITTED);
	if (search->candidate)
		cm_event_count(search->event, CM_C_FLOWS_ELSEWHERE);
}

static void open_flow(const struct server_search *search)
{
	struct cm_event *event = search->event;
	struct cm_flow *flow = add_half_open(search, CM_FLOW_OPENING);
	bool is_syn = event->packet->flags & CM_TCP_SYN;

	if (!flow) {
		cm_backend_release(event->node->backends[chosen_server(search)],
				   is_syn);
		return;
	}
	count_admitted(search);
	cm_budget_add(&event->node->retry_budget, CM_RETRY_EARNED_PER_MILLE);
	if (is_syn)
		cm_flow_save_header(flow, event->packet);
	else
		cm_flow_shard_set_state(search->shard, flow, CM_FLOW_OPEN,
					event->now_ms);
	flow->seq = event->packet->seq + 1;
	flow->flags |= CM_FLOW_SEQ_KNOWN;
	if (cm_packet_payload_length(event->packet))
		flow->flags |= CM_FLOW_DELIVERED;
	cm_event_send_to_server(event, chosen_server(search));
}

static void relay_to_home(const struct server_search *search)
{
	struct cm_event *event = search->event;
	struct cm_flow *flow = add_half_open(search, CM_FLOW_RELAYED);

	if (!flow)
		return;
	cm_event_relay(event, search->home, CM_RELAY_ADMIT,
		       (uint8_t)search->tried, &flow->server);
}

void cm_admit(struct cm_event *event, struct cm_flow_shard *shard,
	      uint32_t tried)
{
	struct server_search search = {
		.event = event,
		.shard = shard,
		.tried = tried,
		/*
		 * Candidates in @tried accept new flows, so the service has a
		 * server.
		 */
		.refusal = tried ? CM_REFUSAL_OVERLOAD : CM_REFUSAL_NO_SERVER,
	};
	uint32_t requested = requested_candidate(event);

	if ((requested == CM_NO_CANDIDATE ||
	     !try_candidate(&search, requested)) &&
	    !try_next_candidates(&search))
		cm_event_refuse(event, search.refusal);
	else if (cm_event_is_self(event, search.home))
		open_flow(&search);
	else
		relay_to_home(&search);
}

void cm_admit_syn_answered(struct cm_event *event, const struct cm_flow *flow)
{
	struct cm_backend *backend =
		cm_node_backend(event->node, &flow->server);

	if (backend)
		cm_backend_syn_answered(
			backend, cm_flow_age_ms(event->now_ms, flow->since_ms),
			event->now_ms);
}

void cm_admit_flow_reset(struct cm_event *event, const struct cm_flow *flow)
{
	struct cm_backend *backend =
		cm_node_backend(event->node, &flow->server);

	if (backend)
		cm_backend_flow_reset(backend,
				      !(event->packet->flags & CM_TCP_ACK),
				      event->now_ms);
}

/*
 * Moves the flow to the chosen server. No payload has been delivered to another
 * server.
 */
static void retry_at_chosen(const struct server_search *search,
			    struct cm_flow *flow)
{
	struct cm_event *event = search->event;

	cm_event_count(event, CM_C_RETRY_SERVER_RESET);
	flow->server = *chosen_address(search);
	flow->tried_or_position = (uint8_t)search->tried;
	if (cm_event_is_self(event, search->home)) {
		cm_flow_shard_set_state(search->shard, flow, CM_FLOW_OPENING,
					event->now_ms);
		count_admitted(search);
		cm_event_replay_to_server(event, &flow->half_open->header,
					  chosen_server(search));
		return;
	}
	cm_flow_shard_set_state(search->shard, flow, CM_FLOW_RELAYED,
				event->now_ms);
	cm_event_relay_header(event, search->home, (uint8_t)search->tried,
			      flow);
}

/*
 * Finds another server for a flow whose SYN was answered by RST. Returns false
 * if there is none or a retry is not allowed; search->refusal is then the
 * reason.
 */
static bool find_retry_server(struct server_search *search,
			      const struct cm_flow *flow)
{
	struct cm_event *event = search->event;

	if ((flow->flags & CM_FLOW_DELIVERED &&
	     !cm_switched_off(CM_SWITCH_DELIVERED_ONCE)) ||
	    cm_balance_choose(event, search->tried) == CM_NO_CANDIDATE)
		return false;
	if (!cm_switched_off(CM_SWITCH_RETRY_BUDGET) &&
	    !cm_budget_take(&event->node->retry_budget, event->now_ms)) {
		cm_event_count(event, CM_C_RETRY_BUDGET_SPENT);
		search->refusal = CM_REFUSAL_RETRY_BUDGET;
		return false;
	}
	return try_next_candidates(search);
}

void cm_admit_retry(struct cm_event *event, struct cm_flow_shard *shard,
		    struct cm_flow *flow)
{
	struct cm_backend *backend =
		cm_node_backend(event->node, &flow->server);
	struct server_search search = {
		.event = event,
		.shard = shard,
		.tried = flow->tried_or_position,
		.refusal = CM_REFUSAL_SERVER_RESET,
	};

	if (backend)
		cm_backend_syn_reset(backend, event->now_ms);
	if (!flow->half_open || !flow->half_open->header.length) {
		cm_event_send_to_caller(event);
	} else if (find_retry_server(&search, flow)) {
		retry_at_chosen(&search, flow);
		return;
	} else {
		cm_event_refuse_syn(event, flow, search.refusal);
	}
	cm_flow_shard_remove(shard, flow);
}
