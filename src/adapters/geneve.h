/**
 * DOC: Geneve (RFC 8926)
 *
 * Encapsulation of IPv4 packets. Packets between instances carry a relay
 * header as one critical option of an experimental class.
 */
#ifndef ADAPTERS_GENEVE_H
#define ADAPTERS_GENEVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chervilmast/relay.h"

/** Size of the fixed Geneve header, bytes. */
#define CM_GENEVE_BASE_SIZE 8
/** Size of a Geneve header with a relay option, bytes. */
#define CM_GENEVE_RELAY_SIZE (CM_GENEVE_BASE_SIZE + 4 + CM_RELAY_SIZE)

/**
 * struct cm_geneve - a parsed Geneve header
 * @length: size of the header with all options, bytes
 * @has_relay: it contains a relay header
 * @relay: the relay header
 */
struct cm_geneve {
	size_t length;
	bool has_relay;
	struct cm_relay relay;
};

/**
 * cm_geneve_read() - parse a Geneve header
 * @geneve: set on success
 * @bytes: the datagram
 * @length: its size, bytes
 *
 * Return: 0, CM_E_TRUNCATED, CM_E_MALFORMED, or CM_E_UNSUPPORTED for another
 * version, payload or critical option.
 */
int cm_geneve_read(struct cm_geneve *geneve, const uint8_t *bytes,
		   size_t length);

/**
 * cm_geneve_write() - write a Geneve header
 * @bytes: CM_GENEVE_RELAY_SIZE bytes to write to
 * @relay: relay header to include as an option, or NULL
 *
 * Return: number of bytes written.
 */
size_t cm_geneve_write(uint8_t *bytes, const struct cm_relay *relay);

#endif
