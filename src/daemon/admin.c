#include "admin.h"

#include "admin_page.h"
#include "ports/clock.h"

int cm_admin_init(struct cm_admin *admin, struct cm_node *node,
		  const struct cm_settings *settings)
{
	const struct cm_http_site site = {
		.address = settings->admin,
		.pages = cm_admin_pages,
		.user = admin,
	};

	admin->node = node;
	admin->settings = settings;
	admin->started_ms = cm_clock_ms();
	return cm_http_server_init(&admin->server, &site, 1);
}

uint16_t cm_admin_port(const struct cm_admin *admin)
{
	return cm_http_server_port(&admin->server, 0);
}

void cm_admin_finish(struct cm_admin *admin)
{
	cm_http_server_finish(&admin->server);
}
