/**
 * DOC: Counters
 *
 * One 64-bit counter for each kind of event. Every reason for a drop, a refusal
 * or a retry has its own counter. Adding is lock-free.
 */
#ifndef CHERVILMAST_COUNTER_H
#define CHERVILMAST_COUNTER_H

#include <stdint.h>

#include "chervilmast/slot.h"

/* X(constant, name in /metrics, help text) */
#define CM_COUNTERS(X)                                                         \
	X(PACKETS_FROM_FABRIC, "packets_from_fabric",                          \
	  "packets received from the fabric")                                  \
	X(PACKETS_FROM_PEER, "packets_from_peer",                              \
	  "packets relayed to this instance by another one")                   \
	X(PACKETS_TO_SERVER, "packets_to_server",                              \
	  "packets forwarded to a backend server")                             \
	X(PACKETS_TO_CALLER, "packets_to_caller",                              \
	  "packets sent back to a caller")                                     \
	X(PACKETS_RELAYED, "packets_relayed",                                  \
	  "packets relayed to another instance")                               \
	X(DROP_TRUNCATED, "drop_truncated",                                    \
	  "packets dropped because they are shorter than their headers")       \
	X(DROP_MALFORMED, "drop_malformed",                                    \
	  "packets dropped because their headers are invalid")                 \
	X(DROP_UNSUPPORTED, "drop_unsupported",                                \
	  "packets dropped as they are fragments or not IPv4 with TCP or UDP") \
	X(DROP_FOREIGN_FABRIC, "drop_foreign_fabric",                          \
	  "packets without relay header dropped as not sent by the fabric")    \
	X(DROP_FOREIGN_RELAY, "drop_foreign_relay",                            \
	  "packets with relay header dropped as sent by no known instance")    \
	X(DROP_UNKNOWN_DESTINATION, "drop_unknown_destination",                \
	  "packets dropped because they are to no service and from no server") \
	X(DROP_HOP_LIMIT, "drop_hop_limit",                                    \
	  "packets dropped because they were relayed too often")               \
	X(DROP_RELAY_MISMATCH, "drop_relay_mismatch",                          \
	  "packets dropped because their relay header does not match them")    \
	X(DROP_BEHIND, "drop_behind",                                          \
	  "packets dropped as they name a server of a newer release note")     \
	X(DROP_UNREACHABLE, "drop_unreachable",                                \
	  "packets dropped as the flow may be at an unreachable instance")     \
	X(DROP_NO_CONFIGURATION, "drop_no_configuration",                      \
	  "packets dropped because no release note is in force yet")           \
	X(DROP_MEMORY, "drop_memory",                                          \
	  "packets dropped, or flows not tracked, because memory ran out")     \
	X(DROP_SEND, "drop_send",                                              \
	  "packets that the socket did not accept for sending")                \
	X(DROP_DOMAIN_OUT, "drop_domain_out",                                  \
	  "packets dropped because the failure domain of their server is out") \
	X(DROP_PROBE_RESET, "drop_probe_reset",                                \
	  "RSTs of servers dropped because another server may hold the flow")  \
	X(FLOWS_ADMITTED, "flows_admitted",                                    \
	  "new flows admitted to a server; a retried flow counts again")       \
	X(FLOWS_ADOPTED, "flows_adopted",                                      \
	  "flows taken over that another instance had admitted")               \
	X(FLOWS_ENDED, "flows_ended", "flows ended by FIN or RST")             \
	X(FLOWS_IDLE, "flows_idle",                                            \
	  "flows removed by the idle or half-open timeout")                    \
	X(FLOWS_CANCELLED, "flows_cancelled",                                  \
	  "abandoned or expired flows reset at their backend server")          \
	X(FLOWS_ELSEWHERE, "flows_elsewhere",                                  \
	  "new flows admitted to a candidate other than their first")          \
	X(LOADS_SENT, "loads_sent",                                            \
	  "load reports of servers sent to other instances")                   \
	X(LOADS_RECEIVED, "loads_received",                                    \
	  "load reports of servers received from other instances")             \
	X(PROBES_STARTED, "probes_started",                                    \
	  "unknown flows for which the candidate servers are probed")          \
	X(PROBES_EXHAUSTED, "probes_exhausted",                                \
	  "unknown flows that every probed server rejected")                   \
	X(SKIP_DRAINING, "skip_draining",                                      \
	  "candidates skipped because they are draining, withdrawn or out")    \
	X(SKIP_CAP, "skip_cap",                                                \
	  "candidates skipped because they are at their connection cap")       \
	X(SKIP_RATE, "skip_rate",                                              \
	  "candidates skipped by their rate limit for new connections")        \
	X(SKIP_COLD_START, "skip_cold_start",                                  \
	  "candidates skipped because of the limits of their cold start")      \
	X(SKIP_BALANCE, "skip_balance",                                        \
	  "candidates with room skipped for one with less load")               \
	X(SKIP_AUTHORITY, "skip_authority",                                    \
	  "candidates skipped because this home has no lease or is leaving")   \
	X(SKIP_NOTE_SPREAD, "skip_note_spread",                                \
	  "candidates skipped until the note that enables them has spread")    \
	X(SKIP_UNREACHABLE, "skip_unreachable",                                \
	  "candidates skipped because their home is unreachable")              \
	X(REFUSED_OVERLOAD, "refused_overload",                                \
	  "new flows refused because every candidate is full")                 \
	X(REFUSED_CAP, "refused_cap",                                          \
	  "new flows refused; first candidate to free up is at its cap")       \
	X(REFUSED_RATE, "refused_rate",                                        \
	  "new flows refused; first candidate to free up is rate-limited")     \
	X(REFUSED_COLD_START, "refused_cold_start",                            \
	  "new flows refused; first candidate to free up is in cold start")    \
	X(REFUSED_SERVER_RESET, "refused_server_reset",                        \
	  "new flows refused because servers answered the SYN with an RST")    \
	X(REFUSED_RETRY_BUDGET, "refused_retry_budget",                        \
	  "new flows refused after an RST because the retry budget was spent") \
	X(REFUSED_NO_SERVER, "refused_no_server",                              \
	  "new flows refused because no backend server could admit them")      \
	X(REFUSED_DOMAIN_OUT, "refused_domain_out",                            \
	  "flows ended because the failure domain of their server is out")     \
	X(REFUSED_UNKNOWN_FLOW, "refused_unknown_flow",                        \
	  "flows refused because no backend server holds them")                \
	X(RETRY_SERVER_RESET, "retry_server_reset",                            \
	  "new flows retried at another server after an RST to the SYN")       \
	X(RETRY_BUDGET_SPENT, "retry_budget_spent",                            \
	  "retries of new flows not made because the retry budget was spent")  \
	X(DROP_LATE_SYN, "drop_late_syn",                                      \
	  "late SYNs dropped because their connection is being probed")        \
	X(DROP_STALE_ANSWER, "drop_stale_answer",                              \
	  "answers of servers dropped because they do not match the flow")     \
	X(DROP_NO_MEMBERS, "drop_no_members",                                  \
	  "packets dropped because the instances are not known yet")           \
	X(HALF_OPEN_DISPLACED, "half_open_displaced",                          \
	  "half-open flows evicted to make room for newer ones")               \
	X(REFUSED_SERVER_WITHDRAWN, "refused_server_withdrawn",                \
	  "flows ended as the retention of their withdrawn server is over")    \
	X(BINDINGS_DEFERRED, "bindings_deferred",                              \
	  "announcements of bindings deferred because of their rate limit")    \
	X(BINDINGS_TOLD, "bindings_told",                                      \
	  "bindings of flows sent to other instances")                         \
	X(BINDINGS_LEARNED, "bindings_learned",                                \
	  "bindings of flows received from other instances")                   \
	X(DROP_BINDINGS_QUEUE, "drop_bindings_queue",                          \
	  "bindings and load reports dropped because the send queue was full") \
	X(DROP_PAUSED, "drop_paused",                                          \
	  "packets dropped after a pause, before this instance caught up")     \
	X(MESSAGES_SENT, "messages_sent", "control messages sent")             \
	X(MESSAGES_RECEIVED, "messages_received", "control messages received") \
	X(CONTROL_BYTES_SENT, "control_bytes_sent",                            \
	  "bytes of control messages sent")                                    \
	X(DROP_MESSAGE_MALFORMED, "drop_message_malformed",                    \
	  "control messages dropped because they are malformed")               \
	X(DROP_MESSAGE_QUEUE, "drop_message_queue",                            \
	  "control messages dropped because a send queue was full")            \
	X(DROP_MESSAGE_UNSENT, "drop_message_unsent",                          \
	  "control connections closed with unsent messages")                   \
	X(DROP_CONNECTIONS, "drop_connections",                                \
	  "control connections rejected because there were too many")          \
	X(HEARTBEATS_SENT, "heartbeats_sent", "heartbeats sent")               \
	X(MEMBER_DEAD, "member_dead",                                          \
	  "instances that this one declared dead as an observer")              \
	X(MEMBER_UNREACHABLE, "member_unreachable",                            \
	  "instances of other domains that this one declared unreachable")     \
	X(MEMBER_REFUTED, "member_refuted",                                    \
	  "refuted reports of a wrong state or incarnation of this instance")  \
	X(PAUSES, "pauses",                                                    \
	  "times that this instance was paused for more than a second")        \
	X(DROP_MEMBER, "drop_member",                                          \
	  "instances not recorded: too many of them or out of memory")         \
	X(STORE_CALLS, "store_calls",                                          \
	  "calls to the store; a waiting watch counts as one")                 \
	X(STORE_READS, "store_reads",                                          \
	  "reads of the store for new release notes")                          \
	X(STORE_RETRIES, "store_retries",                                      \
	  "calls to the store that failed and are retried")                    \
	X(STORE_ERA_CHANGES, "store_era_changes",                              \
	  "times that the store came back from an older copy")                 \
	X(STORE_ERA_REFUSED, "store_era_refused",                              \
	  "answers of the store or an instance refused for an earlier era")    \
	X(STORE_READ_RESTARTS, "store_read_restarts",                          \
	  "reads of the store started again as its era changed")               \
	X(NOTES_FROM_STORE, "notes_from_store",                                \
	  "release notes and snapshots put in force from the store")           \
	X(NOTES_FROM_PEERS, "notes_from_peers",                                \
	  "release notes and snapshots put in force from another instance")    \
	X(NOTES_ASKED, "notes_asked",                                          \
	  "requests for release notes sent to other instances")                \
	X(NOTES_SERVED, "notes_served",                                        \
	  "requests of other instances answered with release notes")           \
	X(SNAPSHOTS_SERVED, "snapshots_served",                                \
	  "requests of other instances answered with a part of a snapshot")    \
	X(REFUSED_NOTE_STALE, "refused_note_stale",                            \
	  "notes ignored because this version or a newer one is in force")     \
	X(REFUSED_NOTE_CONTRADICTION, "refused_note_contradiction",            \
	  "notes rejected because two different notes have the same version")  \
	X(REFUSED_NOTE_GAP, "refused_note_gap",                                \
	  "notes rejected because a note before them is missing")              \
	X(REFUSED_NOTE_INVALID, "refused_note_invalid",                        \
	  "notes rejected because they cannot be read or applied")             \
	X(STEER_PLACED, "steer_placed", "new flows placed on a server")        \
	X(STEER_PLACED_AGAIN, "steer_placed_again",                            \
	  "new flows placed on another server as the first did not answer")    \
	X(STEER_DEFERRED, "steer_deferred",                                    \
	  "SYNs dropped because all servers, or the hold queue, are full")     \
	X(STEER_HELD, "steer_held",                                            \
	  "times that a repeated SYN was held until a server has room")        \
	X(STEER_HELD_STALE, "steer_held_stale",                                \
	  "times that a SYN was held until old registry data is renewed")      \
	X(STEER_OVERLOADS, "steer_overloads",                                  \
	  "times that a service counted as overloaded at this instance")       \
	X(STEER_ADMISSION_DEFERRED, "steer_admission_deferred",                \
	  "SYNs dropped under overload that the caller repeats in time")       \
	X(STEER_ADMISSION_RESET, "steer_admission_reset",                      \
	  "new flows reset under overload as their turn can't come in time")   \
	X(STEER_ADMISSION_SHED, "steer_admission_shed",                        \
	  "as steer_admission_reset, but dropped to limit retries")            \
	X(STEER_REQUEST_DEFERRED, "steer_request_deferred",                    \
	  "requests on open flows dropped under overload that are repeated")   \
	X(STEER_REQUEST_SHED, "steer_request_shed",                            \
	  "requests on open flows dropped that can't meet their deadline")     \
	X(STEER_SYN_REPEATED, "steer_syn_repeated",                            \
	  "repeated SYNs forwarded to the same server")                        \
	X(STEER_SYN_LATE, "steer_syn_late",                                    \
	  "repeated SYNs of open flows dropped because their server has left") \
	X(STEER_BY_TOKEN, "steer_by_token",                                    \
	  "packets of open flows forwarded by their token")                    \
	X(STEER_BY_EARLIER_TOKEN, "steer_by_earlier_token",                    \
	  "packets forwarded to the present run of a server that restarted")   \
	X(STEER_NO_ROUTE, "steer_no_route",                                    \
	  "new flows reset because no route has their destination")            \
	X(STEER_NO_PLAN, "steer_no_plan",                                      \
	  "new flows reset because this instance has no plan yet")             \
	X(STEER_NO_PLAN_LATE, "steer_no_plan_late",                            \
	  "SYNs dropped without a plan because they waited too long to reset") \
	X(STEER_PROBES, "steer_probes",                                        \
	  "probe connections to suspected servers, or to any if none answers") \
	X(STEER_NO_SERVER, "steer_no_server",                                  \
	  "new flows reset because no server may take them")                   \
	X(STEER_STALE, "steer_stale",                                          \
	  "new flows without route or server dropped as registry data is old") \
	X(STEER_NO_TOKEN, "steer_no_token",                                    \
	  "packets of open flows dropped because they carry no token")         \
	X(STEER_UNKNOWN_TOKEN, "steer_unknown_token",                          \
	  "packets of open flows dropped because no server has their token")   \
	X(STEER_GONE_DRAINED, "steer_gone_drained",                            \
	  "open flows reset as their server was removed after draining")       \
	X(STEER_GONE_REPLACED, "steer_gone_replaced",                          \
	  "open flows reset as their server restarted at another address")     \
	X(STEER_GONE_REMOVED, "steer_gone_removed",                            \
	  "open flows reset as their server was removed without draining")     \
	X(STEER_GONE_DOWN, "steer_gone_down",                                  \
	  "open flows reset as several instances found their server down")     \
	X(STEER_GONE_SILENT, "steer_gone_silent",                              \
	  "open flows reset as their server answers neither SYNs nor data")    \
	X(STEER_GONE_WITHHELD, "steer_gone_withheld",                          \
	  "packets to gone servers forwarded, as this instance was unsure")    \
	X(STEER_FLOW_FORGOTTEN, "steer_flow_forgotten",                        \
	  "flows evicted because the flow table was full")                     \
	X(STEER_FLOW_ADOPTED, "steer_flow_adopted",                            \
	  "open flows of other instances added to the flow table")             \
	X(STEER_FLOW_KEPT, "steer_flow_kept",                                  \
	  "idle flows kept because further requests are expected")             \
	X(STEER_CHOSEN_BY_LOADS, "steer_chosen_by_loads",                      \
	  "choices for long flows that used the loads of all instances")       \
	X(STEER_CHOSEN_BY_ESTIMATE, "steer_chosen_by_estimate",                \
	  "choices for long flows that estimated loads from own flows")        \
	X(STEER_LOADS_KNOWN, "steer_loads_known",                              \
	  "times that the loads caused by other instances became known")       \
	X(STEER_LOADS_UNKNOWN, "steer_loads_unknown",                          \
	  "times that the loads caused by other instances became too old")     \
	X(STEER_LOADS_EXPIRED, "steer_loads_expired",                          \
	  "instances whose loads this source removed: they stopped reporting") \
	X(STEER_FLOW_FAILED, "steer_flow_failed",                              \
	  "flows that got an error or no answer")                              \
	X(STEER_EJECTED, "steer_ejected",                                      \
	  "servers ejected because too many of their flows failed")            \
	X(STEER_SYN_UNANSWERED, "steer_syn_unanswered",                        \
	  "SYNs that a server did not answer in time")                         \
	X(STEER_SUSPECTED, "steer_suspected",                                  \
	  "servers suspected because they left a SYN unanswered")              \
	X(STEER_CLEARED, "steer_cleared",                                      \
	  "suspected servers that answered a SYN again")                       \
	X(FEED_ASKED, "feed_asked",                                            \
	  "requests for registry items to another instance")                   \
	X(FEED_NOT_ASKED, "feed_not_asked",                                    \
	  "requests for registry items that could not be sent")                \
	X(FEED_BAD_PART, "feed_bad_part",                                      \
	  "answers with registry items rejected as out of sequence")           \
	X(REGISTRY_ITEMS, "registry_items",                                    \
	  "changed items of the registry, unusable ones included")             \
	X(REGISTRY_BAD_ITEM, "registry_bad_item",                              \
	  "items of the registry that are invalid or outdated")                \
	X(REGISTRY_SNAPSHOTS, "registry_snapshots",                            \
	  "full reads of the registry, failed ones included")

/**
 * enum cm_counter - index of a counter
 */
enum cm_counter {
#define CM_COUNTER_ENUM(name, text, help) CM_C_##name,
	CM_COUNTERS(CM_COUNTER_ENUM)
#undef CM_COUNTER_ENUM
		CM_COUNTER_COUNT
};

/**
 * struct cm_counters - the value of every counter
 * @slots: partial values by cm_slot_self(); a counter's value is their sum
 */
struct cm_counters {
	struct {
		uint64_t value[CM_COUNTER_COUNT];
		uint8_t padding[CM_SLOT_PADDING];
	} slots[CM_SLOTS];
};

/**
 * cm_counters_add() - increment a counter
 * @counters: the counters
 * @counter: the counter to increment
 */
void cm_counters_add(struct cm_counters *counters, enum cm_counter counter);

/**
 * cm_counters_add_many() - add a number to a counter
 * @counters: the counters
 * @counter: the counter to add to
 * @number: the number to add
 */
void cm_counters_add_many(struct cm_counters *counters, enum cm_counter counter,
			  uint64_t number);

/**
 * cm_counters_get() - read a counter
 * @counters: the counters
 * @counter: the counter to read
 *
 * Return: its value.
 */
uint64_t cm_counters_get(const struct cm_counters *counters,
			 enum cm_counter counter);

/**
 * cm_counter_name() - name of a counter in /metrics
 * @counter: the counter
 *
 * Return: a static string.
 */
const char *cm_counter_name(enum cm_counter counter);

/**
 * cm_counter_help() - help text of a counter in /metrics
 * @counter: the counter
 *
 * Return: a static string.
 */
const char *cm_counter_help(enum cm_counter counter);

#endif
