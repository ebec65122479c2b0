#include "node_event.h"

#include <ck_pr.h>
#include <netinet/in.h>
#include <stdio.h>

#include "chervilmast/error.h"
#include "invariant.h"
#include "test_switch.h"

#define REFUSAL_TEXT_SIZE 96

/**
 * struct refusal_class - counter and text of a refusal
 * @name: reason in the text for the caller
 * @counter: its counter
 * @not_run: no payload of the flow has reached a backend server, unless
 *           CM_FLOW_DELIVERED is set
 * @retry_after_ms: delay after which the caller should retry
 */
struct refusal_class {
	const char *name;
	enum cm_counter counter;
	bool not_run;
	unsigned int retry_after_ms;
};

static const struct refusal_class refusal_classes[] = {
	[CM_REFUSAL_OVERLOAD] = {
		.name = "overload",
		.counter = CM_C_REFUSED_OVERLOAD,
		.not_run = true,
		.retry_after_ms = CM_RETRY_AFTER_MS,
	},
	[CM_REFUSAL_CAP] = {
		.name = "cap",
		.counter = CM_C_REFUSED_CAP,
		.not_run = true,
		.retry_after_ms = CM_CAP_RETRY_AFTER_MS,
	},
	[CM_REFUSAL_RATE] = {
		.name = "rate",
		.counter = CM_C_REFUSED_RATE,
		.not_run = true,
		.retry_after_ms = CM_RETRY_AFTER_MS,
	},
	[CM_REFUSAL_COLD_START] = {
		.name = "cold-start",
		.counter = CM_C_REFUSED_COLD_START,
		.not_run = true,
		.retry_after_ms = CM_RETRY_AFTER_MS,
	},
	[CM_REFUSAL_SERVER_RESET] = {
		.name = "server-reset",
		.counter = CM_C_REFUSED_SERVER_RESET,
		.not_run = true,
		.retry_after_ms = CM_RETRY_AFTER_MS,
	},
	[CM_REFUSAL_RETRY_BUDGET] = {
		.name = "retry-budget",
		.counter = CM_C_REFUSED_RETRY_BUDGET,
		.not_run = true,
		.retry_after_ms = CM_RETRY_AFTER_MS,
	},
	[CM_REFUSAL_NO_SERVER] = {
		.name = "no-server",
		.counter = CM_C_REFUSED_NO_SERVER,
		.not_run = true,
		.retry_after_ms = CM_RETRY_AFTER_MS,
	},
	[CM_REFUSAL_DOMAIN_OUT] = {
		.name = "failure-domain-out",
		.counter = CM_C_REFUSED_DOMAIN_OUT,
		.not_run = false,
		.retry_after_ms = 0,
	},
	[CM_REFUSAL_UNKNOWN_FLOW] = {
		.name = "unknown-flow",
		.counter = CM_C_REFUSED_UNKNOWN_FLOW,
		.not_run = false,
		.retry_after_ms = 0,
	},
	[CM_REFUSAL_SERVER_WITHDRAWN] = {
		.name = "server-withdrawn",
		.counter = CM_C_REFUSED_SERVER_WITHDRAWN,
		.not_run = false,
		.retry_after_ms = 0,
	},
};

void cm_event_count(struct cm_event *event, enum cm_counter counter)
{
	cm_counters_add(&event->node->counters, counter);
}

bool cm_event_is_self(const struct cm_event *event, uint32_t member)
{
	return member != CM_NONE && member == event->node->view.self;
}

uint32_t cm_event_home(const struct cm_event *event, uint32_t server)
{
	return event->node->view.homes[server].member;
}

static struct cm_action *event_add(struct cm_event *event,
				   enum cm_action_kind kind)
{
	struct cm_action *action = cm_actions_add(event->actions, kind);

	if (!action) {
		cm_event_count(event, CM_C_DROP_MEMORY);
		return NULL;
	}
	action->flow = event->key;
	return action;
}

void cm_event_send_to_server(struct cm_event *event, uint32_t server)
{
	const struct cm_catalog *catalog = &event->node->view.catalog;
	struct cm_action *action;

	if (!cm_catalog_server_domain_is_in(catalog, server)) {
		cm_event_count(event, CM_C_DROP_DOMAIN_OUT);
		return;
	}
	CM_INVARIANT(catalog->servers[server].service == event->service);
	action = event_add(event, CM_ACTION_TO_SERVER);
	if (!action)
		return;
	action->server = catalog->servers[server].spec.address;
	cm_packet_set_destination(event->packet, &action->server);
	cm_event_count(event, CM_C_PACKETS_TO_SERVER);
}

void cm_event_replay_to_server(struct cm_event *event,
			       const struct cm_built_packet *header,
			       uint32_t server)
{
	const struct cm_catalog *catalog = &event->node->view.catalog;
	struct cm_action *action;
	struct cm_packet packet;

	if (!cm_catalog_server_domain_is_in(catalog, server)) {
		cm_event_count(event, CM_C_DROP_DOMAIN_OUT);
		return;
	}
	CM_INVARIANT(catalog->servers[server].service == event->service);
	action = event_add(event, CM_ACTION_TO_SERVER);
	if (!action)
		return;
	action->server = catalog->servers[server].spec.address;
	action->built = *header;
	if (cm_packet_parse(&packet, action->built.bytes, action->built.length))
		return;
	cm_packet_set_destination(&packet, &action->server);
	cm_event_count(event, CM_C_PACKETS_TO_SERVER);
}

void cm_event_send_to_caller(struct cm_event *event)
{
	struct cm_action *action = event_add(event, CM_ACTION_TO_CALLER);

	if (!action)
		return;
	action->server = event->packet->source;
	cm_packet_set_source(event->packet, &event->key.service);
	cm_event_count(event, CM_C_PACKETS_TO_CALLER);
}

static struct cm_action *relay_add(struct cm_event *event, uint32_t member,
				   enum cm_relay_kind kind, uint8_t kind_data,
				   const struct cm_endpoint *server)
{
	const struct cm_view *view = &event->node->view;
	struct cm_action *action;

	if (event->relay.hops >= CM_HOP_LIMIT &&
	    !cm_switched_off(CM_SWITCH_HOP_LIMIT)) {
		cm_event_count(event, CM_C_DROP_HOP_LIMIT);
		return NULL;
	}
	action = event_add(event, CM_ACTION_RELAY);
	if (!action)
		return NULL;
	action->peer = view->members[member].data_address;
	action->relay.kind = kind;
	action->relay.kind_data = kind_data;
	action->relay.hops = event->relay.hops + 1;
	action->relay.version = (uint32_t)view->catalog.version;
	action->relay.service = event->key.service;
	if (server)
		action->relay.server = *server;
	cm_event_count(event, CM_C_PACKETS_RELAYED);
	return action;
}

void cm_event_relay(struct cm_event *event, uint32_t member,
		    enum cm_relay_kind kind, uint8_t kind_data,
		    const struct cm_endpoint *server)
{
	relay_add(event, member, kind, kind_data, server);
}

void cm_event_relay_header(struct cm_event *event, uint32_t member,
			   uint8_t tried, const struct cm_flow *flow)
{
	struct cm_action *action =
		relay_add(event, member, CM_RELAY_ADMIT, tried, &flow->server);

	if (action)
		action->built = flow->half_open->header;
}

/* A delay from a server's admission state takes precedence over the default. */
static void refusal_write(const struct cm_event *event, char *text,
			  const struct refusal_class *class, bool delivered)
{
	unsigned int retry_after_ms = event->retry_after_ms ?
					      event->retry_after_ms :
					      class->retry_after_ms;

	snprintf(text, REFUSAL_TEXT_SIZE,
		 "refused=%s not-run=%d retry-after-ms=%u", class->name,
		 class->not_run &&
			 (!delivered || cm_switched_off(CM_SWITCH_NOT_RUN)),
		 retry_after_ms);
}

/*
 * Whether a packet may be the first of its flow. Only such a packet may be
 * refused with not-run=1.
 */
static bool may_be_first(const struct cm_packet *packet)
{
	return packet->source.protocol == IPPROTO_UDP ||
	       (packet->flags & (CM_TCP_SYN | CM_TCP_ACK)) == CM_TCP_SYN;
}

void cm_event_refuse(struct cm_event *event, enum cm_refusal refusal)
{
	const struct refusal_class *class = &refusal_classes[refusal];
	struct cm_action *action;
	char text[REFUSAL_TEXT_SIZE];

	CM_INVARIANT(!class->not_run || may_be_first(event->packet));
	cm_event_count(event, class->counter);
	if (event->packet->flags & CM_TCP_RST)
		return;
	action = event_add(event, CM_ACTION_TO_CALLER);
	if (!action)
		return;
	refusal_write(event, text, class, false);
	if (event->packet->source.protocol == IPPROTO_TCP)
		cm_packet_build_answer_reset(&action->built, event->packet,
					     text);
	else
		cm_packet_build_unreachable(&action->built, event->packet);
}

void cm_event_refuse_syn(struct cm_event *event, const struct cm_flow *flow,
			 enum cm_refusal refusal)
{
	const struct refusal_class *class = &refusal_classes[refusal];
	struct cm_built_packet header = flow->half_open->header;
	bool delivered = flow->flags & CM_FLOW_DELIVERED;
	struct cm_action *action;
	struct cm_packet syn;
	char text[REFUSAL_TEXT_SIZE];

	cm_event_count(event, class->counter);
	if (cm_packet_parse(&syn, header.bytes, header.length))
		return;
	action = event_add(event, CM_ACTION_TO_CALLER);
	if (!action)
		return;
	refusal_write(event, text, class, delivered);
	cm_packet_build_answer_reset(&action->built, &syn, text);
}

void cm_event_refuse_flow(struct cm_event *event, const struct cm_flow *flow,
			  enum cm_refusal refusal)
{
	const struct refusal_class *class = &refusal_classes[refusal];
	struct cm_action *action;
	char text[REFUSAL_TEXT_SIZE];

	cm_event_count(event, class->counter);
	if (flow->key.caller.protocol != IPPROTO_TCP)
		return;
	action = event_add(event, CM_ACTION_TO_CALLER);
	if (!action)
		return;
	refusal_write(event, text, class, true);
	cm_packet_build_reset(&action->built, &flow->key.service,
			      &flow->key.caller, flow->ack, text);
}

bool cm_event_server_is_usable(struct cm_event *event,
			       const struct cm_endpoint *address,
			       uint32_t *server, enum cm_refusal *refusal)
{
	const struct cm_catalog *catalog = &event->node->view.catalog;

	*server = cm_catalog_find_server(catalog, address);
	if (*server == CM_NONE ||
	    (catalog->servers[*server].service != event->service &&
	     !cm_switched_off(CM_SWITCH_SERVICE_CHECK))) {
		*refusal = CM_REFUSAL_SERVER_WITHDRAWN;
		return false;
	}
	*refusal = CM_REFUSAL_DOMAIN_OUT;
	return cm_catalog_server_domain_is_in(catalog, *server);
}

/**
 * struct announce_targets - instances that need the binding of a flow
 * @directory: the directory of the flow
 * @successor: the instance that takes over if @directory fails, or CM_NONE
 * @announced_hash: hash of both, stored in the flow once its binding was
 *                  announced to them; never 0
 */
struct announce_targets {
	uint32_t directory;
	uint32_t successor;
	uint16_t announced_hash;
};

/*
 * Returns false if no instance needs the binding: no candidate has a home, or
 * the flow is on its first candidate, whose home is the directory and has an
 * entry for the flow.
 */
static bool find_announce_targets(const struct cm_event *event,
				  const struct cm_flow *flow,
				  struct announce_targets *targets)
{
	const struct cm_view *view = &event->node->view;
	uint64_t hash;
	uint32_t first;

	if (event->candidates.directory_index == event->candidates.count)
		return false;
	first = event->candidates.servers[event->candidates.directory_index];
	if (event->candidates.directory_index == 0 &&
	    cm_endpoint_equal(&view->catalog.servers[first].spec.address,
			      &flow->server))
		return false;
	targets->directory = view->homes[first].member;
	targets->successor = view->homes[first].successor;
	hash = cm_endpoint_hash(
		&view->members[targets->directory].data_address);
	if (targets->successor != CM_NONE)
		hash = cm_hash_mix(
			hash,
			cm_endpoint_hash(&view->members[targets->successor]
						  .data_address));
	targets->announced_hash = (uint16_t)hash | 1;
	return true;
}

static void add_announcement(struct cm_event *event, uint32_t member,
			     const struct cm_endpoint *server)
{
	const struct cm_member *members = event->node->view.members;
	struct cm_action *action = event_add(event, CM_ACTION_SEND_BINDING);

	if (!action)
		return;
	action->server = *server;
	action->peer = members[member].data_address;
	action->peer_control = members[member].control_address;
	cm_event_count(event, CM_C_BINDINGS_TOLD);
}

void cm_event_announce(struct cm_event *event, struct cm_flow *flow)
{
	struct cm_node *node = event->node;
	struct announce_targets targets;
	uint32_t to;

	if (cm_switched_off(CM_SWITCH_TELL_BINDINGS) ||
	    (flow->flags & (CM_FLOW_INFERRED | CM_FLOW_CONFIRMED)) ==
		    CM_FLOW_INFERRED ||
	    !find_announce_targets(event, flow, &targets) ||
	    flow->announced_hash == targets.announced_hash)
		return;
	to = cm_event_is_self(event, targets.directory) ? targets.successor :
							  targets.directory;
	if (to != CM_NONE && !cm_event_is_self(event, to)) {
		if (!cm_budget_take(&node->announce_budget, event->now_ms)) {
			cm_event_count(event, CM_C_BINDINGS_DEFERRED);
			ck_pr_store_32(&node->announces_deferred, 1);
			return;
		}
		add_announcement(event, to, &flow->server);
	}
	flow->announced_hash = targets.announced_hash;
}

void cm_event_mark_announced(struct cm_event *event, struct cm_flow *flow)
{
	struct announce_targets targets;

	if (find_announce_targets(event, flow, &targets))
		flow->announced_hash = targets.announced_hash;
}
