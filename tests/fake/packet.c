#include "fake/packet.h"

#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <string.h>

#define IP_WORD_BYTES 4
#define TTL 64

static uint32_t sum_bytes(const uint8_t *bytes, size_t length)
{
	uint32_t sum = 0;

	for (size_t i = 0; i < length; i++)
		sum += i & 1 ? bytes[i] : (uint32_t)bytes[i] << 8;
	return sum;
}

static uint16_t complement(uint32_t sum)
{
	while (sum >> 16)
		sum = (sum & 0xffff) + (sum >> 16);
	return htons((uint16_t)~sum);
}

/* TCP or UDP checksum, with the pseudo header. */
static uint16_t checksum(const uint8_t *bytes, size_t length, uint8_t protocol)
{
	size_t body = length - sizeof(struct ip);

	return complement(sum_bytes(bytes + offsetof(struct ip, ip_src),
				    2 * sizeof(struct in_addr)) +
			  protocol + (uint32_t)body +
			  sum_bytes(bytes + sizeof(struct ip), body));
}

void fake_packet_set_checksum(uint8_t *bytes)
{
	uint16_t sum = 0;

	memcpy(bytes + offsetof(struct ip, ip_sum), &sum, sizeof(sum));
	sum = complement(
		sum_bytes(bytes, (size_t)(bytes[0] & 0xf) * IP_WORD_BYTES));
	memcpy(bytes + offsetof(struct ip, ip_sum), &sum, sizeof(sum));
}

static void write_ip(uint8_t *bytes, const struct cm_endpoint *from,
		     const struct cm_endpoint *to, size_t total,
		     uint8_t protocol)
{
	struct ip ip = {
		.ip_v = IPVERSION,
		.ip_hl = sizeof(ip) / IP_WORD_BYTES,
		.ip_len = htons((uint16_t)total),
		.ip_ttl = TTL,
		.ip_p = protocol,
		.ip_src.s_addr = htonl(from->address),
		.ip_dst.s_addr = htonl(to->address),
	};

	memcpy(bytes, &ip, sizeof(ip));
	fake_packet_set_checksum(bytes);
}

size_t fake_segment_build(uint8_t *bytes, const struct cm_endpoint *from,
			  const struct cm_endpoint *to, uint8_t flags,
			  uint32_t seq, uint32_t ack, const uint8_t *data,
			  size_t length)
{
	size_t total = FAKE_SEGMENT_HEADER_SIZE + length;
	struct tcphdr tcp = {
		.th_sport = htons(from->port),
		.th_dport = htons(to->port),
		.th_seq = htonl(seq),
		.th_ack = htonl(ack),
		.th_off = sizeof(tcp) / IP_WORD_BYTES,
		.th_flags = flags,
		.th_win = htons(UINT16_MAX),
	};

	write_ip(bytes, from, to, total, IPPROTO_TCP);
	memcpy(bytes + sizeof(struct ip), &tcp, sizeof(tcp));
	if (length)
		memcpy(bytes + FAKE_SEGMENT_HEADER_SIZE, data, length);
	tcp.th_sum = checksum(bytes, total, IPPROTO_TCP);
	memcpy(bytes + sizeof(struct ip), &tcp, sizeof(tcp));
	return total;
}

size_t fake_datagram_build(uint8_t *bytes, const struct cm_endpoint *from,
			   const struct cm_endpoint *to, const char *data,
			   size_t length, bool with_checksum)
{
	size_t total = FAKE_DATAGRAM_HEADER_SIZE + length;
	struct udphdr udp = {
		.uh_sport = htons(from->port),
		.uh_dport = htons(to->port),
		.uh_ulen = htons((uint16_t)(sizeof(udp) + length)),
	};

	write_ip(bytes, from, to, total, IPPROTO_UDP);
	memcpy(bytes + sizeof(struct ip), &udp, sizeof(udp));
	memcpy(bytes + FAKE_DATAGRAM_HEADER_SIZE, data, length);
	if (!with_checksum)
		return total;
	udp.uh_sum = checksum(bytes, total, IPPROTO_UDP);
	if (!udp.uh_sum)
		udp.uh_sum = UINT16_MAX;
	memcpy(bytes + sizeof(struct ip), &udp, sizeof(udp));
	return total;
}

bool fake_datagram_is_valid(const uint8_t *bytes, size_t length)
{
	struct ip ip;
	struct udphdr udp;

	if (length < FAKE_DATAGRAM_HEADER_SIZE)
		return false;
	memcpy(&ip, bytes, sizeof(ip));
	memcpy(&udp, bytes + sizeof(ip), sizeof(udp));
	if (ntohs(ip.ip_len) != length ||
	    ntohs(udp.uh_ulen) != length - sizeof(ip))
		return false;
	if (complement(sum_bytes(bytes, sizeof(ip))))
		return false;
	return !udp.uh_sum || !checksum(bytes, length, IPPROTO_UDP);
}
