#include "chervilmast/down_list.h"

#include <stdbool.h>
#include <stddef.h>

#include "chervilmast/suspect_list.h"
#include "test_switch.h"

static bool is_recent(uint64_t reported_ms, uint64_t now_ms)
{
	return reported_ms && now_ms < reported_ms + CM_SUSPECT_TTL_MS;
}

static bool is_reported(const struct cm_down_server *server, uint64_t now_ms)
{
	for (int i = 0; i < CM_DOWN_REPORTERS; i++)
		if (is_recent(server->reports[i].reported_ms, now_ms))
			return true;
	return false;
}

/* The entry of a token, or a free one; NULL when the list is full. */
static struct cm_down_server *find_or_unused(struct cm_down_list *list,
					     uint64_t now_ms, uint32_t token)
{
	struct cm_down_server *unused = NULL;

	for (int i = 0; i < CM_DOWN_LIST_MAX; i++) {
		struct cm_down_server *server = &list->items[i];

		if (server->token == token)
			return server;
		if (!unused && !is_reported(server, now_ms))
			unused = server;
	}
	if (unused)
		*unused = (struct cm_down_server){ .token = token };
	return unused;
}

/* The reporter's report, or else the oldest one, which it replaces. */
static struct cm_down_report *select_report(struct cm_down_server *server,
					    uint64_t reporter)
{
	struct cm_down_report *oldest = &server->reports[0];

	for (int i = 0; i < CM_DOWN_REPORTERS; i++) {
		struct cm_down_report *report = &server->reports[i];

		if (report->reported_ms && report->reporter == reporter)
			return report;
		if (report->reported_ms < oldest->reported_ms)
			oldest = report;
	}
	return oldest;
}

static bool contains(const struct cm_message_tokens *tokens, uint32_t token)
{
	for (uint32_t i = 0; i < tokens->count; i++)
		if (tokens->tokens[i] == token)
			return true;
	return false;
}

/*
 * Removes the reporter's reports of servers that it no longer lists: such a
 * server has answered it, or has left.
 */
static void withdraw(struct cm_down_list *list, uint64_t reporter,
		     const struct cm_message_tokens *silent)
{
	for (int i = 0; i < CM_DOWN_LIST_MAX; i++) {
		struct cm_down_server *server = &list->items[i];

		if (!server->token || contains(silent, server->token))
			continue;
		for (int j = 0; j < CM_DOWN_REPORTERS; j++)
			if (server->reports[j].reporter == reporter)
				server->reports[j].reported_ms = 0;
	}
}

static void add_report(struct cm_down_server *server, uint64_t now_ms,
		       uint64_t reporter)
{
	struct cm_down_report *report = select_report(server, reporter);

	report->reporter = reporter;
	report->reported_ms = now_ms;
}

void cm_down_list_report(struct cm_down_list *list, uint64_t now_ms,
			 uint64_t reporter,
			 const struct cm_message_tokens *silent,
			 const struct cm_message_tokens *stalled)
{
	withdraw(list, reporter, silent);
	for (uint32_t i = 0; i < stalled->count; i++) {
		uint32_t token = stalled->tokens[i];
		struct cm_down_server *server = NULL;

		if (token && contains(silent, token))
			server = find_or_unused(list, now_ms, token);
		if (server)
			add_report(server, now_ms, reporter);
	}
}

static bool is_down(const struct cm_down_server *server, uint64_t now_ms)
{
	uint32_t recent = 0;

	for (int i = 0; i < CM_DOWN_REPORTERS; i++)
		recent += is_recent(server->reports[i].reported_ms, now_ms);
	if (cm_switched_off(CM_SWITCH_DOWN_REPORTERS))
		return server->token && recent;
	return server->token && recent == CM_DOWN_REPORTERS;
}

void cm_down_list_read(const struct cm_down_list *list, uint64_t now_ms,
		       struct cm_message_tokens *down)
{
	down->count = 0;
	for (int i = 0; i < CM_DOWN_LIST_MAX; i++)
		if (is_down(&list->items[i], now_ms))
			down->tokens[down->count++] = list->items[i].token;
}
