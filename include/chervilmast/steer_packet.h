/**
 * DOC: Input and result of steering a packet
 */
#ifndef CHERVILMAST_STEER_PACKET_H
#define CHERVILMAST_STEER_PACKET_H

#include <stdint.h>

#include "chervilmast/counter.h"
#include "chervilmast/flow_key.h"
#include "chervilmast/note.h"

/**
 * Packet flag: the packet opens a flow, or answers such a packet with
 * CM_STEER_ACK.
 */
#define CM_STEER_SYN 1
/** Packet flag: the packet acknowledges bytes of the other end. */
#define CM_STEER_ACK 2
/** Packet flag: the sender has no more data. */
#define CM_STEER_FIN 4
/** Packet flag: the packet aborts the flow. */
#define CM_STEER_RST 8

/**
 * struct cm_steer_packet - the parts of a caller's packet that steering uses
 * @key: key of the flow
 * @token: token that the packet carries; 0 for none
 * @flags: CM_STEER_SYN, CM_STEER_ACK, CM_STEER_FIN and CM_STEER_RST bits
 * @repeats: number of earlier SYNs of this flow, as the packet states it
 * @data_length: bytes of data
 * @seq: number of the first byte of data
 * @ack: number of the next byte that the caller expects; valid with
 *       CM_STEER_ACK
 * @waited_ms: upper bound of the time that the packet spent in the receive
 *             queue, ms
 * @held_ms: time since the packet was first held (CM_STEER_HOLD), ms; 0 if it
 *           never was
 */
struct cm_steer_packet {
	struct cm_flow_key key;
	uint32_t token;
	uint8_t flags;
	uint32_t repeats;
	uint32_t data_length;
	uint32_t seq;
	uint32_t ack;
	uint32_t waited_ms;
	uint32_t held_ms;
};

/**
 * enum cm_steer_action - what is to be done with a packet
 * @CM_STEER_DROP: discard it
 * @CM_STEER_FORWARD: send it to a backend server, with the token
 * @CM_STEER_RESET: end the flow with a reset to the caller
 * @CM_STEER_HOLD: queue it and pass it to cm_steer_packet() again, several
 *                 times a second, until the action is another one
 */
enum cm_steer_action {
	CM_STEER_DROP,
	CM_STEER_FORWARD,
	CM_STEER_RESET,
	CM_STEER_HOLD,
};

/**
 * struct cm_steer_verdict - what is to be done with a packet, and why
 * @action: what is to be done
 * @reason: counter of the reason; CM_C_STEER_PLACED, CM_C_STEER_PLACED_AGAIN,
 *          CM_C_STEER_SYN_REPEATED or CM_C_STEER_BY_TOKEN when it is forwarded
 * @token: token to write into the packet, when it is forwarded
 * @server_id: id of the server, when it is forwarded, or of the server that is
 *             gone
 * @server: where the server receives datagrams, when it is forwarded
 * @service: service of a new flow; empty where it is not known
 * @plan_version: version of the plan that the decision used
 * @registry_age_ms: age of the registry data, ms
 * @evidence_age_ms: time since when the server of an open flow that is reset
 *                   counts as gone, ms; else 0
 * @own_load: load of this instance's flows at the server of a new flow,
 *            thousandths of a slot
 * @others_load: known load of the other instances' flows there, thousandths
 * @loads_age_ms: age of @others_load, ms; UINT64_MAX when it is not known
 */
struct cm_steer_verdict {
	enum cm_steer_action action;
	enum cm_counter reason;
	uint32_t token;
	uint64_t server_id;
	struct cm_endpoint server;
	char service[CM_NAME_SIZE];
	uint64_t plan_version;
	uint64_t registry_age_ms;
	uint64_t evidence_age_ms;
	uint32_t own_load;
	uint32_t others_load;
	uint64_t loads_age_ms;
};

#endif
