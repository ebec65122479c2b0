/**
 * DOC: Outbox
 *
 * The core does no I/O. It appends outgoing messages with their destinations
 * to a list that the calling program owns and sends.
 */
#ifndef CHERVILMAST_OUTBOX_H
#define CHERVILMAST_OUTBOX_H

#include "chervilmast/message.h"

/**
 * struct cm_outbox_item - one message to send
 * @to: control address of the receiver
 * @message: the message
 */
struct cm_outbox_item {
	struct cm_endpoint to;
	struct cm_message message;
};

/**
 * struct cm_outbox - messages to send
 * @items: the messages, in order; owned
 * @count: number of @items
 * @capacity: allocated length of @items
 */
struct cm_outbox {
	struct cm_outbox_item *items;
	size_t count;
	size_t capacity;
};

/**
 * cm_outbox_init() - initialize an empty outbox
 * @outbox: uninitialized memory, owned by the calling function
 */
void cm_outbox_init(struct cm_outbox *outbox);

/**
 * cm_outbox_finish() - free the messages of an outbox and its array
 * @outbox: the outbox; the struct itself is not freed
 */
void cm_outbox_finish(struct cm_outbox *outbox);

/**
 * cm_outbox_clear() - free all messages but keep the allocated array
 * @outbox: the outbox
 */
void cm_outbox_clear(struct cm_outbox *outbox);

/**
 * cm_outbox_add() - append a message
 * @outbox: the outbox
 * @to: control address of the receiver
 * @kind: kind of message
 *
 * Return: the new empty message, valid until the next one is added, or NULL if
 * out of memory.
 */
struct cm_message *cm_outbox_add(struct cm_outbox *outbox,
				 const struct cm_endpoint *to,
				 enum cm_message_kind kind);

#endif
