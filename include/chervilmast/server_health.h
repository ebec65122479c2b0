/**
 * DOC: Health of a backend server as its flows show it
 *
 * A node sees only the callers' half of a flow. An answered SYN shows by the
 * caller's next packet; the time until the server acknowledges the request and
 * the time until the caller ends the flow show how fast the server works. No
 * probe is sent.
 */
#ifndef CHERVILMAST_SERVER_HEALTH_H
#define CHERVILMAST_SERVER_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/** First pause between trial flows of a suspected server, ms. */
#define CM_HEALTH_TRIAL_MS 400
/** Longest pause between trial flows of a suspected server, ms. */
#define CM_HEALTH_TRIAL_MAX_MS 1600

/**
 * struct cm_server_health - what a node saw of a backend server
 * @unanswered: SYNs in a row that got no answer
 * @silent_since_ms: when the first of them was sent
 * @trial_ms: when a suspected server last got a flow
 * @answered_ms: when it last answered a SYN; 0 when it never did
 * @service_eighths: smoothed time from SYN to end of a flow, eighths of ms; 0
 *                   when unknown
 * @service_ms: when @service_eighths was last changed
 */
struct cm_server_health {
	uint32_t unanswered;
	uint64_t silent_since_ms;
	uint64_t trial_ms;
	uint64_t answered_ms;
	uint32_t service_eighths;
	uint64_t service_ms;
};

/**
 * cm_server_health_answered() - a SYN was answered
 * @health: what was seen
 * @now_ms: current time
 *
 * Return: true when the server was suspected until now.
 */
bool cm_server_health_answered(struct cm_server_health *health,
			       uint64_t now_ms);

/**
 * cm_server_health_unanswered() - a SYN got no answer in time
 * @health: what was seen
 * @sent_ms: when the SYN was sent on
 *
 * A SYN that was sent before the last answer says nothing.
 *
 * Return: true when the server is suspected from now on.
 */
bool cm_server_health_unanswered(struct cm_server_health *health,
				 uint64_t sent_ms);

/**
 * cm_server_health_ended() - a flow ended as it should
 * @health: what was seen
 * @took_ms: time from its SYN to its end
 * @now_ms: current time
 */
void cm_server_health_ended(struct cm_server_health *health, uint32_t took_ms,
			    uint64_t now_ms);

/**
 * cm_server_health_is_suspected() - whether the server seems to be silent
 * @health: what was seen
 *
 * Return: true when its last SYN got no answer.
 */
bool cm_server_health_is_suspected(const struct cm_server_health *health);

/**
 * cm_server_health_may_try() - whether a suspected server gets a trial flow
 * @health: what was seen
 * @now_ms: current time
 *
 * Return: true when the pause since the last one is over.
 */
bool cm_server_health_may_try(const struct cm_server_health *health,
			      uint64_t now_ms);

/**
 * cm_server_health_tried() - a flow goes to the server
 * @health: what was seen
 * @now_ms: current time
 */
void cm_server_health_tried(struct cm_server_health *health, uint64_t now_ms);

#endif
