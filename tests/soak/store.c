#include "soak/store.h"

#include "soak/soak.h"

#define HOME_DOMAIN 0
#define CALL_MS 2
#define FAULT_MS 12000
/* On average one of so many calls of an operator has a fault of its own. */
#define CALL_FAULT_ONE_IN 8
#define LATE_ONE_IN 3
#define LATE_MS 5000

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
	fake_service_init(&store->service);
	store->call_ms = CALL_MS;
}

static void handle_heal(struct soak *soak, struct soak_message *message)
{
	struct soak_store *store = &soak->store;

	if (store->faults != message->other)
		return;
	store->fault = FAKE_FAULT_NONE;
	store->call_ms = CALL_MS;
	soak_event(soak, "store-heal", store->faults, 0);
}

void soak_store_fail(struct soak *soak)
{
	struct soak_store *store = &soak->store;
	const struct outage *outage =
		&outages[soak_draw(soak, sizeof(outages) / sizeof(*outages))];
	uint32_t ms = 500 + soak_draw(soak, FAULT_MS);

	store->fault = outage->fault;
	store->call_ms = outage->call_ms;
	soak_event(soak, outage->name, ++store->faults, ms);
	soak_message_later(soak, handle_heal, 0, store->faults, ms);
}

enum fake_fault soak_store_fault_at(const struct soak *soak, uint32_t instance)
{
	uint32_t domain = instance % SOAK_DOMAINS;

	if (soak->cut[domain][HOME_DOMAIN] || soak->cut[HOME_DOMAIN][domain])
		return FAKE_FAULT_DOWN;
	return soak->store.fault;
}

static void handle_late(struct soak *soak, struct soak_message *message)
{
	(void)message;
	if (soak->store.service.late_count)
		fake_service_carry_out(&soak->store.service, 0);
}

static void carry_out_late(struct soak *soak)
{
	struct fake_service *service = &soak->store.service;

	if (service->late_count && !soak_draw(soak, LATE_ONE_IN))
		fake_service_carry_out(
			service,
			soak_draw(soak, (uint32_t)service->late_count));
}

enum fake_fault soak_store_draw_call(struct soak *soak)
{
	static const enum fake_fault faults[] = {
		FAKE_FAULT_LOST,
		FAKE_FAULT_LOST,
		FAKE_FAULT_SLOW,
		FAKE_FAULT_GARBAGE,
	};

	enum fake_fault fault = soak->store.fault;

	carry_out_late(soak);
	if (fault == FAKE_FAULT_NONE && !soak_draw(soak, CALL_FAULT_ONE_IN))
		fault = faults[soak_draw(soak,
					 sizeof(faults) / sizeof(*faults))];
	if (fault == FAKE_FAULT_SLOW)
		soak_message_later(soak, handle_late, 0, 0,
				   soak_draw(soak, LATE_MS));
	return fault;
}

void soak_store_settle(struct soak *soak)
{
	while (soak->store.service.late_count)
		fake_service_carry_out(&soak->store.service, 0);
}
