/**
 * DOC: IPv4 packets for tests
 */
#ifndef FAKE_PACKET_H
#define FAKE_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chervilmast/flow_key.h"

/** Size of the IPv4 and TCP headers of a segment, bytes. */
#define FAKE_SEGMENT_HEADER_SIZE 40
/** Largest payload of a segment, bytes. */
#define FAKE_SEGMENT_PAYLOAD_MAX 1200
/** Size of the IPv4 and UDP headers of a datagram, bytes. */
#define FAKE_DATAGRAM_HEADER_SIZE 28
/** Largest payload of a datagram, bytes. */
#define FAKE_DATAGRAM_PAYLOAD_MAX 64

/**
 * fake_segment_build() - build an IPv4 packet with a TCP segment
 * @bytes: output buffer, CM_BUILT_PACKET_SIZE_MAX + FAKE_SEGMENT_PAYLOAD_MAX
 *         bytes
 * @from: source
 * @to: destination
 * @flags: TCP flags
 * @seq: sequence number
 * @ack: acknowledgment number
 * @data: payload
 * @length: length of the payload, in bytes
 *
 * Return: length of the packet, in bytes.
 */
size_t fake_segment_build(uint8_t *bytes, const struct cm_endpoint *from,
			  const struct cm_endpoint *to, uint8_t flags,
			  uint32_t seq, uint32_t ack, const uint8_t *data,
			  size_t length);

/**
 * fake_datagram_build() - build an IPv4 packet with a UDP datagram
 * @bytes: output buffer, FAKE_DATAGRAM_HEADER_SIZE + FAKE_DATAGRAM_PAYLOAD_MAX
 *         bytes
 * @from: source
 * @to: destination
 * @data: payload
 * @length: length of the payload, in bytes
 * @with_checksum: whether the datagram has a checksum
 *
 * Return: length of the packet, in bytes.
 */
size_t fake_datagram_build(uint8_t *bytes, const struct cm_endpoint *from,
			   const struct cm_endpoint *to, const char *data,
			   size_t length, bool with_checksum);

/**
 * fake_datagram_is_valid() - whether all lengths and checksums are correct
 * @bytes: an IPv4 packet with a UDP datagram
 * @length: length of the packet, in bytes
 *
 * Return: true if so; a UDP checksum of 0 means none and counts as correct.
 */
bool fake_datagram_is_valid(const uint8_t *bytes, size_t length);

/**
 * fake_packet_set_checksum() - update the checksum of the IPv4 header
 * @bytes: the packet
 */
void fake_packet_set_checksum(uint8_t *bytes);

#endif
