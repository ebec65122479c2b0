/**
 * DOC: Cost of placing a flow on a backend server
 */
#ifndef CORE_SERVER_COST_H
#define CORE_SERVER_COST_H

#include "chervilmast/steer_choice.h"

/** Cost of an idle server, to which all costs are relative, thousandths. */
#define CM_COST_IDLE 1000

/**
 * struct cm_choice_domain - state of a failure domain for a choice
 * @has_usable_server: the service has a usable server in the domain
 * @silent_count: number of its servers whose last SYN got no answer
 * @last_unanswered_ms: when the last of these SYNs was sent, ms
 */
struct cm_choice_domain {
	bool has_usable_server;
	uint32_t silent_count;
	uint64_t last_unanswered_ms;
};

/**
 * struct cm_choice_context - state that is common to all servers of a choice
 * @choice: input of the choice
 * @pool: servers of the service
 * @instances_without_server: number of instances in failure domains without a
 *                            usable server of the service; they send their
 *                            flows to all other domains
 * @domains: the failure domains, indexed as in the instance's list of domains
 */
struct cm_choice_context {
	const struct cm_choice_input *choice;
	struct cm_server_pool *pool;
	uint32_t instances_without_server;
	struct cm_choice_domain domains[CM_STEER_DOMAINS_MAX];
};

/**
 * cm_choice_context_init() - collect the state that is common to all servers
 * @context: uninitialized memory, owned by the calling function
 * @steer: the instance; its lock is held
 * @choice: input of the choice; must outlive @context
 * @pool: servers of the service; must outlive @context
 */
void cm_choice_context_init(struct cm_choice_context *context,
			    struct cm_steer *steer,
			    const struct cm_choice_input *choice,
			    struct cm_server_pool *pool);

/**
 * cm_choice_context_domain_is_suspect() - whether a failure domain may be cut
 * off
 * @context: the context
 * @steer: the instance; its lock is held
 * @domain_hash: hash of the domain's name
 *
 * When SUSPECT_DOMAIN_SILENT_MIN of its servers are silent and none of its
 * servers has answered since the last unanswered SYN, the others may not answer
 * either.
 *
 * Return: true if so.
 */
bool cm_choice_context_domain_is_suspect(
	const struct cm_choice_context *context, const struct cm_steer *steer,
	uint64_t domain_hash);

/**
 * cm_server_counts_this_instance() - whether cm_server_sending_instances()
 * counts this instance, here and at the others
 * @server: the server
 * @steer: the instance; its lock is held
 * @context: the choice
 *
 * Return: true when the server is in the instance's failure domain, or that
 * domain has no usable server of the service.
 */
bool cm_server_counts_this_instance(const struct cm_steer_server *server,
				    const struct cm_steer *steer,
				    const struct cm_choice_context *context);

/**
 * cm_server_sending_instances() - number of instances that send flows to a
 * server
 * @server: the server
 * @steer: the instance; its lock is held
 * @context: the context
 *
 * Return: the number, this instance included; not 0.
 */
uint32_t cm_server_sending_instances(const struct cm_steer_server *server,
				     const struct cm_steer *steer,
				     const struct cm_choice_context *context);

/**
 * cm_server_is_full() - whether a server has as many flows as it can serve
 * without a long wait
 * @server: the server
 * @steer: the instance; its lock is held
 * @context: the context
 *
 * Return: true if so, assuming that each instance sends it as many flows as
 * this one.
 */
bool cm_server_is_full(const struct cm_steer_server *server,
		       const struct cm_steer *steer,
		       const struct cm_choice_context *context);

/**
 * cm_choice_context_is_busy() - whether the service has as many flows as it can
 * serve without a long wait
 * @context: the context
 * @steer: the instance; its lock is held
 *
 * In a large fleet an instance has less than one open flow per server, too few
 * for cm_server_is_full(), so this counts its flows at all servers together.
 *
 * Return: true if so, assuming that each instance has as many flows as this
 * one.
 */
bool cm_choice_context_is_busy(const struct cm_choice_context *context,
			       const struct cm_steer *steer);

/**
 * cm_choice_context_uses_loads() - whether the loads that all instances put on
 * the servers decide
 * @context: the context
 *
 * Return: true for a long flow when they are known of most usable servers of
 * the instance's failure domain.
 */
bool cm_choice_context_uses_loads(const struct cm_choice_context *context);

/**
 * cm_server_cost() - cost of placing the flow on a server
 * @server: the server
 * @steer: the instance; its lock is held
 * @context: the context
 *
 * Return: the cost, thousandths of the cost of an idle server in the instance's
 * failure domain.
 */
uint64_t cm_server_cost(const struct cm_steer_server *server,
			const struct cm_steer *steer,
			const struct cm_choice_context *context);

/**
 * cm_group_least_cost() - lower bound of the cost of a server in a group
 * @group: the group
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 *
 * Return: the cost, in the unit of cm_server_cost().
 */
uint64_t cm_group_least_cost(const struct cm_server_group *group,
			     const struct cm_steer *steer, uint64_t now_ms);

#endif
