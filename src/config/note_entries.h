/**
 * DOC: Entries of release notes in JSON
 *
 * A note has one list each for failure domains, services and backend servers.
 * A list holds the entries to add, to change and to withdraw.
 */
#ifndef CONFIG_NOTE_ENTRIES_H
#define CONFIG_NOTE_ENTRIES_H

#include "chervilmast/note.h"
#include "json_reader.h"

/**
 * cm_note_entries_read() - read all lists of a note
 * @note: an empty note; set on success
 * @root: JSON object of the note
 * @error: set on failure
 *
 * Return: 0 or the value of enum cm_error that is set in @error.
 */
int cm_note_entries_read(struct cm_note *note, const struct cm_json_node *root,
			 struct cm_json_error *error);

/**
 * cm_note_entries_write() - write all lists of a note
 * @note: the note
 * @root: JSON object to which the lists are added
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_note_entries_write(const struct cm_note *note, json_t *root);

/**
 * cm_note_list_key() - JSON key of a list
 * @list: the list
 *
 * Return: a static string.
 */
const char *cm_note_list_key(enum cm_note_list list);

/**
 * cm_note_entry_write() - write the entry that adds an item
 * @list: list of the item
 * @spec: struct cm_domain_spec, cm_service_spec or cm_server_spec, by @list
 *
 * Return: a new object, or NULL if out of memory.
 */
json_t *cm_note_entry_write(enum cm_note_list list, const void *spec);

#endif
