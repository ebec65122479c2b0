#include "steer_gauge.h"

#include <string.h>

#include "log.h"

static const char *const names[CM_STEER_GAUGE_COUNT] = {
#define CM_STEER_GAUGE_NAME(gauge, text, help) text,
	CM_STEER_GAUGES(CM_STEER_GAUGE_NAME)
#undef CM_STEER_GAUGE_NAME
};

static const char *const helps[CM_STEER_GAUGE_COUNT] = {
#define CM_STEER_GAUGE_HELP(gauge, text, help) help,
	CM_STEER_GAUGES(CM_STEER_GAUGE_HELP)
#undef CM_STEER_GAUGE_HELP
};

static void count_server(const struct cm_steer_server *server,
			 struct cm_steer_gauges *gauges)
{
	static const enum cm_steer_gauge by_listing[] = {
		[CM_LISTED] = CM_STEER_GAUGE_LISTED,
		[CM_LAPSED] = CM_STEER_GAUGE_LAPSED,
		[CM_LEFT] = CM_STEER_GAUGE_LEFT,
	};

	gauges->value[by_listing[server->listing]]++;
	if (server->listing == CM_LEFT)
		return;
	gauges->value[CM_STEER_GAUGE_DRAINING] += server->entry.is_draining;
	gauges->value[CM_STEER_GAUGE_SUSPECTED] +=
		cm_server_health_is_suspected(&server->health);
}

void cm_steer_gauges_read(struct cm_steer *steer, uint64_t now_ms,
			  struct cm_steer_gauges *gauges)
{
	const struct cm_steer_server *server;

	memset(gauges, 0, sizeof(*gauges));
	gauges->value[CM_STEER_GAUGE_READY] = cm_steer_is_ready(steer, now_ms);
	gauges->value[CM_STEER_GAUGE_LINES_LEFT_OUT] = cm_log_dropped();
	pthread_mutex_lock(&steer->lock);
	gauges->value[CM_STEER_GAUGE_PLAN] = steer->plan.version;
	if (now_ms > steer->registry_confirmed_ms)
		gauges->value[CM_STEER_GAUGE_REGISTRY_AGE] =
			now_ms - steer->registry_confirmed_ms;
	gauges->value[CM_STEER_GAUGE_PEERS] = steer->peers.count;
	gauges->value[CM_STEER_GAUGE_FLOWS_OBSERVED] = steer->flows.count;
	TAILQ_FOREACH (server, &steer->servers.all, link)
		count_server(server, gauges);
	pthread_mutex_unlock(&steer->lock);
}

const char *cm_steer_gauge_name(enum cm_steer_gauge gauge)
{
	return names[gauge];
}

const char *cm_steer_gauge_help(enum cm_steer_gauge gauge)
{
	return helps[gauge];
}
