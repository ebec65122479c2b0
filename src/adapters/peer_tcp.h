/**
 * DOC: Peers adapter for TCP
 *
 * One listening socket and a bounded number of connections. A connection to a
 * peer is opened at the first message and closed when it is idle or stalled.
 */
#ifndef ADAPTERS_PEER_TCP_H
#define ADAPTERS_PEER_TCP_H

#include <pthread.h>

#include "chervilmast/counter.h"
#include "peer_connection.h"
#include "ports/peers.h"

/** Most connections at once. */
#define CM_PEER_CONNECTIONS_MAX 512

/**
 * struct cm_peer_tcp - the other instances over TCP
 * @base: the port; must stay the first member
 * @counters: what happened
 * @lock: guards all below; not held while the handler runs
 * @control: where to listen
 * @listener: listening socket, or -1 while it can't be had
 * @listen_ms: when to try again to listen
 * @wake: event that ends a wait
 * @connections: all connections; removed by the thread that runs only
 * @count: number of @connections
 */
struct cm_peer_tcp {
	struct cm_peers base;
	struct cm_counters *counters;
	pthread_mutex_t lock;
	struct cm_endpoint control;
	int listener;
	uint64_t listen_ms;
	int wake;
	LIST_HEAD(, cm_peer_connection) connections;
	uint32_t count;
};

/**
 * cm_peer_tcp_init() - start
 * @peers: memory of the caller
 * @control: where to listen
 * @handler: who gets the messages, copied
 * @counters: where it counts
 *
 * Without the listening socket messages can still be sent and answered; it is
 * tried again each second.
 *
 * Return: 0; CM_E_BIND when it started but can't listen; CM_E_IO when it did
 * not start.
 */
int cm_peer_tcp_init(struct cm_peer_tcp *peers,
		     const struct cm_endpoint *control,
		     const struct cm_peers_handler *handler,
		     struct cm_counters *counters);

/**
 * cm_peer_tcp_init_client() - send, and receive answers, without listening
 * @peers: memory of the caller
 * @handler: who gets the answers, copied
 * @counters: where it counts
 *
 * Return: 0 or CM_E_IO.
 */
int cm_peer_tcp_init_client(struct cm_peer_tcp *peers,
			    const struct cm_peers_handler *handler,
			    struct cm_counters *counters);

/**
 * cm_peer_tcp_wake() - end the wait of the thread that runs the adapter
 * @peers: the adapter
 */
void cm_peer_tcp_wake(struct cm_peer_tcp *peers);

/**
 * cm_peer_tcp_finish() - close all
 * @peers: the peers; its memory stays the caller's
 */
void cm_peer_tcp_finish(struct cm_peer_tcp *peers);

#endif
