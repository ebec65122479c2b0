/**
 * DOC: Log lines of an instance that steers by token
 */
#ifndef DAEMON_STEER_LOG_H
#define DAEMON_STEER_LOG_H

#include "chervilmast/steer.h"

/**
 * cm_steer_log_verdict() - log the decision on a packet
 * @packet: the packet
 * @verdict: the decision
 *
 * Packets forwarded by their token are not logged.
 */
void cm_steer_log_verdict(const struct cm_steer_packet *packet,
			  const struct cm_steer_verdict *verdict);

/**
 * cm_steer_log_changes() - log state changes since the last call
 * @steer: the steering instance
 */
void cm_steer_log_changes(struct cm_steer *steer);

#endif
