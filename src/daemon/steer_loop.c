#include "steer_loop.h"

#include <string.h>

#include "chervilmast/error.h"
#include "chervilmast/steer_report.h"
#include "log.h"
#include "ports/clock.h"
#include "steer_log.h"

/** Minimum time between two calls of cm_steer_tick(), ms. */
#define TICK_INTERVAL_MS 25
#define US_PER_MS 1000
/** Time after which an unfinished probe may be replaced by a new one, ms. */
#define PROBE_TIMEOUT_MS 200

int cm_steer_loop_init(struct cm_steer_loop *loop, struct cm_steer *steer,
		       const struct cm_fabric_ops *fabric,
		       const struct cm_endpoint *address)
{
	loop->steer = steer;
	loop->fabric = fabric;
	loop->caller_port = address->port;
	loop->ticked_ms = cm_clock_ms();
	loop->queue_empty_ms = loop->ticked_ms;
	loop->is_flushing = false;
	loop->feed = NULL;
	loop->must_report = false;
	cm_hold_queue_init(&loop->held);
	for (int i = 0; i < CM_STEER_PROBES_MAX; i++)
		cm_reach_probe_init(&loop->probes[i]);
	return cm_udp_batch_init(&loop->batch, address);
}

void cm_steer_loop_finish(struct cm_steer_loop *loop)
{
	for (int i = 0; i < CM_STEER_PROBES_MAX; i++)
		cm_reach_probe_finish(&loop->probes[i]);
	cm_udp_batch_finish(&loop->batch);
}

static void check_probe(struct cm_steer_loop *loop, uint64_t now_ms,
			struct cm_reach_probe *probe)
{
	uint32_t token = probe->token;

	if (!cm_reach_probe_check(probe))
		return;
	cm_steer_probe_succeeded(loop->steer, now_ms, token);
	cm_log(CM_EVENT_REACHED, "token=%08x", token);
}

/*
 * Checks the probes in progress and starts probes of the servers that the
 * steering instance selects. A probe older than PROBE_TIMEOUT_MS is aborted
 * when another server is to be probed.
 */
static void probe_servers(struct cm_steer_loop *loop, uint64_t now_ms)
{
	for (int i = 0; i < CM_STEER_PROBES_MAX; i++) {
		struct cm_reach_probe *probe = &loop->probes[i];
		struct cm_endpoint address;
		uint32_t token;

		check_probe(loop, now_ms, probe);
		if (probe->fd >= 0 &&
		    now_ms < probe->started_ms + PROBE_TIMEOUT_MS)
			continue;
		token = cm_steer_next_probe(loop->steer, now_ms, &address);
		if (token)
			cm_reach_probe_start(probe, token, &address, now_ms);
	}
}

static void count_send_failures(struct cm_steer_loop *loop, size_t unsent)
{
	if (unsent)
		cm_counters_add_many(&loop->steer->counters, CM_C_DROP_SEND,
				     unsent);
}

static void forward(struct cm_steer_loop *loop, struct cm_datagram *datagram,
		    const struct cm_steer_verdict *verdict)
{
	size_t prefix = loop->fabric->prefix_size;
	uint8_t *start = datagram->bytes - prefix;

	loop->fabric->set_token(datagram->bytes, verdict->token);
	loop->fabric->write_prefix(start, verdict->server_id);
	cm_udp_batch_add(&loop->batch, start, datagram->length + prefix,
			 &verdict->server);
}

static void send_reset(struct cm_steer_loop *loop,
		       const struct cm_datagram *datagram,
		       const struct cm_steer_packet *packet)
{
	uint8_t *bytes = loop->resets[loop->batch.out_count];
	size_t length = loop->fabric->write_reset(datagram->bytes, bytes);
	struct cm_endpoint to = packet->key.caller;

	to.port = loop->caller_port;
	cm_udp_batch_add(&loop->batch, bytes, length, &to);
}

/* Return: false when the packet is to be held. */
static bool decide(struct cm_steer_loop *loop, uint64_t now_ms,
		   struct cm_datagram *datagram,
		   const struct cm_steer_packet *packet)
{
	struct cm_steer_verdict verdict;

	cm_steer_packet(loop->steer, now_ms, packet, &verdict);
	if (verdict.action == CM_STEER_FORWARD)
		forward(loop, datagram, &verdict);
	else if (verdict.action == CM_STEER_RESET)
		send_reset(loop, datagram, packet);
	/* A packet that remains held was logged when it was first held. */
	if (verdict.action != CM_STEER_HOLD || !packet->held_ms)
		cm_steer_log_verdict(packet, &verdict);
	return verdict.action != CM_STEER_HOLD;
}

static void handle_datagram(struct cm_steer_loop *loop, uint64_t now_ms,
			    struct cm_datagram *datagram)
{
	struct cm_steer_packet packet;
	int error =
		loop->fabric->read(datagram->bytes, datagram->length, &packet);

	cm_counters_add(&loop->steer->counters, CM_C_PACKETS_FROM_FABRIC);
	if (error) {
		cm_counters_add(&loop->steer->counters,
				error == CM_E_TRUNCATED ? CM_C_DROP_TRUNCATED :
							  CM_C_DROP_MALFORMED);
		return;
	}
	packet.waited_ms = (uint32_t)(now_ms - loop->queue_empty_ms);
	packet.held_ms = 0;
	/* A packet for which the hold queue has no room is dropped. */
	if (!decide(loop, now_ms, datagram, &packet) &&
	    cm_hold_queue_add(&loop->held, now_ms, datagram->bytes,
			      datagram->length))
		cm_counters_add(&loop->steer->counters, CM_C_STEER_DEFERRED);
}

/* Return: true when the packet is no longer held. */
static bool retry_held(struct cm_steer_loop *loop, uint64_t now_ms,
		       const struct cm_held_packet *held,
		       struct cm_datagram *datagram)
{
	/* 1 is added because 0 means that the packet was never held. */
	uint64_t held_ms = now_ms - held->received_ms + 1;
	struct cm_steer_packet packet;

	memcpy(datagram->bytes, held->bytes, held->length);
	datagram->length = held->length;
	if (loop->fabric->read(datagram->bytes, datagram->length, &packet))
		return true;
	packet.waited_ms = 0;
	/* When flushing, the maximum, so that the packet is not held again. */
	packet.held_ms = loop->is_flushing ? UINT32_MAX : (uint32_t)held_ms;
	return decide(loop, now_ms, datagram, &packet);
}

/*
 * Decides again on up to CM_STEER_HELD_BATCH held packets, oldest first, and
 * stops at the first one that remains held.
 */
static void retry_held_packets(struct cm_steer_loop *loop, uint64_t now_ms)
{
	for (size_t i = 0; i < CM_STEER_HELD_BATCH; i++) {
		struct cm_held_packet *held = TAILQ_FIRST(&loop->held.waiting);

		if (!held ||
		    !retry_held(loop, now_ms, held, &loop->held_datagrams[i]))
			break;
		cm_hold_queue_remove(&loop->held, held);
	}
	if (loop->batch.out_count)
		count_send_failures(loop, cm_udp_batch_send(&loop->batch));
}

/*
 * Reports servers that are newly found silent to the source at once, or at a
 * later tick if the feed can't send a request now.
 */
static void report_silent(struct cm_steer_loop *loop, uint64_t now_ms)
{
	if (cm_steer_take_new_silent(loop->steer))
		loop->must_report = true;
	if (loop->feed && loop->must_report &&
	    cm_feed_report_silent(loop->feed, now_ms))
		loop->must_report = false;
}

static void tick(struct cm_steer_loop *loop, uint64_t now_ms)
{
	if (now_ms < loop->ticked_ms + TICK_INTERVAL_MS)
		return;
	cm_steer_tick(loop->steer, now_ms);
	report_silent(loop, now_ms);
	probe_servers(loop, now_ms);
	cm_steer_log_changes(loop->steer);
	cm_log_flush();
	loop->ticked_ms = now_ms;
}

static void handle_batch(struct cm_steer_loop *loop, uint64_t now_ms)
{
	for (size_t i = 0; i < loop->batch.received_count; i++)
		handle_datagram(loop, now_ms, &loop->batch.received[i]);
	count_send_failures(loop, cm_udp_batch_send(&loop->batch));
}

int cm_steer_loop_step(struct cm_steer_loop *loop, const sigset_t *signals)
{
	int error =
		cm_udp_batch_receive(&loop->batch, TICK_INTERVAL_MS, signals);
	uint64_t begin_us = cm_clock_us();
	uint64_t now_ms = begin_us / US_PER_MS;

	if (error)
		return error;
	handle_batch(loop, now_ms);
	if (loop->batch.received_count) {
		cm_histograms_add(&loop->steer->histograms, CM_H_DECISION,
				  cm_clock_us() - begin_us);
		cm_histograms_add(&loop->steer->histograms, CM_H_PACKET_WAIT,
				  now_ms - loop->queue_empty_ms);
	}
	/*
	 * A partial batch has emptied the receive queue. While more packets are
	 * queued, held packets and ticks wait.
	 */
	if (loop->batch.received_count < CM_UDP_BATCH) {
		loop->queue_empty_ms = now_ms;
		retry_held_packets(loop, now_ms);
		tick(loop, now_ms);
	}
	return CM_OK;
}

void cm_steer_loop_flush(struct cm_steer_loop *loop)
{
	size_t received = CM_UDP_BATCH;

	loop->is_flushing = true;
	while (received == CM_UDP_BATCH) {
		if (cm_udp_batch_receive(&loop->batch, 0, NULL))
			break;
		received = loop->batch.received_count;
		handle_batch(loop, cm_clock_ms());
	}
	while (!TAILQ_EMPTY(&loop->held.waiting))
		retry_held_packets(loop, cm_clock_ms());
}
