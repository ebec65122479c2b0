/**
 * DOC: Helpers to read msgpack maps and to write strings
 *
 * For maps that other programs write: unknown fields are ignored. A required
 * field must be present and have the expected type. Optional fields are read by
 * cm_map_real() and cm_map_is_true(), which return a default instead of an
 * error.
 */
#ifndef ADAPTERS_MSGPACK_MAP_H
#define ADAPTERS_MSGPACK_MAP_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * cm_map_decode() - decode one object
 * @unpacked: set; to be freed with msgpack_unpacked_destroy(), also after an
 *            error
 * @bytes: the bytes; must stay valid as long as @unpacked, which refers to them
 * @size: size of @bytes
 *
 * Return: 0, or CM_E_PROTOCOL for malformed bytes or bytes after the object.
 */
int cm_map_decode(msgpack_unpacked *unpacked, const char *bytes, size_t size);

/**
 * cm_map_field() - look up a field
 * @object: the map
 * @key: name of the field
 *
 * Return: the value, or NULL when @object is not a map or lacks the field.
 */
const msgpack_object *cm_map_field(const msgpack_object *object,
				   const char *key);

/**
 * cm_map_array() - look up a field that is an array
 * @object: the map
 * @key: name of the field
 *
 * Return: the array, or NULL when the field is missing or of another type.
 */
const msgpack_object_array *cm_map_array(const msgpack_object *object,
					 const char *key);

/**
 * cm_map_text() - read a string of 1 to CM_NAME_SIZE - 1 bytes
 * @text: set on success; CM_NAME_SIZE bytes
 * @object: the map
 * @key: name of the field
 *
 * Return: 0, CM_E_MISSING_KEY, CM_E_WRONG_TYPE, CM_E_OUT_OF_RANGE for another
 * length, or CM_E_BAD_NAME for a string that contains a NUL.
 */
int cm_map_text(char *text, const msgpack_object *object, const char *key);

/**
 * cm_map_name() - read a name of any length (cm_name_set())
 * @name: set on success; CM_NAME_SIZE bytes
 * @object: the map
 * @key: name of the field
 *
 * Return: 0, CM_E_MISSING_KEY, CM_E_WRONG_TYPE, CM_E_OUT_OF_RANGE for an empty
 * string, or CM_E_BAD_NAME for a string that contains a NUL.
 */
int cm_map_name(char *name, const msgpack_object *object, const char *key);

/**
 * cm_map_number() - read a non-negative integer
 * @number: set on success
 * @object: the map
 * @key: name of the field
 *
 * Return: 0, CM_E_MISSING_KEY, CM_E_WRONG_TYPE or CM_E_OUT_OF_RANGE.
 */
int cm_map_number(uint64_t *number, const msgpack_object *object,
		  const char *key);

/**
 * cm_map_is_number() - whether a value is an integer or a floating-point number
 * @value: the value
 */
bool cm_map_is_number(const msgpack_object *value);

/**
 * cm_map_real() - read an integer or a floating-point number
 * @object: the map
 * @key: name of the field
 *
 * Return: the number; 0 when the field is missing or of another type.
 */
double cm_map_real(const msgpack_object *object, const char *key);

/**
 * cm_map_is_true() - whether a field is true
 * @object: the map
 * @key: name of the field
 *
 * Return: false also when the field is missing or not a boolean.
 */
bool cm_map_is_true(const msgpack_object *object, const char *key);

/**
 * cm_map_put_text() - write a string
 * @packer: the packer to write to
 * @text: the string, NUL-terminated
 */
void cm_map_put_text(msgpack_packer *packer, const char *text);

#endif
