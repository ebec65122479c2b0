#include "fake/deployment.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* 203.0.113.10 */
#define FIRST_SERVICE_ADDRESS 0xcb00710a
/* 192.0.2.10 */
#define FIRST_SERVER_ADDRESS 0xc000020a
/* 127.5.1.0 */
#define FIRST_INSTANCE_ADDRESS 0x7f050100
#define LEDGER_SLOTS 3
#define STATEMENT_SLOTS 2
#define MAX_CONNECTIONS 12
#define MAX_NEW_PER_S 60
#define COLD_START_S 3
#define IDLE_TIMEOUT_S 60

static const char *const domain_names[FAKE_DEPLOYMENT_DOMAINS_MAX] = {
	"sapporo", "asahikawa", "kushiro", "waycross", "jesup", "baxley",
};

static const char *const service_names[FAKE_DEPLOYMENT_SERVICES] = {
	"ledger",
	"statement",
};

const char *fake_deployment_domain(uint32_t domain)
{
	return domain_names[domain];
}

static const char *domain_of(const struct fake_deployment *deployment,
			     uint32_t number)
{
	return domain_names[deployment->domains ? number % deployment->domains :
						  0];
}

struct cm_endpoint fake_deployment_service(uint32_t service)
{
	struct cm_endpoint address = {
		.address = FIRST_SERVICE_ADDRESS + service,
		.port = 443,
		.protocol = IPPROTO_TCP,
	};

	return address;
}

void fake_deployment_server(const struct fake_deployment *deployment,
			    uint32_t server, struct cm_server_spec *spec)
{
	uint32_t service = server < deployment->ledger_servers ? 0 : 1;

	memset(spec, 0, sizeof(*spec));
	snprintf(spec->name, CM_NAME_SIZE, "%s-%05u", service_names[service],
		 server);
	snprintf(spec->service, CM_NAME_SIZE, "%s", service_names[service]);
	snprintf(spec->domain, CM_NAME_SIZE, "%s",
		 domain_of(deployment, server));
	spec->address.address = FIRST_SERVER_ADDRESS + server;
	spec->address.port = 8443;
	spec->address.protocol = IPPROTO_TCP;
	spec->slots = service ? STATEMENT_SLOTS : LEDGER_SLOTS;
	spec->max_connections = MAX_CONNECTIONS;
	spec->max_new_per_s = MAX_NEW_PER_S;
	spec->cold_start_s = COLD_START_S;
	spec->state = CM_SERVER_ACTIVE;
}

void fake_deployment_note(const struct fake_deployment *deployment,
			  struct cm_note *note)
{
	cm_note_init(note);
	if (!deployment->domains ||
	    cm_note_reserve(note, deployment->domains, FAKE_DEPLOYMENT_SERVICES,
			    deployment->servers))
		abort();
	note->version = 1;
	for (uint32_t i = 0; i < deployment->domains; i++)
		snprintf(note->domains[i].spec.name, CM_NAME_SIZE, "%s",
			 domain_names[i]);
	for (uint32_t i = 0; i < FAKE_DEPLOYMENT_SERVICES; i++) {
		struct cm_service_spec *spec = &note->services[i].spec;

		snprintf(spec->name, CM_NAME_SIZE, "%s", service_names[i]);
		spec->address = fake_deployment_service(i);
		spec->idle_timeout_s = IDLE_TIMEOUT_S;
	}
	for (uint32_t i = 0; i < deployment->servers; i++)
		fake_deployment_server(deployment, i, &note->servers[i].spec);
}

void fake_deployment_member(const struct fake_deployment *deployment,
			    uint32_t instance, struct cm_member *member)
{
	memset(member, 0, sizeof(*member));
	snprintf(member->name, CM_NAME_SIZE, "instance-%u", instance);
	snprintf(member->domain, CM_NAME_SIZE, "%s",
		 domain_of(deployment, instance));
	member->data_address.address = FIRST_INSTANCE_ADDRESS + instance;
	member->data_address.port = 6081;
	member->data_address.protocol = IPPROTO_UDP;
	member->control_address = member->data_address;
	member->control_address.port = 7081;
}
