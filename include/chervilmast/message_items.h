/**
 * DOC: Messages with items of the registry
 *
 * What an instance asks the source of its failure domain, and what the source
 * answers. With it go, both ways, what each saw of backend servers.
 */
#ifndef CHERVILMAST_MESSAGE_ITEMS_H
#define CHERVILMAST_MESSAGE_ITEMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chervilmast/note.h"

/** Most tokens in one list of a message. */
#define CM_MESSAGE_TOKENS_MAX 64

/**
 * struct cm_message_tokens - a list of backend servers
 * @tokens: tokens of the servers
 * @count: number of @tokens
 */
struct cm_message_tokens {
	uint32_t tokens[CM_MESSAGE_TOKENS_MAX];
	uint32_t count;
};

/**
 * struct cm_message_items_request - body of ITEMS_REQUEST
 * @name: name of the sender
 * @after: revision up to which the sender knows the registry, or has the
 *         snapshot that it is being given; 0 for nothing
 * @snapshot_of: incarnation of the instance that gives it a snapshot; 0 for
 * none
 * @asked_ms: when the sender asks, by its own clock
 * @suspects: servers that the sender suspects by what it saw itself
 * @failures: server of each flow that it saw fail since the last question
 * @successes: server of each flow that it saw end well since then
 */
struct cm_message_items_request {
	char name[CM_NAME_SIZE];
	uint64_t after;
	uint64_t snapshot_of;
	uint64_t asked_ms;
	struct cm_message_tokens suspects;
	struct cm_message_tokens failures;
	struct cm_message_tokens successes;
};

/**
 * struct cm_message_item - an item of the registry
 * @key: its key, NUL-terminated; owned
 * @value: its value; owned; NULL when it went
 * @size: bytes of @value
 * @revision: revision of the registry at its last change
 * @is_gone: it went
 */
struct cm_message_item {
	char *key;
	char *value;
	size_t size;
	uint64_t revision;
	bool is_gone;
};

/**
 * struct cm_message_items - body of ITEMS
 * @after: revision up to which the receiver must know the registry, or have the
 *         snapshot
 * @revision: revision up to which it knows the registry, or has the snapshot,
 *            with these items; 0 while the sender knows nothing
 * @asked_ms: time of the request, by the receiver's clock: an answer that was
 *            delayed, or comes a second time, is as old as that
 * @age_ms: age of what the sender knows of the registry, CM_FEED_AGE_LOST or
 *          CM_FEED_AGE_LEAVING
 * @is_all: a snapshot begins with these items
 * @has_more: another part follows when it is asked for
 * @items: the items; owned
 * @count: number of @items
 * @suspects: servers that instances of the sender's domain suspect
 * @ejected: servers that are ejected there
 */
struct cm_message_items {
	uint64_t after;
	uint64_t revision;
	uint64_t asked_ms;
	uint64_t age_ms;
	bool is_all;
	bool has_more;
	struct cm_message_item *items;
	uint32_t count;
	struct cm_message_tokens suspects;
	struct cm_message_tokens ejected;
};

#endif
