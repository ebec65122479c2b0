/**
 * DOC: Faults of the stand-in for the platform's store
 */
#ifndef STANDIN_PLATFORM_FAULT_H
#define STANDIN_PLATFORM_FAULT_H

#include <msgpack.h>
#include <stdbool.h>

/**
 * enum platform_fault - how the store handles calls; it executes them only with
 * NONE, ANSWER_LOST and SLOW
 * @PLATFORM_FAULT_NONE: executes and answers them
 * @PLATFORM_FAULT_DOWN: rejects them with status 503
 * @PLATFORM_FAULT_BUSY: rejects them with status 429
 * @PLATFORM_FAULT_COMPACTED: rejects them with status 410, as if the history
 * were compacted
 * @PLATFORM_FAULT_SILENT: closes the connection after 1 s, without an answer
 * @PLATFORM_FAULT_GARBAGE: answers with text that is not msgpack
 * @PLATFORM_FAULT_WRONG_TYPE: answers with an object whose fields have wrong
 *                             types
 * @PLATFORM_FAULT_OVERSIZE: answers with more bytes than a client accepts
 * @PLATFORM_FAULT_ANSWER_LOST: executes the call and closes the connection
 *                              without an answer
 * @PLATFORM_FAULT_SLOW: answers in four parts, 300 ms apart
 * @PLATFORM_FAULT_TRICKLE: sends an endless answer, one byte every 20 ms
 * @PLATFORM_FAULT_COUNT: number of faults
 */
enum platform_fault {
	PLATFORM_FAULT_NONE,
	PLATFORM_FAULT_DOWN,
	PLATFORM_FAULT_BUSY,
	PLATFORM_FAULT_COMPACTED,
	PLATFORM_FAULT_SILENT,
	PLATFORM_FAULT_GARBAGE,
	PLATFORM_FAULT_WRONG_TYPE,
	PLATFORM_FAULT_OVERSIZE,
	PLATFORM_FAULT_ANSWER_LOST,
	PLATFORM_FAULT_SLOW,
	PLATFORM_FAULT_TRICKLE,
	PLATFORM_FAULT_COUNT,
};

/** platform_fault_body() - write the body of the answer to a call that is not
 * executed; @body is an empty buffer */
void platform_fault_body(enum platform_fault fault, msgpack_sbuffer *body);

/** platform_fault_status() - HTTP status of the answer to a call that is not
 * executed */
unsigned int platform_fault_status(enum platform_fault fault);

/** platform_fault_executes_calls() - whether calls are executed */
bool platform_fault_executes_calls(enum platform_fault fault);

#endif
