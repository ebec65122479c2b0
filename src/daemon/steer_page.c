#include "steer_page.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/steer.h"
#include "explain_page.h"
#include "metrics_text.h"
#include "ports/clock.h"
#include "steer_gauge.h"

#define HTTP_UNAVAILABLE 503

static char *render_ready(const void *user, const char *query,
			  unsigned int *status)
{
	struct cm_steer *steer = (struct cm_steer *)user;

	(void)query;
	if (cm_steer_is_ready(steer, cm_clock_ms()))
		return strdup("ready\n");
	*status = HTTP_UNAVAILABLE;
	return strdup("not-ready\n");
}

static char *render_metrics(const void *user, const char *query,
			    unsigned int *status)
{
	struct cm_steer *steer = (struct cm_steer *)user;
	GString *text = g_string_new(NULL);
	struct cm_steer_gauges gauges;

	(void)query;
	(void)status;
	cm_metrics_append_counters(text, &steer->counters);
	cm_steer_gauges_read(steer, cm_clock_ms(), &gauges);
	for (int i = 0; i < CM_STEER_GAUGE_COUNT; i++)
		cm_metrics_append_gauge(text, cm_steer_gauge_name(i),
					cm_steer_gauge_help(i),
					gauges.value[i]);
	for (int i = 0; i < CM_HISTOGRAM_COUNT; i++)
		cm_metrics_append_histogram(text, &steer->histograms, i);
	return g_string_free(text, FALSE);
}

const struct cm_http_page cm_steer_ready_pages[] = {
	{ "/-/ready", "text/plain", render_ready },
	{ NULL, NULL, NULL },
};

const struct cm_http_page cm_steer_metrics_pages[] = {
	{ "/metrics", CM_METRICS_TYPE, render_metrics },
	{ CM_EXPLAIN_PATH, "text/plain", cm_explain_page_render },
	{ NULL, NULL, NULL },
};
