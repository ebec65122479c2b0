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

/* Appends the item to the text, as in "a=1 -b ". */
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

TEST(older_change_is_refused)
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

/* An item that a snapshot lacks was deleted, unless its revision is later than
 * that of the snapshot. */
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

/* Once a tombstone was swept, a copy from before the deletion would never learn
 * of it from the changes alone, and has to get a snapshot. */
TEST(swept_tombstones_need_a_snapshot)
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

/* A put with the value that the copy already has is no change here, but another
 * node may have missed a change in between, so it is served as a change. */
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

/* The items of a snapshot arrive in any order and are served by revision. */
TEST(snapshot_is_read_by_revision)
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

/* A part never splits a revision: the next part continues after a revision, so
 * the rest of a split one would be lost. */
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

/* Steps of a node: it asks a source, or gets an answer that is usable, of an
 * earlier revision, too old, or of a source that lost the registry. */
enum step { ASK, GOOD, BEHIND, OLD, LOST };

static const struct {
	const char *name;
	/* "b" is asked although "a" is not skipped. */
	bool changes_source;
	struct {
		uint64_t at_ms;
		enum step step;
		const char *source;
		bool may_ask;
	} steps[8];
} source_cases[] = {
	{ "a source that answers is asked again",
	  false,
	  { { 0, ASK, "a", true },
	    { 10, GOOD, "a", true },
	    { 5000, ASK, "a", true },
	    { 5010, GOOD, "a", true },
	    { 10000, ASK, "a", true } } },
	{ "a silent source is skipped for 5 s, then asked again",
	  false,
	  { { 0, ASK, "a", true },
	    { 400, ASK, "a", true },
	    { 600, ASK, "a", false },
	    { 5599, ASK, "b", true },
	    { 5600, ASK, "a", true } } },
	{ "a source with an earlier revision is skipped like a silent one",
	  false,
	  { { 0, ASK, "a", true },
	    { 10, BEHIND, "a", true },
	    { 300, ASK, "a", true },
	    { 310, BEHIND, "a", true },
	    { 600, ASK, "a", false } } },
	{ "a source with too old data is skipped like a silent one",
	  false,
	  { { 0, ASK, "a", true },
	    { 10, OLD, "a", true },
	    { 200, ASK, "a", true },
	    { 210, OLD, "a", true },
	    { 600, ASK, "a", false },
	    { 610, ASK, "b", true } } },
	{ "a source that lost the registry is skipped at once",
	  false,
	  { { 0, ASK, "a", true },
	    { 10, LOST, "a", true },
	    { 11, ASK, "b", true },
	    { 20, GOOD, "b", true },
	    { 5009, ASK, "b", true },
	    { 5010, ASK, "a", true } } },
	{ "the timeout starts anew with another source",
	  true,
	  { { 0, ASK, "a", true },
	    { 500, ASK, "b", true },
	    { 1000, ASK, "b", true },
	    { 1100, ASK, "b", false } } },
};

static void answer(struct cm_feed_choice *feed, uint64_t now_ms, enum step step)
{
	static const uint64_t ages_ms[] = {
		[GOOD] = 100,
		[BEHIND] = 100,
		[OLD] = AGE_MAX_MS + 1,
		[LOST] = CM_FEED_AGE_LOST,
	};

	cm_feed_choice_record_answer(feed, now_ms, ages_ms[step],
				     step == BEHIND);
}

/* A skipped source is not asked for CM_FEED_SKIP_MS; the next one is instead.
 */
TEST_TABLE(source_is_chosen, source_cases)
{
	struct cm_feed_choice feed;

	cm_feed_choice_init(&feed, AGE_MAX_MS);
	for (int i = 0; i < 8 && source_cases[_i].steps[i].source; i++) {
		uint64_t now_ms = NOW_MS + source_cases[_i].steps[i].at_ms;
		enum step step = source_cases[_i].steps[i].step;
		const char *source = source_cases[_i].steps[i].source;

		if (step != ASK) {
			answer(&feed, now_ms, step);
			continue;
		}
		if (!strcmp(source, "b"))
			ck_assert(
				cm_feed_choice_is_skipped(&feed, "a", now_ms) ||
				source_cases[_i].changes_source);
		ck_assert_msg(
			cm_feed_choice_begin_request(&feed, source, now_ms) ==
				source_cases[_i].steps[i].may_ask,
			"%s: step %d", source_cases[_i].name, i);
	}
}

TEST(skipped_sources_are_remembered_by_name)
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

TEST(report_that_is_not_repeated_expires)
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
