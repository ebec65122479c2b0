#include "chervilmast/note_log.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

void cm_note_log_init(struct cm_note_log *log)
{
	memset(log, 0, sizeof(*log));
	pthread_mutex_init(&log->lock, NULL);
	TAILQ_INIT(&log->entries);
}

static void remove_oldest(struct cm_note_log *log)
{
	struct cm_note_log_entry *entry = TAILQ_FIRST(&log->entries);

	TAILQ_REMOVE(&log->entries, entry, link);
	log->count--;
	log->bytes -= entry->size;
	free(entry);
}

static void remove_all(struct cm_note_log *log)
{
	while (log->count)
		remove_oldest(log);
}

void cm_note_log_finish(struct cm_note_log *log)
{
	remove_all(log);
	pthread_mutex_destroy(&log->lock);
}

static uint64_t last_version(const struct cm_note_log *log)
{
	const struct cm_note_log_entry *last =
		TAILQ_LAST(&log->entries, cm_note_log_list);

	return last ? last->version : 0;
}

static void append(struct cm_note_log *log, struct cm_note_log_entry *entry)
{
	if (last_version(log) + 1 != entry->version)
		remove_all(log);
	TAILQ_INSERT_TAIL(&log->entries, entry, link);
	log->count++;
	log->bytes += entry->size;
	while (log->count > CM_NOTE_LOG_NOTES_MAX ||
	       (log->bytes > CM_NOTE_LOG_BYTES_MAX && log->count > 1))
		remove_oldest(log);
}

int cm_note_log_add(struct cm_note_log *log, uint64_t version, const char *text,
		    size_t size)
{
	struct cm_note_log_entry *entry = malloc(sizeof(*entry) + size);

	pthread_mutex_lock(&log->lock);
	if (entry) {
		entry->version = version;
		entry->size = size;
		memcpy(entry->text, text, size);
		append(log, entry);
	} else {
		remove_all(log);
	}
	pthread_mutex_unlock(&log->lock);
	return entry ? CM_OK : CM_E_MEMORY;
}

/*
 * Returns how many of the notes from @first on, at most @limit, fit into one
 * message. The first note always counts as fitting.
 */
static uint32_t count_fitting(const struct cm_note_log_entry *first,
			      uint32_t limit)
{
	uint32_t count = 0;
	size_t bytes = 0;

	for (; first && count < limit; first = TAILQ_NEXT(first, link)) {
		bytes += first->size;
		if (count && bytes > CM_NOTE_LOG_MESSAGE_BYTES_MAX)
			break;
		count++;
	}
	return count;
}

static int copy_entries(const struct cm_note_log_entry *entry, uint32_t count,
			struct cm_message_notes *notes)
{
	int error = cm_message_notes_reserve(notes, count);

	for (uint32_t i = 0; i < count && !error; i++) {
		error = cm_message_note_set(&notes->items[i], entry->text,
					    entry->size);
		entry = TAILQ_NEXT(entry, link);
	}
	return error;
}

int cm_note_log_collect(struct cm_note_log *log, uint64_t after_version,
			uint32_t limit, struct cm_message_notes *notes)
{
	const struct cm_note_log_entry *entry;
	int error = CM_E_NOT_FOUND;

	pthread_mutex_lock(&log->lock);
	entry = TAILQ_FIRST(&log->entries);
	while (entry && entry->version <= after_version)
		entry = TAILQ_NEXT(entry, link);
	if (entry && entry->version == after_version + 1)
		error = copy_entries(entry, count_fitting(entry, limit), notes);
	pthread_mutex_unlock(&log->lock);
	return error;
}
