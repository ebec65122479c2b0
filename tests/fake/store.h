/**
 * DOC: Store port in memory
 *
 * Implements the port of src/ports/store.h on a key-value service in memory,
 * with injected faults. Several clients may share one service. No call blocks;
 * a watch without a change times out immediately.
 */
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "fake/kv.h"
#include "ports/store.h"

/** Maximum total size of the values in one transaction, bytes; etcd's default
 * request limit. */
#define FAKE_REQUEST_BYTES_MAX (1536 * 1024)
/** Maximum number of delayed transactions; further ones are dropped. */
#define FAKE_LATE_MAX 64

/**
 * enum fake_fault - fault injected into a call
 * @FAKE_FAULT_NONE: no fault
 * @FAKE_FAULT_DOWN: the call fails without effect
 * @FAKE_FAULT_SLOW: the call times out; a transaction is applied later, by
 *                   fake_store_service_apply_late()
 * @FAKE_FAULT_LOST: a write takes effect but fails with CM_E_UNAVAILABLE, as if
 *                   its answer were lost; reads succeed
 * @FAKE_FAULT_GARBAGE: the call takes effect; its answer is malformed
 * @FAKE_FAULT_OVERSIZE: the call takes effect; its answer is too large
 * @FAKE_FAULT_COMPACTED: the call fails as if its revision were compacted; a
 *                        write takes effect all the same
 */
enum fake_fault {
	FAKE_FAULT_NONE,
	FAKE_FAULT_DOWN,
	FAKE_FAULT_SLOW,
	FAKE_FAULT_LOST,
	FAKE_FAULT_GARBAGE,
	FAKE_FAULT_OVERSIZE,
	FAKE_FAULT_COMPACTED,
};

/**
 * struct fake_transaction - a delayed transaction
 * @key: key whose revision is compared
 * @revision: revision that @key must have; 0 when it must not exist
 * @puts: keys and values to write
 * @count: number of @puts
 */
struct fake_transaction {
	char *key;
	int64_t revision;
	struct cm_store_put *puts;
	size_t count;
};

/**
 * struct fake_store_service - store that several clients share
 * @kv: the keys
 * @late: transactions that timed out and are not yet applied
 * @late_count: number of @late
 */
struct fake_store_service {
	struct fake_kv kv;
	struct fake_transaction late[FAKE_LATE_MAX];
	size_t late_count;
};

/**
 * struct fake_store - a client of the service
 * @base: the port; must stay the first member
 * @service: the service
 * @fault: fault of the next calls
 * @calls: number of calls so far
 * @before_call: called before each call; may be NULL
 * @user: argument for @before_call
 */
struct fake_store {
	struct cm_store base;
	struct fake_store_service *service;
	enum fake_fault fault;
	uint64_t calls;
	void (*before_call)(struct fake_store *store);
	void *user;
};

/**
 * fake_store_service_init() - make an empty service
 * @service: memory of the caller
 */
void fake_store_service_init(struct fake_store_service *service);

/**
 * fake_store_service_finish() - free the keys and delayed transactions of a
 * service
 * @service: the service; its memory stays the caller's
 */
void fake_store_service_finish(struct fake_store_service *service);

/**
 * fake_store_service_apply_late() - apply a delayed transaction if its key
 * still has the compared revision, and remove it
 * @service: the service
 * @index: index in @service->late
 */
void fake_store_service_apply_late(struct fake_store_service *service,
				   size_t index);

/**
 * fake_store_init() - make a client
 * @store: memory of the caller
 * @service: the service
 */
void fake_store_init(struct fake_store *store,
		     struct fake_store_service *service);

#endif
