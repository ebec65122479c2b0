/**
 * DOC: Benchmark of the packet thread
 *
 * Sends datagrams over loopback to a packet thread and its node, and to a loop
 * that only receives and sends, and compares the rates of their answers.
 */
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/geneve.h"
#include "adapters/socket.h"
#include "adapters/udp_link.h"
#include "daemon/packet_loop.h"
#include "fake/packet.h"
#include "fake/service_run.h"
#include "ports/clock.h"

#define FLOWS 1000
#define BATCH 32
#define IN_FLIGHT 256
#define ROUND_MS 1000
#define ROUNDS 5
#define RECEIVE_TIMEOUT_US 50000
#define DATAGRAM_SIZE 2048
#define BUFFER_SIZE (4 * 1024 * 1024)
#define MS_PER_S 1000

static const struct cm_endpoint driver = { 0x7f06fa01, 24600, IPPROTO_UDP };
static const struct cm_endpoint target = { 0x7f06fa02, 24601, IPPROTO_UDP };
static const struct cm_endpoint service = FAKE_SERVICE_UDP;

/**
 * struct traffic - the sender of datagrams and receiver of answers
 * @fd: its socket
 * @bytes: the datagrams, which are sent in rotation
 * @lengths: length of each datagram, bytes
 * @next: index of the next datagram to send
 */
struct traffic {
	int fd;
	uint8_t bytes[FLOWS][DATAGRAM_SIZE];
	size_t lengths[FLOWS];
	uint32_t next;
};

static int bind_socket(const struct cm_endpoint *endpoint)
{
	struct sockaddr_in address = cm_socket_address(endpoint);
	struct timeval wait = { .tv_usec = RECEIVE_TIMEOUT_US };
	int size = BUFFER_SIZE;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	if (fd < 0 || bind(fd, (struct sockaddr *)&address, sizeof(address))) {
		perror("bind");
		exit(EXIT_FAILURE);
	}
	return fd;
}

static void traffic_init(struct traffic *traffic)
{
	memset(traffic, 0, sizeof(*traffic));
	traffic->fd = bind_socket(&driver);
	for (uint32_t i = 0; i < FLOWS; i++) {
		struct cm_endpoint caller = { 0xc6336401, (uint16_t)(1000 + i),
					      IPPROTO_UDP };
		uint8_t *bytes = traffic->bytes[i];
		size_t head = cm_geneve_write(bytes, NULL);

		traffic->lengths[i] =
			head + fake_datagram_build(bytes + head, &caller,
						   &service, "payload", 7,
						   true);
	}
}

static int traffic_send(struct traffic *traffic)
{
	struct sockaddr_in to = cm_socket_address(&target);
	struct mmsghdr messages[BATCH] = { 0 };
	struct iovec parts[BATCH];

	for (int i = 0; i < BATCH; i++) {
		parts[i].iov_base = traffic->bytes[traffic->next];
		parts[i].iov_len = traffic->lengths[traffic->next];
		messages[i].msg_hdr.msg_name = &to;
		messages[i].msg_hdr.msg_namelen = sizeof(to);
		messages[i].msg_hdr.msg_iov = &parts[i];
		messages[i].msg_hdr.msg_iovlen = 1;
		traffic->next = (traffic->next + 1) % FLOWS;
	}
	return sendmmsg(traffic->fd, messages, BATCH, 0);
}

static int traffic_receive(const struct traffic *traffic)
{
	static uint8_t bytes[BATCH][DATAGRAM_SIZE];
	struct mmsghdr messages[BATCH] = { 0 };
	struct iovec parts[BATCH];

	for (int i = 0; i < BATCH; i++) {
		parts[i].iov_base = bytes[i];
		parts[i].iov_len = DATAGRAM_SIZE;
		messages[i].msg_hdr.msg_iov = &parts[i];
		messages[i].msg_hdr.msg_iovlen = 1;
	}
	return recvmmsg(traffic->fd, messages, BATCH, MSG_WAITFORONE, NULL);
}

/*
 * Keeps up to IN_FLIGHT datagrams in flight and returns the answers per second.
 * After a receive timeout, all datagrams in flight are counted as lost.
 */
static uint64_t traffic_rate(struct traffic *traffic)
{
	uint64_t start_ms = cm_clock_ms();
	uint64_t answers = 0;
	int in_flight = 0;
	uint64_t now_ms;

	while ((now_ms = cm_clock_ms()) - start_ms < ROUND_MS) {
		int got;

		while (in_flight <= IN_FLIGHT - BATCH)
			in_flight += traffic_send(traffic);
		got = traffic_receive(traffic);
		if (got < 0) {
			in_flight = 0;
			continue;
		}
		in_flight -= got;
		answers += (uint64_t)got;
	}
	return answers * MS_PER_S / (now_ms - start_ms);
}

static int bare_fd;

static void *bare_loop(void *user)
{
	struct sockaddr_in to = cm_socket_address(&driver);
	uint8_t bytes[DATAGRAM_SIZE];
	const bool *stopping = user;

	while (!__atomic_load_n(stopping, __ATOMIC_RELAXED)) {
		ssize_t got = recv(bare_fd, bytes, sizeof(bytes), 0);

		if (got > 0)
			sendto(bare_fd, bytes, (size_t)got, 0,
			       (struct sockaddr *)&to, sizeof(to));
	}
	return NULL;
}

static uint64_t measure_bare(struct traffic *traffic)
{
	bool stopping = false;
	pthread_t thread;
	uint64_t rate;

	bare_fd = bind_socket(&target);
	pthread_create(&thread, NULL, bare_loop, &stopping);
	rate = traffic_rate(traffic);
	__atomic_store_n(&stopping, true, __ATOMIC_RELAXED);
	pthread_join(thread, NULL);
	close(bare_fd);
	return rate;
}

static uint64_t measure_node(struct traffic *traffic)
{
	static struct cm_settings settings;
	static const struct fake_service_config config = { .nodes = 1,
							   .domains = 1,
							   .udp_servers = 2,
							   .cap = 1000,
							   .rate = 1000 };
	static struct fake_service_run run;
	static struct cm_packet_loop loop;
	struct cm_notification_queue notifications;
	struct cm_udp_link link;
	uint64_t rate;

	settings.fabric = driver;
	settings.threads = 1;
	fake_service_run_init(&run, &config);
	if (cm_notification_queue_init(&notifications,
				       &run.cluster.nodes[0].counters) ||
	    cm_udp_link_init(&link, &target) ||
	    cm_packet_loop_init(&loop, &run.cluster.nodes[0], &link.base,
				&notifications, &settings))
		exit(EXIT_FAILURE);
	rate = traffic_rate(traffic);
	cm_packet_loop_finish(&loop);
	cm_udp_link_finish(&link);
	cm_notification_queue_finish(&notifications);
	fake_service_run_finish(&run);
	return rate;
}

static int compare(const void *left, const void *right)
{
	const uint64_t *a = left;
	const uint64_t *b = right;

	return *a < *b ? -1 : *a > *b;
}

static uint64_t print_rates(const char *name, uint64_t *rates)
{
	uint64_t median;

	qsort(rates, ROUNDS, sizeof(*rates), compare);
	median = rates[ROUNDS / 2];
	printf("%s: median %llu packets/s, from %llu to %llu\n", name,
	       (unsigned long long)median, (unsigned long long)rates[0],
	       (unsigned long long)rates[ROUNDS - 1]);
	return median;
}

int main(void)
{
	static struct traffic traffic;
	uint64_t bare[ROUNDS], node[ROUNDS];
	uint64_t bare_median, node_median;

	traffic_init(&traffic);
	for (int i = 0; i < ROUNDS; i++) {
		bare[i] = measure_bare(&traffic);
		node[i] = measure_node(&traffic);
	}
	bare_median = print_rates("bare loop", bare);
	node_median = print_rates("packet thread and node", node);
	printf("ratio: %.2f\n", (double)node_median / (double)bare_median);
	close(traffic.fd);
	return EXIT_SUCCESS;
}
