/**
 * DOC: Marked servers in a list of tokens
 *
 * ITEMS_REQUEST and ITEMS mark some of the suspected servers that they list.
 * Instances of earlier versions reject messages with further elements, so a
 * marked token is listed a second time, after all tokens: an instance that
 * doesn't know the marks handles the token twice, with the same effect.
 */
#ifndef CHERVILMAST_TOKEN_MARKS_H
#define CHERVILMAST_TOKEN_MARKS_H

#include "chervilmast/message_items.h"

/**
 * cm_token_marks_add() - add marks to a list
 * @tokens: the list, without marks
 * @marked: tokens to mark; those that are not in the list or for which it has
 *          no room are left out
 *
 * One element is left free for other marks.
 */
void cm_token_marks_add(struct cm_message_tokens *tokens,
			const struct cm_message_tokens *marked);

/**
 * cm_token_marks_take() - remove the marks from a list
 * @tokens: the list; the first of equal tokens is kept
 * @marked: set to the marked tokens
 */
void cm_token_marks_take(struct cm_message_tokens *tokens,
			 struct cm_message_tokens *marked);

#endif
