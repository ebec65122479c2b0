/**
 * DOC: Relay headers
 *
 * A packet that one instance relays to another carries a relay header, which is
 * sent as one Geneve option.
 */
#ifndef CHERVILMAST_RELAY_H
#define CHERVILMAST_RELAY_H

#include <stddef.h>
#include <stdint.h>

#include "chervilmast/flow_key.h"

/** Maximum number of relays of one packet; bounds loops between instances. */
#define CM_HOP_LIMIT 8
/** Length of a relay header on the wire, bytes. */
#define CM_RELAY_SIZE 20

/**
 * enum cm_relay_kind - what the receiver has to do
 * @CM_RELAY_LOOKUP: find the server of a flow; @kind_data is 0 if the receiver
 *                   is addressed as directory of the flow. Otherwise it is the
 *                   number of different servers that ranked first for the flow
 *                   in an earlier candidate set (history.h) and were considered
 *                   so far, including the one whose home is the receiver.
 * @CM_RELAY_ADMIT: admit a new flow to @server; @kind_data is a bit mask of the
 *                  candidates that were tried, by rank, @server included
 * @CM_RELAY_BOUND: forward a packet of a flow that is bound to @server, whose
 *                  home is the receiver
 * @CM_RELAY_PROBE: no instance has an entry for the flow; probe the servers of
 *                  its service
 * @CM_RELAY_RETURN: forward a packet of the backend server to the caller;
 *                   @kind_data says whether the receiver is addressed as
 *                   directory of the flow or as home of the server, and what
 *                   the directory has recorded of the flow
 */
enum cm_relay_kind {
	CM_RELAY_LOOKUP = 1,
	CM_RELAY_ADMIT,
	CM_RELAY_BOUND,
	CM_RELAY_PROBE,
	CM_RELAY_RETURN,
};

/**
 * struct cm_relay - header of a relayed packet
 * @kind: what the receiver has to do
 * @kind_data: see enum cm_relay_kind
 * @hops: number of times that the packet was relayed
 * @version: low 32 bits of the sender's catalog version
 * @service: public address of the flow's service
 * @server: backend server concerned; zero if none
 */
struct cm_relay {
	enum cm_relay_kind kind;
	uint8_t kind_data;
	uint8_t hops;
	uint32_t version;
	struct cm_endpoint service;
	struct cm_endpoint server;
};

/**
 * cm_relay_write() - encode a relay header
 * @relay: the header to encode
 * @bytes: buffer of CM_RELAY_SIZE bytes
 */
void cm_relay_write(const struct cm_relay *relay, uint8_t *bytes);

/**
 * cm_relay_read() - decode a relay header
 * @relay: set on success
 * @bytes: the encoded header
 * @length: length of @bytes
 *
 * Return: 0, CM_E_TRUNCATED or CM_E_MALFORMED.
 */
int cm_relay_read(struct cm_relay *relay, const uint8_t *bytes, size_t length);

#endif
