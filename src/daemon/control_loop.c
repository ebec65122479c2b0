#include "control_loop.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/socket.h"
#include "chervilmast/error.h"
#include "log.h"
#include "ports/clock.h"

/** Interval between ticks of the membership protocol, ms. */
#define TICK_INTERVAL_MS 50
/**
 * Maximum time for which bindings and loads are collected before they are sent,
 * ms; those for the same instance share a message.
 */
#define BATCH_MS 10
/**
 * Time for which connections stay open after the stop of this instance was
 * announced, ms, so that the announcement can be sent.
 */
#define STOP_ANNOUNCE_MS 100
#define MS_PER_S 1000

static const enum cm_log_event member_events[] = {
	[CM_MEMBER_ALIVE] = CM_EVENT_MEMBER_ALIVE,
	[CM_MEMBER_LEAVING] = CM_EVENT_MEMBER_LEAVING,
	[CM_MEMBER_UNREACHABLE] = CM_EVENT_MEMBER_UNREACHABLE,
	[CM_MEMBER_DEAD] = CM_EVENT_MEMBER_DEAD,
};

static const struct cm_member *find_logged(const struct cm_control_loop *loop,
					   const struct cm_endpoint *data)
{
	for (uint32_t i = 0; i < loop->logged_count; i++)
		if (cm_endpoint_equal(&loop->logged[i].data_address, data))
			return &loop->logged[i];
	return NULL;
}

static void log_member(const struct cm_control_loop *loop,
		       const struct cm_member *member)
{
	const struct cm_member *before =
		find_logged(loop, &member->data_address);
	char address[CM_ENDPOINT_TEXT_SIZE];

	if (before && before->state == member->state &&
	    before->incarnation == member->incarnation)
		return;
	cm_log(member_events[member->state],
	       "member=%s failure_domain=%s data=%s incarnation=%llu",
	       member->name, member->domain,
	       cm_endpoint_write(&member->data_address, address),
	       (unsigned long long)member->incarnation);
}

static void apply_members(struct cm_control_loop *loop,
			  struct cm_member *members, uint32_t count)
{
	cm_node_set_members(loop->node, members, count);
	cm_note_follower_set_members(&loop->feed->follower, cm_clock_ms(),
				     members, count);
	for (uint32_t i = 0; i < count; i++)
		log_member(loop, &members[i]);
	free(loop->logged);
	loop->logged = members;
	loop->logged_count = count;
}

static void send_outbox(struct cm_control_loop *loop, struct cm_outbox *outbox)
{
	struct cm_peers *peers = &loop->peers.base;

	for (size_t i = 0; i < outbox->count; i++)
		peers->ops->send(peers, &outbox->items[i].to,
				 &outbox->items[i].message);
	cm_outbox_clear(outbox);
}

static void log_pause_change(struct cm_control_loop *loop, bool is_catching_up)
{
	if (is_catching_up == loop->is_pause_logged)
		return;
	loop->is_pause_logged = is_catching_up;
	cm_log(is_catching_up ? CM_EVENT_PAUSED : CM_EVENT_CAUGHT_UP,
	       "version=%llu", (unsigned long long)cm_node_version(loop->node));
}

static void tick(struct cm_control_loop *loop, struct cm_outbox *outbox)
{
	struct cm_membership *membership = &loop->membership;
	uint8_t id[CM_PUBLICATION_ID_SIZE];
	uint64_t version = cm_node_publication(loop->node, id);
	struct cm_member *members;
	uint32_t count;
	bool has_changed, is_catching_up;

	pthread_mutex_lock(&loop->lock);
	cm_membership_set_note(membership, version, id);
	cm_membership_tick(membership, cm_clock_ms(), outbox);
	cm_node_set_deadlines(loop->node,
			      cm_membership_admit_until_ms(membership),
			      cm_membership_handle_until_ms(membership));
	has_changed =
		cm_membership_take_members(membership, &members, &count) > 0;
	is_catching_up = membership->is_catching_up;
	pthread_mutex_unlock(&loop->lock);
	if (has_changed)
		apply_members(loop, members, count);
	log_pause_change(loop, is_catching_up);
	send_outbox(loop, outbox);
	cm_note_feed_tick(loop->feed, cm_clock_ms(), &loop->peers.base);
}

static void flush_send_queue(struct cm_control_loop *loop,
			     struct cm_outbox *outbox)
{
	cm_notification_queue_take(&loop->send_queue, outbox);
	for (size_t i = 0; i < outbox->count; i++)
		cm_membership_set_sender(&loop->membership,
					 &outbox->items[i].message);
	send_outbox(loop, outbox);
}

static void fill_server(struct cm_message_server *item,
			const struct cm_node_server_status *server)
{
	memcpy(item->name, server->spec.name, sizeof(item->name));
	item->address = server->spec.address;
	item->state = server->spec.state;
	item->is_home = server->is_home;
	item->open_connections = server->open_connections;
}

/*
 * Reports a server only if this instance is its home, so that the answers of
 * all instances together stay small.
 */
static void fill_servers(struct cm_control_loop *loop,
			 struct cm_message_status *status)
{
	struct cm_node_server_status *servers;
	uint32_t count;
	uint32_t own_count = 0;

	if (cm_node_servers(loop->node, &servers, &count))
		return;
	for (uint32_t i = 0; i < count; i++)
		if (servers[i].is_home)
			servers[own_count++] = servers[i];
	if (!cm_message_servers_reserve(status, own_count))
		for (uint32_t i = 0; i < own_count; i++)
			fill_server(&status->servers[i], &servers[i]);
	free(servers);
}

static bool answer_status(struct cm_control_loop *loop,
			  struct cm_message *answer)
{
	struct cm_message_status *status = &answer->status;

	cm_message_init(answer, CM_MESSAGE_STATUS);
	memcpy(status->name, loop->settings->name, sizeof(status->name));
	status->version = cm_node_version(loop->node);
	status->uptime_s = (cm_clock_ms() - loop->start_ms) / MS_PER_S;
	pthread_mutex_lock(&loop->lock);
	cm_membership_set_sender(&loop->membership, answer);
	cm_membership_list(&loop->membership, &status->members);
	pthread_mutex_unlock(&loop->lock);
	fill_servers(loop, status);
	return true;
}

static void record_bindings(struct cm_control_loop *loop,
			    const struct cm_message_bindings *bindings)
{
	for (uint32_t i = 0; i < bindings->count; i++)
		cm_node_record_binding(loop->node, cm_clock_ms(),
				       &bindings->items[i].flow,
				       &bindings->items[i].server);
}

static void record_loads(struct cm_control_loop *loop,
			 const struct cm_message_loads *loads)
{
	for (uint32_t i = 0; i < loads->count; i++)
		cm_node_record_load(loop->node, cm_clock_ms(),
				    &loads->items[i]);
}

static bool receive(void *user, const struct cm_message *message,
		    struct cm_message *answer)
{
	struct cm_control_loop *loop = user;
	bool has_answer;

	if (message->kind == CM_MESSAGE_STATUS_REQUEST)
		return answer_status(loop, answer);
	if (message->kind == CM_MESSAGE_BINDINGS) {
		record_bindings(loop, &message->bindings);
		return false;
	}
	if (message->kind == CM_MESSAGE_LOADS) {
		record_loads(loop, &message->loads);
		return false;
	}
	if (cm_note_feed_receive(loop->feed, cm_clock_ms(), message, answer))
		return true;
	pthread_mutex_lock(&loop->lock);
	has_answer = cm_membership_receive(&loop->membership, cm_clock_ms(),
					   message, answer);
	pthread_mutex_unlock(&loop->lock);
	return has_answer;
}

static void announce_stop(struct cm_control_loop *loop,
			  struct cm_outbox *outbox)
{
	struct cm_peers *peers = &loop->peers.base;
	uint64_t end_ms = cm_clock_ms() + STOP_ANNOUNCE_MS;

	pthread_mutex_lock(&loop->lock);
	cm_membership_stop(&loop->membership, cm_clock_ms(), outbox);
	pthread_mutex_unlock(&loop->lock);
	send_outbox(loop, outbox);
	while (cm_clock_ms() < end_ms)
		peers->ops->run(peers, BATCH_MS);
}

static void *control_thread(void *user)
{
	struct cm_control_loop *loop = user;
	struct cm_peers *peers = &loop->peers.base;
	struct cm_outbox outbox;

	cm_outbox_init(&outbox);
	while (!ck_pr_load_32(&loop->stopping)) {
		peers->ops->run(peers, BATCH_MS);
		flush_send_queue(loop, &outbox);
		if (cm_clock_ms() < loop->next_tick_ms)
			continue;
		loop->next_tick_ms = cm_clock_ms() + TICK_INTERVAL_MS;
		tick(loop, &outbox);
	}
	announce_stop(loop, &outbox);
	cm_outbox_finish(&outbox);
	return NULL;
}

static int start_membership(struct cm_control_loop *loop)
{
	int error = cm_membership_init(&loop->membership, &loop->feed->self,
				       &loop->node->counters, cm_clock_ms());

	for (size_t i = 0; !error && i < loop->settings->peer_count; i++)
		error = cm_membership_add_seed(&loop->membership,
					       &loop->settings->peers[i]);
	return error;
}

static int start_peers(struct cm_control_loop *loop)
{
	struct cm_peers_handler handler = { .receive = receive, .user = loop };
	char address[CM_ENDPOINT_TEXT_SIZE];
	int error = cm_peer_tcp_init(&loop->peers, &loop->settings->control,
				     &handler, &loop->node->counters);

	if (error != CM_E_BIND)
		return error;
	cm_log(CM_EVENT_CONTROL_UNAVAILABLE, "control=%s error=%s",
	       cm_endpoint_write(&loop->settings->control, address),
	       cm_error_name(error));
	return CM_OK;
}

int cm_control_loop_init(struct cm_control_loop *loop, struct cm_node *node,
			 struct cm_note_feed *feed,
			 const struct cm_settings *settings)
{
	int error;

	memset(loop, 0, sizeof(*loop));
	loop->node = node;
	loop->feed = feed;
	loop->settings = settings;
	loop->start_ms = cm_clock_ms();
	pthread_mutex_init(&loop->lock, NULL);
	error = cm_notification_queue_init(&loop->send_queue, &node->counters);
	if (!error)
		error = start_membership(loop);
	if (error)
		return error;
	/* No flow is admitted and no packet handled until the first tick. */
	cm_node_set_deadlines(node, 0, 0);
	error = start_peers(loop);
	if (!error &&
	    pthread_create(&loop->thread, NULL, control_thread, loop)) {
		cm_peer_tcp_finish(&loop->peers);
		error = CM_E_MEMORY;
	}
	return error;
}

void cm_control_loop_finish(struct cm_control_loop *loop)
{
	ck_pr_store_32(&loop->stopping, 1);
	pthread_join(loop->thread, NULL);
	cm_peer_tcp_finish(&loop->peers);
	cm_membership_finish(&loop->membership);
	cm_notification_queue_finish(&loop->send_queue);
	free(loop->logged);
	pthread_mutex_destroy(&loop->lock);
}

void cm_control_loop_add_listed(struct cm_control_loop *loop,
				const struct cm_member *members, uint32_t count)
{
	pthread_mutex_lock(&loop->lock);
	cm_membership_add_listed(&loop->membership, cm_clock_ms(), members,
				 count);
	pthread_mutex_unlock(&loop->lock);
}

void cm_control_loop_leave(struct cm_control_loop *loop)
{
	pthread_mutex_lock(&loop->lock);
	cm_membership_leave(&loop->membership);
	pthread_mutex_unlock(&loop->lock);
}
