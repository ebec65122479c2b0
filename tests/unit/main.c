#include "unit/suites.h"

#include <stdlib.h>
#include <string.h>

#define SUITES_MAX 64

/* Suites of the registered tests. */
static struct {
	const char *name;
	Suite *suite;
} suites[SUITES_MAX];
static int suite_count;

static Suite *find_suite(const char *name)
{
	for (int i = 0; i < suite_count; i++)
		if (!strcmp(suites[i].name, name))
			return suites[i].suite;
	if (suite_count == SUITES_MAX)
		abort();
	suites[suite_count].name = name;
	suites[suite_count].suite = suite_create(name);
	return suites[suite_count++].suite;
}

void unit_add(struct unit_case *unit_case, const TTest *test, int first,
	      int end)
{
	if (!unit_case->tcase) {
		unit_case->tcase = tcase_create(unit_case->name);
		tcase_add_checked_fixture(unit_case->tcase, unit_case->setup,
					  unit_case->teardown);
		tcase_set_timeout(unit_case->tcase, unit_case->timeout_s);
		suite_add_tcase(find_suite(unit_case->suite), unit_case->tcase);
	}
	tcase_add_loop_test(unit_case->tcase, test, first, end);
}

int main(void)
{
	SRunner *runner = srunner_create(suite_count ? suites[0].suite : NULL);
	int failed;

	for (int i = 1; i < suite_count; i++)
		srunner_add_suite(runner, suites[i].suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
