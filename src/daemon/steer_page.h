/**
 * DOC: HTTP pages of an instance that steers by token
 */
#ifndef DAEMON_STEER_PAGE_H
#define DAEMON_STEER_PAGE_H

#include "adapters/http_server.h"

/** Readiness page; the user of its site is a struct cm_steer. */
extern const struct cm_http_page cm_steer_ready_pages[];

/** Pages with the metrics and with explanations of placements; the user of
 * their site is a struct cm_steer. */
extern const struct cm_http_page cm_steer_metrics_pages[];

#endif
