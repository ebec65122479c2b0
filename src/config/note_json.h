/**
 * DOC: Release notes in JSON
 *
 * An operator's file and a published note have the same format, except that a
 * published note also has a version, a publication id and a publication time.
 */
#ifndef CONFIG_NOTE_JSON_H
#define CONFIG_NOTE_JSON_H

#include "chervilmast/note.h"
#include "json_reader.h"

/** Size of a publication id in hexadecimal, including its NUL, bytes. */
#define CM_PUBLICATION_ID_TEXT_SIZE (2 * CM_PUBLICATION_ID_SIZE + 1)

/**
 * cm_note_read_file() - read a release note from an operator's file
 * @note: an empty note; set on success
 * @path: path of the file
 * @error: set on failure
 *
 * Return: 0, CM_E_NO_CHANGE if the note has no entry, or another value of enum
 * cm_error that is set in @error.
 */
int cm_note_read_file(struct cm_note *note, const char *path,
		      struct cm_json_error *error);

/**
 * cm_note_read_published() - parse a published note
 * @note: an empty note; set on success
 * @bytes: JSON text from the store or from a peer
 * @size: length of @bytes
 * @error: set on failure
 *
 * Return: 0 or the value of enum cm_error that is set in @error.
 */
int cm_note_read_published(struct cm_note *note, const void *bytes, size_t size,
			   struct cm_json_error *error);

/**
 * cm_note_write_published() - write a note as JSON for publication
 * @note: the note
 *
 * Return: JSON text, to be freed with free(), or NULL if out of memory.
 */
char *cm_note_write_published(const struct cm_note *note);

/**
 * cm_note_read_header() - read the version, publication id and time of a note
 * @note: note of which these fields are set
 * @root: JSON object of the note, or of a part of a snapshot
 * @error: set on failure
 *
 * Return: 0 or the value of enum cm_error that is set in @error.
 */
int cm_note_read_header(struct cm_note *note, const struct cm_json_node *root,
			struct cm_json_error *error);

/**
 * cm_publication_id_write() - format a publication id in hexadecimal
 * @id: CM_PUBLICATION_ID_SIZE bytes
 * @text: buffer of CM_PUBLICATION_ID_TEXT_SIZE bytes
 */
void cm_publication_id_write(const uint8_t *id, char *text);

/**
 * cm_publication_id_read() - parse a publication id
 * @id: CM_PUBLICATION_ID_SIZE bytes, set on success
 * @text: hexadecimal digits, lower case
 *
 * Return: 0 or CM_E_SYNTAX.
 */
int cm_publication_id_read(uint8_t *id, const char *text);

#endif
