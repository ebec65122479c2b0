/**
 * DOC: Node, probes of unknown flows
 *
 * If no instance has an entry for a flow, its packets are sent to one server of
 * the service after the other; a server that does not hold the flow answers
 * with an RST.
 *
 * Servers are probed by position: first the candidates by rank, then the other
 * servers of the service in the order of the catalog.
 */
#ifndef CORE_NODE_PROBE_H
#define CORE_NODE_PROBE_H

#include "node_event.h"

/** Maximum time until the RST of a probed server arrives, ms. */
#define CM_PROBE_RST_MAX_MS 200
/** Time without RST or progress after which the next server is probed, ms. */
#define CM_PROBE_SILENCE_MS 500
/** Maximum number of backend servers that are probed for one flow. */
#define CM_PROBE_MAX 64

/**
 * cm_probe_start() - probe for a flow that no instance has an entry for
 * @event: a segment of the flow
 * @shard: the flow's shard, locked
 */
void cm_probe_start(struct cm_event *event, struct cm_flow_shard *shard);

/**
 * cm_probe_bound() - probe the server of a binding, which may be stale
 * @event: a segment of the flow
 * @shard: the flow's shard, locked
 * @server: index of the server of the binding, whose home is this instance
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
 * @event: the RST of that server
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
