/**
 * DOC: JSON parsing with validation
 *
 * Reads a JSON object into a struct as described by a table of fields. Rejects
 * unknown, duplicate and missing keys, wrong types and values out of range.
 */
#ifndef CONFIG_JSON_READER_H
#define CONFIG_JSON_READER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum size of a file, bytes. */
#define CM_JSON_FILE_SIZE_MAX (4 * 1024 * 1024)
/** Maximum size of a key path in an error, including its NUL, bytes. */
#define CM_JSON_PATH_SIZE 160

/**
 * struct cm_json_error - where and why JSON was rejected
 * @error: a value of enum cm_error
 * @line: line of a syntax error, from 1; 0 if unknown
 * @column: column of a syntax error, from 1; 0 if unknown
 * @path: path of the key, such as "services.add[2].port"
 * @has_range: whether @minimum and @maximum are set
 * @minimum: minimum allowed value or size
 * @maximum: maximum allowed value or size
 * @choices: allowed strings, terminated by NULL; NULL if any string is allowed
 */
struct cm_json_error {
	int error;
	int line;
	int column;
	char path[CM_JSON_PATH_SIZE];
	bool has_range;
	int64_t minimum;
	int64_t maximum;
	const char *const *choices;
};

/**
 * struct cm_json_node - a JSON value and its location in the document
 * @parent: the object or array that contains it; NULL for the root
 * @key: its key if @parent is an object, else NULL
 * @index: its index if @parent is an array
 * @value: the value
 */
struct cm_json_node {
	const struct cm_json_node *parent;
	const char *key;
	size_t index;
	json_t *value;
};

/**
 * enum cm_json_type - type of a field in JSON and in the struct
 * @CM_JSON_NAME: string of at least one letter, digit, '-', '_' or '.'; a char
 *                array of CM_NAME_SIZE bytes, set by cm_name_set()
 * @CM_JSON_TEXT: string that fits with its NUL into the field's size; a char
 *                array
 * @CM_JSON_ADDRESS: IPv4 address in dotted-decimal notation; a uint32_t in host
 *                   byte order
 * @CM_JSON_ENDPOINT: address and port as in "192.0.2.1:80"; a struct
 *                    cm_endpoint, whose protocol is left unchanged
 * @CM_JSON_U16: integer; a uint16_t
 * @CM_JSON_U32: integer; a uint32_t
 * @CM_JSON_CHOICE: one of the field's choices; an enum of the size of an int,
 *                  whose value is the index of the choice
 * @CM_JSON_PROTOCOL: "tcp" or "udp"; a uint8_t, IPPROTO_TCP or IPPROTO_UDP
 */
enum cm_json_type {
	CM_JSON_NAME,
	CM_JSON_TEXT,
	CM_JSON_ADDRESS,
	CM_JSON_ENDPOINT,
	CM_JSON_U16,
	CM_JSON_U32,
	CM_JSON_CHOICE,
	CM_JSON_PROTOCOL,
};

/**
 * struct cm_json_field - maps a key of a JSON object to a member of a struct
 * @key: the key; NULL terminates a table
 * @type: type of the value
 * @offset: offset of the member in the struct
 * @size: size of the member for CM_JSON_TEXT, bytes
 * @bit: bit of the field in a set of present fields; 0 if it has none
 * @is_optional: the key may be missing; the member is then left unchanged
 * @allows_fraction: a number with a fraction is rounded down to an integer
 * @minimum: minimum allowed value of an integer
 * @maximum: maximum allowed value of an integer
 * @choices: allowed strings for CM_JSON_CHOICE, terminated by NULL
 */
struct cm_json_field {
	const char *key;
	enum cm_json_type type;
	size_t offset;
	size_t size;
	uint32_t bit;
	bool is_optional;
	bool allows_fraction;
	int64_t minimum;
	int64_t maximum;
	const char *const *choices;
};

/**
 * cm_json_load_file() - parse a JSON file
 * @path: path of the file
 * @root: set to the root value, to be released with json_decref()
 * @error: set on failure
 *
 * Return: 0, CM_E_IO, CM_E_TOO_LARGE, CM_E_MEMORY or an error of
 * cm_json_load_bytes().
 */
int cm_json_load_file(const char *path, json_t **root,
		      struct cm_json_error *error);

/**
 * cm_json_load_bytes() - parse a JSON text
 * @bytes: the text
 * @size: length of @bytes
 * @root: set to the root value, to be released with json_decref()
 * @error: set on failure
 *
 * Return: 0, CM_E_SYNTAX, CM_E_DUPLICATE_KEY, CM_E_BAD_ENCODING,
 * CM_E_TOO_DEEP, CM_E_OUT_OF_RANGE for a number beyond the range of the parser,
 * or CM_E_MEMORY.
 */
int cm_json_load_bytes(const void *bytes, size_t size, json_t **root,
		       struct cm_json_error *error);

/**
 * cm_json_fail() - fill in an error
 * @error: the error to fill in
 * @node: value that was rejected, or the object that contains it
 * @key: key of the rejected value in @node, or NULL for @node itself
 * @error_code: a value of enum cm_error
 *
 * Return: @error_code.
 */
int cm_json_fail(struct cm_json_error *error, const struct cm_json_node *node,
		 const char *key, int error_code);

/**
 * cm_json_fail_range() - fill in an error with the allowed range
 * @error: the error to fill in
 * @node: value that was rejected, or the object that contains it
 * @key: key of the rejected value in @node, or NULL for @node itself
 * @error_code: CM_E_OUT_OF_RANGE or CM_E_TOO_LARGE
 * @minimum: minimum allowed value or size
 * @maximum: maximum allowed value or size
 *
 * Return: @error_code.
 */
int cm_json_fail_range(struct cm_json_error *error,
		       const struct cm_json_node *node, const char *key,
		       int error_code, int64_t minimum, int64_t maximum);

/**
 * cm_json_read_fields() - read a JSON object into a struct
 * @node: the object
 * @fields: table of its fields
 * @target: the struct
 * @partial: fields that have a bit may be missing even if they are not optional
 * @present: set to the bits of the fields that are present; may be NULL
 * @error: set on failure
 *
 * Return: 0 or the value of enum cm_error that is set in @error.
 */
int cm_json_read_fields(const struct cm_json_node *node,
			const struct cm_json_field *fields, void *target,
			bool partial, uint32_t *present,
			struct cm_json_error *error);

/**
 * cm_json_write_fields() - write a struct as a JSON object
 * @fields: table of its fields
 * @source: the struct
 * @present: bits of the fields to write; a field without a bit is always
 *           written
 *
 * Return: a new object, or NULL if out of memory.
 */
json_t *cm_json_write_fields(const struct cm_json_field *fields,
			     const void *source, uint32_t present);

/**
 * cm_json_check_keys() - reject unknown keys of an object
 * @node: the object
 * @keys: known keys, terminated by NULL
 * @error: set on failure
 *
 * Return: 0, CM_E_WRONG_TYPE or CM_E_UNKNOWN_KEY.
 */
int cm_json_check_keys(const struct cm_json_node *node, const char *const *keys,
		       struct cm_json_error *error);

#endif
