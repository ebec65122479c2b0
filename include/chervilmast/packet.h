/**
 * DOC: Inner packets
 *
 * The fabric encapsulates IPv4 packets with TCP or UDP. This module parses the
 * headers of these inner packets, rewrites addresses with incremental checksum
 * updates (RFC 1624) and builds the packets that the balancer itself sends: TCP
 * segments (RFC 9293) and ICMP messages (RFC 792).
 */
#ifndef CHERVILMAST_PACKET_H
#define CHERVILMAST_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chervilmast/flow_key.h"

/** Largest packet that the balancer builds, bytes. */
#define CM_BUILT_PACKET_SIZE_MAX 192
/** Largest IPv4 packet, bytes. */
#define CM_PACKET_SIZE_MAX 65535

/** TCP flags as in the header. */
#define CM_TCP_FIN 0x01
#define CM_TCP_SYN 0x02
#define CM_TCP_RST 0x04
#define CM_TCP_ACK 0x10

/**
 * struct cm_packet - a parsed inner packet
 * @bytes: the packet, beginning with its IPv4 header; rewritten in place
 * @length: length of the packet, bytes
 * @transport_offset: offset of the TCP or UDP header from @bytes, bytes
 * @payload_offset: offset of the payload from @bytes, bytes
 * @source: endpoint of the sender
 * @destination: endpoint of the receiver
 * @flags: TCP flags; 0 for UDP
 * @seq: TCP sequence number; 0 for UDP
 * @ack: TCP acknowledgment number; 0 for UDP
 */
struct cm_packet {
	uint8_t *bytes;
	size_t length;
	size_t transport_offset;
	size_t payload_offset;
	struct cm_endpoint source;
	struct cm_endpoint destination;
	uint8_t flags;
	uint32_t seq;
	uint32_t ack;
};

/**
 * cm_packet_parse() - parse an inner packet
 * @packet: set on success
 * @bytes: the packet; must outlive @packet
 * @length: bytes received
 *
 * Return: 0, CM_E_TRUNCATED, CM_E_MALFORMED, or CM_E_UNSUPPORTED if the packet
 * is a fragment or neither TCP nor UDP over IPv4.
 */
int cm_packet_parse(struct cm_packet *packet, uint8_t *bytes, size_t length);

/**
 * cm_packet_payload_length() - length of the payload of a packet
 * @packet: a parsed packet
 *
 * Return: the length, bytes.
 */
size_t cm_packet_payload_length(const struct cm_packet *packet);

/**
 * cm_packet_set_destination() - rewrite the destination
 * @packet: a parsed packet
 * @to: new destination; its protocol is ignored
 */
void cm_packet_set_destination(struct cm_packet *packet,
			       const struct cm_endpoint *to);

/**
 * cm_packet_set_source() - rewrite the source
 * @packet: a parsed packet
 * @from: new source; its protocol is ignored
 */
void cm_packet_set_source(struct cm_packet *packet,
			  const struct cm_endpoint *from);

/**
 * struct cm_built_packet - a packet that the balancer built
 * @bytes: the packet
 * @length: length of the packet, bytes; 0 if there is none
 */
struct cm_built_packet {
	uint8_t bytes[CM_BUILT_PACKET_SIZE_MAX];
	size_t length;
};

/**
 * cm_packet_copy_headers() - copy the IPv4 and TCP headers of a packet
 * @built: set to the copy; its length is 0 if the headers do not fit
 * @packet: the packet to copy
 *
 * The length and the checksums of the copy are those of a packet without
 * payload.
 */
void cm_packet_copy_headers(struct cm_built_packet *built,
			    const struct cm_packet *packet);

/**
 * cm_packet_build_answer_reset() - build the RST in answer to a segment
 * @built: set to the RST
 * @packet: the segment
 * @text: reason, sent as payload of the RST; may be NULL
 */
void cm_packet_build_answer_reset(struct cm_built_packet *built,
				  const struct cm_packet *packet,
				  const char *text);

/**
 * cm_packet_build_ack() - build an ACK without payload
 * @built: set to the segment
 * @from: sender
 * @to: receiver
 * @seq: sequence number
 * @ack: acknowledgment number
 */
void cm_packet_build_ack(struct cm_built_packet *built,
			 const struct cm_endpoint *from,
			 const struct cm_endpoint *to, uint32_t seq,
			 uint32_t ack);

/**
 * cm_packet_build_reset() - build an RST that is not the answer to a segment
 * @built: set to the RST
 * @from: sender
 * @to: receiver
 * @seq: sequence number of the RST, the one that the receiver expects next
 * @text: reason, sent as payload of the RST; may be NULL
 */
void cm_packet_build_reset(struct cm_built_packet *built,
			   const struct cm_endpoint *from,
			   const struct cm_endpoint *to, uint32_t seq,
			   const char *text);

/**
 * cm_packet_build_unreachable() - build the ICMP answer to a datagram
 * @built: set to "destination unreachable, communication administratively
 *         prohibited"
 * @packet: the datagram to answer
 */
void cm_packet_build_unreachable(struct cm_built_packet *built,
				 const struct cm_packet *packet);

#endif
