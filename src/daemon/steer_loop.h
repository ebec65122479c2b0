/**
 * DOC: Packet loop of an instance that steers by token
 *
 * Receives packets in batches, passes each to the steering instance (steer.h)
 * and carries out its decision. The loop runs in the thread that calls it.
 */
#ifndef DAEMON_STEER_LOOP_H
#define DAEMON_STEER_LOOP_H

#include "adapters/reach_probe.h"
#include "adapters/udp_batch.h"
#include "chervilmast/steer.h"
#include "feed.h"
#include "hold_queue.h"
#include "ports/fabric.h"

/** Maximum number of probes in progress. */
#define CM_STEER_PROBES_MAX 4
/** Maximum number of held packets decided on again in one step. */
#define CM_STEER_HELD_BATCH 16

/**
 * struct cm_steer_loop - a packet loop
 * @steer: the steering instance
 * @fabric: packet format
 * @caller_port: port at which callers receive packets
 * @batch: the socket
 * @held: held packets
 * @held_datagrams: buffers for the held packets that are decided on again
 * @resets: buffers for the resets of a batch
 * @ticked_ms: when cm_steer_tick() was last called
 * @queue_empty_ms: when the receive queue of the socket was last empty
 * @is_flushing: cm_steer_loop_flush() was called; packets are no longer held
 * @probes: probes in progress
 * @feed: told of servers that are newly found silent; NULL for none
 * @must_report: a server was newly found silent, and @feed has not yet been
 *               told
 */
struct cm_steer_loop {
	struct cm_steer *steer;
	const struct cm_fabric_ops *fabric;
	uint16_t caller_port;
	struct cm_udp_batch batch;
	struct cm_hold_queue held;
	struct cm_datagram held_datagrams[CM_STEER_HELD_BATCH];
	uint8_t resets[CM_UDP_BATCH][CM_FABRIC_RESET_MAX];
	uint64_t ticked_ms;
	uint64_t queue_empty_ms;
	bool is_flushing;
	struct cm_reach_probe probes[CM_STEER_PROBES_MAX];
	struct cm_feed *feed;
	bool must_report;
};

/**
 * cm_steer_loop_init() - bind the socket
 * @loop: memory owned by the calling function
 * @steer: the steering instance
 * @fabric: packet format
 * @address: address at which packets are received
 *
 * Return: 0 or CM_E_IO.
 */
int cm_steer_loop_init(struct cm_steer_loop *loop, struct cm_steer *steer,
		       const struct cm_fabric_ops *fabric,
		       const struct cm_endpoint *address);

/**
 * cm_steer_loop_finish() - close the socket
 * @loop: the loop; the struct itself is not freed
 */
void cm_steer_loop_finish(struct cm_steer_loop *loop);

/**
 * cm_steer_loop_step() - wait for packets and handle them
 * @loop: the loop
 * @signals: signal mask during the wait
 *
 * Return: 0 or CM_E_IO.
 */
int cm_steer_loop_step(struct cm_steer_loop *loop, const sigset_t *signals);

/**
 * cm_steer_loop_flush() - decide on all received and held packets
 * @loop: the loop, about to finish
 *
 * No packet is held from now on: a packet that is still held when the process
 * ends would be lost, and its caller would get no answer before its timeout.
 */
void cm_steer_loop_flush(struct cm_steer_loop *loop);

#endif
