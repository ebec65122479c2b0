#include "unit/suites.h"

#include "chervilmast/congestion.h"

#define START_MS 100000

UNIT_CASE("steer_admission", "congestion", NULL, NULL, UNIT_TIMEOUT_S);

/* Number of responses, of which every nth shows a full server, and the bounds
 * of the congestion after them. */
static const struct {
	uint32_t responses;
	uint32_t every;
	uint32_t least;
	uint32_t most;
} rates[] = {
	{ 1, 1, 100, 149 },   { 2, 1, 200, 250 }, { 100, 1, 950, 1000 },
	{ 100, 2, 400, 600 }, { 99, 25, 0, 60 },
};

/* Guards against a failure domain that counts as full after one rejection, and
 * against one whose servers are full and that counts as one with room. */
TEST_TABLE(congestion_follows_the_responses, rates)
{
	struct cm_congestion congestion = { 0 };

	for (uint32_t i = 1; i <= rates[_i].responses; i++)
		cm_congestion_add(&congestion, START_MS + i,
				  i % rates[_i].every == 0);
	ck_assert_uint_ge(congestion.per_mille, rates[_i].least);
	ck_assert_uint_le(congestion.per_mille, rates[_i].most);
}

/* Guards against a failure domain that is avoided for good: without responses
 * its congestion must fall, as no flow is sent there that would show room. */
TEST(congestion_falls_without_responses)
{
	struct cm_congestion congestion = { 0 };
	uint32_t per_mille;

	for (int i = 0; i < 100; i++)
		cm_congestion_add(&congestion, START_MS, true);
	per_mille = cm_congestion_get(&congestion, START_MS);
	ck_assert_uint_eq(
		cm_congestion_get(&congestion,
				  START_MS + CM_CONGESTION_HALF_LIFE_MS),
		per_mille / 2);
	ck_assert_uint_eq(cm_congestion_get(&congestion, START_MS + 60000), 0);
	/* The clock of another thread may be behind. */
	ck_assert_uint_eq(cm_congestion_get(&congestion, START_MS - 1),
			  per_mille);
}
