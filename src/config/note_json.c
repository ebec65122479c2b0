#include "note_json.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "note_entries.h"

static const char *const operator_keys[] = { "failure_domains", "services",
					     "backend_servers", NULL };
static const char *const published_keys[] = { "version",
					      "publication_id",
					      "published_at_s",
					      "failure_domains",
					      "services",
					      "backend_servers",
					      NULL };

void cm_publication_id_write(const uint8_t *id, char *text)
{
	static const char digits[] = "0123456789abcdef";

	for (size_t i = 0; i < CM_PUBLICATION_ID_SIZE; i++) {
		text[2 * i] = digits[id[i] >> 4];
		text[2 * i + 1] = digits[id[i] & 0xf];
	}
	text[CM_PUBLICATION_ID_TEXT_SIZE - 1] = '\0';
}

static int digit_value(char digit)
{
	if (digit >= '0' && digit <= '9')
		return digit - '0';
	if (digit >= 'a' && digit <= 'f')
		return digit - 'a' + 10;
	return -1;
}

int cm_publication_id_read(uint8_t *id, const char *text)
{
	if (strlen(text) != CM_PUBLICATION_ID_TEXT_SIZE - 1)
		return CM_E_SYNTAX;
	for (size_t i = 0; i < CM_PUBLICATION_ID_SIZE; i++) {
		int high = digit_value(text[2 * i]);
		int low = digit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return CM_E_SYNTAX;
		id[i] = (uint8_t)(high << 4 | low);
	}
	return CM_OK;
}

int cm_note_read_file(struct cm_note *note, const char *path,
		      struct cm_json_error *error)
{
	struct cm_json_node root = { .parent = NULL };
	int result = cm_json_load_file(path, &root.value, error);

	if (result)
		return result;
	result = cm_json_check_keys(&root, operator_keys, error);
	if (!result)
		result = cm_note_entries_read(note, &root, error);
	json_decref(root.value);
	if (result || note->domain_count || note->service_count ||
	    note->server_count)
		return result;
	cm_note_finish(note);
	return cm_json_fail(error, NULL, NULL, CM_E_NO_CHANGE);
}

static int read_positive_u64(const struct cm_json_node *root, const char *key,
			     uint64_t *target, struct cm_json_error *error)
{
	const json_t *value = json_object_get(root->value, key);

	if (!value)
		return cm_json_fail(error, root, key, CM_E_MISSING_KEY);
	if (!json_is_integer(value))
		return cm_json_fail(error, root, key, CM_E_WRONG_TYPE);
	if (json_integer_value(value) < 1)
		return cm_json_fail(error, root, key, CM_E_OUT_OF_RANGE);
	*target = (uint64_t)json_integer_value(value);
	return CM_OK;
}

int cm_note_read_header(struct cm_note *note, const struct cm_json_node *root,
			struct cm_json_error *error)
{
	const char *id = json_string_value(
		json_object_get(root->value, "publication_id"));
	int result = read_positive_u64(root, "version", &note->version, error);

	if (!result)
		result = read_positive_u64(root, "published_at_s",
					   &note->published_at_s, error);
	if (result)
		return result;
	if (!id || cm_publication_id_read(note->publication_id, id))
		return cm_json_fail(error, root, "publication_id", CM_E_SYNTAX);
	return CM_OK;
}

int cm_note_read_published(struct cm_note *note, const void *bytes, size_t size,
			   struct cm_json_error *error)
{
	struct cm_json_node root = { .parent = NULL };
	int result = cm_json_load_bytes(bytes, size, &root.value, error);

	if (result)
		return result;
	result = cm_json_check_keys(&root, published_keys, error);
	if (!result)
		result = cm_note_entries_read(note, &root, error);
	if (!result) {
		result = cm_note_read_header(note, &root, error);
		if (result)
			cm_note_finish(note);
	}
	json_decref(root.value);
	return result;
}

char *cm_note_write_published(const struct cm_note *note)
{
	char id[CM_PUBLICATION_ID_TEXT_SIZE];
	json_t *root;
	char *text;

	cm_publication_id_write(note->publication_id, id);
	root = json_pack("{s:I, s:s, s:I}", "version",
			 (json_int_t)note->version, "publication_id", id,
			 "published_at_s", (json_int_t)note->published_at_s);
	if (!root)
		return NULL;
	text = cm_note_entries_write(note, root) ?
		       NULL :
		       json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
