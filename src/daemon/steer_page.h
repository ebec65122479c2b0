/**
 * DOC: Pages of an instance that steers by token
 */
#ifndef DAEMON_STEER_PAGE_H
#define DAEMON_STEER_PAGE_H

#include "adapters/http_server.h"

/** Whether the instance is ready; the user is a struct cm_steer. */
extern const struct cm_http_page cm_steer_ready_pages[];

/** Its metrics; the user is a struct cm_steer. */
extern const struct cm_http_page cm_steer_metrics_pages[];

#endif
