#include "chervilmast/relay.h"

#include <arpa/inet.h>
#include <string.h>

#include "chervilmast/error.h"

/**
 * struct relay_wire - encoded relay header, network byte order
 */
struct relay_wire {
	uint8_t kind;
	uint8_t kind_data;
	uint8_t hops;
	uint8_t protocol;
	uint32_t version;
	uint32_t service_address;
	uint32_t server_address;
	uint16_t service_port;
	uint16_t server_port;
};

_Static_assert(sizeof(struct relay_wire) == CM_RELAY_SIZE,
	       "the relay header has no padding");

void cm_relay_write(const struct cm_relay *relay, uint8_t *bytes)
{
	struct relay_wire wire = {
		.kind = (uint8_t)relay->kind,
		.kind_data = relay->kind_data,
		.hops = relay->hops,
		.protocol = relay->service.protocol,
		.version = htonl(relay->version),
		.service_address = htonl(relay->service.address),
		.server_address = htonl(relay->server.address),
		.service_port = htons(relay->service.port),
		.server_port = htons(relay->server.port),
	};

	memcpy(bytes, &wire, sizeof(wire));
}

int cm_relay_read(struct cm_relay *relay, const uint8_t *bytes, size_t length)
{
	struct relay_wire wire;

	if (length < sizeof(wire))
		return CM_E_TRUNCATED;
	memcpy(&wire, bytes, sizeof(wire));
	if (wire.kind < CM_RELAY_LOOKUP || wire.kind > CM_RELAY_RETURN)
		return CM_E_MALFORMED;
	if (!wire.hops)
		return CM_E_MALFORMED;
	relay->kind = wire.kind;
	relay->kind_data = wire.kind_data;
	relay->hops = wire.hops;
	relay->version = ntohl(wire.version);
	relay->service.address = ntohl(wire.service_address);
	relay->service.port = ntohs(wire.service_port);
	relay->service.protocol = wire.protocol;
	relay->server.address = ntohl(wire.server_address);
	relay->server.port = ntohs(wire.server_port);
	relay->server.protocol = wire.protocol;
	return CM_OK;
}
