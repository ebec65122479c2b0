#include "fake/notes.h"

#include <stdlib.h>
#include <string.h>

#include "fake/deployment.h"

static uint64_t timer_now_ms(struct cm_timer *base)
{
	return ((struct fake_timer *)base)->at_ms;
}

static void timer_sleep_ms(struct cm_timer *base, uint32_t ms)
{
	((struct fake_timer *)base)->at_ms += ms;
}

void fake_timer_init(struct fake_timer *timer)
{
	timer->base.now_ms = timer_now_ms;
	timer->base.sleep_ms = timer_sleep_ms;
	timer->at_ms = 0;
}

void fake_note_init_servers(struct cm_note *note, uint32_t servers)
{
	const struct fake_deployment deployment = { .domains = 1,
						    .ledger_servers = servers,
						    .servers = servers };

	fake_deployment_note(&deployment, note);
	for (uint32_t i = 0; i < servers; i++)
		note->servers[i].spec.slots = 1;
}

/* Makes a note with one entry, for a server of fake_note_init_servers(). */
static struct cm_server_change *change_server(struct cm_note *note,
					      uint32_t server)
{
	const struct fake_deployment deployment = { .ledger_servers =
							    UINT32_MAX };
	struct cm_server_spec spec;

	cm_note_init(note);
	if (cm_note_reserve(note, 0, 0, 1))
		abort();
	fake_deployment_server(&deployment, server, &spec);
	memcpy(note->servers->spec.name, spec.name, CM_NAME_SIZE);
	return note->servers;
}

void fake_note_change_slots(struct cm_note *note, uint32_t server,
			    uint32_t slots)
{
	struct cm_server_change *change = change_server(note, server);

	change->change = CM_CHANGE_UPDATE;
	change->fields = CM_FIELD_SLOTS;
	change->spec.slots = slots;
}

void fake_note_withdraw(struct cm_note *note, uint32_t server)
{
	change_server(note, server)->change = CM_CHANGE_WITHDRAW;
}

void fake_note_set_id(struct cm_note *note, uint64_t number)
{
	memset(note->publication_id, 0, CM_PUBLICATION_ID_SIZE);
	for (size_t i = 0; i < sizeof(number); i++)
		note->publication_id[i] = (uint8_t)(number >> (8 * i));
}

void fake_publisher_init(struct fake_publisher *publisher,
			 struct fake_store_service *service)
{
	memset(publisher, 0, sizeof(*publisher));
	fake_store_init(&publisher->store, service);
	fake_timer_init(&publisher->timer);
	publisher->publication.store = &publisher->store.base;
	publisher->publication.prefix = FAKE_PREFIX;
	publisher->publication.timer = &publisher->timer.base;
}

int fake_publisher_publish(struct fake_publisher *publisher,
			   struct cm_note *note, uint64_t id)
{
	int error;

	fake_note_set_id(note, id);
	error = cm_publication_publish(&publisher->publication, note,
				       FAKE_PUBLISHED_S + id, NULL);
	publisher->version = note->version;
	cm_note_finish(note);
	return error;
}
