#include "json_reader.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <math.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "adapters/socket.h"
#include "chervilmast/error.h"
#include "chervilmast/note.h"

/* Index 0 is TCP, 1 is UDP: see read_protocol() and write_field(). */
static const char *const protocols[] = { "tcp", "udp", NULL };

/*
 * Replaces non-printable characters. An unknown key may contain a line break,
 * which would split the error message into two lines.
 */
static void path_sanitize(char *path)
{
	for (; *path; path++)
		if (!isprint((unsigned char)*path))
			*path = '?';
}

static void path_append(char *path, const struct cm_json_node *node)
{
	size_t used;

	if (!node)
		return;
	path_append(path, node->parent);
	used = strlen(path);
	if (node->key)
		snprintf(path + used, CM_JSON_PATH_SIZE - used, "%s%s",
			 used ? "." : "", node->key);
	else if (node->parent)
		snprintf(path + used, CM_JSON_PATH_SIZE - used, "[%zu]",
			 node->index);
}

int cm_json_fail(struct cm_json_error *error, const struct cm_json_node *node,
		 const char *key, int error_code)
{
	struct cm_json_node leaf = { .parent = node, .key = key };

	memset(error, 0, sizeof(*error));
	error->error = error_code;
	path_append(error->path, key ? &leaf : node);
	path_sanitize(error->path);
	return error_code;
}

int cm_json_fail_range(struct cm_json_error *error,
		       const struct cm_json_node *node, const char *key,
		       int error_code, int64_t minimum, int64_t maximum)
{
	cm_json_fail(error, node, key, error_code);
	error->has_range = true;
	error->minimum = minimum;
	error->maximum = maximum;
	return error_code;
}

static int fail_choice(struct cm_json_error *error,
		       const struct cm_json_node *node, const char *key,
		       const char *const *choices)
{
	cm_json_fail(error, node, key, CM_E_OUT_OF_RANGE);
	error->choices = choices;
	return CM_E_OUT_OF_RANGE;
}

static bool name_is_valid(const char *name)
{
	size_t length = strlen(name);

	if (!length)
		return false;
	for (size_t i = 0; i < length; i++)
		if (!isalnum((unsigned char)name[i]) && !strchr("-_.", name[i]))
			return false;
	return true;
}

static int read_text(const struct cm_json_node *node,
		     const struct cm_json_field *field, const json_t *value,
		     char *target, struct cm_json_error *error)
{
	const char *text = json_string_value(value);
	size_t length;

	if (!text)
		return cm_json_fail(error, node, field->key, CM_E_WRONG_TYPE);
	length = strlen(text);
	if (field->type == CM_JSON_NAME) {
		if (!name_is_valid(text))
			return cm_json_fail(error, node, field->key,
					    CM_E_BAD_NAME);
		cm_name_set(target, text, length);
		return CM_OK;
	}
	if (length >= field->size)
		return cm_json_fail_range(error, node, field->key,
					  CM_E_TOO_LARGE, 0,
					  (int64_t)field->size - 1);
	memcpy(target, text, length + 1);
	return CM_OK;
}

static int read_address(const struct cm_json_node *node,
			const struct cm_json_field *field, const json_t *value,
			uint32_t *target, struct cm_json_error *error)
{
	const char *text = json_string_value(value);
	struct in_addr address;

	if (!text)
		return cm_json_fail(error, node, field->key, CM_E_WRONG_TYPE);
	if (inet_pton(AF_INET, text, &address) != 1 || !address.s_addr)
		return cm_json_fail(error, node, field->key, CM_E_BAD_ADDRESS);
	*target = ntohl(address.s_addr);
	return CM_OK;
}

static int read_endpoint(const struct cm_json_node *node,
			 const struct cm_json_field *field, const json_t *value,
			 struct cm_endpoint *target,
			 struct cm_json_error *error)
{
	const char *text = json_string_value(value);

	if (!text)
		return cm_json_fail(error, node, field->key, CM_E_WRONG_TYPE);
	if (cm_endpoint_parse(target, text))
		return cm_json_fail(error, node, field->key, CM_E_BAD_ADDRESS);
	return CM_OK;
}

static int read_integer(const struct cm_json_node *node,
			const struct cm_json_field *field, const json_t *value,
			void *target, struct cm_json_error *error)
{
	double number = floor(json_number_value(value));

	if (!json_is_integer(value) &&
	    !(field->allows_fraction && json_is_real(value)))
		return cm_json_fail(error, node, field->key, CM_E_WRONG_TYPE);
	if (number < (double)field->minimum || number > (double)field->maximum)
		return cm_json_fail_range(error, node, field->key,
					  CM_E_OUT_OF_RANGE, field->minimum,
					  field->maximum);
	if (field->type == CM_JSON_U16)
		*(uint16_t *)target = (uint16_t)number;
	else
		*(uint32_t *)target = (uint32_t)number;
	return CM_OK;
}

/* Sets @target to the index of the string in @choices. */
static int read_choice(const struct cm_json_node *node,
		       const struct cm_json_field *field, const json_t *value,
		       const char *const *choices, int *target,
		       struct cm_json_error *error)
{
	const char *text = json_string_value(value);

	if (!text)
		return cm_json_fail(error, node, field->key, CM_E_WRONG_TYPE);
	for (int i = 0; choices[i]; i++) {
		if (strcmp(choices[i], text) != 0)
			continue;
		*target = i;
		return CM_OK;
	}
	return fail_choice(error, node, field->key, choices);
}

static int read_protocol(const struct cm_json_node *node,
			 const struct cm_json_field *field, const json_t *value,
			 uint8_t *target, struct cm_json_error *error)
{
	int choice;
	int result = read_choice(node, field, value, protocols, &choice, error);

	if (!result)
		*target = choice ? IPPROTO_UDP : IPPROTO_TCP;
	return result;
}

static int read_field(const struct cm_json_node *node,
		      const struct cm_json_field *field, const json_t *value,
		      void *target, struct cm_json_error *error)
{
	void *member = (char *)target + field->offset;

	switch (field->type) {
	case CM_JSON_NAME:
	case CM_JSON_TEXT:
		return read_text(node, field, value, member, error);
	case CM_JSON_ADDRESS:
		return read_address(node, field, value, member, error);
	case CM_JSON_ENDPOINT:
		return read_endpoint(node, field, value, member, error);
	case CM_JSON_U16:
	case CM_JSON_U32:
		return read_integer(node, field, value, member, error);
	case CM_JSON_CHOICE:
		return read_choice(node, field, value, field->choices, member,
				   error);
	case CM_JSON_PROTOCOL:
		return read_protocol(node, field, value, member, error);
	}
	return CM_E_WRONG_TYPE;
}

static const struct cm_json_field *
find_field(const struct cm_json_field *fields, const char *key)
{
	for (; fields->key; fields++)
		if (!strcmp(fields->key, key))
			return fields;
	return NULL;
}

int cm_json_read_fields(const struct cm_json_node *node,
			const struct cm_json_field *fields, void *target,
			bool partial, uint32_t *present,
			struct cm_json_error *error)
{
	const char *key;
	json_t *value;
	uint32_t found = 0;

	if (!json_is_object(node->value))
		return cm_json_fail(error, node, NULL, CM_E_WRONG_TYPE);
	json_object_foreach (node->value, key, value) {
		if (!find_field(fields, key))
			return cm_json_fail(error, node, key, CM_E_UNKNOWN_KEY);
	}
	for (; fields->key; fields++) {
		int result;

		value = json_object_get(node->value, fields->key);
		if (!value && (fields->is_optional || (partial && fields->bit)))
			continue;
		if (!value)
			return cm_json_fail(error, node, fields->key,
					    CM_E_MISSING_KEY);
		result = read_field(node, fields, value, target, error);
		if (result)
			return result;
		found |= fields->bit;
	}
	if (present)
		*present = found;
	return CM_OK;
}

static json_t *write_address(uint32_t address)
{
	struct in_addr in = { .s_addr = htonl(address) };
	char text[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &in, text, sizeof(text));
	return json_string(text);
}

static json_t *write_endpoint(const struct cm_endpoint *endpoint)
{
	char text[CM_ENDPOINT_TEXT_SIZE];

	return json_string(cm_endpoint_write(endpoint, text));
}

static json_t *write_field(const struct cm_json_field *field,
			   const void *source)
{
	const void *member = (const char *)source + field->offset;

	switch (field->type) {
	case CM_JSON_NAME:
	case CM_JSON_TEXT:
		return json_string(member);
	case CM_JSON_ADDRESS:
		return write_address(*(const uint32_t *)member);
	case CM_JSON_ENDPOINT:
		return write_endpoint(member);
	case CM_JSON_U16:
		return json_integer(*(const uint16_t *)member);
	case CM_JSON_U32:
		return json_integer(*(const uint32_t *)member);
	case CM_JSON_CHOICE:
		return json_string(field->choices[*(const int *)member]);
	case CM_JSON_PROTOCOL:
		return json_string(
			protocols[*(const uint8_t *)member == IPPROTO_UDP]);
	}
	return NULL;
}

json_t *cm_json_write_fields(const struct cm_json_field *fields,
			     const void *source, uint32_t present)
{
	json_t *object = json_object();

	if (!object)
		return NULL;
	for (; fields->key; fields++) {
		if (fields->bit && !(present & fields->bit))
			continue;
		if (json_object_set_new(object, fields->key,
					write_field(fields, source))) {
			json_decref(object);
			return NULL;
		}
	}
	return object;
}

int cm_json_check_keys(const struct cm_json_node *node, const char *const *keys,
		       struct cm_json_error *error)
{
	const char *key;
	json_t *value;

	if (!json_is_object(node->value))
		return cm_json_fail(error, node, NULL, CM_E_WRONG_TYPE);
	json_object_foreach (node->value, key, value) {
		const char *const *known = keys;

		while (*known && strcmp(*known, key) != 0)
			known++;
		if (!*known)
			return cm_json_fail(error, node, key, CM_E_UNKNOWN_KEY);
	}
	return CM_OK;
}
