/**
 * DOC: Page that explains where a new flow would be placed
 *
 * See steer_explain.h. The query of the page is "route=ADDRESS:PORT", and
 * "&avoid=TOKEN" to explain the second SYN of a flow whose first one the server
 * with this token did not answer. TOKEN has up to eight hexadecimal digits.
 */
#ifndef DAEMON_EXPLAIN_PAGE_H
#define DAEMON_EXPLAIN_PAGE_H

#include <glib.h>

#include "chervilmast/steer_explain.h"

/** Path of the page. */
#define CM_EXPLAIN_PATH "/explain"

/**
 * cm_explain_page_render() - render the page
 * @user: the instance, a struct cm_steer
 * @query: query of the URL
 * @status: HTTP status; set to 400 for a bad query, 404 for an unknown route or
 *          token
 *
 * Return: text that the caller frees; the name of an error with the status 400
 * or 404. NULL when out of memory.
 */
char *cm_explain_page_render(const void *user, const char *query,
			     unsigned int *status);

/**
 * cm_explain_text() - write an explanation as text
 * @explanation: the explanation
 *
 * Return: text that the caller frees; one line for the route, and for each of
 * its services one line for the decision, one for each candidate and one for
 * each excluded server.
 */
char *cm_explain_text(const struct cm_explanation *explanation);

/**
 * cm_token_parse() - parse a token as logs show it
 * @token: set on success
 * @text: up to eight hexadecimal digits, not all 0
 *
 * Return: 0 or CM_E_BAD_TOKEN.
 */
int cm_token_parse(uint32_t *token, const char *text);

#endif
