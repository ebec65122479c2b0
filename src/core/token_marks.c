#include "chervilmast/token_marks.h"

/** Maximum length of a list with marks; leaves one element for other marks. */
#define MARKED_MAX (CM_MESSAGE_TOKENS_MAX - 1)

static bool contains(const struct cm_message_tokens *tokens, uint32_t count,
		     uint32_t token)
{
	for (uint32_t i = 0; i < count; i++)
		if (tokens->tokens[i] == token)
			return true;
	return false;
}

void cm_token_marks_add(struct cm_message_tokens *tokens,
			const struct cm_message_tokens *marked)
{
	uint32_t unmarked = tokens->count;

	for (uint32_t i = 0; i < marked->count && tokens->count < MARKED_MAX;
	     i++)
		if (contains(tokens, unmarked, marked->tokens[i]))
			tokens->tokens[tokens->count++] = marked->tokens[i];
}

void cm_token_marks_take(struct cm_message_tokens *tokens,
			 struct cm_message_tokens *marked)
{
	uint32_t kept = 0;

	marked->count = 0;
	for (uint32_t i = 0; i < tokens->count; i++) {
		uint32_t token = tokens->tokens[i];

		if (!contains(tokens, kept, token))
			tokens->tokens[kept++] = token;
		else if (token && !contains(marked, marked->count, token))
			marked->tokens[marked->count++] = token;
	}
	tokens->count = kept;
}
