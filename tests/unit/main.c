#include "unit/suites.h"

#include <stdlib.h>
#include <string.h>

#define SUITES_MAX 64

/* Suites of the registered tests. */
static struct {
	const char *name;
	Suite *suite;
} suites[SUITES_MAX];
static int count;

static Suite *find_suite(const char *name)
{
	for (int i = 0; i < count; i++)
		if (!strcmp(suites[i].name, name))
			return suites[i].suite;
	if (count == SUITES_MAX)
		abort();
	suites[count].name = name;
	suites[count].suite = suite_create(name);
	return suites[count++].suite;
}

void unit_add(struct unit_case *of, const TTest *test, int first, int end)
{
	if (!of->tcase) {
		of->tcase = tcase_create(of->name);
		tcase_add_checked_fixture(of->tcase, of->setup, of->teardown);
		tcase_set_timeout(of->tcase, of->timeout_s);
		suite_add_tcase(find_suite(of->suite), of->tcase);
	}
	tcase_add_loop_test(of->tcase, test, first, end);
}

int main(void)
{
	SRunner *runner = srunner_create(count ? suites[0].suite : NULL);
	int failed;

	for (int i = 1; i < count; i++)
		srunner_add_suite(runner, suites[i].suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
