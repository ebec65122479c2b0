#include "backend_internal.h"

#include <string.h>

void cm_backend_init(struct cm_backend *backend,
		     const struct cm_endpoint *address, uint64_t now_ms)
{
	memset(backend, 0, sizeof(*backend));
	backend->address = *address;
	backend->tokens = CM_ADMIT_TOKENS;
	backend->refilled_ms = now_ms;
	cm_cold_start_begin(&backend->cold, now_ms);
	pthread_mutex_init(&backend->lock, NULL);
}

void cm_backend_defer_admission(struct cm_backend *backend, uint64_t now_ms)
{
	pthread_mutex_lock(&backend->lock);
	backend->deferred_until_ms = now_ms + CM_NOTE_SPREAD_MS;
	pthread_mutex_unlock(&backend->lock);
}

void cm_backend_finish(struct cm_backend *backend)
{
	pthread_mutex_destroy(&backend->lock);
}

void cm_backend_begin_cold_start(struct cm_backend *backend, uint64_t now_ms)
{
	cm_cold_start_begin(&backend->cold, now_ms);
	backend->cold_base =
		backend->open + cm_backend_inherited(backend, now_ms);
	backend->tokens = 0;
}

static void release_locked(struct cm_backend *backend)
{
	if (backend->open)
		backend->open--;
	if (backend->cold_base)
		backend->cold_base--;
}

void cm_backend_release(struct cm_backend *backend, bool unanswered)
{
	pthread_mutex_lock(&backend->lock);
	release_locked(backend);
	if (unanswered)
		cm_cold_start_syn_done(&backend->cold);
	pthread_mutex_unlock(&backend->lock);
}

void cm_backend_syn_answered(struct cm_backend *backend, uint32_t delay_ms,
			     uint64_t now_ms)
{
	pthread_mutex_lock(&backend->lock);
	if (cm_cold_start_syn_answered(&backend->cold, delay_ms, now_ms))
		cm_backend_begin_cold_start(backend, now_ms);
	pthread_mutex_unlock(&backend->lock);
}

void cm_backend_syn_reset(struct cm_backend *backend, uint64_t now_ms)
{
	pthread_mutex_lock(&backend->lock);
	release_locked(backend);
	if (cm_cold_start_syn_reset(&backend->cold, now_ms))
		cm_backend_begin_cold_start(backend, now_ms);
	pthread_mutex_unlock(&backend->lock);
}

void cm_backend_flow_reset(struct cm_backend *backend, bool unknown,
			   uint64_t now_ms)
{
	pthread_mutex_lock(&backend->lock);
	if (cm_cold_start_flow_reset(&backend->cold, backend->open, unknown,
				     now_ms))
		cm_backend_begin_cold_start(backend, now_ms);
	pthread_mutex_unlock(&backend->lock);
}

void cm_backend_restart(struct cm_backend *backend, uint64_t now_ms)
{
	pthread_mutex_lock(&backend->lock);
	cm_backend_begin_cold_start(backend, now_ms);
	pthread_mutex_unlock(&backend->lock);
}

bool cm_backend_apply_report(struct cm_backend *backend, uint32_t percent,
			     uint64_t made_ms)
{
	uint64_t until_ms = made_ms + CM_SERVER_REPORT_MS;
	bool newest;

	pthread_mutex_lock(&backend->lock);
	newest = until_ms >= backend->report_until_ms;
	if (newest) {
		backend->report_percent = percent;
		backend->report_until_ms = until_ms;
	}
	pthread_mutex_unlock(&backend->lock);
	return newest;
}

uint32_t cm_backend_open_count(struct cm_backend *backend)
{
	uint32_t open;

	pthread_mutex_lock(&backend->lock);
	open = backend->open;
	pthread_mutex_unlock(&backend->lock);
	return open;
}

void cm_backend_status(struct cm_backend *backend,
		       const struct cm_server_spec *spec, uint64_t now_ms,
		       struct cm_backend_status *status)
{
	struct cm_admission_refusal refusal = { .retry_after_ms = 0 };

	pthread_mutex_lock(&backend->lock);
	status->open = backend->open;
	status->inherited = cm_backend_inherited(backend, now_ms);
	status->unanswered = backend->cold.unanswered;
	status->percent = cm_backend_share_percent(backend, spec, now_ms);
	if (backend->cold.syn_resets >= CM_COLD_SYN_RESETS_MIN)
		status->percent = CM_COLD_FLOOR_PERCENT;
	status->at_cap =
		status->open + status->inherited >= spec->max_connections;
	status->full = !cm_backend_would_admit(backend, spec, now_ms, &refusal);
	status->retry_after_ms = refusal.retry_after_ms;
	status->admitted = backend->admitted;
	status->refused = backend->refused;
	status->cold_starts = backend->cold.starts;
	pthread_mutex_unlock(&backend->lock);
}
