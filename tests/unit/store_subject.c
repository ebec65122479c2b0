#include "unit/store_subject.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"

#define URL_SIZE 64
/* Timeout of calls that must time out, ms; well below SLOW_ANSWER_MS. */
#define SHORT_TIMEOUT_MS 300
/* Delay of the stand-in's answers under FAKE_FAULT_SLOW, ms. */
#define SLOW_ANSWER_MS 2000

static void fake_start(struct store_subject *subject)
{
	fake_store_service_init(&subject->service);
	fake_store_init(&subject->fake, &subject->service);
	subject->store = &subject->fake.base;
	subject->kv = &subject->service.kv;
}

static void fake_stop(struct store_subject *subject)
{
	fake_store_service_finish(&subject->service);
}

static void fake_set_fault(struct store_subject *subject, enum fake_fault fault)
{
	subject->fake.fault = fault;
}

void store_subject_start_etcd(struct store_subject *subject)
{
	char url[URL_SIZE];
	int port;

	standin_store_init(&subject->standin);
	port = standin_store_start(&subject->standin, 0);
	ck_assert_int_gt(port, 0);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d", port);
	ck_assert_int_eq(
		cm_etcd_store_init(&subject->etcd, url, STORE_TIMEOUT_MS),
		CM_OK);
	subject->store = &subject->etcd.base;
	subject->kv = &subject->standin.kv;
}

void store_subject_stop_etcd(struct store_subject *subject)
{
	cm_etcd_store_finish(&subject->etcd);
	standin_store_stop(&subject->standin);
	standin_store_finish(&subject->standin);
}

static void etcd_set_fault(struct store_subject *subject, enum fake_fault fault)
{
	static const enum standin_answer answers[] = {
		[FAKE_FAULT_GARBAGE] = STANDIN_ANSWER_GARBAGE,
		[FAKE_FAULT_OVERSIZE] = STANDIN_ANSWER_OVERSIZE,
		[FAKE_FAULT_COMPACTED] = STANDIN_ANSWER_COMPACTED,
	};
	struct standin_store *standin = &subject->standin;

	pthread_mutex_lock(&standin->lock);
	standin->down = fault == FAKE_FAULT_DOWN;
	standin->slow_ms = fault == FAKE_FAULT_SLOW ? SLOW_ANSWER_MS : 0;
	standin->lose_answers = fault == FAKE_FAULT_LOST;
	standin->answer = fault >= FAKE_FAULT_GARBAGE ? answers[fault] :
							STANDIN_ANSWER_RESULT;
	pthread_mutex_unlock(&standin->lock);
	subject->etcd.timeout_ms =
		standin->slow_ms ? SHORT_TIMEOUT_MS : STORE_TIMEOUT_MS;
}

const struct store_subject_class store_subjects[STORE_SUBJECTS] = {
	{ "fake", fake_start, fake_stop, fake_set_fault },
	{ "etcd", store_subject_start_etcd, store_subject_stop_etcd,
	  etcd_set_fault },
};

int store_swap(struct cm_store *store, const char *key, int64_t revision,
	       const char *value)
{
	struct cm_store_put put = { key, value, strlen(value) };

	return store->ops->swap(store, key, revision, &put, 1);
}

int64_t store_revision(struct cm_store *store, const char *key)
{
	struct cm_store_items items;
	int64_t revision;

	ck_assert_int_eq(store->ops->range(store, key, NULL, &items), CM_OK);
	revision = items.count ? items.items[0].revision : 0;
	cm_store_items_finish(&items);
	return revision;
}
