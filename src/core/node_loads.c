#include "node_admit.h"

#include "chervilmast/error.h"
#include "node_internal.h"

/**
 * struct load_batch - the loads sent in one CM_LOADS_INTERVAL_MS
 * @node: the node; its view is locked
 * @now_ms: current time
 * @actions: one action per load is appended
 * @remaining: number of loads that may still be sent
 */
struct load_batch {
	struct cm_node *node;
	uint64_t now_ms;
	struct cm_actions *actions;
	uint32_t remaining;
};

static bool send_load(struct load_batch *batch, uint32_t server,
		      uint32_t member, uint32_t open, uint32_t flags)
{
	const struct cm_view *view = &batch->node->view;
	const struct cm_server_spec *spec = &view->catalog.servers[server].spec;
	struct cm_action *action;

	if (!batch->remaining)
		return false;
	action = cm_actions_add(batch->actions, CM_ACTION_SEND_LOAD);
	if (!action)
		return false;
	batch->remaining--;
	action->server = spec->address;
	action->peer = view->members[member].data_address;
	action->peer_control = view->members[member].control_address;
	action->load.server = spec->address;
	action->load.open_connections = open;
	action->load.flags = flags;
	cm_counters_add(&batch->node->counters, CM_C_LOADS_SENT);
	return true;
}

static bool send_current_load(struct load_batch *batch, uint32_t server,
			      uint32_t member)
{
	struct cm_node *node = batch->node;
	struct cm_backend_status status;
	uint32_t flags;

	cm_backend_status(node->backends[server],
			  &node->view.catalog.servers[server].spec,
			  batch->now_ms, &status);
	flags = status.percent & CM_LOAD_PERCENT_MASK;
	if (status.at_cap)
		flags |= CM_LOAD_FULL;
	return send_load(batch, server, member, status.open + status.inherited,
			 flags);
}

/*
 * Sends the new home of a server the connections that this instance held when
 * it ceased to be the home. The load includes the share of rate and cap that
 * the server is given, so that the new home continues the ramp of a cold start.
 */
static void send_former_load(struct load_batch *batch, uint32_t server,
			     uint32_t member,
			     const struct cm_former_load *former)
{
	struct cm_node *node = batch->node;
	struct cm_backend_status status;
	uint32_t flags;

	cm_backend_status(node->backends[server],
			  &node->view.catalog.servers[server].spec,
			  batch->now_ms, &status);
	flags = CM_LOAD_FORMER | (status.percent & CM_LOAD_PERCENT_MASK);
	send_load(batch, server, member, former->open, flags);
	if (former->self_admitted)
		send_load(batch, server, member, former->self_admitted,
			  flags | CM_LOAD_SELF_ADMITTED);
}

static bool is_home(const struct cm_node *node, uint32_t server)
{
	return node->view.homes[server].member == node->view.self;
}

/*
 * Sends the load of each server whose home is this instance to the home's
 * successor, and the load of each former server to its new home. Called before
 * send_loads_for_balance(), so that loads for balancing are deferred first when
 * the batch is full.
 */
static void send_loads_for_takeover(struct load_batch *batch)
{
	struct cm_node *node = batch->node;
	const struct cm_view *view = &node->view;

	for (uint32_t i = 0; i < view->catalog.server_count; i++) {
		const struct cm_home *home = &view->homes[i];
		struct cm_former_load former;

		if (is_home(node, i) && home->successor != CM_NONE)
			send_current_load(batch, i, home->successor);
		else if (!is_home(node, i) && home->member != CM_NONE &&
			 cm_backend_take_former_report(node->backends[i],
						       &former))
			send_former_load(batch, i, home->member, &former);
	}
}

/*
 * Whether to send the load of @server to the home of @sibling, a server of the
 * same service. False if there is no such home, it is this instance, it is the
 * successor of @server's home and gets the load by send_loads_for_takeover(),
 * or it is also the home of an earlier sibling and gets the load for that one.
 */
static bool sibling_home_needs_load(const struct cm_node *node, uint32_t server,
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
 * Sends the load of each server whose home is this instance to every instance
 * that needs the load for balancing. If the batch is full, the next batch skips
 * the first round_loads_sent loads, which were sent already.
 */
static void send_loads_for_balance(struct load_batch *batch)
{
	struct cm_node *node = batch->node;
	const struct cm_catalog *catalog = &node->view.catalog;
	uint32_t position = 0;

	for (uint32_t i = 0; i < catalog->server_count; i++) {
		const struct cm_service *service =
			&catalog->services[catalog->servers[i].service];
		uint32_t end = service->first_server + service->server_count;

		if (!is_home(node, i))
			continue;
		for (uint32_t k = service->first_server; k < end; k++) {
			if (!sibling_home_needs_load(node, i, k) ||
			    position++ < node->round_loads_sent)
				continue;
			if (!send_current_load(batch, i,
					       node->view.homes[k].member)) {
				node->round_loads_sent = position - 1;
				return;
			}
		}
	}
	node->round_loads_sent = 0;
}

void cm_node_send_loads(struct cm_node *node, uint64_t now_ms,
			struct cm_actions *actions)
{
	struct load_batch batch = {
		.node = node,
		.now_ms = now_ms,
		.actions = actions,
		.remaining = CM_LOADS_PER_INTERVAL_MAX,
	};

	if (now_ms < node->loads_due_ms)
		return;
	node->loads_due_ms = now_ms + CM_LOADS_INTERVAL_MS;
	cm_slot_lock_read(&node->view_lock);
	if (node->view.self != CM_NONE) {
		send_loads_for_takeover(&batch);
		send_loads_for_balance(&batch);
	}
	cm_slot_lock_end_read(&node->view_lock);
}

/*
 * Counts connections that another instance holds for a server whose home is
 * this instance. @self_admitted: @load counts only those that the other
 * instance may have admitted itself, see CM_LOAD_SELF_ADMITTED.
 */
static void inherit_load(struct cm_node *node, uint64_t now_ms, uint32_t server,
			 const struct cm_backend_load *load, bool self_admitted)
{
	const struct cm_server_spec *spec =
		&node->view.catalog.servers[server].spec;

	cm_admit_take_over(node, server, now_ms);
	if (self_admitted)
		cm_backend_inherit_from_other_home(
			node->backends[server], spec, load->open,
			cm_admit_idle_timeout_ms(node, server), now_ms);
	else
		cm_backend_inherit(node->backends[server], spec, load, now_ms);
}

static void record_load(struct cm_node *node, uint64_t now_ms,
			const struct cm_message_load *load)
{
	uint32_t server =
		cm_catalog_find_server(&node->view.catalog, &load->server);
	struct cm_backend_load received = {
		.arrived_ms = now_ms,
		.open = load->open_connections,
		.percent = load->flags & CM_LOAD_PERCENT_MASK,
		.is_at_cap = load->flags & CM_LOAD_FULL,
	};

	if (server == CM_NONE)
		return;
	cm_counters_add(&node->counters, CM_C_LOADS_RECEIVED);
	if (is_home(node, server))
		inherit_load(node, now_ms, server, &received,
			     load->flags & CM_LOAD_SELF_ADMITTED);
	else if (!(load->flags & CM_LOAD_FORMER))
		cm_backend_set_load(node->backends[server], &received);
}

void cm_node_record_load(struct cm_node *node, uint64_t now_ms,
			 const struct cm_message_load *load)
{
	cm_slot_lock_read(&node->view_lock);
	record_load(node, now_ms, load);
	cm_slot_lock_end_read(&node->view_lock);
}

int cm_node_apply_server_report(struct cm_node *node, uint64_t now_ms,
				const struct cm_server_report *report)
{
	/* If the server's clock is ahead, the report must not expire later. */
	uint64_t made_ms = report->made_ms < now_ms ? report->made_ms : now_ms;
	int error = CM_E_UNKNOWN_SERVER;
	struct cm_backend *backend;

	if (report->percent > CM_FULL_PERCENT)
		return CM_E_OUT_OF_RANGE;
	if (now_ms - made_ms >= CM_SERVER_REPORT_MS)
		return CM_E_STALE;
	cm_slot_lock_read(&node->view_lock);
	backend = cm_node_backend(node, &report->server);
	if (backend)
		error = cm_backend_apply_report(backend, report->percent,
						made_ms) ?
				CM_OK :
				CM_E_STALE;
	cm_slot_lock_end_read(&node->view_lock);
	return error;
}
