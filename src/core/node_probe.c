#include "node_probe.h"

#include <netinet/in.h>
#include <stdlib.h>

#include "node_admit.h"
#include "node_event.h"
#include "node_forward.h"
#include "node_internal.h"
#include "test_switch.h"

/*
 * Probe position of a server that was taken from a binding. Adding 1 wraps to
 * 0, so that the first candidate is probed next.
 */
#define POSITION_NONE UINT8_MAX

/*
 * Finds the server at a probe position beyond the candidates. The positions
 * there belong to the other servers of the service whose failure domain is not
 * out. Returns false past the last one.
 */
static bool probe_server_beyond(const struct cm_event *event, uint32_t position,
				uint32_t *server)
{
	const struct cm_catalog *catalog = &event->node->view.catalog;
	const struct cm_service *service = &catalog->services[event->service];
	uint32_t skip = position - event->candidates.count;

	for (uint32_t i = 0; i < service->server_count; i++) {
		bool is_candidate = false;

		*server = service->first_server + i;
		for (uint32_t k = 0; k < event->candidates.count; k++)
			if (event->candidates.servers[k] == *server)
				is_candidate = true;
		if (is_candidate ||
		    !cm_catalog_server_domain_is_in(catalog, *server))
			continue;
		if (!skip--)
			return true;
	}
	return false;
}

static bool probe_server_at(const struct cm_event *event, uint32_t position,
			    uint32_t *server)
{
	if (position >= CM_PROBE_MAX)
		return false;
	if (position >= event->candidates.count)
		return probe_server_beyond(event, position, server);
	*server = event->candidates.servers[position];
	return true;
}

static void probe_record_seq_and_ack(struct cm_flow *flow,
				     const struct cm_packet *packet)
{
	if (!flow->half_open)
		return;
	flow->half_open->seq = packet->seq;
	flow->half_open->ack = packet->ack;
}

/*
 * Whether a segment of the caller shows that the probed server holds the flow:
 * its acknowledgment number has changed or its sequence number is higher.
 * Until CM_PROBE_RST_MAX_MS after the server was selected, such progress may
 * result from earlier packets of another server, and the RST of the probed
 * server may still arrive.
 */
static bool probe_has_progress(const struct cm_flow *flow,
			       const struct cm_packet *packet, uint64_t now_ms)
{
	if (!flow->half_open ||
	    (!cm_switched_off(CM_SWITCH_PROBE_SETTLE) &&
	     cm_flow_age_ms(now_ms, flow->since_ms) < CM_PROBE_RST_MAX_MS))
		return false;
	return packet->ack != flow->half_open->ack ||
	       (int32_t)(packet->seq - flow->half_open->seq) > 0;
}

/* Ends the probe and binds the flow to the probed server. */
static void probe_bind(struct cm_event *event, struct cm_flow_shard *shard,
		       struct cm_flow *flow)
{
	struct cm_node *node = event->node;
	uint32_t server =
		cm_catalog_find_server(&node->view.catalog, &flow->server);

	cm_flow_free_half_open(flow);
	if (!(flow->flags & CM_FLOW_CONFIRMED))
		flow->flags |= CM_FLOW_INFERRED;
	if (server != CM_NONE &&
	    cm_event_is_self(event, cm_event_home(event, server))) {
		cm_flow_shard_set_state(shard, flow, CM_FLOW_OPEN,
					event->now_ms);
		cm_backend_adopt(node->backends[server]);
		cm_event_count(event, CM_C_FLOWS_ADOPTED);
	} else {
		cm_flow_shard_set_state(shard, flow, CM_FLOW_BOUND,
					event->now_ms);
	}
	cm_event_announce(event, flow);
}

/*
 * Sends a segment of the caller to the probed server. CM_PROBE_SILENCE_MS
 * counts from the first such segment.
 */
static void probe_send(struct cm_event *event, struct cm_flow *flow,
		       uint32_t server)
{
	if (flow->half_open && !flow->half_open->has_sent_segment) {
		flow->half_open->has_sent_segment = true;
		flow->since_ms = (uint32_t)event->now_ms;
	}
	cm_event_send_to_server(event, server);
}

/*
 * Sends the packet to the first server to probe, whose probe position may be
 * POSITION_NONE, and adds a PROBING entry for the flow. No entry is added for
 * an RST, and a UDP flow is bound to the server at once.
 */
static void probe_first_server(struct cm_event *event,
			       struct cm_flow_shard *shard, uint32_t server,
			       uint8_t position)
{
	struct cm_flow *flow;

	if (event->packet->flags & CM_TCP_RST) {
		cm_event_send_to_server(event, server);
		return;
	}
	cm_half_open_evict(event, shard);
	flow = cm_flow_shard_add(shard, &event->key, event->hash,
				 CM_FLOW_PROBING, event->now_ms);
	if (!flow) {
		cm_event_count(event, CM_C_DROP_MEMORY);
		return;
	}
	flow->tried_or_position = position;
	flow->server = event->node->view.catalog.servers[server].spec.address;
	cm_flow_save_header(flow, event->packet);
	if (flow->half_open)
		flow->half_open->catalog_version =
			event->node->view.catalog.version;
	probe_record_seq_and_ack(flow, event->packet);
	probe_send(event, flow, server);
	/* A server has no RST by which it could reject a UDP datagram. */
	if (event->packet->source.protocol == IPPROTO_UDP)
		probe_bind(event, shard, flow);
}

void cm_probe_start(struct cm_event *event, struct cm_flow_shard *shard)
{
	uint32_t server;

	if (!probe_server_at(event, 0, &server)) {
		cm_event_refuse(event, CM_REFUSAL_UNKNOWN_FLOW);
		return;
	}
	cm_event_count(event, CM_C_PROBES_STARTED);
	probe_first_server(event, shard, server, 0);
}

void cm_probe_bound(struct cm_event *event, struct cm_flow_shard *shard,
		    uint32_t server)
{
	struct cm_flow *flow =
		cm_flow_shard_find(shard, &event->key, event->hash);

	if (flow)
		cm_flow_shard_remove(shard, flow);
	probe_first_server(event, shard, server, POSITION_NONE);
}

/* Selects the server at a probe position; returns false if there is none. */
static bool probe_select(struct cm_event *event, struct cm_flow *flow,
			 uint32_t position, uint32_t *server)
{
	if (!probe_server_at(event, position, server))
		return false;
	flow->tried_or_position = (uint8_t)position;
	flow->server = event->node->view.catalog.servers[*server].spec.address;
	flow->since_ms = (uint32_t)event->now_ms;
	if (flow->half_open) {
		flow->half_open->catalog_version =
			event->node->view.catalog.version;
		flow->half_open->has_sent_segment = false;
	}
	return true;
}

/* A new note may change the order of servers, so the probe starts over. */
static uint32_t probe_next_position(const struct cm_event *event,
				    const struct cm_flow *flow)
{
	if (flow->half_open && flow->half_open->catalog_version !=
				       event->node->view.catalog.version)
		return 0;
	return (uint8_t)(flow->tried_or_position + 1);
}

/*
 * Resends the saved header to the server at a probe position; returns false if
 * there is none.
 */
static bool probe_resend(struct cm_event *event, struct cm_flow *flow,
			 uint32_t position)
{
	uint32_t server;

	if (!probe_select(event, flow, position, &server))
		return false;
	if (flow->half_open && flow->half_open->header.length)
		cm_event_replay_to_server(event, &flow->half_open->header,
					  server);
	return true;
}

/* If a failure domain is out, the flow's server may be in that domain. */
static enum cm_refusal refusal_when_exhausted(const struct cm_event *event)
{
	const struct cm_catalog *catalog = &event->node->view.catalog;
	const struct cm_service *service = &catalog->services[event->service];

	for (uint32_t i = 0; i < service->server_count; i++)
		if (!cm_catalog_server_domain_is_in(catalog,
						    service->first_server + i))
			return CM_REFUSAL_DOMAIN_OUT;
	return CM_REFUSAL_UNKNOWN_FLOW;
}

/*
 * Ends a probe with no server left. If probed servers were silent, the first of
 * them is assumed to hold the flow. Otherwise every probed server has sent an
 * RST, and the caller is reset.
 */
static void handle_probe_exhausted(struct cm_event *event,
				   struct cm_flow_shard *shard,
				   struct cm_flow *flow)
{
	if (flow->half_open && flow->half_open->silent_server.port) {
		flow->server = flow->half_open->silent_server;
		probe_bind(event, shard, flow);
		return;
	}
	cm_event_count(event, CM_C_PROBES_EXHAUSTED);
	if (flow->half_open)
		flow->ack = flow->half_open->ack;
	cm_event_refuse_flow(event, flow, refusal_when_exhausted(event));
	cm_flow_shard_remove(shard, flow);
}

static void probe_next(struct cm_event *event, struct cm_flow_shard *shard,
		       struct cm_flow *flow)
{
	if (cm_switched_off(CM_SWITCH_PROBE_SWALLOW) ||
	    !probe_resend(event, flow, probe_next_position(event, flow)))
		handle_probe_exhausted(event, shard, flow);
}

/*
 * Sends the caller's segment to the next server, as the probed one has sent no
 * RST in time. The segment may be sent to several servers: only the one that
 * holds the connection accepts its data.
 */
static void probe_after_silence(struct cm_event *event,
				struct cm_flow_shard *shard,
				struct cm_flow *flow)
{
	uint32_t server;

	if (flow->half_open && !flow->half_open->silent_server.port)
		flow->half_open->silent_server = flow->server;
	if (probe_select(event, flow, probe_next_position(event, flow),
			 &server))
		probe_send(event, flow, server);
	else
		handle_probe_exhausted(event, shard, flow);
}

static bool probe_is_silent(const struct cm_flow *flow, uint64_t now_ms)
{
	return flow->half_open &&
	       (flow->half_open->has_sent_segment ||
		cm_switched_off(CM_SWITCH_PROBE_ASKED)) &&
	       cm_flow_age_ms(now_ms, flow->since_ms) >= CM_PROBE_SILENCE_MS;
}

void cm_probe_segment(struct cm_event *event, struct cm_flow_shard *shard,
		      struct cm_flow *flow)
{
	enum cm_refusal refusal;
	uint32_t server;

	if (!cm_event_server_is_usable(event, &flow->server, &server,
				       &refusal)) {
		cm_flow_shard_remove(shard, flow);
		cm_probe_start(event, shard);
		return;
	}
	cm_flow_shard_touch(shard, flow, event->now_ms);
	if (probe_has_progress(flow, event->packet, event->now_ms)) {
		probe_bind(event, shard, flow);
		cm_event_send_to_server(event, server);
		return;
	}
	if (cm_flow_age_ms(event->now_ms, flow->since_ms) < CM_PROBE_RST_MAX_MS)
		probe_record_seq_and_ack(flow, event->packet);
	cm_flow_save_header(flow, event->packet);
	if (probe_is_silent(flow, event->now_ms))
		probe_after_silence(event, shard, flow);
	else
		probe_send(event, flow, server);
}

/* Whether a SYN-ACK belongs to another connection, opened by a late SYN. */
static bool answer_is_of_other_connection(const struct cm_flow *flow,
					  const struct cm_packet *packet)
{
	if (!(packet->flags & CM_TCP_SYN) || !flow->half_open)
		return false;
	return flow->half_open->ack - (packet->seq + 1) >= CM_FIRST_ACK_MAX;
}

void cm_probe_answer(struct cm_event *event, struct cm_flow_shard *shard,
		     struct cm_flow *flow)
{
	bool is_from_probed_server =
		cm_endpoint_equal(&flow->server, &event->packet->source);

	if (event->packet->flags & CM_TCP_RST) {
		cm_event_count(event, CM_C_DROP_PROBE_RESET);
		if (is_from_probed_server)
			probe_next(event, shard, flow);
		return;
	}
	if (answer_is_of_other_connection(flow, event->packet)) {
		cm_event_count(event, CM_C_DROP_STALE_ANSWER);
		return;
	}
	flow->server = event->packet->source;
	flow->flags |= CM_FLOW_CONFIRMED;
	probe_bind(event, shard, flow);
	cm_event_send_to_caller(event);
}

/*
 * Builds an ACK with the flow's sequence and acknowledgment numbers and saves
 * it as the segment to resend. Returns false if the numbers are unknown or
 * memory is short.
 */
static bool probe_save_ack(struct cm_flow *flow)
{
	if (!(flow->flags & CM_FLOW_SEQ_KNOWN))
		return false;
	if (!flow->half_open)
		flow->half_open = calloc(1, sizeof(*flow->half_open));
	if (!flow->half_open)
		return false;
	flow->half_open->seq = flow->seq;
	flow->half_open->ack = flow->ack;
	cm_packet_build_ack(&flow->half_open->header, &flow->key.caller,
			    &flow->key.service, flow->seq, flow->ack);
	return true;
}

void cm_probe_restart(struct cm_event *event, struct cm_flow_shard *shard,
		      struct cm_flow *flow)
{
	struct cm_endpoint resetting_server = flow->server;

	cm_event_count(event, CM_C_DROP_PROBE_RESET);
	cm_node_release(event->node, flow);
	if (!probe_save_ack(flow)) {
		cm_flow_shard_remove(shard, flow);
		return;
	}
	cm_event_count(event, CM_C_PROBES_STARTED);
	flow->flags &= (uint8_t)~CM_FLOW_INFERRED;
	cm_flow_shard_set_state(shard, flow, CM_FLOW_PROBING, event->now_ms);
	if (!probe_resend(event, flow, 0))
		handle_probe_exhausted(event, shard, flow);
	else if (cm_endpoint_equal(&flow->server, &resetting_server))
		probe_next(event, shard, flow);
}
