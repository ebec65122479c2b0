/**
 * DOC: Conversion of endpoints to and from socket addresses and text
 */
#ifndef ADAPTERS_SOCKET_H
#define ADAPTERS_SOCKET_H

#include <netinet/in.h>

#include "chervilmast/flow_key.h"

/** Size of the text of an address and port with its NUL, bytes. */
#define CM_ENDPOINT_TEXT_SIZE 24

/**
 * cm_socket_address() - convert an endpoint to a socket address
 * @endpoint: the endpoint
 *
 * Return: the socket address.
 */
struct sockaddr_in cm_socket_address(const struct cm_endpoint *endpoint);

/**
 * cm_socket_endpoint() - convert a socket address to an endpoint
 * @address: the socket address
 * @protocol: IPPROTO_TCP or IPPROTO_UDP
 *
 * Return: the endpoint.
 */
struct cm_endpoint cm_socket_endpoint(const struct sockaddr_in *address,
				      uint8_t protocol);

/**
 * cm_endpoint_write() - format an endpoint, as in "192.0.2.1:80"
 * @endpoint: the endpoint
 * @text: CM_ENDPOINT_TEXT_SIZE bytes to write to
 *
 * Return: @text.
 */
const char *cm_endpoint_write(const struct cm_endpoint *endpoint, char *text);

/**
 * cm_endpoint_parse() - parse an endpoint, as in "192.0.2.1:80"
 * @endpoint: set on success, except for its protocol
 * @text: the text
 *
 * Return: 0 or CM_E_BAD_ADDRESS.
 */
int cm_endpoint_parse(struct cm_endpoint *endpoint, const char *text);

/**
 * cm_port_parse() - parse a port
 * @port: set on success
 * @text: text that begins with the port in decimal
 * @end: set on success to the text after the port
 *
 * Return: 0 or CM_E_BAD_ADDRESS.
 */
int cm_port_parse(uint16_t *port, const char *text, const char **end);

#endif
