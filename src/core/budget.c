#include "chervilmast/budget.h"

#include <string.h>

/* Units per token, so that a rate of 1 token/s adds 1 unit per ms. */
#define TOKEN 1000

void cm_budget_init(struct cm_budget *budget, uint32_t per_s, uint32_t most)
{
	memset(budget, 0, sizeof(*budget));
	pthread_mutex_init(&budget->lock, NULL);
	budget->per_s = per_s;
	budget->most = most;
	budget->tokens = (uint64_t)most * TOKEN;
}

void cm_budget_finish(struct cm_budget *budget)
{
	pthread_mutex_destroy(&budget->lock);
}

static void add(struct cm_budget *budget, uint64_t thousandths)
{
	uint64_t most = (uint64_t)budget->most * TOKEN;

	budget->tokens += thousandths;
	if (budget->tokens > most)
		budget->tokens = most;
}

static void refill(struct cm_budget *budget, uint64_t now_ms)
{
	if (now_ms <= budget->since_ms)
		return;
	add(budget, (now_ms - budget->since_ms) * budget->per_s);
	budget->since_ms = now_ms;
}

void cm_budget_earn(struct cm_budget *budget, uint32_t thousandths)
{
	pthread_mutex_lock(&budget->lock);
	add(budget, thousandths);
	pthread_mutex_unlock(&budget->lock);
}

bool cm_budget_take(struct cm_budget *budget, uint64_t now_ms)
{
	bool taken = false;

	pthread_mutex_lock(&budget->lock);
	refill(budget, now_ms);
	if (budget->tokens >= TOKEN) {
		budget->tokens -= TOKEN;
		taken = true;
	}
	pthread_mutex_unlock(&budget->lock);
	return taken;
}
