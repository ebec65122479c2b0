#include "command.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/etcd_store.h"
#include "adapters/socket.h"
#include "chervilmast/error.h"
#include "config/publication.h"
#include "fleet.h"

/*
 * Maximum wait for the first status answer in cm_fleet_discover(), and for all
 * answers of one batch of instances in cm_fleet_query_status().
 */
#define STATUS_TIMEOUT_MS 1000
#define NO_ANSWER "no-answer"

static const char *const member_states[] = {
	[CM_MEMBER_ALIVE] = "alive",
	[CM_MEMBER_LEAVING] = "leaving",
};

static const char *const server_states[] = {
	[CM_SERVER_ACTIVE] = "active",
	[CM_SERVER_DRAINING] = "draining",
	[CM_SERVER_WITHDRAWN] = "withdrawn",
};

/**
 * struct server_row - a backend server and its home
 * @server: as reported by its home or, if @home is NULL, as in the catalog
 * @home: name of its home, or NULL if no instance has reported the server
 */
struct server_row {
	struct cm_message_server server;
	const char *home;
};

/**
 * struct server_rows - all backend servers
 * @items: the rows
 * @count: number of @items
 */
struct server_rows {
	struct server_row *items;
	uint32_t count;
};

static int compare_instances(const void *left, const void *right)
{
	const struct cm_fleet_instance *a = left;
	const struct cm_fleet_instance *b = right;
	int order = strncmp(a->member.domain, b->member.domain, CM_NAME_SIZE);

	return order ? order :
		       strncmp(a->member.name, b->member.name, CM_NAME_SIZE);
}

static int compare_rows(const void *left, const void *right)
{
	const struct server_row *a = left;
	const struct server_row *b = right;
	int order = strncmp(a->server.name, b->server.name, CM_NAME_SIZE);

	if (order)
		return order;
	/* Of the rows of one server, those reported by a home come first. */
	return !a->home - !b->home;
}

static const char *instance_state(const struct cm_fleet_instance *instance)
{
	const struct cm_message_members *members =
		&instance->answer.status.members;

	if (!instance->has_answered)
		return instance->is_dead ? "dead" : NO_ANSWER;
	for (uint32_t i = 0; i < members->count; i++)
		if (cm_endpoint_equal(&members->items[i].data_address,
				      &instance->member.data_address) &&
		    members->items[i].state == CM_MEMBER_LEAVING)
			return member_states[CM_MEMBER_LEAVING];
	return member_states[CM_MEMBER_ALIVE];
}

static uint32_t count_rows(const struct cm_fleet *fleet,
			   const struct cm_catalog *catalog)
{
	uint32_t count = catalog->server_count;

	for (uint32_t i = 0; i < fleet->count; i++)
		count += fleet->instances[i].answer.status.server_count;
	return count;
}

static void add_reported_servers(struct server_rows *rows,
				 const struct cm_fleet_instance *instance)
{
	const struct cm_message_status *status = &instance->answer.status;

	for (uint32_t i = 0; i < status->server_count; i++) {
		struct server_row *row = &rows->items[rows->count++];

		row->server = status->servers[i];
		row->home = instance->member.name;
	}
}

static void add_catalog_servers(struct server_rows *rows,
				const struct cm_catalog *catalog)
{
	for (uint32_t i = 0; i < catalog->server_count; i++) {
		const struct cm_server_spec *spec = &catalog->servers[i].spec;
		struct server_row *row = &rows->items[rows->count++];

		memcpy(row->server.name, spec->name, CM_NAME_SIZE);
		row->server.address = spec->address;
		row->server.state = spec->state;
	}
}

/*
 * Keeps the first row of each server: one that its home reported, otherwise the
 * one from the catalog.
 */
static int collect_rows(struct server_rows *rows, const struct cm_fleet *fleet,
			const struct cm_catalog *catalog)
{
	uint32_t kept = 0;

	rows->count = 0;
	rows->items =
		calloc(count_rows(fleet, catalog) + 1, sizeof(*rows->items));
	if (!rows->items)
		return CM_E_MEMORY;
	for (uint32_t i = 0; i < fleet->count; i++)
		add_reported_servers(rows, &fleet->instances[i]);
	add_catalog_servers(rows, catalog);
	qsort(rows->items, rows->count, sizeof(*rows->items), compare_rows);
	for (uint32_t i = 0; i < rows->count; i++)
		if (!kept || !cm_name_equal(rows->items[kept - 1].server.name,
					    rows->items[i].server.name))
			rows->items[kept++] = rows->items[i];
	rows->count = kept;
	return CM_OK;
}

static void print_table(const struct cm_fleet *fleet,
			const struct server_rows *rows)
{
	char address[CM_ENDPOINT_TEXT_SIZE];

	printf("%-20s %-16s %-10s %s\n", "INSTANCE", "FAILURE_DOMAIN", "STATE",
	       "VERSION");
	for (uint32_t i = 0; i < fleet->count; i++) {
		const struct cm_fleet_instance *instance = &fleet->instances[i];

		printf("%-20s %-16s %-10s ", instance->member.name,
		       instance->member.domain, instance_state(instance));
		if (instance->has_answered)
			printf("%llu\n", (unsigned long long)instance->answer
						 .status.version);
		else
			puts("-");
	}
	printf("\n%-20s %-22s %-10s %-20s %s\n", "BACKEND_SERVER", "ADDRESS",
	       "STATE", "HOME", "CONNECTIONS");
	for (uint32_t i = 0; i < rows->count; i++) {
		const struct server_row *row = &rows->items[i];

		printf("%-20s %-22s %-10s %-20s ", row->server.name,
		       cm_endpoint_write(&row->server.address, address),
		       server_states[row->server.state],
		       row->home ? row->home : "-");
		if (row->home)
			printf("%u\n", row->server.open_connections);
		else
			puts("-");
	}
}

static json_t *instance_json(const struct cm_fleet_instance *instance)
{
	char data[CM_ENDPOINT_TEXT_SIZE];
	json_t *version =
		instance->has_answered ?
			json_integer(
				(json_int_t)instance->answer.status.version) :
			json_null();

	return json_pack(
		"{s:s, s:s, s:s, s:s, s:o}", "name", instance->member.name,
		"failure_domain", instance->member.domain, "data",
		cm_endpoint_write(&instance->member.data_address, data),
		"state", instance_state(instance), "version", version);
}

static json_t *server_json(const struct server_row *row)
{
	char address[CM_ENDPOINT_TEXT_SIZE];

	return json_pack(
		"{s:s, s:s, s:s, s:o, s:o}", "name", row->server.name,
		"address", cm_endpoint_write(&row->server.address, address),
		"state", server_states[row->server.state], "home",
		row->home ? json_string(row->home) : json_null(), "connections",
		row->home ? json_integer(row->server.open_connections) :
			    json_null());
}

static void print_json(const struct cm_fleet *fleet,
		       const struct server_rows *rows)
{
	json_t *instances = json_array();
	json_t *servers = json_array();
	json_t *root;

	for (uint32_t i = 0; i < fleet->count; i++)
		json_array_append_new(instances,
				      instance_json(&fleet->instances[i]));
	for (uint32_t i = 0; i < rows->count; i++)
		json_array_append_new(servers, server_json(&rows->items[i]));
	root = json_pack("{s:o, s:o}", "instances", instances,
			 "backend_servers", servers);
	json_dumpf(root, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(root);
}

static int print_fleet(struct cm_fleet *fleet, const struct cm_catalog *catalog,
		       bool as_json)
{
	struct server_rows rows;
	int error;

	qsort(fleet->instances, fleet->count, sizeof(*fleet->instances),
	      compare_instances);
	error = collect_rows(&rows, fleet, catalog);
	if (error)
		return error;
	if (as_json)
		print_json(fleet, &rows);
	else
		print_table(fleet, &rows);
	free(rows.items);
	return CM_OK;
}

/*
 * If the catalog can't be read from the store, only the servers that instances
 * have reported are listed.
 */
static int show_fleet(struct cm_fleet *fleet, struct cm_store *store,
		      const struct cm_settings *settings, bool as_json)
{
	const struct cm_publication publication = {
		.store = store,
		.prefix = settings->store_prefix,
	};
	struct cm_publication_head head;
	struct cm_view view;
	int error =
		cm_fleet_discover(fleet, store, settings, STATUS_TIMEOUT_MS);

	if (error)
		return error;
	cm_fleet_query_status(fleet, UINT64_MAX, STATUS_TIMEOUT_MS);
	if (cm_publication_read_view(&publication, &view, &head))
		cm_view_init(&view);
	error = print_fleet(fleet, &view.catalog, as_json);
	cm_view_finish(&view);
	return error;
}

static int connect_and_show(const struct cm_settings *settings, bool as_json)
{
	struct cm_etcd_store store;
	struct cm_fleet fleet;
	int error = cm_etcd_store_init(&store, settings->store_url,
				       settings->store_timeout_ms);

	if (error)
		return error;
	error = cm_fleet_init(&fleet);
	if (!error) {
		error = show_fleet(&fleet, &store.base, settings, as_json);
		cm_fleet_finish(&fleet);
	}
	cm_etcd_store_finish(&store);
	return error;
}

static int show_status(const char *file, bool as_json)
{
	struct cm_settings settings;
	struct cm_json_error json_error;
	int error;

	if (cm_settings_read_file(&settings, file, &json_error)) {
		cm_report_json_error(file, &json_error);
		return CM_EXIT_BAD_INPUT;
	}
	error = connect_and_show(&settings, as_json);
	if (!error)
		return CM_EXIT_OK;
	cm_report_error("status", error);
	return error == CM_E_UNAVAILABLE || error == CM_E_TIMEOUT ?
		       CM_EXIT_UNAVAILABLE :
		       CM_EXIT_FAILED;
}

static int run(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_file *settings =
		arg_file1(NULL, "settings", "FILE",
			  "settings file with the URL of the store");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, settings, json, end };
	int exit_code;

	if (cm_command_parse(&cm_command_status, argc, argv, table, &exit_code))
		exit_code = show_status(settings->filename[0], json->count > 0);
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return exit_code;
}

const struct cm_command cm_command_status = {
	.name = "status",
	.summary = "show instances, release note versions and backend servers",
	.run = run,
};
