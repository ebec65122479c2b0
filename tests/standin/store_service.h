/**
 * DOC: Stand-in for the platform's key-value service over HTTP
 *
 * Serves the JSON mapping of etcd v3 from memory. Faults can be injected at run
 * time: by a test in the same process through the fields of struct
 * standin_store, and by another process through a request to /switch.
 */
#ifndef STANDIN_STORE_SERVICE_H
#define STANDIN_STORE_SERVICE_H

#include <pthread.h>

#include "fake/kv.h"

/**
 * enum standin_answer - kind of answer to a request that was executed
 * @STANDIN_ANSWER_RESULT: its result
 * @STANDIN_ANSWER_GARBAGE: text that is not JSON
 * @STANDIN_ANSWER_EMPTY: an empty object
 * @STANDIN_ANSWER_OVERSIZE: more bytes than a client accepts
 * @STANDIN_ANSWER_COMPACTED: the error for a revision that was compacted
 * @STANDIN_ANSWER_COUNT: number of kinds
 */
enum standin_answer {
	STANDIN_ANSWER_RESULT,
	STANDIN_ANSWER_GARBAGE,
	STANDIN_ANSWER_EMPTY,
	STANDIN_ANSWER_OVERSIZE,
	STANDIN_ANSWER_COMPACTED,
	STANDIN_ANSWER_COUNT,
};

/**
 * struct standin_store - stand-in for the key-value service
 * @server: handle of the HTTP server library
 * @lock: protects all fields below
 * @kv: stored keys
 * @down: requests are not executed and fail with status 503
 * @slow_ms: delay before each request is executed
 * @lose_answers: number of next writes that are executed but answered with
 *                status 503, as if the answer were lost
 * @down_after_writes: number of next writes after which @down is set; 0 for
 *                     never
 * @logs_transactions: whether to log the time of each successful transaction
 * @answer: kind of answer to requests
 * @leases: leases that have not expired
 * @granted_count: number of leases granted so far
 * @clock_ahead_ms: time by which the clock of leases is ahead of cm_clock_ms();
 *                  a test raises it to make leases expire
 * @calls: number of requests so far
 */
struct standin_store {
	void *server;
	pthread_mutex_t lock;
	struct fake_kv kv;
	bool down;
	uint32_t slow_ms;
	uint32_t lose_answers;
	uint32_t down_after_writes;
	bool logs_transactions;
	enum standin_answer answer;
	LIST_HEAD(, standin_lease) leases;
	uint64_t granted_count;
	uint64_t clock_ahead_ms;
	uint64_t calls;
};

/**
 * standin_store_init() - initialise an empty store
 * @store: memory of the caller
 */
void standin_store_init(struct standin_store *store);

/**
 * standin_store_finish() - free the contents of a stopped store
 * @store: the store; the struct itself is not freed
 */
void standin_store_finish(struct standin_store *store);

/**
 * standin_store_start() - start serving on loopback
 * @store: the store
 * @port: TCP port; 0 for any free one
 *
 * Return: the port, or -1 when the server did not start.
 */
int standin_store_start(struct standin_store *store, uint16_t port);

/**
 * standin_store_stop() - stop serving
 * @store: the store
 */
void standin_store_stop(struct standin_store *store);

#endif
