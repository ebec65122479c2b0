#include "registry_loop.h"

#include <ck_pr.h>
#include <string.h>
#include <time.h>

#include "adapters/socket.h"
#include "chervilmast/error.h"
#include "log.h"
#include "ports/clock.h"

/** Pause between answers, so that several events come in one, ms. */
#define PAUSE_MS 200
/** Pause after a call that failed, ms. */
#define RETRY_MS 150
/** Time between renewals of the node's own entry, ms. */
#define ANNOUNCE_MS (CM_REGISTRY_ENTRY_MS / 3)
#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define NS_PER_S 1000000000

static void told_begin(void *user)
{
	struct cm_registry_loop *loop = user;

	cm_steer_snapshot_begin(loop->steer);
}

static void told_end(void *user)
{
	struct cm_registry_loop *loop = user;

	cm_steer_snapshot_end(loop->steer, cm_clock_ms());
}

static void told_server(void *user, const struct cm_server_entry *entry)
{
	struct cm_registry_loop *loop = user;
	int error = cm_steer_put_server(loop->steer, cm_clock_ms(), entry);
	char address[CM_ENDPOINT_TEXT_SIZE];

	cm_log(CM_EVENT_SERVER_ENTRY,
	       "server=%llx service=%s failure_domain=%s at=%s draining=%d "
	       "cold_left_ms=%u outcome=%s",
	       (unsigned long long)entry->id, entry->service, entry->domain,
	       cm_endpoint_write(&entry->address, address), entry->is_draining,
	       entry->cold_left_ms, cm_error_name(error));
}

static void told_server_gone(void *user, uint64_t id)
{
	struct cm_registry_loop *loop = user;

	cm_steer_remove_server(loop->steer, cm_clock_ms(), id);
	cm_log(CM_EVENT_SERVER_GONE, "server=%llx", (unsigned long long)id);
}

static void told_peer(void *user, const struct cm_peer_entry *entry)
{
	struct cm_registry_loop *loop = user;
	int error = cm_steer_put_peer(loop->steer, entry);

	cm_log(CM_EVENT_PEER_ENTRY, "peer=%s failure_domain=%s outcome=%s",
	       entry->name, entry->domain, cm_error_name(error));
}

static void told_peer_gone(void *user, const char *name)
{
	struct cm_registry_loop *loop = user;

	cm_steer_remove_peer(loop->steer, cm_clock_ms(), name);
	cm_log(CM_EVENT_PEER_GONE, "peer=%s", name);
}

static void told_plan(void *user, struct cm_steer_plan *plan)
{
	struct cm_registry_loop *loop = user;
	uint64_t version = plan->version;
	size_t routes = plan->route_count;
	int error = cm_steer_set_plan(loop->steer, plan);

	cm_log(CM_EVENT_PLAN, "version=%llu routes=%zu outcome=%s",
	       (unsigned long long)version, routes, cm_error_name(error));
}

static void told_domain_out(void *user, const char *domain, bool is_out)
{
	struct cm_registry_loop *loop = user;
	int error = cm_steer_set_domain_out(loop->steer, cm_clock_ms(), domain,
					    is_out);

	cm_log(CM_EVENT_DOMAIN, "failure_domain=%s out=%d outcome=%s", domain,
	       is_out, cm_error_name(error));
}

static void told_bad_item(void *user, const char *key, int error)
{
	struct cm_registry_loop *loop = user;

	cm_counters_add(&loop->steer->counters, CM_C_REGISTRY_BAD_ITEM);
	cm_log(CM_EVENT_REGISTRY_BAD_ITEM, "key=%s error=%s", key,
	       cm_error_name(error));
}

static void note_answer(struct cm_registry_loop *loop, uint64_t asked_ms,
			int error)
{
	bool reachable = !error || error == CM_E_COMPACTED;

	if (!error)
		cm_steer_heard(loop->steer, asked_ms);
	if (!reachable)
		cm_steer_lost(loop->steer);
	if (reachable == loop->is_reachable)
		return;
	loop->is_reachable = reachable;
	cm_log(reachable ? CM_EVENT_STORE_REACHABLE :
			   CM_EVENT_STORE_UNREACHABLE,
	       "error=%s", cm_error_name(error));
}

static void count_calls(struct cm_registry_loop *loop)
{
	uint64_t calls = loop->registry->ops->calls(loop->registry);

	cm_counters_add_many(&loop->steer->counters, CM_C_STORE_CALLS,
			     calls - loop->counted);
	loop->counted = calls;
}

static int call(struct cm_registry_loop *loop)
{
	const struct cm_registry_sink sink = {
		.begin = told_begin,
		.end = told_end,
		.server = told_server,
		.server_gone = told_server_gone,
		.peer = told_peer,
		.peer_gone = told_peer_gone,
		.plan = told_plan,
		.domain_out = told_domain_out,
		.bad_item = told_bad_item,
		.user = loop,
	};
	const struct cm_registry_ops *ops = loop->registry->ops;
	int error;

	if (loop->is_read)
		return ops->wait(loop->registry, loop->wait_ms, &sink);
	error = ops->read(loop->registry, &sink);
	loop->is_read = !error;
	cm_counters_add(&loop->steer->counters, CM_C_REGISTRY_SNAPSHOTS);
	return error;
}

static void note_tried(struct cm_registry_loop *loop)
{
	pthread_mutex_lock(&loop->lock);
	loop->is_tried = true;
	pthread_cond_broadcast(&loop->tried);
	pthread_mutex_unlock(&loop->lock);
}

static void announce(struct cm_registry_loop *loop)
{
	uint64_t now_ms = cm_clock_ms();
	int error;

	if (loop->announced_ms && now_ms < loop->announced_ms + ANNOUNCE_MS)
		return;
	error = loop->registry->ops->announce(loop->registry, &loop->self);
	if (!error)
		loop->announced_ms = now_ms;
	else
		cm_log(CM_EVENT_ANNOUNCE_FAILED, "error=%s",
		       cm_error_name(error));
}

static void take_step(struct cm_registry_loop *loop)
{
	uint64_t asked_ms = cm_clock_ms();
	int error = call(loop);

	if (error == CM_E_COMPACTED)
		loop->is_read = false;
	note_answer(loop, asked_ms, error);
	count_calls(loop);
	if (error && error != CM_E_COMPACTED)
		cm_counters_add(&loop->steer->counters, CM_C_STORE_RETRIES);
	note_tried(loop);
	if (!error && !ck_pr_load_32(&loop->stopping))
		announce(loop);
	if (!ck_pr_load_32(&loop->stopping))
		cm_clock_sleep_ms(error ? RETRY_MS : PAUSE_MS);
}

void cm_registry_loop_wait_first(struct cm_registry_loop *loop,
				 uint32_t most_ms)
{
	struct timespec end;

	clock_gettime(CLOCK_MONOTONIC, &end);
	end.tv_sec += most_ms / MS_PER_S;
	end.tv_nsec += (long)(most_ms % MS_PER_S) * NS_PER_MS;
	if (end.tv_nsec >= NS_PER_S) {
		end.tv_sec++;
		end.tv_nsec -= NS_PER_S;
	}
	pthread_mutex_lock(&loop->lock);
	while (!loop->is_tried &&
	       !pthread_cond_timedwait(&loop->tried, &loop->lock, &end))
		;
	pthread_mutex_unlock(&loop->lock);
}

static void *registry_thread(void *user)
{
	struct cm_registry_loop *loop = user;

	while (!ck_pr_load_32(&loop->stopping))
		take_step(loop);
	return NULL;
}

int cm_registry_loop_init(struct cm_registry_loop *loop, struct cm_steer *steer,
			  struct cm_registry *registry,
			  const struct cm_peer_entry *self, uint32_t wait_ms)
{
	pthread_condattr_t monotonic;

	memset(loop, 0, sizeof(*loop));
	loop->steer = steer;
	loop->registry = registry;
	loop->self = *self;
	loop->wait_ms = wait_ms;
	loop->is_reachable = true;
	pthread_mutex_init(&loop->lock, NULL);
	pthread_condattr_init(&monotonic);
	pthread_condattr_setclock(&monotonic, CLOCK_MONOTONIC);
	pthread_cond_init(&loop->tried, &monotonic);
	pthread_condattr_destroy(&monotonic);
	if (pthread_create(&loop->thread, NULL, registry_thread, loop))
		return CM_E_MEMORY;
	return CM_OK;
}

void cm_registry_loop_finish(struct cm_registry_loop *loop)
{
	ck_pr_store_32(&loop->stopping, 1);
	loop->registry->ops->interrupt(loop->registry);
	pthread_join(loop->thread, NULL);
}
