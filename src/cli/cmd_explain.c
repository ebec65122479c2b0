#include "command.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/http_client.h"
#include "adapters/socket.h"
#include "chervilmast/error.h"
#include "config/steer_settings.h"
#include "daemon/explain_page.h"

#define EXPLAIN_TIMEOUT_MS 2000
#define HTTP_OK 200
#define URL_SIZE 64
#define PATH_SIZE 128

/* Return: the error that the page names in its first line. */
static int read_error(const char *text)
{
	static const int errors[] = {
		CM_E_UNKNOWN_ROUTE, CM_E_UNKNOWN_SERVER, CM_E_BAD_ADDRESS,
		CM_E_BAD_TOKEN,	    CM_E_NOT_FOUND,
	};

	for (size_t i = 0; i < sizeof(errors) / sizeof(*errors); i++) {
		const char *name = cm_error_name(errors[i]);
		size_t length = strlen(name);

		if (!strncmp(text, name, length) && text[length] == '\n')
			return errors[i];
	}
	return CM_E_PROTOCOL;
}

static int print_answer(const struct cm_http_answer *answer)
{
	if (!answer->text)
		return CM_E_PROTOCOL;
	if (answer->status != HTTP_OK)
		return read_error(answer->text);
	fputs(answer->text, stdout);
	return CM_OK;
}

static int query_instance(const struct cm_endpoint *metrics, const char *path)
{
	const struct cm_http_request request = {
		.path = path,
		.timeout_ms = EXPLAIN_TIMEOUT_MS,
	};
	char address[CM_ENDPOINT_TEXT_SIZE], url[URL_SIZE];
	struct cm_http_client client;
	struct cm_http_answer answer;
	int error;

	snprintf(url, sizeof(url), "http://%s",
		 cm_endpoint_write(metrics, address));
	error = cm_http_client_init(&client, url);
	if (error)
		return error;
	error = cm_http_call(&client, &request, &answer);
	if (error == CM_E_UNAVAILABLE)
		error = CM_E_INSTANCE_UNAVAILABLE;
	if (!error)
		error = print_answer(&answer);
	cm_http_answer_finish(&answer);
	cm_http_client_finish(&client);
	return error;
}

/* Return: an enum cm_exit. */
static int explain(const char *file, const struct cm_endpoint *route,
		   uint32_t avoid_token)
{
	struct cm_steer_settings settings;
	struct cm_json_error json_error;
	char address[CM_ENDPOINT_TEXT_SIZE], path[PATH_SIZE];
	int length, error;

	if (cm_steer_settings_read_file(&settings, file, &json_error)) {
		cm_report_json_error(file, &json_error);
		return CM_EXIT_BAD_INPUT;
	}
	length = snprintf(path, sizeof(path), CM_EXPLAIN_PATH "?route=%s",
			  cm_endpoint_write(route, address));
	if (avoid_token)
		snprintf(path + length, sizeof(path) - (size_t)length,
			 "&avoid=%08x", avoid_token);
	error = query_instance(&settings.metrics, path);
	if (!error)
		return CM_EXIT_OK;
	cm_report_error("explain", error);
	return error == CM_E_INSTANCE_UNAVAILABLE || error == CM_E_TIMEOUT ?
		       CM_EXIT_UNAVAILABLE :
		       CM_EXIT_FAILED;
}

static int refuse_argument(const char *option, int error)
{
	char what[URL_SIZE];

	snprintf(what, sizeof(what), "explain: %s", option);
	cm_report_error(what, error);
	return CM_EXIT_USAGE;
}

static int run_with_arguments(const char *file, const char *route_text,
			      const char *token_text)
{
	struct cm_endpoint route;
	uint32_t avoid_token = 0;
	int error = cm_endpoint_parse(&route, route_text);

	if (error)
		return refuse_argument("--route", error);
	error = token_text ? cm_token_parse(&avoid_token, token_text) : CM_OK;
	if (error)
		return refuse_argument("--avoid", error);
	return explain(file, &route, avoid_token);
}

static int run(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_file *settings = arg_file1(NULL, "settings", "FILE",
					      "settings file of the instance");
	struct arg_str *route = arg_str1(NULL, "route", "ADDRESS:PORT",
					 "public address of the route");
	struct arg_str *avoid =
		arg_str0(NULL, "avoid", "TOKEN",
			 "server that did not answer the first SYN");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, settings, route, avoid, end };
	int exit_code;

	if (cm_command_parse(&cm_command_explain, argc, argv, table,
			     &exit_code))
		exit_code = run_with_arguments(
			settings->filename[0], route->sval[0],
			avoid->count ? avoid->sval[0] : NULL);
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return exit_code;
}

const struct cm_command cm_command_explain = {
	.name = "explain",
	.summary = "show where an instance would place a new flow, and why",
	.run = run,
};
