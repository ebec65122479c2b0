/**
 * DOC: Choice of the backend server of a new flow
 *
 * A choice uses only the data that the instance holds; it sends no message.
 * Servers of the instance's failure domain are preferred while they answer and
 * are not clearly slower or more loaded than others. Servers of equal cost are
 * chosen in turn, so that each instance spreads its flows evenly.
 *
 * For a long flow, whose load lasts, the loads that all instances put on the
 * servers decide once they are known. All instances see the same loads, which
 * are up to a second old, so each compares only the next few servers in its own
 * order; the least loaded server of all would get the new flows of all
 * instances. For a flow with one request these loads are out of date before it
 * arrives, so they count only against a server that is clearly more loaded than
 * the others.
 */
#ifndef CHERVILMAST_STEER_CHOICE_H
#define CHERVILMAST_STEER_CHOICE_H

#include "chervilmast/steer.h"

/**
 * struct cm_choice_input - input of a choice
 * @service: service of the flow
 * @avoid_token: token of the server that did not answer the flow's last SYN; 0
 *               for none
 * @is_long: the route's flows usually carry further requests
 * @now_ms: current time, ms
 */
struct cm_choice_input {
	const char *service;
	uint32_t avoid_token;
	bool is_long;
	uint64_t now_ms;
};

/**
 * enum cm_spare_capacity - capacity that a service has left, as one instance
 * estimates it
 * @CM_CAPACITY_AVAILABLE: new flows are served without undue waiting
 * @CM_CAPACITY_LOW: the servers are full on average, assuming that all
 *                   instances have as many open flows as this one
 * @CM_CAPACITY_NONE: each compared server is full, under the same assumption
 */
enum cm_spare_capacity {
	CM_CAPACITY_AVAILABLE,
	CM_CAPACITY_LOW,
	CM_CAPACITY_NONE,
};

/**
 * cm_steer_choose() - choose a server for a new flow
 * @steer: the instance; its lock is held
 * @choice: input of the choice
 * @capacity: set to the capacity that the service has left;
 *            CM_CAPACITY_AVAILABLE when no server is eligible, even if a
 *            suspected one is returned
 *
 * Does not count the flow: call cm_steer_record_choice() once it is placed.
 *
 * Return: the server, or NULL when none may get the flow.
 */
struct cm_steer_server *cm_steer_choose(struct cm_steer *steer,
					const struct cm_choice_input *choice,
					enum cm_spare_capacity *capacity);

/**
 * cm_steer_mean_flow_ms() - mean duration of a service's recent flows, from SYN
 * to end, without failed flows
 * @steer: the instance; its lock is held
 * @service: name of the service
 *
 * Return: the mean over the usable servers, ms; 0 when no duration is known.
 */
uint32_t cm_steer_mean_flow_ms(const struct cm_steer *steer,
			       const char *service);

/**
 * cm_steer_record_choice() - record that a flow is placed on the chosen server
 * @steer: the instance; its lock is held
 * @server: the server
 * @now_ms: current time, ms
 */
void cm_steer_record_choice(struct cm_steer *steer,
			    struct cm_steer_server *server, uint64_t now_ms);

#endif
