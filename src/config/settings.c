#include "settings.h"

#include <netinet/in.h>
#include <string.h>

#include "chervilmast/error.h"
#include "endpoint_fields.h"
#include "log_levels.h"

#define STORE_TIMEOUT_MS_MIN 10
#define STORE_TIMEOUT_MS_MAX 60000
#define STORE_TIMEOUT_MS_DEFAULT 1000
#define THREADS_MAX 64
#define THREADS_DEFAULT 2
#define HALF_OPEN_LIMIT_MIN 1024
#define HALF_OPEN_LIMIT_MAX 10000000
#define HALF_OPEN_LIMIT_DEFAULT 65536
#define DRAIN_TIMEOUT_S_MAX 86400
#define DRAIN_TIMEOUT_S_DEFAULT 30
#define ADMIN_PORT_DEFAULT 9100

const char *const cm_log_levels[] = { "error", "warning", "info", "debug",
				      NULL };
static const char *const root_keys[] = { "name",
					 "failure_domain",
					 "data",
					 "fabric",
					 "control",
					 "admin",
					 "peers",
					 "store",
					 "threads",
					 "half_open_max",
					 "drain_timeout_s",
					 "log_level",
					 NULL };

static const struct cm_json_field endpoint_fields[] = {
	CM_ADDRESS_PORT_JSON_FIELDS(0),
	{ .key = NULL },
};

static const struct cm_json_field store_fields[] = {
	{ .key = "url",
	  .type = CM_JSON_TEXT,
	  .offset = offsetof(struct cm_settings, store_url),
	  .size = CM_SETTINGS_TEXT_SIZE },
	{ .key = "prefix",
	  .type = CM_JSON_TEXT,
	  .offset = offsetof(struct cm_settings, store_prefix),
	  .size = CM_SETTINGS_TEXT_SIZE },
	{ .key = "timeout_ms",
	  .type = CM_JSON_U32,
	  .offset = offsetof(struct cm_settings, store_timeout_ms),
	  .is_optional = true,
	  .minimum = STORE_TIMEOUT_MS_MIN,
	  .maximum = STORE_TIMEOUT_MS_MAX },
	{ .key = NULL },
};

static const struct cm_json_field scalar_fields[] = {
	{ .key = "name",
	  .type = CM_JSON_NAME,
	  .offset = offsetof(struct cm_settings, name) },
	{ .key = "failure_domain",
	  .type = CM_JSON_NAME,
	  .offset = offsetof(struct cm_settings, domain) },
	{ .key = "threads",
	  .type = CM_JSON_U32,
	  .offset = offsetof(struct cm_settings, threads),
	  .is_optional = true,
	  .minimum = 1,
	  .maximum = THREADS_MAX },
	{ .key = "half_open_max",
	  .type = CM_JSON_U32,
	  .offset = offsetof(struct cm_settings, half_open_max),
	  .is_optional = true,
	  .minimum = HALF_OPEN_LIMIT_MIN,
	  .maximum = HALF_OPEN_LIMIT_MAX },
	{ .key = "drain_timeout_s",
	  .type = CM_JSON_U32,
	  .offset = offsetof(struct cm_settings, drain_timeout_s),
	  .is_optional = true,
	  .minimum = 0,
	  .maximum = DRAIN_TIMEOUT_S_MAX },
	{ .key = "log_level",
	  .type = CM_JSON_CHOICE,
	  .offset = offsetof(struct cm_settings, log_level),
	  .is_optional = true,
	  .choices = cm_log_levels },
	{ .key = NULL },
};

/**
 * struct endpoint_setting - maps a key to an endpoint of the settings
 * @key: the key
 * @offset: offset of the endpoint in struct cm_settings
 * @protocol: transport protocol of the endpoint
 * @is_optional: the key may be missing, in which case the default remains
 */
struct endpoint_setting {
	const char *key;
	size_t offset;
	uint8_t protocol;
	bool is_optional;
};

static const struct endpoint_setting endpoint_settings[] = {
	{ "data", offsetof(struct cm_settings, data), IPPROTO_UDP, false },
	{ "fabric", offsetof(struct cm_settings, fabric), IPPROTO_UDP, false },
	{ "control", offsetof(struct cm_settings, control), IPPROTO_TCP,
	  false },
	{ "admin", offsetof(struct cm_settings, admin), IPPROTO_TCP, true },
	{ NULL, 0, 0, false },
};

static int read_object(const struct cm_json_node *root, const char *key,
		       const struct cm_json_field *fields, void *target,
		       struct cm_json_error *error)
{
	struct cm_json_node node = {
		.parent = root,
		.key = key,
		.value = json_object_get(root->value, key),
	};

	if (!node.value)
		return cm_json_fail(error, root, key, CM_E_MISSING_KEY);
	return cm_json_read_fields(&node, fields, target, false, NULL, error);
}

static int read_endpoints(struct cm_settings *settings,
			  const struct cm_json_node *root,
			  struct cm_json_error *error)
{
	for (const struct endpoint_setting *field = endpoint_settings;
	     field->key; field++) {
		struct cm_endpoint *endpoint =
			(struct cm_endpoint *)((char *)settings +
					       field->offset);
		int result;

		endpoint->protocol = field->protocol;
		if (field->is_optional &&
		    !json_object_get(root->value, field->key))
			continue;
		result = read_object(root, field->key, endpoint_fields,
				     endpoint, error);
		if (result)
			return result;
	}
	return CM_OK;
}

/* Any peer makes the others known, so those beyond CM_PEERS_MAX are left out.
 */
static int read_peers(struct cm_settings *settings,
		      const struct cm_json_node *root,
		      struct cm_json_error *error)
{
	struct cm_json_node list = {
		.parent = root,
		.key = "peers",
		.value = json_object_get(root->value, "peers"),
	};
	struct cm_json_node item = { .parent = &list };

	if (!list.value)
		return CM_OK;
	if (!json_is_array(list.value))
		return cm_json_fail(error, root, "peers", CM_E_WRONG_TYPE);
	json_array_foreach (list.value, item.index, item.value) {
		struct cm_endpoint peer = { .protocol = IPPROTO_TCP };
		int result = cm_json_read_fields(&item, endpoint_fields, &peer,
						 false, NULL, error);

		if (result)
			return result;
		if (settings->peer_count < CM_PEERS_MAX)
			settings->peers[settings->peer_count++] = peer;
	}
	return CM_OK;
}

/*
 * Reads the strings and numbers of the root. cm_json_read_fields() would reject
 * the objects and arrays as unknown, so it gets a copy of the root without
 * them.
 */
static int read_scalars(struct cm_settings *settings,
			const struct cm_json_node *root,
			struct cm_json_error *error)
{
	struct cm_json_node scalars = { .value = json_copy(root->value) };
	int result;

	if (!scalars.value)
		return cm_json_fail(error, root, NULL, CM_E_MEMORY);
	for (const struct endpoint_setting *field = endpoint_settings;
	     field->key; field++)
		json_object_del(scalars.value, field->key);
	json_object_del(scalars.value, "peers");
	json_object_del(scalars.value, "store");
	result = cm_json_read_fields(&scalars, scalar_fields, settings, false,
				     NULL, error);
	json_decref(scalars.value);
	return result;
}

static int read_root(struct cm_settings *settings,
		     const struct cm_json_node *root,
		     struct cm_json_error *error)
{
	int result = cm_json_check_keys(root, root_keys, error);

	if (!result)
		result = read_scalars(settings, root, error);
	if (!result)
		result = read_endpoints(settings, root, error);
	if (!result)
		result = read_object(root, "store", store_fields, settings,
				     error);
	if (!result)
		result = read_peers(settings, root, error);
	if (!result)
		result = cm_settings_check(settings, error);
	return result;
}

int cm_settings_read_file(struct cm_settings *settings, const char *path,
			  struct cm_json_error *error)
{
	struct cm_json_node root = { .parent = NULL };
	struct cm_settings parsed = {
		.store_timeout_ms = STORE_TIMEOUT_MS_DEFAULT,
		.threads = THREADS_DEFAULT,
		.half_open_max = HALF_OPEN_LIMIT_DEFAULT,
		.drain_timeout_s = DRAIN_TIMEOUT_S_DEFAULT,
		.log_level = CM_LOG_INFO,
		.admin = { .address = INADDR_LOOPBACK,
			   .port = ADMIN_PORT_DEFAULT },
	};
	int result = cm_json_load_file(path, &root.value, error);

	if (result)
		return result;
	result = read_root(&parsed, &root, error);
	json_decref(root.value);
	if (!result)
		*settings = parsed;
	return result;
}
