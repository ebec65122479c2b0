/**
 * DOC: Log events
 *
 * Every event that the daemon logs, with its level and its meaning for an
 * operator. docs/OPERATIONS.md says how to respond to each.
 */
#ifndef DAEMON_LOG_EVENT_H
#define DAEMON_LOG_EVENT_H

#include "config/settings.h"

/* X(constant, level, name in the log, what happened) */
#define CM_LOG_EVENTS(X)                                                       \
	X(CAUGHT_UP, INFO, "caught_up",                                        \
	  "this instance has caught up after a pause and handles packets")     \
	X(CONTROL_UNAVAILABLE, ERROR, "control_unavailable",                   \
	  "binding the control address failed; it is retried")                 \
	X(CUT_OFF, WARNING, "cut_off",                                         \
	  "several SYNs in a row got no answer from any backend server")       \
	X(DOMAIN, INFO, "domain",                                              \
	  "a failure domain was taken out or put back")                        \
	X(DRAINED, INFO, "drained",                                            \
	  "the drain of this instance is over; ended_by, if given, says why")  \
	X(FLOW_PLACED, INFO, "flow_placed",                                    \
	  "a SYN was forwarded to a backend server")                           \
	X(FLOW_REFUSED, INFO, "flow_refused",                                  \
	  "a packet was dropped or held, or its flow reset; reason says why")  \
	X(FLOW_GONE, INFO, "flow_gone",                                        \
	  "an open flow was reset as its server is gone; reason says why")     \
	X(LEAVING, INFO, "leaving", "a graceful shutdown has begun")           \
	X(LIBRARY, WARNING, "library", "a library logged a message")           \
	X(LINES_LEFT_OUT, WARNING, "lines_left_out",                           \
	  "log lines were dropped: lines counts them, of names their event")   \
	X(LOADS_KNOWN, INFO, "loads_known",                                    \
	  "the loads that other instances put on servers are known")           \
	X(LOADS_UNKNOWN, WARNING, "loads_unknown",                             \
	  "these loads are too old; they are estimated from own flows")        \
	X(LOADS_EXPIRED, INFO, "loads_expired",                                \
	  "this source removed the loads of instances that stopped reporting") \
	X(MEMBER_ALIVE, INFO, "member_alive", "an instance is alive")          \
	X(MEMBER_DEAD, WARNING, "member_dead",                                 \
	  "an instance has stopped or sends no heartbeats")                    \
	X(MEMBER_LEAVING, INFO, "member_leaving",                              \
	  "an instance is in graceful shutdown")                               \
	X(MEMBER_UNREACHABLE, WARNING, "member_unreachable",                   \
	  "an instance of another failure domain cannot be reached")           \
	X(NOTE_IN_FORCE, INFO, "note_in_force",                                \
	  "a release note is in force at this instance")                       \
	X(NOTE_CONTRADICTION, ERROR, "note_contradiction",                     \
	  "two release notes have the same version; new ones may be rejected") \
	X(NOTE_REFUSED, ERROR, "note_refused",                                 \
	  "a release note or snapshot cannot be read or applied")              \
	X(SETTINGS_KEPT, WARNING, "settings_kept",                             \
	  "changed settings were not applied, as they need a restart")         \
	X(SNAPSHOT_IN_FORCE, INFO, "snapshot_in_force",                        \
	  "a snapshot of all release notes is in force at this instance")      \
	X(NOT_READY, WARNING, "not_ready",                                     \
	  "the fabric should send no packets to this instance")                \
	X(OVERLOAD, WARNING, "overload",                                       \
	  "a service is overloaded; requests are admitted by priority")        \
	X(PAUSED, WARNING, "paused",                                           \
	  "this instance was paused; it drops packets until it has caught up") \
	X(PEER_ENTRY, INFO, "peer_entry",                                      \
	  "the registry entry of an instance was added or changed")            \
	X(PEER_GONE, INFO, "peer_gone",                                        \
	  "the registry entry of an instance was removed")                     \
	X(PLAN, INFO, "plan",                                                  \
	  "a plan version was received; outcome says whether it is in force")  \
	X(REACHED, INFO, "reached",                                            \
	  "a probe connection reached a backend server")                       \
	X(REGISTRY_SNAPSHOT, INFO, "snapshot",                                 \
	  "a full copy of the registry was received")                          \
	X(MEMBERS_WRITTEN, INFO, "members_written",                            \
	  "a write of the failure domain's members to the registry has ended") \
	X(REGISTRY_BAD_ITEM, WARNING, "registry_bad_item",                     \
	  "an item of the registry is invalid or outdated and was ignored")    \
	X(READY, INFO, "ready",                                                \
	  "the fabric should send packets to this instance")                   \
	X(RELOADED, INFO, "reloaded", "the settings were read again")          \
	X(RELOAD_REFUSED, ERROR, "reload_refused",                             \
	  "the new settings are invalid; the previous ones stay in use")       \
	X(SERVER_CLEARED, INFO, "server_cleared",                              \
	  "a suspected backend server answered a SYN")                         \
	X(FLOW_FAILED, INFO, "flow_failed",                                    \
	  "an open flow got an error or no answer")                            \
	X(SERVER_EJECTED, WARNING, "server_ejected",                           \
	  "a server is avoided by new flows as too many of its flows failed")  \
	X(SERVER_SUSPECTED, WARNING, "server_suspected",                       \
	  "a server left a SYN unanswered and is avoided until it is reached") \
	X(SYN_UNANSWERED, INFO, "syn_unanswered",                              \
	  "a backend server did not answer a SYN in time")                     \
	X(SERVER_ENTRY, INFO, "server_entry",                                  \
	  "the registry entry of a backend server was added or changed")       \
	X(SERVER_GONE, INFO, "server_gone",                                    \
	  "the registry entry of a backend server was removed")                \
	X(STARTED, INFO, "started", "the instance takes packets")              \
	X(STOPPED, INFO, "stopped", "the instance has shut down")              \
	X(STORE_ERA, WARNING, "store_era",                                     \
	  "the store came back from an older copy; all data is read anew")     \
	X(STORE_ERA_FIRST, INFO, "store_era_first",                            \
	  "the first position of the store that this instance got, with its "  \
	  "era")                                                               \
	X(STORE_REACHABLE, INFO, "store_reachable", "the store answers again") \
	X(STORE_UNREACHABLE, WARNING, "store_unreachable",                     \
	  "the store does not answer")

/**
 * enum cm_log_event - index of a log event
 */
enum cm_log_event {
#define CM_LOG_EVENT_ENUM(event, level, text, help) CM_EVENT_##event,
	CM_LOG_EVENTS(CM_LOG_EVENT_ENUM)
#undef CM_LOG_EVENT_ENUM
		CM_EVENT_COUNT
};

/**
 * cm_log_event_name() - stable name of an event in the log
 * @event: the event
 *
 * Return: a static string.
 */
const char *cm_log_event_name(enum cm_log_event event);

/**
 * cm_log_event_level() - level of an event
 * @event: the event
 *
 * Return: its level.
 */
enum cm_log_level cm_log_event_level(enum cm_log_event event);

/**
 * cm_log_event_help() - one-line description of an event
 * @event: the event
 *
 * Return: a static string.
 */
const char *cm_log_event_help(enum cm_log_event event);

#endif
