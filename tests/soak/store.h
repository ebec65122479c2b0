/**
 * DOC: The store of a run, with faults
 *
 * One service in memory, which stands in the first failure domain. What one of
 * its clients meets depends on the fault that is drawn, on cuts and, for each
 * call of an operator, on chance: answers are lost after the write has taken
 * effect, and writes that nobody waits for any more are carried out later.
 */
#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include "fake/store.h"
#include "soak/message.h"

/**
 * struct soak_store - the store
 * @service: what it holds
 * @fault: what all calls meet now
 * @call_ms: time of one call
 * @faults: faults so far; only the last one heals
 */
struct soak_store {
	struct fake_store_service service;
	enum fake_fault fault;
	uint32_t call_ms;
	uint32_t faults;
};

/**
 * soak_store_init() - make an empty store
 * @store: memory of the caller, zeroed
 */
void soak_store_init(struct soak_store *store);

/**
 * soak_store_fail() - draw a fault that lasts
 * @soak: the run
 */
void soak_store_fail(struct soak *soak);

/**
 * soak_store_fault_at() - what the calls of an instance meet now
 * @soak: the run
 * @instance: the instance
 *
 * Return: the fault.
 */
enum fake_fault soak_store_fault_at(const struct soak *soak, uint32_t instance);

/**
 * soak_store_draw_call() - what one call of an operator meets
 * @soak: the run
 *
 * Return: the fault; a late write may have been carried out.
 */
enum fake_fault soak_store_draw_call(struct soak *soak);

/**
 * soak_store_settle() - carry out every late write
 * @soak: the run
 */
void soak_store_settle(struct soak *soak);

#endif
