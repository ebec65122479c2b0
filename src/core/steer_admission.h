/**
 * DOC: Admission of requests in the handling of packets
 */
#ifndef CORE_STEER_ADMISSION_H
#define CORE_STEER_ADMISSION_H

#include "chervilmast/steer.h"

/**
 * enum cm_flow_admission - result of the decision on a new flow
 * @CM_FLOW_UNLIMITED: its route is not limited, its SYN does not stand for a
 *                     request as its route has long flows, or there is no
 *                     overload
 * @CM_FLOW_ADMITTED: its request is admitted under overload and must not be
 *                    delayed any more
 * @CM_FLOW_REFUSED: it is deferred, dropped or reset
 */
enum cm_flow_admission {
	CM_FLOW_UNLIMITED,
	CM_FLOW_ADMITTED,
	CM_FLOW_REFUSED,
};

/**
 * cm_steer_admission_update() - update the overload states
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 */
void cm_steer_admission_update(struct cm_steer *steer, uint64_t now_ms);

/**
 * cm_steer_admit_flow() - count the request of a SYN and decide on it
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 * @packet: the SYN
 * @service: name of the flow's service
 * @verdict: set to the decision when the flow is refused
 *
 * Return: the result.
 */
enum cm_flow_admission cm_steer_admit_flow(struct cm_steer *steer,
					   uint64_t now_ms,
					   const struct cm_steer_packet *packet,
					   const char *service,
					   struct cm_steer_verdict *verdict);

/**
 * cm_steer_admission_flow_placed() - record that a flow was placed
 * @steer: the instance; its lock is held
 * @packet: the SYN
 * @service: name of the flow's service
 */
void cm_steer_admission_flow_placed(struct cm_steer *steer,
				    const struct cm_steer_packet *packet,
				    const char *service);

/**
 * cm_steer_admit_packet() - observe a packet of an open flow and decide on the
 * request that it may begin
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 * @packet: the packet
 * @server: server of the packet's token
 * @verdict: set to the decision when the packet is dropped
 *
 * Return: false when the packet is to be dropped. Its acknowledgment still
 * counts, but not its data.
 */
bool cm_steer_admit_packet(struct cm_steer *steer, uint64_t now_ms,
			   const struct cm_steer_packet *packet,
			   const struct cm_steer_server *server,
			   struct cm_steer_verdict *verdict);

#endif
