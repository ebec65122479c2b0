#include "chervilmast/node_status.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

static void read_catalog(const struct cm_catalog *catalog,
			 struct cm_node_status *status)
{
	status->version = catalog->version;
	memcpy(status->publication_id, catalog->publication_id,
	       CM_PUBLICATION_ID_SIZE);
	status->domains = catalog->domain_count;
	status->services = catalog->service_count;
	status->servers = catalog->server_count;
	for (uint32_t i = 0; i < catalog->domain_count; i++)
		if (catalog->domains[i].spec.state == CM_DOMAIN_OUT)
			status->domains_out++;
}

static void read_view(const struct cm_view *view, struct cm_node_status *status)
{
	read_catalog(&view->catalog, status);
	for (uint32_t i = 0; i < view->member_count; i++)
		status->members[view->members[i].state]++;
	if (view->self == CM_NONE)
		return;
	for (uint32_t i = 0; i < view->catalog.server_count; i++)
		if (view->homes[i].member == view->self)
			status->home_servers++;
}

static void read_flows(struct cm_flow_table *flows,
		       struct cm_node_status *status)
{
	for (int i = 0; i < CM_FLOW_SHARDS; i++) {
		struct cm_flow_shard *shard = &flows->shards[i];

		pthread_mutex_lock(&shard->lock);
		status->flows += shard->count;
		status->half_open += shard->half_open_count;
		status->flow_bytes += shard->count * sizeof(struct cm_flow) +
				      ((size_t)shard->bucket_mask + 1) *
					      sizeof(struct cm_flow_chain);
		pthread_mutex_unlock(&shard->lock);
	}
}

void cm_node_status_read(struct cm_node *node, struct cm_node_status *status)
{
	memset(status, 0, sizeof(*status));
	cm_slot_lock_read(&node->view_lock);
	status->leaving = node->is_leaving;
	read_view(&node->view, status);
	cm_slot_lock_end_read(&node->view_lock);
	read_flows(&node->flows, status);
}

int cm_node_servers(struct cm_node *node,
		    struct cm_node_server_status **servers, uint32_t *count)
{
	const struct cm_view *view = &node->view;

	cm_slot_lock_read(&node->view_lock);
	*count = view->catalog.server_count;
	*servers = calloc(*count + 1, sizeof(**servers));
	for (uint32_t i = 0; *servers && i < *count; i++) {
		(*servers)[i].spec = view->catalog.servers[i].spec;
		(*servers)[i].is_home = view->self != CM_NONE &&
					view->homes[i].member == view->self;
		(*servers)[i].open_connections =
			cm_backend_open_count(node->backends[i]);
		cm_backend_status(node->backends[i], &(*servers)[i].spec,
				  ck_pr_load_64(&node->last_tick_ms),
				  &(*servers)[i].admission);
	}
	cm_slot_lock_end_read(&node->view_lock);
	return *servers ? CM_OK : CM_E_MEMORY;
}

int cm_node_members(struct cm_node *node, struct cm_member **members,
		    uint32_t *count)
{
	const struct cm_view *view = &node->view;

	cm_slot_lock_read(&node->view_lock);
	*count = view->member_count;
	*members = calloc(*count + 1, sizeof(**members));
	if (*members && *count)
		memcpy(*members, view->members, *count * sizeof(**members));
	cm_slot_lock_end_read(&node->view_lock);
	return *members ? CM_OK : CM_E_MEMORY;
}
