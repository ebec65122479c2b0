#include "steer_settings.h"

#include <glib.h>
#include <netinet/in.h>
#include <string.h>

#include "adapters/http_client.h"
#include "adapters/socket.h"
#include "chervilmast/error.h"
#include "log_levels.h"

#define MS_PER_S 1000
#define STORE_TIMEOUT_MS_MIN 10
#define STORE_TIMEOUT_MS_MAX 60000
#define STORE_TIMEOUT_MS_DEFAULT 500
#define DEADLINE_MS_MIN 100
#define LAPSE_MS_DEFAULT 2500
#define FLOW_LIFE_S_MAX (UINT32_MAX / MS_PER_S)
#define FLOWS_LIMIT_MIN 64
#define FLOWS_LIMIT_MAX 10000000
#define FLOWS_LIMIT_DEFAULT 65536
#define LOG_LINES_PER_S_MAX 100000
#define LOG_LINES_PER_S_DEFAULT 200

#define NAME_FIELD(name, member)                                     \
	{                                                            \
		.key = (name), .type = CM_JSON_NAME,                 \
		.offset = offsetof(struct cm_steer_settings, member) \
	}
#define ENDPOINT_FIELD(name)                                       \
	{                                                          \
		.key = #name, .type = CM_JSON_ENDPOINT,            \
		.offset = offsetof(struct cm_steer_settings, name) \
	}
#define NUMBER_FIELD(name, can_omit, least, most)                   \
	{                                                           \
		.key = #name, .type = CM_JSON_U32,                  \
		.offset = offsetof(struct cm_steer_settings, name), \
		.is_optional = (can_omit), .allows_fraction = true, \
		.minimum = (least), .maximum = (most)               \
	}

static const struct cm_json_field fields[] = {
	NAME_FIELD("name", name),
	NAME_FIELD("failure_domain", domain),
	ENDPOINT_FIELD(packets),
	ENDPOINT_FIELD(ready),
	ENDPOINT_FIELD(metrics),
	ENDPOINT_FIELD(control),
	{ .key = "store_url",
	  .type = CM_JSON_TEXT,
	  .offset = offsetof(struct cm_steer_settings, store_url),
	  .size = CM_SETTINGS_TEXT_SIZE },
	NUMBER_FIELD(store_timeout_ms, true, STORE_TIMEOUT_MS_MIN,
		     STORE_TIMEOUT_MS_MAX),
	NUMBER_FIELD(server_leave_ms, false, DEADLINE_MS_MIN, UINT32_MAX),
	NUMBER_FIELD(domain_out_ms, false, DEADLINE_MS_MIN, UINT32_MAX),
	NUMBER_FIELD(plan_ms, false, DEADLINE_MS_MIN, UINT32_MAX),
	NUMBER_FIELD(lapse_ms, true, 0, UINT32_MAX),
	NUMBER_FIELD(flow_life_s, false, 1, FLOW_LIFE_S_MAX),
	NUMBER_FIELD(stop_timeout_s, false, 0, UINT32_MAX),
	NUMBER_FIELD(flows_max, true, FLOWS_LIMIT_MIN, FLOWS_LIMIT_MAX),
	{ .key = "log_level",
	  .type = CM_JSON_CHOICE,
	  .offset = offsetof(struct cm_steer_settings, log_level),
	  .is_optional = true,
	  .choices = cm_log_levels },
	NUMBER_FIELD(log_lines_per_s, true, 0, LOG_LINES_PER_S_MAX),
	{ .key = NULL },
};

/* One seed suffices, so those beyond CM_STEER_SEEDS_MAX are left out. */
static int read_seeds(struct cm_steer_settings *settings,
		      const struct cm_json_node *root,
		      struct cm_json_error *error)
{
	struct cm_json_node list = {
		.parent = root,
		.key = "seeds",
		.value = json_object_get(root->value, "seeds"),
	};
	size_t index;
	json_t *value;

	if (!list.value)
		return CM_OK;
	if (!json_is_array(list.value))
		return cm_json_fail(error, root, "seeds", CM_E_WRONG_TYPE);
	json_array_foreach (list.value, index, value) {
		struct cm_endpoint seed = { .protocol = IPPROTO_TCP };
		const struct cm_json_node item = { .parent = &list,
						   .index = index,
						   .value = value };

		if (!json_is_string(value))
			return cm_json_fail(error, &item, NULL,
					    CM_E_WRONG_TYPE);
		if (cm_endpoint_parse(&seed, json_string_value(value)))
			return cm_json_fail(error, &item, NULL,
					    CM_E_BAD_ADDRESS);
		if (settings->seed_count < CM_STEER_SEEDS_MAX)
			settings->seeds[settings->seed_count++] = seed;
	}
	return CM_OK;
}

/* Removes "seeds" after reading it, as cm_json_read_fields() reads no array. */
static int read_root(struct cm_steer_settings *settings,
		     const struct cm_json_node *root,
		     struct cm_json_error *error)
{
	int result = read_seeds(settings, root, error);

	json_object_del(root->value, "seeds");
	if (!result)
		result = cm_json_read_fields(root, fields, settings, false,
					     NULL, error);
	if (!result && !cm_http_url_is_valid(settings->store_url))
		result = cm_json_fail(error, root, "store_url", CM_E_BAD_URL);
	return result;
}

int cm_steer_settings_read_file(struct cm_steer_settings *settings,
				const char *path, struct cm_json_error *error)
{
	struct cm_json_node root = { .parent = NULL };
	struct cm_steer_settings parsed = {
		.packets.protocol = IPPROTO_UDP,
		.ready.protocol = IPPROTO_TCP,
		.metrics.protocol = IPPROTO_TCP,
		.control.protocol = IPPROTO_TCP,
		.store_timeout_ms = STORE_TIMEOUT_MS_DEFAULT,
		.lapse_ms = LAPSE_MS_DEFAULT,
		.flows_max = FLOWS_LIMIT_DEFAULT,
		.log_level = CM_LOG_INFO,
		.log_lines_per_s = LOG_LINES_PER_S_DEFAULT,
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

/* Whether a change of the key takes effect on SIGHUP. */
static bool is_reloaded(const char *key)
{
	return !strcmp(key, "log_level") || !strcmp(key, "log_lines_per_s");
}

static void add_key(GString *keys, const char *key)
{
	if (keys->len)
		g_string_append_c(keys, ',');
	g_string_append(keys, key);
}

static bool seeds_differ(const struct cm_steer_settings *a,
			 const struct cm_steer_settings *b)
{
	if (a->seed_count != b->seed_count)
		return true;
	for (size_t i = 0; i < a->seed_count; i++)
		if (!cm_endpoint_equal(&a->seeds[i], &b->seeds[i]))
			return true;
	return false;
}

char *
cm_steer_settings_list_restart_keys(const struct cm_steer_settings *at_start,
				    const struct cm_steer_settings *reloaded)
{
	GString *keys = g_string_new(NULL);
	json_t *before = cm_json_write_fields(fields, at_start, 0);
	json_t *after = cm_json_write_fields(fields, reloaded, 0);
	const char *key;
	json_t *value;

	json_object_foreach (before, key, value)
		if (!is_reloaded(key) &&
		    !json_equal(value, json_object_get(after, key)))
			add_key(keys, key);
	if (seeds_differ(at_start, reloaded))
		add_key(keys, "seeds");
	json_decref(before);
	json_decref(after);
	return g_string_free(keys, !keys->len);
}
