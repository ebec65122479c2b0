#include "chervilmast/counter.h"

#include <ck_pr.h>

static const char *const counter_name[CM_COUNTER_COUNT] = {
#define CM_COUNTER_NAME(name, text, help) text,
	CM_COUNTERS(CM_COUNTER_NAME)
#undef CM_COUNTER_NAME
};

static const char *const counter_help[CM_COUNTER_COUNT] = {
#define CM_COUNTER_HELP(name, text, help) help,
	CM_COUNTERS(CM_COUNTER_HELP)
#undef CM_COUNTER_HELP
};

void cm_counters_add(struct cm_counters *counters, enum cm_counter counter)
{
	ck_pr_inc_64(&counters->slots[cm_slot_self()].value[counter]);
}

void cm_counters_add_many(struct cm_counters *counters, enum cm_counter counter,
			  uint64_t number)
{
	ck_pr_add_64(&counters->slots[cm_slot_self()].value[counter], number);
}

uint64_t cm_counters_get(const struct cm_counters *counters,
			 enum cm_counter counter)
{
	uint64_t sum = 0;

	for (int i = 0; i < CM_SLOTS; i++)
		sum += ck_pr_load_64(&counters->slots[i].value[counter]);
	return sum;
}

const char *cm_counter_name(enum cm_counter counter)
{
	return counter_name[counter];
}

const char *cm_counter_help(enum cm_counter counter)
{
	return counter_help[counter];
}
