/**
 * DOC: Exchange of server health between instances that steer by token
 *
 * Instances of a failure domain report to each other the servers that do not
 * answer, the results of their flows, and the servers that are ejected. All
 * functions take the instance's lock.
 */
#ifndef CHERVILMAST_STEER_REPORT_H
#define CHERVILMAST_STEER_REPORT_H

#include "chervilmast/steer.h"

/**
 * cm_steer_list_silent_servers() - list the servers that do not answer this
 * instance
 * @steer: the instance
 * @now_ms: current time, ms
 * @tokens: set to the servers' tokens
 * @max: room in @tokens
 *
 * A server is listed when it left a SYN unanswered and a probe has not reached
 * it in time. The list is empty while no server answers this instance, as the
 * fault may then be the instance's own.
 *
 * Return: number of @tokens.
 */
uint32_t cm_steer_list_silent_servers(struct cm_steer *steer, uint64_t now_ms,
				      uint32_t *tokens, uint32_t max);

/**
 * cm_steer_list_stalled_servers() - list the servers to which callers of this
 * instance retransmitted data
 * @steer: the instance
 * @now_ms: current time, ms
 * @silent: servers that do not answer this instance's SYNs; those that the
 *          source suspects and for which the data is this instance's
 *          observation are added
 * @stalled: set to those of @silent that have not answered since the data was
 *           sent
 */
void cm_steer_list_stalled_servers(struct cm_steer *steer, uint64_t now_ms,
				   struct cm_message_tokens *silent,
				   struct cm_message_tokens *stalled);

/**
 * cm_steer_apply_down() - apply the list of servers that are down
 * @steer: the instance
 * @requested_ms: when the list was requested from the source, ms
 * @servers: the servers
 */
void cm_steer_apply_down(struct cm_steer *steer, uint64_t requested_ms,
			 const struct cm_message_tokens *servers);

/**
 * cm_steer_take_new_silent() - whether a server was newly found silent since
 * the last call
 * @steer: the instance
 *
 * Return: true when the source should be told at once.
 */
bool cm_steer_take_new_silent(struct cm_steer *steer);

/**
 * cm_steer_apply_reports() - apply other instances' reports of silent servers
 * @steer: the instance
 * @now_ms: current time, ms
 * @tokens: tokens of the servers that do not answer the other instances
 * @count: number of @tokens
 */
void cm_steer_apply_reports(struct cm_steer *steer, uint64_t now_ms,
			    const uint32_t *tokens, uint32_t count);

/**
 * cm_steer_take_failures() - take the flows that failed since the last call
 * @steer: the instance
 * @tokens: set to the token of each flow's server; room for
 *          CM_STEER_RESULTS_MAX
 *
 * Return: number of @tokens.
 */
uint32_t cm_steer_take_failures(struct cm_steer *steer, uint32_t *tokens);

/**
 * cm_steer_take_successes() - take the flows that succeeded since the last call
 * @steer: the instance
 * @tokens: set to the token of each flow's server; room for
 *          CM_STEER_RESULTS_MAX
 *
 * Return: number of @tokens.
 */
uint32_t cm_steer_take_successes(struct cm_steer *steer, uint32_t *tokens);

/**
 * cm_steer_eject() - apply the ejection of servers whose flows keep failing in
 * the failure domain
 * @steer: the instance
 * @now_ms: current time, ms
 * @tokens: tokens of the servers
 * @count: number of @tokens
 */
void cm_steer_eject(struct cm_steer *steer, uint64_t now_ms,
		    const uint32_t *tokens, uint32_t count);

#endif
