/**
 * DOC: Request handlers of the etcd v3 JSON mapping
 */
#ifndef STANDIN_STORE_ROUTES_H
#define STANDIN_STORE_ROUTES_H

#include <jansson.h>

#include "standin/store_service.h"

/** gRPC status codes in answers to failed requests. */
#define STANDIN_CODE_NOT_FOUND 5
#define STANDIN_CODE_FAILED_PRECONDITION 9

/**
 * struct standin_route - URL path of a request and its handler
 * @path: URL path
 * @handle: executes a request, with the lock of the store held; returns the
 *          answer, which the caller owns
 * @writes: whether the request may change the store
 */
struct standin_route {
	const char *path;
	json_t *(*handle)(struct standin_store *store, const json_t *body);
	bool writes;
};

/**
 * standin_route_find() - look up the handler of a request
 * @path: URL path
 *
 * Return: the route, or NULL when the path is unknown.
 */
const struct standin_route *standin_route_find(const char *path);

#endif
