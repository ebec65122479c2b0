#include "backend_internal.h"

#include <netinet/in.h>

#include "invariant.h"
#include "test_switch.h"

uint64_t cm_backend_burst_tokens(const struct cm_server_spec *spec)
{
	uint64_t burst = (uint64_t)spec->max_new_per_s * CM_ADMIT_BURST_MS *
			 CM_FULL_PERCENT;

	return burst < CM_ADMIT_TOKENS ? CM_ADMIT_TOKENS : burst;
}

uint32_t cm_backend_share_percent(const struct cm_backend *backend,
				  const struct cm_server_spec *spec,
				  uint64_t now_ms)
{
	uint32_t percent = cm_cold_start_percent(&backend->cold,
						 spec->cold_start_s, now_ms);

	if (now_ms < backend->report_until_ms &&
	    (backend->report_percent < percent ||
	     cm_switched_off(CM_SWITCH_SERVER_REPORT)))
		return backend->report_percent;
	return percent;
}

/* Whether the server's own report, not the ramp, sets the share. */
static bool report_sets_share(const struct cm_backend *backend,
			      uint32_t percent, uint64_t now_ms)
{
	return now_ms < backend->report_until_ms &&
	       backend->report_percent == percent;
}

static uint32_t rate_percent(const struct cm_backend *backend, uint32_t percent,
			     uint64_t now_ms)
{
	if (now_ms < backend->reduced_rate_until_ms &&
	    percent > CM_TAKEOVER_RATE_PERCENT &&
	    !cm_switched_off(CM_SWITCH_TAKEOVER_RATE))
		return CM_TAKEOVER_RATE_PERCENT;
	return percent;
}

/* Threads may pass @now_ms out of order; an earlier time adds no tokens. */
static void refill(struct cm_backend *backend,
		   const struct cm_server_spec *spec, uint32_t percent,
		   uint64_t now_ms)
{
	uint64_t capacity = cm_backend_burst_tokens(spec);

	if (now_ms > backend->refilled_ms) {
		backend->tokens += (now_ms - backend->refilled_ms) *
				   spec->max_new_per_s * percent;
		backend->refilled_ms = now_ms;
	}
	if (backend->tokens > capacity)
		backend->tokens = capacity;
}

static uint32_t token_wait_ms(const struct cm_backend *backend,
			      const struct cm_server_spec *spec,
			      uint32_t percent)
{
	uint64_t per_ms = (uint64_t)spec->max_new_per_s * percent;

	if (!per_ms)
		return CM_SERVER_REPORT_MS;
	return (uint32_t)((CM_ADMIT_TOKENS - backend->tokens + per_ms - 1) /
			  per_ms);
}

/* Time until the ramp raises the share by 1 % and the cap by a connection. */
static uint32_t ramp_step_ms(const struct cm_server_spec *spec)
{
	uint64_t percent_ms = (uint64_t)spec->cold_start_s * CM_MS_PER_S /
			      (CM_FULL_PERCENT - CM_COLD_FLOOR_PERCENT);
	uint64_t connection_ms =
		percent_ms * CM_FULL_PERCENT /
		(spec->max_connections ? spec->max_connections : 1);

	if (percent_ms < connection_ms)
		percent_ms = connection_ms;
	return percent_ms ? (uint32_t)percent_ms : 1;
}

static uint64_t ramp_cap(const struct cm_backend *backend,
			 const struct cm_server_spec *spec, uint32_t percent)
{
	uint64_t cap =
		(uint64_t)spec->max_connections * percent / CM_FULL_PERCENT;

	if (!cap && percent)
		cap = 1;
	return cap + backend->cold_base;
}

static bool cap_admits(const struct cm_backend *backend,
		       const struct cm_server_spec *spec, uint32_t percent,
		       uint64_t now_ms, struct cm_admission_refusal *refusal)
{
	uint64_t held =
		(uint64_t)backend->open + cm_backend_inherited(backend, now_ms);

	if (held >= spec->max_connections &&
	    !cm_switched_off(CM_SWITCH_ADMIT_CAP)) {
		refusal->reason = CM_C_SKIP_CAP;
		refusal->retry_after_ms = CM_CAP_RETRY_AFTER_MS;
		return false;
	}
	if (cm_cold_start_is_resetting_syns(&backend->cold, now_ms)) {
		refusal->reason = CM_C_SKIP_COLD_START;
		refusal->retry_after_ms = CM_COLD_SYN_RESETS_WAIT_MS;
		return false;
	}
	if (percent == CM_FULL_PERCENT)
		return true;
	if (held >= ramp_cap(backend, spec, percent) ||
	    !cm_cold_start_may_send_syn(&backend->cold)) {
		refusal->reason = CM_C_SKIP_COLD_START;
		refusal->retry_after_ms =
			report_sets_share(backend, percent, now_ms) ?
				CM_CAP_RETRY_AFTER_MS :
				ramp_step_ms(spec);
		return false;
	}
	return true;
}

static bool rate_admits(struct cm_backend *backend,
			const struct cm_server_spec *spec, uint32_t percent,
			uint64_t now_ms, struct cm_admission_refusal *refusal)
{
	uint32_t rate = rate_percent(backend, percent, now_ms);

	refill(backend, spec, rate, now_ms);
	if (backend->tokens >= CM_ADMIT_TOKENS ||
	    cm_switched_off(CM_SWITCH_ADMIT_RATE))
		return true;
	refusal->reason = percent < CM_FULL_PERCENT ? CM_C_SKIP_COLD_START :
						      CM_C_SKIP_RATE;
	refusal->retry_after_ms = token_wait_ms(backend, spec, rate);
	return false;
}

bool cm_backend_would_admit(struct cm_backend *backend,
			    const struct cm_server_spec *spec, uint64_t now_ms,
			    struct cm_admission_refusal *refusal)
{
	uint32_t percent = cm_backend_share_percent(backend, spec, now_ms);

	if (spec->state != CM_SERVER_ACTIVE &&
	    !cm_switched_off(CM_SWITCH_LEAVING_SERVER)) {
		refusal->reason = CM_C_SKIP_DRAINING;
		refusal->retry_after_ms = 0;
		return false;
	}
	if (now_ms < backend->deferred_until_ms &&
	    !cm_switched_off(CM_SWITCH_NOTE_SPREAD)) {
		refusal->reason = CM_C_SKIP_NOTE_SPREAD;
		refusal->retry_after_ms =
			(uint32_t)(backend->deferred_until_ms - now_ms);
		return false;
	}
	return cap_admits(backend, spec, percent, now_ms, refusal) &&
	       rate_admits(backend, spec, percent, now_ms, refusal);
}

/*
 * Counts the connections admitted in a second independently of the token
 * bucket, to detect errors in the bucket's accounting.
 */
static void check_admission_rate(struct cm_backend *backend,
				 const struct cm_server_spec *spec,
				 uint64_t now_ms)
{
	uint32_t most =
		spec->max_new_per_s +
		(uint32_t)(cm_backend_burst_tokens(spec) / CM_ADMIT_TOKENS);

	if (now_ms >= backend->window_start_ms + CM_MS_PER_S ||
	    most != backend->window_max) {
		backend->window_start_ms = now_ms;
		backend->window_count = 0;
		backend->window_max = most;
	}
	backend->window_count++;
	CM_INVARIANT(backend->window_count <= most);
}

static void count_admitted(struct cm_backend *backend,
			   const struct cm_server_spec *spec, uint64_t now_ms)
{
	backend->tokens -= backend->tokens < CM_ADMIT_TOKENS ? backend->tokens :
							       CM_ADMIT_TOKENS;
	backend->open++;
	backend->admitted++;
	if (spec->address.protocol == IPPROTO_TCP)
		cm_cold_start_syn_sent(&backend->cold, now_ms);
	else if (backend->cold.answers < CM_COLD_RAMP_ANSWERS)
		backend->cold.answers++;
	check_admission_rate(backend, spec, now_ms);
	CM_INVARIANT((uint64_t)backend->open +
			     cm_backend_inherited(backend, now_ms) <=
		     spec->max_connections);
}

bool cm_backend_admit(struct cm_backend *backend,
		      const struct cm_server_spec *spec, uint64_t now_ms,
		      struct cm_admission_refusal *refusal)
{
	bool admitted;

	pthread_mutex_lock(&backend->lock);
	if (cm_cold_start_is_silent(&backend->cold, now_ms))
		cm_backend_begin_cold_start(backend, now_ms);
	admitted = cm_backend_would_admit(backend, spec, now_ms, refusal);
	if (admitted)
		count_admitted(backend, spec, now_ms);
	else
		backend->refused++;
	pthread_mutex_unlock(&backend->lock);
	return admitted;
}
