/**
 * DOC: Cold start of a backend server
 *
 * The cold start of a backend server begins when this instance receives the
 * first catalog that lists the server, when a release note returns the server
 * to service, and when its answers, or missing answers, suggest that it
 * restarted. A server does not announce a restart; this module detects it from
 * the answers alone. During a cold start this module limits the share of its
 * rate and cap that the server is given. The share ramps up with both time and
 * answered SYNs, so a server that answers nothing stays at the floor. The
 * calling function holds the lock of the server's struct cm_backend.
 */
#ifndef CHERVILMAST_COLD_START_H
#define CHERVILMAST_COLD_START_H

#include <stdbool.h>
#include <stdint.h>

/** The whole rate or cap, %. */
#define CM_FULL_PERCENT 100
/** Share of rate and cap at which a cold start begins, %. */
#define CM_COLD_FLOOR_PERCENT 10
/** Answered SYNs from which on only the time limits the share. */
#define CM_COLD_RAMP_ANSWERS 32
/**
 * SYNs that may be unanswered at once when a cold start begins; each answered
 * SYN allows one more.
 */
#define CM_COLD_UNANSWERED_MAX 2
/** RSTs to SYNs, with no SYN-ACK in between, that begin a cold start. */
#define CM_COLD_SYN_RESETS_MIN 2
/**
 * Time for which a server gets no SYNs after its last RST to a SYN, if it has
 * sent CM_COLD_SYN_RESETS_MIN of them without a SYN-ACK in between, ms.
 */
#define CM_COLD_SYN_RESETS_WAIT_MS 1000
/**
 * Time with unanswered SYNs and without any SYN-ACK after which a cold start
 * begins, ms.
 */
#define CM_COLD_SILENCE_MS 1000
/** Unanswered SYNs needed for CM_COLD_SILENCE_MS to begin a cold start. */
#define CM_COLD_SILENT_SYNS 3
/** Consecutive slow answers to SYNs that begin a cold start. */
#define CM_COLD_SLOW_ANSWERS 3
/**
 * An answer is slow if its delay is more than this many times the smoothed
 * delay and exceeds it by more than CM_COLD_SLOW_MS.
 */
#define CM_COLD_SLOW_FACTOR 4
/** Excess of a delay over the smoothed delay, ms; see CM_COLD_SLOW_FACTOR. */
#define CM_COLD_SLOW_MS 50
/** Answers needed before the smoothed delay is used. */
#define CM_COLD_DELAY_SAMPLES 16
/** RSTs in 1 s, for flows unknown to the server, that begin a cold start. */
#define CM_COLD_UNKNOWN_FLOWS_MIN 2
/** Minimum number of RSTs on open flows in 1 s that begin a cold start. */
#define CM_COLD_FLOW_RESETS_MIN 8
/** Minimum share of open flows reset in 1 s that begins a cold start, %. */
#define CM_COLD_FLOW_RESETS_MIN_PERCENT 10

/**
 * struct cm_cold_start - cold-start state of a backend server
 * @since_ms: when the current cold start began; after cm_cold_start_resume(),
 *            computed from the resumed share
 * @answers: SYNs answered since then, without slow answers; for UDP, flows
 *           admitted since then. Up to CM_COLD_RAMP_ANSWERS. After
 *           cm_cold_start_resume(), at first the number that corresponds to the
 *           resumed share.
 * @unanswered: SYNs that the server has not answered yet
 * @silent_since_ms: time since which SYNs have been unanswered without any
 *                   SYN-ACK; 0 if @unanswered is 0
 * @delay_eighths: smoothed delay of answers to SYNs, eighths of ms
 * @delay_samples: number of answers in @delay_eighths, up to
 *                 CM_COLD_DELAY_SAMPLES
 * @slow_answers: consecutive slow answers
 * @syn_resets: RSTs to SYNs since the last SYN-ACK
 * @syn_reset_ms: time of the last such RST
 * @resets_since_ms: start of the one-second window of @resets
 * @resets: RSTs on open flows in that window
 * @unknown_flows: number of @resets that show that the server does not have the
 *                 flow
 * @starts: cold starts in total, including the first
 */
struct cm_cold_start {
	uint64_t since_ms;
	uint32_t answers;
	uint32_t unanswered;
	uint64_t silent_since_ms;
	uint32_t delay_eighths;
	uint32_t delay_samples;
	uint32_t slow_answers;
	uint32_t syn_resets;
	uint64_t syn_reset_ms;
	uint64_t resets_since_ms;
	uint32_t resets;
	uint32_t unknown_flows;
	uint32_t starts;
};

/**
 * cm_cold_start_begin() - begin a cold start
 * @cold: the state; zeroed before the first call
 * @now_ms: current time
 */
void cm_cold_start_begin(struct cm_cold_start *cold, uint64_t now_ms);

/**
 * cm_cold_start_resume() - continue a ramp that began on another instance
 * @cold: the state
 * @ramp_s: length of the ramp, seconds
 * @percent: share that the server had reached on the other instance, %; is
 *           limited to CM_COLD_FLOOR_PERCENT to CM_FULL_PERCENT
 * @now_ms: current time
 */
void cm_cold_start_resume(struct cm_cold_start *cold, uint32_t ramp_s,
			  uint32_t percent, uint64_t now_ms);

/**
 * cm_cold_start_percent() - share of its rate and cap that a server is given
 * @cold: the state
 * @ramp_s: length of the ramp, seconds
 * @now_ms: current time
 *
 * Return: the share, %, from CM_COLD_FLOOR_PERCENT to CM_FULL_PERCENT.
 */
uint32_t cm_cold_start_percent(const struct cm_cold_start *cold,
			       uint32_t ramp_s, uint64_t now_ms);

/**
 * cm_cold_start_may_send_syn() - whether a server in cold start may get a SYN
 * @cold: the state
 *
 * Return: false if too many SYNs are unanswered.
 */
bool cm_cold_start_may_send_syn(const struct cm_cold_start *cold);

/**
 * cm_cold_start_syn_sent() - record that a SYN is sent to the server
 * @cold: the state
 * @now_ms: current time
 */
void cm_cold_start_syn_sent(struct cm_cold_start *cold, uint64_t now_ms);

/**
 * cm_cold_start_syn_done() - stop counting a SYN as unanswered
 * @cold: the state
 */
void cm_cold_start_syn_done(struct cm_cold_start *cold);

/**
 * cm_cold_start_is_silent() - whether the server has stopped answering SYNs
 * @cold: the state
 * @now_ms: current time
 *
 * Return: true if a cold start is to begin.
 */
bool cm_cold_start_is_silent(const struct cm_cold_start *cold, uint64_t now_ms);

/**
 * cm_cold_start_syn_answered() - record that the server sent a SYN-ACK
 * @cold: the state
 * @delay_ms: time since the SYN
 * @now_ms: current time
 *
 * Return: true if a cold start is to begin.
 */
bool cm_cold_start_syn_answered(struct cm_cold_start *cold, uint32_t delay_ms,
				uint64_t now_ms);

/**
 * cm_cold_start_syn_reset() - record that the server answered a SYN by RST
 * @cold: the state
 * @now_ms: current time
 *
 * Return: true if a cold start is to begin.
 */
bool cm_cold_start_syn_reset(struct cm_cold_start *cold, uint64_t now_ms);

/**
 * cm_cold_start_is_resetting_syns() - whether the server answers SYNs by RST
 * @cold: the state
 * @now_ms: current time
 *
 * Return: true if the server has sent at least CM_COLD_SYN_RESETS_MIN RSTs to
 * SYNs since its last SYN-ACK, the last one less than
 * CM_COLD_SYN_RESETS_WAIT_MS ago. It must not get SYNs until that time is over.
 */
bool cm_cold_start_is_resetting_syns(const struct cm_cold_start *cold,
				     uint64_t now_ms);

/**
 * cm_cold_start_flow_reset() - record that the server reset an open flow
 * @cold: the state
 * @open: open connections of the server, including the one that was reset
 * @unknown: the RST has no ACK, by which the server shows that it has no such
 *           connection (RFC 9293, section 3.10.7.1)
 * @now_ms: current time
 *
 * Return: true if a cold start is to begin.
 */
bool cm_cold_start_flow_reset(struct cm_cold_start *cold, uint32_t open,
			      bool unknown, uint64_t now_ms);

#endif
