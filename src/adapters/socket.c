#include "socket.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

#define PORT_MAX 65535

struct sockaddr_in cm_socket_address(const struct cm_endpoint *endpoint)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(endpoint->port),
		.sin_addr.s_addr = htonl(endpoint->address),
	};

	return address;
}

struct cm_endpoint cm_socket_endpoint(const struct sockaddr_in *address,
				      uint8_t protocol)
{
	struct cm_endpoint endpoint = {
		.address = ntohl(address->sin_addr.s_addr),
		.port = ntohs(address->sin_port),
		.protocol = protocol,
	};

	return endpoint;
}

const char *cm_endpoint_write(const struct cm_endpoint *endpoint, char *text)
{
	uint32_t address = endpoint->address;

	snprintf(text, CM_ENDPOINT_TEXT_SIZE, "%u.%u.%u.%u:%u", address >> 24,
		 address >> 16 & 0xff, address >> 8 & 0xff, address & 0xff,
		 endpoint->port);
	return text;
}

int cm_port_parse(uint16_t *port, const char *text, const char **end)
{
	char *rest;
	unsigned long number;

	if (!isdigit((unsigned char)*text))
		return CM_E_BAD_ADDRESS;
	number = strtoul(text, &rest, 10);
	if (!number || number > PORT_MAX)
		return CM_E_BAD_ADDRESS;
	*port = (uint16_t)number;
	*end = rest;
	return CM_OK;
}

int cm_endpoint_parse(struct cm_endpoint *endpoint, const char *text)
{
	const char *colon = strchr(text, ':');
	char host[INET_ADDRSTRLEN];
	struct in_addr address;
	const char *end;
	uint16_t port;

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return CM_E_BAD_ADDRESS;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	if (inet_pton(AF_INET, host, &address) != 1 || !address.s_addr)
		return CM_E_BAD_ADDRESS;
	if (cm_port_parse(&port, colon + 1, &end) || *end)
		return CM_E_BAD_ADDRESS;
	endpoint->address = ntohl(address.s_addr);
	endpoint->port = port;
	return CM_OK;
}
