#include "metrics_text.h"

#define NAME_PREFIX "chervilmast_"
#define COUNTER_SUFFIX "_total"

static void append_metric(GString *text, const char *name, const char *suffix,
			  const char *type, const char *help, uint64_t value)
{
	g_string_append_printf(text,
			       "# HELP " NAME_PREFIX "%s%s %s\n"
			       "# TYPE " NAME_PREFIX "%s%s %s\n" NAME_PREFIX
			       "%s%s %llu\n",
			       name, suffix, help, name, suffix, type, name,
			       suffix, (unsigned long long)value);
}

void cm_metrics_append_counters(GString *text,
				const struct cm_counters *counters)
{
	for (int i = 0; i < CM_COUNTER_COUNT; i++)
		append_metric(text, cm_counter_name(i), COUNTER_SUFFIX,
			      "counter", cm_counter_help(i),
			      cm_counters_get(counters, i));
}

void cm_metrics_append_gauge(GString *text, const char *name, const char *help,
			     uint64_t value)
{
	append_metric(text, name, "", "gauge", help, value);
}

static void append_buckets(GString *text, const char *name,
			   const struct cm_histogram *histogram)
{
	static const uint64_t bounds[] = CM_HISTOGRAM_BOUNDS;
	uint64_t count = 0;

	for (int i = 0; i < CM_HISTOGRAM_BOUND_COUNT; i++) {
		count += histogram->buckets[i];
		g_string_append_printf(
			text, NAME_PREFIX "%s_bucket{le=\"%llu\"} %llu\n", name,
			(unsigned long long)bounds[i],
			(unsigned long long)count);
	}
	count += histogram->buckets[CM_HISTOGRAM_BOUND_COUNT];
	g_string_append_printf(text,
			       NAME_PREFIX
			       "%s_bucket{le=\"+Inf\"} %llu\n" NAME_PREFIX
			       "%s_sum %llu\n" NAME_PREFIX "%s_count %llu\n",
			       name, (unsigned long long)count, name,
			       (unsigned long long)histogram->sum, name,
			       (unsigned long long)count);
}

void cm_metrics_append_histogram(GString *text,
				 const struct cm_histograms *histograms,
				 enum cm_histogram_kind kind)
{
	const char *name = cm_histogram_name(kind);
	struct cm_histogram histogram;

	cm_histograms_read(histograms, kind, &histogram);
	g_string_append_printf(text,
			       "# HELP " NAME_PREFIX "%s %s\n"
			       "# TYPE " NAME_PREFIX "%s histogram\n",
			       name, cm_histogram_help(kind), name);
	append_buckets(text, name, &histogram);
}
