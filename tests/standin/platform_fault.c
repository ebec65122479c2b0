#include "standin/platform_fault.h"

#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "fake/body.h"

/* Exceeds the limit of 16 MiB that the HTTP client sets for an answer. */
#define OVERSIZE_BYTES (17 * 1024 * 1024)
#define WRONG_TYPES_JSON "{\"items\":7,\"events\":\"x\",\"as-of\":[]}"

void platform_fault_body(enum platform_fault fault, msgpack_sbuffer *body)
{
	static const char garbage[] = "<html>no msgpack</html>";

	if (fault == PLATFORM_FAULT_GARBAGE) {
		msgpack_sbuffer_write(body, garbage, strlen(garbage));
	} else if (fault == PLATFORM_FAULT_WRONG_TYPE) {
		fake_body_write_text(body, WRONG_TYPES_JSON);
	} else if (fault == PLATFORM_FAULT_OVERSIZE) {
		char *bytes = calloc(1, OVERSIZE_BYTES);

		msgpack_sbuffer_write(body, bytes, OVERSIZE_BYTES);
		free(bytes);
	} else {
		fake_body_write_text(body, "{}");
	}
}

unsigned int platform_fault_status(enum platform_fault fault)
{
	switch (fault) {
	case PLATFORM_FAULT_DOWN:
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	case PLATFORM_FAULT_BUSY:
		return MHD_HTTP_TOO_MANY_REQUESTS;
	case PLATFORM_FAULT_COMPACTED:
		return MHD_HTTP_GONE;
	default:
		return MHD_HTTP_OK;
	}
}

bool platform_fault_executes_calls(enum platform_fault fault)
{
	return fault == PLATFORM_FAULT_NONE ||
	       fault == PLATFORM_FAULT_ANSWER_LOST ||
	       fault == PLATFORM_FAULT_SLOW;
}
