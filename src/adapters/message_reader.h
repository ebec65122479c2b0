/**
 * DOC: Reading of msgpack arrays
 *
 * A reader iterates over an array. All readers of a message share one error:
 * after the first one, each of them returns no more values.
 */
#ifndef ADAPTERS_MESSAGE_READER_H
#define ADAPTERS_MESSAGE_READER_H

#include <msgpack.h>

#include "chervilmast/message.h"

/**
 * struct cm_reader - unread rest of a msgpack array
 * @next: the next element
 * @remaining: number of unread elements
 * @error: first error, 0 for none; shared by the readers of one message
 */
struct cm_reader {
	const msgpack_object *next;
	uint32_t remaining;
	int *error;
};

/** cm_reader_fail() - set the error of the message, unless it has one */
void cm_reader_fail(struct cm_reader *reader, int error);

/** cm_reader_next() - read the next element, of the given type; NULL after any
 * error */
const msgpack_object *cm_reader_next(struct cm_reader *reader,
				     msgpack_object_type type);

/** cm_reader_number() - read a number up to @maximum; 0 after any error */
uint64_t cm_reader_number(struct cm_reader *reader, uint64_t maximum);

/** cm_reader_name() - read a name of any length into CM_NAME_SIZE bytes
 * (cm_name_set()) */
void cm_reader_name(struct cm_reader *reader, char *name);

/**
 * cm_reader_array() - return a reader of an array of up to @maximum elements
 */
struct cm_reader cm_reader_array(struct cm_reader *reader, uint32_t maximum);

/**
 * cm_reader_struct() - return a reader of an array of exactly @fields elements
 */
struct cm_reader cm_reader_struct(struct cm_reader *reader, uint32_t fields);

/**
 * cm_reader_open_struct() - return a reader of an array of at least @fields
 * elements
 *
 * Further elements are optional fields, or fields of a later version. Fails
 * with CM_E_TRUNCATED for a shorter array.
 */
struct cm_reader cm_reader_open_struct(struct cm_reader *reader,
				       uint32_t fields);

/** cm_message_read_items_request() - read the body of ITEMS_REQUEST */
void cm_message_read_items_request(struct cm_reader *outer,
				   struct cm_message *message);

/** cm_message_read_items() - read the body of ITEMS */
void cm_message_read_items(struct cm_reader *outer, struct cm_message *message);

#endif
