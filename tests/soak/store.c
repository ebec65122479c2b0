#include "soak/store.h"

#include "soak/soak.h"

#define STORE_DOMAIN 0
#define CALL_MS 2
#define FAULT_SPAN_MS 12000
/* On average, one of this many calls of an operator has a fault of its own. */
#define CALL_FAULT_ONE_IN 8
/*
 * While writes of calls that timed out are pending, one of them takes effect
 * before one in this many calls of an operator, on average.
 */
#define LATE_WRITE_ONE_IN 3
/* Maximum delay from the time-out of a call to the end of a pending write. */
#define LATE_WRITE_MAX_MS 5000

/**
 * struct outage - a kind of store fault
 * @name: name of its event
 * @fault: fault of all calls
 * @call_ms: duration of a call, ms
 */
struct outage {
	const char *name;
	enum fake_fault fault;
	uint32_t call_ms;
};

static const struct outage outages[] = {
	{ "store-down", FAKE_FAULT_DOWN, CALL_MS },
	{ "store-silent", FAKE_FAULT_SLOW, CALL_MS },
	{ "store-slow", FAKE_FAULT_NONE, 300 },
};

void soak_store_init(struct soak_store *store)
{
	fake_store_service_init(&store->service);
	store->call_ms = CALL_MS;
}

static void handle_heal(struct soak *soak, struct soak_message *message)
{
	struct soak_store *store = &soak->store;

	if (store->fault_count != message->other)
		return;
	store->fault = FAKE_FAULT_NONE;
	store->call_ms = CALL_MS;
	soak_event(soak, "store-heal", store->fault_count, 0);
}

void soak_store_inject_fault(struct soak *soak)
{
	struct soak_store *store = &soak->store;
	const struct outage *outage = &outages[soak_random_below(
		soak, sizeof(outages) / sizeof(*outages))];
	uint32_t ms = 500 + soak_random_below(soak, FAULT_SPAN_MS);

	store->fault = outage->fault;
	store->call_ms = outage->call_ms;
	soak_event(soak, outage->name, ++store->fault_count, ms);
	soak_message_schedule(soak, handle_heal, 0, store->fault_count, ms);
}

enum fake_fault soak_store_fault_at(const struct soak *soak, uint32_t instance)
{
	uint32_t domain = instance % SOAK_DOMAINS;

	if (soak->cut[domain][STORE_DOMAIN] || soak->cut[STORE_DOMAIN][domain])
		return FAKE_FAULT_DOWN;
	return soak->store.fault;
}

static void handle_late_write(struct soak *soak, struct soak_message *message)
{
	(void)message;
	if (soak->store.service.late_count)
		fake_store_service_apply_late(&soak->store.service, 0);
}

static void maybe_execute_late_write(struct soak *soak)
{
	struct fake_store_service *service = &soak->store.service;

	if (service->late_count && !soak_random_below(soak, LATE_WRITE_ONE_IN))
		fake_store_service_apply_late(
			service,
			soak_random_below(soak, (uint32_t)service->late_count));
}

enum fake_fault soak_store_choose_call_fault(struct soak *soak)
{
	static const enum fake_fault faults[] = {
		FAKE_FAULT_LOST,
		FAKE_FAULT_LOST,
		FAKE_FAULT_SLOW,
		FAKE_FAULT_GARBAGE,
	};

	enum fake_fault fault = soak->store.fault;

	maybe_execute_late_write(soak);
	if (fault == FAKE_FAULT_NONE &&
	    !soak_random_below(soak, CALL_FAULT_ONE_IN))
		fault = faults[soak_random_below(
			soak, sizeof(faults) / sizeof(*faults))];
	if (fault == FAKE_FAULT_SLOW)
		soak_message_schedule(
			soak, handle_late_write, 0, 0,
			soak_random_below(soak, LATE_WRITE_MAX_MS));
	return fault;
}

void soak_store_execute_late_writes(struct soak *soak)
{
	while (soak->store.service.late_count)
		fake_store_service_apply_late(&soak->store.service, 0);
}
