#include "unit/suites.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/peer_tcp.h"
#include "adapters/socket.h"
#include "chervilmast/error.h"
#include "unit/clock_step.h"

/* Number of runs of the event loop after which a test fails. */
#define ROUNDS 400
/* Duration of one run of the event loop, ms. */
#define ROUND_MS 5

/**
 * struct side - one instance
 * @peers: adapter of the instance
 * @counters: counters of the instance
 * @control: control address of the instance
 * @received: number of messages received, by kind
 * @last_size: size of the last note received, bytes
 */
struct side {
	struct cm_peer_tcp peers;
	struct cm_counters counters;
	struct cm_endpoint control;
	uint32_t received[CM_MESSAGE_KIND_END];
	size_t last_size;
};

static struct side sides[2];

static void stamp_sender(struct cm_message *message, const struct side *side)
{
	message->sender_data_address = side->control;
	message->sender_control_address = side->control;
}

/* Answers a heartbeat with an acknowledgement, and nothing else. */
static bool receive(void *user, const struct cm_message *message,
		    struct cm_message *answer)
{
	struct side *side = user;

	side->received[message->kind]++;
	if (message->kind == CM_MESSAGE_NOTES)
		side->last_size = message->notes.items[0].size;
	if (message->kind != CM_MESSAGE_HEARTBEAT)
		return false;
	cm_message_init(answer, CM_MESSAGE_HEARTBEAT_ACK);
	stamp_sender(answer, side);
	return true;
}

static int start(struct side *side, uint16_t port)
{
	struct cm_peers_handler handler = { receive, side };

	memset(side, 0, sizeof(*side));
	side->control.address = 0x7f020001;
	side->control.port = port;
	side->control.protocol = IPPROTO_TCP;
	return cm_peer_tcp_init(&side->peers, &side->control, &handler,
				&side->counters);
}

static void setup(void)
{
	ASSERT_OK(start(&sides[0], 24201));
	ASSERT_OK(start(&sides[1], 24202));
}

static void teardown(void)
{
	clock_step_set(0);
	cm_peer_tcp_finish(&sides[0].peers);
	cm_peer_tcp_finish(&sides[1].peers);
}

static void run(struct side *side)
{
	side->peers.base.ops->run(&side->peers.base, ROUND_MS);
}

static void run_until(const uint32_t *number, uint32_t wanted)
{
	for (int i = 0; i < ROUNDS && *number < wanted; i++) {
		run(&sides[0]);
		run(&sides[1]);
	}
	ck_assert_uint_eq(*number, wanted);
}

static uint64_t count(enum cm_counter counter)
{
	return cm_counters_get(&sides[0].counters, counter);
}

static int send_message(struct side *from, const struct cm_endpoint *to,
			struct cm_message *message)
{
	struct cm_peers *peers = &from->peers.base;
	int error;

	stamp_sender(message, from);
	error = peers->ops->send(peers, to, message);
	cm_message_finish(message);
	return error;
}

static int send_kind(struct side *from, const struct cm_endpoint *to,
		     enum cm_message_kind kind)
{
	struct cm_message message;

	cm_message_init(&message, kind);
	return send_message(from, to, &message);
}

UNIT_CASE("peers", "tcp", setup, teardown, UNIT_TIMEOUT_S);

TEST(heartbeat_is_answered_on_its_connection)
{
	ASSERT_OK(
		send_kind(&sides[0], &sides[1].control, CM_MESSAGE_HEARTBEAT));
	run_until(&sides[0].received[CM_MESSAGE_HEARTBEAT_ACK], 1);
	ck_assert_uint_eq(sides[0].peers.count, 1);
	ck_assert_uint_eq(sides[1].peers.count, 1);
	ck_assert_uint_gt(count(CM_C_CONTROL_BYTES_SENT), 0);
}

static int send_large_note(void)
{
	static char text[CM_MESSAGE_BLOB_SIZE_MAX];
	struct cm_message message;

	cm_message_init(&message, CM_MESSAGE_NOTES);
	cm_message_notes_reserve(&message.notes, 1);
	cm_message_note_set(&message.notes.items[0], text, sizeof(text));
	return send_message(&sides[0], &sides[1].control, &message);
}

TEST(large_note_arrives_whole)
{
	ASSERT_OK(send_large_note());
	run_until(&sides[1].received[CM_MESSAGE_NOTES], 1);
	ck_assert_uint_eq(sides[1].last_size, CM_MESSAGE_BLOB_SIZE_MAX);
}

/* Guards against a connection that is closed as idle because the millisecond
 * changes while the connection is served: its last use is then later than a
 * time read before, and the difference wraps around. */
TEST(connection_stays_open_when_the_clock_changes_meanwhile)
{
	clock_step_set(1);
	ASSERT_OK(
		send_kind(&sides[0], &sides[1].control, CM_MESSAGE_HEARTBEAT));
	run_until(&sides[0].received[CM_MESSAGE_HEARTBEAT_ACK], 1);
	ck_assert_uint_eq(sides[0].peers.count, 1);
	ck_assert_uint_eq(sides[1].peers.count, 1);
}

/* As above, for a message that is received in several parts: the receiver must
 * not close the connection before the message is complete. */
TEST(large_note_arrives_whole_when_the_clock_changes_meanwhile)
{
	clock_step_set(1);
	ASSERT_OK(send_large_note());
	run_until(&sides[1].received[CM_MESSAGE_NOTES], 1);
	ck_assert_uint_eq(sides[1].last_size, CM_MESSAGE_BLOB_SIZE_MAX);
}

TEST(full_queue_drops_and_counts)
{
	int error = CM_OK;

	for (int i = 0; i < 8 && !error; i++)
		error = send_large_note();
	ck_assert_int_eq(error, CM_E_UNAVAILABLE);
	ck_assert_uint_eq(count(CM_C_DROP_MESSAGE_QUEUE), 1);
}

TEST(too_many_peers_are_refused_and_counted)
{
	struct cm_endpoint to = sides[1].control;

	for (int i = 0; i < CM_PEER_CONNECTIONS_MAX; i++) {
		to.port = (uint16_t)(24210 + i);
		ASSERT_OK(send_kind(&sides[0], &to, CM_MESSAGE_STATUS_REQUEST));
	}
	to.port++;
	ck_assert_int_eq(send_kind(&sides[0], &to, CM_MESSAGE_STATUS_REQUEST),
			 CM_E_UNAVAILABLE);
	ck_assert_uint_eq(count(CM_C_DROP_CONNECTIONS), 1);
}

/* A refused connection drops the queued message and nothing else. */
TEST(unreachable_peer_drops_only_the_message)
{
	struct cm_endpoint unreachable = sides[1].control;

	unreachable.port = 24203;
	send_kind(&sides[0], &unreachable, CM_MESSAGE_HEARTBEAT);
	for (int i = 0; i < ROUNDS && sides[0].peers.count; i++)
		run(&sides[0]);
	ck_assert_uint_eq(sides[0].peers.count, 0);
	ck_assert_uint_eq(count(CM_C_DROP_MESSAGE_UNSENT), 1);
}

/* Bytes after which the receiver must close the connection. */
static const struct {
	const char *bytes;
	size_t size;
} bad_bytes[] = {
	{ "\xff\xff\xff\xff", 4 },
	{ "\x00\x00\x00\x00", 4 },
	{ "\x00\x00\x00\x01\xc1", 5 },
	{ "GET / HTTP/1.1\r\n\r\n", 18 },
};

TEST_TABLE(bad_bytes_close_the_connection, bad_bytes)
{
	struct sockaddr_in address = cm_socket_address(&sides[0].control);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ASSERT_OK(connect(fd, (struct sockaddr *)&address, sizeof(address)));
	ck_assert_int_eq(write(fd, bad_bytes[_i].bytes, bad_bytes[_i].size),
			 (ssize_t)bad_bytes[_i].size);
	for (int i = 0; i < ROUNDS && !count(CM_C_DROP_MESSAGE_MALFORMED); i++)
		run(&sides[0]);
	ck_assert_uint_eq(count(CM_C_DROP_MESSAGE_MALFORMED), 1);
	ck_assert_uint_eq(sides[0].peers.count, 0);
	close(fd);
}

/* An instance that cannot listen on its address can still send. */
TEST(failed_bind_does_not_prevent_sending)
{
	struct side third;

	ck_assert_int_eq(start(&third, 24201), CM_E_BIND);
	ASSERT_OK(send_kind(&third, &sides[1].control, CM_MESSAGE_HEARTBEAT));
	run(&third);
	run_until(&sides[1].received[CM_MESSAGE_HEARTBEAT], 1);
	cm_peer_tcp_finish(&third.peers);
}
