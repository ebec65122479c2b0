#include "chervilmast/steer.h"

#include <string.h>

#include "steer_admission.h"
#include "steer_internal.h"

void cm_steer_init(struct cm_steer *steer, const struct cm_steer_config *config)
{
	memset(steer, 0, sizeof(*steer));
	pthread_mutex_init(&steer->lock, NULL);
	steer->config = *config;
	steer->choice_seq = CM_STEER_CHOICE_SEQ_START;
	steer->domain_hash = cm_steer_name_hash(config->domain);
	cm_steer_servers_init(&steer->servers, config->seed);
	cm_steer_peers_init(&steer->peers);
	cm_steer_flows_init(&steer->flows, config->flows_max);
}

void cm_steer_finish(struct cm_steer *steer)
{
	cm_steer_flows_finish(&steer->flows);
	cm_steer_servers_finish(&steer->servers);
	cm_steer_peers_finish(&steer->peers);
	cm_steer_plan_finish(&steer->plan);
	pthread_mutex_destroy(&steer->lock);
}

void cm_steer_set_verdict(struct cm_steer_verdict *verdict,
			  enum cm_steer_action action, enum cm_counter reason)
{
	verdict->action = action;
	verdict->reason = reason;
}

void cm_steer_set_forward_verdict(struct cm_steer_verdict *verdict,
				  const struct cm_steer_server *server,
				  enum cm_counter reason)
{
	cm_steer_set_verdict(verdict, CM_STEER_FORWARD, reason);
	verdict->token = server->token;
	verdict->server_id = server->entry.id;
	verdict->server = server->entry.address;
}

void cm_steer_forward_to(struct cm_steer *steer, uint64_t now_ms,
			 const struct cm_steer_server *server,
			 enum cm_counter reason,
			 struct cm_steer_verdict *verdict)
{
	cm_steer_set_forward_verdict(verdict, server, reason);
	steer->last_forwarded_ms = now_ms;
}

void cm_steer_count_flow(const struct cm_steer *steer,
			 struct cm_steer_flow *flow,
			 struct cm_steer_server *server)
{
	cm_server_pool_flow_opened(server);
	cm_server_load_count(server, flow, steer->active_ms);
}

void cm_steer_packet(struct cm_steer *steer, uint64_t now_ms,
		     const struct cm_steer_packet *packet,
		     struct cm_steer_verdict *verdict)
{
	memset(verdict, 0, sizeof(*verdict));
	pthread_mutex_lock(&steer->lock);
	cm_steer_advance_clock(steer, now_ms);
	cm_steer_admission_update(steer, now_ms);
	verdict->plan_version = steer->plan.version;
	verdict->registry_age_ms =
		now_ms > steer->registry_confirmed_ms ?
			now_ms - steer->registry_confirmed_ms :
			0;
	if ((packet->flags & CM_STEER_SYN) && !(packet->flags & CM_STEER_ACK))
		cm_steer_handle_syn(steer, now_ms, packet, verdict);
	else
		cm_steer_forward_by_token(steer, now_ms, packet, verdict);
	pthread_mutex_unlock(&steer->lock);
	cm_counters_add(&steer->counters, verdict->reason);
}
