#include "chervilmast/packet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <string.h>

#include "chervilmast/error.h"

/* Unit of the header lengths of IPv4 and TCP, bytes. */
#define IP_WORD_SIZE 4
#define BUILT_TTL 64
/* Folded sum over bytes that include their own valid checksum. */
#define CHECKSUM_VALID 0xffff
#define FRAGMENT_MASK (IP_MF | IP_OFFMASK)
/* Bytes after the IPv4 header that an ICMP error quotes (RFC 792). */
#define ICMP_QUOTE_SIZE 8
#define ICMP_HEADER_SIZE 8

static uint16_t load16(const uint8_t *at)
{
	return (uint16_t)(at[0] << 8 | at[1]);
}

static uint16_t fold(uint32_t sum)
{
	while (sum >> 16)
		sum = (sum & 0xffff) + (sum >> 16);
	return (uint16_t)sum;
}

static uint32_t sum_bytes(const uint8_t *bytes, size_t length)
{
	uint32_t sum = 0;

	for (size_t i = 0; i + 1 < length; i += 2)
		sum += load16(bytes + i);
	if (length & 1)
		sum += (uint32_t)bytes[length - 1] << 8;
	return sum;
}

/*
 * Every segment other than SYN and RST has ACK, and none both opens and ends a
 * connection.
 */
static bool flags_are_valid(uint8_t flags)
{
	if (flags & CM_TCP_SYN && flags & (CM_TCP_FIN | CM_TCP_RST))
		return false;
	return flags & (CM_TCP_SYN | CM_TCP_RST | CM_TCP_ACK);
}

static int parse_tcp(struct cm_packet *packet)
{
	struct tcphdr header;
	size_t available = packet->length - packet->transport_offset;
	size_t length;

	if (available < sizeof(header))
		return CM_E_TRUNCATED;
	memcpy(&header, packet->bytes + packet->transport_offset,
	       sizeof(header));
	length = header.th_off * IP_WORD_SIZE;
	if (length < sizeof(header))
		return CM_E_MALFORMED;
	if (length > available)
		return CM_E_TRUNCATED;
	if (!flags_are_valid(header.th_flags))
		return CM_E_MALFORMED;
	packet->source.port = ntohs(header.th_sport);
	packet->destination.port = ntohs(header.th_dport);
	packet->flags = header.th_flags;
	packet->seq = ntohl(header.th_seq);
	packet->ack = ntohl(header.th_ack);
	packet->payload_offset = packet->transport_offset + length;
	return CM_OK;
}

static int parse_udp(struct cm_packet *packet)
{
	struct udphdr header;
	size_t available = packet->length - packet->transport_offset;

	if (available < sizeof(header))
		return CM_E_TRUNCATED;
	memcpy(&header, packet->bytes + packet->transport_offset,
	       sizeof(header));
	if (ntohs(header.uh_ulen) != available)
		return CM_E_MALFORMED;
	packet->source.port = ntohs(header.uh_sport);
	packet->destination.port = ntohs(header.uh_dport);
	packet->payload_offset = packet->transport_offset + sizeof(header);
	return CM_OK;
}

static int parse_transport(struct cm_packet *packet, uint8_t protocol)
{
	int error;

	packet->source.protocol = protocol;
	packet->destination.protocol = protocol;
	if (protocol == IPPROTO_TCP)
		error = parse_tcp(packet);
	else if (protocol == IPPROTO_UDP)
		error = parse_udp(packet);
	else
		error = CM_E_UNSUPPORTED;
	if (error)
		return error;
	if (!packet->source.port || !packet->destination.port)
		return CM_E_MALFORMED;
	return CM_OK;
}

int cm_packet_parse(struct cm_packet *packet, uint8_t *bytes, size_t length)
{
	struct ip header;
	size_t total;

	memset(packet, 0, sizeof(*packet));
	if (length < sizeof(header))
		return CM_E_TRUNCATED;
	memcpy(&header, bytes, sizeof(header));
	if (header.ip_v != IPVERSION)
		return CM_E_UNSUPPORTED;
	packet->transport_offset = header.ip_hl * IP_WORD_SIZE;
	total = ntohs(header.ip_len);
	if (packet->transport_offset < sizeof(header) ||
	    total < packet->transport_offset)
		return CM_E_MALFORMED;
	if (total > length)
		return CM_E_TRUNCATED;
	if (total < length)
		return CM_E_MALFORMED;
	if (fold(sum_bytes(bytes, packet->transport_offset)) != CHECKSUM_VALID)
		return CM_E_MALFORMED;
	if (ntohs(header.ip_off) & FRAGMENT_MASK)
		return CM_E_UNSUPPORTED;
	packet->bytes = bytes;
	packet->length = total;
	packet->source.address = ntohl(header.ip_src.s_addr);
	packet->destination.address = ntohl(header.ip_dst.s_addr);
	return parse_transport(packet, header.ip_p);
}

size_t cm_packet_payload_length(const struct cm_packet *packet)
{
	return packet->length - packet->payload_offset;
}

static void store16(uint8_t *at, uint16_t value)
{
	at[0] = value >> 8;
	at[1] = value & 0xff;
}

static void store32(uint8_t *at, uint32_t value)
{
	store16(at, value >> 16);
	store16(at + 2, value & 0xffff);
}

/* RFC 1624, equation 3: HC' = ~(~HC + ~m + m') */
static void checksum_update(uint8_t *at, uint16_t before, uint16_t after)
{
	uint32_t sum = (uint16_t)~load16(at);

	sum += (uint16_t)~before;
	sum += after;
	store16(at, (uint16_t)~fold(sum));
}

static void checksum_update32(uint8_t *at, uint32_t before, uint32_t after)
{
	checksum_update(at, before >> 16, after >> 16);
	checksum_update(at, before & 0xffff, after & 0xffff);
}

static uint8_t *transport_checksum(struct cm_packet *packet)
{
	uint8_t *transport = packet->bytes + packet->transport_offset;

	if (packet->source.protocol == IPPROTO_TCP)
		return transport + offsetof(struct tcphdr, th_sum);
	return transport + offsetof(struct udphdr, uh_sum);
}

static void rewrite_endpoint(struct cm_packet *packet,
			     struct cm_endpoint *endpoint,
			     const struct cm_endpoint *to,
			     size_t address_offset, size_t port_offset)
{
	uint8_t *sum = transport_checksum(packet);
	bool no_checksum =
		packet->source.protocol == IPPROTO_UDP && !load16(sum);

	checksum_update32(packet->bytes + offsetof(struct ip, ip_sum),
			  endpoint->address, to->address);
	if (!no_checksum) {
		checksum_update32(sum, endpoint->address, to->address);
		checksum_update(sum, endpoint->port, to->port);
		if (packet->source.protocol == IPPROTO_UDP && !load16(sum))
			store16(sum, 0xffff);
	}
	store32(packet->bytes + address_offset, to->address);
	store16(packet->bytes + packet->transport_offset + port_offset,
		to->port);
	endpoint->address = to->address;
	endpoint->port = to->port;
}

void cm_packet_set_destination(struct cm_packet *packet,
			       const struct cm_endpoint *to)
{
	rewrite_endpoint(packet, &packet->destination, to,
			 offsetof(struct ip, ip_dst),
			 offsetof(struct tcphdr, th_dport));
}

void cm_packet_set_source(struct cm_packet *packet,
			  const struct cm_endpoint *from)
{
	rewrite_endpoint(packet, &packet->source, from,
			 offsetof(struct ip, ip_src),
			 offsetof(struct tcphdr, th_sport));
}

static void write_ip(uint8_t *bytes, size_t length, uint8_t protocol,
		     const struct cm_endpoint *from,
		     const struct cm_endpoint *to)
{
	struct ip header = {
		.ip_v = IPVERSION,
		.ip_hl = sizeof(header) / IP_WORD_SIZE,
		.ip_len = htons((uint16_t)length),
		.ip_ttl = BUILT_TTL,
		.ip_p = protocol,
		.ip_src.s_addr = htonl(from->address),
		.ip_dst.s_addr = htonl(to->address),
	};

	memcpy(bytes, &header, sizeof(header));
	store16(bytes + offsetof(struct ip, ip_sum),
		(uint16_t)~fold(sum_bytes(bytes, sizeof(header))));
}

static void write_tcp_checksum(uint8_t *bytes, size_t length,
			       size_t transport_offset)
{
	uint8_t *sum =
		bytes + transport_offset + offsetof(struct tcphdr, th_sum);
	uint32_t total = sum_bytes(bytes + offsetof(struct ip, ip_src),
				   2 * sizeof(struct in_addr));

	store16(sum, 0);
	total += IPPROTO_TCP;
	total += (uint32_t)(length - transport_offset);
	total += sum_bytes(bytes + transport_offset, length - transport_offset);
	store16(sum, (uint16_t)~fold(total));
}

static void build_tcp(struct cm_built_packet *built,
		      const struct cm_endpoint *from,
		      const struct cm_endpoint *to, uint8_t flags, uint32_t seq,
		      uint32_t ack, const char *text)
{
	size_t header = sizeof(struct ip) + sizeof(struct tcphdr);
	size_t text_length =
		text ? strnlen(text, CM_BUILT_PACKET_SIZE_MAX - header) : 0;
	struct tcphdr tcp = {
		.th_sport = htons(from->port),
		.th_dport = htons(to->port),
		.th_seq = htonl(seq),
		.th_ack = htonl(ack),
		.th_off = sizeof(tcp) / IP_WORD_SIZE,
		.th_flags = flags,
	};

	built->length = header + text_length;
	write_ip(built->bytes, built->length, IPPROTO_TCP, from, to);
	memcpy(built->bytes + sizeof(struct ip), &tcp, sizeof(tcp));
	if (text_length)
		memcpy(built->bytes + header, text, text_length);
	write_tcp_checksum(built->bytes, built->length, sizeof(struct ip));
}

void cm_packet_copy_headers(struct cm_built_packet *built,
			    const struct cm_packet *packet)
{
	size_t length = packet->payload_offset;

	built->length = 0;
	if (length > CM_BUILT_PACKET_SIZE_MAX)
		return;
	memcpy(built->bytes, packet->bytes, length);
	built->length = length;
	store16(built->bytes + offsetof(struct ip, ip_len), (uint16_t)length);
	store16(built->bytes + offsetof(struct ip, ip_sum), 0);
	store16(built->bytes + offsetof(struct ip, ip_sum),
		(uint16_t)~fold(
			sum_bytes(built->bytes, packet->transport_offset)));
	write_tcp_checksum(built->bytes, length, packet->transport_offset);
}

void cm_packet_build_answer_reset(struct cm_built_packet *built,
				  const struct cm_packet *packet,
				  const char *text)
{
	uint32_t next =
		packet->seq + (uint32_t)cm_packet_payload_length(packet);

	if (packet->flags & CM_TCP_SYN)
		next++;
	if (packet->flags & CM_TCP_FIN)
		next++;
	if (packet->flags & CM_TCP_ACK)
		build_tcp(built, &packet->destination, &packet->source,
			  CM_TCP_RST, packet->ack, 0, text);
	else
		build_tcp(built, &packet->destination, &packet->source,
			  CM_TCP_RST | CM_TCP_ACK, 0, next, text);
}

void cm_packet_build_ack(struct cm_built_packet *built,
			 const struct cm_endpoint *from,
			 const struct cm_endpoint *to, uint32_t seq,
			 uint32_t ack)
{
	build_tcp(built, from, to, CM_TCP_ACK, seq, ack, NULL);
}

void cm_packet_build_reset(struct cm_built_packet *built,
			   const struct cm_endpoint *from,
			   const struct cm_endpoint *to, uint32_t seq,
			   const char *text)
{
	build_tcp(built, from, to, CM_TCP_RST, seq, 0, text);
}

void cm_packet_build_unreachable(struct cm_built_packet *built,
				 const struct cm_packet *packet)
{
	size_t quoted_length = packet->transport_offset + ICMP_QUOTE_SIZE;
	size_t quote_offset = sizeof(struct ip) + ICMP_HEADER_SIZE;
	uint8_t *icmp = built->bytes + sizeof(struct ip);

	built->length = quote_offset + quoted_length;
	write_ip(built->bytes, built->length, IPPROTO_ICMP,
		 &packet->destination, &packet->source);
	memset(icmp, 0, ICMP_HEADER_SIZE);
	icmp[0] = ICMP_UNREACH;
	icmp[1] = ICMP_UNREACH_FILTER_PROHIB;
	memcpy(built->bytes + quote_offset, packet->bytes, quoted_length);
	store16(icmp + offsetof(struct icmphdr, checksum),
		(uint16_t)~fold(
			sum_bytes(icmp, ICMP_HEADER_SIZE + quoted_length)));
}
