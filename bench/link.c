#include "bench.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/geneve.h"
#include "fake/tcp_end.h"

#define FLOWS 512
#define IN_FLIGHT 64
#define SECONDS 2
#define NS_PER_S 1000000000u
#define RECEIVE_TIMEOUT_US 200000
#define DATAGRAM_SIZE 2048
#define OPEN_TRIES 50

static const struct cm_endpoint service = { 0xcb00710a, 443, IPPROTO_TCP };

/**
 * struct sender - a sender that keeps IN_FLIGHT datagrams in flight
 * @fd: its socket
 * @to: destination of the datagrams
 * @bytes: the datagrams, which are sent in rotation
 * @length: length of each datagram, bytes
 */
struct sender {
	int fd;
	struct sockaddr_in to;
	uint8_t bytes[FLOWS][128];
	size_t length;
};

static struct sender sender;

static int open_socket(const char *address, uint16_t port)
{
	struct sockaddr_in bound = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = inet_addr(address),
	};
	struct timeval wait = { .tv_usec = RECEIVE_TIMEOUT_US };
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&bound, sizeof(bound)))
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	return fd;
}

static void send_datagram(uint32_t i)
{
	sendto(sender.fd, sender.bytes[i % FLOWS], sender.length, 0,
	       (struct sockaddr *)&sender.to, sizeof(sender.to));
}

static void build_segment(uint32_t i, uint8_t flags, uint32_t seq, uint32_t ack)
{
	struct cm_endpoint caller = { 0xc6336401, (uint16_t)(2000 + i),
				      IPPROTO_TCP };
	size_t head = cm_geneve_write(sender.bytes[i], NULL);

	sender.length =
		head + fake_segment_build(sender.bytes[i] + head, &caller,
					  &service, flags, seq, ack, NULL, 0);
}

/*
 * Sends the SYN of a flow until the instance forwards it to a backend server.
 * A SYN above the admission rate of the instance is refused and sent again.
 */
static bool open_flow(uint32_t i)
{
	uint8_t bytes[DATAGRAM_SIZE];

	for (int try = 0; try < OPEN_TRIES; try++) {
		struct cm_geneve geneve;
		struct cm_packet packet;
		ssize_t got;

		build_segment(i, CM_TCP_SYN, 1, 0);
		send_datagram(i);
		got = recv(sender.fd, bytes, sizeof(bytes), 0);
		if (got > 0 && !cm_geneve_read(&geneve, bytes, (size_t)got) &&
		    !cm_packet_parse(&packet, bytes + geneve.length,
				     (size_t)got - geneve.length) &&
		    packet.flags == CM_TCP_SYN)
			return true;
		usleep(RECEIVE_TIMEOUT_US);
	}
	return false;
}

/* Returns the number of datagrams that come back per second. */
static double measure_rate(void)
{
	uint8_t bytes[DATAGRAM_SIZE];
	uint64_t begin_ns = bench_now_ns();
	uint64_t end_ns = begin_ns + (uint64_t)SECONDS * NS_PER_S;
	uint32_t next = 0;
	uint64_t answers = 0;

	for (int i = 0; i < IN_FLIGHT; i++)
		send_datagram(next++);
	while (bench_now_ns() < end_ns) {
		if (recv(sender.fd, bytes, sizeof(bytes), 0) > 0)
			answers++;
		send_datagram(next++);
	}
	return (double)answers * NS_PER_S / (double)(bench_now_ns() - begin_ns);
}

static void *run_echo_loop(void *user)
{
	int fd = *(int *)user;
	uint8_t bytes[DATAGRAM_SIZE];
	struct sockaddr_in from;
	uint64_t end_ns = bench_now_ns() + (uint64_t)(SECONDS + 1) * NS_PER_S;

	while (bench_now_ns() < end_ns) {
		socklen_t size = sizeof(from);
		ssize_t got = recvfrom(fd, bytes, sizeof(bytes), 0,
				       (struct sockaddr *)&from, &size);

		if (got > 0)
			sendto(fd, bytes, (size_t)got, 0,
			       (struct sockaddr *)&from, size);
	}
	return NULL;
}

static double measure_bare_loop(const char *address)
{
	int fd = open_socket(address, 0);
	socklen_t size = sizeof(sender.to);
	pthread_t thread;
	double rate;

	if (fd < 0 || getsockname(fd, (struct sockaddr *)&sender.to, &size) ||
	    pthread_create(&thread, NULL, run_echo_loop, &fd))
		abort();
	rate = measure_rate();
	pthread_join(thread, NULL);
	close(fd);
	return rate;
}

int bench_link(json_t *report, const char *instance, const char *fabric,
	       uint16_t fabric_port)
{
	double through, bare;

	sender.fd = open_socket(fabric, fabric_port);
	sender.to.sin_family = AF_INET;
	sender.to.sin_port = htons(6081);
	sender.to.sin_addr.s_addr = inet_addr(instance);
	if (sender.fd < 0)
		return 1;
	for (uint32_t i = 0; i < FLOWS; i++)
		if (!open_flow(i))
			return 1;
	for (uint32_t i = 0; i < FLOWS; i++)
		build_segment(i, CM_TCP_ACK, 2, 1);
	through = measure_rate();
	bare = measure_bare_loop(fabric);
	bench_add_figure(report, "packets_per_second", through);
	bench_add_figure(report, "bare_loop_packets_per_second", bare);
	bench_add_figure(report, "packets_per_second_ratio", through / bare);
	close(sender.fd);
	return 0;
}
