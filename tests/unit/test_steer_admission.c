#include "unit/suites.h"
#include <stdio.h>

#include "unit/overload_model.h"

#define INSTANCES 24
#define SEED 7
/* Usual load, percent of the slots, and the same times 1.8, 2 and 3.2. */
#define LOAD 50
#define LOAD_1_8 90
#define LOAD_2 100
#define LOAD_3_2 160
#define WARM_UP_MS 6000
/* Time after which the requests of a period have ended. */
#define REST_MS 4000

UNIT_CASE("steer_admission", "overload", NULL, overload_teardown,
	  UNIT_TIMEOUT_S);

static double share_of(uint32_t part, uint32_t whole)
{
	return whole ? (double)part / whole : 1;
}

/* Runs the usual load, then @load_percent for @ms, and prints the totals. */
static const struct overload_totals *run_overload(const char *what,
						  bool with_priorities,
						  uint32_t load_percent,
						  uint32_t ms)
{
	overload_setup(INSTANCES, INSTANCES, with_priorities, SEED);
	overload_run(WARM_UP_MS, LOAD);
	overload_begin_period();
	overload_run(ms, load_percent);
	overload_print(what);
	return overload_totals();
}

static double in_time(const struct overload_totals *totals,
		      enum overload_route route)
{
	return share_of(totals->routes[route].in_time,
			totals->routes[route].requests);
}

TEST(trial)
{
	static const uint32_t loads[] = { 80, LOAD_1_8, LOAD_2, 110, 120, LOAD_3_2, 250 };

	for (int i = 0; i < COUNT_OF(loads); i++)
		for (int on = 0; on < 2; on++) {
			char what[40];
			snprintf(what, 40, "load %u %s", loads[i], on ? "with" : "without");
			run_overload(what, on, loads[i], 8000);
			overload_teardown();
		}
	(void)in_time;
}
