#include "unit/publication_store.h"

#include <stdlib.h>
#include <string.h>

#include "unit/suites.h"

struct fake_store_service service;
struct fake_publisher publisher;
struct fake_store *const store = &publisher.store;
struct cm_publication *const publication = &publisher.publication;
uint64_t ids_used;

void publication_setup(void)
{
	fake_store_service_init(&service);
	fake_publisher_init(&publisher, &service);
	ids_used = 0;
}

void publication_teardown(void)
{
	fake_store_service_finish(&service);
}

int publish_first(uint32_t servers)
{
	struct cm_note note;

	fake_note_init_servers(&note, servers);
	return fake_publisher_publish(&publisher, &note, ++ids_used);
}

int publish_change(uint32_t slots)
{
	struct cm_note note;

	fake_note_change_slots(&note, slots % SERVERS, 1 + slots % 1000);
	return fake_publisher_publish(&publisher, &note, ++ids_used);
}

void publish_up_to(uint64_t version)
{
	ASSERT_OK(publish_first(SERVERS));
	for (uint32_t i = 2; i <= version; i++)
		ASSERT_OK(publish_change(i));
}

void inject_faults(void (*before_call)(struct fake_store *store))
{
	store->calls = 0;
	store->before_call = before_call;
}

static void assert_same_set(const struct cm_candidate_set *a,
			    const struct cm_candidate_set *b)
{
	ck_assert_uint_eq(a->count, b->count);
	for (uint32_t i = 0; i < a->count; i++) {
		ck_assert_uint_eq(a->servers[i].hash, b->servers[i].hash);
		ck_assert_uint_eq(a->servers[i].slots, b->servers[i].slots);
	}
}

void assert_same_view(const struct cm_view *a, const struct cm_view *b)
{
	const struct cm_catalog *x = &a->catalog;
	const struct cm_catalog *y = &b->catalog;

	ck_assert_uint_eq(x->version, y->version);
	ck_assert_mem_eq(x->publication_id, y->publication_id,
			 CM_PUBLICATION_ID_SIZE);
	ck_assert_uint_eq(x->service_count, y->service_count);
	ck_assert_uint_eq(x->domain_count, y->domain_count);
	ck_assert_uint_eq(x->server_count, y->server_count);
	for (uint32_t i = 0; i < x->server_count; i++) {
		ck_assert_str_eq(x->servers[i].spec.name,
				 y->servers[i].spec.name);
		ck_assert_uint_eq(x->servers[i].spec.slots,
				  y->servers[i].spec.slots);
		ck_assert_int_eq(x->servers[i].spec.state,
				 y->servers[i].spec.state);
		ck_assert_uint_eq(x->servers[i].withdrawn_at_s,
				  y->servers[i].withdrawn_at_s);
		ck_assert_uint_eq(x->servers[i].hash, y->servers[i].hash);
	}
	for (uint32_t i = 0; i < x->service_count; i++) {
		const struct cm_history_service *s = &a->history.services[i];
		const struct cm_history_service *t = &b->history.services[i];

		ck_assert_uint_eq(s->count, t->count);
		for (uint32_t k = 0; k < s->count; k++)
			assert_same_set(&s->sets[k], &t->sets[k]);
	}
}

void put_value(const char *key, const char *text)
{
	fake_kv_put(&service.kv, key, text, strlen(text));
}
