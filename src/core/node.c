#include "node_internal.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "invariant.h"
#include "node_event.h"
#include "node_forward.h"
#include "node_return.h"
#include "test_switch.h"

int cm_node_init(struct cm_node *node, const struct cm_node_config *config)
{
	memset(node, 0, sizeof(*node));
	node->config = *config;
	node->admit_until_ms = UINT64_MAX;
	node->packets_until_ms = UINT64_MAX;
	cm_view_init(&node->view);
	SLIST_INIT(&node->all_backends);
	cm_budget_init(&node->announce_budget, CM_ANNOUNCES_PER_S,
		       CM_ANNOUNCES_BURST);
	pthread_mutex_init(&node->change_lock, NULL);
	cm_slot_lock_init(&node->view_lock);
	cm_budget_init(&node->retry_budget, CM_RETRY_FLOOR_PER_S,
		       CM_RETRY_BURST);
	return cm_flow_table_init(&node->flows);
}

void cm_node_finish(struct cm_node *node)
{
	struct cm_backend *backend;

	cm_flow_table_finish(&node->flows);
	cm_view_finish(&node->view);
	free(node->backends);
	while ((backend = SLIST_FIRST(&node->all_backends))) {
		SLIST_REMOVE_HEAD(&node->all_backends, link);
		cm_backend_finish(backend);
		free(backend);
	}
	cm_budget_finish(&node->announce_budget);
	cm_budget_finish(&node->retry_budget);
	cm_slot_lock_finish(&node->view_lock);
	pthread_mutex_destroy(&node->change_lock);
}

struct cm_backend *cm_node_backend(struct cm_node *node,
				   const struct cm_endpoint *address)
{
	uint32_t i = cm_catalog_find_server(&node->view.catalog, address);

	return i == CM_NONE ? NULL : node->backends[i];
}

static struct cm_backend *create_backend(struct cm_node *node,
					 const struct cm_endpoint *address,
					 uint64_t now_ms)
{
	struct cm_backend *backend = malloc(sizeof(*backend));

	if (!backend)
		return NULL;
	cm_backend_init(backend, address, now_ms);
	/*
	 * Version 0 is the empty catalog at the start. The servers of the first
	 * catalog after it are in the catalogs of the other instances already;
	 * only a server that a later note adds has to wait until all instances
	 * have that note.
	 */
	if (node->view.catalog.version)
		cm_backend_defer_admission(backend, now_ms);
	SLIST_INSERT_HEAD(&node->all_backends, backend, link);
	return backend;
}

static bool accepts_new_flows(const struct cm_catalog *catalog, uint32_t server)
{
	return catalog->servers[server].spec.state == CM_SERVER_ACTIVE &&
	       cm_catalog_server_domain_is_in(catalog, server);
}

static void restart_backend(struct cm_backend *backend, uint64_t now_ms)
{
	cm_backend_restart(backend, now_ms);
	cm_backend_defer_admission(backend, now_ms);
}

/*
 * Begins a cold start of each server that accepts new flows again, because the
 * server or its failure domain has returned to service.
 */
static void restart_returning_backends(struct cm_node *node,
				       const struct cm_catalog *catalog,
				       uint64_t now_ms)
{
	for (uint32_t i = 0; i < catalog->server_count; i++) {
		uint32_t before = cm_catalog_find_server(
			&node->view.catalog, &catalog->servers[i].spec.address);

		if (before != CM_NONE && accepts_new_flows(catalog, i) &&
		    !accepts_new_flows(&node->view.catalog, before))
			restart_backend(node->backends[before], now_ms);
	}
}

static void update_homes(struct cm_node *node, bool taken_over)
{
	const struct cm_view *view = &node->view;

	for (uint32_t i = 0; i < view->catalog.server_count; i++)
		cm_backend_set_home(node->backends[i],
				    view->self != CM_NONE &&
					    view->homes[i].member == view->self,
				    taken_over);
}

/* Servers of the current catalog keep their admission state. */
static struct cm_backend **build_backends(struct cm_node *node,
					  const struct cm_catalog *catalog,
					  uint64_t now_ms)
{
	struct cm_backend **backends =
		calloc(catalog->server_count + 1, sizeof(struct cm_backend *));

	if (!backends)
		return NULL;
	for (uint32_t i = 0; i < catalog->server_count; i++) {
		const struct cm_endpoint *address =
			&catalog->servers[i].spec.address;

		backends[i] = cm_node_backend(node, address);
		if (!backends[i])
			backends[i] = create_backend(node, address, now_ms);
		if (!backends[i]) {
			free(backends);
			return NULL;
		}
	}
	return backends;
}

static void free_unused_backends(struct cm_node *node)
{
	struct cm_backend *backend, *next;

	for (backend = SLIST_FIRST(&node->all_backends); backend;
	     backend = next) {
		next = SLIST_NEXT(backend, link);
		if (cm_node_backend(node, &backend->address) == backend)
			continue;
		SLIST_REMOVE(&node->all_backends, backend, cm_backend, link);
		cm_backend_finish(backend);
		free(backend);
	}
}

/* Takes ownership of @next; on failure frees it. */
static int put_in_force(struct cm_node *node, uint64_t now_ms,
			struct cm_view *next)
{
	struct cm_view before;
	struct cm_backend **backends;

	CM_INVARIANT(next->catalog.version > node->view.catalog.version);
	backends = build_backends(node, &next->catalog, now_ms);
	if (!backends) {
		cm_view_finish(next);
		return CM_E_MEMORY;
	}
	cm_slot_lock_write(&node->view_lock);
	restart_returning_backends(node, &next->catalog, now_ms);
	before = node->view;
	node->view = *next;
	free(node->backends);
	node->backends = backends;
	free_unused_backends(node);
	ck_pr_store_32(&node->sweep_due, 1);
	update_homes(node, false);
	cm_slot_lock_end_write(&node->view_lock);
	cm_view_finish(&before);
	return CM_OK;
}

int cm_node_apply_note(struct cm_node *node, uint64_t now_ms,
		       const struct cm_note *note)
{
	struct cm_view next;
	int error;

	pthread_mutex_lock(&node->change_lock);
	error = cm_view_apply_note(&next, &node->view, note);
	if (!error)
		error = put_in_force(node, now_ms, &next);
	pthread_mutex_unlock(&node->change_lock);
	return error;
}

int cm_node_apply_snapshot(struct cm_node *node, uint64_t now_ms,
			   struct cm_catalog *catalog,
			   struct cm_history *history)
{
	struct cm_view next;
	int error;

	pthread_mutex_lock(&node->change_lock);
	error = cm_view_apply_snapshot(&next, &node->view, catalog, history);
	if (!error)
		error = put_in_force(node, now_ms, &next);
	pthread_mutex_unlock(&node->change_lock);
	return error;
}

int cm_node_set_members(struct cm_node *node, const struct cm_member *members,
			uint32_t count)
{
	int error;

	pthread_mutex_lock(&node->change_lock);
	cm_slot_lock_write(&node->view_lock);
	error = cm_view_set_members(&node->view, members, count,
				    &node->config.self);
	ck_pr_store_32(&node->sweep_due, 1);
	if (!error)
		update_homes(node, true);
	cm_slot_lock_end_write(&node->view_lock);
	pthread_mutex_unlock(&node->change_lock);
	return error;
}

void cm_node_set_deadlines(struct cm_node *node, uint64_t admit_until_ms,
			   uint64_t packets_until_ms)
{
	ck_pr_store_64(&node->admit_until_ms, admit_until_ms);
	ck_pr_store_64(&node->packets_until_ms, packets_until_ms);
}

void cm_node_leave(struct cm_node *node)
{
	cm_slot_lock_write(&node->view_lock);
	node->is_leaving = true;
	cm_slot_lock_end_write(&node->view_lock);
}

uint64_t cm_node_version(struct cm_node *node)
{
	uint64_t version;

	cm_slot_lock_read(&node->view_lock);
	version = node->view.catalog.version;
	cm_slot_lock_end_read(&node->view_lock);
	return version;
}

uint64_t cm_node_publication(struct cm_node *node, uint8_t *id)
{
	const struct cm_catalog *catalog = &node->view.catalog;
	uint64_t version;

	cm_slot_lock_read(&node->view_lock);
	version = catalog->version;
	memcpy(id, catalog->publication_id, CM_PUBLICATION_ID_SIZE);
	cm_slot_lock_end_read(&node->view_lock);
	return version;
}

bool cm_node_is_peer(struct cm_node *node, const struct cm_endpoint *sender)
{
	const struct cm_view *view = &node->view;
	uint32_t member;

	cm_slot_lock_read(&node->view_lock);
	member = cm_member_index_find(&view->member_index, view->members,
				      sender);
	member = member == view->self ? CM_NONE : member;
	cm_slot_lock_end_read(&node->view_lock);
	return member != CM_NONE;
}

void cm_node_count_bad_packet(struct cm_node *node, int error)
{
	if (error == CM_E_TRUNCATED)
		cm_counters_add(&node->counters, CM_C_DROP_TRUNCATED);
	else if (error == CM_E_UNSUPPORTED)
		cm_counters_add(&node->counters, CM_C_DROP_UNSUPPORTED);
	else
		cm_counters_add(&node->counters, CM_C_DROP_MALFORMED);
}

void cm_node_release(struct cm_node *node, const struct cm_flow *flow)
{
	struct cm_backend *backend;

	if (!cm_flow_is_held(flow))
		return;
	backend = cm_node_backend(node, &flow->server);
	if (backend)
		cm_backend_release(backend, flow->state == CM_FLOW_OPENING);
}

/*
 * Sets the event's flow key, service and candidates. Returns false if the
 * packet is neither to a service nor from a backend server.
 */
static bool event_classify(struct cm_event *event, bool *from_caller)
{
	const struct cm_view *view = &event->node->view;
	const struct cm_catalog *catalog = &view->catalog;
	uint32_t server;

	event->service =
		cm_catalog_find_service(catalog, &event->packet->destination);
	*from_caller = event->service != CM_NONE;
	if (*from_caller) {
		event->key.caller = event->packet->source;
		event->key.service = event->packet->destination;
	} else {
		server =
			cm_catalog_find_server(catalog, &event->packet->source);
		if (server == CM_NONE)
			return false;
		event->service = catalog->servers[server].service;
		event->key.caller = event->packet->destination;
		event->key.service =
			catalog->services[event->service].spec.address;
	}
	event->hash = cm_flow_key_hash(&event->key);
	cm_view_candidates(view, event->service, event->hash,
			   &event->candidates);
	return true;
}

/*
 * Whether packets_until_ms has not passed. An instance that was paused for
 * longer may have missed the withdrawal of a server.
 */
static bool may_handle_packets(const struct cm_event *event)
{
	return event->now_ms <= ck_pr_load_64(&event->node->packets_until_ms) ||
	       cm_switched_off(CM_SWITCH_PAUSE_CHECK);
}

static void event_run(struct cm_event *event)
{
	bool from_caller;

	if (event->relay.hops > CM_HOP_LIMIT &&
	    !cm_switched_off(CM_SWITCH_HOP_LIMIT)) {
		cm_event_count(event, CM_C_DROP_HOP_LIMIT);
		return;
	}
	if (!may_handle_packets(event)) {
		cm_event_count(event, CM_C_DROP_PAUSED);
		return;
	}
	if (!event->node->view.catalog.version) {
		cm_event_count(event, CM_C_DROP_NO_CONFIGURATION);
		return;
	}
	if (event->node->view.self == CM_NONE) {
		cm_event_count(event, CM_C_DROP_NO_MEMBERS);
		return;
	}
	if (!event_classify(event, &from_caller)) {
		cm_event_count(event, CM_C_DROP_UNKNOWN_DESTINATION);
		return;
	}
	if (event->relay.kind && !cm_switched_off(CM_SWITCH_RELAY_SERVICE) &&
	    !cm_endpoint_equal(&event->relay.service, &event->key.service)) {
		cm_event_count(event, CM_C_DROP_RELAY_MISMATCH);
		return;
	}
	if (from_caller)
		cm_event_handle_caller_packet(event);
	else
		cm_event_handle_server_packet(event);
}

void cm_node_packet(struct cm_node *node, uint64_t now_ms,
		    struct cm_packet *packet, const struct cm_relay *relay,
		    struct cm_actions *actions)
{
	struct cm_event event = {
		.node = node,
		.now_ms = now_ms,
		.packet = packet,
		.actions = actions,
	};

	if (relay)
		event.relay = *relay;
	cm_event_count(&event, relay ? CM_C_PACKETS_FROM_PEER :
				       CM_C_PACKETS_FROM_FABRIC);
	cm_slot_lock_read(&node->view_lock);
	event_run(&event);
	cm_slot_lock_end_read(&node->view_lock);
}
