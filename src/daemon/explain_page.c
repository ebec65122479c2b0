#include "explain_page.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/socket.h"
#include "chervilmast/error.h"
#include "ports/clock.h"

#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define TOKEN_DIGITS_MAX 8
#define HEXADECIMAL 16
#define ROUTE_KEY "route="
#define AVOID_KEY "avoid="

static const char *const actions[] = {
	[CM_STEER_DROP] = "drop",
	[CM_STEER_FORWARD] = "forward",
	[CM_STEER_RESET] = "reset",
	[CM_STEER_HOLD] = "hold",
};

int cm_token_parse(uint32_t *token, const char *text)
{
	size_t digits = strspn(text, "0123456789abcdefABCDEF");

	if (!digits || digits > TOKEN_DIGITS_MAX || text[digits])
		return CM_E_BAD_TOKEN;
	*token = (uint32_t)strtoul(text, NULL, HEXADECIMAL);
	return *token ? CM_OK : CM_E_BAD_TOKEN;
}

static void append_verdict(GString *text,
			   const struct cm_steer_verdict *verdict)
{
	g_string_append_printf(text, "action=%s reason=%s",
			       actions[verdict->action],
			       cm_counter_name(verdict->reason));
	if (verdict->action == CM_STEER_FORWARD)
		g_string_append_printf(text, " server=%llx token=%08x",
				       (unsigned long long)verdict->server_id,
				       verdict->token);
}

static void append_server(GString *text, const char *kind,
			  const struct cm_explained_server *server)
{
	char address[CM_ENDPOINT_TEXT_SIZE];

	g_string_append_printf(text,
			       "%s server=%llx token=%08x domain=%s at=%s "
			       "open_flows=%u full=%d",
			       kind, (unsigned long long)server->id,
			       server->token, server->domain,
			       cm_endpoint_write(&server->address, address),
			       server->open_flows, server->is_full);
}

static void append_candidate(GString *text,
			     const struct cm_explained_server *server)
{
	const struct cm_explained_cost *cost = &server->cost;

	append_server(text, "candidate", server);
	g_string_append_printf(
		text,
		" cost=%llu idle=%llu load=%llu slowness=%llu failures=%llu "
		"unproven=%llu other_domain=%llu cold_start=%llu\n",
		(unsigned long long)cost->total, (unsigned long long)cost->idle,
		(unsigned long long)cost->load,
		(unsigned long long)cost->slowness,
		(unsigned long long)cost->failures,
		(unsigned long long)cost->unproven,
		(unsigned long long)cost->other_domain,
		(unsigned long long)cost->cold_start);
}

static void append_excluded(GString *text,
			    const struct cm_explained_server *server)
{
	append_server(text, "excluded", server);
	g_string_append_printf(text, " reason=%s evidence=%s",
			       cm_exclusion_name(server->exclusion),
			       cm_exclusion_evidence(server->exclusion));
	if (server->has_age)
		g_string_append_printf(text, " age_ms=%llu",
				       (unsigned long long)server->age_ms);
	g_string_append_c(text, '\n');
}

/* Return: number of servers that are listed, out of @count. */
static uint32_t row_count(uint32_t count)
{
	return count < CM_EXPLAIN_ROWS_MAX ? count : CM_EXPLAIN_ROWS_MAX;
}

static void append_service(GString *text,
			   const struct cm_explained_service *service)
{
	g_string_append_printf(text, "service=%s weight=%u ", service->name,
			       service->weight);
	append_verdict(text, &service->verdict);
	g_string_append_printf(text,
			       " candidates=%u excluded=%u busy=%d "
			       "mean_flow_ms=%u\n",
			       service->candidate_count,
			       service->excluded_count, service->is_busy,
			       service->mean_flow_ms);
	for (uint32_t i = 0; i < row_count(service->candidate_count); i++)
		append_candidate(text, &service->candidates[i]);
	for (uint32_t i = 0; i < row_count(service->excluded_count); i++)
		append_excluded(text, &service->excluded[i]);
}

static void append_route(GString *text,
			 const struct cm_explanation *explanation)
{
	char address[CM_ENDPOINT_TEXT_SIZE];

	g_string_append_printf(
		text,
		"route=%s failure_domain=%s plan=%llu registry_reachable=%d "
		"objective_ms=%u priority=%u timeout_ms=%u",
		cm_endpoint_write(&explanation->route, address),
		explanation->domain,
		(unsigned long long)explanation->plan_version,
		!explanation->is_registry_unreachable,
		explanation->objective_ms, explanation->traits.priority,
		explanation->traits.timeout_ms);
	if (explanation->has_registry_data)
		g_string_append_printf(
			text, " registry_age_ms=%llu",
			(unsigned long long)explanation->registry_age_ms);
	if (explanation->avoid_token)
		g_string_append_printf(text, " avoid=%08x",
				       explanation->avoid_token);
	g_string_append_c(text, '\n');
}

char *cm_explain_text(const struct cm_explanation *explanation)
{
	GString *text = g_string_new(NULL);

	append_route(text, explanation);
	for (uint32_t i = 0; i < explanation->service_count; i++)
		append_service(text, &explanation->services[i]);
	if (!explanation->service_count) {
		append_verdict(text, &explanation->verdict);
		g_string_append_c(text, '\n');
	}
	return g_string_free(text, FALSE);
}

static int read_argument(const char *argument, struct cm_endpoint *route,
			 uint32_t *avoid_token)
{
	if (g_str_has_prefix(argument, ROUTE_KEY)) {
		route->protocol = IPPROTO_TCP;
		return cm_endpoint_parse(route, argument + strlen(ROUTE_KEY));
	}
	if (g_str_has_prefix(argument, AVOID_KEY))
		return cm_token_parse(avoid_token,
				      argument + strlen(AVOID_KEY));
	return CM_E_UNKNOWN_KEY;
}

static int read_query(const char *query, struct cm_endpoint *route,
		      uint32_t *avoid_token)
{
	char **arguments = g_strsplit(query, "&", 0);
	int error = CM_OK;

	for (char **argument = arguments; *argument && !error; argument++)
		error = read_argument(*argument, route, avoid_token);
	g_strfreev(arguments);
	return error || route->port ? error : CM_E_MISSING_KEY;
}

static char *render_error(int error, unsigned int status_of_error,
			  unsigned int *status)
{
	*status = status_of_error;
	return g_strconcat(cm_error_name(error), "\n", NULL);
}

char *cm_explain_page_render(const void *user, const char *query,
			     unsigned int *status)
{
	struct cm_steer *steer = (struct cm_steer *)user;
	struct cm_endpoint route = { .port = 0 };
	struct cm_explanation *explanation;
	uint32_t avoid_token = 0;
	char *text = NULL;
	int error = read_query(query, &route, &avoid_token);

	if (error)
		return render_error(error, HTTP_BAD_REQUEST, status);
	explanation = malloc(sizeof(*explanation));
	if (!explanation)
		return NULL;
	error = cm_steer_explain(steer, cm_clock_ms(), &route, avoid_token,
				 explanation);
	if (!error)
		text = cm_explain_text(explanation);
	else if (error != CM_E_MEMORY)
		text = render_error(error, HTTP_NOT_FOUND, status);
	free(explanation);
	return text;
}
