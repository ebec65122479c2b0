/**
 * DOC: Note feed
 *
 * The only place where release notes are put in force, so that notes from the
 * store and notes from other instances pass the same checks. The feed also
 * serves notes to other instances on request. Its functions can be called from
 * several threads at once.
 */
#ifndef DAEMON_NOTE_FEED_H
#define DAEMON_NOTE_FEED_H

#include "chervilmast/node.h"
#include "chervilmast/note_follower.h"
#include "chervilmast/note_log.h"
#include "config/catalog_json.h"
#include "ports/peers.h"

/**
 * enum cm_note_origin - origin of a release note or snapshot
 * @CM_NOTE_FROM_STORE: the store
 * @CM_NOTE_FROM_PEER: another instance
 */
enum cm_note_origin {
	CM_NOTE_FROM_STORE,
	CM_NOTE_FROM_PEER,
};

/**
 * struct cm_note_feed - release notes of an instance
 * @node: node in which notes are put in force
 * @self: this instance
 * @follower: checks the versions of notes, and selects the peer to request them
 *            from
 * @log: the newest notes, to serve to peers
 * @lock: guards the fields below, and is held while a note is put in force
 * @reader: snapshot that is being received from a peer, in parts
 * @served: snapshot that is served to peers, in parts
 * @served_version: version of @served; 0 if there is none
 */
struct cm_note_feed {
	struct cm_node *node;
	struct cm_member self;
	struct cm_note_follower follower;
	struct cm_note_log log;
	pthread_mutex_t lock;
	struct cm_snapshot_reader reader;
	struct cm_snapshot_parts served;
	uint64_t served_version;
};

/**
 * cm_note_feed_init() - initialise a feed without notes
 * @feed: memory owned by the calling function
 * @node: node in which notes are put in force
 * @self: this instance
 * @now_ms: current time
 */
void cm_note_feed_init(struct cm_note_feed *feed, struct cm_node *node,
		       const struct cm_member *self, uint64_t now_ms);

/**
 * cm_note_feed_finish() - free the resources of a feed
 * @feed: the feed; the struct itself is not freed
 */
void cm_note_feed_finish(struct cm_note_feed *feed);

/**
 * cm_note_feed_apply_note() - check a release note and put it in force
 * @feed: the feed
 * @now_ms: current time
 * @origin: origin of the note
 * @note: the note
 * @text: the note as published
 * @size: length of @text, bytes
 *
 * Return: 0, CM_E_STALE if the version is not newer than the one in force,
 * CM_E_VERSION_GAP if a note before it is missing, CM_E_CONTRADICTION if
 * another note with the same version is known or the store contradicts the note
 * in force, or an error of cm_node_apply_note(); on failure nothing changes.
 */
int cm_note_feed_apply_note(struct cm_note_feed *feed, uint64_t now_ms,
			    enum cm_note_origin origin,
			    const struct cm_note *note, const char *text,
			    size_t size);

/**
 * cm_note_feed_apply_snapshot() - check a snapshot and put it in force
 * @feed: the feed
 * @now_ms: current time
 * @origin: origin of the snapshot
 * @catalog: the catalog; taken over on success
 * @history: history of candidate sets of @catalog; taken over on success
 *
 * Return: 0, CM_E_STALE, CM_E_CONTRADICTION or CM_E_MEMORY; on failure nothing
 * changes.
 */
int cm_note_feed_apply_snapshot(struct cm_note_feed *feed, uint64_t now_ms,
				enum cm_note_origin origin,
				struct cm_catalog *catalog,
				struct cm_history *history);

/**
 * cm_note_feed_receive() - handle a message from another instance
 * @feed: the feed
 * @now_ms: current time
 * @message: the message; kinds other than heartbeats, acknowledgements, notes
 *           and requests for notes are ignored
 * @answer: set if there is an answer
 *
 * Return: true if @answer was set; the calling function then calls
 * cm_message_finish() on it.
 */
bool cm_note_feed_receive(struct cm_note_feed *feed, uint64_t now_ms,
			  const struct cm_message *message,
			  struct cm_message *answer);

/**
 * cm_note_feed_tick() - request notes from a peer if a request is due
 * @feed: the feed
 * @now_ms: current time
 * @peers: connections to the other instances
 */
void cm_note_feed_tick(struct cm_note_feed *feed, uint64_t now_ms,
		       struct cm_peers *peers);

#endif
