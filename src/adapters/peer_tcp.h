/**
 * DOC: Peers adapter for TCP
 *
 * One listening socket and a limited number of connections. A connection to a
 * peer is opened for the first message to it, and closed when it is idle or
 * when queued messages can't be sent.
 */
#ifndef ADAPTERS_PEER_TCP_H
#define ADAPTERS_PEER_TCP_H

#include <pthread.h>

#include "chervilmast/counter.h"
#include "peer_connection.h"
#include "ports/peers.h"

/** Maximum number of connections. */
#define CM_PEER_CONNECTIONS_MAX 512

/**
 * struct cm_peer_tcp - the other instances over TCP
 * @base: the interface declared in ports/peers.h; must stay the first member
 * @counters: counters of messages and drops
 * @lock: guards @connections, @count and the send queues of the connections;
 *        not held while the handler runs
 * @control: address to listen on
 * @listener: listening socket; -1 when it is not open
 * @listen_retry_ms: earliest time of the next attempt to open @listener
 * @wake_fd: eventfd that interrupts the wait of the thread that runs the
 *           adapter
 * @connections: all connections; removed only by the thread that runs the
 *               adapter
 * @count: number of @connections
 */
struct cm_peer_tcp {
	struct cm_peers base;
	struct cm_counters *counters;
	pthread_mutex_t lock;
	struct cm_endpoint control;
	int listener;
	uint64_t listen_retry_ms;
	int wake_fd;
	LIST_HEAD(, cm_peer_connection) connections;
	uint32_t count;
};

/**
 * cm_peer_tcp_init() - start the adapter
 * @peers: memory owned by the calling function
 * @control: address to listen on
 * @handler: receiver of messages; copied
 * @counters: counters to update
 *
 * When the listening socket can't be opened, messages can still be sent and
 * their answers received; opening it is retried once a second.
 *
 * Return: 0; CM_E_BIND when the adapter has started but can't listen yet;
 * CM_E_IO when it has not started.
 */
int cm_peer_tcp_init(struct cm_peer_tcp *peers,
		     const struct cm_endpoint *control,
		     const struct cm_peers_handler *handler,
		     struct cm_counters *counters);

/**
 * cm_peer_tcp_init_client() - start the adapter without listening
 * @peers: memory owned by the calling function
 * @handler: receiver of the answers; copied
 * @counters: counters to update
 *
 * Return: 0 or CM_E_IO.
 */
int cm_peer_tcp_init_client(struct cm_peer_tcp *peers,
			    const struct cm_peers_handler *handler,
			    struct cm_counters *counters);

/**
 * cm_peer_tcp_wake() - interrupt the wait of the thread that runs the adapter
 * @peers: the adapter
 */
void cm_peer_tcp_wake(struct cm_peer_tcp *peers);

/**
 * cm_peer_tcp_finish() - close all sockets
 * @peers: the adapter; the struct itself is not freed
 */
void cm_peer_tcp_finish(struct cm_peer_tcp *peers);

#endif
