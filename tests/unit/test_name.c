#include "unit/suites.h"

#include <string.h>

#include "chervilmast/name.h"

#define LONG "hokkaido-monthly-petty-cash-reimbursement"

UNIT_CASE("name", "stored names", NULL, NULL, UNIT_TIMEOUT_S);

static void set(char *name, const char *text)
{
	memset(name, 'x', CM_NAME_SIZE);
	cm_name_set(name, text, strlen(text));
}

/* Names, and how they are stored. */
static const struct {
	const char *text;
	const char *stored;
} names[] = {
	{ "", "" },
	{ "s", "s" },
	{ "abcdefghijklmnopqrstuvwxyz01234",
	  "abcdefghijklmnopqrstuvwxyz01234" },
	{ "abcdefghijklmnopqrstuvwxyz012345",
	  "abcdefghijklmn.5a4ee6ee5f6dadcf" },
	{ LONG, "hokkaido-month.d135493c7da6cad0" },
	/* The cut falls into the fifth character of three bytes. */
	{ "\xe5\x8c\x97\xe6\xb5\xb7\xe9\x81\x93\xe5\x8c\x97\xe6\xb5\xb7"
	  "\xe9\x81\x93\xe5\x8c\x97\xe6\xb5\xb7\xe9\x81\x93\xe5\x8c\x97\xe6\xb5\xb7",
	  "\xe5\x8c\x97\xe6\xb5\xb7\xe9\x81\x93\xe5\x8c\x97."
	  "4510f6b636d1f8c3" },
};

/* The digests must not change: instances of other versions store the same. */
TEST_TABLE(name_is_stored, names)
{
	char name[CM_NAME_SIZE], again[CM_NAME_SIZE];

	set(name, names[_i].text);
	ck_assert_str_eq(name, names[_i].stored);
	set(again, name);
	ck_assert(cm_name_equal(name, again));
	ck_assert_mem_eq(name, again, CM_NAME_SIZE);
}

/* Guards against two services that become one as their names begin alike. */
TEST(names_that_begin_alike_differ)
{
	static const char *const texts[] = { LONG, LONG "s", LONG "-2",
					     "hokkaido-month" };
	char stored[COUNT_OF(texts)][CM_NAME_SIZE];

	for (int i = 0; i < COUNT_OF(texts); i++) {
		set(stored[i], texts[i]);
		for (int j = 0; j < i; j++)
			ck_assert(!cm_name_equal(stored[i], stored[j]));
	}
}
