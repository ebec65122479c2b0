/**
 * DOC: Settings of an instance that steers by token
 *
 * Read from a JSON file when the process starts and on SIGHUP.
 * examples/README.md describes each key.
 */
#ifndef CONFIG_STEER_SETTINGS_H
#define CONFIG_STEER_SETTINGS_H

#include "settings.h"

/** Maximum number of seeds that are used. */
#define CM_STEER_SEEDS_MAX 16

/**
 * struct cm_steer_settings - settings of an instance that steers by token
 * @name: name of the instance
 * @domain: name of its failure domain
 * @packets: address on which it receives packets
 * @ready: address on which it serves the readiness page
 * @metrics: address on which it serves metrics
 * @control: address on which it answers requests of other instances
 * @seeds: control addresses of other instances to query until registry data has
 *         been received
 * @seed_count: number of @seeds
 * @store_url: URL of the platform's store
 * @store_timeout_ms: timeout of the next part of an answer of the store,
 *                    milliseconds
 * @server_leave_ms: time within which a leaving server must stop getting new
 *                   flows, milliseconds
 * @domain_out_ms: time within which a failure domain that was taken out of
 *                 service must stop getting packets, milliseconds
 * @plan_ms: time within which a new plan must be in force, milliseconds
 * @lapse_ms: time after the end of a store outage during which a server whose
 *            registry entry expired stays in use, so that it can register
 *            again, milliseconds
 * @flow_life_s: maximum expected duration of a flow, seconds; a server that has
 *               left is kept for this long, for its open flows
 * @stop_timeout_s: timeout of a graceful shutdown, seconds
 * @flows_max: maximum number of tracked flows
 * @log_level: least severity of events to log
 * @log_lines_per_s: maximum rate of log lines, per second; 0 for no limit
 */
struct cm_steer_settings {
	char name[CM_NAME_SIZE];
	char domain[CM_NAME_SIZE];
	struct cm_endpoint packets;
	struct cm_endpoint ready;
	struct cm_endpoint metrics;
	struct cm_endpoint control;
	struct cm_endpoint seeds[CM_STEER_SEEDS_MAX];
	size_t seed_count;
	char store_url[CM_SETTINGS_TEXT_SIZE];
	uint32_t store_timeout_ms;
	uint32_t server_leave_ms;
	uint32_t domain_out_ms;
	uint32_t plan_ms;
	uint32_t lapse_ms;
	uint32_t flow_life_s;
	uint32_t stop_timeout_s;
	uint32_t flows_max;
	enum cm_log_level log_level;
	uint32_t log_lines_per_s;
};

/**
 * cm_steer_settings_read_file() - read settings from a file and validate them
 * @settings: set on success
 * @path: path of the file
 * @error: set on failure
 *
 * Return: 0 or the value of enum cm_error that is set in @error.
 */
int cm_steer_settings_read_file(struct cm_steer_settings *settings,
				const char *path, struct cm_json_error *error);

/**
 * cm_steer_settings_list_restart_keys() - list changed settings that need a
 * restart
 * @at_start: settings read when the process started
 * @reloaded: settings read again on SIGHUP
 *
 * Return: the keys joined by commas, to be freed with g_free(), or NULL if no
 * such setting has changed.
 */
char *
cm_steer_settings_list_restart_keys(const struct cm_steer_settings *at_start,
				    const struct cm_steer_settings *reloaded);

#endif
