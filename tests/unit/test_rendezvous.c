#include "unit/suites.h"

#include "chervilmast/flow_key.h"
#include "chervilmast/rendezvous.h"

#define KEYS 200000
#define ITEMS 5
#define PERMILLE 1000
/* Five standard deviations of the largest share, 0.8 of the keys, rounded up;
 * those of the smaller shares are lower. */
#define TOLERANCE_PERMILLE 5

static const uint32_t weights[ITEMS] = { 1, 3, 3, 9, 64 };

static uint32_t first_item(uint64_t key, uint32_t count)
{
	uint64_t best = 0;
	uint32_t first = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint64_t score =
			cm_rendezvous_score(key, cm_hash_mix(i, 7),
					    cm_rendezvous_scale(weights[i]));

		if (score <= best)
			continue;
		best = score;
		first = i;
	}
	return first;
}

UNIT_CASE("rendezvous", "scores", NULL, NULL, UNIT_TIMEOUT_S);

TEST(shares_follow_weights)
{
	uint32_t count[ITEMS] = { 0 };
	uint32_t sum = 0;

	for (uint32_t i = 0; i < ITEMS; i++)
		sum += weights[i];
	for (uint64_t key = 0; key < KEYS; key++)
		count[first_item(cm_hash_mix(key, 1), ITEMS)]++;
	for (uint32_t i = 0; i < ITEMS; i++) {
		int32_t share = (int32_t)(count[i] * PERMILLE / KEYS);
		int32_t wanted = (int32_t)(weights[i] * PERMILLE / sum);

		ck_assert_int_le(share, wanted + TOLERANCE_PERMILLE);
		ck_assert_int_ge(share, wanted - TOLERANCE_PERMILLE);
	}
}

TEST(added_item_moves_keys_only_to_itself)
{
	for (uint64_t key = 0; key < KEYS; key++) {
		uint64_t hash = cm_hash_mix(key, 2);
		uint32_t before = first_item(hash, ITEMS - 1);
		uint32_t after = first_item(hash, ITEMS);

		ck_assert(after == before || after == ITEMS - 1);
	}
}

/* The scores are compared with constants: all machines must compute the same
 * scores, or they would order the items differently. */
TEST(scores_are_the_same_on_all_machines)
{
	ck_assert_uint_eq(cm_rendezvous_score(0, 0, cm_rendezvous_scale(1)),
			  18445937895049003007u);
	ck_assert_uint_eq(cm_rendezvous_score(1, 2, cm_rendezvous_scale(3)),
			  18445684075088206765u);
	ck_assert_uint_eq(cm_rendezvous_score(UINT64_MAX, UINT64_MAX,
					      cm_rendezvous_scale(1024)),
			  18446733885828287487u);
}
