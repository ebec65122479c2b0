/**
 * DOC: What the stand-in of the users' store does to calls
 */
#ifndef STANDIN_PLATFORM_FAULT_H
#define STANDIN_PLATFORM_FAULT_H

#include <msgpack.h>
#include <stdbool.h>

/**
 * enum platform_fault - what the store does to calls
 * @PLATFORM_FAULT_NONE: answers them
 * @PLATFORM_FAULT_DOWN: 503
 * @PLATFORM_FAULT_BUSY: 429
 * @PLATFORM_FAULT_GONE: 410, as the history is gone
 * @PLATFORM_FAULT_SILENT: no answer
 * @PLATFORM_FAULT_GARBAGE: text that is no body
 * @PLATFORM_FAULT_WRONG_TYPE: an object without the fields of the answer
 * @PLATFORM_FAULT_OVERSIZE: more bytes than any answer has
 * @PLATFORM_FAULT_LOST: carries the call out and answers nothing
 * @PLATFORM_FAULT_SLOW: answers in four parts, 300 ms apart
 * @PLATFORM_FAULT_TRICKLE: answers without end, a byte every 20 ms
 * @PLATFORM_FAULT_COUNT: number of faults
 */
enum platform_fault {
	PLATFORM_FAULT_NONE,
	PLATFORM_FAULT_DOWN,
	PLATFORM_FAULT_BUSY,
	PLATFORM_FAULT_GONE,
	PLATFORM_FAULT_SILENT,
	PLATFORM_FAULT_GARBAGE,
	PLATFORM_FAULT_WRONG_TYPE,
	PLATFORM_FAULT_OVERSIZE,
	PLATFORM_FAULT_LOST,
	PLATFORM_FAULT_SLOW,
	PLATFORM_FAULT_TRICKLE,
	PLATFORM_FAULT_COUNT,
};

/** platform_fault_body() - body of the answer to a call that is not carried
 * out;
 * @body is an empty buffer */
void platform_fault_body(enum platform_fault fault, msgpack_sbuffer *body);

/** platform_fault_status() - status of that answer */
unsigned int platform_fault_status(enum platform_fault fault);

/** platform_fault_is_carried_out() - whether calls are carried out */
bool platform_fault_is_carried_out(enum platform_fault fault);

#endif
