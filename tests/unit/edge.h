/**
 * DOC: Datagram input of a node under test
 *
 * The packet loop of the first node of flows_setup_small(). Tests pass
 * datagrams to it one by one. Its link counts the datagrams that the node sends
 * and discards them.
 */
#ifndef UNIT_EDGE_H
#define UNIT_EDGE_H

#include <check.h>

#include "chervilmast/counter.h"
#include "chervilmast/relay.h"

/** Buffer size for any datagram of these tests, bytes. */
#define EDGE_SIZE 512

/** Source address of datagrams from the fabric. */
extern const struct cm_endpoint edge_fabric;
/** Number of datagrams that the node has sent. */
extern uint64_t edge_sent;

/** edge_setup() - start the nodes and the packet loop */
void edge_setup(void);

/** edge_teardown() - free what edge_setup() has started */
void edge_teardown(void);

/** edge_count() - current value of a counter of the node */
uint64_t edge_count(enum cm_counter counter);

/** edge_count_arrivals() - datagrams accepted or dropped on arrival */
uint64_t edge_count_arrivals(void);

/**
 * edge_input() - pass a datagram to the packet loop
 * @bytes: the datagram, copied
 * @length: its length, bytes
 * @from: its sender
 *
 * Fails the test unless exactly one arrival counter and at least one outcome
 * counter count the datagram.
 */
void edge_input(uint8_t *bytes, size_t length, const struct cm_endpoint *from);

/**
 * edge_encapsulate() - encapsulate a packet
 * @bytes: buffer of EDGE_SIZE bytes for the datagram
 * @relay: relay header, or NULL for a packet from the fabric
 * @inner: the packet
 * @length: its length, bytes
 *
 * Return: length of the datagram, bytes.
 */
size_t edge_encapsulate(uint8_t *bytes, const struct cm_relay *relay,
			const uint8_t *inner, size_t length);

/** edge_input_packet() - encapsulate a packet and pass it to the packet loop */
void edge_input_packet(const uint8_t *inner, size_t length,
		       const struct cm_relay *relay,
		       const struct cm_endpoint *from);

/** edge_fix_checksum() - correct the checksum of an IPv4 header, if complete */
void edge_fix_checksum(uint8_t *inner, size_t length);

#endif
