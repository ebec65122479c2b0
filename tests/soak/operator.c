#include "soak/operator.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "config/publication.h"
#include "fake/follower.h"
#include "fake/notes.h"
#include "fake/deployment.h"
#include "soak/soak.h"

#define EPOCH_S 1000000
#define MS_PER_S 1000
#define BITS_PER_BYTE 8
/* Minimum number of active servers per service. */
#define ACTIVE_MIN 3
/* Maximum store calls of a publication before the concurrent one starts. */
#define CONCURRENT_AFTER_CALL_MAX 3
/* Number of digits of a server's number at the end of its name. */
#define NUMBER_DIGITS 5

/**
 * struct publisher - an operator who publishes a note
 * @soak: the run
 * @store: client of the store
 * @timer: clock of the publication
 * @note: the note
 * @attempt: record of the publication
 * @concurrent: operator who publishes during this publication; NULL if none, or
 *              after that publication
 * @concurrent_after_call: number of calls to the store after which @concurrent
 *                         publishes
 * @had_fault: a call to the store had a fault, or a write of an earlier call
 *             that timed out was pending at the start
 */
struct publisher {
	struct soak *soak;
	struct fake_store store;
	struct fake_timer timer;
	struct cm_note note;
	struct soak_attempt *attempt;
	struct publisher *concurrent;
	uint32_t concurrent_after_call;
	bool had_fault;
};

static void publisher_init(struct publisher *publisher, struct soak *soak)
{
	memset(publisher, 0, sizeof(*publisher));
	publisher->soak = soak;
	fake_store_init(&publisher->store, &soak->store.service);
	fake_timer_init(&publisher->timer);
	cm_note_init(&publisher->note);
	publisher->had_fault = soak->store.service.late_count > 0;
}

static void publisher_publish(struct publisher *publisher)
{
	struct soak *soak = publisher->soak;
	struct soak_operators *operators = &soak->operators;
	const struct cm_publication publication = {
		.store = &publisher->store.base,
		.prefix = FAKE_PREFIX,
		.timer = &publisher->timer.base,
	};
	struct soak_attempt *attempt =
		&operators->attempts[operators->attempt_count++];
	uint32_t id = operators->attempt_count;

	publisher->attempt = attempt;
	fake_note_set_id(&publisher->note, id);
	attempt->outcome = cm_publication_publish(
		&publication, &publisher->note,
		EPOCH_S + soak_now_ms(soak) / MS_PER_S, NULL);
	attempt->version = publisher->note.version;
	soak_event(soak,
		   attempt->outcome ? cm_error_name(attempt->outcome) :
				      "accepted",
		   id, attempt->version);
	cm_note_finish(&publisher->note);
}

static void before_call(struct fake_store *store)
{
	struct publisher *publisher = store->user;
	struct publisher *concurrent = publisher->concurrent;

	if (concurrent && store->calls > publisher->concurrent_after_call) {
		publisher->concurrent = NULL;
		publisher_publish(concurrent);
		publisher->had_fault |= concurrent->had_fault;
	}
	store->fault = soak_store_choose_call_fault(publisher->soak);
	publisher->had_fault |= store->fault != FAKE_FAULT_NONE;
}

static void publisher_enable_faults(struct publisher *publisher)
{
	publisher->store.before_call = before_call;
	publisher->store.user = publisher;
}

void soak_publish(struct soak *soak, struct cm_note *note)
{
	struct publisher publisher;

	publisher_init(&publisher, soak);
	publisher.note = *note;
	publisher_publish(&publisher);
}

static bool can_leave(const struct soak *soak, uint32_t server)
{
	const struct cm_server_spec *servers = soak->operators.servers;
	uint32_t active = 0;

	for (uint32_t i = 0; i < SOAK_SERVERS; i++)
		if ((i < SOAK_LEDGER_SERVERS) ==
			    (server < SOAK_LEDGER_SERVERS) &&
		    servers[i].state == CM_SERVER_ACTIVE)
			active++;
	return active > ACTIVE_MIN;
}

static void reserve(struct cm_note *note, size_t domains, size_t servers)
{
	if (cm_note_reserve(note, domains, 0, servers))
		abort();
}

static bool has_room(const struct soak *soak)
{
	return soak->operators.attempt_count + 2 < SOAK_NOTES_MAX;
}

/* Returns false when the randomly chosen server must stay active. */
static bool draft_server_change(struct soak *soak, struct cm_note *note)
{
	uint32_t server = soak_random_below(soak, SOAK_SERVERS);
	const struct cm_server_spec *spec = &soak->operators.servers[server];
	struct cm_server_change *line;

	if (!has_room(soak) ||
	    (spec->state == CM_SERVER_ACTIVE && !can_leave(soak, server)))
		return false;
	reserve(note, 0, 1);
	line = note->servers;
	line->spec = *spec;
	line->change = CM_CHANGE_UPDATE;
	line->fields = CM_FIELD_STATE;
	line->spec.state = spec->state == CM_SERVER_ACTIVE ?
				   CM_SERVER_DRAINING :
				   CM_SERVER_ACTIVE;
	if (spec->state == CM_SERVER_WITHDRAWN) {
		line->change = CM_CHANGE_ADD;
		line->fields = UINT32_MAX;
	} else if (soak_random_below(soak, 2)) {
		line->change = CM_CHANGE_WITHDRAW;
	}
	return true;
}

void soak_change_server(struct soak *soak)
{
	struct publisher publisher;

	publisher_init(&publisher, soak);
	publisher_enable_faults(&publisher);
	if (draft_server_change(soak, &publisher.note))
		publisher_publish(&publisher);
}

void soak_change_domain(struct soak *soak)
{
	const char *out = soak->world.domain_out;
	const char *name =
		fake_deployment_domain(soak_random_below(soak, SOAK_DOMAINS));
	struct publisher publisher;
	struct cm_domain_change *line;

	if (!has_room(soak))
		return;
	publisher_init(&publisher, soak);
	publisher_enable_faults(&publisher);
	reserve(&publisher.note, 1, 0);
	line = publisher.note.domains;
	line->change = CM_CHANGE_UPDATE;
	line->spec.state = out[0] ? CM_DOMAIN_IN : CM_DOMAIN_OUT;
	snprintf(line->spec.name, CM_NAME_SIZE, "%s", out[0] ? out : name);
	publisher_publish(&publisher);
}

/*
 * The second publication ran between two store calls of the first one. Without
 * faults, it must succeed and the first one must report a conflict.
 */
static void check_race(const struct publisher *first,
		       const struct publisher *second)
{
	if (first->had_fault || second->had_fault)
		return;
	if (second->attempt->outcome != CM_OK ||
	    first->attempt->outcome != CM_E_CONFLICT)
		soak_violation(first->soak, "race",
			       (uint64_t)-first->attempt->outcome,
			       (uint64_t)-second->attempt->outcome);
}

void soak_publish_concurrently(struct soak *soak)
{
	struct publisher first, second;

	publisher_init(&first, soak);
	publisher_init(&second, soak);
	publisher_enable_faults(&first);
	publisher_enable_faults(&second);
	if (!draft_server_change(soak, &first.note))
		return;
	if (!draft_server_change(soak, &second.note)) {
		cm_note_finish(&first.note);
		return;
	}
	first.concurrent = &second;
	first.concurrent_after_call =
		1 + soak_random_below(soak, CONCURRENT_AFTER_CALL_MAX);
	soak_event(soak, "race", first.concurrent_after_call, 0);
	publisher_publish(&first);
	if (first.concurrent)
		publisher_publish(&second);
	else
		check_race(&first, &second);
}

static void apply_server_change(struct soak *soak, uint64_t version,
				const struct cm_server_change *line)
{
	const char *name = line->spec.name;
	uint32_t number = (uint32_t)strtoul(name + strlen(name) - NUMBER_DIGITS,
					    NULL, 10);
	struct cm_server_spec *spec = &soak->operators.servers[number];
	struct fake_host *host = &soak->world.hosts[number];
	bool was_active = spec->state == CM_SERVER_ACTIVE;

	spec->state = line->change == CM_CHANGE_WITHDRAW ? CM_SERVER_WITHDRAWN :
							   line->spec.state;
	soak_event(soak, "server", number, spec->state);
	if (spec->state == CM_SERVER_ACTIVE) {
		host->leaving_from_ms = 0;
		if (!was_active || line->change == CM_CHANGE_ADD)
			fake_load_begin_cold_start(&host->load,
						   soak_now_ms(soak), true);
	} else if (was_active) {
		host->leaving_from_ms =
			soak_now_ms(soak) + SOAK_NOTE_EFFECT_MAX_MS;
		soak->operators.leaving_version[number] = version;
	}
}

static void apply_domain_change(struct soak *soak, uint64_t version,
				const struct cm_domain_change *line)
{
	struct fake_world *world = &soak->world;
	bool out = line->spec.state == CM_DOMAIN_OUT;
	uint64_t until_ms = soak_now_ms(soak) + SOAK_NOTE_EFFECT_MAX_MS;

	if (line->change == CM_CHANGE_ADD)
		return;
	soak_event(soak, out ? "domain-out" : "domain-in", version, 0);
	snprintf(world->domain_out, CM_NAME_SIZE, "%s",
		 out ? line->spec.name : "");
	world->domain_out_grace_end_ms = until_ms;
	soak->domain_in_deadline_ms = out ? 0 : until_ms;
	soak->operators.domain_version = version;
	for (uint32_t i = 0; i < SOAK_SERVERS; i++) {
		struct fake_host *host = &world->hosts[i];

		if (!cm_name_equal(host->domain, line->spec.name))
			continue;
		if (out)
			fake_host_mark_server_lost(host);
		else
			fake_load_begin_cold_start(&host->load,
						   soak_now_ms(soak), true);
	}
}

static void check_attempt(struct soak *soak, uint64_t id, uint64_t version)
{
	struct soak_attempt *attempt = &soak->operators.attempts[id - 1];

	if (attempt->seen++)
		soak_violation(soak, "accepted-twice", id, version);
	if (attempt->outcome != CM_OK &&
	    attempt->outcome != CM_E_OUTCOME_UNKNOWN)
		soak_violation(soak, "accepted-after-failure", id, version);
	if (attempt->outcome == CM_OK && attempt->version != version)
		soak_violation(soak, "accepted-elsewhere", id, version);
}

uint64_t soak_publication_number(const uint8_t *id)
{
	uint64_t number = 0;

	for (size_t i = 0; i < sizeof(number); i++)
		number |= (uint64_t)id[i] << (BITS_PER_BYTE * i);
	return number;
}

static int record_accepted_note(void *user, const struct cm_note *note,
				const char *text, size_t size)
{
	struct soak *soak = user;
	struct soak_operators *operators = &soak->operators;
	uint64_t id = soak_publication_number(note->publication_id);

	(void)text;
	(void)size;
	check_attempt(soak, id, note->version);
	operators->head = note->version;
	operators->publication_ids[note->version] = id;
	for (size_t i = 0; i < note->domain_count; i++)
		apply_domain_change(soak, note->version, &note->domains[i]);
	for (size_t i = 0; i < note->server_count; i++)
		apply_server_change(soak, note->version, &note->servers[i]);
	return CM_OK;
}

void soak_operators_read_notes(struct soak *soak)
{
	const struct cm_publication_sink sink = {
		.note = record_accepted_note,
		.user = soak,
	};
	struct soak_operators *operators = &soak->operators;
	struct cm_publication_head head;
	struct fake_store store;
	struct cm_publication publication = {
		.store = &store.base,
		.prefix = FAKE_PREFIX,
	};

	if (soak->store.service.kv.revision == operators->revision)
		return;
	operators->revision = soak->store.service.kv.revision;
	fake_store_init(&store, &soak->store.service);
	if (cm_publication_read_after(&publication, operators->head, &sink,
				      &head) ||
	    head.version != operators->head)
		soak_violation(soak, "unreadable", head.version,
			       operators->head);
}

static void extend_deadline(uint64_t *until_ms, uint64_t now_ms)
{
	if (*until_ms < now_ms + SOAK_IN_FORCE_MAX_MS)
		*until_ms = now_ms + SOAK_IN_FORCE_MAX_MS;
}

void soak_operators_extend_deadlines(struct soak *soak, uint64_t version)
{
	const struct soak_operators *operators = &soak->operators;
	uint64_t now_ms = soak_now_ms(soak);

	for (uint32_t i = 0; i < SOAK_SERVERS; i++)
		if (soak->world.hosts[i].leaving_from_ms &&
		    operators->leaving_version[i] > version)
			extend_deadline(&soak->world.hosts[i].leaving_from_ms,
					now_ms);
	if (operators->domain_version <= version)
		return;
	if (soak->world.domain_out[0])
		extend_deadline(&soak->world.domain_out_grace_end_ms, now_ms);
	else
		extend_deadline(&soak->domain_in_deadline_ms, now_ms);
}

void soak_operators_check(struct soak *soak)
{
	const struct soak_operators *operators = &soak->operators;

	soak_store_execute_late_writes(soak);
	soak_operators_read_notes(soak);
	for (uint32_t i = 0; i < operators->attempt_count; i++)
		if (operators->attempts[i].outcome == CM_OK &&
		    !operators->attempts[i].seen)
			soak_violation(soak, "accepted-lost", i + 1,
				       operators->attempts[i].version);
}
