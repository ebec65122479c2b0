#include "chervilmast/histogram.h"

#include <ck_pr.h>

static const uint64_t bounds[CM_HISTOGRAM_BOUND_COUNT] = CM_HISTOGRAM_BOUNDS;

static const char *const names[CM_HISTOGRAM_COUNT] = {
#define CM_HISTOGRAM_NAME(kind, name, help) name,
	CM_HISTOGRAMS(CM_HISTOGRAM_NAME)
#undef CM_HISTOGRAM_NAME
};

static const char *const helps[CM_HISTOGRAM_COUNT] = {
#define CM_HISTOGRAM_HELP(kind, name, help) help,
	CM_HISTOGRAMS(CM_HISTOGRAM_HELP)
#undef CM_HISTOGRAM_HELP
};

void cm_histograms_add(struct cm_histograms *histograms,
		       enum cm_histogram_kind kind, uint64_t duration)
{
	struct cm_histogram *histogram = &histograms->by_kind[kind];
	int bucket = 0;

	while (bucket < CM_HISTOGRAM_BOUND_COUNT && duration > bounds[bucket])
		bucket++;
	ck_pr_inc_64(&histogram->buckets[bucket]);
	ck_pr_add_64(&histogram->sum, duration);
}

void cm_histograms_read(const struct cm_histograms *histograms,
			enum cm_histogram_kind kind, struct cm_histogram *copy)
{
	const struct cm_histogram *histogram = &histograms->by_kind[kind];

	for (int i = 0; i <= CM_HISTOGRAM_BOUND_COUNT; i++)
		copy->buckets[i] = ck_pr_load_64(&histogram->buckets[i]);
	copy->sum = ck_pr_load_64(&histogram->sum);
}

const char *cm_histogram_name(enum cm_histogram_kind kind)
{
	return names[kind];
}

const char *cm_histogram_help(enum cm_histogram_kind kind)
{
	return helps[kind];
}
