#include "node_admit.h"

#include "chervilmast/error.h"
#include "node_internal.h"

/**
 * struct load_export - state of one load report
 * @node: the node, its view locked
 * @now_ms: current time
 * @actions: appended to
 * @remaining: loads that may still be sent in this report
 */
struct load_export {
	struct cm_node *node;
	uint64_t now_ms;
	struct cm_actions *actions;
	uint32_t remaining;
};

static bool export_add(struct load_export *export, uint32_t server,
		       uint32_t member, uint32_t open, uint32_t flags)
{
	const struct cm_view *view = &export->node->view;
	const struct cm_server_spec *spec = &view->catalog.servers[server].spec;
	struct cm_action *action;

	if (!export->remaining)
		return false;
	action = cm_actions_add(export->actions, CM_ACTION_SEND_LOAD);
	if (!action)
		return false;
	export->remaining--;
	action->server = spec->address;
	action->peer = view->members[member].data_address;
	action->peer_control = view->members[member].control_address;
	action->load.server = spec->address;
	action->load.open = open;
	action->load.flags = flags;
	cm_counters_add(&export->node->counters, CM_C_LOADS_SENT);
	return true;
}

static bool export_load(struct load_export *export, uint32_t server,
			uint32_t member)
{
	struct cm_node *node = export->node;
	struct cm_backend_status status;
	uint32_t flags;

	cm_backend_status(node->backends[server],
			  &node->view.catalog.servers[server].spec,
			  export->now_ms, &status);
	flags = status.percent & CM_LOAD_PERCENT_MASK;
	if (status.at_cap)
		flags |= CM_LOAD_FULL;
	return export_add(export, server, member,
			  status.open + status.inherited, flags);
}

/* Includes the share, so that the new home resumes the ramp of a cold start. */
static void export_former(struct load_export *export, uint32_t server,
			  uint32_t member, const struct cm_former_load *former)
{
	struct cm_node *node = export->node;
	struct cm_backend_status status;
	uint32_t flags;

	cm_backend_status(node->backends[server],
			  &node->view.catalog.servers[server].spec,
			  export->now_ms, &status);
	flags = CM_LOAD_FORMER | (status.percent & CM_LOAD_PERCENT_MASK);
	export_add(export, server, member, former->open, flags);
	if (former->self_admitted)
		export_add(export, server, member, former->self_admitted,
			   flags | CM_LOAD_OWN);
}

static bool is_home(const struct cm_node *node, uint32_t server)
{
	return node->view.homes[server].member == node->view.self;
}

/*
 * Runs before export_for_balance(), so that the limit of loads per report
 * affects the loads for balancing first.
 */
static void export_for_takeover(struct load_export *export)
{
	struct cm_node *node = export->node;
	const struct cm_view *view = &node->view;

	for (uint32_t i = 0; i < view->catalog.server_count; i++) {
		const struct cm_home *home = &view->homes[i];
		struct cm_former_load former;

		if (is_home(node, i) && home->successor != CM_NONE)
			export_load(export, i, home->successor);
		else if (!is_home(node, i) && home->member != CM_NONE &&
			 cm_backend_take_former_report(node->backends[i],
						       &former))
			export_former(export, i, home->member, &former);
	}
}

/*
 * Whether the home of @sibling, a server of the same service, needs a report of
 * @server for balancing and does not get one as successor or as home of an
 * earlier sibling.
 */
static bool sibling_needs_report(const struct cm_node *node, uint32_t server,
				 uint32_t sibling)
{
	const struct cm_view *view = &node->view;
	uint32_t home = view->homes[sibling].member;
	uint32_t first =
		view->catalog.services[view->catalog.servers[server].service]
			.first_server;

	if (home == CM_NONE || home == view->self ||
	    home == view->homes[server].successor)
		return false;
	for (uint32_t i = first; i < sibling; i++)
		if (view->homes[i].member == home)
			return false;
	return true;
}

/*
 * Reports the load of each server whose home is this instance to every instance
 * that needs the load for balancing. If the limit of loads per report is
 * reached, the next report continues after the first round_loads_sent loads.
 */
static void export_for_balance(struct load_export *export)
{
	struct cm_node *node = export->node;
	const struct cm_catalog *catalog = &node->view.catalog;
	uint32_t pair = 0;

	for (uint32_t i = 0; i < catalog->server_count; i++) {
		const struct cm_service *service =
			&catalog->services[catalog->servers[i].service];
		uint32_t end = service->first_server + service->server_count;

		if (!is_home(node, i))
			continue;
		for (uint32_t k = service->first_server; k < end; k++) {
			if (!sibling_needs_report(node, i, k) ||
			    pair++ < node->round_loads_sent)
				continue;
			if (!export_load(export, i,
					 node->view.homes[k].member)) {
				node->round_loads_sent = pair - 1;
				return;
			}
		}
	}
	node->round_loads_sent = 0;
}

void cm_node_export_loads(struct cm_node *node, uint64_t now_ms,
			  struct cm_actions *actions)
{
	struct load_export export = {
		.node = node,
		.now_ms = now_ms,
		.actions = actions,
		.remaining = CM_LOADS_PER_REPORT_MAX,
	};

	if (now_ms < node->loads_due_ms)
		return;
	node->loads_due_ms = now_ms + CM_LOADS_INTERVAL_MS;
	cm_slot_lock_read(&node->view_lock);
	if (node->view.self != CM_NONE) {
		export_for_takeover(&export);
		export_for_balance(&export);
	}
	cm_slot_lock_end_read(&node->view_lock);
}

/*
 * Records the connections that another instance reports for a server whose home
 * is this instance. @self_admitted: the report counts only those connections
 * that the other instance may have admitted itself.
 */
static void import_held(struct cm_node *node, uint64_t now_ms, uint32_t server,
			const struct cm_backend_load *report,
			bool self_admitted)
{
	const struct cm_server_spec *spec =
		&node->view.catalog.servers[server].spec;

	cm_admit_take_over(node, server, now_ms);
	if (self_admitted)
		cm_backend_inherit_from_other_home(
			node->backends[server], spec, report->open,
			cm_admit_idle_timeout_ms(node, server), now_ms);
	else
		cm_backend_inherit(node->backends[server], spec, report,
				   now_ms);
}

static void import_load(struct cm_node *node, uint64_t now_ms,
			const struct cm_message_load *load)
{
	uint32_t server =
		cm_catalog_find_server(&node->view.catalog, &load->server);
	struct cm_backend_load report = {
		.arrived_ms = now_ms,
		.open = load->open,
		.percent = load->flags & CM_LOAD_PERCENT_MASK,
		.full = load->flags & CM_LOAD_FULL,
	};

	if (server == CM_NONE)
		return;
	cm_counters_add(&node->counters, CM_C_LOADS_RECEIVED);
	if (is_home(node, server))
		import_held(node, now_ms, server, &report,
			    load->flags & CM_LOAD_OWN);
	else if (!(load->flags & CM_LOAD_FORMER))
		cm_backend_set_load(node->backends[server], &report);
}

void cm_node_import_load(struct cm_node *node, uint64_t now_ms,
			 const struct cm_message_load *load)
{
	cm_slot_lock_read(&node->view_lock);
	import_load(node, now_ms, load);
	cm_slot_lock_end_read(&node->view_lock);
}

int cm_node_apply_server_report(struct cm_node *node, uint64_t now_ms,
				const struct cm_server_report *report)
{
	/* A server clock that is ahead must not prolong the report. */
	uint64_t made_ms = report->at_ms < now_ms ? report->at_ms : now_ms;
	int error = CM_E_UNKNOWN_SERVER;
	struct cm_backend *backend;

	if (report->percent > CM_FULL_PERCENT)
		return CM_E_OUT_OF_RANGE;
	if (now_ms - made_ms >= CM_SERVER_REPORT_MS)
		return CM_E_STALE;
	cm_slot_lock_read(&node->view_lock);
	backend = cm_node_backend(node, &report->server);
	if (backend)
		error = cm_backend_report(backend, report->percent, made_ms) ?
				CM_OK :
				CM_E_STALE;
	cm_slot_lock_end_read(&node->view_lock);
	return error;
}
