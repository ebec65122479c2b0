#include "unit/suites.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/catalog.h"
#include "chervilmast/error.h"
#include "config/catalog_json.h"
#include "config/note_json.h"

#define NOTE(version, at_s, changes)                    \
	"{\"version\":" #version ",\"publication_id\":" \
	"\"00112233445566778899aabbccddeeff\","         \
	"\"published_at_s\":" #at_s "," changes "}"
#define ADD(kind, items) "\"" kind "\":{\"add\":[" items "]}"
#define WITHDRAW(kind, name) \
	"\"" kind "\":{\"withdraw\":[{\"name\":\"" name "\"}]}"
#define SERVER(name, service, domain, address)                            \
	"{\"name\":\"" name "\",\"service\":\"" service                   \
	"\",\"failure_domain\":\"" domain "\",\"address\":\"" address     \
	"\",\"port\":80,\"protocol\":\"tcp\",\"slots\":1,"                \
	"\"max_connections\":10,\"max_new_per_s\":10,\"cold_start_s\":1," \
	"\"state\":\"active\"}"
#define SERVICE(name, address)                          \
	"{\"name\":\"" name "\",\"address\":\"" address \
	"\",\"port\":80,\"protocol\":\"tcp\",\"idle_timeout_s\":60}"
#define SECOND(changes) NOTE(2, 1000, changes)
#define ADD_SERVER(name, service, domain, address) \
	ADD("backend_servers", SERVER(name, service, domain, address))
#define WITHDRAW_SERVER(name) WITHDRAW("backend_servers", name)

static const char first_note[] = NOTE(
	1, 1000,
	ADD("failure_domains", "{\"name\":\"a\",\"state\":\"in\"}") "," ADD(
		"services",
		SERVICE("s", "203.0.113.1") "," SERVICE(
			"t", "203.0.113.2")) "," ADD_SERVER("s1", "s", "a",
							    "192.0.2.1"));

static const char withdraw_all[] = SECOND(WITHDRAW_SERVER("s1") "," WITHDRAW(
	"services", "s") "," WITHDRAW("failure_domains", "a"));

/* Notes that are refused after first_note, and the error. */
static const struct {
	const char *text;
	int error;
} refused_notes[] = {
	{ NOTE(3, 1000, "\"services\":{}"), CM_E_STALE },
	{ NOTE(1, 1000, "\"services\":{}"), CM_E_STALE },
	{ SECOND(ADD_SERVER("t1", "t", "a", "192.0.2.1")), CM_E_ADDRESS_TAKEN },
	{ SECOND(ADD_SERVER("s2", "s", "a", "192.0.2.1")), CM_E_EXISTS },
	{ SECOND(ADD_SERVER("s2", "s", "b", "192.0.2.2")),
	  CM_E_UNKNOWN_DOMAIN },
	{ SECOND(ADD_SERVER("s2", "u", "a", "192.0.2.2")),
	  CM_E_UNKNOWN_SERVICE },
	{ SECOND(ADD_SERVER("s2", "s", "a", "203.0.113.2")),
	  CM_E_ADDRESS_TAKEN },
	{ SECOND(WITHDRAW_SERVER("s2")), CM_E_UNKNOWN_SERVER },
	{ SECOND(ADD("services", SERVICE("u", "203.0.113.1"))),
	  CM_E_ADDRESS_TAKEN },
	{ SECOND(WITHDRAW("services", "s")), CM_E_IN_USE },
	{ SECOND(WITHDRAW("failure_domains", "a")), CM_E_IN_USE },
};

/* Catalogs after the first, second and third note. */
static struct cm_catalog first, second, third;

static void read_note(struct cm_note *note, const char *text)
{
	struct cm_json_error error;

	cm_note_init(note);
	ASSERT_OK(cm_note_read_published(note, text, strlen(text), &error));
}

static int apply(struct cm_catalog *next, const struct cm_catalog *base,
		 const char *text)
{
	struct cm_note note;
	int error;

	read_note(&note, text);
	error = cm_catalog_apply(next, base, &note, NULL);
	cm_note_finish(&note);
	return error;
}

static void setup(void)
{
	struct cm_catalog empty;

	cm_catalog_init(&empty);
	cm_catalog_init(&second);
	cm_catalog_init(&third);
	ASSERT_OK(apply(&first, &empty, first_note));
}

static void teardown(void)
{
	cm_catalog_finish(&first);
	cm_catalog_finish(&second);
	cm_catalog_finish(&third);
}

UNIT_CASE("catalog", "notes", setup, teardown, UNIT_TIMEOUT_S);

TEST_TABLE(refused_note_leaves_the_catalog_unchanged, refused_notes)
{
	struct cm_catalog next;

	ck_assert_int_eq(apply(&next, &first, refused_notes[_i].text),
			 refused_notes[_i].error);
	ck_assert_uint_eq(first.version, 1);
	ck_assert_uint_eq(first.server_count, 1);
}

/*
 * Flows of a withdrawn backend server may still be open, so a backend server of
 * another service must not get its address during the retention.
 */
TEST(withdrawn_server_keeps_its_address)
{
	struct cm_catalog next;

	ASSERT_OK(apply(&second, &first, SECOND(WITHDRAW_SERVER("s1"))));
	ck_assert_uint_eq(second.server_count, 1);
	ck_assert(!cm_catalog_is_candidate(&second, 0));
	ck_assert_int_eq(
		apply(&next, &second,
		      NOTE(3, 1000, ADD_SERVER("t1", "t", "a", "192.0.2.1"))),
		CM_E_ADDRESS_TAKEN);
}

/*
 * Withdrawn entries stay in the catalog for CM_WITHDRAWN_RETENTION_S, because
 * open flows still need them. The first note after that removes them.
 */
TEST(withdrawn_entries_are_removed_after_retention)
{
	ASSERT_OK(apply(&second, &first, withdraw_all));
	ck_assert_uint_eq(second.service_count, 2);
	ck_assert_uint_eq(second.server_count, 1);
	ASSERT_OK(apply(
		&third, &second,
		NOTE(3, 87400, ADD("services", SERVICE("u", "203.0.113.1")))));
	ck_assert_uint_eq(third.service_count, 2);
	ck_assert_uint_eq(third.server_count, 0);
	ck_assert_uint_eq(third.domain_count, 0);
}

TEST(snapshot_keeps_withdrawn_entries)
{
	struct cm_snapshot_parts parts;
	struct cm_snapshot_reader reader;
	struct cm_history history;
	struct cm_json_error error;

	ASSERT_OK(apply(&second, &first, withdraw_all));
	cm_history_init(&history);
	ASSERT_OK(cm_catalog_write(&second, &history, &parts));
	ck_assert_uint_eq(parts.count, 1);
	cm_snapshot_reader_init(&reader);
	ASSERT_OK(cm_snapshot_reader_add(&reader, parts.items[0].text,
					 parts.items[0].size, &error));
	ASSERT_OK(cm_snapshot_reader_build(&reader, &third, &history));
	ck_assert_uint_eq(third.services[0].withdrawn_at_s, 1000);
	ck_assert_uint_eq(third.services[1].withdrawn_at_s, 0);
	ck_assert_uint_eq(third.servers[0].withdrawn_at_s, 1000);
	ck_assert_uint_eq(third.domains[0].withdrawn_at_s, 1000);
	cm_snapshot_reader_finish(&reader);
	cm_snapshot_parts_finish(&parts);
	cm_history_finish(&history);
}

TEST(published_note_is_read_back)
{
	struct cm_note note, again;
	char *text;

	read_note(&note, first_note);
	text = cm_note_write_published(&note);
	read_note(&again, text);
	ck_assert_uint_eq(again.version, note.version);
	ck_assert_mem_eq(again.servers, note.servers,
			 note.server_count * sizeof(*note.servers));
	cm_note_finish(&note);
	cm_note_finish(&again);
	free(text);
}
