#include "chervilmast/steer_load.h"

#include <string.h>

#include "steer_internal.h"
#include "test_switch.h"

/**
 * Reports of load 0 after which a server is no longer reported; more than one,
 * as a report may be lost with its connection.
 */
#define ZERO_REPORTS_MAX 3
/**
 * A load counts as changed when it differs from the reported one by more than
 * this, thousandths, plus a sixteenth; the means of the routes vary by less.
 */
#define CHANGE_MIN 8
#define CHANGE_DIVISOR 16
/**
 * Added to the priority of a changed load. The priority of others is the number
 * of reports since their last one, which stays below this.
 */
#define CHANGED_PRIORITY (1ULL << 40)
/**
 * Age up to which a flow of a route without samples makes the instance's loads
 * incomplete, ms; a route whose flows neither end nor carry a second request is
 * not waited for any longer.
 */
#define UNKNOWN_ROUTE_MS 15000

/**
 * struct load_candidates - servers to be reported, highest priority first
 * @servers: the servers
 * @priorities: priority of each server
 * @count: number of @servers
 * @max: room in @servers
 * @unreported: number of servers with load that was never reported, those
 *              without room included
 */
struct load_candidates {
	struct cm_steer_server *servers[CM_LOAD_LIST_MAX];
	uint64_t priorities[CM_LOAD_LIST_MAX];
	uint32_t count;
	uint32_t max;
	uint32_t unreported;
};

static uint32_t load_change(const struct cm_server_load *load)
{
	uint32_t change = load->own > load->reported ?
				  load->own - load->reported :
				  load->reported - load->own;

	if (!load->report_seq || !load->own)
		return change;
	return change > CHANGE_MIN + load->reported / CHANGE_DIVISOR ? change :
								       0;
}

/* Return: 0 when the load need not be reported. */
static uint64_t report_priority(const struct cm_steer *steer,
				const struct cm_server_load *load)
{
	uint32_t change = load_change(load);

	if (change)
		return CHANGED_PRIORITY + change;
	if (!load->report_seq || load->zero_reports >= ZERO_REPORTS_MAX)
		return 0;
	return steer->load_report_seq - load->report_seq + 1;
}

/* Keeps the @max candidates of highest priority. */
static void add_candidate(struct load_candidates *candidates,
			  struct cm_steer_server *server, uint64_t priority)
{
	uint32_t i = candidates->count;

	if (i == candidates->max &&
	    (!i || priority <= candidates->priorities[i - 1]))
		return;
	if (i == candidates->max)
		i--;
	else
		candidates->count++;
	for (; i > 0 && candidates->priorities[i - 1] < priority; i--) {
		candidates->priorities[i] = candidates->priorities[i - 1];
		candidates->servers[i] = candidates->servers[i - 1];
	}
	candidates->priorities[i] = priority;
	candidates->servers[i] = server;
}

/*
 * Updates the shares of the flows in the loads of their servers.
 *
 * Return: number of flows of routes about which nothing is known yet. They
 * count as one busy slot each, which can be 60 times the load of a long flow.
 */
static uint32_t recount_flows(struct cm_steer *steer, uint64_t now_ms,
			      const struct cm_steer_flow_list *list)
{
	struct cm_steer_flow *flow;
	uint32_t unknown = 0;

	TAILQ_FOREACH (flow, list, link) {
		struct cm_steer_server *server =
			flow->is_unanswered ?
				NULL :
				cm_steer_servers_find_by_token(&steer->servers,
							       flow->token);

		if (server)
			cm_server_load_count(server, flow, steer->active_ms);
		unknown += !flow->route->samples &&
			   now_ms < flow->syn_ms + UNKNOWN_ROUTE_MS;
	}
	return unknown;
}

static bool is_unreported(const struct cm_server_load *load)
{
	return load->own && !load->report_seq;
}

static void record_report(struct cm_steer *steer, struct cm_server_load *load)
{
	load->reported = load->own;
	load->report_seq = steer->load_report_seq;
	load->zero_reports = load->own ? 0 : load->zero_reports + 1;
}

/*
 * Copies the candidates to the report and records them as reported.
 *
 * Return: number of servers that are reported for the first time.
 */
static uint32_t report_candidates(struct cm_steer *steer,
				  struct load_candidates *candidates,
				  struct cm_load_list *loads)
{
	uint32_t first_reports = 0;

	steer->load_report_seq++;
	for (uint32_t i = 0; i < candidates->count; i++) {
		struct cm_steer_server *server = candidates->servers[i];

		first_reports += is_unreported(&server->load);
		loads->tokens[i] = server->token;
		loads->loads[i] = server->load.own;
		record_report(steer, &server->load);
	}
	loads->count = candidates->count;
	return first_reports;
}

bool cm_steer_take_loads(struct cm_steer *steer, uint64_t now_ms,
			 struct cm_load_list *loads)
{
	struct load_candidates candidates = { .count = 0 };
	struct cm_steer_server *server;
	uint32_t first_reports, unknown;

	pthread_mutex_lock(&steer->lock);
	candidates.max = cm_load_list_room(now_ms - steer->loads_reported_ms);
	steer->loads_reported_ms = now_ms;
	unknown = recount_flows(steer, now_ms, &steer->flows.lru);
	unknown += recount_flows(steer, now_ms, &steer->flows.kept);
	TAILQ_FOREACH (server, &steer->servers.all, link) {
		uint64_t priority = report_priority(steer, &server->load);

		candidates.unreported += is_unreported(&server->load);
		if (priority)
			add_candidate(&candidates, server, priority);
	}
	first_reports = report_candidates(steer, &candidates, loads);
	pthread_mutex_unlock(&steer->lock);
	return first_reports == candidates.unreported && !unknown;
}

void cm_steer_reset_load_reports(struct cm_steer *steer)
{
	struct cm_steer_server *server;

	pthread_mutex_lock(&steer->lock);
	TAILQ_FOREACH (server, &steer->servers.all, link) {
		server->load.reported = 0;
		server->load.report_seq = 0;
		server->load.zero_reports = 0;
	}
	pthread_mutex_unlock(&steer->lock);
}

void cm_steer_apply_loads(struct cm_steer *steer, uint64_t current_ms,
			  const struct cm_load_list *sums)
{
	if (cm_switched_off(CM_SWITCH_SERVER_LOAD))
		return;
	pthread_mutex_lock(&steer->lock);
	for (uint32_t i = 0; i < sums->count; i++) {
		struct cm_steer_server *server = cm_steer_servers_find_by_token(
			&steer->servers, sums->tokens[i]);

		/* A late answer of an earlier source is not applied. */
		if (!server || server->load.others_ms > current_ms)
			continue;
		server->load.others = sums->loads[i];
		server->load.others_ms = current_ms;
	}
	if (sums->count && current_ms > steer->loads_known_ms)
		steer->loads_known_ms = current_ms;
	pthread_mutex_unlock(&steer->lock);
}

/*
 * Records for the log when the loads of the other instances become known, and
 * when they are no longer known.
 */
void cm_steer_check_loads(struct cm_steer *steer, uint64_t now_ms)
{
	bool are_known =
		steer->loads_known_ms &&
		now_ms < steer->loads_known_ms + CM_SERVER_LOAD_STALE_MS;
	struct cm_steer_change change = {
		.waited_ms = (uint32_t)(now_ms - steer->loads_known_ms),
		.at_ms = now_ms,
	};

	if (are_known == steer->loads_are_known)
		return;
	steer->loads_are_known = are_known;
	cm_counters_add(&steer->counters, are_known ? CM_C_STEER_LOADS_KNOWN :
						      CM_C_STEER_LOADS_UNKNOWN);
	change.kind = are_known ? CM_STEER_CHANGE_LOADS_KNOWN :
				  CM_STEER_CHANGE_LOADS_UNKNOWN;
	cm_steer_changes_add(&steer->changes, &change);
}
