#include "note_entries.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "endpoint_fields.h"

#define CONNECTIONS_MAX 1000000
#define NEW_PER_S_MAX 100000
#define COLD_START_S_MAX 3600
#define IDLE_TIMEOUT_S_MAX 86400

static const char *const domain_states[] = {
	[CM_DOMAIN_IN] = "in",
	[CM_DOMAIN_OUT] = "out",
	NULL,
};

static const char *const server_states[] = {
	[CM_SERVER_ACTIVE] = "active",
	[CM_SERVER_DRAINING] = "draining",
	NULL,
};

static const char *const change_names[] = {
	[CM_CHANGE_ADD] = "add",
	[CM_CHANGE_UPDATE] = "change",
	[CM_CHANGE_WITHDRAW] = "withdraw",
	NULL,
};

static const struct cm_json_field domain_fields[] = {
	{ .key = "name",
	  .type = CM_JSON_NAME,
	  .offset = offsetof(struct cm_domain_spec, name) },
	{ .key = "state",
	  .type = CM_JSON_CHOICE,
	  .offset = offsetof(struct cm_domain_spec, state),
	  .choices = domain_states },
	{ .key = NULL },
};

static const struct cm_json_field service_fields[] = {
	{ .key = "name",
	  .type = CM_JSON_NAME,
	  .offset = offsetof(struct cm_service_spec, name) },
	CM_ENDPOINT_JSON_FIELDS(offsetof(struct cm_service_spec, address)),
	{ .key = "idle_timeout_s",
	  .type = CM_JSON_U32,
	  .offset = offsetof(struct cm_service_spec, idle_timeout_s),
	  .bit = CM_FIELD_IDLE_TIMEOUT,
	  .minimum = 1,
	  .maximum = IDLE_TIMEOUT_S_MAX },
	{ .key = NULL },
};

static const struct cm_json_field server_fields[] = {
	{ .key = "name",
	  .type = CM_JSON_NAME,
	  .offset = offsetof(struct cm_server_spec, name) },
	{ .key = "service",
	  .type = CM_JSON_NAME,
	  .offset = offsetof(struct cm_server_spec, service),
	  .bit = CM_FIELD_SERVICE },
	{ .key = "failure_domain",
	  .type = CM_JSON_NAME,
	  .offset = offsetof(struct cm_server_spec, domain),
	  .bit = CM_FIELD_DOMAIN },
	CM_ENDPOINT_JSON_FIELDS(offsetof(struct cm_server_spec, address)),
	CM_SLOTS_JSON_FIELD(offsetof(struct cm_server_spec, slots)),
	{ .key = "max_connections",
	  .type = CM_JSON_U32,
	  .offset = offsetof(struct cm_server_spec, max_connections),
	  .bit = CM_FIELD_MAX_CONNECTIONS,
	  .minimum = 1,
	  .maximum = CONNECTIONS_MAX },
	{ .key = "max_new_per_s",
	  .type = CM_JSON_U32,
	  .offset = offsetof(struct cm_server_spec, max_new_per_s),
	  .bit = CM_FIELD_MAX_NEW,
	  .minimum = 1,
	  .maximum = NEW_PER_S_MAX },
	{ .key = "cold_start_s",
	  .type = CM_JSON_U32,
	  .offset = offsetof(struct cm_server_spec, cold_start_s),
	  .bit = CM_FIELD_COLD_START,
	  .minimum = 0,
	  .maximum = COLD_START_S_MAX },
	{ .key = "state",
	  .type = CM_JSON_CHOICE,
	  .offset = offsetof(struct cm_server_spec, state),
	  .bit = CM_FIELD_STATE,
	  .choices = server_states },
	{ .key = NULL },
};

/**
 * struct list_format - format of one of the three lists of a note
 * @key: JSON key of the list
 * @fields: JSON fields of an item
 * @stride: size of an entry, such as struct cm_server_change, bytes
 * @change: offset of the kind of change in an entry
 * @field_bits: offset of the set of present fields in an entry; SIZE_MAX if
 *              entries have none
 * @spec: offset of the item's spec in an entry
 */
struct list_format {
	const char *key;
	const struct cm_json_field *fields;
	size_t stride;
	size_t change;
	size_t field_bits;
	size_t spec;
};

static const struct list_format list_formats[CM_NOTE_LIST_COUNT] = {
	[CM_NOTE_DOMAINS] = {
		.key = "failure_domains",
		.fields = domain_fields,
		.stride = sizeof(struct cm_domain_change),
		.change = offsetof(struct cm_domain_change, change),
		.field_bits = SIZE_MAX,
		.spec = offsetof(struct cm_domain_change, spec),
	},
	[CM_NOTE_SERVICES] = {
		.key = "services",
		.fields = service_fields,
		.stride = sizeof(struct cm_service_change),
		.change = offsetof(struct cm_service_change, change),
		.field_bits = offsetof(struct cm_service_change, fields),
		.spec = offsetof(struct cm_service_change, spec),
	},
	[CM_NOTE_SERVERS] = {
		.key = "backend_servers",
		.fields = server_fields,
		.stride = sizeof(struct cm_server_change),
		.change = offsetof(struct cm_server_change, change),
		.field_bits = offsetof(struct cm_server_change, fields),
		.spec = offsetof(struct cm_server_change, spec),
	},
};

static size_t list_entry_count(json_t *root, const struct list_format *format)
{
	json_t *value = json_object_get(root, format->key);
	size_t size = 0;

	for (int i = 0; change_names[i]; i++)
		size += json_array_size(
			json_object_get(value, change_names[i]));
	return size;
}

/* @name: the spec of an entry; the name is the first member of every spec. */
static int read_withdrawal(const struct cm_json_node *item, char *name,
			   struct cm_json_error *error)
{
	static const struct cm_json_field name_field[] = {
		{ .key = "name", .type = CM_JSON_NAME },
		{ .key = NULL },
	};

	return cm_json_read_fields(item, name_field, name, false, NULL, error);
}

static int read_item(const struct list_format *format,
		     const struct cm_json_node *item,
		     enum cm_change_kind change, char *entry,
		     struct cm_json_error *error)
{
	uint32_t field_bits = 0;
	int result;

	*(enum cm_change_kind *)(entry + format->change) = change;
	if (change == CM_CHANGE_WITHDRAW)
		return read_withdrawal(item, entry + format->spec, error);
	result = cm_json_read_fields(item, format->fields, entry + format->spec,
				     change == CM_CHANGE_UPDATE, &field_bits,
				     error);
	if (result || format->field_bits == SIZE_MAX)
		return result;
	if (!field_bits)
		return cm_json_fail(error, item, NULL, CM_E_NO_CHANGE);
	*(uint32_t *)(entry + format->field_bits) = field_bits;
	return CM_OK;
}

static int read_changes(const struct list_format *format,
			const struct cm_json_node *changes,
			enum cm_change_kind change, char **entry,
			struct cm_json_error *error)
{
	struct cm_json_node item = { .parent = changes };

	if (!json_is_array(changes->value))
		return cm_json_fail(error, changes, NULL, CM_E_WRONG_TYPE);
	json_array_foreach (changes->value, item.index, item.value) {
		int result = read_item(format, &item, change, *entry, error);

		if (result)
			return result;
		*entry += format->stride;
	}
	return CM_OK;
}

static int read_list(const struct list_format *format,
		     const struct cm_json_node *root, char *entry,
		     struct cm_json_error *error)
{
	struct cm_json_node node = {
		.parent = root,
		.key = format->key,
		.value = json_object_get(root->value, format->key),
	};
	int result;

	if (!node.value)
		return CM_OK;
	result = cm_json_check_keys(&node, change_names, error);
	for (int i = 0; !result && change_names[i]; i++) {
		struct cm_json_node changes = {
			.parent = &node,
			.key = change_names[i],
			.value = json_object_get(node.value, change_names[i]),
		};

		if (changes.value)
			result = read_changes(format, &changes,
					      (enum cm_change_kind)i, &entry,
					      error);
	}
	return result;
}

int cm_note_entries_read(struct cm_note *note, const struct cm_json_node *root,
			 struct cm_json_error *error)
{
	size_t counts[CM_NOTE_LIST_COUNT];
	void *entries[CM_NOTE_LIST_COUNT];
	int result;

	for (int i = 0; i < CM_NOTE_LIST_COUNT; i++)
		counts[i] = list_entry_count(root->value, &list_formats[i]);
	result = cm_note_reserve(note, counts[CM_NOTE_DOMAINS],
				 counts[CM_NOTE_SERVICES],
				 counts[CM_NOTE_SERVERS]);
	if (result)
		return cm_json_fail(error, root, NULL, result);
	entries[CM_NOTE_DOMAINS] = note->domains;
	entries[CM_NOTE_SERVICES] = note->services;
	entries[CM_NOTE_SERVERS] = note->servers;
	for (int i = 0; i < CM_NOTE_LIST_COUNT && !result; i++)
		result = read_list(&list_formats[i], root, entries[i], error);
	if (result)
		cm_note_finish(note);
	return result;
}

static json_t *write_item(const struct list_format *format, const char *entry,
			  enum cm_change_kind change)
{
	uint32_t field_bits = UINT32_MAX;

	if (change == CM_CHANGE_WITHDRAW)
		return json_pack("{s:s}", "name", entry + format->spec);
	if (format->field_bits != SIZE_MAX && change == CM_CHANGE_UPDATE)
		field_bits = *(const uint32_t *)(entry + format->field_bits);
	return cm_json_write_fields(format->fields, entry + format->spec,
				    field_bits);
}

static json_t *write_list(const struct list_format *format, const char *entries,
			  size_t count)
{
	json_t *object = json_object();

	for (size_t i = 0; i < count; i++) {
		const char *entry = entries + i * format->stride;
		enum cm_change_kind change =
			*(const enum cm_change_kind *)(entry + format->change);
		json_t *changes = json_object_get(object, change_names[change]);

		if (!changes) {
			changes = json_array();
			json_object_set_new(object, change_names[change],
					    changes);
		}
		json_array_append_new(changes,
				      write_item(format, entry, change));
	}
	return object;
}

const char *cm_note_list_key(enum cm_note_list list)
{
	return list_formats[list].key;
}

json_t *cm_note_entry_write(enum cm_note_list list, const void *spec)
{
	return cm_json_write_fields(list_formats[list].fields, spec,
				    UINT32_MAX);
}

int cm_note_entries_write(const struct cm_note *note, json_t *root)
{
	const char *const entries[] = {
		[CM_NOTE_DOMAINS] = (const char *)note->domains,
		[CM_NOTE_SERVICES] = (const char *)note->services,
		[CM_NOTE_SERVERS] = (const char *)note->servers,
	};
	const size_t counts[] = {
		[CM_NOTE_DOMAINS] = note->domain_count,
		[CM_NOTE_SERVICES] = note->service_count,
		[CM_NOTE_SERVERS] = note->server_count,
	};

	for (int i = 0; i < CM_NOTE_LIST_COUNT; i++)
		if (json_object_set_new(root, list_formats[i].key,
					write_list(&list_formats[i], entries[i],
						   counts[i])))
			return CM_E_MEMORY;
	return CM_OK;
}
