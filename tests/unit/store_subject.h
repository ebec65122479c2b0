/**
 * DOC: Implementations of the store port under test
 *
 * The in-memory store, and the etcd adapter connected to a stand-in for etcd.
 */
#ifndef UNIT_STORE_SUBJECT_H
#define UNIT_STORE_SUBJECT_H

#include "adapters/etcd_store.h"
#include "fake/store.h"
#include "standin/store_service.h"

/** Timeout of calls that are expected to be answered, ms. */
#define STORE_TIMEOUT_MS 60000
/** Timeout of calls that wait for a change when none is expected, ms. */
#define STORE_WAIT_MS 100
/** Number of implementations in store_subjects. */
#define STORE_SUBJECTS 2

/**
 * struct store_subject - a running implementation of the store port
 * @store: the port
 * @kv: the stored keys; may be read only while no call is in progress
 * @service: key-value service of the in-memory store
 * @fake: the in-memory store
 * @standin: the stand-in for etcd
 * @etcd: the etcd adapter, a client of @standin
 */
struct store_subject {
	struct cm_store *store;
	struct fake_kv *kv;
	struct fake_store_service service;
	struct fake_store fake;
	struct standin_store standin;
	struct cm_etcd_store etcd;
};

/**
 * struct store_subject_class - operations on an implementation of the port
 * @name: name of the implementation
 * @start: start it
 * @stop: stop it
 * @set_fault: set the fault of the calls that follow
 */
struct store_subject_class {
	const char *name;
	void (*start)(struct store_subject *subject);
	void (*stop)(struct store_subject *subject);
	void (*set_fault)(struct store_subject *subject, enum fake_fault fault);
};

/** The implementations that each test of the contract runs on. */
extern const struct store_subject_class store_subjects[STORE_SUBJECTS];

/** store_subject_start_etcd() - start the stand-in and the etcd adapter */
void store_subject_start_etcd(struct store_subject *subject);

/** store_subject_stop_etcd() - stop the etcd adapter and the stand-in */
void store_subject_stop_etcd(struct store_subject *subject);

/** store_swap() - write @value to @key if the revision of @key is @revision;
 * returns the error of the store */
int store_swap(struct cm_store *store, const char *key, int64_t revision,
	       const char *value);

/** store_revision() - revision of @key; 0 if it does not exist */
int64_t store_revision(struct cm_store *store, const char *key);

#endif
