/**
 * DOC: Error codes
 *
 * Functions of the library that can fail return 0 or a negative value of enum
 * cm_error. Each error has a stable name for logs, counters and scripts.
 */
#ifndef CHERVILMAST_ERROR_H
#define CHERVILMAST_ERROR_H

/*
 * X(constant, number, stable name)
 *
 * Some errors apply to more than their stable names say: "truncated-packet",
 * "malformed-packet" and "unsupported-packet" also to messages and registry
 * items, "store-unavailable" also to peers. CM_E_PROTOCOL stands for malformed
 * or incomplete data, CM_E_PROTOCOL_DIFFERS for a backend server whose
 * transport protocol is not that of its service. CM_E_USAGE is unused.
 */
#define CM_ERRORS(X)                                             \
	X(CM_E_MEMORY, -1, "out-of-memory")                      \
	X(CM_E_IO, -2, "input-output")                           \
	X(CM_E_SYNTAX, -3, "syntax")                             \
	X(CM_E_DUPLICATE_KEY, -4, "duplicate-key")               \
	X(CM_E_UNKNOWN_KEY, -5, "unknown-key")                   \
	X(CM_E_MISSING_KEY, -6, "missing-key")                   \
	X(CM_E_WRONG_TYPE, -7, "wrong-type")                     \
	X(CM_E_OUT_OF_RANGE, -8, "out-of-range")                 \
	X(CM_E_BAD_ADDRESS, -9, "bad-address")                   \
	X(CM_E_BAD_NAME, -10, "bad-name")                        \
	X(CM_E_UNKNOWN_DOMAIN, -11, "unknown-failure-domain")    \
	X(CM_E_UNKNOWN_SERVICE, -12, "unknown-service")          \
	X(CM_E_UNKNOWN_SERVER, -13, "unknown-backend-server")    \
	X(CM_E_EXISTS, -14, "already-exists")                    \
	X(CM_E_ADDRESS_TAKEN, -15, "address-of-another-service") \
	X(CM_E_IN_USE, -16, "still-in-use")                      \
	X(CM_E_CONFLICT, -17, "conflict")                        \
	X(CM_E_UNAVAILABLE, -18, "store-unavailable")            \
	X(CM_E_TIMEOUT, -19, "timeout")                          \
	X(CM_E_PROTOCOL, -20, "protocol")                        \
	X(CM_E_TOO_LARGE, -21, "too-large")                      \
	X(CM_E_STALE, -22, "stale-version")                      \
	X(CM_E_TRUNCATED, -23, "truncated-packet")               \
	X(CM_E_MALFORMED, -24, "malformed-packet")               \
	X(CM_E_UNSUPPORTED, -25, "unsupported-packet")           \
	X(CM_E_NOT_FOUND, -26, "not-found")                      \
	X(CM_E_USAGE, -27, "usage")                              \
	X(CM_E_NO_CHANGE, -28, "changes-nothing")                \
	X(CM_E_DUPLICATE_ITEM, -29, "item-twice")                \
	X(CM_E_DUPLICATE_ENDPOINT, -30, "endpoint-twice")        \
	X(CM_E_HOST_MISMATCH, -31, "differs-from-data-address")  \
	X(CM_E_BAD_URL, -32, "bad-url")                          \
	X(CM_E_BAD_PREFIX, -33, "prefix-without-final-slash")    \
	X(CM_E_BAD_ENCODING, -34, "not-utf-8")                   \
	X(CM_E_TOO_DEEP, -35, "nested-too-deeply")               \
	X(CM_E_PROTOCOL_DIFFERS, -36, "protocol-differs")        \
	X(CM_E_BIND, -37, "cannot-bind")                         \
	X(CM_E_COMPACTED, -38, "revision-compacted")             \
	X(CM_E_OUTCOME_UNKNOWN, -39, "outcome-open")             \
	X(CM_E_CONTRADICTION, -40, "contradicting-note")         \
	X(CM_E_VERSION_GAP, -41, "note-before-is-missing")       \
	X(CM_E_INTERRUPTED, -42, "interrupted")                  \
	X(CM_E_ERA_DIFFERS, -43, "store-era-differs")            \
	X(CM_E_UNKNOWN_ROUTE, -60, "unknown-route")              \
	X(CM_E_BAD_TOKEN, -61, "bad-token")                      \
	X(CM_E_INSTANCE_UNAVAILABLE, -62, "instance-unavailable")

/**
 * enum cm_error - reason of a failure; 0 for success
 */
enum cm_error {
	CM_OK = 0,
#define CM_ERROR_ENUM(constant, number, name) constant = (number),
	CM_ERRORS(CM_ERROR_ENUM)
#undef CM_ERROR_ENUM
};

/**
 * cm_error_name() - stable name of an error
 * @error: a value of enum cm_error
 *
 * Return: a static string; "unknown" for any other number.
 */
const char *cm_error_name(int error);

#endif
