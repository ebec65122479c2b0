#include "settings.h"

#include <string.h>

#include "adapters/http_client.h"
#include "chervilmast/error.h"

static const char *const url_schemes[] = { "http", NULL };

static int fail(struct cm_json_error *error, const char *parent,
		const char *key, int error_code)
{
	struct cm_json_node root = { .parent = NULL };
	struct cm_json_node node = { .parent = &root, .key = parent };

	return cm_json_fail(error, &node, key, error_code);
}

/*
 * The addresses of "control" and "data" must be equal, as the platform's list
 * of instances stores one address for both.
 */
static int check_same_address(const struct cm_settings *settings,
			      struct cm_json_error *error)
{
	if (settings->control.address == settings->data.address)
		return CM_OK;
	return fail(error, "control", "address", CM_E_HOST_MISMATCH);
}

static int check_own_endpoints(const struct cm_settings *settings,
			       struct cm_json_error *error)
{
	if (cm_endpoint_equal(&settings->fabric, &settings->data))
		return fail(error, "fabric", NULL, CM_E_DUPLICATE_ENDPOINT);
	if (cm_endpoint_equal(&settings->admin, &settings->control))
		return fail(error, "admin", NULL, CM_E_DUPLICATE_ENDPOINT);
	return CM_OK;
}

static bool peer_is_duplicate(const struct cm_settings *settings, size_t peer)
{
	const struct cm_endpoint *address = &settings->peers[peer];

	if (cm_endpoint_equal(address, &settings->control))
		return true;
	for (size_t i = 0; i < peer; i++)
		if (cm_endpoint_equal(address, &settings->peers[i]))
			return true;
	return false;
}

static int check_peers(const struct cm_settings *settings,
		       struct cm_json_error *error)
{
	struct cm_json_node root = { .parent = NULL };
	struct cm_json_node list = { .parent = &root, .key = "peers" };
	struct cm_json_node item = { .parent = &list };

	for (; item.index < settings->peer_count; item.index++)
		if (peer_is_duplicate(settings, item.index))
			return cm_json_fail(error, &item, NULL,
					    CM_E_DUPLICATE_ENDPOINT);
	return CM_OK;
}

/* Paths are appended to the URL, so it must have no query or fragment. */
static int check_url(const struct cm_settings *settings,
		     struct cm_json_error *error)
{
	if (cm_http_url_is_valid(settings->store_url))
		return CM_OK;
	fail(error, "store", "url", CM_E_BAD_URL);
	error->choices = url_schemes;
	return CM_E_BAD_URL;
}

static int check_prefix(const struct cm_settings *settings,
			struct cm_json_error *error)
{
	size_t length = strlen(settings->store_prefix);

	if (length && settings->store_prefix[length - 1] == '/')
		return CM_OK;
	return fail(error, "store", "prefix", CM_E_BAD_PREFIX);
}

int cm_settings_check(const struct cm_settings *settings,
		      struct cm_json_error *error)
{
	int result = check_same_address(settings, error);

	if (!result)
		result = check_own_endpoints(settings, error);
	if (!result)
		result = check_peers(settings, error);
	if (!result)
		result = check_url(settings, error);
	if (!result)
		result = check_prefix(settings, error);
	return result;
}
