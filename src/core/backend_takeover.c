#include "backend_internal.h"
#include "test_switch.h"

uint32_t cm_backend_inherited(const struct cm_backend *backend, uint64_t now_ms)
{
	uint32_t inherited = 0;

	if (cm_switched_off(CM_SWITCH_INHERITED_COUNT))
		return 0;
	if (now_ms < backend->inherited_until_ms)
		inherited += backend->inherited;
	if (now_ms < backend->margin_until_ms &&
	    !cm_switched_off(CM_SWITCH_TAKEOVER_MARGIN))
		inherited += backend->margin;
	return inherited;
}

void cm_backend_adopt(struct cm_backend *backend)
{
	pthread_mutex_lock(&backend->lock);
	backend->open++;
	backend->adopted++;
	if (backend->margin)
		backend->margin--;
	else if (backend->inherited)
		backend->inherited--;
	else
		backend->cold_base++;
	pthread_mutex_unlock(&backend->lock);
}

/*
 * Maximum number of connections that the old home can admit between the arrival
 * of its report here and @until_ms: its rate limit over that time, and one
 * burst.
 */
static uint64_t max_admitted_since(const struct cm_backend_load *load,
				   const struct cm_server_spec *spec,
				   uint64_t until_ms)
{
	return (until_ms - load->arrived_ms) * spec->max_new_per_s /
		       CM_MS_PER_S +
	       1 + cm_backend_burst_tokens(spec) / CM_ADMIT_TOKENS;
}

/* Number of the @open connections that this instance has not adopted yet. */
static uint32_t count_not_adopted(const struct cm_backend *backend,
				  uint32_t open)
{
	uint64_t adopted = (uint64_t)backend->adopted + backend->adopted_before;

	return open > adopted ? (uint32_t)(open - adopted) : 0;
}

/*
 * Begins a new window of adopted connections after each idle timeout. A
 * connection that was adopted two windows ago has since expired on the instance
 * that admitted it, so it must not be subtracted from that instance's reports
 * any more.
 */
static void age_adopted(struct cm_backend *backend, uint64_t idle_timeout_ms,
			uint64_t now_ms)
{
	if (!backend->adopted_since_ms)
		backend->adopted_since_ms = now_ms;
	if (now_ms < backend->adopted_since_ms + idle_timeout_ms)
		return;
	backend->adopted_before = backend->adopted;
	backend->adopted = 0;
	backend->adopted_since_ms = now_ms;
}

void cm_backend_set_home(struct cm_backend *backend, bool is_home,
			 bool taken_over)
{
	pthread_mutex_lock(&backend->lock);
	if (is_home && !backend->is_home) {
		backend->is_takeover_due = taken_over;
		backend->adopted = 0;
		backend->adopted_before = 0;
		backend->adopted_since_ms = 0;
	}
	if (!is_home && backend->is_home) {
		backend->is_takeover_due = false;
		backend->former_reports = CM_FORMER_REPORTS;
		backend->former.open = backend->open + backend->inherited;
		backend->former.self_admitted =
			count_not_adopted(backend, backend->open);
	}
	backend->is_home = is_home;
	pthread_mutex_unlock(&backend->lock);
}

static void take_over_locked(struct cm_backend *backend,
			     const struct cm_server_spec *spec,
			     uint64_t idle_timeout_ms, uint64_t lease_ms,
			     uint64_t now_ms)
{
	const struct cm_backend_load *load = &backend->load;
	uint64_t margin = 0;

	if (load->arrived_ms) {
		margin = max_admitted_since(load, spec, now_ms + lease_ms);
		cm_cold_start_resume(&backend->cold, spec->cold_start_s,
				     load->percent, now_ms);
	}
	if (margin > spec->max_connections)
		margin = spec->max_connections;
	backend->inherited = count_not_adopted(backend, load->open);
	backend->margin = (uint32_t)margin;
	backend->cold_base =
		backend->open + backend->inherited + backend->margin;
	backend->reduced_rate_until_ms = now_ms + lease_ms;
	backend->takeover_cold_starts = backend->cold.starts;
	backend->inherited_until_ms =
		backend->reduced_rate_until_ms + idle_timeout_ms;
	backend->margin_until_ms =
		backend->reduced_rate_until_ms + CM_TAKEOVER_MARGIN_MS;
	backend->tokens = 0;
}

void cm_backend_take_over(struct cm_backend *backend,
			  const struct cm_server_spec *spec,
			  uint64_t idle_timeout_ms, uint64_t lease_ms,
			  uint64_t now_ms)
{
	pthread_mutex_lock(&backend->lock);
	if (backend->is_takeover_due) {
		backend->is_takeover_due = false;
		take_over_locked(backend, spec, idle_timeout_ms, lease_ms,
				 now_ms);
	}
	age_adopted(backend, idle_timeout_ms, now_ms);
	pthread_mutex_unlock(&backend->lock);
}

bool cm_backend_take_former_report(struct cm_backend *backend,
				   struct cm_former_load *former)
{
	bool due;

	pthread_mutex_lock(&backend->lock);
	due = backend->former_reports && !backend->is_home;
	if (due)
		backend->former_reports--;
	*former = backend->former;
	pthread_mutex_unlock(&backend->lock);
	return due;
}

bool cm_backend_former_is_unreported(struct cm_backend *backend)
{
	bool due;

	pthread_mutex_lock(&backend->lock);
	due = !backend->is_home && backend->former.open &&
	      backend->former_reports == CM_FORMER_REPORTS;
	pthread_mutex_unlock(&backend->lock);
	return due;
}

static void inherit_locked(struct cm_backend *backend,
			   const struct cm_server_spec *spec,
			   const struct cm_backend_load *load, uint64_t now_ms)
{
	uint32_t percent = cm_cold_start_percent(&backend->cold,
						 spec->cold_start_s, now_ms);

	if (count_not_adopted(backend, load->open) > backend->inherited)
		backend->inherited = count_not_adopted(backend, load->open);
	if (load->percent > percent &&
	    backend->cold.starts == backend->takeover_cold_starts)
		cm_cold_start_resume(&backend->cold, spec->cold_start_s,
				     load->percent, now_ms);
}

void cm_backend_inherit(struct cm_backend *backend,
			const struct cm_server_spec *spec,
			const struct cm_backend_load *load, uint64_t now_ms)
{
	pthread_mutex_lock(&backend->lock);
	if (now_ms < backend->margin_until_ms)
		inherit_locked(backend, spec, load, now_ms);
	pthread_mutex_unlock(&backend->lock);
}

static void inherit_self_admitted_locked(struct cm_backend *backend,
					 uint32_t self_admitted,
					 uint64_t idle_timeout_ms,
					 uint64_t now_ms)
{
	uint32_t left = count_not_adopted(backend, self_admitted);
	uint32_t counted =
		now_ms < backend->inherited_until_ms ? backend->inherited : 0;

	if (left <= counted)
		return;
	backend->cold_base += left - counted;
	backend->inherited = left;
	backend->inherited_until_ms = now_ms + idle_timeout_ms;
}

void cm_backend_inherit_from_other_home(struct cm_backend *backend,
					const struct cm_server_spec *spec,
					uint32_t self_admitted,
					uint64_t idle_timeout_ms,
					uint64_t now_ms)
{
	if (self_admitted > spec->max_connections)
		self_admitted = spec->max_connections;
	pthread_mutex_lock(&backend->lock);
	if (now_ms >= backend->margin_until_ms)
		inherit_self_admitted_locked(backend, self_admitted,
					     idle_timeout_ms, now_ms);
	pthread_mutex_unlock(&backend->lock);
}

static int32_t load_growth(const struct cm_backend_load *before,
			   const struct cm_backend_load *now)
{
	int64_t change = (int64_t)now->open - before->open;
	uint64_t interval_ms = now->arrived_ms - before->arrived_ms;

	if (!before->arrived_ms || !interval_ms ||
	    interval_ms > CM_LOAD_STALE_MS)
		return 0;
	return (int32_t)(change * CM_MS_PER_S / (int64_t)interval_ms);
}

void cm_backend_set_load(struct cm_backend *backend,
			 const struct cm_backend_load *load)
{
	int32_t growth_per_s;

	pthread_mutex_lock(&backend->lock);
	growth_per_s = load_growth(&backend->load, load);
	backend->load = *load;
	backend->load.growth_per_s = growth_per_s;
	pthread_mutex_unlock(&backend->lock);
}

struct cm_backend_load cm_backend_load(struct cm_backend *backend)
{
	struct cm_backend_load load;

	pthread_mutex_lock(&backend->lock);
	load = backend->load;
	pthread_mutex_unlock(&backend->lock);
	return load;
}
