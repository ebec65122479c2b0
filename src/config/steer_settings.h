/**
 * DOC: Settings of an instance that steers by token
 *
 * Read from a JSON file at the start and on SIGHUP. See examples/README.md for
 * each key.
 */
#ifndef CONFIG_STEER_SETTINGS_H
#define CONFIG_STEER_SETTINGS_H

#include "settings.h"

/** Most instances that settings may name. */
#define CM_STEER_SEEDS_MAX 16

/**
 * struct cm_steer_settings - settings of an instance that steers by token
 * @name: name of the instance
 * @domain: name of its failure domain
 * @packets: where it takes packets
 * @ready: where it says whether it is ready
 * @metrics: where it serves metrics
 * @control: where it answers other instances
 * @seeds: where some other instances answer, to ask while nothing is known
 * @seed_count: number of @seeds
 * @store_url: URL of the platform's store
 * @store_timeout_ms: longest wait for one answer of the store
 * @server_leave_ms: time after which a leaving server may get no new flow
 * @domain_out_ms: time after which a failure domain that was taken out may get
 *                 no packet
 * @plan_ms: time after which a plan has to be in force
 * @lapse_ms: time in which the entry of a live server is back after an outage
 *            of the store
 * @flow_life_s: longest life of a flow
 * @stop_timeout_s: longest graceful shutdown
 * @flows_max: most flows that are observed
 * @log_level: which events are logged
 * @log_lines_per_s: most lines that are logged a second
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
	char store_url[CM_TEXT_SIZE];
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
 * cm_steer_settings_read_file() - read and check settings
 * @settings: set on success
 * @path: the file
 * @error: set on failure
 *
 * Return: 0 or the error.
 */
int cm_steer_settings_read_file(struct cm_steer_settings *settings,
				const char *path, struct cm_json_error *error);

/**
 * cm_steer_settings_kept() - what changed and takes effect at a start only
 * @in_force: settings that were read at the start
 * @read: settings that were read now
 *
 * Return: the keys joined by commas, freed with g_free(), or NULL when none
 * changed.
 */
char *cm_steer_settings_kept(const struct cm_steer_settings *in_force,
			     const struct cm_steer_settings *read);

#endif
