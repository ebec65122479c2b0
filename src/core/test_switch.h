/**
 * DOC: Test switches
 *
 * Each mechanism behind a documented guarantee can be switched off in a test
 * build (CM_TEST_SWITCHES), to prove that a test fails without it. The
 * environment variable CHERVILMAST_SWITCH_OFF names the mechanism that is off;
 * where the environment cannot be set, the macro CM_SWITCHED_OFF names it at
 * build time. In other builds all mechanisms are on and the switches compile to
 * nothing.
 */
#ifndef CORE_TEST_SWITCH_H
#define CORE_TEST_SWITCH_H

#include <stdbool.h>

/** Constant and name of each switch, sorted by constant. */
#define CM_SWITCHES(X)                            \
	X(ADDRESS_CHECK, "address-check")         \
	X(ADMISSION, "admission")                 \
	X(ADMIT_CAP, "admit-cap")                 \
	X(ADMIT_RATE, "admit-rate")               \
	X(ANSWER_TIME, "answer-time")             \
	X(BALANCE, "balance")                     \
	X(BEHIND_WAITS, "behind-waits")           \
	X(COLD_START, "cold-start")               \
	X(CONFIRMED_RESET, "confirmed-reset")     \
	X(CONGESTION_COST, "congestion-cost")     \
	X(DEATH_VOTES, "death-votes")             \
	X(DEFERRED_SYN, "deferred-syn")           \
	X(DELIVERED_ONCE, "delivered-once")       \
	X(DOMAIN_CHECK, "domain-check")           \
	X(DOWN_REPORTERS, "down-reporters")       \
	X(EJECTION, "ejection")                   \
	X(EXPLAIN_RESTORE, "explain-restore")     \
	X(FAILING_COST, "failing-cost")           \
	X(FAILING_SERVER, "failing-server")       \
	X(GONE_OBSERVED, "gone-observed")         \
	X(GONE_REGISTRY, "gone-registry")         \
	X(HALF_OPEN_BOUND, "half-open-bound")     \
	X(HAND_OVER, "hand-over")                 \
	X(HEAD_CHECK, "head-check")               \
	X(HELD_SYN, "held-syn")                   \
	X(HIGHER_VERSION, "higher-version")       \
	X(HISTORY_LOOKUP, "history-lookup")       \
	X(HOP_LIMIT, "hop-limit")                 \
	X(IDLE_CANCEL, "idle-cancel")             \
	X(IDLE_TIMEOUT, "idle-timeout")           \
	X(ID_CHECK, "publication-id-check")       \
	X(INHERITED_COUNT, "inherited-count")     \
	X(LATE_SYN, "late-syn")                   \
	X(LEASE, "lease")                         \
	X(LEAVING_INSTANCE, "leaving-instance")   \
	X(LEAVING_SERVER, "leaving-server")       \
	X(LEAVING_SYN, "leaving-syn")             \
	X(NOTE_SPREAD, "note-spread")             \
	X(NOT_RUN, "not-run")                     \
	X(NO_PLAN_SYN, "no-plan-syn")             \
	X(OPENING_PASSED, "opening-passed")       \
	X(OWN_SYN, "own-syn")                     \
	X(PASSED_SEARCH, "passed-search")         \
	X(PAUSE_CHECK, "pause-check")             \
	X(PROBE_ASKED, "probe-asked")             \
	X(PROBE_REST, "probe-rest")               \
	X(PROBE_SETTLE, "probe-settle")           \
	X(PROBE_SWALLOW, "probe-swallow")         \
	X(REFUTATION, "refutation")               \
	X(RELAY_SERVICE, "relay-service")         \
	X(RESET_HOME, "reset-home")               \
	X(RESET_NUMBER, "reset-number")           \
	X(RETRY_BUDGET, "retry-budget")           \
	X(ROOM_ELSEWHERE, "room-elsewhere")       \
	X(SENDER_CHECK, "sender-check")           \
	X(SERVER_LOAD, "server-load")             \
	X(SERVER_REPORT, "server-report")         \
	X(SERVICE_CHECK, "service-check")         \
	X(SILENT_REPORT, "silent-report")         \
	X(SLOW_SERVER, "slow-server")             \
	X(STALE_ANSWER, "stale-answer")           \
	X(STORE_ERA, "store-era")                 \
	X(SUSPECT_DOMAIN, "suspect-domain")       \
	X(SWAP_REVISION, "swap-revision")         \
	X(SWEEP, "sweep")                         \
	X(SYN_ACK_NUMBER, "syn-ack-number")       \
	X(SYN_ACK_TEACHES, "syn-ack-teaches")     \
	X(TAKEOVER_MARGIN, "takeover-margin")     \
	X(TAKEOVER_RATE, "takeover-rate")         \
	X(TELL_BINDINGS, "tell-bindings")         \
	X(UNKNOWN_FLOWS, "unknown-flows")         \
	X(UNPROVEN_COST, "unproven-cost")         \
	X(UNREACHABLE_WAITS, "unreachable-waits") \
	X(UNSEEN_END, "unseen-end")               \
	X(WITHDRAWN_KEPT, "withdrawn-kept")

/**
 * enum cm_switch - a mechanism that can be switched off
 */
enum cm_switch {
#define CM_SWITCH_ENUM(name, text) CM_SWITCH_##name,
	CM_SWITCHES(CM_SWITCH_ENUM)
#undef CM_SWITCH_ENUM
		CM_SWITCH_COUNT
};

#ifdef CM_TEST_SWITCHES

/**
 * cm_switched_off() - whether a mechanism is switched off
 * @mechanism: the mechanism
 *
 * Return: true if this is a test build in which the mechanism is switched off.
 */
bool cm_switched_off(enum cm_switch mechanism);

/**
 * cm_switch_name() - name of a switch
 * @mechanism: the mechanism
 *
 * Return: a static string.
 */
const char *cm_switch_name(enum cm_switch mechanism);

#else

static inline bool cm_switched_off(enum cm_switch mechanism)
{
	(void)mechanism;
	return false;
}

#endif

#endif
