#include "unit/one_node.h"

#include <check.h>
#include <stdlib.h>

#include "fake/tcp_end.h"

void one_node_init(struct one_node *one,
		   const struct fake_deployment *deployment, uint32_t instance)
{
	struct cm_member *members =
		calloc(deployment->instances, sizeof(*members));
	struct cm_node_config config = { .half_open_max = 1024 };
	struct cm_note note;

	ck_assert_ptr_nonnull(members);
	for (uint32_t i = 0; i < deployment->instances; i++)
		fake_deployment_member(deployment, i, &members[i]);
	config.self = members[instance].data_address;
	cm_actions_init(&one->actions);
	ck_assert_int_eq(cm_node_init(&one->node, &config), 0);
	ck_assert_int_eq(
		cm_node_set_members(&one->node, members, deployment->instances),
		0);
	fake_deployment_note(deployment, &note);
	ck_assert_int_eq(cm_node_apply_note(&one->node, 0, &note), 0);
	cm_note_finish(&note);
	free(members);
}

void one_node_finish(struct one_node *one)
{
	cm_actions_finish(&one->actions);
	cm_node_finish(&one->node);
}

const struct cm_action *one_node_input(struct one_node *one, uint64_t now_ms,
				       const struct one_node_segment *segment,
				       const struct cm_relay *relay)
{
	size_t length = fake_segment_build(one->bytes, &segment->from,
					   &segment->to, segment->flags,
					   segment->seq, segment->ack, NULL, 0);
	struct cm_packet packet;

	ck_assert_int_eq(cm_packet_parse(&packet, one->bytes, length), 0);
	cm_actions_clear(&one->actions);
	cm_node_packet(&one->node, now_ms, &packet, relay, &one->actions);
	if (!one->actions.count)
		return NULL;
	return &one->actions.items[one->actions.count - 1];
}
