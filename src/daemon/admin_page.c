#include "admin_page.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/socket.h"
#include "admin.h"
#include "config/note_json.h"
#include "gauge.h"
#include "metrics_text.h"
#include "ports/clock.h"

#define MS_PER_S 1000
#define HTTP_UNAVAILABLE 503

static char *render_metrics(const void *user, const char *query,
			    unsigned int *status)
{
	const struct cm_admin *admin = user;
	GString *text = g_string_new(NULL);
	struct cm_gauges gauges;

	(void)query;
	(void)status;
	cm_metrics_append_counters(text, &admin->node->counters);
	cm_gauges_read(&gauges, admin->node, cm_clock_ms() - admin->started_ms);
	for (int i = 0; i < CM_GAUGE_COUNT; i++)
		cm_metrics_append_gauge(text, cm_gauge_name(i),
					cm_gauge_help(i), gauges.value[i]);
	return g_string_free(text, FALSE);
}

static char *render_health(const void *user, const char *query,
			   unsigned int *status)
{
	const struct cm_admin *admin = user;

	(void)query;
	if (cm_node_version(admin->node))
		return strdup("ok\n");
	*status = HTTP_UNAVAILABLE;
	return strdup("no-configuration\n");
}

static json_t *admission_json(const struct cm_backend_status *admission)
{
	return json_pack("{s:I, s:I, s:I, s:b, s:I, s:I, s:I, s:I}",
			 "inherited", (json_int_t)admission->inherited,
			 "unanswered", (json_int_t)admission->unanswered,
			 "share_percent", (json_int_t)admission->percent,
			 "full", admission->full, "retry_after_ms",
			 (json_int_t)admission->retry_after_ms, "admitted",
			 (json_int_t)admission->admitted, "refused",
			 (json_int_t)admission->refused, "cold_starts",
			 (json_int_t)admission->cold_starts);
}

static json_t *server_json(const struct cm_node_server_status *server)
{
	static const char *const states[] = { "active", "draining",
					      "withdrawn" };
	char address[CM_ENDPOINT_TEXT_SIZE];

	return json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:o}", "name",
		server->spec.name, "service", server->spec.service,
		"failure_domain", server->spec.domain, "address",
		cm_endpoint_write(&server->spec.address, address), "state",
		states[server->spec.state], "home", server->is_home,
		"connections", (json_int_t)server->open_connections,
		"max_connections", (json_int_t)server->spec.max_connections,
		"admission", admission_json(&server->admission));
}

static json_t *servers_json(struct cm_node *node)
{
	struct cm_node_server_status *servers;
	json_t *list = json_array();
	uint32_t count;

	if (cm_node_servers(node, &servers, &count))
		return list;
	for (uint32_t i = 0; i < count; i++)
		json_array_append_new(list, server_json(&servers[i]));
	free(servers);
	return list;
}

static json_t *member_json(const struct cm_member *member)
{
	static const char *const states[] = {
		[CM_MEMBER_ALIVE] = "alive",
		[CM_MEMBER_LEAVING] = "leaving",
		[CM_MEMBER_UNREACHABLE] = "unreachable",
		[CM_MEMBER_DEAD] = "dead",
		[CM_MEMBER_SUSPECT] = "suspect",
	};
	char data[CM_ENDPOINT_TEXT_SIZE];

	return json_pack("{s:s, s:s, s:s, s:s}", "name", member->name,
			 "failure_domain", member->domain, "data",
			 cm_endpoint_write(&member->data_address, data),
			 "state", states[member->state]);
}

static json_t *members_json(struct cm_node *node)
{
	struct cm_member *members;
	json_t *list = json_array();
	uint32_t count;

	if (cm_node_members(node, &members, &count))
		return list;
	for (uint32_t i = 0; i < count; i++)
		json_array_append_new(list, member_json(&members[i]));
	free(members);
	return list;
}

static char *render_status(const void *user, const char *query,
			   unsigned int *status)
{
	const struct cm_admin *admin = user;
	char id[CM_PUBLICATION_ID_TEXT_SIZE];
	struct cm_node_status node;
	json_t *root;
	char *text;

	(void)query;
	(void)status;
	cm_node_status_read(admin->node, &node);
	cm_publication_id_write(node.publication_id, id);
	root = json_pack(
		"{s:s, s:s, s:I, s:s, s:b, s:I, s:I, s:o, s:o}", "name",
		admin->settings->name, "failure_domain",
		admin->settings->domain, "version", (json_int_t)node.version,
		"publication_id", node.version ? id : "", "leaving",
		node.leaving, "flows", (json_int_t)node.flows, "uptime_s",
		(json_int_t)((cm_clock_ms() - admin->started_ms) / MS_PER_S),
		"members", members_json(admin->node), "backend_servers",
		servers_json(admin->node));
	text = root ? json_dumps(root, JSON_INDENT(2)) : NULL;
	json_decref(root);
	return text;
}

const struct cm_http_page cm_admin_pages[] = {
	{ "/metrics", CM_METRICS_TYPE, render_metrics },
	{ "/healthz", "text/plain", render_health },
	{ "/status", "application/json", render_status },
	{ NULL, NULL, NULL },
};
