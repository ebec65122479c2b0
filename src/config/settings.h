/**
 * DOC: Settings of an entry instance
 *
 * Read once from a JSON file, by the instance when it starts and by the
 * commands that use its store. examples/README.md describes each key.
 */
#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include "chervilmast/flow_key.h"
#include "chervilmast/note.h"
#include "json_reader.h"

/** Maximum size of a URL or key prefix including its NUL, bytes. */
#define CM_SETTINGS_TEXT_SIZE 128
/** Maximum number of peers. */
#define CM_PEERS_MAX 64

/**
 * enum cm_log_level - severity of a log event, or least severity to log
 * @CM_LOG_ERROR: requires action by an operator
 * @CM_LOG_WARNING: may require action by an operator
 * @CM_LOG_INFO: change of state
 * @CM_LOG_DEBUG: details
 */
enum cm_log_level {
	CM_LOG_ERROR,
	CM_LOG_WARNING,
	CM_LOG_INFO,
	CM_LOG_DEBUG,
};

/**
 * struct cm_settings - settings of an entry instance
 * @name: name of the instance
 * @domain: name of its failure domain
 * @data: address on which the instance receives Geneve packets
 * @fabric: address of the fabric, which sends and receives Geneve packets
 * @control: address on which the instance accepts control connections
 * @admin: address on which the instance serves metrics, health and status
 * @peers: control addresses of other instances to contact at startup
 * @peer_count: number of @peers
 * @store_url: URL of the platform's key-value store
 * @store_prefix: prefix of all keys in the store
 * @store_timeout_ms: timeout of a request to the store, milliseconds
 * @threads: number of packet threads
 * @half_open_max: maximum number of half-open flows
 * @drain_timeout_s: timeout of a graceful shutdown, seconds
 * @log_level: least severity of events to log
 */
struct cm_settings {
	char name[CM_NAME_SIZE];
	char domain[CM_NAME_SIZE];
	struct cm_endpoint data;
	struct cm_endpoint fabric;
	struct cm_endpoint control;
	struct cm_endpoint admin;
	struct cm_endpoint peers[CM_PEERS_MAX];
	size_t peer_count;
	char store_url[CM_SETTINGS_TEXT_SIZE];
	char store_prefix[CM_SETTINGS_TEXT_SIZE];
	uint32_t store_timeout_ms;
	uint32_t threads;
	uint32_t half_open_max;
	uint32_t drain_timeout_s;
	enum cm_log_level log_level;
};

/**
 * cm_settings_read_file() - read settings from a file and validate them
 * @settings: set on success
 * @path: path of the file
 * @error: set on failure
 *
 * Return: 0 or the value of enum cm_error that is set in @error.
 */
int cm_settings_read_file(struct cm_settings *settings, const char *path,
			  struct cm_json_error *error);

/**
 * cm_settings_check() - check settings for consistency with each other
 * @settings: settings whose types and ranges have been checked
 * @error: set on failure
 *
 * Return: 0, CM_E_HOST_MISMATCH, CM_E_DUPLICATE_ENDPOINT, CM_E_BAD_URL or
 * CM_E_BAD_PREFIX.
 */
int cm_settings_check(const struct cm_settings *settings,
		      struct cm_json_error *error);

#endif
