/**
 * DOC: Backend servers suspected by the instances of a failure domain
 *
 * The source of a failure domain (see feed_choice.h) collects the other
 * instances' reports of suspected backend servers and sends the list to all of
 * them. A report expires unless it is repeated.
 */
#ifndef CHERVILMAST_SUSPECT_LIST_H
#define CHERVILMAST_SUSPECT_LIST_H

#include <stdint.h>

/** Maximum number of servers in the list. */
#define CM_SUSPECT_LIST_MAX 64
/** Validity of a report, ms. */
#define CM_SUSPECT_TTL_MS 1500

/**
 * struct cm_suspect - a suspected server
 * @token: its token; 0 for a free entry
 * @reported_ms: time of the last report, ms
 */
struct cm_suspect {
	uint32_t token;
	uint64_t reported_ms;
};

/**
 * struct cm_suspect_list - suspected servers
 * @items: the servers
 */
struct cm_suspect_list {
	struct cm_suspect items[CM_SUSPECT_LIST_MAX];
};

/**
 * cm_suspect_list_add() - add an instance's report; servers for which there is
 * no room are left out
 * @list: the list; zeroed before first use
 * @now_ms: current time, ms
 * @tokens: tokens of the servers
 * @count: number of @tokens
 */
void cm_suspect_list_add(struct cm_suspect_list *list, uint64_t now_ms,
			 const uint32_t *tokens, uint32_t count);

/**
 * cm_suspect_list_read() - list the servers that are suspected now
 * @list: the list
 * @now_ms: current time, ms
 * @tokens: set to their tokens; room for CM_SUSPECT_LIST_MAX
 *
 * Return: number of @tokens.
 */
uint32_t cm_suspect_list_read(const struct cm_suspect_list *list,
			      uint64_t now_ms, uint32_t *tokens);

#endif
