/**
 * DOC: Health of a backend server, observed from its flows
 *
 * An instance receives only the packets from caller to server. The caller's
 * next packet after a SYN shows that the server answered the SYN. The time from
 * the SYN until the caller ends the flow is the service time. A flow counts as
 * failed when the caller has acknowledged at most CM_HEALTH_ERROR_BYTES_MAX
 * bytes: the server sent an error or no response. A server is suspected once it
 * leaves a SYN unanswered. It then gets no flow until a probe has reached it,
 * so that no further caller has to wait for it. Servers that are not suspected
 * are probed only while no server answers the instance, see
 * cm_steer_next_probe().
 */
#ifndef CHERVILMAST_SERVER_HEALTH_H
#define CHERVILMAST_SERVER_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Interval after the first probe of a server, ms; doubles with each further
 * probe up to CM_HEALTH_PROBE_INTERVAL_MAX_MS.
 */
#define CM_HEALTH_PROBE_INTERVAL_MS 200
/** Maximum interval between probes of a suspected server, ms. */
#define CM_HEALTH_PROBE_INTERVAL_MAX_MS 1600
/**
 * Time for which a server is not probed when a probe reached it but a later SYN
 * got no answer, ms. Another server has then probably taken over the address
 * and would answer further probes; the registry entry of the former server
 * expires within this time.
 */
#define CM_HEALTH_PROBE_BACKOFF_MS 6000
/**
 * Time after the end of a server's last flow from which its service time and
 * its share of failed flows count as unknown, ms.
 */
#define CM_HEALTH_STALE_MS 4000
/**
 * Time after the first probe of a server from which the server counts as silent
 * if the probe has not reached it, ms.
 */
#define CM_HEALTH_FIRST_PROBE_TIMEOUT_MS 100
/**
 * Time after which another instance's report expires unless it is repeated, ms.
 */
#define CM_HEALTH_REPORT_TTL_MS 2000
/** Maximum number of acknowledged bytes of a flow that counts as failed. */
#define CM_HEALTH_ERROR_BYTES_MAX 200

/**
 * struct cm_server_health - an instance's observations of a backend server
 * @unanswered_syns: number of consecutive SYNs without an answer
 * @unanswered_ms: when the last unanswered SYN was sent, ms
 * @reported_ms: when another instance last reported that the server is silent,
 *               ms; 0 for never
 * @reported_until_ms: end of validity of another instance's report that the
 *                     server is silent, ms; 0 for none
 * @is_reached: a probe has reached the server since the last unanswered SYN;
 *              cleared when a flow is sent to it while it is suspected
 * @reached_ms: when a probe last reached the server, ms; 0 for never
 * @probe_backoff_until_ms: no probe is due before this time, ms; 0 for none
 * @probes: number of probes since the server last answered a SYN
 * @probed_ms: start of the last probe, ms
 * @flow_sent_ms: when the last flow was sent to the server, ms
 * @answered_ms: when the server last answered a SYN, ms; 0 for never
 * @service_ms_eighths: smoothed time from SYN to end of a flow, eighths of ms;
 *                      0 when unknown
 * @failed_per_mille: smoothed share of flows that ended with an error or no
 *                    response, thousandths
 * @ended_ms: when the last flow of the server ended, ms; 0 for never
 * @ejected_until_ms: end of the server's ejection, ms; 0 for none
 */
struct cm_server_health {
	uint32_t unanswered_syns;
	uint64_t unanswered_ms;
	uint64_t reported_ms;
	uint64_t reported_until_ms;
	bool is_reached;
	uint64_t reached_ms;
	uint64_t probe_backoff_until_ms;
	uint32_t probes;
	uint64_t probed_ms;
	uint64_t flow_sent_ms;
	uint64_t answered_ms;
	uint32_t service_ms_eighths;
	uint32_t failed_per_mille;
	uint64_t ended_ms;
	uint64_t ejected_until_ms;
};

/**
 * cm_server_health_syn_answered() - record the answer to a SYN
 * @health: the observations
 * @now_ms: current time, ms
 *
 * Return: true when the server was suspected before.
 */
bool cm_server_health_syn_answered(struct cm_server_health *health,
				   uint64_t now_ms);

/**
 * cm_server_health_syn_unanswered() - record that a SYN was not answered in
 * time
 * @health: the observations
 * @sent_ms: when the SYN was forwarded, ms
 *
 * A SYN that was sent before the server's last answer is ignored.
 *
 * Return: true when the server was not suspected before.
 */
bool cm_server_health_syn_unanswered(struct cm_server_health *health,
				     uint64_t sent_ms);

/**
 * cm_server_health_reported() - record another instance's report that the
 * server is silent
 * @health: the observations
 * @now_ms: current time, ms
 *
 * The server gets no flows until CM_HEALTH_REPORT_TTL_MS after the last report.
 * It is probed by the instances whose own SYN it left unanswered, not by all
 * instances that receive the report. The report is ignored when the server
 * answered this instance less than ANSWER_PRECEDENCE_MS ago.
 */
void cm_server_health_reported(struct cm_server_health *health,
			       uint64_t now_ms);

/**
 * cm_server_health_is_failure() - whether a flow counts as failed if it ends
 * now
 * @bytes: number of the server's bytes that the caller acknowledged
 *
 * Return: true for at most CM_HEALTH_ERROR_BYTES_MAX.
 */
bool cm_server_health_is_failure(uint32_t bytes);

/**
 * cm_server_health_flow_ended() - record the end of a flow
 * @health: the observations
 * @took_ms: time from its SYN to its end, ms
 * @bytes: number of the server's bytes that the caller acknowledged
 * @now_ms: current time, ms
 *
 * The service time excludes failed flows, as an error usually takes less time
 * than a response.
 *
 * Return: true when the flow failed.
 */
bool cm_server_health_flow_ended(struct cm_server_health *health,
				 uint32_t took_ms, uint32_t bytes,
				 uint64_t now_ms);

/**
 * cm_server_health_eject() - record that the server is ejected in the failure
 * domain
 * @health: the observations
 * @now_ms: current time, ms
 *
 * An ejected server may still be chosen, but at a higher cost. The ejection
 * expires unless the call is repeated.
 */
void cm_server_health_eject(struct cm_server_health *health, uint64_t now_ms);

/**
 * cm_server_health_is_suspected() - whether the server is suspected
 * @health: the observations
 *
 * Return: true when it left a SYN unanswered and has answered none since.
 */
bool cm_server_health_is_suspected(const struct cm_server_health *health);

/**
 * cm_server_health_is_silent() - whether to report the server as silent
 * @health: the observations
 * @now_ms: current time, ms
 *
 * The server must have been probed too, so that a single lost packet is not
 * reported. A probe since its last answer to a SYN is enough, even one from
 * before the unanswered SYN.
 *
 * Return: true for a suspected server that no probe has reached since the SYN,
 * from the timeout of its first probe on.
 */
bool cm_server_health_is_silent(const struct cm_server_health *health,
				uint64_t now_ms);

/**
 * cm_server_health_probe_is_due() - whether to probe the server
 * @health: the observations
 * @now_ms: current time, ms
 *
 * Return: true for a suspected server that no probe has reached, when the
 * interval since the last probe has passed.
 */
bool cm_server_health_probe_is_due(const struct cm_server_health *health,
				   uint64_t now_ms);

/**
 * cm_server_health_probed() - record the start of a probe
 * @health: the observations
 * @now_ms: current time, ms
 */
void cm_server_health_probed(struct cm_server_health *health, uint64_t now_ms);

/**
 * cm_server_health_reached() - record that a probe reached the server
 * @health: the observations
 * @now_ms: current time, ms
 *
 * The server may now get one flow, which shows whether it answers.
 */
void cm_server_health_reached(struct cm_server_health *health, uint64_t now_ms);

/**
 * cm_server_health_may_get_flow() - whether the server may get a flow
 * @health: the observations
 * @now_ms: current time, ms
 *
 * Return: false while another instance's report is valid, and for a suspected
 * server that no probe has reached.
 */
bool cm_server_health_may_get_flow(const struct cm_server_health *health,
				   uint64_t now_ms);

/**
 * cm_server_health_flow_sent() - record that a flow is sent to the server
 * @health: the observations
 * @now_ms: current time, ms
 */
void cm_server_health_flow_sent(struct cm_server_health *health,
				uint64_t now_ms);

#endif
