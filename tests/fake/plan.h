/**
 * DOC: A small deployment
 *
 * Failure domains, two services, backend servers and instances with fixed
 * names and addresses. Server i and instance i are in failure domain i modulo
 * the number of domains.
 */
#ifndef FAKE_PLAN_H
#define FAKE_PLAN_H

#include "chervilmast/member.h"
#include "chervilmast/note.h"

/** Number of services: 0 is the ledger service, 1 the statement service. */
#define FAKE_PLAN_SERVICES 2
/** Most failure domains. */
#define FAKE_PLAN_DOMAINS_MAX 6

/**
 * struct fake_plan - sizes of a deployment
 * @domains: number of failure domains
 * @instances: number of entry instances, at most 256
 * @ledger_servers: number of backend servers of the ledger service; these have
 *                  the lowest indices
 * @servers: number of all backend servers
 */
struct fake_plan {
	uint32_t domains;
	uint32_t instances;
	uint32_t ledger_servers;
	uint32_t servers;
};

/**
 * fake_plan_domain() - name of a failure domain
 * @domain: index of the domain
 *
 * Return: a static string.
 */
const char *fake_plan_domain(uint32_t domain);

/**
 * fake_plan_service() - public address of a service
 * @service: index of the service
 *
 * Return: the address.
 */
struct cm_endpoint fake_plan_service(uint32_t service);

/**
 * fake_plan_server() - specification of a backend server
 * @plan: the deployment
 * @server: index of the server
 * @spec: set to the specification
 */
void fake_plan_server(const struct fake_plan *plan, uint32_t server,
		      struct cm_server_spec *spec);

/**
 * fake_plan_note() - make the release note, version 1, that adds the deployment
 * @plan: the deployment
 * @note: memory of the caller
 */
void fake_plan_note(const struct fake_plan *plan, struct cm_note *note);

/**
 * fake_plan_member() - member record of an instance that is alive
 * @plan: the deployment
 * @instance: index of the instance, the last byte of its address
 * @member: set to the record
 */
void fake_plan_member(const struct fake_plan *plan, uint32_t instance,
		      struct cm_member *member);

#endif
