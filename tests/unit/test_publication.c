#include "unit/suites.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "unit/publication_store.h"

static uint64_t head_version(void)
{
	struct cm_publication_head head;

	store->fault = FAKE_FAULT_NONE;
	store->before_call = NULL;
	ASSERT_OK(cm_publication_read_head(publication, &head));
	return head.version;
}

static void carry_out_late_writes(void)
{
	while (service.late_count)
		fake_store_service_apply_late(&service, 0);
}

/*
 * The second publication of a test: the fault of its swap, the store call at
 * which a delayed write is carried out and the first store call at which the
 * store is down (0 for never); the result of the publication, and whether the
 * note is in the store afterwards.
 *
 * Call 1 reads the head, 2 reads the notes and 3 is the swap. From 4 on, the
 * publisher resolves the outcome of a swap that was not answered.
 */
static const struct {
	enum fake_fault fault;
	uint64_t late_at;
	uint64_t down_from;
	int error;
	bool accepted;
} swap_faults[] = {
	{ FAKE_FAULT_NONE, 0, 0, CM_OK, true },
	{ FAKE_FAULT_DOWN, 0, 0, CM_OK, true },
	{ FAKE_FAULT_LOST, 0, 0, CM_OK, true },
	{ FAKE_FAULT_GARBAGE, 0, 0, CM_OK, true },
	{ FAKE_FAULT_OVERSIZE, 0, 0, CM_OK, true },
	{ FAKE_FAULT_SLOW, 0, 0, CM_OK, true },
	{ FAKE_FAULT_SLOW, 4, 0, CM_OK, true },
	{ FAKE_FAULT_SLOW, 5, 0, CM_OK, true },
	{ FAKE_FAULT_LOST, 0, 4, CM_E_OUTCOME_UNKNOWN, true },
	{ FAKE_FAULT_SLOW, 0, 4, CM_E_OUTCOME_UNKNOWN, false },
	{ FAKE_FAULT_SLOW, 6, 4, CM_E_OUTCOME_UNKNOWN, true },
	{ FAKE_FAULT_NONE, 0, 3, CM_E_OUTCOME_UNKNOWN, false },
	{ FAKE_FAULT_NONE, 0, 2, CM_E_UNAVAILABLE, false },
	{ FAKE_FAULT_NONE, 0, 1, CM_E_UNAVAILABLE, false },
};

/* Row of swap_faults in which the swap times out and the store is down
 * afterwards. */
#define SLOW_THEN_DOWN 9

/* Row of swap_faults or part_faults that the running test uses. */
static int fault_row;

static void apply_fault(struct fake_store *at)
{
	enum fake_fault swap = swap_faults[fault_row].fault;
	uint64_t down_from = swap_faults[fault_row].down_from;

	at->fault = at->calls == 3 ? swap : FAKE_FAULT_NONE;
	if (down_from && at->calls >= down_from && !(at->calls == 3 && swap))
		at->fault = FAKE_FAULT_DOWN;
	if (at->calls == swap_faults[fault_row].late_at && service.late_count)
		fake_store_service_apply_late(&service, 0);
}

UNIT_CASE("publication", "store", publication_setup, publication_teardown, 0);

TEST_TABLE(outcome_of_a_swap_is_resolved, swap_faults)
{
	int error = swap_faults[_i].error;
	uint64_t version = swap_faults[_i].accepted ? 2 : 1;

	fault_row = _i;
	ASSERT_OK(publish_first(SERVERS));
	inject_faults(apply_fault);
	ck_assert_int_eq(publish_change(5), error);
	ck_assert_uint_eq(head_version(), version);
	carry_out_late_writes();
	if (error != CM_E_OUTCOME_UNKNOWN)
		ck_assert_uint_eq(head_version(), version);
}

/* The publisher reports an unknown outcome within 2 * CM_PUBLISH_TIMEOUT_MS. */
TEST(unknown_outcome_is_reported_in_time)
{
	fault_row = SLOW_THEN_DOWN;
	ASSERT_OK(publish_first(SERVERS));
	inject_faults(apply_fault);
	ck_assert_int_eq(publish_change(5), CM_E_OUTCOME_UNKNOWN);
	ck_assert_uint_le(publisher.timer.at_ms, 2 * CM_PUBLISH_TIMEOUT_MS);
}

TEST(large_note_is_refused_before_writing)
{
	int64_t revision = service.kv.revision;

	ck_assert_int_eq(publish_first(LARGE_SERVERS), CM_E_TOO_LARGE);
	ck_assert_int_eq(service.kv.revision, revision);
}

/* Builds a view from all notes in the store, without a snapshot. */
static void replay(struct cm_view *view)
{
	struct fake_kv_item *item;

	cm_view_init(view);
	TAILQ_FOREACH (item, &service.kv.items, link) {
		struct cm_json_error json_error;
		struct cm_view next;
		struct cm_note note;

		if (strncmp(item->key, FAKE_PREFIX "notes/", 8) != 0)
			continue;
		cm_note_init(&note);
		ASSERT_OK(cm_note_read_published(&note, item->value, item->size,
						 &json_error));
		ASSERT_OK(cm_view_apply_note(&next, view, &note));
		cm_note_finish(&note);
		cm_view_finish(view);
		*view = next;
	}
}

TEST(snapshot_equals_its_notes)
{
	struct cm_publication_head head;
	struct cm_view replayed, read;
	struct cm_note note;

	ASSERT_OK(publish_first(SERVERS));
	fake_note_withdraw(&note, SERVERS - 1);
	ASSERT_OK(fake_publisher_publish(&publisher, &note, ++ids_used));
	for (uint32_t i = 0; i < CM_SNAPSHOT_INTERVAL_VERSIONS; i++)
		ASSERT_OK(publish_change(i - i % SERVERS));
	store->calls = 0;
	ASSERT_OK(cm_publication_read_view(publication, &read, &head));
	ck_assert_uint_eq(store->calls, 3);
	ck_assert_uint_eq(head.snapshot_version,
			  CM_SNAPSHOT_INTERVAL_VERSIONS - 1);
	ck_assert_uint_eq(head.version, CM_SNAPSHOT_INTERVAL_VERSIONS + 2);
	replay(&replayed);
	ck_assert_int_eq(replayed.catalog.servers[SERVERS - 1].spec.state,
			 CM_SERVER_WITHDRAWN);
	ck_assert_uint_eq(read.history.services[0].count, CM_HISTORY_SETS_MAX);
	assert_same_view(&read, &replayed);
	cm_view_finish(&read);
	cm_view_finish(&replayed);
}

/*
 * Fault of the write of a snapshot part, whether all later calls of that
 * publication have the fault too, and the result of the publication.
 */
static const struct {
	enum fake_fault fault;
	bool persists;
	int error;
} part_faults[] = {
	{ FAKE_FAULT_DOWN, false, CM_OK },
	{ FAKE_FAULT_LOST, false, CM_OK },
	{ FAKE_FAULT_SLOW, false, CM_OK },
	{ FAKE_FAULT_GARBAGE, false, CM_OK },
	{ FAKE_FAULT_DOWN, true, CM_E_UNAVAILABLE },
	{ FAKE_FAULT_SLOW, true, CM_E_TIMEOUT },
};

/*
 * Sets the fault of the write of the snapshot part, and of the calls after it
 * if the fault persists. Before that write, the publisher reads the head and
 * then the notes, up to 8 in a call.
 */
static void apply_part_fault(struct fake_store *at)
{
	const uint64_t reads = 1 + (CM_SNAPSHOT_INTERVAL_VERSIONS + 7) / 8;
	bool faulty = part_faults[fault_row].persists ? at->calls > reads :
							at->calls == reads + 1;

	at->fault = faulty ? part_faults[fault_row].fault : FAKE_FAULT_NONE;
}

TEST_TABLE(snapshot_part_is_retried_or_publication_fails, part_faults)
{
	int error = part_faults[_i].error;
	struct cm_publication_head head;
	struct cm_view view;

	fault_row = _i;
	publish_up_to(CM_SNAPSHOT_INTERVAL_VERSIONS - 1);
	inject_faults(apply_part_fault);
	ck_assert_int_eq(publish_change(1), error);
	ck_assert_uint_eq(head_version(),
			  CM_SNAPSHOT_INTERVAL_VERSIONS - !!error);
	carry_out_late_writes();
	ASSERT_OK(publish_change(2));
	ASSERT_OK(cm_publication_read_view(publication, &view, &head));
	ck_assert_uint_eq(head.snapshot_version,
			  CM_SNAPSHOT_INTERVAL_VERSIONS - 1);
	ck_assert_uint_eq(view.catalog.version, head.version);
	cm_view_finish(&view);
}

TEST(old_notes_are_removed)
{
	const uint64_t last =
		CM_NOTE_RETENTION_VERSIONS + 2 * CM_SNAPSHOT_INTERVAL_VERSIONS;
	const uint64_t kept = last - CM_NOTE_RETENTION_VERSIONS;
	struct cm_publication_head head;
	struct cm_view view;
	uint8_t id[CM_PUBLICATION_ID_SIZE];

	publish_up_to(last);
	ck_assert_int_eq(cm_publication_read_id(publication, kept - 1, id),
			 CM_E_NOT_FOUND);
	ASSERT_OK(cm_publication_read_id(publication, kept, id));
	ASSERT_OK(cm_publication_read_view(publication, &view, &head));
	ck_assert_uint_eq(view.catalog.version, last);
	cm_view_finish(&view);
}

TEST(contradicting_head_is_refused)
{
	struct cm_publication_head head;
	struct cm_view view;

	ASSERT_OK(publish_first(SERVERS));
	put_value(FAKE_PREFIX "head",
		  "{\"version\":1,\"publication_id\":"
		  "\"ffffffffffffffffffffffffffffffff\",\"snapshot\":0,"
		  "\"snapshot_id\":\"00000000000000000000000000000000\"}");
	ck_assert_int_eq(cm_publication_read_view(publication, &view, &head),
			 CM_E_CONTRADICTION);
}
