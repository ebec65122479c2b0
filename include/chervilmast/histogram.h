/**
 * DOC: Histograms
 *
 * Latencies in fixed buckets: of server answers, flows, packet processing and
 * calls to the store or to other instances. Adding is lock-free.
 */
#ifndef CHERVILMAST_HISTOGRAM_H
#define CHERVILMAST_HISTOGRAM_H

#include <stdint.h>

/* X(constant, name in /metrics with its unit, help text) */
#define CM_HISTOGRAMS(X)                                                     \
	X(SYN_ANSWER, "syn_answer_milliseconds",                             \
	  "time from forwarding a SYN to the caller's next packet, in ms")   \
	X(FLOW, "flow_milliseconds",                                         \
	  "time from forwarding a SYN to the caller's FIN, in ms")           \
	X(DECISION, "decision_microseconds",                                 \
	  "time to process and send a batch of packets, in microseconds")    \
	X(PACKET_WAIT, "packet_wait_milliseconds",                           \
	  "longest time that a batch may have waited to be received, in ms") \
	X(STORE_READ, "store_read_milliseconds",                             \
	  "time of a full read of the registry, in ms")                      \
	X(STORE_WAIT, "store_wait_milliseconds",                             \
	  "time of a call that waits for changes of the registry, in ms")    \
	X(STORE_ENTRY, "store_entry_milliseconds",                           \
	  "time to write the members entry or to renew its lease, in ms")    \
	X(SOURCE_ANSWER, "source_answer_milliseconds",                       \
	  "time from a request for registry items to the answer, in ms")

/**
 * enum cm_histogram_kind - index of a histogram
 */
enum cm_histogram_kind {
#define CM_HISTOGRAM_ENUM(kind, name, help) CM_H_##kind,
	CM_HISTOGRAMS(CM_HISTOGRAM_ENUM)
#undef CM_HISTOGRAM_ENUM
		CM_HISTOGRAM_COUNT
};

/**
 * Inclusive upper bounds of the buckets, in the unit of the histogram. One more
 * bucket holds the durations above the last bound.
 */
#define CM_HISTOGRAM_BOUNDS                                                 \
	{                                                                   \
		1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000 \
	}
/** Number of bounds. */
#define CM_HISTOGRAM_BOUND_COUNT 13

/**
 * struct cm_histogram - one histogram
 * @buckets: number of durations in each bucket; the last bucket has no upper
 *           bound
 * @sum: sum of all durations, in the unit of the histogram
 */
struct cm_histogram {
	uint64_t buckets[CM_HISTOGRAM_BOUND_COUNT + 1];
	uint64_t sum;
};

/**
 * struct cm_histograms - one histogram of each kind
 * @by_kind: the histograms, indexed by enum cm_histogram_kind
 */
struct cm_histograms {
	struct cm_histogram by_kind[CM_HISTOGRAM_COUNT];
};

/**
 * cm_histograms_add() - add a duration to a histogram
 * @histograms: the histograms
 * @kind: the histogram to add to
 * @duration: the duration, in the unit of that histogram
 */
void cm_histograms_add(struct cm_histograms *histograms,
		       enum cm_histogram_kind kind, uint64_t duration);

/**
 * cm_histograms_read() - copy a histogram
 * @histograms: the histograms
 * @kind: the histogram to copy
 * @copy: set to the current values
 */
void cm_histograms_read(const struct cm_histograms *histograms,
			enum cm_histogram_kind kind, struct cm_histogram *copy);

/**
 * cm_histogram_name() - name of a histogram in /metrics
 * @kind: the histogram
 *
 * Return: a static string.
 */
const char *cm_histogram_name(enum cm_histogram_kind kind);

/**
 * cm_histogram_help() - help text of a histogram in /metrics
 * @kind: the histogram
 *
 * Return: a static string.
 */
const char *cm_histogram_help(enum cm_histogram_kind kind);

#endif
