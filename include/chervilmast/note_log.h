/**
 * DOC: Note log
 *
 * Keeps the published text of the newest release notes, so that peers can get
 * them without the store. The number of notes and their total size are bounded;
 * the oldest notes are evicted first. Thread-safe.
 */
#ifndef CHERVILMAST_NOTE_LOG_H
#define CHERVILMAST_NOTE_LOG_H

#include <pthread.h>
#include <sys/queue.h>

#include "chervilmast/message.h"

/** Maximum number of notes in a log. */
#define CM_NOTE_LOG_NOTES_MAX 256
/**
 * Maximum total size of the texts in a log, bytes. A note above this size is
 * kept as the only one.
 */
#define CM_NOTE_LOG_BYTES_MAX (4 * 1024 * 1024)
/**
 * Maximum total size of the texts in one message, bytes. A note above this size
 * is sent as the only one of its message.
 */
#define CM_NOTE_LOG_MESSAGE_BYTES_MAX (1024 * 1024)

/**
 * struct cm_note_log_entry - one note of a log
 * @link: list links; the list is sorted by version
 * @version: its version
 * @size: size of @text, bytes
 * @text: the published text
 */
struct cm_note_log_entry {
	TAILQ_ENTRY(cm_note_log_entry) link;
	uint64_t version;
	size_t size;
	char text[];
};

TAILQ_HEAD(cm_note_log_list, cm_note_log_entry);

/**
 * struct cm_note_log - a log of release notes
 * @lock: protects all other fields
 * @entries: the notes, of consecutive versions
 * @count: number of @entries
 * @bytes: total size of the texts in @entries
 */
struct cm_note_log {
	pthread_mutex_t lock;
	struct cm_note_log_list entries;
	uint32_t count;
	size_t bytes;
};

/**
 * cm_note_log_init() - initialize an empty log
 * @log: the log to initialize
 */
void cm_note_log_init(struct cm_note_log *log);

/**
 * cm_note_log_finish() - free the contents of a log
 * @log: the log; the structure itself is not freed
 */
void cm_note_log_finish(struct cm_note_log *log);

/**
 * cm_note_log_add() - append a note that came into force
 * @log: the log
 * @version: its version; unless it is the next one after the newest note in the
 *           log, the log is cleared first
 * @text: its published text
 * @size: size of @text, bytes
 *
 * Return: 0, or CM_E_MEMORY, after which the log is empty.
 */
int cm_note_log_add(struct cm_note_log *log, uint64_t version, const char *text,
		    size_t size);

/**
 * cm_note_log_collect() - copy the notes after a version into a message
 * @log: the log
 * @after_version: newest version that the receiver has
 * @limit: maximum number of notes
 * @notes: an empty array; on success set to at least one note if @limit is not
 *         0; to be freed by cm_message_finish(), also on failure
 *
 * Return: 0, CM_E_NOT_FOUND when the log does not hold the note that follows
 * @after_version, or CM_E_MEMORY.
 */
int cm_note_log_collect(struct cm_note_log *log, uint64_t after_version,
			uint32_t limit, struct cm_message_notes *notes);

#endif
