/**
 * DOC: Note follower of an instance, in virtual time
 *
 * Runs the real note feed on a node. Makes the calls to a store in memory that
 * a thread of the daemon makes to the real one.
 */
#ifndef FAKE_FOLLOWER_H
#define FAKE_FOLLOWER_H

#include "config/publication.h"
#include "daemon/note_feed.h"
#include "fake/store.h"

/** Prefix of all keys in the store. */
#define FAKE_PREFIX "p/"

/**
 * struct fake_follower - follows the release notes of the store
 * @node: node that the notes are applied to
 * @store: client of the store; the owner sets its fault
 * @feed: its note feed
 * @publication: the release notes in the store
 * @now_ms: current time, ms
 * @step: step that is under way
 * @until_ms: time at which @step ends, ms
 * @revision: revision of the store at the last read
 * @version: version in force after the last run
 */
struct fake_follower {
	struct cm_node *node;
	struct fake_store *store;
	struct cm_note_feed feed;
	struct cm_publication publication;
	uint64_t now_ms;
	enum cm_follow_step step;
	uint64_t until_ms;
	int64_t revision;
	uint64_t version;
};

/**
 * fake_follower_init() - make a follower with no release note
 * @follower: memory of the caller
 * @node: node that the notes are applied to
 * @self: member record of this instance
 * @store: client of the store
 * @now_ms: current time, ms
 */
void fake_follower_init(struct fake_follower *follower, struct cm_node *node,
			const struct cm_member *self, struct fake_store *store,
			uint64_t now_ms);

/**
 * fake_follower_finish() - free the note feed
 * @follower: the follower; its memory stays the caller's
 */
void fake_follower_finish(struct fake_follower *follower);

/**
 * fake_follower_run() - end or begin the step that is due
 * @follower: the follower
 * @now_ms: current time, ms
 * @call_ms: duration of one call to the store, ms
 *
 * Return: false when the version in force is lower than after the last run.
 */
bool fake_follower_run(struct fake_follower *follower, uint64_t now_ms,
		       uint32_t call_ms);

/**
 * fake_follower_heartbeat() - make a heartbeat with the version in force
 * @follower: the follower
 * @message: set to the heartbeat
 * @kind: CM_MESSAGE_HEARTBEAT or CM_MESSAGE_HEARTBEAT_ACK
 */
void fake_follower_heartbeat(struct fake_follower *follower,
			     struct cm_message *message,
			     enum cm_message_kind kind);

#endif
