#include "unit/suites.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "unit/publication_store.h"

UNIT_CASE("publication", "large", publication_setup, publication_teardown, 0);

/* Builds a view of LARGE_SERVERS backend servers at @version. */
static void build_large_view(struct cm_view *view, uint64_t version)
{
	struct cm_view empty;
	struct cm_note note;

	fake_note_init_servers(&note, LARGE_SERVERS);
	fake_note_set_id(&note, 1);
	note.version = version;
	note.published_at_s = FAKE_PUBLISHED_S;
	cm_view_init(&empty);
	empty.catalog.version = version - 1;
	ASSERT_OK(cm_view_apply_note(view, &empty, &note));
	cm_note_finish(&note);
}

TEST(large_catalog_is_split)
{
	struct cm_snapshot_reader reader;
	struct cm_snapshot_parts parts;
	struct cm_json_error error;
	struct cm_view view, read;

	build_large_view(&view, 1);
	cm_view_init(&read);
	ASSERT_OK(cm_catalog_write(&view.catalog, &view.history, &parts));
	ck_assert_uint_gt(parts.count, 1);
	cm_snapshot_reader_init(&reader);
	for (uint32_t i = 0; i < parts.count; i++) {
		ck_assert_uint_le(parts.items[i].size,
				  CM_SNAPSHOT_PART_SIZE_MAX);
		ck_assert(!cm_snapshot_reader_is_complete(&reader));
		ASSERT_OK(cm_snapshot_reader_add(&reader, parts.items[i].text,
						 parts.items[i].size, &error));
	}
	ck_assert_int_eq(cm_snapshot_reader_add(&reader, parts.items[0].text,
						parts.items[0].size, &error),
			 CM_E_PROTOCOL);
	ASSERT_OK(cm_snapshot_reader_build(&reader, &read.catalog,
					   &read.history));
	assert_same_view(&view, &read);
	cm_snapshot_reader_finish(&reader);
	cm_snapshot_parts_finish(&parts);
	cm_view_finish(&view);
	cm_view_finish(&read);
}

/*
 * Writes a snapshot of a large catalog and its head to the store, with a
 * version two below the one whose publication writes the next snapshot.
 */
static void write_large_catalog(void)
{
	static const uint8_t id[CM_PUBLICATION_ID_SIZE] = { 1 };
	const uint64_t version = CM_SNAPSHOT_INTERVAL_VERSIONS - 2;
	struct cm_snapshot_parts parts;
	char key[CM_STORE_KEY_SIZE], value[HEAD_SIZE],
		text[CM_PUBLICATION_ID_TEXT_SIZE];
	struct cm_view view;

	build_large_view(&view, version);
	ASSERT_OK(cm_catalog_write(&view.catalog, &view.history, &parts));
	for (uint32_t i = 0; i < parts.count; i++) {
		cm_key_snapshot(publication, version, id, i, key);
		put_value(key, parts.items[i].text);
	}
	cm_publication_id_write(id, text);
	snprintf(value, sizeof(value),
		 "{\"version\":%d,\"publication_id\":\"%s\","
		 "\"snapshot\":%d,\"snapshot_id\":\"%s\"}",
		 CM_SNAPSHOT_INTERVAL_VERSIONS - 2, text,
		 CM_SNAPSHOT_INTERVAL_VERSIONS - 2, text);
	cm_key_head(publication, key);
	put_value(key, value);
	cm_snapshot_parts_finish(&parts);
	cm_view_finish(&view);
}

/*
 * All parts of a large snapshot in one request could exceed the request limit
 * of etcd, so each part must be written by a request of its own.
 */
TEST(large_snapshot_fits_the_request_limit)
{
	struct cm_publication_head head;
	struct cm_view view;

	write_large_catalog();
	ASSERT_OK(publish_change(1));
	ASSERT_OK(publish_change(2));
	ASSERT_OK(cm_publication_read_view(publication, &view, &head));
	ck_assert_uint_eq(head.snapshot_version,
			  CM_SNAPSHOT_INTERVAL_VERSIONS - 1);
	ck_assert_uint_eq(view.catalog.server_count, LARGE_SERVERS);
	ck_assert_uint_eq(view.history.services[0].count, 2);
	cm_view_finish(&view);
}
