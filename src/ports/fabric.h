/**
 * DOC: Port to a fabric that repeats tokens
 *
 * How a caller's packet looks on the wire. An adapter fills the table.
 */
#ifndef PORTS_FABRIC_H
#define PORTS_FABRIC_H

#include <stddef.h>

#include "chervilmast/steer.h"

/** Room for what goes before a packet to a backend server, bytes. */
#define CM_FABRIC_PREFIX_MAX 16
/** Room for a reset, bytes. */
#define CM_FABRIC_RESET_MAX 64
/** Room for a packet, bytes. */
#define CM_FABRIC_PACKET_MAX 2048

/**
 * struct cm_fabric_ops - the format of packets
 * @prefix_size: bytes that go before a packet to a backend server
 * @read: read a packet of @length bytes. Returns 0, CM_E_TRUNCATED or
 *        CM_E_MALFORMED.
 * @set_token: write a token into a packet that was read
 * @write_prefix: write what goes before a packet to the server with this id
 * @write_reset: write the reset that answers a packet that was read. Returns
 *               its bytes.
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
