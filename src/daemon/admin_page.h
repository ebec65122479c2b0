/**
 * DOC: HTTP pages of the admin port
 */
#ifndef DAEMON_ADMIN_PAGE_H
#define DAEMON_ADMIN_PAGE_H

#include "adapters/http_server.h"

/** The pages; the user of a site that serves them is a struct cm_admin. */
extern const struct cm_http_page cm_admin_pages[];

#endif
