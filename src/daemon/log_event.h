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
	  "after a pause, packets are handled again")                          \
	X(CONTROL_UNAVAILABLE, ERROR, "control_unavailable",                   \
	  "the control address can't be listened at; it is tried again")       \
	X(CUT_OFF, WARNING, "cut_off",                                         \
	  "no backend server answers this instance")                           \
	X(DOMAIN, INFO, "domain", "a failure domain was taken out, or back")   \
	X(DRAINED, INFO, "drained",                                            \
	  "the draining of this instance is over; ended_by says why")          \
	X(FLOW_PLACED, INFO, "flow_placed",                                    \
	  "a SYN was sent to a backend server")                                \
	X(FLOW_REFUSED, INFO, "flow_refused",                                  \
	  "a packet was dropped or its flow reset; reason says why")           \
	X(LEAVING, INFO, "leaving", "a graceful shutdown has begun")           \
	X(LIBRARY, WARNING, "library", "a library has something to say")       \
	X(LINES_LEFT_OUT, WARNING, "lines_left_out",                           \
	  "lines of an event were left out over the budget")                   \
	X(MEMBER_ALIVE, INFO, "member_alive", "another instance takes part")   \
	X(MEMBER_DEAD, WARNING, "member_dead",                                 \
	  "another instance is dead or has stopped")                           \
	X(MEMBER_LEAVING, INFO, "member_leaving",                              \
	  "another instance is in graceful shutdown")                          \
	X(MEMBER_UNREACHABLE, WARNING, "member_unreachable",                   \
	  "an instance of another failure domain is cut off")                  \
	X(NOTE_IN_FORCE, INFO, "note_in_force",                                \
	  "a release note is in force at this instance")                       \
	X(NOTE_CONTRADICTION, ERROR, "note_contradiction",                     \
	  "two release notes of one version are known; none is taken since")   \
	X(NOTE_REFUSED, ERROR, "note_refused",                                 \
	  "a published release note does not fit the one before it")           \
	X(SETTINGS_KEPT, WARNING, "settings_kept",                             \
	  "settings that changed take effect at the next start only")          \
	X(SNAPSHOT_IN_FORCE, INFO, "snapshot_in_force",                        \
	  "a snapshot of all release notes is in force at this instance")      \
	X(NOT_READY, WARNING, "not_ready",                                     \
	  "the fabric should give no packets to this instance")                \
	X(PAUSED, WARNING, "paused",                                           \
	  "this instance got no time; it drops packets until it caught up")    \
	X(PEER_ENTRY, INFO, "peer_entry",                                      \
	  "the registry's entry of an instance was added or changed")          \
	X(PEER_GONE, INFO, "peer_gone",                                        \
	  "the registry's entry of an instance was removed")                   \
	X(PLAN, INFO, "plan", "a plan came from the registry")                 \
	X(REACHED, INFO, "reached",                                            \
	  "a backend server was reached again after none had answered")        \
	X(SNAPSHOT, INFO, "snapshot",                                          \
	  "a whole copy of the registry was taken")                            \
	X(MEMBERS_WRITTEN, INFO, "members_written",                            \
	  "the members of the failure domain were written to the registry")    \
	X(REGISTRY_BAD_ITEM, WARNING, "registry_bad_item",                     \
	  "an item of the registry can't be used")                             \
	X(READY, INFO, "ready",                                                \
	  "the fabric should give packets to this instance")                   \
	X(RELOADED, INFO, "reloaded", "the settings were read anew")           \
	X(RELOAD_REFUSED, ERROR, "reload_refused",                             \
	  "the new settings can't be used; the old ones stay")                 \
	X(SERVER_CLEARED, INFO, "server_cleared",                              \
	  "a suspected backend server answered")                               \
	X(FLOW_FAILED, INFO, "flow_failed",                                    \
	  "an open flow got an error or no answer")                            \
	X(SERVER_EJECTED, WARNING, "server_ejected",                           \
	  "a server gets no new flows, as those of several nodes failed")      \
	X(SERVER_SUSPECTED, WARNING, "server_suspected",                       \
	  "a backend server gets no flows until a probe reached it")           \
	X(SYN_UNANSWERED, INFO, "syn_unanswered",                              \
	  "a backend server did not answer a SYN in time")                     \
	X(SERVER_ENTRY, INFO, "server_entry",                                  \
	  "the registry's entry of a backend server came or changed")          \
	X(SERVER_GONE, INFO, "server_gone",                                    \
	  "the registry's entry of a backend server went")                     \
	X(STARTED, INFO, "started", "the instance takes packets")              \
	X(STOPPED, INFO, "stopped", "the graceful shutdown is over")           \
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
