/*
 * Guards against two operators whose release notes are both accepted at one
 * version, and against a publisher that reports an outcome which a delayed
 * write later contradicts. The operators publish concurrently; a seed decides
 * the order of their store calls and the faults.
 */
#include "unit/suites.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "fake/notes.h"
#include "fake/random.h"

#define OPERATORS 3
#define SERVERS 4
#define SEEDS 300

/* One in this many store calls has a fault. */
#define FAULT_ONE_IN 4
/* A delayed write is carried out before one in this many store calls. */
#define LATE_ONE_IN 3

struct race;

/**
 * struct race_operator - one of the concurrent publishers, with its own thread
 */
struct race_operator {
	struct race *race;
	uint32_t number;
	pthread_t thread;
	struct fake_publisher publisher;
	struct cm_note note;
	int outcome;
	bool is_done;
};

/**
 * struct race - operators that publish concurrently
 * @lock: protects @random, @turn and the is_done flags of @operators
 * @turn_changed: signalled when @turn changes
 * @turn: number of the operator that may run until its next store call
 * @has_faults: whether store calls have faults
 */
struct race {
	struct fake_store_service service;
	struct fake_random random;
	struct race_operator operators[OPERATORS];
	pthread_mutex_t lock;
	pthread_cond_t turn_changed;
	uint32_t turn;
	bool has_faults;
};

/* Lets a random operator that is not done run next. Called with the lock held.
 */
static void pass_turn(struct race *race)
{
	uint32_t remaining[OPERATORS];
	uint32_t count = 0;

	for (uint32_t i = 0; i < OPERATORS; i++)
		if (!race->operators[i].is_done)
			remaining[count++] = i;
	if (count)
		race->turn = remaining[fake_random_below(&race->random, count)];
	pthread_cond_broadcast(&race->turn_changed);
}

static void await_turn(struct race_operator *op)
{
	struct race *race = op->race;

	while (race->turn != op->number)
		pthread_cond_wait(&race->turn_changed, &race->lock);
}

/* Draws the fault of the next call, and may carry out a delayed write. */
static void draw_fault(struct race *race, struct fake_store *store)
{
	static const enum fake_fault faults[] = {
		FAKE_FAULT_DOWN, FAKE_FAULT_SLOW, FAKE_FAULT_SLOW,
		FAKE_FAULT_LOST, FAKE_FAULT_LOST, FAKE_FAULT_GARBAGE,
	};
	struct fake_random *random = &race->random;

	store->fault = FAKE_FAULT_NONE;
	if (race->has_faults && !fake_random_below(random, FAULT_ONE_IN))
		store->fault = faults[fake_random_below(
			random, sizeof(faults) / sizeof(*faults))];
	if (race->service.late_count && !fake_random_below(random, LATE_ONE_IN))
		fake_store_service_apply_late(
			&race->service,
			fake_random_below(random,
					  (uint32_t)race->service.late_count));
}

static void before_call(struct fake_store *store)
{
	struct race_operator *op = store->user;
	struct race *race = op->race;

	pthread_mutex_lock(&race->lock);
	pass_turn(race);
	await_turn(op);
	draw_fault(race, store);
	pthread_mutex_unlock(&race->lock);
}

static void *operator_thread(void *user)
{
	struct race_operator *op = user;
	struct race *race = op->race;

	pthread_mutex_lock(&race->lock);
	await_turn(op);
	pthread_mutex_unlock(&race->lock);
	op->outcome = cm_publication_publish(&op->publisher.publication,
					     &op->note, FAKE_PUBLISHED_S, NULL);
	pthread_mutex_lock(&race->lock);
	op->is_done = true;
	pass_turn(race);
	pthread_mutex_unlock(&race->lock);
	return NULL;
}

static void operator_start(struct race *race, uint32_t number)
{
	struct race_operator *op = &race->operators[number];

	op->race = race;
	op->number = number;
	fake_publisher_init(&op->publisher, &race->service);
	op->publisher.store.before_call = before_call;
	op->publisher.store.user = op;
	fake_note_change_slots(&op->note, number, number + 2);
	fake_note_set_id(&op->note, number + 2);
}

static void publish_first(struct race *race)
{
	struct fake_publisher publisher;
	struct cm_note note;

	fake_publisher_init(&publisher, &race->service);
	fake_note_init_servers(&note, SERVERS);
	ASSERT_OK(fake_publisher_publish(&publisher, &note, 1));
}

static void race_run(struct race *race, uint64_t seed, bool has_faults)
{
	memset(race, 0, sizeof(*race));
	fake_store_service_init(&race->service);
	race->random.state = seed;
	pthread_mutex_init(&race->lock, NULL);
	pthread_cond_init(&race->turn_changed, NULL);
	race->has_faults = has_faults;
	publish_first(race);
	race->turn = fake_random_below(&race->random, OPERATORS);
	for (uint32_t i = 0; i < OPERATORS; i++)
		operator_start(race, i);
	for (uint32_t i = 0; i < OPERATORS; i++)
		pthread_create(&race->operators[i].thread, NULL,
			       operator_thread, &race->operators[i]);
	for (uint32_t i = 0; i < OPERATORS; i++)
		pthread_join(race->operators[i].thread, NULL);
	while (race->service.late_count)
		fake_store_service_apply_late(&race->service, 0);
}

static void race_finish(struct race *race)
{
	for (uint32_t i = 0; i < OPERATORS; i++)
		cm_note_finish(&race->operators[i].note);
	fake_store_service_finish(&race->service);
	pthread_cond_destroy(&race->turn_changed);
	pthread_mutex_destroy(&race->lock);
}

/* Returns the version that an operator's note has in the store, or 0. */
static uint64_t find_version(struct race *race, const struct race_operator *op)
{
	struct fake_publisher publisher;
	struct cm_publication_head head;
	uint8_t id[CM_PUBLICATION_ID_SIZE];
	uint64_t found = 0;

	fake_publisher_init(&publisher, &race->service);
	ASSERT_OK(cm_publication_read_head(&publisher.publication, &head));
	for (uint64_t i = 1; i <= head.version; i++) {
		ASSERT_OK(
			cm_publication_read_id(&publisher.publication, i, id));
		if (memcmp(id, op->note.publication_id, sizeof(id)) != 0)
			continue;
		ck_assert_uint_eq(found, 0);
		found = i;
	}
	return found;
}

/*
 * Asserts that the outcome reported to each operator matches the store after
 * all delayed writes. Returns the number of accepted notes.
 */
static uint32_t check_outcomes(struct race *race)
{
	uint32_t accepted = 0;

	for (uint32_t i = 0; i < OPERATORS; i++) {
		const struct race_operator *op = &race->operators[i];
		uint64_t version = find_version(race, op);

		if (op->outcome == CM_OK) {
			ck_assert_uint_eq(version, op->note.version);
			accepted++;
		} else if (op->outcome != CM_E_OUTCOME_UNKNOWN) {
			ck_assert_uint_eq(version, 0);
		}
	}
	return accepted;
}

UNIT_CASE("publication race", "operators", NULL, NULL, 0);

TEST_LOOP(one_wins_and_the_others_conflict, 0, SEEDS)
{
	struct race race;

	race_run(&race, (uint64_t)_i, false);
	ck_assert_uint_ge(check_outcomes(&race), 1);
	for (uint32_t i = 0; i < OPERATORS; i++)
		ck_assert(race.operators[i].outcome == CM_OK ||
			  race.operators[i].outcome == CM_E_CONFLICT);
	race_finish(&race);
}

TEST_LOOP(outcome_matches_the_store_under_faults, 0, SEEDS)
{
	struct race race;
	uint32_t accepted;
	uint32_t conclusive = 0;

	race_run(&race, (uint64_t)_i, true);
	accepted = check_outcomes(&race);
	for (uint32_t i = 0; i < OPERATORS; i++) {
		int outcome = race.operators[i].outcome;

		conclusive += outcome == CM_OK || outcome == CM_E_CONFLICT;
		ck_assert_int_ne(outcome, CM_E_OUTCOME_UNKNOWN);
	}
	if (conclusive)
		ck_assert_uint_ge(accepted, 1);
	race_finish(&race);
}
