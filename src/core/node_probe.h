/**
 * DOC: Node: probes of unknown flows
 *
 * A flow that no instance has an entry for is sent to one server after the
 * other; a server that does not hold it answers with an RST.
 */
#ifndef CORE_NODE_PROBE_H
#define CORE_NODE_PROBE_H

#include "node_event.h"

/** Maximum time for the RST of a probed server to arrive, ms. */
#define CM_PROBE_RST_MAX_MS 200
/** Time without RST or progress after which the next server is probed, ms. */
#define CM_PROBE_SILENCE_MS 500
/** Maximum number of backend servers that are probed for one flow. */
#define CM_PROBE_MAX 64

/**
 * cm_probe_start() - probe the servers of a flow that no instance knows
 * @event: a segment of the flow
 * @shard: the flow's shard, locked
 */
void cm_probe_start(struct cm_event *event, struct cm_flow_shard *shard);

/**
 * cm_probe_bound() - probe the server of a binding, which may be stale
 * @event: a segment of the flow
 * @shard: the flow's shard, locked
 * @server: the server it is bound to, whose home is this instance
 */
void cm_probe_bound(struct cm_event *event, struct cm_flow_shard *shard,
		    uint32_t server);

/**
 * cm_probe_segment() - handle a further segment of a flow that is being probed
 * @event: the segment
 * @shard: the flow's shard, locked
 * @flow: the flow
 */
void cm_probe_segment(struct cm_event *event, struct cm_flow_shard *shard,
		      struct cm_flow *flow);

/**
 * cm_probe_restart() - probe again after the server of an unconfirmed flow
 *                      reset it
 * @event: its RST
 * @shard: the flow's shard, locked
 * @flow: the flow
 */
void cm_probe_restart(struct cm_event *event, struct cm_flow_shard *shard,
		      struct cm_flow *flow);

/**
 * cm_probe_answer() - handle a backend server's answer to a probe
 * @event: the answer
 * @shard: the flow's shard, locked
 * @flow: the flow
 */
void cm_probe_answer(struct cm_event *event, struct cm_flow_shard *shard,
		     struct cm_flow *flow);

#endif
