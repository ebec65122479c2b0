/**
 * DOC: Messages that replicate the registry
 *
 * An instance requests registry changes from the source of its failure domain,
 * and the source answers with them. Both messages also report the health of
 * backend servers.
 *
 * Optional fields follow the others in a map from number to value. A receiver
 * ignores numbers that it does not know. Instances of versions before the map
 * reject a message with it, so it is sent only to instances that are known to
 * read it: a request says so by the invalid token 0 in @suspects, which such
 * instances ignore, and an answer with the map says so of its sender.
 */
#ifndef CHERVILMAST_MESSAGE_ITEMS_H
#define CHERVILMAST_MESSAGE_ITEMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chervilmast/note.h"
#include "chervilmast/server_load.h"

/** Maximum number of tokens in one list of a message. */
#define CM_MESSAGE_TOKENS_MAX 64

/**
 * struct cm_message_tokens - a list of backend servers
 * @tokens: token of each server
 * @count: number of @tokens
 */
struct cm_message_tokens {
	uint32_t tokens[CM_MESSAGE_TOKENS_MAX];
	uint32_t count;
};

/**
 * struct cm_message_items_request - body of ITEMS_REQUEST
 * @name: name of the sender
 * @after_revision: revision of the sender's copy of the registry or, during a
 *                  snapshot transfer, revision up to which it received the
 *                  snapshot; 0 if it has no usable copy
 * @snapshot_incarnation: incarnation of the instance whose snapshot the sender
 *                        is receiving; 0 if there is no transfer
 * @requested_ms: send time of the request by the sender's clock, ms
 * @suspects: servers that the sender suspects from its own observations
 * @stalled: those of @suspects to which the sender saw a caller retransmit data
 * @failures: servers of the sender's flows that failed since its last request,
 *            one entry for each flow
 * @successes: servers of the sender's flows that succeeded since its last
 *             request, one entry for each flow
 * @reads_optional: the sender reads optional fields
 * @has_optional: the optional fields follow
 * @loads_epoch: differs between series of reports of the sender; the receiver
 *               forgets the loads of another series (optional)
 * @loads_complete: with @loads, all loads of the sender are reported (optional)
 * @loads: loads that the sender's flows put on servers (optional)
 */
struct cm_message_items_request {
	char name[CM_NAME_SIZE];
	uint64_t after_revision;
	uint64_t snapshot_incarnation;
	uint64_t requested_ms;
	struct cm_message_tokens suspects;
	struct cm_message_tokens stalled;
	struct cm_message_tokens failures;
	struct cm_message_tokens successes;
	bool reads_optional;
	bool has_optional;
	uint32_t loads_epoch;
	bool loads_complete;
	struct cm_load_list loads;
};

/**
 * struct cm_message_item - an item of the registry
 * @key: its key, NUL-terminated; owned
 * @value: its value; owned; NULL if the item was deleted
 * @size: size of @value, bytes
 * @revision: revision of the registry at its last change
 * @is_deleted: the item was deleted
 */
struct cm_message_item {
	char *key;
	char *value;
	size_t size;
	uint64_t revision;
	bool is_deleted;
};

/**
 * struct cm_message_items - body of ITEMS
 * @after_revision: revision that the items follow. The receiver applies them
 *                  only if its copy of the registry has at least this revision
 *                  or, during a snapshot transfer, if the previous part ended
 *                  at this revision.
 * @revision: revision of the receiver's copy, or end of this part of the
 *            snapshot, once the items are applied; 0 if the sender has no
 *            usable copy
 * @requested_ms: @requested_ms of the request, by the receiver's clock, ms. The
 *            receiver adds the time since then to @age_ms, so that a delayed or
 *            duplicated answer is not taken for a new one.
 * @age_ms: age of the sender's copy of the registry, ms, or
 *          CM_FEED_AGE_UNREACHABLE or CM_FEED_AGE_LEAVING
 * @starts_snapshot: these items are the first part of a snapshot
 * @has_more: the sender has further items, to be requested next
 * @items: the items; owned
 * @count: number of @items
 * @suspects: servers that instances in the sender's failure domain suspect
 * @down: those of @suspects that are down, see down_list.h
 * @ejected: servers that are ejected in the sender's failure domain
 * @has_optional: the optional fields follow
 * @loads_age_ms: age of @loads, ms (optional)
 * @loads: loads that the flows of all instances of the failure domain but the
 *         receiver put on servers (optional)
 */
struct cm_message_items {
	uint64_t after_revision;
	uint64_t revision;
	uint64_t requested_ms;
	uint64_t age_ms;
	bool starts_snapshot;
	bool has_more;
	struct cm_message_item *items;
	uint32_t count;
	struct cm_message_tokens suspects;
	struct cm_message_tokens down;
	struct cm_message_tokens ejected;
	bool has_optional;
	uint64_t loads_age_ms;
	struct cm_load_list loads;
};

#endif
