/**
 * DOC: Port to the datagram network
 *
 * Datagrams to and from the fabric and other instances. An adapter fills the
 * table of functions and embeds struct cm_link.
 */
#ifndef PORTS_LINK_H
#define PORTS_LINK_H

#include <stddef.h>
#include <stdint.h>

#include "chervilmast/flow_key.h"

struct cm_link;

/**
 * struct cm_link_ops - functions of an adapter
 * @receive: wait up to @timeout_ms for a datagram and copy up to @room bytes of
 *           it. Returns the number of bytes, 0 when none was received, or
 *           CM_E_IO. Sets @from to its sender.
 * @send: send @head and @body as one datagram. Returns 0 or CM_E_IO.
 */
struct cm_link_ops {
	int (*receive)(struct cm_link *link, uint8_t *bytes, size_t room,
		       uint32_t timeout_ms, struct cm_endpoint *from);
	int (*send)(struct cm_link *link, const struct cm_endpoint *to,
		    const uint8_t *head, size_t head_length,
		    const uint8_t *body, size_t body_length);
};

/**
 * struct cm_link - a datagram network
 * @ops: functions of its adapter
 */
struct cm_link {
	const struct cm_link_ops *ops;
};

#endif
