#include "fake/load.h"

#include "chervilmast/backend.h"

#define MS_PER_S 1000
/* While two homes admit: the full rate of the old one plus the takeover share
 * of the new one, %. */
#define DISAGREE_PERCENT (CM_FULL_PERCENT + CM_TAKEOVER_RATE_PERCENT)

void fake_load_begin_cold_start(struct fake_load *load, uint64_t now_ms,
				bool announced)
{
	load->cold_started = true;
	load->cold_since_ms = now_ms;
	load->announced = announced;
	load->count = 0;
}

static uint32_t count_recent(const struct fake_load *load, uint64_t now_ms,
			     bool with_retransmitted)
{
	uint32_t recent = 0;

	for (uint64_t i = load->count; i && load->count - i < FAKE_LOAD_RING;
	     i--) {
		uint64_t at = (i - 1) % FAKE_LOAD_RING;

		if (now_ms - load->at_ms[at] >= MS_PER_S)
			break;
		if (with_retransmitted || !load->retransmitted[at])
			recent++;
	}
	return recent;
}

uint32_t fake_load_add(struct fake_load *load, uint64_t now_ms,
		       bool is_retransmitted)
{
	uint64_t at = load->count++ % FAKE_LOAD_RING;

	load->at_ms[at] = now_ms;
	load->retransmitted[at] = is_retransmitted;
	return count_recent(load, now_ms, true);
}

uint32_t fake_load_count_first_syns(const struct fake_load *load,
				    uint64_t now_ms)
{
	return count_recent(load, now_ms, false);
}

uint32_t fake_load_percent(const struct fake_load *load, uint64_t now_ms)
{
	uint64_t ramp_ms = (uint64_t)load->spec.cold_start_s * MS_PER_S;

	if (!load->cold_started || now_ms >= load->cold_since_ms + ramp_ms)
		return CM_FULL_PERCENT;
	return CM_COLD_FLOOR_PERCENT +
	       (uint32_t)((CM_FULL_PERCENT - CM_COLD_FLOOR_PERCENT) *
			  (now_ms - load->cold_since_ms) / ramp_ms);
}

uint32_t fake_load_rate_max(const struct fake_load *load, uint32_t percent,
			    bool agreed)
{
	uint32_t rate = load->spec.max_new_per_s * percent / CM_FULL_PERCENT;
	uint32_t burst =
		load->spec.max_new_per_s * CM_ADMIT_BURST_MS / MS_PER_S;

	if (!burst)
		burst = 1;
	if (agreed)
		return rate + burst;
	return rate * DISAGREE_PERCENT / CM_FULL_PERCENT + 2 * burst;
}

uint32_t fake_load_open_max(const struct fake_load *load, bool agreed)
{
	return load->spec.max_connections * (agreed ? 1 : 2);
}
