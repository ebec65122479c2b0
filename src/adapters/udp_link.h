/**
 * DOC: Link adapter for UDP
 *
 * One socket; any number of threads may receive and send concurrently.
 */
#ifndef ADAPTERS_UDP_LINK_H
#define ADAPTERS_UDP_LINK_H

#include "ports/link.h"

/**
 * struct cm_udp_link - a UDP socket
 * @base: the interface declared in ports/link.h; must stay the first member
 * @fd: the socket, or -1
 */
struct cm_udp_link {
	struct cm_link base;
	int fd;
};

/**
 * cm_udp_link_init() - open a socket
 * @link: memory owned by the calling function
 * @address: address to bind to
 *
 * Return: 0 or CM_E_IO.
 */
int cm_udp_link_init(struct cm_udp_link *link,
		     const struct cm_endpoint *address);

/**
 * cm_udp_link_finish() - close the socket
 * @link: the link; the struct itself is not freed
 */
void cm_udp_link_finish(struct cm_udp_link *link);

#endif
