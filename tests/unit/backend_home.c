#include "unit/backend_home.h"

#include <netinet/in.h>

static const struct cm_endpoint address = { 0xc000020a, 8443, IPPROTO_TCP };

struct cm_server_spec spec;
struct cm_backend backend;
struct cm_backend_status status;
uint64_t now_ms;

void set_spec(uint32_t cap, uint32_t rate)
{
	spec = (struct cm_server_spec){
		.address = address,
		.slots = 1,
		.max_connections = cap,
		.max_new_per_s = rate,
		.cold_start_s = COLD_START_S,
	};
}

void backend_teardown(void)
{
	cm_backend_finish(&backend);
}

bool admit(struct cm_backend *home, uint64_t at_ms)
{
	struct cm_admission_refusal refusal;

	return cm_backend_admit(home, &spec, at_ms, &refusal);
}

bool serve(struct cm_backend *home, uint64_t at_ms)
{
	bool admitted = admit(home, at_ms);

	if (admitted)
		cm_backend_syn_answered(home, WARM_ANSWER_MS, at_ms);
	return admitted;
}

void read_status(void)
{
	cm_backend_status(&backend, &spec, now_ms, &status);
}

void start_cold(uint32_t cap, uint32_t rate)
{
	set_spec(cap, rate);
	now_ms = START_MS;
	cm_backend_init(&backend, &address, now_ms);
}

void warm_up(struct cm_backend *home)
{
	struct cm_backend_status current;

	now_ms = START_MS;
	cm_backend_init(home, &address, now_ms);
	do {
		now_ms += 10;
		if (serve(home, now_ms))
			cm_backend_release(home, false);
		cm_backend_status(home, &spec, now_ms, &current);
	} while (current.percent < CM_FULL_PERCENT);
}

void start_warm(uint32_t cap, uint32_t rate)
{
	set_spec(cap, rate);
	warm_up(&backend);
}
