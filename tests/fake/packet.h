/**
 * DOC: IPv4 packets for tests
 */
#ifndef FAKE_PACKET_H
#define FAKE_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chervilmast/flow_key.h"

/** Bytes of the headers of a TCP segment. */
#define FAKE_SEGMENT_HEAD 40
/** Most bytes of payload in one segment. */
#define FAKE_SEGMENT_SIZE 1200
/** Bytes of the headers of a UDP datagram. */
#define FAKE_DATAGRAM_HEAD 28
/** Most bytes of payload in one datagram. */
#define FAKE_DATAGRAM_SIZE 64

/**
 * fake_segment_build() - build a TCP segment
 * @bytes: CM_BUILT_PACKET_SIZE_MAX + FAKE_SEGMENT_SIZE bytes to write to
 * @from: sender
 * @to: receiver
 * @flags: TCP flags
 * @seq: sequence number
 * @ack: acknowledgment number
 * @data: payload
 * @length: its bytes
 *
 * Return: bytes written.
 */
size_t fake_segment_build(uint8_t *bytes, const struct cm_endpoint *from,
			  const struct cm_endpoint *to, uint8_t flags,
			  uint32_t seq, uint32_t ack, const uint8_t *data,
			  size_t length);

/**
 * fake_datagram_build() - build an IPv4 packet with a UDP datagram
 * @bytes: FAKE_DATAGRAM_HEAD + FAKE_DATAGRAM_SIZE bytes to write to
 * @from: sender
 * @to: receiver
 * @data: payload
 * @length: its bytes
 * @with_checksum: whether the datagram has a checksum
 *
 * Return: bytes written.
 */
size_t fake_datagram_build(uint8_t *bytes, const struct cm_endpoint *from,
			   const struct cm_endpoint *to, const char *data,
			   size_t length, bool with_checksum);

/**
 * fake_datagram_is_sound() - whether all lengths and checksums are right
 * @bytes: an IPv4 packet with a UDP datagram
 * @length: its bytes
 *
 * Return: true if so; a datagram without a checksum has a right one.
 */
bool fake_datagram_is_sound(const uint8_t *bytes, size_t length);

/**
 * fake_packet_fix() - write the right checksum into the IPv4 header
 * @bytes: the packet
 */
void fake_packet_fix(uint8_t *bytes);

#endif
