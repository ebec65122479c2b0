/**
 * DOC: The users' store over HTTP
 *
 * Serves the calls of the platform's store that the registry uses, from memory,
 * with faults as switches.
 */
#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <pthread.h>

#include "fake/kv.h"
#include "standin/platform_fault.h"
#include "standin/platform_lease.h"

/**
 * struct platform_standin - the served store
 * @server: handle of the HTTP library
 * @lock: guards all below
 * @kv: the keys
 * @page_size: most items of an answer
 * @fault: what it does to calls
 * @leases: the leases
 * @stale_reads: reads that allowed stale answers
 * @stopping: ends waiting calls
 */
struct platform_standin {
	void *server;
	pthread_mutex_t lock;
	struct fake_kv kv;
	size_t page_size;
	enum platform_fault fault;
	struct platform_leases leases;
	int stale_reads;
	bool stopping;
};

/** platform_standin_start() - serve on a port of loopback; returns the port */
uint16_t platform_standin_start(struct platform_standin *standin,
				uint16_t port);

/** platform_standin_stop() - stop serving and forget all */
void platform_standin_stop(struct platform_standin *standin);

/** platform_standin_put() - write a key, as its owner would; @value is JSON
 * text */
void platform_standin_put(struct platform_standin *standin, const char *key,
			  const char *value);

/** platform_standin_remove() - remove a key */
void platform_standin_remove(struct platform_standin *standin, const char *key);

/** platform_standin_end_leases() - end all leases, and the keys with them */
void platform_standin_end_leases(struct platform_standin *standin);

/** platform_standin_set_fault() - what it does to calls from now on */
void platform_standin_set_fault(struct platform_standin *standin,
				enum platform_fault fault);

#endif
