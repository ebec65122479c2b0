#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"
#include "command.h"

static const struct cm_command *const commands[] = {
	&cm_command_entry,
	&cm_command_steer,
	&cm_command_check,
	&cm_command_publish,
	&cm_command_status,
	&cm_command_explain,
	NULL,
};

static void print_usage(FILE *stream)
{
	fputs("Usage: chervilmast COMMAND [OPTIONS]\n\nCommands:\n", stream);
	for (size_t i = 0; commands[i]; i++)
		fprintf(stream, "  %-10s %s\n", commands[i]->name,
			commands[i]->summary);
	fputs("\nchervilmast COMMAND --help describes a command.\n"
	      "chervilmast --version prints the version.\n"
	      "\nExit codes: 0 done, 1 failed, 2 file refused, "
	      "3 command line refused,\n4 conflict, 5 store or instance unavailable, "
	      "6 not in force everywhere in time.\n",
	      stream);
}

static int run(int argc, char **argv)
{
	if (argc < 2) {
		print_usage(stderr);
		return CM_EXIT_USAGE;
	}
	if (!strcmp(argv[1], "--help")) {
		print_usage(stdout);
		return CM_EXIT_OK;
	}
	if (!strcmp(argv[1], "--version")) {
		cm_print_version();
		return CM_EXIT_OK;
	}
	for (size_t i = 0; commands[i]; i++)
		if (!strcmp(argv[1], commands[i]->name))
			return commands[i]->run(argc - 1, argv + 1);
	fprintf(stderr, "chervilmast: %s: unknown command\n", argv[1]);
	return CM_EXIT_USAGE;
}

/* Fails if standard output could not be written, such as on a full disk. */
int main(int argc, char **argv)
{
	int exit_code = run(argc, argv);

	if (!fflush(stdout) && !ferror(stdout))
		return exit_code;
	cm_report_error("standard output", CM_E_IO);
	return exit_code == CM_EXIT_OK ? CM_EXIT_FAILED : exit_code;
}
