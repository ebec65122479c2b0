/**
 * DOC: Port to the packet format of a fabric
 *
 * For a fabric in which both ends of a flow echo the token that an instance
 * wrote into the SYN. An adapter fills the table of functions.
 */
#ifndef PORTS_FABRIC_H
#define PORTS_FABRIC_H

#include <stddef.h>

#include "chervilmast/steer.h"

/**
 * Maximum size of the header in front of a packet to a backend server, bytes.
 */
#define CM_FABRIC_PREFIX_MAX 16
/** Maximum size of a reset, bytes. */
#define CM_FABRIC_RESET_MAX 64
/** Maximum size of a packet, bytes. */
#define CM_FABRIC_PACKET_MAX 2048

/**
 * struct cm_fabric_ops - format of the fabric's packets
 * @prefix_size: size of the header in front of a packet to a backend server,
 *               bytes; at most CM_FABRIC_PREFIX_MAX
 * @read: parse a packet of @length bytes. Returns 0, CM_E_TRUNCATED or
 *        CM_E_MALFORMED.
 * @set_token: write a token into a packet that @read has accepted
 * @write_prefix: write the header in front of a packet to the server with id
 *                @server_id
 * @write_reset: write the reset that answers a packet that @read has accepted;
 *               @reset has room for CM_FABRIC_RESET_MAX bytes. Returns its
 *               size, bytes.
 */
struct cm_fabric_ops {
	size_t prefix_size;
	int (*read)(const uint8_t *bytes, size_t length,
		    struct cm_steer_packet *packet);
	void (*set_token)(uint8_t *bytes, uint32_t token);
	void (*write_prefix)(uint8_t *bytes, uint64_t server_id);
	size_t (*write_reset)(const uint8_t *bytes, uint8_t *reset);
};

#endif
