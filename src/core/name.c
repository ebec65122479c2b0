#include "chervilmast/name.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/** Size of a digest in hexadecimal digits with the dot before it, bytes. */
#define DIGEST_SIZE 17
/** Maximum number of bytes of a long name that are stored. */
#define PREFIX_SIZE (CM_NAME_SIZE - 1 - DIGEST_SIZE)

/* Return: whether the byte continues a character in UTF-8. */
static bool is_continuation(char byte)
{
	return ((unsigned char)byte & 0xc0) == 0x80;
}

/* Return: size of the prefix, which ends with a whole character. */
static size_t prefix_size(const char *text)
{
	size_t size = PREFIX_SIZE;

	while (size && is_continuation(text[size]))
		size--;
	return size;
}

void cm_name_set(char *name, const char *text, size_t size)
{
	size_t kept = size < CM_NAME_SIZE ? size : prefix_size(text);

	memset(name, 0, CM_NAME_SIZE);
	/* An empty text may be NULL. */
	if (kept)
		memcpy(name, text, kept);
	if (size >= CM_NAME_SIZE)
		snprintf(name + kept, CM_NAME_SIZE - kept, ".%016llx",
			 (unsigned long long)XXH3_64bits(text, size));
}

bool cm_name_equal(const char *a, const char *b)
{
	return strncmp(a, b, CM_NAME_SIZE) == 0;
}
