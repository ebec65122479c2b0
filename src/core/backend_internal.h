/**
 * DOC: Admission to a backend server, internal interface
 *
 * Shared by backend.c (lifecycle, answers and reports of the server),
 * backend_admit.c (the admission decision) and backend_takeover.c (connections
 * that other homes admitted); see chervilmast/backend.h. The calling function
 * holds the lock of the struct cm_backend.
 */
#ifndef CORE_BACKEND_INTERNAL_H
#define CORE_BACKEND_INTERNAL_H

#include "chervilmast/backend.h"

#define CM_MS_PER_S 1000
/**
 * Number of tokens that one new connection costs. A server with a rate of 1
 * connection/s and a share of 1 % gains 1 token per ms.
 */
#define CM_ADMIT_TOKENS (CM_MS_PER_S * CM_FULL_PERCENT)

/**
 * cm_backend_burst_tokens() - capacity of the token bucket
 * @spec: the server's settings in force
 *
 * Return: the capacity, tokens; at least the cost of one connection.
 */
uint64_t cm_backend_burst_tokens(const struct cm_server_spec *spec);

/**
 * cm_backend_share_percent() - share of its rate and cap that a server is given
 * @backend: the backend
 * @spec: the server's settings in force
 * @now_ms: current time
 *
 * Return: the lower of the shares that the ramp and the server's own report
 * allow, %.
 */
uint32_t cm_backend_share_percent(const struct cm_backend *backend,
				  const struct cm_server_spec *spec,
				  uint64_t now_ms);

/**
 * cm_backend_would_admit() - whether one more connection would be admitted
 * @backend: the backend; its tokens are refilled
 * @spec: the server's settings in force
 * @now_ms: current time
 * @refusal: set if the connection would be refused, else unchanged
 *
 * Return: true if the connection would be admitted.
 */
bool cm_backend_would_admit(struct cm_backend *backend,
			    const struct cm_server_spec *spec, uint64_t now_ms,
			    struct cm_admission_refusal *refusal);

/**
 * cm_backend_begin_cold_start() - begin a cold start
 * @backend: the backend
 * @now_ms: current time
 */
void cm_backend_begin_cold_start(struct cm_backend *backend, uint64_t now_ms);

/**
 * cm_backend_inherited() - connections that an old home may still hold
 * @backend: the backend
 * @now_ms: current time
 *
 * Return: their number, which counts against the server's cap.
 */
uint32_t cm_backend_inherited(const struct cm_backend *backend,
			      uint64_t now_ms);

#endif
