#include "unit/suites.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/feed_choice.h"
#include "chervilmast/item_log.h"
#include "chervilmast/suspect_list.h"

#define NOW_MS 100000
#define AGE_MAX_MS 2400
#define ALL_ITEMS 1000

static struct cm_item_log log_a, log_b;
static char recorded[256];

static void setup(void)
{
	cm_item_log_init(&log_a);
	cm_item_log_init(&log_b);
	recorded[0] = '\0';
}

static void teardown(void)
{
	cm_item_log_finish(&log_a);
	cm_item_log_finish(&log_b);
}

/* Appends an item to recorded: "a=1 " if it is put, "-b " if it is deleted. */
static void record_item(void *user, const struct cm_item *item)
{
	size_t used = strlen(recorded);

	(void)user;
	if (item->is_deleted)
		snprintf(recorded + used, sizeof(recorded) - used, "-%s ",
			 item->key);
	else
		snprintf(recorded + used, sizeof(recorded) - used, "%s=%s ",
			 item->key, item->value);
}

static void put(struct cm_item_log *log, const char *key, const char *value,
		uint64_t revision)
{
	cm_item_log_put(log, key, value, strlen(value), revision);
	cm_item_log_advance(log, revision);
}

UNIT_CASE("feed", "feed", setup, teardown, UNIT_TIMEOUT_S);

TEST(change_that_is_not_newer_is_ignored)
{
	ck_assert_ptr_nonnull(cm_item_log_put(&log_a, "a", "2", 1, 7));
	ck_assert_ptr_null(cm_item_log_put(&log_a, "a", "1", 1, 7));
	ck_assert_ptr_null(cm_item_log_put(&log_a, "a", "1", 1, 6));
	ck_assert_ptr_null(cm_item_log_remove(&log_a, "a", 6, NOW_MS));
	cm_item_log_read_changes_since(&log_a, 0, ALL_ITEMS, record_item, NULL);
	ck_assert_str_eq(recorded, "a=2 ");
}

TEST(changes_are_read_in_their_order)
{
	put(&log_a, "a", "1", 5);
	put(&log_a, "b", "1", 6);
	put(&log_a, "a", "2", 7);
	cm_item_log_remove(&log_a, "b", 8, NOW_MS);
	cm_item_log_read_changes_since(&log_a, 6, ALL_ITEMS, record_item, NULL);
	ck_assert_str_eq(recorded, "a=2 -b ");
}

/* An item that is missing from a snapshot was deleted, unless the item has a
 * later revision than the snapshot. */
TEST(entry_missing_from_snapshot_is_removed)
{
	put(&log_a, "a", "1", 5);
	put(&log_a, "b", "1", 6);
	put(&log_a, "later", "1", 12);
	cm_item_log_begin_snapshot(&log_a);
	put(&log_a, "b", "1", 6);
	put(&log_a, "c", "1", 9);
	cm_item_log_end_snapshot(&log_a, 10, NOW_MS, record_item, NULL);
	ck_assert_str_eq(recorded, "-a ");
	recorded[0] = '\0';
	cm_item_log_read_changes_since(&log_a, 0, ALL_ITEMS, record_item, NULL);
	ck_assert_str_eq(recorded, "b=1 c=1 later=1 ");
	ck_assert_uint_eq(log_a.revision, 12);
}

/* Once a tombstone was freed, the changes no longer contain the deletion. A
 * copy from before the deletion then has to get a snapshot. */
TEST(freed_tombstones_need_a_snapshot)
{
	cm_item_log_begin_snapshot(&log_a);
	put(&log_a, "a", "1", 5);
	put(&log_a, "b", "1", 6);
	cm_item_log_end_snapshot(&log_a, 6, NOW_MS, record_item, NULL);
	ck_assert(cm_item_log_has_changes_since(&log_a, 6));
	ck_assert(!cm_item_log_has_changes_since(&log_a, 5));
	ck_assert(!cm_item_log_has_changes_since(&log_a, 0));
	cm_item_log_remove(&log_a, "a", 8, NOW_MS);
	cm_item_log_free_tombstones(&log_a, NOW_MS);
	ck_assert(cm_item_log_has_changes_since(&log_a, 6));
	cm_item_log_free_tombstones(&log_a, NOW_MS + 1);
	ck_assert(!cm_item_log_has_changes_since(&log_a, 7));
	ck_assert(cm_item_log_has_changes_since(&log_a, 8));
}

/* A put of the value that the copy already has changes nothing here. Another
 * node may lack the changes before it, so the item is served with the new
 * revision. */
TEST(same_value_is_served_with_its_new_revision)
{
	put(&log_a, "a", "1", 5);
	put(&log_a, "b", "1", 6);
	ck_assert_ptr_null(cm_item_log_put(&log_a, "a", "1", 1, 9));
	cm_item_log_read_changes_since(&log_a, 6, ALL_ITEMS, record_item, NULL);
	ck_assert_str_eq(recorded, "a=1 ");
	cm_item_log_remove(&log_a, "a", 10, NOW_MS);
	ck_assert_ptr_nonnull(cm_item_log_put(&log_a, "a", "1", 1, 11));
}

/* Snapshot items arrive in any order and are served in order of revision. */
TEST(snapshot_is_read_in_order_of_revision)
{
	cm_item_log_begin_snapshot(&log_a);
	cm_item_log_put(&log_a, "x", "1", 1, 9);
	cm_item_log_put(&log_a, "y", "1", 1, 4);
	cm_item_log_put(&log_a, "z", "1", 1, 9);
	cm_item_log_put(&log_a, "w", "1", 1, 2);
	cm_item_log_end_snapshot(&log_a, 10, NOW_MS, record_item, NULL);
	cm_item_log_read_changes_since(&log_a, 0, ALL_ITEMS, record_item, NULL);
	ck_assert_str_eq(recorded, "w=1 y=1 x=1 z=1 ");
}

/* A part contains all items of a revision or none. The next part starts after
 * the last revision of this part, so the remaining items of a split revision
 * would be lost. */
TEST(parts_end_between_revisions)
{
	uint64_t after;

	put(&log_a, "a", "1", 3);
	put(&log_a, "b", "1", 5);
	cm_item_log_put(&log_a, "c", "1", 1, 5);
	cm_item_log_put(&log_a, "d", "1", 1, 5);
	put(&log_a, "e", "1", 7);
	after = cm_item_log_read_changes_since(&log_a, 0, 2, record_item, NULL);
	ck_assert_uint_eq(after, 5);
	ck_assert_str_eq(recorded, "a=1 b=1 c=1 d=1 ");
	recorded[0] = '\0';
	ck_assert_uint_eq(cm_item_log_read_changes_since(&log_a, after, 2,
							 record_item, NULL),
			  7);
	ck_assert_str_eq(recorded, "e=1 ");
}

TEST(kept_item_survives_a_snapshot_without_it)
{
	put(&log_a, "a", "1", 5);
	put(&log_a, "b", "1", 6);
	cm_item_log_begin_snapshot(&log_a);
	cm_item_log_keep(&log_a, "a");
	cm_item_log_end_snapshot(&log_a, 10, NOW_MS, record_item, NULL);
	ck_assert_str_eq(recorded, "-b ");
}

TEST(item_can_be_put_after_its_deletion)
{
	put(&log_a, "a", "1", 5);
	cm_item_log_remove(&log_a, "a", 6, NOW_MS);
	put(&log_a, "a", "2", 7);
	cm_item_log_read_changes_since(&log_a, 0, ALL_ITEMS, record_item, NULL);
	ck_assert_str_eq(recorded, "a=2 ");
}

/* What a node does next: send a request to a source, or receive an answer that
 * is usable, has an earlier revision than the node, has too old data, or comes
 * from a source that lost its connection to the registry. */
enum step { REQUEST, USABLE, BEHIND, TOO_OLD, LOST_REGISTRY };

static const struct {
	const char *name;
	/* The source becomes "b" although "a" is not skipped. */
	bool changes_source;
	struct {
		uint64_t at_ms;
		enum step step;
		const char *source;
		bool may_request;
	} steps[8];
} source_cases[] = {
	{ "a source that answers gets the next request",
	  false,
	  { { 0, REQUEST, "a", true },
	    { 10, USABLE, "a", true },
	    { 5000, REQUEST, "a", true },
	    { 5010, USABLE, "a", true },
	    { 10000, REQUEST, "a", true } } },
	{ "a silent source is skipped for 5 s, then gets requests again",
	  false,
	  { { 0, REQUEST, "a", true },
	    { 400, REQUEST, "a", true },
	    { 600, REQUEST, "a", false },
	    { 5599, REQUEST, "b", true },
	    { 5600, REQUEST, "a", true } } },
	{ "a source with an earlier revision is skipped like a silent one",
	  false,
	  { { 0, REQUEST, "a", true },
	    { 10, BEHIND, "a", true },
	    { 300, REQUEST, "a", true },
	    { 310, BEHIND, "a", true },
	    { 600, REQUEST, "a", false } } },
	{ "a source with too old data is skipped like a silent one",
	  false,
	  { { 0, REQUEST, "a", true },
	    { 10, TOO_OLD, "a", true },
	    { 200, REQUEST, "a", true },
	    { 210, TOO_OLD, "a", true },
	    { 600, REQUEST, "a", false },
	    { 610, REQUEST, "b", true } } },
	{ "a source that lost the registry is skipped at once",
	  false,
	  { { 0, REQUEST, "a", true },
	    { 10, LOST_REGISTRY, "a", true },
	    { 11, REQUEST, "b", true },
	    { 20, USABLE, "b", true },
	    { 5009, REQUEST, "b", true },
	    { 5010, REQUEST, "a", true } } },
	{ "the timeout starts again with another source",
	  true,
	  { { 0, REQUEST, "a", true },
	    { 500, REQUEST, "b", true },
	    { 1000, REQUEST, "b", true },
	    { 1100, REQUEST, "b", false } } },
};

static void answer(struct cm_feed_choice *feed, uint64_t now_ms, enum step step)
{
	static const uint64_t ages_ms[] = {
		[USABLE] = 100,
		[BEHIND] = 100,
		[TOO_OLD] = AGE_MAX_MS + 1,
		[LOST_REGISTRY] = CM_FEED_AGE_UNREACHABLE,
	};

	cm_feed_choice_record_answer(feed, now_ms, ages_ms[step],
				     step == BEHIND);
}

/* A skipped source gets no requests for CM_FEED_SKIP_MS; the next source gets
 * them instead. */
TEST_TABLE(source_is_chosen, source_cases)
{
	struct cm_feed_choice feed;

	cm_feed_choice_init(&feed, AGE_MAX_MS);
	for (int i = 0; i < 8 && source_cases[_i].steps[i].source; i++) {
		uint64_t now_ms = NOW_MS + source_cases[_i].steps[i].at_ms;
		enum step step = source_cases[_i].steps[i].step;
		const char *source = source_cases[_i].steps[i].source;

		if (step != REQUEST) {
			answer(&feed, now_ms, step);
			continue;
		}
		if (!strcmp(source, "b"))
			ck_assert(
				cm_feed_choice_is_skipped(&feed, "a", now_ms) ||
				source_cases[_i].changes_source);
		ck_assert_msg(
			cm_feed_choice_begin_request(&feed, source, now_ms) ==
				source_cases[_i].steps[i].may_request,
			"%s: step %d", source_cases[_i].name, i);
	}
}

TEST(only_the_silent_source_is_skipped)
{
	struct cm_feed_choice feed;

	cm_feed_choice_init(&feed, AGE_MAX_MS);
	cm_feed_choice_begin_request(&feed, "a", NOW_MS);
	cm_feed_choice_begin_request(&feed, "a", NOW_MS + CM_FEED_TIMEOUT_MS);
	ck_assert(cm_feed_choice_is_skipped(&feed, "a", NOW_MS + 1000));
	ck_assert(!cm_feed_choice_is_skipped(&feed, "b", NOW_MS + 1000));
	ck_assert(!cm_feed_choice_is_skipped(
		&feed, "a", NOW_MS + CM_FEED_TIMEOUT_MS + CM_FEED_SKIP_MS));
}

TEST(suspect_that_is_not_reported_again_expires)
{
	static struct cm_suspect_list list;
	uint32_t tokens[CM_SUSPECT_LIST_MAX];
	uint32_t many[CM_SUSPECT_LIST_MAX + 10];

	cm_suspect_list_add(&list, NOW_MS, (uint32_t[]){ 7, 8, 7 }, 3);
	ck_assert_uint_eq(cm_suspect_list_read(&list, NOW_MS, tokens), 2);
	cm_suspect_list_add(&list, NOW_MS + 1000, (uint32_t[]){ 8 }, 1);
	ck_assert_uint_eq(
		cm_suspect_list_read(&list, NOW_MS + CM_SUSPECT_TTL_MS, tokens),
		1);
	ck_assert_uint_eq(tokens[0], 8);
	for (uint32_t i = 0; i < CM_SUSPECT_LIST_MAX + 10; i++)
		many[i] = 100 + i;
	cm_suspect_list_add(&list, NOW_MS + 2000, many,
			    CM_SUSPECT_LIST_MAX + 10);
	ck_assert_uint_eq(cm_suspect_list_read(&list, NOW_MS + 2000, tokens),
			  CM_SUSPECT_LIST_MAX);
}
