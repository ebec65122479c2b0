/**
 * DOC: State changes of an instance that steers by token
 *
 * Changes that the instance detected: flows that failed, servers that became
 * suspected or answer again, and its own readiness. They are kept until
 * cm_steer_take_changes() returns them to be logged.
 */
#ifndef CHERVILMAST_STEER_CHANGE_H
#define CHERVILMAST_STEER_CHANGE_H

#include <stdint.h>

#include "chervilmast/flow_key.h"

/** Maximum number of changes kept between calls of cm_steer_take_changes(). */
#define CM_STEER_CHANGES_MAX 128

/**
 * enum cm_steer_change_kind - what changed
 * @CM_STEER_CHANGE_UNANSWERED: a SYN was not answered in time
 * @CM_STEER_CHANGE_SUSPECTED: a server gets no new flows until a probe reaches
 *                             it
 * @CM_STEER_CHANGE_CLEARED: a suspected server answered a SYN
 * @CM_STEER_CHANGE_FLOW_FAILED: an open flow got an error or no response
 * @CM_STEER_CHANGE_EJECTED: a server was ejected because too many of its flows
 *                           failed in the failure domain
 * @CM_STEER_CHANGE_CUT_OFF: several consecutive SYNs, to any servers, got no
 *                           answer, so the instance itself may be cut off
 * @CM_STEER_CHANGE_LOADS_KNOWN: the loads that other instances put on the
 *                               servers became known
 * @CM_STEER_CHANGE_LOADS_UNKNOWN: these loads are no longer known; they are
 *                                 estimated from the instance's own flows
 * @CM_STEER_CHANGE_READY: the instance became ready for packets of the fabric
 * @CM_STEER_CHANGE_NOT_READY: the instance is no longer ready
 */
enum cm_steer_change_kind {
	CM_STEER_CHANGE_UNANSWERED,
	CM_STEER_CHANGE_SUSPECTED,
	CM_STEER_CHANGE_CLEARED,
	CM_STEER_CHANGE_FLOW_FAILED,
	CM_STEER_CHANGE_EJECTED,
	CM_STEER_CHANGE_CUT_OFF,
	CM_STEER_CHANGE_LOADS_KNOWN,
	CM_STEER_CHANGE_LOADS_UNKNOWN,
	CM_STEER_CHANGE_READY,
	CM_STEER_CHANGE_NOT_READY,
};

/**
 * struct cm_steer_change - a state change
 * @kind: what changed
 * @key: the flow, for UNANSWERED and FLOW_FAILED
 * @server_id: id of the server; 0 where there is none
 * @token: token of the server
 * @unanswered_syns: consecutive SYNs, to any servers, that were not answered
 * @waited_ms: time since the SYN, ms, for FLOW_FAILED; age of the loads, ms,
 *             for LOADS_KNOWN and LOADS_UNKNOWN
 * @bytes: bytes of the response that the caller acknowledged, for FLOW_FAILED
 * @at_ms: time of the change, ms
 */
struct cm_steer_change {
	enum cm_steer_change_kind kind;
	struct cm_flow_key key;
	uint64_t server_id;
	uint32_t token;
	uint32_t unanswered_syns;
	uint32_t waited_ms;
	uint32_t bytes;
	uint64_t at_ms;
};

/**
 * struct cm_steer_changes - changes since the last call of
 * cm_steer_take_changes()
 * @items: the changes
 * @count: number of @items
 * @dropped: changes that were dropped because @items was full
 */
struct cm_steer_changes {
	struct cm_steer_change items[CM_STEER_CHANGES_MAX];
	uint32_t count;
	uint32_t dropped;
};

/**
 * cm_steer_changes_add() - append a change, or count it in @dropped when @items
 * is full
 * @changes: the changes
 * @change: the change; copied
 */
void cm_steer_changes_add(struct cm_steer_changes *changes,
			  const struct cm_steer_change *change);

#endif
