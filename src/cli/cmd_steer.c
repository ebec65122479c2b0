#include "command.h"

#include <stdlib.h>

#include "chervilmast/error.h"
#include "daemon/log.h"
#include "daemon/steer_entry.h"

/** Environment variable with the settings file, used without --settings. */
#define SETTINGS_VARIABLE "CHERVILMAST_CONFIG"

static int run_with_file(const char *file)
{
	struct cm_steer_settings settings;
	struct cm_json_error json_error;
	int error;

	if (cm_steer_settings_read_file(&settings, file, &json_error)) {
		cm_report_json_error(file, &json_error);
		return CM_EXIT_BAD_INPUT;
	}
	cm_log_init(settings.log_level);
	error = cm_steer_entry_run(&settings, file);
	if (!error)
		return CM_EXIT_OK;
	cm_report_error("steer", error);
	return CM_EXIT_FAILED;
}

static int run(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_file *file = arg_file0(NULL, "settings", "FILE",
					  "settings file of the instance, "
					  "$" SETTINGS_VARIABLE " by default");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, file, end };
	int exit_code;

	if (cm_command_parse(&cm_command_steer, argc, argv, table,
			     &exit_code)) {
		const char *path = file->count ? file->filename[0] :
						 getenv(SETTINGS_VARIABLE);

		if (path) {
			exit_code = run_with_file(path);
		} else {
			cm_report_error(
				"steer: --settings or $" SETTINGS_VARIABLE,
				CM_E_MISSING_KEY);
			exit_code = CM_EXIT_USAGE;
		}
	}
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return exit_code;
}

const struct cm_command cm_command_steer = {
	.name = "steer",
	.summary = "run an entry instance that steers by token",
	.run = run,
};
