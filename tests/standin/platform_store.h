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

/** platform_standin_remove() - remove a key */
void platform_standin_remove(struct platform_standin *standin, const char *key);

/**
 * platform_standin_expire_leases() - expire all leases and remove their keys
 */
void platform_standin_expire_leases(struct platform_standin *standin);

/** platform_standin_set_fault() - set how calls are handled from now on */
void platform_standin_set_fault(struct platform_standin *standin,
				enum platform_fault fault);

#endif
