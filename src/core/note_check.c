#include "chervilmast/note.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

/**
 * struct entry_name - the item that an entry of a note names
 * @name: its name
 * @index: index of the entry in its list
 * @change: kind of the change
 */
struct entry_name {
	const char *name;
	size_t index;
	enum cm_change_kind change;
};

static int compare_entries(const void *left, const void *right)
{
	const struct entry_name *a = left;
	const struct entry_name *b = right;
	int order = strncmp(a->name, b->name, CM_NAME_SIZE);

	if (order)
		return order;
	return a->index < b->index ? -1 : a->index > b->index;
}

/* Returns the first entry, in the note's order, that repeats a name. */
static const struct entry_name *find_repeated(struct entry_name *entries,
					      size_t count)
{
	const struct entry_name *found = NULL;

	qsort(entries, count, sizeof(*entries), compare_entries);
	for (size_t i = 1; i < count; i++) {
		if (!cm_name_equal(entries[i - 1].name, entries[i].name))
			continue;
		if (!found || entries[i].index < found->index)
			found = &entries[i];
	}
	return found;
}

/* Frees @entries. */
static int check_entries(struct entry_name *entries, size_t count,
			 const char *list,
			 struct cm_note_rejected_entry *rejected)
{
	const struct entry_name *repeated;

	if (!entries)
		return CM_E_MEMORY;
	repeated = find_repeated(entries, count);
	if (repeated && rejected) {
		rejected->list = list;
		rejected->change = repeated->change;
		memcpy(rejected->name, repeated->name, CM_NAME_SIZE);
	}
	free(entries);
	return repeated ? CM_E_DUPLICATE_ITEM : CM_OK;
}

static void entry_set(struct entry_name *entries, size_t index,
		      const char *name, enum cm_change_kind change)
{
	if (!entries)
		return;
	entries[index].name = name;
	entries[index].index = index;
	entries[index].change = change;
}

static int check_domains(const struct cm_note *note,
			 struct cm_note_rejected_entry *rejected)
{
	size_t count = note->domain_count;
	struct entry_name *entries = calloc(count + 1, sizeof(*entries));

	for (size_t i = 0; i < count; i++)
		entry_set(entries, i, note->domains[i].spec.name,
			  note->domains[i].change);
	return check_entries(entries, count, "failure_domains", rejected);
}

static int check_services(const struct cm_note *note,
			  struct cm_note_rejected_entry *rejected)
{
	size_t count = note->service_count;
	struct entry_name *entries = calloc(count + 1, sizeof(*entries));

	for (size_t i = 0; i < count; i++)
		entry_set(entries, i, note->services[i].spec.name,
			  note->services[i].change);
	return check_entries(entries, count, "services", rejected);
}

static int check_servers(const struct cm_note *note,
			 struct cm_note_rejected_entry *rejected)
{
	size_t count = note->server_count;
	struct entry_name *entries = calloc(count + 1, sizeof(*entries));

	for (size_t i = 0; i < count; i++)
		entry_set(entries, i, note->servers[i].spec.name,
			  note->servers[i].change);
	return check_entries(entries, count, "backend_servers", rejected);
}

int cm_note_check(const struct cm_note *note,
		  struct cm_note_rejected_entry *rejected)
{
	int error;

	if (rejected)
		memset(rejected, 0, sizeof(*rejected));
	error = check_domains(note, rejected);
	if (!error)
		error = check_services(note, rejected);
	if (!error)
		error = check_servers(note, rejected);
	return error;
}
