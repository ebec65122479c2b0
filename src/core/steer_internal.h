/**
 * DOC: Functions shared by the modules of steering
 *
 * steer.c passes callers' packets on: steer_syn.c decides on SYNs and
 * steer_open_flow.c on packets of open flows. steer_choice.c chooses the
 * servers of new flows, steer_registry.c applies registry data, steer_watch.c
 * detects unanswered SYNs, selects the servers to be probed and determines
 * readiness, steer_flow_result.c records successful and failed flows,
 * steer_gone.c decides whether the server of an open flow is gone,
 * steer_admission.c admits requests under overload, steer_load.c exchanges
 * loads with the source, and steer_explain.c explains placements.
 */
#ifndef CORE_STEER_INTERNAL_H
#define CORE_STEER_INTERNAL_H

#include "chervilmast/steer.h"
#include "chervilmast/steer_choice.h"

/**
 * Initial sequence number of choices. Servers that are added before the first
 * choice get numbers up to it, which determine their order.
 */
#define CM_STEER_CHOICE_SEQ_START (1ULL << 32)

/**
 * cm_steer_find_domain_out() - find a failure domain that is out of service
 * @steer: the instance; its lock is held
 * @name: name of the failure domain
 *
 * Return: the failure domain, or NULL when it is in service.
 */
struct cm_domain_out *cm_steer_find_domain_out(const struct cm_steer *steer,
					       const char *name);

/**
 * cm_steer_server_is_usable() - whether a server may get new flows
 * @steer: the instance; its lock is held
 * @server: the server
 * @now_ms: current time, ms
 *
 * Return: false when it has left, is draining, is in a failure domain that is
 * out of service, or has lapsed and the grace period after the outage is over.
 */
bool cm_steer_server_is_usable(const struct cm_steer *steer,
			       const struct cm_steer_server *server,
			       uint64_t now_ms);

/**
 * cm_steer_registry_is_fresh() - whether the registry data is recent
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 *
 * Return: true when it was current at most registry_fresh_ms ago.
 */
bool cm_steer_registry_is_fresh(const struct cm_steer *steer, uint64_t now_ms);

/**
 * cm_steer_may_have_lapsed() - whether entries may be missing because of an
 * outage of the registry or a change of its era
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 *
 * Return: true during an outage and the grace period after it or the change.
 */
bool cm_steer_may_have_lapsed(const struct cm_steer *steer, uint64_t now_ms);

/**
 * cm_steer_end_lapses() - mark servers that lapsed as left once the grace
 * period after an outage is over
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 */
void cm_steer_end_lapses(struct cm_steer *steer, uint64_t now_ms);

/**
 * cm_steer_is_cut_off() - whether the instance may be unable to reach servers
 * @steer: the instance; its lock is held
 *
 * Return: true after several consecutive unanswered SYNs, and from the start
 * until a server has answered a SYN or a probe.
 */
bool cm_steer_is_cut_off(const struct cm_steer *steer);

/**
 * cm_steer_record_change() - record a state change for the log
 * @steer: the instance; its lock is held
 * @kind: what changed
 * @key: the flow; may be NULL
 * @server: the server; may be NULL
 */
void cm_steer_record_change(struct cm_steer *steer,
			    enum cm_steer_change_kind kind,
			    const struct cm_flow_key *key,
			    const struct cm_steer_server *server);

/**
 * cm_steer_remove_flow() - remove a flow from the table and from the open flows
 * of its server
 * @steer: the instance; its lock is held
 * @flow: the flow; invalid afterwards
 */
void cm_steer_remove_flow(struct cm_steer *steer, struct cm_steer_flow *flow);

/**
 * cm_steer_advance_clock() - advance the active clock (active_ms)
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 */
void cm_steer_advance_clock(struct cm_steer *steer, uint64_t now_ms);

/**
 * cm_steer_record_flow_result() - record the success or failure of an open flow
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 * @flow: the flow
 * @server: server of the flow
 */
void cm_steer_record_flow_result(struct cm_steer *steer, uint64_t now_ms,
				 struct cm_steer_flow *flow,
				 struct cm_steer_server *server);

/**
 * cm_steer_check_idle_flows() - record unanswered requests as failed flows and
 * remove idle flows
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 */
void cm_steer_check_idle_flows(struct cm_steer *steer, uint64_t now_ms);

/**
 * cm_steer_set_verdict() - set what is done with a packet, and why
 * @verdict: the verdict
 * @action: what is done
 * @reason: counter of the reason
 */
void cm_steer_set_verdict(struct cm_steer_verdict *verdict,
			  enum cm_steer_action action, enum cm_counter reason);

/**
 * cm_steer_set_forward_verdict() - set that a packet is forwarded to a server
 * @verdict: the verdict
 * @server: the server
 * @reason: counter of the reason
 */
void cm_steer_set_forward_verdict(struct cm_steer_verdict *verdict,
				  const struct cm_steer_server *server,
				  enum cm_counter reason);

/**
 * cm_steer_forward_to() - forward a packet to a server
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 * @server: the server
 * @reason: counter of the reason
 * @verdict: set to the decision
 */
void cm_steer_forward_to(struct cm_steer *steer, uint64_t now_ms,
			 const struct cm_steer_server *server,
			 enum cm_counter reason,
			 struct cm_steer_verdict *verdict);

/**
 * cm_steer_count_flow() - count a flow that is open, or whose SYN was just
 * sent, at its server
 * @steer: the instance; its lock is held
 * @flow: the flow
 * @server: its server
 */
void cm_steer_count_flow(const struct cm_steer *steer,
			 struct cm_steer_flow *flow,
			 struct cm_steer_server *server);

/**
 * cm_steer_handle_syn() - decide on a SYN
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 * @packet: the SYN
 * @verdict: zeroed but for the age of the data; set to the decision
 */
void cm_steer_handle_syn(struct cm_steer *steer, uint64_t now_ms,
			 const struct cm_steer_packet *packet,
			 struct cm_steer_verdict *verdict);

/**
 * cm_steer_forward_by_token() - decide on a packet other than a SYN
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 * @packet: the packet
 * @verdict: zeroed but for the age of the data; set to the decision
 */
void cm_steer_forward_by_token(struct cm_steer *steer, uint64_t now_ms,
			       const struct cm_steer_packet *packet,
			       struct cm_steer_verdict *verdict);

/**
 * cm_steer_preview_syn() - decide on the SYN of a new flow without placing it
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 * @packet: the SYN
 * @choice: input of the choice, with the service of the flow
 * @verdict: set to the decision
 *
 * Changes only what cm_steer_choose() changes.
 */
void cm_steer_preview_syn(struct cm_steer *steer, uint64_t now_ms,
			  const struct cm_steer_packet *packet,
			  const struct cm_choice_input *choice,
			  struct cm_steer_verdict *verdict);

/**
 * cm_steer_check_loads() - record whether the loads of other instances are
 * known
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 */
void cm_steer_check_loads(struct cm_steer *steer, uint64_t now_ms);

/**
 * cm_steer_syn_is_overdue() - whether the answer to a SYN is overdue
 * @steer: the instance; its lock is held
 * @flow: flow of the SYN
 *
 * Return: true when ANSWER_TIMEOUT_MS have passed since the SYN by the active
 * clock, which hardly advances while the process is paused.
 */
bool cm_steer_syn_is_overdue(const struct cm_steer *steer,
			     const struct cm_steer_flow *flow);

/**
 * cm_steer_mark_syn_unanswered() - record that a SYN was not answered in time
 * @steer: the instance; its lock is held
 * @flow: flow of the SYN, neither open nor unanswered
 */
void cm_steer_mark_syn_unanswered(struct cm_steer *steer,
				  struct cm_steer_flow *flow);

#endif
