#include "unit/suites.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/roster.h"

#define NOW_MS 100000
#define PORT 9000

static struct cm_roster roster;

static void setup(void)
{
	cm_roster_init(&roster);
}

UNIT_CASE("feed", "roster", setup, NULL, UNIT_TIMEOUT_S);

static struct cm_peer_entry make_entry(const char *name, uint64_t rank)
{
	struct cm_peer_entry result = {
		.domain = "a",
		.control = { 0x7f000001, PORT, 6 },
		.rank = rank,
	};

	snprintf(result.name, sizeof(result.name), "%s", name);
	return result;
}

static void record_request(const char *name, uint64_t now_ms)
{
	const struct cm_peer_entry peer = make_entry(name, 0);

	cm_roster_record_request(&roster, now_ms, &peer);
}

/* Return: the members and their ranks, as in "x1 y2 ". */
static const char *format_members(void)
{
	static struct cm_peer_entry entries[CM_ROSTER_MAX];
	static char text[256];
	uint32_t count = cm_roster_read(&roster, entries);
	size_t used = 0;

	text[0] = '\0';
	for (uint32_t i = 0; i < count; i++)
		used += (size_t)snprintf(text + used, sizeof(text) - used,
					 "%s%llu ", entries[i].name,
					 (unsigned long long)entries[i].rank);
	return text;
}

/* The registry returns the members that the roster has. */
static void load_members(uint64_t now_ms)
{
	static struct cm_peer_entry entries[CM_ROSTER_MAX];
	struct cm_domain_members stored = { .domain = "a", .entries = entries };

	stored.count = cm_roster_read(&roster, entries);
	cm_roster_load(&roster, now_ms, &stored);
}

TEST(node_that_sends_requests_is_a_member)
{
	record_request("x", NOW_MS);
	record_request("y", NOW_MS + 10);
	record_request("x", NOW_MS + 20);
	ck_assert_str_eq(format_members(), "x0 y1 ");
	ck_assert(cm_roster_write_is_due(&roster, NOW_MS + 20));
	load_members(NOW_MS + 30);
	ck_assert(!cm_roster_write_is_due(&roster, NOW_MS + 5000));
	ck_assert(cm_roster_is_first(&roster, "x"));
	ck_assert(!cm_roster_is_first(&roster, "y"));
}

TEST(node_without_requests_is_removed)
{
	record_request("x", NOW_MS);
	record_request("y", NOW_MS + 1000);
	load_members(NOW_MS + 1000);
	cm_roster_expire(&roster, NOW_MS + CM_ROSTER_TIMEOUT_MS - 1);
	ck_assert_str_eq(format_members(), "x0 y1 ");
	cm_roster_expire(&roster, NOW_MS + CM_ROSTER_TIMEOUT_MS);
	ck_assert_str_eq(format_members(), "y1 ");
	ck_assert(
		cm_roster_write_is_due(&roster, NOW_MS + CM_ROSTER_TIMEOUT_MS));
}

TEST(member_that_is_kept_does_not_expire)
{
	const struct cm_peer_entry known = make_entry("x", 7);
	const struct cm_peer_entry other = make_entry("z", 5);

	record_request("x", NOW_MS);
	load_members(NOW_MS);
	cm_roster_keep(&roster, NOW_MS + 1000, &known);
	cm_roster_keep(&roster, NOW_MS + 1000, &other);
	cm_roster_expire(&roster, NOW_MS + CM_ROSTER_TIMEOUT_MS);
	ck_assert_str_eq(format_members(), "x0 z5 ");
	ck_assert(cm_roster_write_is_due(&roster, NOW_MS));
	record_request("y", NOW_MS + 2000);
	ck_assert_str_eq(format_members(), "x0 z5 y6 ");
	cm_roster_expire(&roster, NOW_MS + 1000 + CM_ROSTER_TIMEOUT_MS);
	ck_assert_str_eq(format_members(), "y6 ");
}

/* A restarted node must not become the first member again, since the other
 * members now send their requests to the new first member. */
TEST(returning_member_ranks_last)
{
	record_request("x", NOW_MS);
	record_request("y", NOW_MS + 1000);
	cm_roster_expire(&roster, NOW_MS + CM_ROSTER_TIMEOUT_MS);
	record_request("x", NOW_MS + CM_ROSTER_TIMEOUT_MS + 10);
	ck_assert_str_eq(format_members(), "y1 x2 ");
}

/* Members that the registry has keep their ranks, and a new member ranks after
 * them. */
TEST(stored_members_keep_their_ranks)
{
	const struct cm_peer_entry entries[] = { make_entry("b", 5),
						 make_entry("a", 4) };
	const struct cm_domain_members stored = { "a", entries, 2 };

	record_request("x", NOW_MS);
	cm_roster_load(&roster, NOW_MS, &stored);
	record_request("y", NOW_MS);
	ck_assert_str_eq(format_members(), "x6 b5 a4 y7 ");
	ck_assert(cm_roster_is_first(&roster, "a"));
	cm_roster_expire(&roster, NOW_MS + CM_ROSTER_TIMEOUT_MS);
	ck_assert_str_eq(format_members(), "");
}

TEST(deleted_entry_is_rewritten_at_once)
{
	record_request("x", NOW_MS);
	load_members(NOW_MS);
	cm_roster_load(&roster, NOW_MS, NULL);
	ck_assert(cm_roster_write_is_due(&roster, NOW_MS));
	ck_assert(!cm_roster_is_first(&roster, "x"));
}

TEST(changed_address_is_written)
{
	struct cm_peer_entry moved = make_entry("x", 0);

	record_request("x", NOW_MS);
	load_members(NOW_MS);
	moved.control.port = PORT + 1;
	cm_roster_record_request(&roster, NOW_MS, &moved);
	ck_assert(cm_roster_write_is_due(&roster, NOW_MS));
	load_members(NOW_MS);
	ck_assert(!cm_roster_write_is_due(&roster, NOW_MS));
}

TEST(writes_are_spaced)
{
	record_request("x", NOW_MS);
	roster.written_ms = NOW_MS;
	ck_assert(!cm_roster_write_is_due(
		&roster, NOW_MS + CM_ROSTER_WRITE_INTERVAL_MS - 1));
	ck_assert(cm_roster_write_is_due(&roster,
					 NOW_MS + CM_ROSTER_WRITE_INTERVAL_MS));
}

TEST(members_are_bounded)
{
	char name[16];

	for (int i = 0; i < CM_ROSTER_MAX + 1; i++) {
		snprintf(name, sizeof(name), "n-%d", i);
		record_request(name, NOW_MS);
	}
	ck_assert_uint_eq(roster.count, CM_ROSTER_MAX);
}
