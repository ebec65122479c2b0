#include "unit/suites.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"
#include "unit/store_subject.h"

#define URL_SIZE 64

enum operation {
	OPERATION_RANGE,
	OPERATION_SWAP,
	OPERATION_ERASE,
	OPERATION_WAIT,
};

/**
 * enum effect - effect of a call on the stored keys
 * @EFFECT_NONE: the keys are unchanged
 * @EFFECT_DONE: the write took effect
 * @EFFECT_UNKNOWN: unknown, as the write may still be carried out
 */
enum effect {
	EFFECT_NONE,
	EFFECT_DONE,
	EFFECT_UNKNOWN,
};

/**
 * struct fault_case - a call with a fault, its error and its effect
 */
struct fault_case {
	enum operation operation;
	enum fake_fault fault;
	int error;
	enum effect effect;
};

static const struct fault_case fault_cases[] = {
	{ OPERATION_RANGE, FAKE_FAULT_DOWN, CM_E_UNAVAILABLE, EFFECT_NONE },
	{ OPERATION_RANGE, FAKE_FAULT_SLOW, CM_E_TIMEOUT, EFFECT_NONE },
	{ OPERATION_RANGE, FAKE_FAULT_LOST, CM_OK, EFFECT_NONE },
	{ OPERATION_RANGE, FAKE_FAULT_GARBAGE, CM_E_PROTOCOL, EFFECT_NONE },
	{ OPERATION_RANGE, FAKE_FAULT_OVERSIZE, CM_E_TOO_LARGE, EFFECT_NONE },
	{ OPERATION_RANGE, FAKE_FAULT_COMPACTED, CM_E_COMPACTED, EFFECT_NONE },
	{ OPERATION_SWAP, FAKE_FAULT_DOWN, CM_E_UNAVAILABLE, EFFECT_NONE },
	{ OPERATION_SWAP, FAKE_FAULT_SLOW, CM_E_TIMEOUT, EFFECT_UNKNOWN },
	{ OPERATION_SWAP, FAKE_FAULT_LOST, CM_E_UNAVAILABLE, EFFECT_DONE },
	{ OPERATION_SWAP, FAKE_FAULT_GARBAGE, CM_E_PROTOCOL, EFFECT_DONE },
	{ OPERATION_SWAP, FAKE_FAULT_OVERSIZE, CM_E_TOO_LARGE, EFFECT_DONE },
	{ OPERATION_ERASE, FAKE_FAULT_DOWN, CM_E_UNAVAILABLE, EFFECT_NONE },
	{ OPERATION_ERASE, FAKE_FAULT_LOST, CM_E_UNAVAILABLE, EFFECT_DONE },
	{ OPERATION_WAIT, FAKE_FAULT_DOWN, CM_E_UNAVAILABLE, EFFECT_NONE },
	{ OPERATION_WAIT, FAKE_FAULT_SLOW, CM_E_TIMEOUT, EFFECT_NONE },
	{ OPERATION_WAIT, FAKE_FAULT_GARBAGE, CM_E_PROTOCOL, EFFECT_NONE },
	{ OPERATION_WAIT, FAKE_FAULT_COMPACTED, CM_E_COMPACTED, EFFECT_NONE },
};

#define FAULT_CASES ((int)(sizeof(fault_cases) / sizeof(*fault_cases)))

static int run_operation(struct cm_store *store, enum operation operation,
			 int64_t revision, uint32_t wait_ms)
{
	struct cm_store_items items;
	int error;

	switch (operation) {
	case OPERATION_RANGE:
		error = store->ops->range(store, "a", "b", &items);
		if (!error)
			cm_store_items_finish(&items);
		return error;
	case OPERATION_SWAP:
		return store_swap(store, "a", revision, "2");
	case OPERATION_ERASE:
		return store->ops->erase(store, "a", "b");
	default:
		return store->ops->wait(store, "a", "b", revision + 1, wait_ms);
	}
}

UNIT_CASE("store", "contract", NULL, NULL, 0);

static bool write_took_effect(const struct store_subject *subject,
			      enum operation operation)
{
	struct fake_kv_item *item = fake_kv_find(subject->kv, "a");

	if (operation == OPERATION_ERASE)
		return !item;
	return item && !strcmp(item->value, "2");
}

TEST_LOOP(failed_call_returns_its_error, 0, STORE_SUBJECTS *FAULT_CASES)
{
	const struct store_subject_class *class =
		&store_subjects[_i / FAULT_CASES];
	const struct fault_case *fault = &fault_cases[_i % FAULT_CASES];
	struct store_subject subject;
	int64_t revision;

	class->start(&subject);
	ck_assert_int_eq(store_swap(subject.store, "a", 0, "1"), CM_OK);
	revision = store_revision(subject.store, "a");
	class->set_fault(&subject, fault->fault);
	ck_assert_int_eq(
		run_operation(subject.store, fault->operation, revision,
			      fault->error == CM_E_TIMEOUT ? STORE_WAIT_MS :
							     STORE_TIMEOUT_MS),
		fault->error);
	if (fault->effect != EFFECT_UNKNOWN)
		ck_assert_int_eq(write_took_effect(&subject, fault->operation),
				 fault->effect == EFFECT_DONE);
	class->set_fault(&subject, FAKE_FAULT_NONE);
	class->stop(&subject);
}

TEST_LOOP(range_reads_in_order, 0, STORE_SUBJECTS)
{
	const struct store_subject_class *class = &store_subjects[_i];
	struct cm_store_items items;
	struct store_subject subject;

	class->start(&subject);
	ck_assert_int_eq(store_swap(subject.store, "a/2", 0, "two"), CM_OK);
	ck_assert_int_eq(store_swap(subject.store, "a/1", 0, ""), CM_OK);
	ck_assert_int_eq(store_swap(subject.store, "a0", 0, "outside"), CM_OK);
	ck_assert_int_eq(
		subject.store->ops->range(subject.store, "a/", "a0", &items),
		CM_OK);
	ck_assert_uint_eq(items.count, 2);
	ck_assert_str_eq(items.items[0].key, "a/1");
	ck_assert_uint_eq(items.items[0].size, 0);
	ck_assert_str_eq(items.items[1].value, "two");
	ck_assert_int_lt(items.items[1].revision, items.items[0].revision);
	ck_assert_int_gt(items.revision, items.items[0].revision);
	cm_store_items_finish(&items);
	class->stop(&subject);
}

TEST_LOOP(missing_key_is_no_error, 0, STORE_SUBJECTS)
{
	const struct store_subject_class *class = &store_subjects[_i];
	struct cm_store_items items;
	struct store_subject subject;

	class->start(&subject);
	ck_assert_int_eq(
		subject.store->ops->range(subject.store, "a", NULL, &items),
		CM_OK);
	ck_assert_uint_eq(items.count, 0);
	cm_store_items_finish(&items);
	class->stop(&subject);
}

TEST_LOOP(swap_compares_and_writes_all, 0, STORE_SUBJECTS)
{
	const struct store_subject_class *class = &store_subjects[_i];
	struct cm_store_put puts[2] = { { "a", "2", 1 }, { "n", "note", 4 } };
	struct store_subject subject;
	int64_t revision;

	class->start(&subject);
	ck_assert_int_eq(store_swap(subject.store, "a", 0, "1"), CM_OK);
	revision = store_revision(subject.store, "a");
	ck_assert_int_eq(
		subject.store->ops->swap(subject.store, "a", 0, puts, 2),
		CM_E_CONFLICT);
	ck_assert_ptr_null(fake_kv_find(subject.kv, "n"));
	ck_assert_int_eq(
		subject.store->ops->swap(subject.store, "a", revision, puts, 2),
		CM_OK);
	ck_assert_int_eq(store_revision(subject.store, "n"),
			 store_revision(subject.store, "a"));
	class->stop(&subject);
}

TEST_LOOP(wait_sees_a_change, 0, STORE_SUBJECTS)
{
	const struct store_subject_class *class = &store_subjects[_i];
	struct cm_store *store;
	struct store_subject subject;
	int64_t revision;

	class->start(&subject);
	store = subject.store;
	ck_assert_int_eq(store_swap(store, "a", 0, "1"), CM_OK);
	revision = store_revision(store, "a");
	ck_assert_int_eq(
		store->ops->wait(store, "a", "b", revision, STORE_WAIT_MS),
		CM_OK);
	ck_assert_int_eq(
		store->ops->wait(store, "a", "b", revision + 1, STORE_WAIT_MS),
		CM_E_TIMEOUT);
	class->stop(&subject);
}

TEST_LOOP(erase_removes_a_range, 0, STORE_SUBJECTS)
{
	const struct store_subject_class *class = &store_subjects[_i];
	struct cm_store *store;
	struct store_subject subject;

	class->start(&subject);
	store = subject.store;
	ck_assert_int_eq(store_swap(store, "n/1", 0, "1"), CM_OK);
	ck_assert_int_eq(store_swap(store, "n/2", 0, "2"), CM_OK);
	ck_assert_int_eq(store->ops->erase(store, "n/1", "n/2"), CM_OK);
	ck_assert_int_eq(store_revision(store, "n/1"), 0);
	ck_assert_int_gt(store_revision(store, "n/2"), 0);
	class->stop(&subject);
}

TEST_LOOP(wait_sees_an_erasure, 0, STORE_SUBJECTS)
{
	const struct store_subject_class *class = &store_subjects[_i];
	struct cm_store *store;
	struct store_subject subject;
	int64_t revision;

	class->start(&subject);
	store = subject.store;
	ck_assert_int_eq(store_swap(store, "a", 0, "1"), CM_OK);
	revision = store_revision(store, "a");
	ck_assert_int_eq(store->ops->erase(store, "a", "b"), CM_OK);
	ck_assert_int_eq(
		store->ops->wait(store, "a", "b", revision + 1, STORE_WAIT_MS),
		CM_OK);
	ck_assert_int_eq(
		store->ops->wait(store, "a", "b", revision + 2, STORE_WAIT_MS),
		CM_E_TIMEOUT);
	class->stop(&subject);
}

/* An empty object is valid JSON, but not a valid response to any request. */
TEST(answer_without_header_is_refused)
{
	struct cm_store *store;
	struct store_subject subject;

	store_subject_start_etcd(&subject);
	store = subject.store;
	ck_assert_int_eq(store_swap(store, "a", 0, "1"), CM_OK);
	subject.standin.answer = STANDIN_ANSWER_EMPTY;
	for (int i = OPERATION_RANGE; i <= OPERATION_WAIT; i++)
		ck_assert_int_eq(run_operation(store, (enum operation)i, 2,
					       STORE_TIMEOUT_MS),
				 CM_E_PROTOCOL);
	subject.standin.answer = STANDIN_ANSWER_RESULT;
	store_subject_stop_etcd(&subject);
}

TEST(refused_connection_is_unavailable)
{
	struct cm_etcd_store store;
	int port;
	char url[URL_SIZE];
	struct standin_store standin;

	standin_store_init(&standin);
	port = standin_store_start(&standin, 0);
	standin_store_stop(&standin);
	standin_store_finish(&standin);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d", port);
	ck_assert_int_eq(cm_etcd_store_init(&store, url, STORE_TIMEOUT_MS),
			 CM_OK);
	for (int i = OPERATION_RANGE; i <= OPERATION_WAIT; i++)
		ck_assert_int_eq(run_operation(&store.base, (enum operation)i,
					       0, STORE_TIMEOUT_MS),
				 CM_E_UNAVAILABLE);
	cm_etcd_store_finish(&store);
}
