/**
 * DOC: Stand-in for the platform's store over HTTP
 *
 * Serves from memory the calls of the platform's store that the registry uses.
 * Faults can be injected at run time.
 */
#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <pthread.h>

#include "fake/kv.h"
#include "standin/platform_fault.h"
#include "standin/platform_history.h"
#include "standin/platform_lease.h"

/**
 * struct platform_standin - stand-in for the platform's store
 * @server: handle of the HTTP server library
 * @lock: protects all fields below
 * @kv: stored keys
 * @page_size: maximum number of items in an answer
 * @fault: how calls are handled
 * @leases: granted leases
 * @stale_reads: number of reads that allowed stale answers
 * @calls: number of calls
 * @era: value of the header Store-Era; 0 for none
 * @era_header: overrides that header; NULL for no override
 * @era_changes: number of changes of era that follow, one before each call
 *               after the first
 * @history: earlier copies of the store
 * @is_stopping: watches stop waiting for a change, and endless answers end
 */
struct platform_standin {
	void *server;
	pthread_mutex_t lock;
	struct fake_kv kv;
	size_t page_size;
	enum platform_fault fault;
	struct platform_leases leases;
	int stale_reads;
	uint64_t calls;
	unsigned int era;
	const char *era_header;
	unsigned int era_changes;
	struct platform_history history;
	bool is_stopping;
};

/** platform_standin_start() - serve on a loopback port, 0 for any free one;
 * returns the port, or 0 when the server did not start */
uint16_t platform_standin_start(struct platform_standin *standin,
				uint16_t port);

/** platform_standin_stop() - stop serving and free all keys */
void platform_standin_stop(struct platform_standin *standin);

/** platform_standin_put() - write a key without a lease; @value is JSON text */
void platform_standin_put(struct platform_standin *standin, const char *key,
			  const char *value);

/** platform_standin_put_bytes() - write a key without a lease; @bytes need not
 * be MessagePack */
void platform_standin_put_bytes(struct platform_standin *standin,
				const char *key, const char *bytes,
				size_t size);

/** platform_standin_remove() - remove a key */
void platform_standin_remove(struct platform_standin *standin, const char *key);

/**
 * platform_standin_expire_leases() - expire all leases and remove their keys
 */
void platform_standin_expire_leases(struct platform_standin *standin);

/** platform_standin_set_era() - set the era, without a loss of data */
void platform_standin_set_era(struct platform_standin *standin,
			      unsigned int era);

/**
 * platform_standin_go_back() - come back from an older copy
 * @standin: the store
 * @ms: age of the copy, ms; it may be older by PLATFORM_COPY_INTERVAL_MS
 *
 * The era increases by one. Writes after the copy and all leases are lost,
 * revisions and numbers of leases are assigned again, and a watch from a
 * revision that the store no longer has gets status 410.
 */
void platform_standin_go_back(struct platform_standin *standin, uint64_t ms);

/**
 * platform_standin_take_leases() - grant another client the numbers of the
 * leases that the store lost when it last went back
 * @standin: the store
 */
void platform_standin_take_leases(struct platform_standin *standin);

/** platform_standin_foreign_renewals() - number of renewals of the leases of
 * another client that the instances attempted */
int platform_standin_foreign_renewals(struct platform_standin *standin);

/** platform_standin_calls() - number of calls so far */
uint64_t platform_standin_calls(struct platform_standin *standin);

/** platform_standin_set_fault() - set how calls are handled from now on */
void platform_standin_set_fault(struct platform_standin *standin,
				enum platform_fault fault);

#endif
