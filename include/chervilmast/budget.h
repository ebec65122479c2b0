/**
 * DOC: Budgets
 *
 * A budget is a token bucket. Tokens are added at a fixed rate, and by
 * cm_budget_add(), up to the capacity of the bucket. All functions take the
 * lock of the struct cm_budget.
 */
#ifndef CHERVILMAST_BUDGET_H
#define CHERVILMAST_BUDGET_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct cm_budget - a token bucket
 * @lock: guards the members below
 * @per_s: refill rate, tokens/s
 * @capacity: capacity, tokens
 * @tokens: content of the bucket, thousandths of a token
 * @refilled_ms: when @tokens was last refilled
 */
struct cm_budget {
	pthread_mutex_t lock;
	uint32_t per_s;
	uint32_t capacity;
	uint64_t tokens;
	uint64_t refilled_ms;
};

/**
 * cm_budget_init() - initialize a full bucket
 * @budget: uninitialized memory, owned by the calling function
 * @per_s: refill rate, tokens/s
 * @capacity: capacity, tokens
 */
void cm_budget_init(struct cm_budget *budget, uint32_t per_s,
		    uint32_t capacity);

/**
 * cm_budget_finish() - release resources
 * @budget: the budget; the struct itself is not freed
 */
void cm_budget_finish(struct cm_budget *budget);

/**
 * cm_budget_take() - take one token
 * @budget: the budget
 * @now_ms: current time
 *
 * Return: true, or false if the bucket held less than one token.
 */
bool cm_budget_take(struct cm_budget *budget, uint64_t now_ms);

/**
 * cm_budget_add() - add a fraction of a token, up to the capacity
 * @budget: the budget
 * @thousandths: amount to add, thousandths of a token
 */
void cm_budget_add(struct cm_budget *budget, uint32_t thousandths);

#endif
