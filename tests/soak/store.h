/**
 * DOC: Store of a run, with faults
 *
 * A key-value service in memory, located in the first failure domain. While an
 * injected fault lasts, all calls fail, time out or take longer. Calls of an
 * instance also fail while packets between its domain and that of the store are
 * cut in either direction. A call of an operator may also have a random fault
 * of its own: the response is lost or malformed after the write took effect, or
 * the call times out and the write takes effect later.
 */
#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include "fake/store.h"
#include "soak/message.h"

/**
 * struct soak_store - state of the store
 * @service: key-value service
 * @fault: current injected fault of all calls
 * @call_ms: duration of a call, ms
 * @fault_count: number of faults injected so far; the end of a fault takes
 *               effect only if no later fault has replaced it
 */
struct soak_store {
	struct fake_store_service service;
	enum fake_fault fault;
	uint32_t call_ms;
	uint32_t fault_count;
};

/**
 * soak_store_init() - initialise an empty store
 * @store: the store, zeroed
 */
void soak_store_init(struct soak_store *store);

/**
 * soak_store_inject_fault() - inject a random fault of random duration
 * @soak: the run
 */
void soak_store_inject_fault(struct soak *soak);

/**
 * soak_store_fault_at() - return the current fault of an instance's calls
 * @soak: the run
 * @instance: number of the instance
 *
 * Return: the fault.
 */
enum fake_fault soak_store_fault_at(const struct soak *soak, uint32_t instance);

/**
 * soak_store_choose_call_fault() - choose the fault of one call of an operator
 * @soak: the run
 *
 * May also execute a pending write of a call that timed out.
 *
 * Return: the fault.
 */
enum fake_fault soak_store_choose_call_fault(struct soak *soak);

/**
 * soak_store_execute_late_writes() - execute all pending writes of calls that
 * timed out
 * @soak: the run
 */
void soak_store_execute_late_writes(struct soak *soak);

#endif
