/**
 * DOC: Unit test suites
 *
 * A test file has one UNIT_CASE(), which defines its test case and fixture.
 * Each TEST() after it defines a constructor that registers a test. main.c runs
 * the registered tests.
 */
#ifndef UNIT_SUITES_H
#define UNIT_SUITES_H

#include <check.h>

/** ASSERT_OK() - assert that @call returns 0 */
#define ASSERT_OK(call) ck_assert_int_eq((call), 0)
/** COUNT_OF() - number of rows of @table */
#define COUNT_OF(table) ((int)(sizeof(table) / sizeof(*(table))))
/** Timeout after which a test counts as hung, s; not a limit under test. */
#define UNIT_TIMEOUT_S 60

/**
 * struct unit_case - test case of one file
 * @suite: name of the suite; several files may share one
 * @name: name of the test case within the suite
 * @setup: called before each test; may be NULL
 * @teardown: called after each test; may be NULL
 * @timeout_s: timeout of each test, s; 0 for none
 * @tcase: test case of the check library; created by unit_add()
 */
struct unit_case {
	const char *suite;
	const char *name;
	SFun setup;
	SFun teardown;
	double timeout_s;
	TCase *tcase;
};

/**
 * unit_add() - add a test to a test case
 * @unit_case: the test case
 * @test: the test
 * @first: first value of the loop variable _i
 * @end: end of the values of _i, exclusive
 */
void unit_add(struct unit_case *unit_case, const TTest *test, int first,
	      int end);

/** UNIT_CASE() - define the test case of a file, see struct unit_case */
#define UNIT_CASE(...) static struct unit_case unit_case = { __VA_ARGS__, NULL }
/** TEST_LOOP() - define a test that runs for each _i in [@first, @end) */
#define TEST_LOOP(test, first, end)                                    \
	static void test##_fn(int _i);                                 \
	static const TTest test##_test = { #test, test##_fn, __FILE__, \
					   __LINE__ };                 \
	static void __attribute__((constructor)) test##_add(void)      \
	{                                                              \
		unit_add(&unit_case, &test##_test, first, end);        \
	}                                                              \
	static void test##_fn(int _i __attribute__((unused)))
/** TEST_TABLE() - define a test that runs for each row of @table */
#define TEST_TABLE(test, table) TEST_LOOP(test, 0, COUNT_OF(table))
/** TEST() - define a test that runs once */
#define TEST(test) TEST_LOOP(test, 0, 1)

/** UNIT_BYTES() - table row of a byte string, its length and the expected
 * error */
#define UNIT_BYTES(text, error)               \
	{                                     \
		text, sizeof(text) - 1, error \
	}

#endif
