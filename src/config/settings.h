/**
 * DOC: Settings of a process
 *
 * Read once at the start from a JSON file. See examples/README.md for each
 * key.
 */
#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include "chervilmast/flow_key.h"
#include "chervilmast/note.h"
#include "json_reader.h"

/** Room for a URL or a key prefix. */
#define CM_TEXT_SIZE 128
/** Most peers that settings may name. */
#define CM_PEERS_MAX 64

/**
 * enum cm_log_level - which events are logged
 * @CM_LOG_ERROR: only what needs an operator
 * @CM_LOG_WARNING: and what may need one
 * @CM_LOG_INFO: and changes of state
 * @CM_LOG_DEBUG: and details
 */
enum cm_log_level {
	CM_LOG_ERROR,
	CM_LOG_WARNING,
	CM_LOG_INFO,
	CM_LOG_DEBUG,
};

/**
 * struct cm_settings - settings of a process
 * @name: name of the instance
 * @domain: name of its failure domain
 * @data: where it takes Geneve packets
 * @fabric: where the fabric takes Geneve packets
 * @control: where it takes control connections
 * @admin: where it serves metrics, health and status
 * @peers: control addresses of some other instances
 * @peer_count: number of @peers
 * @store_url: URL of the platform's key-value service
 * @store_prefix: prefix of all keys
 * @store_timeout_ms: longest wait for one answer of the store
 * @threads: packet threads
 * @half_open_max: most half-open flows
 * @drain_timeout_s: longest graceful shutdown
 * @log_level: which events are logged
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
	char store_url[CM_TEXT_SIZE];
	char store_prefix[CM_TEXT_SIZE];
	uint32_t store_timeout_ms;
	uint32_t threads;
	uint32_t half_open_max;
	uint32_t drain_timeout_s;
	enum cm_log_level log_level;
};

/**
 * cm_settings_read_file() - read and check settings
 * @settings: set on success
 * @path: the file
 * @error: set on failure
 *
 * Return: 0 or the error.
 */
int cm_settings_read_file(struct cm_settings *settings, const char *path,
			  struct cm_json_error *error);

/**
 * cm_settings_check() - refuse settings that contradict each other
 * @settings: settings of which each value on its own is valid
 * @error: set on failure
 *
 * Return: 0, CM_E_HOST_MISMATCH, CM_E_DUPLICATE_ENDPOINT, CM_E_BAD_URL or
 * CM_E_BAD_PREFIX.
 */
int cm_settings_check(const struct cm_settings *settings,
		      struct cm_json_error *error);

#endif
