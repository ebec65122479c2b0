#include "unit/suites.h"

#include <string.h>

#include "chervilmast/down_list.h"
#include "chervilmast/suspect_list.h"
#include "chervilmast/token_marks.h"

#define NOW_MS 100000
#define SERVER 7
#define OTHER_SERVER 8

static struct cm_down_list list;

static void setup(void)
{
	memset(&list, 0, sizeof(list));
}

UNIT_CASE("steer", "servers that are down", setup, NULL, UNIT_TIMEOUT_S);

static const struct cm_message_tokens none = { .count = 0 };
static const struct cm_message_tokens server = { { SERVER }, 1 };
static const struct cm_message_tokens other = { { OTHER_SERVER }, 1 };

static uint32_t count_down(uint64_t now_ms)
{
	struct cm_message_tokens down;

	cm_down_list_read(&list, now_ms, &down);
	if (down.count)
		ck_assert_uint_eq(down.tokens[0], SERVER);
	return down.count;
}

/* One instance may be the one at fault, however often it reports. */
TEST(two_instances_have_to_report_a_server)
{
	for (uint64_t i = 0; i < 10; i++) {
		cm_down_list_report(&list, NOW_MS + i, 1, &server, &server);
		ck_assert_uint_eq(count_down(NOW_MS + i), 0);
	}
	cm_down_list_report(&list, NOW_MS + 10, 2, &server, &none);
	ck_assert_uint_eq(count_down(NOW_MS + 10), 0);
	cm_down_list_report(&list, NOW_MS + 11, 2, &server, &server);
	ck_assert_uint_eq(count_down(NOW_MS + 11), 1);
}

/* A server at its maximum number of connections answers no SYN of any instance
 * but still serves its open flows. */
TEST(reports_of_unanswered_syns_are_not_enough)
{
	for (uint64_t reporter = 1; reporter <= 10; reporter++)
		cm_down_list_report(&list, NOW_MS, reporter, &server, &none);
	ck_assert_uint_eq(count_down(NOW_MS), 0);
	cm_down_list_report(&list, NOW_MS, 11, &server, &server);
	ck_assert_uint_eq(count_down(NOW_MS), 0);
	cm_down_list_report(&list, NOW_MS, 12, &server, &server);
	ck_assert_uint_eq(count_down(NOW_MS), 1);
}

/* An instance that no longer lists a server has got an answer of it. */
TEST(report_ends_when_it_is_not_repeated)
{
	cm_down_list_report(&list, NOW_MS, 1, &server, &server);
	cm_down_list_report(&list, NOW_MS, 2, &server, &server);
	ck_assert_uint_eq(count_down(NOW_MS), 1);
	cm_down_list_report(&list, NOW_MS + 1, 2, &other, &other);
	ck_assert_uint_eq(count_down(NOW_MS + 1), 0);
}

/* An instance that was lost sends no more requests, so nothing else ends its
 * report. */
TEST(report_of_an_instance_that_was_lost_expires)
{
	cm_down_list_report(&list, NOW_MS, 1, &server, &server);
	cm_down_list_report(&list, NOW_MS + 500, 2, &server, &server);
	ck_assert_uint_eq(count_down(NOW_MS + CM_SUSPECT_TTL_MS - 1), 1);
	ck_assert_uint_eq(count_down(NOW_MS + CM_SUSPECT_TTL_MS), 0);
}

/* More reports than the list holds must not be written beyond it, and their
 * expiry must make room for new ones. */
TEST(list_is_bounded)
{
	for (uint32_t token = 1; token <= 2 * CM_DOWN_LIST_MAX; token++) {
		const struct cm_message_tokens one = { { token }, 1 };

		cm_down_list_report(&list, NOW_MS, token, &one, &one);
	}
	cm_down_list_report(&list, NOW_MS + CM_SUSPECT_TTL_MS, 1, &server,
			    &server);
	cm_down_list_report(&list, NOW_MS + CM_SUSPECT_TTL_MS, 2, &server,
			    &server);
	ck_assert_uint_eq(count_down(NOW_MS + CM_SUSPECT_TTL_MS), 1);
}

/* Marks must survive a full list as far as there is room, and a list without
 * marks, as instances of earlier versions send it, must stay as it is. */
TEST(marks_are_taken_as_they_were_added)
{
	struct cm_message_tokens tokens = { { 5, 6, 0, 7 }, 4 };
	const struct cm_message_tokens marked = { { 7, 9, 5 }, 3 };
	struct cm_message_tokens taken;

	cm_token_marks_take(&tokens, &taken);
	ck_assert_uint_eq(tokens.count, 4);
	ck_assert_uint_eq(taken.count, 0);
	cm_token_marks_add(&tokens, &marked);
	ck_assert_uint_eq(tokens.count, 6);
	cm_token_marks_take(&tokens, &taken);
	ck_assert_uint_eq(tokens.count, 4);
	ck_assert_uint_eq(taken.count, 2);
	ck_assert_uint_eq(taken.tokens[0], 7);
	ck_assert_uint_eq(taken.tokens[1], 5);
}

TEST(marks_do_not_exceed_the_list)
{
	struct cm_message_tokens tokens = { .count = CM_MESSAGE_TOKENS_MAX };
	struct cm_message_tokens all;

	for (uint32_t i = 0; i < tokens.count; i++)
		tokens.tokens[i] = i + 1;
	all = tokens;
	cm_token_marks_add(&tokens, &all);
	ck_assert_uint_eq(tokens.count, CM_MESSAGE_TOKENS_MAX);
	tokens.count = 40;
	cm_token_marks_add(&tokens, &all);
	ck_assert_uint_eq(tokens.count, CM_MESSAGE_TOKENS_MAX - 1);
}
