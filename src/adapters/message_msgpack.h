/**
 * DOC: Codec of messages between instances
 *
 * A message is one msgpack array: kind; the sender's data endpoint, control
 * endpoint, failure domain and incarnation; body. Decoding is strict: a message
 * with missing, surplus or invalid elements is rejected as a whole.
 */
#ifndef ADAPTERS_MESSAGE_MSGPACK_H
#define ADAPTERS_MESSAGE_MSGPACK_H

#include "chervilmast/message.h"

/**
 * cm_message_write() - encode a message
 * @message: the message
 * @bytes: set to memory that is to be freed with free()
 * @size: set to the size of @bytes
 *
 * Return: 0, CM_E_MEMORY, or CM_E_UNSUPPORTED for an unknown kind.
 */
int cm_message_write(const struct cm_message *message, char **bytes,
		     size_t *size);

/**
 * cm_message_read() - decode a message
 * @message: set on success; to be freed with cm_message_finish()
 * @bytes: the encoded message
 * @size: size of @bytes
 *
 * Return: 0, or CM_E_TRUNCATED (incomplete, or an array lacks elements),
 * CM_E_MALFORMED (invalid msgpack, or bytes after its end), CM_E_UNSUPPORTED
 * (unknown kind), CM_E_WRONG_TYPE, CM_E_OUT_OF_RANGE, CM_E_BAD_NAME (text with
 * a NUL), CM_E_TOO_LARGE or CM_E_MEMORY.
 */
int cm_message_read(struct cm_message *message, const char *bytes, size_t size);

#endif
