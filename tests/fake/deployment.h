/**
 * DOC: A small deployment
 *
 * Failure domains, two services, backend servers and instances with fixed
 * names and addresses. Server i and instance i are in failure domain i modulo
 * the number of domains.
 */
#ifndef FAKE_DEPLOYMENT_H
#define FAKE_DEPLOYMENT_H

#include "chervilmast/member.h"
#include "chervilmast/note.h"

/** Number of services: 0 is the ledger service, 1 the statement service. */
#define FAKE_DEPLOYMENT_SERVICES 2
/** Maximum number of failure domains. */
#define FAKE_DEPLOYMENT_DOMAINS_MAX 6

/**
 * struct fake_deployment - sizes of a deployment
 * @domains: number of failure domains
 * @instances: number of entry instances, at most 256
 * @ledger_servers: number of backend servers of the ledger service; these have
 *                  the lowest indices
 * @servers: number of all backend servers
 */
struct fake_deployment {
	uint32_t domains;
	uint32_t instances;
	uint32_t ledger_servers;
	uint32_t servers;
};

/**
 * fake_deployment_domain() - name of a failure domain
 * @domain: index of the domain
 *
 * Return: a static string.
 */
const char *fake_deployment_domain(uint32_t domain);

/**
 * fake_deployment_service() - public address of a service
 * @service: index of the service
 *
 * Return: the address.
 */
struct cm_endpoint fake_deployment_service(uint32_t service);

/**
 * fake_deployment_server() - specification of a backend server
 * @deployment: the deployment
 * @server: index of the server
 * @spec: set to the specification
 */
void fake_deployment_server(const struct fake_deployment *deployment,
			    uint32_t server, struct cm_server_spec *spec);

/**
 * fake_deployment_note() - make release note version 1, which adds @deployment
 * @deployment: the deployment
 * @note: memory of the caller
 */
void fake_deployment_note(const struct fake_deployment *deployment,
			  struct cm_note *note);

/**
 * fake_deployment_member() - member record of an instance that is alive
 * @deployment: the deployment
 * @instance: index of the instance, the last byte of its address
 * @member: set to the record
 */
void fake_deployment_member(const struct fake_deployment *deployment,
			    uint32_t instance, struct cm_member *member);

#endif
