#include "feed_events.h"

#include "adapters/socket.h"
#include "chervilmast/error.h"
#include "log.h"
#include "ports/clock.h"

static void take_server(void *user, const struct cm_server_entry *entry)
{
	char address[CM_ENDPOINT_TEXT_SIZE];
	int error = cm_steer_put_server(user, cm_clock_ms(), entry);

	cm_log(CM_EVENT_SERVER_ENTRY,
	       "server=%llx service=%s failure_domain=%s at=%s draining=%d "
	       "cold_left_ms=%u outcome=%s",
	       (unsigned long long)entry->id, entry->service, entry->domain,
	       cm_endpoint_write(&entry->address, address), entry->is_draining,
	       entry->cold_left_ms, cm_error_name(error));
}

static void take_server_gone(void *user, uint64_t id)
{
	cm_steer_remove_server(user, cm_clock_ms(), id);
	cm_log(CM_EVENT_SERVER_GONE, "server=%llx", (unsigned long long)id);
}

static void take_peer(void *user, const struct cm_peer_entry *entry)
{
	int error = cm_steer_put_peer(user, entry);

	cm_log(CM_EVENT_PEER_ENTRY, "peer=%s failure_domain=%s outcome=%s",
	       entry->name, entry->domain, cm_error_name(error));
}

static void take_peer_gone(void *user, const char *name)
{
	cm_steer_remove_peer(user, cm_clock_ms(), name);
	cm_log(CM_EVENT_PEER_GONE, "peer=%s", name);
}

static void take_plan(void *user, struct cm_steer_plan *plan)
{
	uint64_t version = plan->version;
	size_t routes = plan->route_count;
	int error = cm_steer_set_plan(user, plan);

	cm_log(CM_EVENT_PLAN, "version=%llu routes=%zu outcome=%s",
	       (unsigned long long)version, routes, cm_error_name(error));
}

static void take_domain_out(void *user, const char *domain, bool is_out)
{
	int error =
		cm_steer_set_domain_out(user, cm_clock_ms(), domain, is_out);

	cm_log(CM_EVENT_DOMAIN, "failure_domain=%s out=%d outcome=%s", domain,
	       is_out, cm_error_name(error));
}

static void take_bad_item(void *user, const char *key, int error)
{
	struct cm_steer *steer = user;

	cm_counters_add(&steer->counters, CM_C_REGISTRY_BAD_ITEM);
	cm_log(CM_EVENT_REGISTRY_BAD_ITEM, "key=%s error=%s", key,
	       cm_error_name(error));
}

struct cm_registry_events cm_feed_events(struct cm_steer *steer)
{
	const struct cm_registry_events events = {
		.server = take_server,
		.server_gone = take_server_gone,
		.peer = take_peer,
		.peer_gone = take_peer_gone,
		.plan = take_plan,
		.domain_out = take_domain_out,
		.bad_item = take_bad_item,
		.user = steer,
	};

	return events;
}
