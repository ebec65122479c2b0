#include "unit/suites.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"
#include "platform/registry.h"
#include "standin/platform_store.h"
#include "unit/feed_instances.h"

#define TIMEOUT_MS 3000
#define WAIT_MS 20
#define URL_SIZE 64
#define OWN_KEY "servers/i-1"
#define LONG_KEY \
	"servers/aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaz"
#define OTHER_KEY "servers/i-2"
#define OWN_ID 1
#define OTHER_ID 2
/** Depth and size of a nested value. */
#define NESTED_SIZE 2000

#define FIELDS_BUT_STATE                                                   \
	"\"service\":\"ledger\",\"address\":\"10.128.0.9:8080\",\"zone\":" \
	"\"a\",\"version\":\"v1\",\"slots\":3,\"cold-left-ms\":0,"         \
	"\"sequence\":4,\"born\":1700000000000"
#define ENTRY(more) "{\"state\":\"ready\"," FIELDS_BUT_STATE more "}"
#define DRAINING "{\"state\":\"draining\"," FIELDS_BUT_STATE "}"
#define LONG \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

static struct platform_standin standin;
static struct platform_registry registry;

static void setup(void)
{
	char url[URL_SIZE];
	uint16_t port = platform_standin_start(&standin, 0);

	ck_assert_uint_ne(port, 0);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u", port);
	ASSERT_OK(platform_registry_init(&registry, url, TIMEOUT_MS));
	feed_instances_setup();
}

static void teardown(void)
{
	feed_instances_teardown();
	registry.base.ops->finish(&registry.base);
	platform_standin_stop(&standin);
}

UNIT_CASE("odd_entries", "entries of another writer", setup, teardown,
	  UNIT_TIMEOUT_S);

static void read_all(struct feed_instance *instance)
{
	const struct cm_registry_sink sink =
		cm_feed_sink(&instance->feed, true);

	cm_feed_begin_read(&instance->feed, false);
	ASSERT_OK(registry.base.ops->read(&registry.base, false, &sink));
	cm_feed_registry_answered(&instance->feed, NOW_MS);
}

/* Passes the changes to the source, and from there to the follower. */
static void pass_changes(void)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, false);

	ASSERT_OK(registry.base.ops->wait(&registry.base,
					  cm_feed_revision(&source.feed),
					  WAIT_MS, &sink));
	fetch_all(&source, SOURCE_INCARNATION);
}

static void put_entry(const char *key, const char *value)
{
	platform_standin_put(&standin, key, value);
}

static bool is_usable_at(const struct feed_instance *instance, uint64_t id)
{
	const struct cm_steer_server *server =
		cm_steer_servers_find_by_id(&instance->steer.servers, id);

	return server && server->listing == CM_LISTED &&
	       !server->entry.is_draining;
}

static void assert_usable(uint64_t id, bool is_usable)
{
	ck_assert_int_eq(is_usable_at(&source, id), is_usable);
	ck_assert_int_eq(is_usable_at(&follower, id), is_usable);
}

/**
 * struct odd_value - a value that names no server
 * @text: JSON text; NULL for @bytes
 * @bytes: the value as it is stored
 * @size: size of @bytes
 */
struct odd_value {
	const char *text;
	const char *bytes;
	size_t size;
};

#define RAW(literal)                               \
	{                                          \
		NULL, literal, sizeof(literal) - 1 \
	}

static const struct odd_value odd_values[] = {
	{ "{}", NULL, 0 },
	{ "[]", NULL, 0 },
	{ "7", NULL, 0 },
	{ "null", NULL, 0 },
	{ "{" FIELDS_BUT_STATE "}", NULL, 0 },
	{ ENTRY(",\"state\":\"gone\""), NULL, 0 },
	{ ENTRY(",\"state\":\"" LONG "\""), NULL, 0 },
	{ ENTRY(",\"service\":[\"ledger\"]"), NULL, 0 },
	{ ENTRY(",\"service\":\"\""), NULL, 0 },
	{ ENTRY(",\"zone\":5"), NULL, 0 },
	{ ENTRY(",\"address\":\"10.128.0.9:65536\""), NULL, 0 },
	{ ENTRY(",\"address\":\"10.128.0.9:99999999999999999999\""), NULL, 0 },
	{ ENTRY(",\"address\":\"10.128.0.9:-1\""), NULL, 0 },
	{ ENTRY(",\"address\":\"10.128.0.9:0\""), NULL, 0 },
	{ ENTRY(",\"address\":\"10.128.0.999:80\""), NULL, 0 },
	{ ENTRY(",\"address\":\"" LONG ":80\""), NULL, 0 },
	{ ENTRY(",\"address\":{\"port\":80}"), NULL, 0 },
	{ ENTRY(",\"slots\":-1"), NULL, 0 },
	{ ENTRY(",\"slots\":0"), NULL, 0 },
	{ ENTRY(",\"slots\":9223372036854775807"), NULL, 0 },
	{ ENTRY(",\"slots\":1e300"), NULL, 0 },
	{ ENTRY(",\"cold-left-ms\":9223372036854775807"), NULL, 0 },
	{ ENTRY(",\"cold-left-ms\":\"5\""), NULL, 0 },
	{ ENTRY(",\"born\":\"yesterday\""), NULL, 0 },
	{ ENTRY(",\"born\":1.5"), NULL, 0 },
	{ ENTRY(",\"born\":-1"), NULL, 0 },
	{ ENTRY(",\"version\":1"), NULL, 0 },
	{ ENTRY(",\"version\":null"), NULL, 0 },
	{ ENTRY(",\"sequence\":\"4\""), NULL, 0 },
	{ ENTRY(",\"sequence\":4.5"), NULL, 0 },
	{ ENTRY(",\"sequence\":-4"), NULL, 0 },
	{ ENTRY(",\"sequence\":[[[[4]]]]"), NULL, 0 },
	RAW(""),
	RAW("\xc1"),
	RAW("\x80\x80"),
	RAW("\xdd\xff\xff\xff\xff"),
	RAW("\xdf\x0f\xff\xff\xff\xa1z"),
	RAW("\xc9\xff\xff\xff\xff\x01"),
	RAW("\x81\x01\x02"),
	RAW("{\"service\":\"ledger\"}"),
};

static void put_odd_value(const char *key, const struct odd_value *value)
{
	if (value->text)
		put_entry(key, value->text);
	else
		platform_standin_put_bytes(&standin, key, value->bytes,
					   value->size);
}

/* An odd entry names no server; the others hold, also at an instance that reads
 * the registry after its start. */
TEST_TABLE(odd_entry_names_no_server, odd_values)
{
	put_entry(OWN_KEY, ENTRY(""));
	read_all(&source);
	put_odd_value(OTHER_KEY, &odd_values[_i]);
	pass_changes();
	assert_usable(OWN_ID, true);
	assert_usable(OTHER_ID, false);
	read_all(&other);
	ck_assert(is_usable_at(&other, OWN_ID));
	ck_assert(!is_usable_at(&other, OTHER_ID));
}

/* Guards against a living server that is lost, or never drains, as another
 * writer left an odd entry under its id. */
TEST_TABLE(own_entry_counts_after_an_odd_one, odd_values)
{
	put_entry(OWN_KEY, ENTRY(""));
	put_entry(OTHER_KEY, ENTRY(""));
	read_all(&source);
	put_odd_value(OWN_KEY, &odd_values[_i]);
	pass_changes();
	assert_usable(OWN_ID, false);
	assert_usable(OTHER_ID, true);
	put_entry(OWN_KEY, ENTRY(",\"sequence\":5"));
	pass_changes();
	assert_usable(OWN_ID, true);
	put_odd_value(OWN_KEY, &odd_values[_i]);
	put_entry(OWN_KEY, DRAINING);
	pass_changes();
	assert_usable(OWN_ID, false);
	ck_assert(cm_steer_servers_find_by_id(&follower.steer.servers, OWN_ID)
			  ->entry.is_draining);
	read_all(&other);
	ck_assert(!is_usable_at(&other, OWN_ID));
	ck_assert(is_usable_at(&other, OTHER_ID));
}

/* Entries of another writer that are well formed. */
static const char *const false_entries[] = {
	ENTRY(",\"born\":1800000000000"),
	ENTRY(",\"born\":1600000000000"),
	ENTRY(",\"born\":9223372036854775807"),
	ENTRY(",\"born\":1800000000000,\"service\":\"none\""),
	ENTRY(",\"service\":\"none\""),
	ENTRY(",\"born\":1800000000000,\"address\":\"10.128.0.10:80\""),
};

/* Guards against a server whose entries, draining too, are ignored for good as
 * another writer stated a later start under its id. */
TEST_TABLE(own_entry_counts_after_a_false_one, false_entries)
{
	const struct cm_steer_server *server;

	put_entry(OWN_KEY, ENTRY(""));
	read_all(&source);
	put_entry(OWN_KEY, false_entries[_i]);
	pass_changes();
	put_entry(OWN_KEY, ENTRY(",\"sequence\":5"));
	pass_changes();
	assert_usable(OWN_ID, true);
	server = cm_steer_servers_find_by_id(&follower.steer.servers, OWN_ID);
	ck_assert_uint_eq(server->entry.started_ms, 1700000000000);
	ck_assert_str_eq(server->entry.service, "ledger");
	put_entry(OWN_KEY, false_entries[_i]);
	pass_changes();
	put_entry(OWN_KEY, DRAINING);
	pass_changes();
	assert_usable(OWN_ID, false);
}

/* A value that is nested more deeply than any parser's stack. */
TEST(nested_entry_names_no_server)
{
	static char nested[NESTED_SIZE];
	const struct odd_value arrays = { NULL, nested, NESTED_SIZE };

	memset(nested, 0x91, NESTED_SIZE);
	put_entry(OWN_KEY, ENTRY(""));
	put_odd_value(OTHER_KEY, &arrays);
	read_all(&source);
	fetch_all(&source, SOURCE_INCARNATION);
	assert_usable(OWN_ID, true);
	assert_usable(OTHER_ID, false);
	memset(nested, 0x81, NESTED_SIZE);
	put_odd_value(OWN_KEY, &arrays);
	put_entry(OTHER_KEY, ENTRY(""));
	pass_changes();
	assert_usable(OWN_ID, false);
	assert_usable(OTHER_ID, true);
}

/* Keys that another writer left among those of the servers. */
static const char *const odd_keys[] = {
	"servers/",	 "servers/x",	   "servers/i-",
	"servers/i-1/2", "servers/i-1 ",   "servers/11112222333344445",
	LONG_KEY,	 "servers/i-\x01", "servers/\xff\xfe",
};

TEST_TABLE(odd_key_names_no_server, odd_keys)
{
	put_entry(OWN_KEY, ENTRY(""));
	put_entry(odd_keys[_i], ENTRY(""));
	read_all(&source);
	put_entry(odd_keys[_i], ENTRY(",\"sequence\":5"));
	put_entry(OTHER_KEY, ENTRY(""));
	pass_changes();
	assert_usable(OWN_ID, true);
	assert_usable(OTHER_ID, true);
	ck_assert_uint_eq(source.steer.servers.count, 2);
	ck_assert_uint_eq(follower.steer.servers.count, 2);
}
