/**
 * DOC: Reading of msgpack maps
 *
 * Maps of others may hold more than is known here; what is needed must be there
 * and of its type.
 */
#ifndef ADAPTERS_MSGPACK_MAP_H
#define ADAPTERS_MSGPACK_MAP_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * cm_map_open() - decode bytes that are one whole object
 * @unpacked: set; to be destroyed by the caller, also after an error
 * @bytes: the bytes; the object refers to them
 * @size: bytes of @bytes
 *
 * Return: 0 or CM_E_PROTOCOL.
 */
int cm_map_open(msgpack_unpacked *unpacked, const char *bytes, size_t size);

/**
 * cm_map_field() - a field of an object
 * @object: the object
 * @key: the field
 *
 * Return: the value, or NULL when @object is no map or lacks the field.
 */
const msgpack_object *cm_map_field(const msgpack_object *object,
				   const char *key);

/**
 * cm_map_array() - a field that is an array
 * @object: the object
 * @key: the field
 *
 * Return: the array, or NULL when there is none.
 */
const msgpack_object_array *cm_map_array(const msgpack_object *object,
					 const char *key);

/**
 * cm_map_text() - read a text of 1 to CM_NAME_SIZE less one bytes
 * @text: set on success; CM_NAME_SIZE bytes
 * @object: the object
 * @key: the field
 *
 * Return: 0, CM_E_MISSING_KEY, CM_E_WRONG_TYPE, CM_E_OUT_OF_RANGE or
 * CM_E_BAD_NAME.
 */
int cm_map_text(char *text, const msgpack_object *object, const char *key);

/**
 * cm_map_number() - read a whole number from 0 up
 * @number: set on success
 * @object: the object
 * @key: the field
 *
 * Return: 0, CM_E_MISSING_KEY, CM_E_WRONG_TYPE or CM_E_OUT_OF_RANGE.
 */
int cm_map_number(uint64_t *number, const msgpack_object *object,
		  const char *key);

/**
 * cm_map_real() - a number that may have a fraction
 * @object: the object
 * @key: the field
 *
 * Return: the number; 0 when there is none.
 */
double cm_map_real(const msgpack_object *object, const char *key);

/**
 * cm_map_is_true() - whether a field is true
 * @object: the object
 * @key: the field
 *
 * Return: false also when there is none.
 */
bool cm_map_is_true(const msgpack_object *object, const char *key);

/**
 * cm_map_put_text() - write a text
 * @packer: where to
 * @text: the text
 */
void cm_map_put_text(msgpack_packer *packer, const char *text);

#endif
