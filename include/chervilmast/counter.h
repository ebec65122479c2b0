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
#define CM_COUNTERS(X)                                                           \
	X(PACKETS_FROM_FABRIC, "packets_from_fabric",                            \
	  "packets received from the fabric")                                    \
	X(PACKETS_FROM_PEER, "packets_from_peer",                                \
	  "packets relayed to this instance by another one")                     \
	X(PACKETS_TO_SERVER, "packets_to_server",                                \
	  "packets sent on to a backend server")                                 \
	X(PACKETS_TO_CALLER, "packets_to_caller",                                \
	  "packets sent back to a caller")                                       \
	X(PACKETS_RELAYED, "packets_relayed",                                    \
	  "packets relayed to another instance")                                 \
	X(DROP_TRUNCATED, "drop_truncated", "packet shorter than its headers")   \
	X(DROP_MALFORMED, "drop_malformed", "packet with invalid headers")       \
	X(DROP_UNSUPPORTED, "drop_unsupported",                                  \
	  "packet of another protocol or a fragment")                            \
	X(DROP_FOREIGN_FABRIC, "drop_foreign_fabric",                            \
	  "packet without a relay header that the fabric did not send")          \
	X(DROP_FOREIGN_RELAY, "drop_foreign_relay",                              \
	  "packet with a relay header that no known instance sent")              \
	X(DROP_UNKNOWN_DESTINATION, "drop_unknown_destination",                  \
	  "packet of no service and no backend server")                          \
	X(DROP_HOP_LIMIT, "drop_hop_limit", "relayed too often")                 \
	X(DROP_RELAY_MISMATCH, "drop_relay_mismatch",                            \
	  "relay header of another service than its packet")                     \
	X(DROP_BEHIND, "drop_behind",                                            \
	  "the sender's release note names a server not known here yet")         \
	X(DROP_UNREACHABLE, "drop_unreachable",                                  \
	  "the flow may be held where this instance cannot reach")               \
	X(DROP_NO_CONFIGURATION, "drop_no_configuration",                        \
	  "no release note is in force yet")                                     \
	X(DROP_MEMORY, "drop_memory", "no memory for a new flow")                \
	X(DROP_SEND, "drop_send", "the socket did not take the packet")          \
	X(DROP_DOMAIN_OUT, "drop_domain_out",                                    \
	  "packet from a server of a failure domain that is out")                \
	X(DROP_PROBE_RESET, "drop_probe_reset",                                  \
	  "RST of a backend server that does not hold the flow")                 \
	X(FLOWS_ADMITTED, "flows_admitted", "new flows admitted")                \
	X(FLOWS_ADOPTED, "flows_adopted",                                        \
	  "flows taken over from another instance")                              \
	X(FLOWS_ENDED, "flows_ended", "flows ended by FIN or RST")               \
	X(FLOWS_IDLE, "flows_idle", "flows ended by the idle timeout")           \
	X(FLOWS_CANCELLED, "flows_cancelled",                                    \
	  "flows reset at their server as the caller went away")                 \
	X(FLOWS_ELSEWHERE, "flows_elsewhere",                                    \
	  "new flows admitted to another than their first candidate")            \
	X(LOADS_SENT, "loads_sent", "loads of servers sent to other homes")      \
	X(LOADS_RECEIVED, "loads_received", "loads of servers received")         \
	X(PROBES_STARTED, "probes_started",                                      \
	  "unknown flows for which candidates are probed")                       \
	X(PROBES_EXHAUSTED, "probes_exhausted",                                  \
	  "unknown flows that no candidate holds")                               \
	X(SKIP_DRAINING, "skip_draining",                                        \
	  "candidates passed over as they are leaving")                          \
	X(SKIP_CAP, "skip_cap", "candidates passed over at their cap")           \
	X(SKIP_RATE, "skip_rate",                                                \
	  "candidates passed over at their rate of new connections")             \
	X(SKIP_COLD_START, "skip_cold_start",                                    \
	  "candidates passed over during their cold start")                      \
	X(SKIP_BALANCE, "skip_balance",                                          \
	  "candidates passed over as others carry less")                         \
	X(SKIP_AUTHORITY, "skip_authority",                                      \
	  "candidates passed over as this home may not admit")                   \
	X(SKIP_NOTE_SPREAD, "skip_note_spread",                                  \
	  "candidates passed over as the note that brought them is spreading")   \
	X(SKIP_UNREACHABLE, "skip_unreachable",                                  \
	  "candidates passed over as their home is unreachable")                 \
	X(REFUSED_OVERLOAD, "refused_overload",                                  \
	  "new flows refused as every candidate is full")                        \
	X(REFUSED_CAP, "refused_cap",                                            \
	  "new flows refused as the last candidate is at its cap")               \
	X(REFUSED_RATE, "refused_rate",                                          \
	  "new flows refused as the last candidate is at its rate")              \
	X(REFUSED_COLD_START, "refused_cold_start",                              \
	  "new flows refused as the last candidate is in cold start")            \
	X(REFUSED_SERVER_RESET, "refused_server_reset",                          \
	  "new flows refused as every candidate answered RST to SYN")            \
	X(REFUSED_RETRY_BUDGET, "refused_retry_budget",                          \
	  "new flows refused after RST to SYN as the budget was spent")          \
	X(REFUSED_NO_SERVER, "refused_no_server",                                \
	  "new flows refused as no backend server takes new ones")               \
	X(REFUSED_DOMAIN_OUT, "refused_domain_out",                              \
	  "flows ended as their failure domain was taken out")                   \
	X(REFUSED_UNKNOWN_FLOW, "refused_unknown_flow",                          \
	  "flows reset as no backend server holds them")                         \
	X(RETRY_SERVER_RESET, "retry_server_reset",                              \
	  "new flows tried elsewhere after RST to SYN")                          \
	X(RETRY_BUDGET_SPENT, "retry_budget_spent",                              \
	  "retries not made as the budget was spent")                            \
	X(DROP_LATE_SYN, "drop_late_syn",                                        \
	  "SYN of a connection that is being probed for")                        \
	X(DROP_STALE_ANSWER, "drop_stale_answer",                                \
	  "answer of a server that the flow is not bound to")                    \
	X(DROP_NO_MEMBERS, "drop_no_members",                                    \
	  "this instance does not know the others yet")                          \
	X(HALF_OPEN_DISPLACED, "half_open_displaced",                            \
	  "half-open flows forgotten for newer ones")                            \
	X(REFUSED_SERVER_WITHDRAWN, "refused_server_withdrawn",                  \
	  "flows ended as the retention of their server was over")               \
	X(BINDINGS_DEFERRED, "bindings_deferred",                                \
	  "bindings not told yet as the budget was spent")                       \
	X(BINDINGS_TOLD, "bindings_told", "bindings sent to a successor")        \
	X(BINDINGS_LEARNED, "bindings_learned", "bindings received")             \
	X(DROP_BINDINGS_QUEUE, "drop_bindings_queue",                            \
	  "bindings not sent as too many were waiting")                          \
	X(DROP_PAUSED, "drop_paused",                                            \
	  "packets dropped after a pause, before this instance caught up")       \
	X(MESSAGES_SENT, "messages_sent", "control messages sent")               \
	X(MESSAGES_RECEIVED, "messages_received", "control messages received")   \
	X(CONTROL_BYTES_SENT, "control_bytes_sent",                              \
	  "bytes of control messages sent")                                      \
	X(DROP_MESSAGE_MALFORMED, "drop_message_malformed",                      \
	  "control messages that could not be read")                             \
	X(DROP_MESSAGE_QUEUE, "drop_message_queue",                              \
	  "control messages dropped as a queue was full")                        \
	X(DROP_MESSAGE_UNSENT, "drop_message_unsent",                            \
	  "control connections closed with messages unsent")                     \
	X(DROP_CONNECTIONS, "drop_connections",                                  \
	  "control connections refused as there were too many")                  \
	X(HEARTBEATS_SENT, "heartbeats_sent", "heartbeats sent")                 \
	X(MEMBER_DEAD, "member_dead",                                            \
	  "instances that this one found dead as an observer")                   \
	X(MEMBER_UNREACHABLE, "member_unreachable",                              \
	  "instances of other failure domains that it found cut off")            \
	X(MEMBER_REFUTED, "member_refuted",                                      \
	  "times that this instance was taken for dead and was not")             \
	X(PAUSES, "pauses", "pauses of this instance")                           \
	X(DROP_MEMBER, "drop_member",                                            \
	  "instances not remembered as there were too many")                     \
	X(STORE_CALLS, "store_calls",                                            \
	  "calls to the store, a waiting watch counted as one")                  \
	X(STORE_READS, "store_reads", "readings of what is new in the store")    \
	X(STORE_RETRIES, "store_retries",                                        \
	  "calls to the store that failed and are made again")                   \
	X(NOTES_FROM_STORE, "notes_from_store",                                  \
	  "release notes and snapshots put in force from the store")             \
	X(NOTES_FROM_PEERS, "notes_from_peers",                                  \
	  "release notes and snapshots put in force from another instance")      \
	X(NOTES_ASKED, "notes_asked", "requests for notes to other instances")   \
	X(NOTES_SERVED, "notes_served",                                          \
	  "answers with notes to other instances")                               \
	X(SNAPSHOTS_SERVED, "snapshots_served",                                  \
	  "answers with parts of a snapshot to other instances")                 \
	X(REFUSED_NOTE_STALE, "refused_note_stale",                              \
	  "notes not taken as they are in force already or too old")             \
	X(REFUSED_NOTE_CONTRADICTION, "refused_note_contradiction",              \
	  "notes not taken as another one is known of their version")            \
	X(REFUSED_NOTE_GAP, "refused_note_gap",                                  \
	  "notes not taken as one before them is missing")                       \
	X(REFUSED_NOTE_INVALID, "refused_note_invalid",                          \
	  "notes not taken as they do not fit or cannot be read")                \
	X(STEER_PLACED, "steer_placed", "new flows given to a server")           \
	X(STEER_PLACED_AGAIN, "steer_placed_again",                              \
	  "new flows given to another server as the first did not answer")       \
	X(STEER_DEFERRED, "steer_deferred",                                      \
	  "repeated SYNs left to their last repetition as all servers are full") \
	X(STEER_HELD, "steer_held", "SYNs held until a server has room")         \
	X(STEER_HELD_STALE, "steer_held_stale",                                  \
	  "SYNs held until the registry has answered, after a pause")            \
	X(STEER_SYN_REPEATED, "steer_syn_repeated",                              \
	  "repeated SYNs sent to the same server")                               \
	X(STEER_SYN_LATE, "steer_syn_late",                                      \
	  "repeated SYNs of open flows whose server has left")                   \
	X(STEER_BY_TOKEN, "steer_by_token", "packets sent on by their token")    \
	X(STEER_NO_ROUTE, "steer_no_route",                                      \
	  "new flows reset as no route leads from their address")                \
	X(STEER_NO_PLAN, "steer_no_plan",                                        \
	  "new flows reset as the node knows no plan yet")                       \
	X(STEER_PROBES, "steer_probes",                                          \
	  "connections opened to servers that did not answer a SYN")             \
	X(STEER_NO_SERVER, "steer_no_server",                                    \
	  "new flows reset as no server may take them")                          \
	X(STEER_STALE, "steer_stale",                                            \
	  "new flows dropped as the registry was not heard of for too long")     \
	X(STEER_NO_TOKEN, "steer_no_token",                                      \
	  "packets of open flows dropped as they carry no token")                \
	X(STEER_UNKNOWN_TOKEN, "steer_unknown_token",                            \
	  "packets of open flows dropped as no server is known by the token")    \
	X(STEER_FLOW_FORGOTTEN, "steer_flow_forgotten",                          \
	  "flows no longer observed as the table is full")                       \
	X(STEER_FLOW_FAILED, "steer_flow_failed",                                \
	  "flows that ended with an error's bytes or none")                      \
	X(STEER_EJECTED, "steer_ejected",                                        \
	  "servers ejected, as flows of several nodes failed")                   \
	X(STEER_SYN_UNANSWERED, "steer_syn_unanswered",                          \
	  "SYNs that a server did not answer in time")                           \
	X(STEER_SUSPECTED, "steer_suspected",                                    \
	  "servers that seem to be silent")                                      \
	X(STEER_CLEARED, "steer_cleared",                                        \
	  "suspected servers that answer again")                                 \
	X(FEED_ASKED, "feed_asked",                                              \
	  "questions to the instance that is asked about the registry")          \
	X(FEED_NOT_ASKED, "feed_not_asked",                                      \
	  "of these, questions that could not be sent")                          \
	X(FEED_BAD_PART, "feed_bad_part",                                        \
	  "parts of a snapshot that came out of their order")                    \
	X(REGISTRY_ITEMS, "registry_items",                                      \
	  "items of the registry that changed and were applied")                 \
	X(REGISTRY_BAD_ITEM, "registry_bad_item",                                \
	  "items of the registry that could not be used")                        \
	X(REGISTRY_SNAPSHOTS, "registry_snapshots",                              \
	  "times that all of the registry was read")

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
