/**
 * DOC: The etcd v3 JSON mapping
 *
 * Encodes the bodies of requests and decodes those of answers. In the mapping,
 * keys and values are in base64, 64-bit numbers are strings, and fields that
 * are empty, zero or false are omitted.
 */
#ifndef ADAPTERS_ETCD_CODEC_H
#define ADAPTERS_ETCD_CODEC_H

#include <jansson.h>

#include "ports/store.h"

/**
 * enum cm_etcd_watch - content of one line in the answer to a watch
 * @CM_ETCD_WATCH_NO_CHANGE: no key has changed yet
 * @CM_ETCD_WATCH_CHANGED: a key has changed
 * @CM_ETCD_WATCH_COMPACTED: the start revision of the watch was compacted
 * @CM_ETCD_WATCH_CANCELLED: etcd cancelled the watch
 * @CM_ETCD_WATCH_INVALID: not a valid line of a watch
 */
enum cm_etcd_watch {
	CM_ETCD_WATCH_NO_CHANGE,
	CM_ETCD_WATCH_CHANGED,
	CM_ETCD_WATCH_COMPACTED,
	CM_ETCD_WATCH_CANCELLED,
	CM_ETCD_WATCH_INVALID,
};

/**
 * cm_etcd_range_body() - encode a range or delete request
 * @first: first key
 * @end: end of the range, exclusive; NULL for @first alone
 *
 * Return: a new object, or NULL when out of memory.
 */
json_t *cm_etcd_range_body(const char *first, const char *end);

/**
 * cm_etcd_swap_body() - encode a compare-and-swap transaction
 * @key: key whose revision is compared
 * @revision: revision that it must have; 0 when it must not exist
 * @puts: writes to execute then
 * @count: number of @puts
 *
 * Return: a new object, or NULL when out of memory.
 */
json_t *cm_etcd_swap_body(const char *key, int64_t revision,
			  const struct cm_store_put *puts, size_t count);

/**
 * cm_etcd_watch_body() - encode a watch request
 * @first: first key
 * @end: end of the range, exclusive
 * @revision: first revision to report changes of
 *
 * Return: a new object, or NULL when out of memory.
 */
json_t *cm_etcd_watch_body(const char *first, const char *end,
			   int64_t revision);

/**
 * cm_etcd_check_header() - check that a value has the header of an etcd answer
 * @result: the value
 *
 * Return: 0 or CM_E_PROTOCOL.
 */
int cm_etcd_check_header(const json_t *result);

/**
 * cm_etcd_check_swap() - check whether a transaction succeeded
 * @result: its answer
 *
 * Return: 0, CM_E_CONFLICT or CM_E_PROTOCOL.
 */
int cm_etcd_check_swap(const json_t *result);

/**
 * cm_etcd_decode_items() - decode the answer to a range request
 * @items: set on success
 * @result: the answer
 *
 * Return: 0, CM_E_PROTOCOL or CM_E_MEMORY.
 */
int cm_etcd_decode_items(struct cm_store_items *items, const json_t *result);

/**
 * cm_etcd_decode_error() - translate the status of an answer to an error code
 * @status: its HTTP status
 * @text: its body
 *
 * Return: 0, or an error of struct cm_store_ops.
 */
int cm_etcd_decode_error(unsigned int status, const char *text);

/**
 * cm_etcd_decode_watch() - decode one line in the answer to a watch
 * @text: the line
 * @size: its size, bytes
 *
 * Return: its content.
 */
enum cm_etcd_watch cm_etcd_decode_watch(const char *text, size_t size);

#endif
