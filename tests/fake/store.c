#include "fake/store.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

void fake_store_service_init(struct fake_store_service *service)
{
	memset(service, 0, sizeof(*service));
	fake_kv_init(&service->kv);
}

static char *copy_bytes(const char *bytes, size_t size)
{
	char *copy = malloc(size + 1);

	if (!copy)
		abort();
	memcpy(copy, bytes, size);
	copy[size] = '\0';
	return copy;
}

static void transaction_finish(struct fake_transaction *transaction)
{
	for (size_t i = 0; i < transaction->count; i++) {
		free((char *)transaction->puts[i].key);
		free((char *)transaction->puts[i].value);
	}
	free(transaction->puts);
	free(transaction->key);
}

void fake_store_service_finish(struct fake_store_service *service)
{
	for (size_t i = 0; i < service->late_count; i++)
		transaction_finish(&service->late[i]);
	fake_kv_finish(&service->kv);
}

static int apply_transaction(struct fake_store_service *service,
			     const char *key, int64_t revision,
			     const struct cm_store_put *puts, size_t count)
{
	const struct fake_kv_item *item = fake_kv_find(&service->kv, key);

	if ((item ? item->modified : 0) != revision)
		return CM_E_CONFLICT;
	service->kv.revision++;
	for (size_t i = 0; i < count; i++)
		fake_kv_put(&service->kv, puts[i].key, puts[i].value,
			    puts[i].size);
	return CM_OK;
}

void fake_store_service_apply_late(struct fake_store_service *service,
				   size_t index)
{
	struct fake_transaction transaction = service->late[index];

	service->late[index] = service->late[--service->late_count];
	apply_transaction(service, transaction.key, transaction.revision,
			  transaction.puts, transaction.count);
	transaction_finish(&transaction);
}

static void defer_transaction(struct fake_store_service *service,
			      const char *key, int64_t revision,
			      const struct cm_store_put *puts, size_t count)
{
	struct fake_transaction *transaction =
		&service->late[service->late_count];

	if (service->late_count == FAKE_LATE_MAX)
		return;
	service->late_count++;
	transaction->key = strdup(key);
	transaction->revision = revision;
	transaction->count = count;
	transaction->puts = calloc(count, sizeof(*transaction->puts));
	for (size_t i = 0; i < count; i++) {
		transaction->puts[i].key = strdup(puts[i].key);
		transaction->puts[i].value =
			copy_bytes(puts[i].value, puts[i].size);
		transaction->puts[i].size = puts[i].size;
	}
}

/* Result that the client gets for a call that the service has executed. */
static int answer_error(const struct fake_store *store)
{
	switch (store->fault) {
	case FAKE_FAULT_GARBAGE:
		return CM_E_PROTOCOL;
	case FAKE_FAULT_OVERSIZE:
		return CM_E_TOO_LARGE;
	case FAKE_FAULT_COMPACTED:
		return CM_E_COMPACTED;
	default:
		return CM_OK;
	}
}

/* Counts a call; returns the error when it does not reach the service. */
static int call_error(struct fake_store *store)
{
	store->calls++;
	if (store->before_call)
		store->before_call(store);
	if (store->fault == FAKE_FAULT_DOWN)
		return CM_E_UNAVAILABLE;
	return store->fault == FAKE_FAULT_SLOW ? CM_E_TIMEOUT : CM_OK;
}

static int store_range(struct cm_store *base, const char *first,
		       const char *end, struct cm_store_items *items)
{
	struct fake_store *store = (struct fake_store *)base;
	struct fake_kv_item *item;
	int error = call_error(store);

	cm_store_items_init(items);
	if (!error)
		error = answer_error(store);
	if (error)
		return error;
	items->revision = store->service->kv.revision;
	TAILQ_FOREACH (item, &store->service->kv.items, link) {
		struct cm_store_item *to;

		if (!fake_kv_in_range(item->key, first, end))
			continue;
		items->items =
			realloc(items->items, (items->count + 1) * sizeof(*to));
		to = &items->items[items->count++];
		to->key = strdup(item->key);
		to->value = copy_bytes(item->value, item->size);
		to->size = item->size;
		to->revision = item->modified;
	}
	return CM_OK;
}

static size_t request_size(const struct cm_store_put *puts, size_t count)
{
	size_t size = 0;

	for (size_t i = 0; i < count; i++)
		size += puts[i].size;
	return size;
}

static int store_swap(struct cm_store *base, const char *key, int64_t revision,
		      const struct cm_store_put *puts, size_t count)
{
	struct fake_store *store = (struct fake_store *)base;
	int error = call_error(store);
	int outcome;

	if (request_size(puts, count) > FAKE_REQUEST_BYTES_MAX)
		return CM_E_TOO_LARGE;
	if (error == CM_E_TIMEOUT)
		defer_transaction(store->service, key, revision, puts, count);
	if (error)
		return error;
	outcome = apply_transaction(store->service, key, revision, puts, count);
	if (store->fault == FAKE_FAULT_LOST)
		return CM_E_UNAVAILABLE;
	error = answer_error(store);
	return error ? error : outcome;
}

static int store_erase(struct cm_store *base, const char *first,
		       const char *end)
{
	struct fake_store *store = (struct fake_store *)base;
	int error = call_error(store);

	if (error)
		return error;
	fake_kv_erase(&store->service->kv, first, end);
	if (store->fault == FAKE_FAULT_LOST)
		return CM_E_UNAVAILABLE;
	return answer_error(store);
}

static int store_wait(struct cm_store *base, const char *first, const char *end,
		      int64_t revision, uint32_t timeout_ms)
{
	struct fake_store *store = (struct fake_store *)base;
	int error = call_error(store);

	(void)timeout_ms;
	if (!error)
		error = answer_error(store);
	if (error)
		return error;
	return fake_kv_changed(&store->service->kv, first, end, revision) ?
		       CM_OK :
		       CM_E_TIMEOUT;
}

static const struct cm_store_ops fake_store_ops = {
	.range = store_range,
	.swap = store_swap,
	.erase = store_erase,
	.wait = store_wait,
};

void fake_store_init(struct fake_store *store,
		     struct fake_store_service *service)
{
	memset(store, 0, sizeof(*store));
	store->base.ops = &fake_store_ops;
	store->service = service;
}
