/**
 * DOC: Subcommands of the command line
 *
 * Each subcommand is a struct cm_command in the table of main.c. Results go to
 * standard output, errors to standard error.
 */
#ifndef CLI_COMMAND_H
#define CLI_COMMAND_H

#include <argtable2.h>

#include "chervilmast/catalog.h"
#include "config/json_reader.h"

/**
 * enum cm_exit - exit codes of the program
 * @CM_EXIT_OK: success
 * @CM_EXIT_FAILED: the command failed at run time
 * @CM_EXIT_BAD_INPUT: a settings file or release note is invalid
 * @CM_EXIT_USAGE: the command line is invalid
 * @CM_EXIT_CONFLICT: another release note was accepted first
 * @CM_EXIT_UNAVAILABLE: the store, or the instance to query, is unavailable; if
 *                       a note was already sent to the store, whether it
 *                       accepted the note is unknown
 * @CM_EXIT_NOT_IN_FORCE: the note was accepted, but not confirmed to be in
 *                        force on every live instance before the timeout
 */
enum cm_exit {
	CM_EXIT_OK = 0,
	CM_EXIT_FAILED = 1,
	CM_EXIT_BAD_INPUT = 2,
	CM_EXIT_USAGE = 3,
	CM_EXIT_CONFLICT = 4,
	CM_EXIT_UNAVAILABLE = 5,
	CM_EXIT_NOT_IN_FORCE = 6,
};

/**
 * struct cm_command - one subcommand
 * @name: name on the command line
 * @summary: one-line description for --help
 * @run: runs the subcommand; argv[0] is its name. Returns an enum cm_exit.
 */
struct cm_command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

extern const struct cm_command cm_command_entry;
extern const struct cm_command cm_command_steer;
extern const struct cm_command cm_command_check;
extern const struct cm_command cm_command_publish;
extern const struct cm_command cm_command_status;
extern const struct cm_command cm_command_explain;

/**
 * cm_command_parse() - parse the arguments of a subcommand
 * @command: the subcommand
 * @argc: number of arguments
 * @argv: the arguments
 * @table: argtable2 table; the first entry is --help, the last is arg_end()
 * @exit_code: set when this function returns false
 *
 * Handles --help and --version, and reports an invalid command line.
 *
 * Return: true if the subcommand should run, false if it should exit with
 * @exit_code.
 */
bool cm_command_parse(const struct cm_command *command, int argc, char **argv,
		      void **table, int *exit_code);

/**
 * cm_print_version() - print the version to standard output
 */
void cm_print_version(void);

/**
 * cm_report_json_error() - print why a JSON file is invalid
 * @file: path of the file
 * @error: the error and its position in the file
 *
 * Writes one line to standard error: FILE:LINE:COLUMN: PATH: ERROR.
 */
void cm_report_json_error(const char *file, const struct cm_json_error *error);

/**
 * cm_report_note_error() - print why a release note was rejected
 * @file: path of the note
 * @rejected: the rejected item; its list is NULL if the error concerns no item
 * @error: an enum cm_error
 *
 * Writes one line to standard error: FILE: LIST.CHANGE: NAME: ERROR, or
 * FILE: ERROR if the error concerns no item.
 */
void cm_report_note_error(const char *file,
			  const struct cm_note_rejected_entry *rejected,
			  int error);

/**
 * cm_report_error() - print an error to standard error
 * @what: the command, file or operation that failed
 * @error: an enum cm_error
 */
void cm_report_error(const char *what, int error);

#endif
