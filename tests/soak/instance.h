/**
 * DOC: Simulated entry instances
 */
#ifndef SOAK_INSTANCE_H
#define SOAK_INSTANCE_H

#include "soak/control.h"

/** Number of failure domains. */
#define SOAK_DOMAINS 3
/** Number of entry instances; instance i is in domain i % SOAK_DOMAINS. */
#define SOAK_INSTANCES 9

/**
 * struct soak_instance - an entry instance
 * @node: its node
 * @control: its control plane
 * @is_up: the process exists
 * @is_leaving: a graceful shutdown is in progress
 * @paused_until_ms: time until which the process is paused, ms
 * @self: its entry in the platform's list of instances
 */
struct soak_instance {
	struct cm_node node;
	struct soak_control control;
	bool is_up;
	bool is_leaving;
	uint64_t paused_until_ms;
	struct cm_member self;
};

/**
 * soak_instance_update_fabric() - schedule an update of the fabric
 * @soak: the run
 * @instance: number of the instance whose state has changed
 * @delay_ms: minimum delay until the fabric checks whether it is ready, ms
 */
void soak_instance_update_fabric(struct soak *soak, uint32_t instance,
				 uint32_t delay_ms);

/**
 * soak_instance_tick() - run the timers of an instance
 * @soak: the run
 * @number: number of the instance
 */
void soak_instance_tick(struct soak *soak, uint32_t number);

/**
 * soak_instance_add_counters() - add the counters of an instance to the sums
 * @soak: the run
 * @instance: the instance
 */
void soak_instance_add_counters(struct soak *soak,
				const struct soak_instance *instance);

/**
 * soak_instance_finish() - free the resources of a running instance
 * @soak: the run
 * @number: number of the instance
 */
void soak_instance_finish(struct soak *soak, uint32_t number);

/**
 * soak_to_instance() - send a packet from the fabric to an instance
 * @user: the run
 * @instance: number of the instance
 * @bytes: the packet
 * @length: size of @bytes
 */
void soak_to_instance(void *user, uint32_t instance, const uint8_t *bytes,
		      size_t length);

/**
 * soak_handle_start() - start the process of an instance
 * @soak: the run
 * @message: contains the number of the instance
 */
void soak_handle_start(struct soak *soak, struct soak_message *message);

/**
 * soak_handle_stop() - stop the process of an instance and schedule its restart
 * @soak: the run
 * @message: contains the number of the instance
 */
void soak_handle_stop(struct soak *soak, struct soak_message *message);

/**
 * soak_instance_is_running() - check whether an instance is running
 * @soak: the run
 * @number: number of the instance
 *
 * Return: true when its process exists and is not paused.
 */
bool soak_instance_is_running(const struct soak *soak, uint32_t number);

/**
 * soak_instance_accept_message() - accept, requeue or drop a due message
 * @soak: the run
 * @message: the message
 *
 * For a paused process, a copy of the message is queued for the end of the
 * pause. For a stopped process, the message is dropped.
 *
 * Return: true when the instance is running and must handle the message now.
 */
bool soak_instance_accept_message(struct soak *soak,
				  const struct soak_message *message);

#endif
