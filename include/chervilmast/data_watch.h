/**
 * DOC: Data packets that a backend server does not acknowledge
 *
 * A caller retransmits data that its server has not acknowledged 200 ms and
 * 600 ms after its first transmission. An instance sees only the caller's
 * packets, so it remembers one data packet for each server: the same packet
 * again shows that the server did not acknowledge it. The packets of all flows
 * are examined, also of those that are not in the flow table.
 *
 * The first retransmission does not count as stalled. It often follows from a
 * lost packet or a slow response: in tests/unit/test_gone_load.c, instances
 * that counted it reset 27 to 153 flows of servers that were only full, and
 * none when they counted from the second one on.
 */
#ifndef CHERVILMAST_DATA_WATCH_H
#define CHERVILMAST_DATA_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "chervilmast/steer_packet.h"

/**
 * Minimum time from the first transmission of data to a retransmission that
 * counts, ms; between the times of the first and the second retransmission.
 */
#define CM_DATA_STALL_MS 500
/** Time for which a retransmission counts as an observation, ms. */
#define CM_DATA_STALL_TTL_MS 1500

/** Number of data packets that are remembered for a server. */
#define CM_DATA_WATCH_PACKETS 2

/**
 * struct cm_data_packet - a data packet
 * @flow_hash: hash of its flow
 * @seq: its sequence number
 * @ack: its acknowledgment number
 * @sent_ms: when it was first forwarded, ms; 0 for no packet
 */
struct cm_data_packet {
	uint64_t flow_hash;
	uint32_t seq;
	uint32_t ack;
	uint64_t sent_ms;
};

/**
 * struct cm_data_watch - data packets to a server
 * @packets: packets of different flows
 * @stalled_from_ms: first transmission of the data that was last seen to be
 *                   retransmitted for the second time or later, ms
 * @stalled_ms: when that retransmission was seen, ms; 0 for never
 */
struct cm_data_watch {
	struct cm_data_packet packets[CM_DATA_WATCH_PACKETS];
	uint64_t stalled_from_ms;
	uint64_t stalled_ms;
};

/**
 * cm_data_watch_packet() - record a packet of an open flow to the server
 * @watch: the watch; zeroed before first use
 * @now_ms: current time, ms
 * @packet: the packet
 *
 * Return: true when the packet shows that the server answered: its caller has
 * acknowledged bytes that it had not when a remembered packet was sent.
 */
bool cm_data_watch_packet(struct cm_data_watch *watch, uint64_t now_ms,
			  const struct cm_steer_packet *packet);

/**
 * cm_data_watch_is_stalled() - whether data to the server was retransmitted at
 * least CM_DATA_STALL_MS after its first transmission
 * @watch: the watch
 * @now_ms: current time, ms
 *
 * Return: true for CM_DATA_STALL_TTL_MS after such a retransmission.
 */
bool cm_data_watch_is_stalled(const struct cm_data_watch *watch,
			      uint64_t now_ms);

#endif
