#include "catalog_json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catalog_fields.h"
#include "chervilmast/error.h"
#include "note_json.h"
#include "note_entries.h"

/*
 * Space reserved in a part for its other keys, bytes. Items and history entries
 * are counted one by one; entries of "withdrawn" do not count towards
 * CM_SNAPSHOT_PART_SIZE_MAX.
 */
#define PART_OVERHEAD_SIZE 4096
/*
 * Maximum number of servers in one history entry, so that the entry fits into a
 * part. A larger candidate set is split.
 */
#define HISTORY_ENTRY_SERVERS_MAX 4096

/**
 * struct writer - a snapshot that is being written
 * @catalog: the catalog to write
 * @parts: JSON array of the parts so far
 * @part: the part being written; last element of @parts
 * @size: size of the items and history entries in @part as JSON, bytes
 */
struct writer {
	const struct cm_catalog *catalog;
	json_t *parts;
	json_t *part;
	size_t size;
};

static int part_begin(struct writer *writer)
{
	char id[CM_PUBLICATION_ID_TEXT_SIZE];
	json_t *part;

	cm_publication_id_write(writer->catalog->publication_id, id);
	part = json_pack("{s:I, s:s, s:I, s:{}, s:[]}", "version",
			 (json_int_t)writer->catalog->version, "publication_id",
			 id, "published_at_s",
			 (json_int_t)writer->catalog->published_at_s,
			 "withdrawn", "history");
	for (int i = 0; part && i < CM_NOTE_LIST_COUNT; i++)
		json_object_set_new(part, cm_note_list_key(i),
				    json_pack("{s:[]}", "add"));
	writer->part = part;
	return json_array_append_new(writer->parts, part) ? CM_E_MEMORY : CM_OK;
}

/* Accounts for the size of an item; begins a new part if it does not fit. */
static int writer_add_size(struct writer *writer, const json_t *item)
{
	size_t size = json_dumpb(item, NULL, 0, JSON_COMPACT) + 1;

	if (writer->size + size + PART_OVERHEAD_SIZE <=
	    CM_SNAPSHOT_PART_SIZE_MAX) {
		writer->size += size;
		return CM_OK;
	}
	writer->size = size;
	return part_begin(writer);
}

static int write_item(struct writer *writer, enum cm_note_list list,
		      const void *spec)
{
	json_t *item = cm_note_entry_write(list, spec);
	json_t *list_object;

	if (!item || writer_add_size(writer, item)) {
		json_decref(item);
		return CM_E_MEMORY;
	}
	list_object = json_object_get(writer->part, cm_note_list_key(list));
	return json_array_append_new(json_object_get(list_object, "add"),
				     item) ?
		       CM_E_MEMORY :
		       CM_OK;
}

/* The key "LIST/NAME" is unambiguous, as a name contains no slash. */
static int write_withdrawn(struct writer *writer, enum cm_note_list list,
			   const char *name, uint64_t withdrawn_at_s)
{
	json_t *withdrawn = json_object_get(writer->part, "withdrawn");
	char key[2 * CM_NAME_SIZE];

	if (!withdrawn_at_s)
		return CM_OK;
	snprintf(key, sizeof(key), "%s/%s", cm_note_list_key(list), name);
	return json_object_set_new(withdrawn, key,
				   json_integer((json_int_t)withdrawn_at_s)) ?
		       CM_E_MEMORY :
		       CM_OK;
}

static int write_server(struct writer *writer, const struct cm_server *server)
{
	struct cm_server_spec spec = server->spec;
	int error;

	/*
	 * A note can't add a withdrawn server; the reader restores the state
	 * from the entry in "withdrawn".
	 */
	if (spec.state == CM_SERVER_WITHDRAWN)
		spec.state = CM_SERVER_DRAINING;
	error = write_item(writer, CM_NOTE_SERVERS, &spec);
	if (error)
		return error;
	return write_withdrawn(writer, CM_NOTE_SERVERS, spec.name,
			       server->withdrawn_at_s);
}

static int write_service(struct writer *writer,
			 const struct cm_service *service)
{
	int error = write_item(writer, CM_NOTE_SERVICES, &service->spec);

	if (error)
		return error;
	return write_withdrawn(writer, CM_NOTE_SERVICES, service->spec.name,
			       service->withdrawn_at_s);
}

static int write_domain(struct writer *writer, const struct cm_domain *domain)
{
	int error = write_item(writer, CM_NOTE_DOMAINS, &domain->spec);

	if (error)
		return error;
	return write_withdrawn(writer, CM_NOTE_DOMAINS, domain->spec.name,
			       domain->withdrawn_at_s);
}

static json_t *history_entry(const struct cm_endpoint *service,
			     uint32_t set_index,
			     const struct cm_history_server *servers,
			     uint32_t count)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < count; i++)
		json_array_append_new(
			list, cm_json_write_fields(cm_history_server_fields,
						   &servers[i], UINT32_MAX));
	return json_pack(
		"{s:o, s:i, s:o}", "service",
		cm_json_write_fields(cm_endpoint_fields, service, UINT32_MAX),
		"set", (int)set_index, "backend_servers", list);
}

/* Splits a large candidate set into several adjacent entries. */
static int write_set(struct writer *writer,
		     const struct cm_history_service *service,
		     uint32_t set_index)
{
	const struct cm_candidate_set *set = &service->sets[set_index];
	uint32_t first = 0;

	do {
		uint32_t count = set->count - first;
		json_t *entry;

		if (count > HISTORY_ENTRY_SERVERS_MAX)
			count = HISTORY_ENTRY_SERVERS_MAX;
		entry = history_entry(&service->service, set_index,
				      set->servers + first, count);
		if (!entry || writer_add_size(writer, entry)) {
			json_decref(entry);
			return CM_E_MEMORY;
		}
		json_array_append_new(json_object_get(writer->part, "history"),
				      entry);
		first += count;
	} while (first < set->count);
	return CM_OK;
}

static int write_history(struct writer *writer,
			 const struct cm_history *history)
{
	int error = CM_OK;

	for (uint32_t i = 0; i < history->count; i++)
		for (uint32_t k = 0; k < history->services[i].count && !error;
		     k++)
			error = write_set(writer, &history->services[i], k);
	return error;
}

static int write_catalog(struct writer *writer)
{
	const struct cm_catalog *catalog = writer->catalog;
	int error = CM_OK;

	for (uint32_t i = 0; i < catalog->domain_count && !error; i++)
		error = write_domain(writer, &catalog->domains[i]);
	for (uint32_t i = 0; i < catalog->service_count && !error; i++)
		error = write_service(writer, &catalog->services[i]);
	for (uint32_t i = 0; i < catalog->server_count && !error; i++)
		error = write_server(writer, &catalog->servers[i]);
	return error;
}

static int dump_parts(json_t *list, struct cm_snapshot_parts *parts)
{
	size_t count = json_array_size(list);
	json_t *root;
	size_t i;

	if (count > CM_SNAPSHOT_PARTS_MAX)
		return CM_E_TOO_LARGE;
	json_array_foreach (list, i, root) {
		struct cm_snapshot_part *part = &parts->items[i];

		json_object_set_new(root, "snapshot",
				    json_pack("{s:i, s:i}", "part", (int)i,
					      "parts", (int)count));
		part->text = json_dumps(root, JSON_COMPACT);
		if (!part->text)
			return CM_E_MEMORY;
		part->size = strlen(part->text);
		parts->count++;
	}
	return CM_OK;
}

int cm_catalog_write(const struct cm_catalog *catalog,
		     const struct cm_history *history,
		     struct cm_snapshot_parts *parts)
{
	struct writer writer = {
		.catalog = catalog,
		.parts = json_array(),
	};
	int error = part_begin(&writer);

	memset(parts, 0, sizeof(*parts));
	if (!error)
		error = write_catalog(&writer);
	if (!error)
		error = write_history(&writer, history);
	if (!error)
		error = dump_parts(writer.parts, parts);
	json_decref(writer.parts);
	if (error)
		cm_snapshot_parts_finish(parts);
	return error;
}

void cm_snapshot_parts_finish(struct cm_snapshot_parts *parts)
{
	for (uint32_t i = 0; i < parts->count; i++)
		free(parts->items[i].text);
	memset(parts, 0, sizeof(*parts));
}
