#include "steer_admission.h"
#include "steer_internal.h"
#include "test_switch.h"

static void record_syn_answer(struct cm_steer *steer, uint64_t now_ms,
			      const struct cm_steer_packet *packet,
			      struct cm_steer_flow *flow,
			      struct cm_steer_server *server)
{
	struct cm_steer_domain *domain;

	if (flow->is_unanswered)
		cm_steer_count_flow(steer, flow, server);
	else
		cm_steer_flows_set_syn_result(&steer->flows, flow, true);
	flow->is_unanswered = false;
	flow->is_open = true;
	flow->first_ack = packet->ack;
	flow->last_ack = packet->ack;
	flow->counted_ack = packet->ack;
	cm_histograms_add(&steer->histograms, CM_H_SYN_ANSWER,
			  now_ms - flow->syn_ms);
	steer->unanswered_syns = 0;
	steer->has_reached_server = true;
	if (server->pool)
		cm_server_pool_syn_answered(server->pool,
					    (uint32_t)(now_ms - flow->syn_ms));
	domain = cm_steer_domains_find_or_add(&steer->peers.domains,
					      server->domain_hash);
	if (domain)
		domain->answered_ms = now_ms;
	cm_steer_servers_remove_suspect(&steer->servers, server);
	if (!cm_server_health_syn_answered(&server->health, now_ms))
		return;
	cm_counters_add(&steer->counters, CM_C_STEER_CLEARED);
	cm_steer_record_change(steer, CM_STEER_CHANGE_CLEARED, NULL, server);
}

static void record_request(const struct cm_steer *steer,
			   struct cm_steer_flow *flow)
{
	if (!flow->has_request)
		flow->request_active_ms = steer->active_ms;
	flow->has_request = true;
	cm_server_load_data_sent(flow, steer->active_ms);
}

static void record_response(const struct cm_steer *steer, uint64_t now_ms,
			    struct cm_steer_flow *flow,
			    struct cm_steer_server *server)
{
	if (flow->has_response || !flow->has_request ||
	    flow->last_ack == flow->first_ack)
		return;
	flow->has_response = true;
	flow->response_ms = (uint32_t)(now_ms - flow->syn_ms);
	if (server->pool)
		cm_response_time_add(
			&server->pool->response_time,
			(uint32_t)(steer->active_ms - flow->request_active_ms));
}

static void record_end(struct cm_steer *steer, uint64_t now_ms,
		       struct cm_steer_flow *flow,
		       struct cm_steer_server *server)
{
	cm_server_load_flow_ended(flow);
	cm_steer_record_flow_result(steer, now_ms, flow, server);
	if (!flow->is_adopted)
		cm_histograms_add(&steer->histograms, CM_H_FLOW,
				  now_ms - flow->syn_ms);
}

/*
 * Adds an open flow whose instance was lost, or which this one has forgotten,
 * so that it counts in the load of its server. It has no start and no first
 * response, so it yields neither a service time nor a result. Evicts only kept
 * flows: a flow with a result to come is worth more.
 */
static struct cm_steer_flow *adopt_flow(struct cm_steer *steer, uint64_t now_ms,
					const struct cm_steer_packet *packet,
					struct cm_steer_server *server)
{
	struct cm_steer_flow *flow;

	if (!packet->data_length || server->listing == CM_LEFT ||
	    (packet->flags & (CM_STEER_FIN | CM_STEER_RST)) ||
	    cm_switched_off(CM_SWITCH_SERVER_LOAD))
		return NULL;
	if (cm_steer_flows_is_full(&steer->flows)) {
		flow = cm_steer_flows_least_recent(&steer->flows);
		if (!flow || !flow->is_kept)
			return NULL;
		cm_counters_add(&steer->counters, CM_C_STEER_FLOW_FORGOTTEN);
		cm_steer_remove_flow(steer, flow);
	}
	flow = cm_steer_flows_adopt(&steer->flows, &packet->key, server->token,
				    now_ms);
	if (!flow)
		return NULL;
	flow->route = cm_route_loads_find(&steer->routes, &packet->key.service);
	flow->has_response = true;
	flow->first_ack = packet->ack;
	flow->last_ack = packet->ack;
	flow->counted_ack = packet->ack;
	cm_steer_count_flow(steer, flow, server);
	cm_counters_add(&steer->counters, CM_C_STEER_FLOW_ADOPTED);
	return flow;
}

static void update_flow(struct cm_steer *steer, uint64_t now_ms,
			const struct cm_steer_packet *packet,
			struct cm_steer_server *server)
{
	struct cm_steer_flow *flow =
		cm_steer_flows_find(&steer->flows, &packet->key);

	if (!flow)
		flow = adopt_flow(steer, now_ms, packet, server);
	if (!flow || flow->token != packet->token)
		return;
	if (!flow->is_open && !(packet->flags & CM_STEER_RST))
		record_syn_answer(steer, now_ms, packet, flow, server);
	if (packet->flags & CM_STEER_ACK) {
		if ((int32_t)(packet->ack - flow->last_ack) > 0)
			server->acked_ms = now_ms;
		flow->last_ack = packet->ack;
	}
	cm_server_load_acked(flow, steer->active_ms, packet->data_length > 0);
	if (packet->data_length)
		record_request(steer, flow);
	record_response(steer, now_ms, flow, server);
	if (!flow->is_unanswered)
		cm_server_load_count(server, flow, steer->active_ms);
	if (packet->flags & CM_STEER_FIN)
		record_end(steer, now_ms, flow, server);
	cm_steer_flows_touch(&steer->flows, flow, now_ms);
	if (packet->flags & (CM_STEER_FIN | CM_STEER_RST))
		cm_steer_remove_flow(steer, flow);
}

/*
 * Whether the server's failure domain is out of service and the time for which
 * packets may still be sent to it (domain_out_ms) is over.
 */
static bool domain_out_grace_is_over(const struct cm_steer *steer,
				     uint64_t now_ms,
				     const struct cm_steer_server *server)
{
	const struct cm_domain_out *out =
		cm_steer_find_domain_out(steer, server->entry.domain);

	return out && now_ms >= out->since_ms + steer->config.domain_out_ms;
}

/* Resets an open flow whose server is gone; see steer_gone.h. */
static void reset_gone_flow(struct cm_steer *steer, uint64_t now_ms,
			    const struct cm_steer_packet *packet,
			    const struct cm_steer_server *server,
			    const struct cm_steer_gone_evidence *evidence,
			    struct cm_steer_verdict *verdict)
{
	struct cm_steer_flow *flow =
		cm_steer_flows_find(&steer->flows, &packet->key);

	cm_steer_set_verdict(verdict, CM_STEER_RESET, evidence->reason);
	verdict->server_id = server->entry.id;
	verdict->evidence_age_ms = now_ms - evidence->since_ms;
	if (flow && flow->token == packet->token)
		cm_steer_remove_flow(steer, flow);
}

/*
 * Forwards a packet with the token of an earlier run to the run that replaced
 * it, under the token of that run, so that the following packets of the flow
 * carry it. The server holds the flow if it was opened after the restart, and
 * resets it otherwise. It counts in the load from the next packet on.
 */
static void forward_to_successor(struct cm_steer *steer, uint64_t now_ms,
				 const struct cm_steer_packet *packet,
				 const struct cm_steer_server *successor,
				 struct cm_steer_verdict *verdict)
{
	struct cm_steer_gone_evidence evidence;
	struct cm_steer_flow *flow =
		cm_steer_flows_find(&steer->flows, &packet->key);

	if (flow && flow->token == packet->token)
		cm_steer_remove_flow(steer, flow);
	if (cm_steer_gone_check(steer, now_ms, packet, successor, &evidence))
		reset_gone_flow(steer, now_ms, packet, successor, &evidence,
				verdict);
	else
		cm_steer_forward_to(steer, now_ms, successor,
				    CM_C_STEER_BY_EARLIER_TOKEN, verdict);
}

static void forward_open_flow(struct cm_steer *steer, uint64_t now_ms,
			      const struct cm_steer_packet *packet,
			      struct cm_steer_server *server,
			      struct cm_steer_verdict *verdict)
{
	struct cm_steer_gone_evidence evidence;
	struct cm_steer_packet delivered = *packet;
	bool is_admitted;

	is_admitted =
		cm_steer_admit_packet(steer, now_ms, packet, server, verdict);
	/* Data that does not reach the server is no request of the flow. */
	if (!is_admitted)
		delivered.data_length = 0;
	update_flow(steer, now_ms, &delivered, server);
	cm_steer_gone_record_packet(steer, now_ms, &delivered, server);
	if (cm_steer_gone_check(steer, now_ms, packet, server, &evidence)) {
		reset_gone_flow(steer, now_ms, packet, server, &evidence,
				verdict);
		return;
	}
	if (is_admitted)
		cm_steer_forward_to(steer, now_ms, server, CM_C_STEER_BY_TOKEN,
				    verdict);
}

void cm_steer_forward_by_token(struct cm_steer *steer, uint64_t now_ms,
			       const struct cm_steer_packet *packet,
			       struct cm_steer_verdict *verdict)
{
	struct cm_steer_server *server, *successor;

	if (!packet->token) {
		cm_steer_set_verdict(verdict, CM_STEER_DROP,
				     CM_C_STEER_NO_TOKEN);
		return;
	}
	server = cm_steer_servers_find_by_token(&steer->servers, packet->token);
	if (!server) {
		cm_steer_set_verdict(verdict, CM_STEER_DROP,
				     CM_C_STEER_UNKNOWN_TOKEN);
		return;
	}
	successor = cm_steer_servers_find_successor(&steer->servers, server);
	if (domain_out_grace_is_over(steer, now_ms,
				     successor ? successor : server))
		cm_steer_set_verdict(verdict, CM_STEER_DROP,
				     CM_C_DROP_DOMAIN_OUT);
	else if (successor)
		forward_to_successor(steer, now_ms, packet, successor, verdict);
	else
		forward_open_flow(steer, now_ms, packet, server, verdict);
}
