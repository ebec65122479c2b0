#include "fleet.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "config/instance_json.h"
#include "ports/clock.h"

/* Longest wait for a message before the deadline is checked again. */
#define POLL_TIMEOUT_MS 20
/*
 * Maximum number of instances to which status requests are sent at once; must
 * be below CM_PEER_CONNECTIONS_MAX.
 */
#define STATUS_BATCH_SIZE 64

/*
 * Commands do not listen, so their messages have no sender address. The
 * protocols are set because decoders reject an endpoint without one.
 */
static void init_command_message(struct cm_message *message,
				 enum cm_message_kind kind)
{
	cm_message_init(message, kind);
	message->sender_data_address.protocol = IPPROTO_UDP;
	message->sender_control_address.protocol = IPPROTO_TCP;
}

static struct cm_fleet_instance *find_instance(struct cm_fleet *fleet,
					       const struct cm_endpoint *data)
{
	for (uint32_t i = 0; i < fleet->count; i++)
		if (cm_endpoint_equal(&fleet->instances[i].member.data_address,
				      data))
			return &fleet->instances[i];
	return NULL;
}

static struct cm_fleet_instance *add_instance(struct cm_fleet *fleet,
					      const struct cm_member *member)
{
	struct cm_fleet_instance *instance =
		find_instance(fleet, &member->data_address);
	struct cm_fleet_instance *grown;

	if (instance)
		return instance;
	grown = realloc(fleet->instances, (fleet->count + 1) * sizeof(*grown));
	if (!grown)
		return NULL;
	fleet->instances = grown;
	instance = &grown[fleet->count++];
	memset(instance, 0, sizeof(*instance));
	instance->member = *member;
	cm_message_init(&instance->answer, CM_MESSAGE_STATUS);
	return instance;
}

static int copy_status(struct cm_message_status *to,
		       const struct cm_message_status *from)
{
	int error =
		cm_message_members_reserve(&to->members, from->members.count);

	if (!error)
		error = cm_message_servers_reserve(to, from->server_count);
	if (error)
		return error;
	to->version = from->version;
	if (from->members.count)
		memcpy(to->members.items, from->members.items,
		       from->members.count * sizeof(*to->members.items));
	if (from->server_count)
		memcpy(to->servers, from->servers,
		       from->server_count * sizeof(*to->servers));
	return CM_OK;
}

static bool receive(void *user, const struct cm_message *message,
		    struct cm_message *answer)
{
	struct cm_fleet *fleet = user;
	struct cm_fleet_instance *instance;
	struct cm_member member = {
		.data_address = message->sender_data_address,
		.control_address = message->sender_control_address,
	};

	/* Returns false in all cases, as no answer is sent. */
	(void)answer;
	if (message->kind != CM_MESSAGE_STATUS)
		return false;
	memcpy(member.domain, message->sender_domain, CM_NAME_SIZE);
	memcpy(member.name, message->status.name, CM_NAME_SIZE);
	instance = add_instance(fleet, &member);
	if (!instance)
		return false;
	cm_message_finish(&instance->answer);
	if (copy_status(&instance->answer.status, &message->status))
		return false;
	instance->has_answered = true;
	return false;
}

int cm_fleet_init(struct cm_fleet *fleet)
{
	struct cm_peers_handler handler = { .receive = receive, .user = fleet };

	memset(fleet, 0, sizeof(*fleet));
	return cm_peer_tcp_init_client(&fleet->peers, &handler,
				       &fleet->counters);
}

void cm_fleet_finish(struct cm_fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->count; i++)
		cm_message_finish(&fleet->instances[i].answer);
	free(fleet->instances);
	cm_peer_tcp_finish(&fleet->peers);
}

static void request_status(struct cm_fleet *fleet,
			   const struct cm_endpoint *control)
{
	struct cm_peers *peers = &fleet->peers.base;
	struct cm_message request;

	init_command_message(&request, CM_MESSAGE_STATUS_REQUEST);
	peers->ops->send(peers, control, &request);
}

static bool all_answered(const struct cm_fleet *fleet, uint32_t first,
			 uint32_t end)
{
	for (uint32_t i = first; i < end; i++)
		if (!fleet->instances[i].has_answered)
			return false;
	return true;
}

static void wait_for_answers(struct cm_fleet *fleet, uint32_t first,
			     uint32_t end, uint32_t timeout_ms)
{
	struct cm_peers *peers = &fleet->peers.base;
	uint64_t deadline_ms = cm_clock_ms() + timeout_ms;

	while (!all_answered(fleet, first, end) && cm_clock_ms() < deadline_ms)
		peers->ops->run(peers, POLL_TIMEOUT_MS);
}

static void mark_dead(struct cm_fleet *fleet,
		      const struct cm_message_members *members)
{
	for (uint32_t i = 0; i < members->count; i++) {
		struct cm_fleet_instance *instance =
			find_instance(fleet, &members->items[i].data_address);

		if (instance && members->items[i].state == CM_MEMBER_DEAD)
			instance->is_dead = true;
	}
}

/*
 * Requests the status of the instances in [first, end) that have not reported
 * @version or a newer one.
 */
static void query_batch(struct cm_fleet *fleet, uint64_t version,
			uint32_t first, uint32_t end, uint32_t timeout_ms)
{
	for (uint32_t i = first; i < end; i++) {
		struct cm_fleet_instance *instance = &fleet->instances[i];

		if (cm_fleet_instance_has_version(instance, version))
			continue;
		instance->has_answered = false;
		request_status(fleet, &instance->member.control_address);
	}
	wait_for_answers(fleet, first, end, timeout_ms);
}

void cm_fleet_query_status(struct cm_fleet *fleet, uint64_t version,
			   uint32_t timeout_ms)
{
	uint32_t count = fleet->count;

	for (uint32_t first = 0; first < count; first += STATUS_BATCH_SIZE)
		query_batch(fleet, version, first,
			    first + STATUS_BATCH_SIZE < count ?
				    first + STATUS_BATCH_SIZE :
				    count,
			    timeout_ms);
	for (uint32_t i = 0; i < fleet->count; i++)
		fleet->instances[i].is_dead = false;
	for (uint32_t i = 0; i < fleet->count; i++)
		if (fleet->instances[i].has_answered)
			mark_dead(fleet,
				  &fleet->instances[i].answer.status.members);
}

static int add_members(struct cm_fleet *fleet, const struct cm_member *members,
		       uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (!add_instance(fleet, &members[i]))
			return CM_E_MEMORY;
	return CM_OK;
}

/* Adds the members reported by the instances that answered. */
static int add_reported_members(struct cm_fleet *fleet)
{
	uint32_t count = fleet->count;
	int error = CM_OK;

	for (uint32_t i = 0; i < count && !error; i++) {
		const struct cm_message_members *members =
			&fleet->instances[i].answer.status.members;

		if (fleet->instances[i].has_answered)
			error = add_members(fleet, members->items,
					    members->count);
	}
	return error;
}

/* Returns @store_error if no instance answers. */
static int discover_through_instances(struct cm_fleet *fleet,
				      const struct cm_settings *settings,
				      uint32_t timeout_ms, int store_error)
{
	struct cm_peers *peers = &fleet->peers.base;
	uint64_t deadline_ms = cm_clock_ms() + timeout_ms;

	request_status(fleet, &settings->control);
	for (size_t i = 0; i < settings->peer_count; i++)
		request_status(fleet, &settings->peers[i]);
	while (!fleet->count && cm_clock_ms() < deadline_ms)
		peers->ops->run(peers, POLL_TIMEOUT_MS);
	return fleet->count ? add_reported_members(fleet) : store_error;
}

int cm_fleet_discover(struct cm_fleet *fleet, struct cm_store *store,
		      const struct cm_settings *settings, uint32_t timeout_ms)
{
	struct cm_member *members;
	uint32_t count;
	int error = cm_instances_read(store, settings->store_prefix, &members,
				      &count);

	if (error)
		return discover_through_instances(fleet, settings, timeout_ms,
						  error);
	error = add_members(fleet, members, count);
	free(members);
	return error;
}

bool cm_fleet_instance_has_version(const struct cm_fleet_instance *instance,
				   uint64_t version)
{
	return instance->has_answered &&
	       instance->answer.status.version >= version;
}

/* Number of instances before this one in the same failure domain. */
static uint32_t index_in_domain(const struct cm_fleet *fleet, uint32_t index)
{
	const struct cm_member *member = &fleet->instances[index].member;
	uint32_t count = 0;

	for (uint32_t i = 0; i < index; i++)
		count += cm_name_equal(fleet->instances[i].member.domain,
				       member->domain);
	return count;
}

static bool any_has_version(const struct cm_fleet *fleet, uint64_t version)
{
	for (uint32_t i = 0; i < fleet->count; i++)
		if (cm_fleet_instance_has_version(&fleet->instances[i],
						  version))
			return true;
	return false;
}

void cm_fleet_push_note(struct cm_fleet *fleet, const char *text,
			uint64_t version, uint32_t timeout_ms)
{
	struct cm_peers *peers = &fleet->peers.base;
	uint64_t deadline_ms = cm_clock_ms() + timeout_ms;
	struct cm_message message;

	init_command_message(&message, CM_MESSAGE_NOTES);
	message.notes.version = version;
	if (cm_message_notes_reserve(&message.notes, 1) ||
	    cm_message_note_set(&message.notes.items[0], text, strlen(text))) {
		cm_message_finish(&message);
		return;
	}
	for (uint32_t i = 0; i < fleet->count; i++) {
		const struct cm_member *member = &fleet->instances[i].member;

		if (index_in_domain(fleet, i) >= CM_FLEET_PUSHES_PER_DOMAIN)
			continue;
		peers->ops->send(peers, &member->control_address, &message);
		request_status(fleet, &member->control_address);
	}
	while (!any_has_version(fleet, version) && cm_clock_ms() < deadline_ms)
		peers->ops->run(peers, POLL_TIMEOUT_MS);
	cm_message_finish(&message);
}
