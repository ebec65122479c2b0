#include "chervilmast/budget.h"

#include <string.h>

/* Units per token; a rate of 1 token/s adds 1 unit per ms. */
#define TOKEN_UNITS 1000

void cm_budget_init(struct cm_budget *budget, uint32_t per_s, uint32_t capacity)
{
	memset(budget, 0, sizeof(*budget));
	pthread_mutex_init(&budget->lock, NULL);
	budget->per_s = per_s;
	budget->capacity = capacity;
	budget->tokens = (uint64_t)capacity * TOKEN_UNITS;
}

void cm_budget_finish(struct cm_budget *budget)
{
	pthread_mutex_destroy(&budget->lock);
}

static void budget_add(struct cm_budget *budget, uint64_t units)
{
	uint64_t max_units = (uint64_t)budget->capacity * TOKEN_UNITS;

	budget->tokens += units;
	if (budget->tokens > max_units)
		budget->tokens = max_units;
}

static void budget_refill(struct cm_budget *budget, uint64_t now_ms)
{
	if (now_ms <= budget->refilled_ms)
		return;
	budget_add(budget, (now_ms - budget->refilled_ms) * budget->per_s);
	budget->refilled_ms = now_ms;
}

void cm_budget_add(struct cm_budget *budget, uint32_t thousandths)
{
	pthread_mutex_lock(&budget->lock);
	budget_add(budget, thousandths);
	pthread_mutex_unlock(&budget->lock);
}

bool cm_budget_take(struct cm_budget *budget, uint64_t now_ms)
{
	bool taken = false;

	pthread_mutex_lock(&budget->lock);
	budget_refill(budget, now_ms);
	if (budget->tokens >= TOKEN_UNITS) {
		budget->tokens -= TOKEN_UNITS;
		taken = true;
	}
	pthread_mutex_unlock(&budget->lock);
	return taken;
}
