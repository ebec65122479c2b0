#include "entry.h"

#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <time.h>

#include "adapters/socket.h"
#include "adapters/udp_link.h"
#include "admin.h"
#include "chervilmast/error.h"
#include "chervilmast/node_drain.h"
#include "control_loop.h"
#include "log.h"
#include "note_feed.h"
#include "packet_loop.h"
#include "ports/clock.h"
#include "store_loop.h"

#define TICK_INTERVAL_MS 100
#define NS_PER_MS 1000000
#define MS_PER_S 1000
/*
 * Minimum duration of a graceful shutdown, ms. Leaves time for the other
 * instances to receive the announcement that this instance is leaving, and for
 * packets that they relayed to it earlier to arrive.
 */
#define DRAIN_MIN_MS 1000

/**
 * struct entry - state of an entry instance
 * @settings: settings of the process
 * @node: the node
 * @link: data socket
 * @feed: note feed
 * @control: control thread
 * @packets: packet threads
 * @store: store thread
 * @admin: admin port
 */
struct entry {
	const struct cm_settings *settings;
	struct cm_node node;
	struct cm_udp_link link;
	struct cm_note_feed feed;
	struct cm_control_loop control;
	struct cm_packet_loop packets;
	struct cm_store_loop store;
	struct cm_admin admin;
};

static void on_instances(void *user, const struct cm_member *members,
			 uint32_t count)
{
	struct entry *entry = user;

	cm_control_loop_add_listed(&entry->control, members, count);
}

static int start_store_and_admin(struct entry *entry)
{
	int error = cm_store_loop_init(&entry->store, &entry->feed,
				       entry->settings, on_instances, entry);

	if (error)
		return error;
	error = cm_admin_init(&entry->admin, &entry->node, entry->settings);
	if (error)
		cm_store_loop_finish(&entry->store);
	return error;
}

static int start_threads(struct entry *entry)
{
	int error = cm_control_loop_init(&entry->control, &entry->node,
					 &entry->feed, entry->settings);

	if (error)
		return error;
	error = cm_packet_loop_init(
		&entry->packets, &entry->node, &entry->link.base,
		&entry->control.send_queue, entry->settings);
	if (!error) {
		error = start_store_and_admin(entry);
		if (error)
			cm_packet_loop_finish(&entry->packets);
	}
	if (error)
		cm_control_loop_finish(&entry->control);
	return error;
}

/*
 * The incarnation is the start time by the wall clock, ms, so that it is
 * greater than that of any earlier process unless the clock was set back.
 */
static struct cm_member describe_self(const struct cm_settings *settings)
{
	struct cm_member self = {
		.data_address = settings->data,
		.control_address = settings->control,
		.incarnation = cm_clock_wall_s() * MS_PER_S,
	};

	memcpy(self.name, settings->name, sizeof(self.name));
	memcpy(self.domain, settings->domain, sizeof(self.domain));
	return self;
}

static int entry_start(struct entry *entry, const struct cm_settings *settings)
{
	struct cm_node_config config = {
		.self = settings->data,
		.half_open_max = settings->half_open_max,
	};
	struct cm_member self = describe_self(settings);
	int error;

	entry->settings = settings;
	error = cm_udp_link_init(&entry->link, &settings->data);
	if (error)
		return error;
	error = cm_node_init(&entry->node, &config);
	cm_note_feed_init(&entry->feed, &entry->node, &self, cm_clock_ms());
	if (!error)
		error = start_threads(entry);
	if (error) {
		cm_note_feed_finish(&entry->feed);
		cm_node_finish(&entry->node);
		cm_udp_link_finish(&entry->link);
	}
	return error;
}

static void entry_stop(struct entry *entry)
{
	cm_admin_finish(&entry->admin);
	cm_store_loop_finish(&entry->store);
	cm_control_loop_finish(&entry->control);
	cm_packet_loop_finish(&entry->packets);
	cm_note_feed_finish(&entry->feed);
	cm_node_finish(&entry->node);
	cm_udp_link_finish(&entry->link);
}

static void entry_tick(struct entry *entry, struct cm_actions *actions)
{
	cm_actions_clear(actions);
	cm_node_tick(&entry->node, cm_clock_ms(), actions);
	cm_node_send_loads(&entry->node, cm_clock_ms(), actions);
	cm_packet_loop_send(&entry->packets, actions, NULL);
}

/*
 * Runs a tick and waits until the next one is due. Returns true if a signal
 * arrived in the meantime.
 */
static bool tick_or_signal(struct entry *entry, const sigset_t *signals,
			   struct cm_actions *actions)
{
	struct timespec wait = { .tv_nsec = TICK_INTERVAL_MS * NS_PER_MS };

	entry_tick(entry, actions);
	return sigtimedwait(signals, NULL, &wait) > 0;
}

static void run_until_signal(struct entry *entry, const sigset_t *signals,
			     struct cm_actions *actions)
{
	while (!tick_or_signal(entry, signals, actions))
		;
}

/*
 * Whether no state remains that only this instance holds, and the send queue
 * has no more bindings and loads for other instances.
 */
static bool is_drained(struct entry *entry, struct cm_node_drain *remaining)
{
	return cm_node_drain_read(&entry->node, remaining) &&
	       cm_notification_queue_is_empty(&entry->control.send_queue);
}

/* Waits until the graceful shutdown ends; returns why it ended, for the log. */
static const char *drain(struct entry *entry, const sigset_t *signals,
			 struct cm_actions *actions,
			 struct cm_node_drain *remaining)
{
	uint64_t begin_ms = cm_clock_ms();
	uint64_t end_ms = begin_ms +
			  (uint64_t)entry->settings->drain_timeout_s * MS_PER_S;

	while (cm_clock_ms() < end_ms) {
		if (tick_or_signal(entry, signals, actions))
			return "signal";
		if (is_drained(entry, remaining) &&
		    cm_clock_ms() >= begin_ms + DRAIN_MIN_MS)
			return "complete";
	}
	return "timeout";
}

static void leave(struct entry *entry, const sigset_t *signals,
		  struct cm_actions *actions)
{
	const struct cm_settings *settings = entry->settings;
	struct cm_node_drain remaining;
	const char *ended_by;

	cm_log(CM_EVENT_LEAVING, "name=%s drain_timeout_s=%u", settings->name,
	       settings->drain_timeout_s);
	cm_node_leave(&entry->node);
	cm_control_loop_leave(&entry->control);
	ended_by = drain(entry, signals, actions, &remaining);
	cm_node_drain_read(&entry->node, &remaining);
	cm_log(CM_EVENT_DRAINED,
	       "name=%s ended_by=%s held_flows=%" PRIu64
	       " bindings_told=%s reports_due=%u",
	       settings->name, ended_by, remaining.held_flows,
	       remaining.bindings_pending ? "no" : "yes",
	       remaining.reports_pending);
}

int cm_entry_run(const struct cm_settings *settings)
{
	char address[CM_ENDPOINT_TEXT_SIZE];
	struct entry entry = { .settings = settings };
	struct cm_actions actions;
	sigset_t signals;
	int error;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	error = entry_start(&entry, settings);
	if (error)
		return error;
	cm_log(CM_EVENT_STARTED, "name=%s failure_domain=%s data=%s",
	       settings->name, settings->domain,
	       cm_endpoint_write(&settings->data, address));
	cm_actions_init(&actions);
	run_until_signal(&entry, &signals, &actions);
	leave(&entry, &signals, &actions);
	cm_actions_finish(&actions);
	entry_stop(&entry);
	cm_log(CM_EVENT_STOPPED, "name=%s", settings->name);
	return CM_OK;
}
