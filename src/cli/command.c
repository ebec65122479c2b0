#include "command.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"
#include "chervilmast/version.h"

#define GLOSSARY_FORMAT "  %-28s %s\n"

static void print_help(const struct cm_command *command, void **table)
{
	printf("Usage: chervilmast %s", command->name);
	arg_print_syntax(stdout, table, "\n");
	printf("%s\n\n", command->summary);
	arg_print_glossary(stdout, table, GLOSSARY_FORMAT);
	printf(GLOSSARY_FORMAT, "--version", "print the version");
}

static bool wants_version(int argc, char **argv)
{
	for (int i = 1; i < argc; i++)
		if (!strcmp(argv[i], "--version"))
			return true;
	return false;
}

bool cm_command_parse(const struct cm_command *command, int argc, char **argv,
		      void **table, int *exit_code)
{
	struct arg_lit *help = table[0];
	struct arg_end *end;
	int errors, last = 0;

	if (arg_nullcheck(table)) {
		cm_report_error(command->name, CM_E_MEMORY);
		*exit_code = CM_EXIT_FAILED;
		return false;
	}
	if (wants_version(argc, argv)) {
		cm_print_version();
		*exit_code = CM_EXIT_OK;
		return false;
	}
	errors = arg_parse(argc, argv, table);
	if (help->count) {
		print_help(command, table);
		*exit_code = CM_EXIT_OK;
		return false;
	}
	if (!errors)
		return true;
	while (!(((struct arg_hdr *)table[last])->flag & ARG_TERMINATOR))
		last++;
	end = table[last];
	arg_print_errors(stderr, end, command->name);
	*exit_code = CM_EXIT_USAGE;
	return false;
}

void cm_print_version(void)
{
	puts("chervilmast " CM_VERSION);
}

static void report_choices(const char *const *choices)
{
	fputs(" (allowed", stderr);
	for (; *choices; choices++)
		fprintf(stderr, " %s", *choices);
	fputc(')', stderr);
}

void cm_report_json_error(const char *file, const struct cm_json_error *error)
{
	fprintf(stderr, "%s:", file);
	if (error->line > 0)
		fprintf(stderr, "%d:%d:", error->line, error->column);
	if (error->path[0])
		fprintf(stderr, " %s:", error->path);
	fprintf(stderr, " %s", cm_error_name(error->error));
	if (error->has_range)
		fprintf(stderr, " (allowed %lld to %lld)",
			(long long)error->minimum, (long long)error->maximum);
	if (error->choices)
		report_choices(error->choices);
	fputc('\n', stderr);
}

void cm_report_note_error(const char *file,
			  const struct cm_note_rejected_entry *rejected,
			  int error)
{
	static const char *const changes[] = { "add", "change", "withdraw" };

	if (rejected->list)
		fprintf(stderr, "%s: %s.%s: %s: %s\n", file, rejected->list,
			changes[rejected->change], rejected->name,
			cm_error_name(error));
	else
		cm_report_error(file, error);
}

void cm_report_error(const char *what, int error)
{
	fprintf(stderr, "%s: %s\n", what, cm_error_name(error));
}
