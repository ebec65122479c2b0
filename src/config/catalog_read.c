#include "catalog_json.h"

#include <stdlib.h>
#include <string.h>

#include "catalog_fields.h"
#include "chervilmast/error.h"
#include "endpoint_fields.h"
#include "note_json.h"
#include "note_entries.h"

static const char *const part_keys[] = { "version",	   "publication_id",
					 "published_at_s", "failure_domains",
					 "services",	   "backend_servers",
					 "snapshot",	   "withdrawn",
					 "history",	   NULL };
static const char *const history_entry_keys[] = { "service", "set",
						  "backend_servers", NULL };

const struct cm_json_field cm_endpoint_fields[] = {
	CM_ENDPOINT_JSON_FIELDS(0),
	{ .key = NULL },
};

const struct cm_json_field cm_history_server_fields[] = {
	CM_ENDPOINT_JSON_FIELDS(offsetof(struct cm_history_server, address)),
	CM_SLOTS_JSON_FIELD(offsetof(struct cm_history_server, slots)),
	{ .key = NULL },
};

/**
 * struct part_position - position of a part in its snapshot
 * @part_index: index of the part, from 0
 * @part_count: number of parts of the snapshot
 */
struct part_position {
	uint32_t part_index;
	uint32_t part_count;
};

static const struct cm_json_field position_fields[] = {
	{ .key = "part",
	  .type = CM_JSON_U32,
	  .offset = offsetof(struct part_position, part_index),
	  .maximum = CM_SNAPSHOT_PARTS_MAX - 1 },
	{ .key = "parts",
	  .type = CM_JSON_U32,
	  .offset = offsetof(struct part_position, part_count),
	  .minimum = 1,
	  .maximum = CM_SNAPSHOT_PARTS_MAX },
	{ .key = NULL },
};

bool cm_snapshot_is_part(const void *bytes, size_t size)
{
	json_t *root = json_loadb(bytes, size, 0, NULL);
	bool is_part = json_object_get(root, "snapshot") != NULL;

	json_decref(root);
	return is_part;
}

void cm_snapshot_reader_init(struct cm_snapshot_reader *reader)
{
	memset(reader, 0, sizeof(*reader));
	cm_note_init(&reader->note);
	reader->withdrawn = json_object();
	reader->history = json_array();
}

void cm_snapshot_reader_finish(struct cm_snapshot_reader *reader)
{
	cm_note_finish(&reader->note);
	json_decref(reader->withdrawn);
	json_decref(reader->history);
	memset(reader, 0, sizeof(*reader));
}

/* Appends the @count elements of @from to the array *@to. */
static int append_array(void **to, size_t *to_count, const void *from,
			size_t count, size_t stride)
{
	void *grown = realloc(*to, (*to_count + count + 1) * stride);

	if (!grown)
		return CM_E_MEMORY;
	if (count)
		memcpy((char *)grown + *to_count * stride, from,
		       count * stride);
	*to = grown;
	*to_count += count;
	return CM_OK;
}

static int append_note_items(struct cm_note *to, const struct cm_note *from)
{
	int error = append_array((void **)&to->domains, &to->domain_count,
				 from->domains, from->domain_count,
				 sizeof(*to->domains));

	if (!error)
		error = append_array((void **)&to->services, &to->service_count,
				     from->services, from->service_count,
				     sizeof(*to->services));
	if (!error)
		error = append_array((void **)&to->servers, &to->server_count,
				     from->servers, from->server_count,
				     sizeof(*to->servers));
	return error;
}

static int read_position(const struct cm_json_node *root,
			 struct part_position *position,
			 struct cm_json_error *error)
{
	struct cm_json_node node = {
		.parent = root,
		.key = "snapshot",
		.value = json_object_get(root->value, "snapshot"),
	};

	if (!node.value)
		return cm_json_fail(error, root, "snapshot", CM_E_MISSING_KEY);
	return cm_json_read_fields(&node, position_fields, position, false,
				   NULL, error);
}

/* Whether @part is the next part of the snapshot that is being read. */
static bool is_next_part(const struct cm_snapshot_reader *reader,
			 const struct cm_note *part,
			 const struct part_position *position)
{
	if (position->part_index != reader->next_part ||
	    position->part_index >= position->part_count)
		return false;
	if (!reader->part_count)
		return true;
	return position->part_count == reader->part_count &&
	       part->version == reader->note.version &&
	       !memcmp(part->publication_id, reader->note.publication_id,
		       CM_PUBLICATION_ID_SIZE);
}

static int add_part(struct cm_snapshot_reader *reader,
		    const struct cm_note *part,
		    const struct part_position *position,
		    const struct cm_json_node *root,
		    struct cm_json_error *error)
{
	json_t *withdrawn = json_object_get(root->value, "withdrawn");
	json_t *history = json_object_get(root->value, "history");

	if (!json_is_object(withdrawn))
		return cm_json_fail(error, root, "withdrawn", CM_E_WRONG_TYPE);
	if (!json_is_array(history))
		return cm_json_fail(error, root, "history", CM_E_WRONG_TYPE);
	if (!is_next_part(reader, part, position))
		return cm_json_fail(error, root, "snapshot", CM_E_PROTOCOL);
	if (append_note_items(&reader->note, part) ||
	    json_object_update(reader->withdrawn, withdrawn) ||
	    json_array_extend(reader->history, history))
		return cm_json_fail(error, root, NULL, CM_E_MEMORY);
	reader->note.version = part->version;
	reader->note.published_at_s = part->published_at_s;
	memcpy(reader->note.publication_id, part->publication_id,
	       CM_PUBLICATION_ID_SIZE);
	reader->part_count = position->part_count;
	reader->next_part++;
	return CM_OK;
}

int cm_snapshot_reader_add(struct cm_snapshot_reader *reader, const void *bytes,
			   size_t size, struct cm_json_error *error)
{
	struct cm_json_node root = { .parent = NULL };
	struct part_position position = { 0 };
	struct cm_note part;
	int result = cm_json_load_bytes(bytes, size, &root.value, error);

	if (result)
		return result;
	cm_note_init(&part);
	result = cm_json_check_keys(&root, part_keys, error);
	if (!result)
		result = cm_note_entries_read(&part, &root, error);
	if (!result)
		result = cm_note_read_header(&part, &root, error);
	if (!result)
		result = read_position(&root, &position, error);
	if (!result)
		result = add_part(reader, &part, &position, &root, error);
	cm_note_finish(&part);
	json_decref(root.value);
	return result;
}

bool cm_snapshot_reader_is_complete(const struct cm_snapshot_reader *reader)
{
	return reader->part_count && reader->next_part == reader->part_count;
}

/* @key is "LIST/NAME", as in struct cm_snapshot_reader. */
static int restore_withdrawn_item(struct cm_catalog *catalog, const char *key,
				  json_int_t withdrawn_at_s)
{
	const char *slash = strchr(key, '/');

	if (withdrawn_at_s < 1)
		return CM_E_OUT_OF_RANGE;
	for (int list = 0; slash && list < CM_NOTE_LIST_COUNT; list++) {
		const char *list_key = cm_note_list_key(list);
		size_t length = (size_t)(slash - key);

		if (strlen(list_key) == length &&
		    !strncmp(list_key, key, length))
			return cm_catalog_set_withdrawn(
				catalog, list, slash + 1,
				(uint64_t)withdrawn_at_s);
	}
	return CM_E_UNKNOWN_KEY;
}

static int restore_withdrawn(const struct cm_snapshot_reader *reader,
			     struct cm_catalog *catalog)
{
	const char *key;
	json_t *time;

	json_object_foreach (reader->withdrawn, key, time) {
		int error = restore_withdrawn_item(catalog, key,
						   json_integer_value(time));

		if (error)
			return error;
	}
	return CM_OK;
}

/**
 * struct candidate_set - a candidate set, assembled from its history entries
 * @service: public address of the service
 * @index: index of the set in the history of the service, from 0
 * @servers: the candidates read so far
 * @count: number of @servers
 */
struct candidate_set {
	struct cm_endpoint service;
	json_int_t index;
	struct cm_history_server *servers;
	size_t count;
};

static int read_servers(const struct cm_json_node *entry,
			struct candidate_set *set)
{
	struct cm_json_node list = {
		.parent = entry,
		.key = "backend_servers",
		.value = json_object_get(entry->value, "backend_servers"),
	};
	struct cm_json_node item = { .parent = &list };
	struct cm_json_error error;

	if (!json_is_array(list.value))
		return CM_E_WRONG_TYPE;
	json_array_foreach (list.value, item.index, item.value) {
		struct cm_history_server server = { .hash = 0 };
		int result =
			cm_json_read_fields(&item, cm_history_server_fields,
					    &server, false, NULL, &error);

		if (!result)
			result = append_array((void **)&set->servers,
					      &set->count, &server, 1,
					      sizeof(server));
		if (result)
			return result;
	}
	return CM_OK;
}

static int read_history_entry(json_t *value, struct candidate_set *set)
{
	struct cm_json_node entry = { .key = "history", .value = value };
	struct cm_json_node service = {
		.parent = &entry,
		.key = "service",
		.value = json_object_get(value, "service"),
	};
	struct cm_json_error error;
	int result = cm_json_check_keys(&entry, history_entry_keys, &error);

	if (result)
		return result;
	result = cm_json_read_fields(&service, cm_endpoint_fields,
				     &set->service, false, NULL, &error);
	if (!result)
		result = read_servers(&entry, set);
	set->index = json_integer_value(json_object_get(value, "set"));
	return result;
}

/*
 * Whether a history entry belongs to @set. The entries of a set are adjacent,
 * so the first entry of another set ends it.
 */
static bool belongs_to_set(const struct candidate_set *set, const json_t *value)
{
	struct cm_json_node service = {
		.key = "service",
		.value = json_object_get(value, "service"),
	};
	struct cm_endpoint endpoint = { 0 };
	struct cm_json_error error;

	return !cm_json_read_fields(&service, cm_endpoint_fields, &endpoint,
				    false, NULL, &error) &&
	       cm_endpoint_equal(&endpoint, &set->service) &&
	       json_integer_value(json_object_get(value, "set")) == set->index;
}

static int restore_history(const struct cm_snapshot_reader *reader,
			   const struct cm_catalog *catalog,
			   struct cm_history *history)
{
	size_t count = json_array_size(reader->history);
	size_t i = 0;
	int error = cm_history_init_services(history, catalog);

	while (!error && i < count) {
		struct candidate_set set = { .servers = NULL };

		do {
			error = read_history_entry(
				json_array_get(reader->history, i++), &set);
		} while (!error && i < count &&
			 belongs_to_set(&set,
					json_array_get(reader->history, i)));
		if (!error)
			error = cm_history_append(history, catalog,
						  &set.service, set.servers,
						  (uint32_t)set.count);
		free(set.servers);
	}
	return error;
}

int cm_snapshot_reader_build(const struct cm_snapshot_reader *reader,
			     struct cm_catalog *catalog,
			     struct cm_history *history)
{
	int error;

	if (!cm_snapshot_reader_is_complete(reader))
		return CM_E_PROTOCOL;
	cm_history_init(history);
	error = cm_catalog_restore(catalog, &reader->note);
	if (error)
		return error;
	error = restore_withdrawn(reader, catalog);
	if (!error)
		error = restore_history(reader, catalog, history);
	if (error) {
		cm_catalog_finish(catalog);
		cm_history_finish(history);
	}
	return error;
}
