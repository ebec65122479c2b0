/**
 * DOC: Subcommands
 *
 * Each subcommand is one entry of a table. Results go to standard output,
 * errors to standard error.
 */
#ifndef CLI_COMMAND_H
#define CLI_COMMAND_H

#include <argtable2.h>

#include "chervilmast/catalog.h"
#include "config/json_reader.h"

/**
 * enum cm_exit - exit codes
 * @CM_EXIT_OK: done
 * @CM_EXIT_FAILED: failed while running
 * @CM_EXIT_BAD_INPUT: a file was refused
 * @CM_EXIT_USAGE: the command line was refused
 * @CM_EXIT_CONFLICT: another release note was accepted first
 * @CM_EXIT_UNAVAILABLE: the store did not answer; the outcome is open
 * @CM_EXIT_NOT_IN_FORCE: accepted, but not in force everywhere in time
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
 * @name: its name
 * @summary: one line for --help
 * @run: runs it; argv[0] is its name. Returns an enum cm_exit.
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

/**
 * cm_command_parse() - parse the arguments of a subcommand
 * @command: the subcommand
 * @argc: number of arguments
 * @argv: the arguments
 * @table: argtable2 table; its first entry is --help, its last arg_end()
 * @exit_code: set when the command is to end
 *
 * --help and --version are handled here, and a refused command line is
 * reported.
 *
 * Return: true when the command is to go on.
 */
bool cm_command_parse(const struct cm_command *command, int argc, char **argv,
		      void **table, int *exit_code);

/**
 * cm_print_version() - print the version to standard output
 */
void cm_print_version(void);

/**
 * cm_report_json() - report why a file was refused
 * @file: the file
 * @error: why
 *
 * Writes one line: FILE:LINE:COLUMN: PATH: ERROR.
 */
void cm_report_json(const char *file, const struct cm_json_error *error);

/**
 * cm_report_note() - report why a note does not fit the catalog
 * @file: its file
 * @place: the refused line
 * @error: why
 */
void cm_report_note(const char *file,
		    const struct cm_note_rejected_entry *place, int error);

/**
 * cm_report() - report an error
 * @what: what failed
 * @error: why
 */
void cm_report(const char *what, int error);

#endif
