#include "unit/steps.h"

#include <check.h>
#include <netinet/in.h>

/* kind_data of a RETURN relay if the directory has seen no answer of the server
 * to the flow. */
#define RETURN_UNCONFIRMED 2
/* Bit mask of the candidates tried before the one in a relay header. */
#define TRIED_MASK 2

static const struct fake_deployment deployment = {
	.domains = 2,
	.instances = 2,
	.ledger_servers = 6,
	.servers = 7,
};

static bool homes_alternate(const struct steps *steps)
{
	const struct cm_home *homes = steps->one.node.view.homes;
	const uint32_t *server = steps->candidates.servers;

	return homes[server[0]].member == 0 && homes[server[1]].member == 1 &&
	       homes[server[2]].member == 0 && homes[server[3]].member == 1;
}

void steps_init(struct steps *steps)
{
	struct cm_flow_key key = { .service = fake_deployment_service(0) };
	const struct cm_view *view = &steps->one.node.view;
	uint32_t service;

	one_node_init(&steps->one, &deployment, 0);
	service = cm_catalog_find_service(&view->catalog, &key.service);
	steps->caller = (struct cm_endpoint){ 0xc6336401, 5000, IPPROTO_TCP };
	do {
		steps->caller.port++;
		key.caller = steps->caller;
		cm_view_candidates(view, service, cm_flow_key_hash(&key),
				   &steps->candidates);
	} while (!homes_alternate(steps));
}

void steps_finish(struct steps *steps)
{
	one_node_finish(&steps->one);
}

static struct cm_endpoint server_at(const struct steps *steps, uint32_t rank)
{
	return steps->one.node.view.catalog
		.servers[steps->candidates.servers[rank]]
		.spec.address;
}

bool steps_is_cancel(const struct cm_action *action)
{
	struct cm_built_packet built = action->built;
	struct cm_packet packet;

	return action->kind == CM_ACTION_TO_SERVER && built.length &&
	       !cm_packet_parse(&packet, built.bytes, built.length) &&
	       packet.flags & CM_TCP_RST;
}

static enum outcome outcome_of_relay(const struct cm_action *action)
{
	if (action->relay.kind == CM_RELAY_RETURN &&
	    action->relay.kind_data == RETURN_UNCONFIRMED)
		return RELAYED_UNCONFIRMED;
	return RELAYED;
}

static enum outcome outcome_of(const struct steps *steps,
			       const struct cm_action *action)
{
	struct cm_endpoint first = server_at(steps, 0);
	struct cm_endpoint second = server_at(steps, 1);

	if (!action || steps_is_cancel(action))
		return DROPPED;
	if (action->kind == CM_ACTION_TO_CALLER)
		return TO_CALLER;
	if (action->kind != CM_ACTION_TO_SERVER)
		return outcome_of_relay(action);
	if (cm_endpoint_equal(&action->server, &first))
		return TO_FIRST;
	return cm_endpoint_equal(&action->server, &second) ? TO_SECOND :
							     TO_OTHER;
}

enum outcome steps_input(struct steps *steps, uint64_t now_ms,
			 const struct step *step)
{
	bool is_answer = step->from != CALLER;
	struct one_node_segment segment = {
		.from = is_answer ? server_at(steps, step->from) :
				    steps->caller,
		.to = is_answer ? steps->caller : fake_deployment_service(0),
		.flags = step->flags,
		.seq = step->seq,
		.ack = step->ack,
	};
	struct cm_relay relay = {
		.kind = step->kind,
		.hops = 2,
		.version = 1,
		.service = fake_deployment_service(0),
		.server = server_at(steps, step->rank),
	};

	relay.kind_data = (uint8_t)step->rank;
	if (step->kind != CM_RELAY_RETURN)
		relay.kind_data = (uint8_t)(1u << step->rank | TRIED_MASK);
	return outcome_of(steps, one_node_input(&steps->one, now_ms, &segment,
						step->kind ? &relay : NULL));
}

void steps_set_members(struct steps *steps,
		       void (*change)(struct cm_member *members))
{
	struct cm_member members[2];

	for (uint32_t i = 0; i < 2; i++)
		fake_deployment_member(&deployment, i, &members[i]);
	change(members);
	ck_assert_int_eq(cm_node_set_members(&steps->one.node, members, 2), 0);
}
