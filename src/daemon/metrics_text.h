/**
 * DOC: Metrics as text
 *
 * Writes metrics in the text exposition format of Prometheus.
 */
#ifndef DAEMON_METRICS_TEXT_H
#define DAEMON_METRICS_TEXT_H

#include <glib.h>

#include "chervilmast/counter.h"
#include "chervilmast/histogram.h"

/** Media type of the text exposition format. */
#define CM_METRICS_TYPE "text/plain; version=0.0.4; charset=utf-8"

/**
 * cm_metrics_append_counters() - append every counter
 * @text: text to append to
 * @counters: the counters
 */
void cm_metrics_append_counters(GString *text,
				const struct cm_counters *counters);

/**
 * cm_metrics_append_gauge() - append a gauge
 * @text: text to append to
 * @name: name of the gauge
 * @help: help text of the gauge
 * @value: value of the gauge
 */
void cm_metrics_append_gauge(GString *text, const char *name, const char *help,
			     uint64_t value);

/**
 * cm_metrics_append_histogram() - append a histogram
 * @text: text to append to
 * @histograms: all histograms
 * @kind: the histogram to append
 */
void cm_metrics_append_histogram(GString *text,
				 const struct cm_histograms *histograms,
				 enum cm_histogram_kind kind);

#endif
