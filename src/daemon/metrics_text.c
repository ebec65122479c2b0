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
