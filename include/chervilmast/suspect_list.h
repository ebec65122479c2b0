/**
 * DOC: What the nodes of a failure domain suspect
 *
 * The source of a failure domain collects which backend servers its followers
 * suspect, and tells all of them. A word that is not repeated is forgotten.
 */
#ifndef CHERVILMAST_SUSPECT_LIST_H
#define CHERVILMAST_SUSPECT_LIST_H

#include <stdint.h>

/** Most servers that are remembered. */
#define CM_SUSPECT_LIST_MAX 64
/** Time for which a word holds, ms. */
#define CM_SUSPECT_HOLDS_MS 1500

/**
 * struct cm_suspect - a server that is suspected
 * @token: its token; 0 for a free place
 * @told_ms: when a node last said so
 */
struct cm_suspect {
	uint32_t token;
	uint64_t told_ms;
};

/**
 * struct cm_suspect_list - servers that are suspected
 * @items: the servers
 */
struct cm_suspect_list {
	struct cm_suspect items[CM_SUSPECT_LIST_MAX];
};

/**
 * cm_suspect_list_add() - a node suspects servers
 * @list: the list; zeroed at first
 * @now_ms: current time
 * @tokens: tokens of the servers
 * @count: number of @tokens
 */
void cm_suspect_list_add(struct cm_suspect_list *list, uint64_t now_ms,
			 const uint32_t *tokens, uint32_t count);

/**
 * cm_suspect_list_read() - servers that are suspected now
 * @list: the list
 * @now_ms: current time
 * @tokens: set to their tokens; room for CM_SUSPECT_LIST_MAX
 *
 * Return: number of @tokens.
 */
uint32_t cm_suspect_list_read(const struct cm_suspect_list *list,
			      uint64_t now_ms, uint32_t *tokens);

#endif
