#include "command.h"

#include "daemon/entry.h"
#include "daemon/log.h"

static int run_with_file(const char *file)
{
	struct cm_settings settings;
	struct cm_json_error json_error;
	int error;

	if (cm_settings_read_file(&settings, file, &json_error)) {
		cm_report_json_error(file, &json_error);
		return CM_EXIT_BAD_INPUT;
	}
	cm_log_init(settings.log_level);
	error = cm_entry_run(&settings);
	if (!error)
		return CM_EXIT_OK;
	cm_report_error("entry", error);
	return CM_EXIT_FAILED;
}

static int run(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_file *file = arg_file1(NULL, "settings", "FILE",
					  "settings file of the instance");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, file, end };
	int exit_code;

	if (cm_command_parse(&cm_command_entry, argc, argv, table, &exit_code))
		exit_code = run_with_file(file->filename[0]);
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return exit_code;
}

const struct cm_command cm_command_entry = {
	.name = "entry",
	.summary = "run an entry instance until SIGTERM or SIGINT",
	.run = run,
};
