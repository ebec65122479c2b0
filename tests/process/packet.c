#include "process/process.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "ports/clock.h"

#define NET_SHIFT 16
#define GROUP_SHIFT 8
#define LOOPBACK 0x7f000000

static unsigned int net = 1;
static int violation_count;
static uint64_t faults_end_ms;

static void put_u16(uint8_t *at, uint16_t value)
{
	value = htons(value);
	memcpy(at, &value, sizeof(value));
}

static void put_u32(uint8_t *at, uint32_t value)
{
	value = htonl(value);
	memcpy(at, &value, sizeof(value));
}

static uint16_t get_u16(const uint8_t *at)
{
	uint16_t value;

	memcpy(&value, at, sizeof(value));
	return ntohs(value);
}

static uint32_t get_u32(const uint8_t *at)
{
	uint32_t value;

	memcpy(&value, at, sizeof(value));
	return ntohl(value);
}

size_t packet_write(const struct packet *packet, uint8_t *bytes)
{
	bytes[0] = packet->flags;
	bytes[1] = 0;
	put_u32(bytes + 2, packet->checksum);
	put_u16(bytes + 6, packet->length);
	put_u32(bytes + 8, packet->seq);
	put_u32(bytes + 12, packet->ack);
	put_u32(bytes + 16, packet->token);
	memcpy(bytes + 20, &packet->to.sin_addr, 4);
	memcpy(bytes + 24, &packet->from.sin_addr, 4);
	memcpy(bytes + 28, &packet->from.sin_port, 2);
	memcpy(bytes + 30, &packet->to.sin_port, 2);
	memcpy(bytes + PACKET_HEADER_SIZE, packet->data, packet->length);
	return PACKET_HEADER_SIZE + packet->length;
}

bool packet_read(struct packet *packet, const uint8_t *bytes, size_t length)
{
	memset(packet, 0, sizeof(*packet));
	if (length < PACKET_HEADER_SIZE || length > PACKET_MAX ||
	    get_u16(bytes + 6) != length - PACKET_HEADER_SIZE)
		return false;
	packet->flags = bytes[0];
	packet->checksum = get_u32(bytes + 2);
	packet->length = get_u16(bytes + 6);
	packet->seq = get_u32(bytes + 8);
	packet->ack = get_u32(bytes + 12);
	packet->token = get_u32(bytes + 16);
	packet->to.sin_family = AF_INET;
	packet->from.sin_family = AF_INET;
	memcpy(&packet->to.sin_addr, bytes + 20, 4);
	memcpy(&packet->from.sin_addr, bytes + 24, 4);
	memcpy(&packet->from.sin_port, bytes + 28, 2);
	memcpy(&packet->to.sin_port, bytes + 30, 2);
	memcpy(packet->data, bytes + PACKET_HEADER_SIZE, packet->length);
	return true;
}

void address_set_net(unsigned int number)
{
	net = number;
}

struct sockaddr_in address(unsigned int group, unsigned int host, uint16_t port)
{
	struct sockaddr_in at = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(LOOPBACK | net << NET_SHIFT |
					 group << GROUP_SHIFT | host),
	};

	return at;
}

int udp_open(const struct sockaddr_in *bound)
{
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0 ||
	    bind(fd, (const struct sockaddr *)bound, sizeof(*bound))) {
		perror("udp_open");
		exit(EXIT_FAILURE);
	}
	return fd;
}

uint64_t now_ms(void)
{
	return cm_clock_ms();
}

void violation(const char *format, ...)
{
	va_list arguments;

	violation_count++;
	printf("violation at %llu ms: ", (unsigned long long)now_ms());
	va_start(arguments, format);
	vprintf(format, arguments);
	va_end(arguments);
	putchar('\n');
}

int violations(void)
{
	return violation_count;
}

void fault_extend(uint64_t ms)
{
	if (ms > faults_end_ms)
		faults_end_ms = ms;
}

uint64_t fault_end_ms(void)
{
	return faults_end_ms;
}
