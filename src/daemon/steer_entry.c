#include "steer_entry.h"

#include <glib.h>
#include <malloc.h>
#include <signal.h>
#include <string.h>

#include "adapters/http_server.h"
#include "adapters/socket.h"
#include "chervilmast/error.h"
#include "log.h"
#include "platform/packet_header.h"
#include "platform/registry.h"
#include "ports/clock.h"
#include "peer_loop.h"
#include "registry_loop.h"
#include "steer_loop.h"
#include "steer_page.h"

#define MS_PER_S 1000
/** The maximum wait for registry changes in one call is the shortest deadline
 * in the settings divided by this. */
#define WAIT_DIVISOR 2
/** Upper limit of the maximum wait for registry changes in one call, ms. */
#define WAIT_MAX_MS 1500
/** Allowance in the maximum usable age of another instance's data, in addition
 * to that instance's maximum wait for registry changes, ms. */
#define REGISTRY_AGE_EXTRA_MS 1200
/** Minimum margin between the maximum usable age of another instance's data and
 * the shortest deadline, ms. */
#define SOURCE_AGE_MARGIN_MS 600
/** An instance whose source does not answer calls the registry when the age of
 * its copy reaches the shortest deadline minus this margin, ms. The margin
 * leaves time for a slow call. */
#define STALE_MARGIN_MS 500
/** Part of the deadline domain_out_ms that is reserved for packets in flight,
 * ms. */
#define DOMAIN_OUT_MARGIN_MS 500
/** Maximum time for which packets wait in the socket after startup until a plan
 * and a server are known or the first read of the registry has ended, ms. A
 * caller's connection attempt times out by then. */
#define FIRST_READ_TIMEOUT_MS 1400
/** Minimum duration of a graceful shutdown, ms; leaves the fabric time to
 * detect that the instance is not ready. */
#define DRAIN_MIN_MS 1500
/** Time without forwarded packets after which a graceful shutdown is complete,
 * ms. */
#define DRAIN_IDLE_MS 1000
/** Part of stop_timeout_s that is reserved for stopping the threads, ms: the
 * drain ends at least this long before stop_timeout_s has passed. */
#define DRAIN_MARGIN_MS 700

/**
 * struct steer_entry - the process: its settings, state and threads
 * @settings: settings of the process
 * @path: path of the settings file, which is read again on SIGHUP
 * @steer: the steering instance
 * @packet_loop: packet loop; runs in the main thread
 * @registry: client of the registry
 * @feed: local copy of the registry
 * @peer_loop: thread for messages to and from other instances
 * @registry_loop: thread that keeps @feed up to date
 * @pages: HTTP server for readiness and metrics
 */
struct steer_entry {
	struct cm_steer_settings settings;
	const char *path;
	struct cm_steer steer;
	struct cm_steer_loop packet_loop;
	struct platform_registry registry;
	struct cm_feed feed;
	struct cm_peer_loop peer_loop;
	struct cm_registry_loop registry_loop;
	struct cm_http_server pages;
};

static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t reload_requested;

static void on_signal(int signal)
{
	if (signal == SIGHUP)
		reload_requested = 1;
	else
		stop_requested = 1;
}

static void catch_signals(sigset_t *wait_mask)
{
	static const int handled[] = { SIGTERM, SIGINT, SIGHUP };
	struct sigaction action = { .sa_handler = on_signal };
	sigset_t blocked;

	sigemptyset(&blocked);
	for (size_t i = 0; i < sizeof(handled) / sizeof(*handled); i++) {
		sigaddset(&blocked, handled[i]);
		sigaction(handled[i], &action, NULL);
	}
	pthread_sigmask(SIG_BLOCK, &blocked, wait_mask);
	for (size_t i = 0; i < sizeof(handled) / sizeof(*handled); i++)
		sigdelset(wait_mask, handled[i]);
	signal(SIGPIPE, SIG_IGN);
}

static uint32_t shortest_deadline_ms(const struct cm_steer_settings *settings)
{
	uint32_t deadline_ms = settings->server_leave_ms;

	if (settings->plan_ms < deadline_ms)
		deadline_ms = settings->plan_ms;
	if (settings->domain_out_ms < deadline_ms)
		deadline_ms = settings->domain_out_ms;
	return deadline_ms;
}

static uint32_t wait_ms(const struct cm_steer_settings *settings)
{
	uint32_t fraction_ms = shortest_deadline_ms(settings) / WAIT_DIVISOR;

	return fraction_ms < WAIT_MAX_MS ? fraction_ms : WAIT_MAX_MS;
}

/*
 * Return: age of the copy at which an instance whose source does not answer
 * calls the registry, ms.
 */
static uint32_t stale_ms(const struct cm_steer_settings *settings)
{
	uint32_t deadline_ms = shortest_deadline_ms(settings);

	return deadline_ms > STALE_MARGIN_MS ? deadline_ms - STALE_MARGIN_MS :
					       1;
}

/* Return: maximum usable age of another instance's data, ms. */
static uint32_t age_max_ms(const struct cm_steer_settings *settings)
{
	uint32_t deadline_ms = shortest_deadline_ms(settings);
	uint32_t expected_ms = wait_ms(settings) + REGISTRY_AGE_EXTRA_MS;

	deadline_ms = deadline_ms > SOURCE_AGE_MARGIN_MS ?
			      deadline_ms - SOURCE_AGE_MARGIN_MS :
			      1;
	return expected_ms < deadline_ms ? expected_ms : deadline_ms;
}

static struct cm_steer_config
steer_config(const struct cm_steer_settings *settings)
{
	struct cm_steer_config config = {
		.seed = cm_steer_name_hash(settings->name),
		.flows_max = settings->flows_max,
		.flow_life_ms = settings->flow_life_s * MS_PER_S,
		.domain_out_ms =
			settings->domain_out_ms > DOMAIN_OUT_MARGIN_MS ?
				settings->domain_out_ms - DOMAIN_OUT_MARGIN_MS :
				0,
		.registry_fresh_ms = settings->plan_ms,
		.lapse_grace_ms = settings->lapse_ms,
	};

	memcpy(config.domain, settings->domain, sizeof(config.domain));
	return config;
}

/*
 * start() and each start_*() function starts one part and then calls the
 * function for the next part, if any. If that fails, it stops its own part.
 */
static int start_pages(struct steer_entry *entry)
{
	const struct cm_http_site sites[] = {
		{ entry->settings.ready, cm_steer_ready_pages, &entry->steer },
		{ entry->settings.metrics, cm_steer_metrics_pages,
		  &entry->steer },
	};

	return cm_http_server_init(&entry->pages, sites,
				   sizeof(sites) / sizeof(*sites));
}

static int start_registry_loop(struct steer_entry *entry)
{
	int error;

	entry->registry_loop.feed = &entry->feed;
	entry->registry_loop.peers = &entry->peer_loop;
	entry->registry_loop.registry = &entry->registry.base;
	entry->registry_loop.settings = &entry->settings;
	entry->registry_loop.wait_ms = wait_ms(&entry->settings);
	error = cm_registry_loop_init(&entry->registry_loop);
	if (error)
		return error;
	error = start_pages(entry);
	if (error)
		cm_registry_loop_finish(&entry->registry_loop);
	return error;
}

static int start_peers(struct steer_entry *entry)
{
	int error = cm_peer_loop_init(&entry->peer_loop, &entry->feed);

	if (error)
		return error;
	error = start_registry_loop(entry);
	if (error)
		cm_peer_loop_finish(&entry->peer_loop);
	return error;
}

static struct cm_feed_config
feed_config(const struct cm_steer_settings *settings)
{
	struct cm_feed_config config = {
		.self.control = settings->control,
		/* Differs for each start; 0 is reserved for no instance. */
		.incarnation = cm_hash_mix(cm_steer_name_hash(settings->name),
					   cm_clock_us()) |
			       1,
		.age_max_ms = age_max_ms(settings),
		.stale_ms = stale_ms(settings),
	};

	memcpy(config.self.name, settings->name, sizeof(config.self.name));
	memcpy(config.self.domain, settings->domain,
	       sizeof(config.self.domain));
	return config;
}

static int start_registry(struct steer_entry *entry)
{
	struct cm_registry *registry = &entry->registry.base;
	struct cm_feed_config config = feed_config(&entry->settings);
	int error = platform_registry_init(&entry->registry,
					   entry->settings.store_url,
					   entry->settings.store_timeout_ms);

	if (error)
		return error;
	cm_feed_init(&entry->feed, &entry->steer, &config);
	error = start_peers(entry);
	if (error) {
		cm_feed_finish(&entry->feed);
		registry->ops->finish(registry);
		return error;
	}
	entry->packet_loop.feed = &entry->feed;
	return CM_OK;
}

static int start(struct steer_entry *entry)
{
	struct cm_steer_config config = steer_config(&entry->settings);
	int error;

	cm_steer_init(&entry->steer, &config);
	error = cm_steer_loop_init(&entry->packet_loop, &entry->steer,
				   &platform_fabric, &entry->settings.packets);
	if (!error) {
		error = start_registry(entry);
		if (error)
			cm_steer_loop_finish(&entry->packet_loop);
	}
	if (error)
		cm_steer_finish(&entry->steer);
	return error;
}

static void stop(struct steer_entry *entry)
{
	struct cm_registry *registry = &entry->registry.base;

	cm_http_server_finish(&entry->pages);
	cm_registry_loop_finish(&entry->registry_loop);
	cm_peer_loop_finish(&entry->peer_loop);
	cm_feed_finish(&entry->feed);
	registry->ops->finish(registry);
	cm_steer_loop_finish(&entry->packet_loop);
	cm_steer_finish(&entry->steer);
}

/* Applies only the log settings; logs which other settings have changed. */
static void reload(struct steer_entry *entry)
{
	struct cm_steer_settings settings;
	struct cm_json_error error;
	char *kept;

	reload_requested = 0;
	if (cm_steer_settings_read_file(&settings, entry->path, &error)) {
		cm_log(CM_EVENT_RELOAD_REFUSED, "path=%s error=%s", error.path,
		       cm_error_name(error.error));
		return;
	}
	cm_log_init(settings.log_level);
	cm_log_set_rate_limit(settings.log_lines_per_s);
	cm_log(CM_EVENT_RELOADED, "name=%s", settings.name);
	kept = cm_steer_settings_list_restart_keys(&entry->settings, &settings);
	if (kept)
		cm_log(CM_EVENT_SETTINGS_KEPT, "keys=%s", kept);
	g_free(kept);
}

static int run_until_signal(struct steer_entry *entry, const sigset_t *signals)
{
	int error = CM_OK;

	while (!error && !stop_requested) {
		error = cm_steer_loop_step(&entry->packet_loop, signals);
		if (reload_requested)
			reload(entry);
	}
	return error;
}

static bool is_drained(struct steer_entry *entry, uint64_t begin_ms)
{
	uint64_t now_ms = cm_clock_ms();
	uint64_t passed_ms = now_ms - begin_ms;
	uint64_t max_ms = (uint64_t)entry->settings.stop_timeout_s * MS_PER_S;

	if (passed_ms + DRAIN_MARGIN_MS >= max_ms)
		return true;
	return passed_ms >= DRAIN_MIN_MS &&
	       cm_steer_idle_ms(&entry->steer, now_ms) >= DRAIN_IDLE_MS;
}

/*
 * Forwards packets for at least DRAIN_MIN_MS and until none has been forwarded
 * for DRAIN_IDLE_MS, but ends DRAIN_MARGIN_MS before stop_timeout_s has passed.
 */
static void drain(struct steer_entry *entry, const sigset_t *signals)
{
	uint64_t begin_ms = cm_clock_ms();

	cm_log(CM_EVENT_LEAVING, "name=%s drain_timeout_s=%u",
	       entry->settings.name, entry->settings.stop_timeout_s);
	cm_steer_leave(&entry->steer);
	while (!is_drained(entry, begin_ms))
		if (cm_steer_loop_step(&entry->packet_loop, signals))
			break;
	cm_steer_loop_flush(&entry->packet_loop);
	cm_log(CM_EVENT_DRAINED, "name=%s after_ms=%llu", entry->settings.name,
	       (unsigned long long)(cm_clock_ms() - begin_ms));
}

int cm_steer_entry_run(const struct cm_steer_settings *settings,
		       const char *path)
{
	static struct steer_entry entry;
	char address[CM_ENDPOINT_TEXT_SIZE];
	sigset_t signals;
	int error;

	entry.settings = *settings;
	entry.path = path;
	/*
	 * One malloc arena suffices; creating one for each thread would delay
	 * the start.
	 */
	mallopt(M_ARENA_MAX, 1);
	cm_log_set_rate_limit(settings->log_lines_per_s);
	catch_signals(&signals);
	error = start(&entry);
	if (error)
		return error;
	cm_log(CM_EVENT_STARTED, "name=%s failure_domain=%s data=%s",
	       settings->name, settings->domain,
	       cm_endpoint_write(&settings->packets, address));
	cm_registry_loop_wait_first_data(&entry.registry_loop,
					 FIRST_READ_TIMEOUT_MS);
	error = run_until_signal(&entry, &signals);
	if (!error)
		drain(&entry, &signals);
	stop(&entry);
	cm_log(CM_EVENT_STOPPED, "name=%s", settings->name);
	cm_log_flush();
	return error;
}
