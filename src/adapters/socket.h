/**
 * DOC: Socket addresses
 */
#ifndef ADAPTERS_SOCKET_H
#define ADAPTERS_SOCKET_H

#include <netinet/in.h>

#include "chervilmast/flow_key.h"

/** Room for an address and port as text. */
#define CM_ENDPOINT_TEXT_SIZE 24

/**
 * cm_socket_address() - endpoint as a socket address
 * @endpoint: the endpoint
 *
 * Return: the socket address.
 */
struct sockaddr_in cm_socket_address(const struct cm_endpoint *endpoint);

/**
 * cm_socket_endpoint() - socket address as an endpoint
 * @address: the socket address
 * @protocol: IPPROTO_TCP or IPPROTO_UDP
 *
 * Return: the endpoint.
 */
struct cm_endpoint cm_socket_endpoint(const struct sockaddr_in *address,
				      uint8_t protocol);

/**
 * cm_endpoint_write() - endpoint as text, as in "192.0.2.1:80"
 * @endpoint: the endpoint
 * @text: CM_ENDPOINT_TEXT_SIZE bytes to write to
 *
 * Return: @text.
 */
const char *cm_endpoint_write(const struct cm_endpoint *endpoint, char *text);

/**
 * cm_endpoint_parse() - endpoint from text as in "192.0.2.1:80"
 * @endpoint: set on success; its protocol stays as it is
 * @text: the text
 *
 * Return: 0 or CM_E_BAD_ADDRESS.
 */
int cm_endpoint_parse(struct cm_endpoint *endpoint, const char *text);

/**
 * cm_port_parse() - port from text
 * @port: set on success
 * @text: begins with the port in decimal
 * @end: set to what follows it
 *
 * Return: 0 or CM_E_BAD_ADDRESS.
 */
int cm_port_parse(uint16_t *port, const char *text, const char **end);

#endif
