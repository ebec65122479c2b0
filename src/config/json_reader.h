/**
 * DOC: Checked reading of JSON
 *
 * Reads values of known keys into fields of a struct by a table, and refuses
 * unknown, duplicate and missing keys, wrong types and values out of range.
 */
#ifndef CONFIG_JSON_READER_H
#define CONFIG_JSON_READER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Largest file that is read, bytes. */
#define CM_JSON_FILE_SIZE_MAX (4 * 1024 * 1024)
/** Room for the path of a key within a file. */
#define CM_JSON_PATH_SIZE 160

/**
 * struct cm_json_error - where and why JSON was refused
 * @error: a number of enum cm_error
 * @line: line from 1 on; 0 when the parser does not know it
 * @column: column from 1 on; 0 when the parser does not know it
 * @path: path of the key, as in "services.add[2].port"
 * @has_range: @minimum and @maximum are set
 * @minimum: smallest value allowed
 * @maximum: largest value allowed
 * @choices: strings allowed, NULL at their end; NULL when it is no choice
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
 * struct cm_json_scope - a value and the way to it from the root
 * @parent: the value that holds it, or NULL
 * @key: its key in an object, or NULL
 * @index: its index in an array
 * @value: the value
 */
struct cm_json_scope {
	const struct cm_json_scope *parent;
	const char *key;
	size_t index;
	json_t *value;
};

/**
 * enum cm_json_type - how a field is read
 * @CM_JSON_NAME: string of 1 to 31 letters, digits, '-', '_' and '.'
 * @CM_JSON_TEXT: string of at most @size less one bytes
 * @CM_JSON_ADDRESS: IPv4 address in dotted form into a uint32_t
 * @CM_JSON_ENDPOINT: string as in "192.0.2.1:80" into a struct cm_endpoint,
 *                    whose protocol stays as it is
 * @CM_JSON_U16: integer into a uint16_t
 * @CM_JSON_U32: integer into a uint32_t
 * @CM_JSON_CHOICE: one of some strings into an int-sized enum
 * @CM_JSON_PROTOCOL: "tcp" or "udp" into a uint8_t
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
 * struct cm_json_field - one key of an object
 * @key: the key; NULL ends a table
 * @type: how it is read
 * @offset: where in the struct it goes
 * @size: room in the struct, for CM_JSON_TEXT
 * @bit: bit that stands for it in the set of fields present
 * @optional: it may be left out, and the struct keeps its value
 * @minimum: smallest value allowed, for integers
 * @maximum: largest value allowed, for integers
 * @choices: allowed strings, for CM_JSON_CHOICE; NULL ends them
 */
struct cm_json_field {
	const char *key;
	enum cm_json_type type;
	size_t offset;
	size_t size;
	uint32_t bit;
	bool optional;
	int64_t minimum;
	int64_t maximum;
	const char *const *choices;
};

/**
 * cm_json_load_file() - parse a file
 * @path: the file
 * @root: set to a value that the caller releases with json_decref()
 * @error: set on failure
 *
 * Return: 0, CM_E_IO, CM_E_TOO_LARGE, CM_E_MEMORY or an error of
 * cm_json_load_bytes().
 */
int cm_json_load_file(const char *path, json_t **root,
		      struct cm_json_error *error);

/**
 * cm_json_load_bytes() - parse a buffer
 * @bytes: the text
 * @size: its bytes
 * @root: set to a value that the caller releases with json_decref()
 * @error: set on failure
 *
 * Return: 0, CM_E_SYNTAX, CM_E_DUPLICATE_KEY, CM_E_BAD_ENCODING,
 * CM_E_TOO_DEEP or CM_E_MEMORY.
 */
int cm_json_load_bytes(const void *bytes, size_t size, json_t **root,
		       struct cm_json_error *error);

/**
 * cm_json_fail() - set an error at a place
 * @error: set
 * @scope: the place
 * @key: key within it, or NULL for the place itself
 * @number: a number of enum cm_error
 *
 * Return: @number.
 */
int cm_json_fail(struct cm_json_error *error, const struct cm_json_scope *scope,
		 const char *key, int number);

/**
 * cm_json_fail_range() - set CM_E_OUT_OF_RANGE or CM_E_TOO_LARGE at a place
 * @error: set
 * @scope: the place
 * @key: key within it, or NULL for the place itself
 * @number: a number of enum cm_error
 * @minimum: smallest value allowed
 * @maximum: largest value allowed
 *
 * Return: @number.
 */
int cm_json_fail_range(struct cm_json_error *error,
		       const struct cm_json_scope *scope, const char *key,
		       int number, int64_t minimum, int64_t maximum);

/**
 * cm_json_read_fields() - read an object into a struct
 * @scope: the object
 * @fields: the keys it has
 * @target: the struct
 * @partial: keys may be left out although they are not optional
 * @present: set to the bits of the keys that were there; may be NULL
 * @error: set on failure
 *
 * Return: 0 or the error.
 */
int cm_json_read_fields(const struct cm_json_scope *scope,
			const struct cm_json_field *fields, void *target,
			bool partial, uint32_t *present,
			struct cm_json_error *error);

/**
 * cm_json_write_fields() - write a struct as an object
 * @fields: the keys
 * @source: the struct
 * @present: bits of the keys to write; keys without a bit are always written
 *
 * Return: a new object, or NULL without memory.
 */
json_t *cm_json_write_fields(const struct cm_json_field *fields,
			     const void *source, uint32_t present);

/**
 * cm_json_check_keys() - refuse keys that are not in a list
 * @scope: an object
 * @keys: the list; NULL ends it
 * @error: set on failure
 *
 * Return: 0, CM_E_WRONG_TYPE or CM_E_UNKNOWN_KEY.
 */
int cm_json_check_keys(const struct cm_json_scope *scope,
		       const char *const *keys, struct cm_json_error *error);

#endif
