#include "json_reader.h"

#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "chervilmast/error.h"

static int parse_error(enum json_error_code code)
{
	switch (code) {
	case json_error_duplicate_key:
		return CM_E_DUPLICATE_KEY;
	case json_error_invalid_utf8:
		return CM_E_BAD_ENCODING;
	case json_error_stack_overflow:
		return CM_E_TOO_DEEP;
	case json_error_numeric_overflow:
		return CM_E_OUT_OF_RANGE;
	case json_error_out_of_memory:
		return CM_E_MEMORY;
	default:
		return CM_E_SYNTAX;
	}
}

int cm_json_load_bytes(const void *bytes, size_t size, json_t **root,
		       struct cm_json_error *error)
{
	json_error_t parse;

	*root = json_loadb(bytes, size, JSON_REJECT_DUPLICATES, &parse);
	if (*root)
		return CM_OK;
	memset(error, 0, sizeof(*error));
	error->error = parse_error(json_error_code(&parse));
	error->line = parse.line;
	error->column = parse.column;
	return error->error;
}

/* Reads at most one byte more than the maximum, to detect a larger file. */
static int read_all(int fd, char *bytes, size_t *size)
{
	*size = 0;
	while (*size <= CM_JSON_FILE_SIZE_MAX) {
		ssize_t got = read(fd, bytes + *size,
				   CM_JSON_FILE_SIZE_MAX + 1 - *size);

		if (got < 0)
			return CM_E_IO;
		if (!got)
			return CM_OK;
		*size += (size_t)got;
	}
	return CM_E_TOO_LARGE;
}

int cm_json_load_file(const char *path, json_t **root,
		      struct cm_json_error *error)
{
	char *bytes = malloc(CM_JSON_FILE_SIZE_MAX + 1);
	size_t size;
	int result;
	int fd;

	if (!bytes)
		return cm_json_fail(error, NULL, NULL, CM_E_MEMORY);
	fd = open(path, O_RDONLY | O_CLOEXEC);
	result = fd < 0 ? CM_E_IO : read_all(fd, bytes, &size);
	if (fd >= 0)
		close(fd);
	if (!result)
		result = cm_json_load_bytes(bytes, size, root, error);
	else if (result == CM_E_TOO_LARGE)
		cm_json_fail_range(error, NULL, NULL, result, 0,
				   CM_JSON_FILE_SIZE_MAX);
	else
		cm_json_fail(error, NULL, NULL, result);
	free(bytes);
	return result;
}
