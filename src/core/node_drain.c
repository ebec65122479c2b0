#include "chervilmast/node_drain.h"

#include <ck_pr.h>

static bool is_leave_applied(const struct cm_node *node)
{
	const struct cm_view *view = &node->view;

	if (!node->is_leaving || ck_pr_load_32(&node->sweep_due))
		return false;
	return view->self == CM_NONE ||
	       view->members[view->self].state == CM_MEMBER_LEAVING;
}

/*
 * cm_node_sweep() clears announces_deferred before it sweeps shard 0; from then
 * on sweep_shard is nonzero until the last shard is swept.
 */
static bool has_deferred_bindings(const struct cm_node *node)
{
	return node->sweep_shard || ck_pr_load_32(&node->announces_deferred);
}

static void count_remaining(const struct cm_node *node,
			    struct cm_node_drain *remaining)
{
	const struct cm_view *view = &node->view;

	for (uint32_t i = 0; i < view->catalog.server_count; i++) {
		struct cm_backend *backend = node->backends[i];

		remaining->held_flows += cm_backend_open_count(backend);
		if (view->homes[i].member != CM_NONE &&
		    cm_backend_former_is_unreported(backend))
			remaining->reports_pending++;
	}
}

bool cm_node_drain_read(struct cm_node *node, struct cm_node_drain *remaining)
{
	*remaining = (struct cm_node_drain){ .held_flows = 0 };
	cm_slot_lock_read(&node->view_lock);
	remaining->leave_applied = is_leave_applied(node);
	remaining->bindings_pending = has_deferred_bindings(node);
	count_remaining(node, remaining);
	cm_slot_lock_end_read(&node->view_lock);
	return remaining->leave_applied && !remaining->held_flows &&
	       !remaining->bindings_pending && !remaining->reports_pending;
}
