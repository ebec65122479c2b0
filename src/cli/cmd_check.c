#include "command.h"

#include <stdio.h>
#include <string.h>

#include "config/note_json.h"
#include "config/settings.h"

static int check_settings(const char *file)
{
	struct cm_settings settings;
	struct cm_json_error error;

	if (cm_settings_read_file(&settings, file, &error)) {
		cm_report_json_error(file, &error);
		return CM_EXIT_BAD_INPUT;
	}
	printf("%s: ok\n", file);
	return CM_EXIT_OK;
}

/* Whether a note has only additions and at least one failure domain. */
static bool can_be_first_note(const struct cm_note *note)
{
	for (size_t i = 0; i < note->domain_count; i++)
		if (note->domains[i].change != CM_CHANGE_ADD)
			return false;
	for (size_t i = 0; i < note->service_count; i++)
		if (note->services[i].change != CM_CHANGE_ADD)
			return false;
	for (size_t i = 0; i < note->server_count; i++)
		if (note->servers[i].change != CM_CHANGE_ADD)
			return false;
	return note->domain_count > 0;
}

static int check_first_note(struct cm_note *note,
			    struct cm_note_rejected_entry *rejected)
{
	struct cm_catalog empty, next;
	int error;

	cm_catalog_init(&empty);
	note->version = 1;
	error = cm_catalog_apply(&next, &empty, note, rejected);
	if (!error)
		cm_catalog_finish(&next);
	return error;
}

static int check_note(const char *file)
{
	struct cm_note note;
	struct cm_json_error json_error;
	struct cm_note_rejected_entry rejected;
	int error;

	cm_note_init(&note);
	if (cm_note_read_file(&note, file, &json_error)) {
		cm_report_json_error(file, &json_error);
		return CM_EXIT_BAD_INPUT;
	}
	/*
	 * A note that can be the first is applied to an empty catalog, which
	 * also checks the names that it refers to. Any other note depends on a
	 * catalog that this command does not have.
	 */
	error = can_be_first_note(&note) ? check_first_note(&note, &rejected) :
					   cm_note_check(&note, &rejected);
	cm_note_finish(&note);
	if (error) {
		cm_report_note_error(file, &rejected, error);
		return CM_EXIT_BAD_INPUT;
	}
	printf("%s: ok\n", file);
	return CM_EXIT_OK;
}

static int run(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *type =
		arg_str1(NULL, NULL, "settings|note", "type of the file");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "file to check");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, type, file, end };
	int exit_code;

	if (cm_command_parse(&cm_command_check, argc, argv, table,
			     &exit_code)) {
		if (!strcmp(type->sval[0], "settings")) {
			exit_code = check_settings(file->filename[0]);
		} else if (!strcmp(type->sval[0], "note")) {
			exit_code = check_note(file->filename[0]);
		} else {
			fprintf(stderr,
				"check: %s: expected settings or note\n",
				type->sval[0]);
			exit_code = CM_EXIT_USAGE;
		}
	}
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return exit_code;
}

const struct cm_command cm_command_check = {
	.name = "check",
	.summary = "validate a settings file or a release note offline",
	.run = run,
};
