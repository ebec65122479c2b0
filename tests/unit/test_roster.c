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

static struct cm_peer_entry entry(const char *name, uint64_t rank)
{
	struct cm_peer_entry made = {
		.domain = "a",
		.control = { 0x7f000001, PORT, 6 },
		.rank = rank,
	};

	snprintf(made.name, sizeof(made.name), "%s", name);
	return made;
}

static void see(const char *name, uint64_t now_ms)
{
	const struct cm_peer_entry seen = entry(name, 0);

	cm_roster_record_request(&roster, now_ms, &seen);
}

/* Return: the members and their ranks, as in "x1 y2 ". */
static const char *members(void)
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
static void store(uint64_t now_ms)
{
	static struct cm_peer_entry entries[CM_ROSTER_MAX];
	struct cm_domain_members stored = { .domain = "a", .entries = entries };

	stored.count = cm_roster_read(&roster, entries);
	cm_roster_load(&roster, now_ms, &stored);
}

TEST(who_asks_is_a_member)
{
	see("x", NOW_MS);
	see("y", NOW_MS + 10);
	see("x", NOW_MS + 20);
	ck_assert_str_eq(members(), "x0 y1 ");
	ck_assert(cm_roster_write_is_due(&roster, NOW_MS + 20));
	store(NOW_MS + 30);
	ck_assert(!cm_roster_write_is_due(&roster, NOW_MS + 5000));
	ck_assert(cm_roster_is_first(&roster, "x"));
	ck_assert(!cm_roster_is_first(&roster, "y"));
}

TEST(who_no_longer_asks_has_left)
{
	see("x", NOW_MS);
	see("y", NOW_MS + 1000);
	store(NOW_MS + 1000);
	cm_roster_expire(&roster, NOW_MS + CM_ROSTER_TIMEOUT_MS - 1);
	ck_assert_str_eq(members(), "x0 y1 ");
	cm_roster_expire(&roster, NOW_MS + CM_ROSTER_TIMEOUT_MS);
	ck_assert_str_eq(members(), "y1 ");
	ck_assert(
		cm_roster_write_is_due(&roster, NOW_MS + CM_ROSTER_TIMEOUT_MS));
}

/* A restarted node must not displace the first member, which the others ask. */
TEST(member_that_comes_back_late_is_the_last)
{
	see("x", NOW_MS);
	see("y", NOW_MS + 1000);
	cm_roster_expire(&roster, NOW_MS + CM_ROSTER_TIMEOUT_MS);
	see("x", NOW_MS + CM_ROSTER_TIMEOUT_MS + 10);
	ck_assert_str_eq(members(), "y1 x2 ");
}

/* Members of the registry keep their ranks, and a new member ranks after them.
 */
TEST(stored_members_are_taken_over)
{
	const struct cm_peer_entry entries[] = { entry("b", 5), entry("a", 4) };
	const struct cm_domain_members stored = { "a", entries, 2 };

	see("x", NOW_MS);
	cm_roster_load(&roster, NOW_MS, &stored);
	see("y", NOW_MS);
	ck_assert_str_eq(members(), "x6 b5 a4 y7 ");
	ck_assert(cm_roster_is_first(&roster, "a"));
	cm_roster_expire(&roster, NOW_MS + CM_ROSTER_TIMEOUT_MS);
	ck_assert_str_eq(members(), "");
}

TEST(entry_that_went_is_due_at_once)
{
	see("x", NOW_MS);
	store(NOW_MS);
	cm_roster_load(&roster, NOW_MS, NULL);
	ck_assert(cm_roster_write_is_due(&roster, NOW_MS));
	ck_assert(!cm_roster_is_first(&roster, "x"));
}

TEST(changed_address_is_written)
{
	struct cm_peer_entry moved = entry("x", 0);

	see("x", NOW_MS);
	store(NOW_MS);
	moved.control.port = PORT + 1;
	cm_roster_record_request(&roster, NOW_MS, &moved);
	ck_assert(cm_roster_write_is_due(&roster, NOW_MS));
	store(NOW_MS);
	ck_assert(!cm_roster_write_is_due(&roster, NOW_MS));
}

TEST(writes_are_spaced)
{
	see("x", NOW_MS);
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
		see(name, NOW_MS);
	}
	ck_assert_uint_eq(roster.count, CM_ROSTER_MAX);
}
