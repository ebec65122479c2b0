/**
 * DOC: Reading of msgpack arrays
 *
 * A reader walks through an array; the first error ends what all readers of the
 * message give.
 */
#ifndef ADAPTERS_MESSAGE_READER_H
#define ADAPTERS_MESSAGE_READER_H

#include <msgpack.h>

#include "chervilmast/message.h"

/**
 * struct cm_reader - the rest of a msgpack array
 * @at: the next item
 * @left: items that are left
 * @error: the first error; shared by the readers of one message
 */
struct cm_reader {
	const msgpack_object *at;
	uint32_t left;
	int *error;
};

/** cm_reader_fail() - set the error of the message, unless it has one */
void cm_reader_fail(struct cm_reader *reader, int error);

/** cm_reader_next() - the next item when it has the type; NULL after any error
 */
const msgpack_object *cm_reader_next(struct cm_reader *reader,
				     msgpack_object_type type);

/** cm_reader_number() - the next item, a number up to @maximum; 0 on error */
uint64_t cm_reader_number(struct cm_reader *reader, uint64_t maximum);

/** cm_reader_text() - the next item, text of less than CM_NAME_SIZE bytes */
void cm_reader_text(struct cm_reader *reader, char *text);

/** cm_reader_array() - a reader of the next item, up to @maximum items */
struct cm_reader cm_reader_array(struct cm_reader *reader, uint32_t maximum);

/** cm_reader_struct() - a reader of the next item, exactly @fields items */
struct cm_reader cm_reader_struct(struct cm_reader *reader, uint32_t fields);

/** cm_message_read_items_request() - body of ITEMS_REQUEST */
void cm_message_read_items_request(struct cm_reader *outer,
				   struct cm_message *message);

/** cm_message_read_items() - body of ITEMS */
void cm_message_read_items(struct cm_reader *outer, struct cm_message *message);

#endif
