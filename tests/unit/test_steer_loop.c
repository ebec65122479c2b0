#include "unit/suites.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chervilmast/error.h"
#include "daemon/steer_loop.h"
#include "unit/steering.h"

/*
 * Packets of the test's fabric have no prefix and consist of four bytes: port
 * of the caller in host byte order, number of earlier SYNs, and flags.
 */
#define PACKET_BYTES 4
#define REPEATS_OFFSET 2
#define FLAGS_OFFSET 3
/* Timeout of the wait for a packet in the loop's socket, ms. */
#define WAIT_MS 2000

static int fabric_read(const uint8_t *bytes, size_t length,
		       struct cm_steer_packet *packet)
{
	if (length != PACKET_BYTES)
		return CM_E_TRUNCATED;
	memset(packet, 0, sizeof(*packet));
	packet->key.caller.address = 0x64400007;
	packet->key.caller.protocol = IPPROTO_TCP;
	memcpy(&packet->key.caller.port, bytes, sizeof(uint16_t));
	packet->key.service = steering_route;
	packet->repeats = bytes[REPEATS_OFFSET];
	packet->flags = bytes[FLAGS_OFFSET];
	return CM_OK;
}

static void fabric_set_token(uint8_t *bytes, uint32_t token)
{
	(void)bytes;
	(void)token;
}

static void fabric_write_prefix(uint8_t *bytes, uint64_t server_id)
{
	(void)bytes;
	(void)server_id;
}

static size_t fabric_write_reset(const uint8_t *bytes, uint8_t *reset)
{
	memcpy(reset, bytes, PACKET_BYTES);
	return PACKET_BYTES;
}

static const struct cm_fabric_ops fabric = {
	.read = fabric_read,
	.set_token = fabric_set_token,
	.write_prefix = fabric_write_prefix,
	.write_reset = fabric_write_reset,
};

static struct cm_steer_loop loop;
/* Socket of the only server; the fabric's packets are sent from it as well. */
static int server_fd;
static struct sockaddr_in loop_address;

static int bind_any(struct sockaddr_in *address)
{
	socklen_t size = sizeof(*address);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)address, size), 0);
	getsockname(fd, (struct sockaddr *)address, &size);
	return fd;
}

static void setup(void)
{
	struct cm_server_entry entry = steering_make_entry(1, "a");
	struct cm_endpoint any = { INADDR_LOOPBACK, 0, IPPROTO_UDP };
	struct sockaddr_in address;
	socklen_t size = sizeof(loop_address);

	steering_setup();
	steering_set_plan(1, 0);
	server_fd = bind_any(&address);
	entry.address.address = INADDR_LOOPBACK;
	entry.address.port = ntohs(address.sin_port);
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
	cm_steer_registry_answered(&steering, steering_ms);
	cm_steer_registry_unreachable(&steering);
	cm_steer_probe_succeeded(&steering, steering_ms, 0);
	ASSERT_OK(cm_steer_loop_init(&loop, &steering, &fabric, &any));
	getsockname(loop.batch.link.fd, (struct sockaddr *)&loop_address,
		    &size);
}

static void teardown(void)
{
	cm_steer_loop_finish(&loop);
	close(server_fd);
	steering_teardown();
}

UNIT_CASE("steer", "packet loop", setup, teardown, UNIT_TIMEOUT_S);

static void send_syn(uint16_t port, uint8_t repeats)
{
	uint8_t bytes[PACKET_BYTES] = { 0 };

	memcpy(bytes, &port, sizeof(port));
	bytes[REPEATS_OFFSET] = repeats;
	bytes[FLAGS_OFFSET] = CM_STEER_SYN;
	ck_assert_int_eq(sendto(server_fd, bytes, sizeof(bytes), 0,
				(struct sockaddr *)&loop_address,
				sizeof(loop_address)),
			 PACKET_BYTES);
}

static bool has_packet_for_loop(void)
{
	struct pollfd poll_fd = { .fd = loop.batch.link.fd, .events = POLLIN };

	return poll(&poll_fd, 1, WAIT_MS) > 0;
}

static uint32_t count_received(void)
{
	uint8_t bytes[PACKET_BYTES];
	uint32_t count = 0;

	while (recv(server_fd, bytes, sizeof(bytes), MSG_DONTWAIT) > 0)
		count++;
	return count;
}

/* Fills the server with 20 flows whose packets don't pass through the loop. */
static void fill_server(void)
{
	for (uint16_t port = 1; port <= 20; port++)
		steering_send_packet(port, steering_send_syn(port, 0).token,
				     CM_STEER_ACK);
}

static void step(void)
{
	ck_assert(has_packet_for_loop());
	ASSERT_OK(cm_steer_loop_step(&loop, NULL));
}

static void end_flows(void)
{
	for (uint16_t port = 1; port <= 20; port++)
		steering_end_flow(port, cm_steer_token(1, 0),
				  STEERING_ANSWER_BYTES);
}

/* The loop must offer a held SYN to the node again once a server has room. */
TEST(held_syn_is_forwarded_once_there_is_room)
{
	fill_server();
	send_syn(900, 2);
	step();
	ck_assert_uint_eq(count_received(), 0);
	ck_assert(!TAILQ_EMPTY(&loop.held.waiting));
	end_flows();
	ASSERT_OK(cm_steer_loop_step(&loop, NULL));
	ck_assert_uint_eq(count_received(), 1);
	ck_assert(TAILQ_EMPTY(&loop.held.waiting));
}

/* A graceful shutdown must forward the held packets and those that are still in
 * the receive queue. */
TEST(graceful_shutdown_drops_no_packet)
{
	fill_server();
	send_syn(900, 2);
	step();
	for (uint16_t port = 1; port <= 50; port++)
		send_syn((uint16_t)(1000 + port), 0);
	ck_assert(has_packet_for_loop());
	cm_steer_loop_flush(&loop);
	ck_assert_uint_eq(count_received(), 51);
	ck_assert(TAILQ_EMPTY(&loop.held.waiting));
}
