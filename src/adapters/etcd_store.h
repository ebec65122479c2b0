/**
 * DOC: Store adapter for the etcd v3 JSON mapping
 *
 * Uses the published JSON mapping of etcd v3 (range, txn, deleterange, watch)
 * over HTTP. Only cm_etcd_store_interrupt() and cm_etcd_store_call_count() may
 * be called while another thread uses the store.
 */
#ifndef ADAPTERS_ETCD_STORE_H
#define ADAPTERS_ETCD_STORE_H

#include <stdint.h>

#include "http_client.h"
#include "ports/store.h"

/**
 * struct cm_etcd_store - a store reached over HTTP
 * @base: the interface declared in ports/store.h; must stay the first member
 * @http: client of its server
 * @timeout_ms: timeout of a request, ms
 */
struct cm_etcd_store {
	struct cm_store base;
	struct cm_http_client http;
	uint32_t timeout_ms;
};

/**
 * cm_etcd_store_init() - initialise a store
 * @store: memory owned by the calling function
 * @url: base URL, as in "http://127.0.0.1:2379"; copied
 * @timeout_ms: timeout of a request, ms; a watch has its own
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_etcd_store_init(struct cm_etcd_store *store, const char *url,
		       uint32_t timeout_ms);

/**
 * cm_etcd_store_interrupt() - abort the request in progress and all later ones
 * @store: the store
 *
 * They return CM_E_UNAVAILABLE at once. May be called by another thread.
 */
void cm_etcd_store_interrupt(struct cm_etcd_store *store);

/**
 * cm_etcd_store_call_count() - number of requests sent so far
 * @store: the store
 *
 * May be called by another thread.
 *
 * Return: the number; a watch counts as one request.
 */
uint64_t cm_etcd_store_call_count(const struct cm_etcd_store *store);

/**
 * cm_etcd_store_finish() - free what a store holds
 * @store: the store; the struct itself is not freed
 */
void cm_etcd_store_finish(struct cm_etcd_store *store);

#endif
