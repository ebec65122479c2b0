/**
 * DOC: Messages and scheduled events of a run
 *
 * The handler of a message is called when the virtual time reaches the due time
 * of the message. Messages sent over the simulated network have random
 * latencies and may be lost or duplicated.
 */
#ifndef SOAK_MESSAGE_H
#define SOAK_MESSAGE_H

#include "chervilmast/node.h"
#include "fake/event_queue.h"

struct soak;

/**
 * struct soak_message - a message or scheduled event
 * @due: entry in the queue; must stay the first member
 * @handle: handler
 * @instance: number of the instance that the handler applies to
 * @other: sending instance, backend server, failure domain or fault number,
 *         depending on the handler
 * @relay: header of a relayed packet; its kind is 0 for a packet of the fabric
 * @flow: flow of a binding
 * @server: server of a binding
 * @load: load of a server
 * @length: size of @bytes
 * @bytes: packet or encoded control message
 */
struct soak_message {
	struct fake_event due;
	void (*handle)(struct soak *soak, struct soak_message *message);
	uint32_t instance;
	uint32_t other;
	struct cm_relay relay;
	struct cm_flow_key flow;
	struct cm_endpoint server;
	struct cm_message_load load;
	size_t length;
	uint8_t bytes[];
};

/**
 * soak_message_make() - allocate a message
 * @handle: handler
 * @instance: number of the instance that the handler applies to
 * @bytes: payload, which is copied; NULL when @length is 0
 * @length: size of @bytes
 *
 * Return: the message; the caller passes it to soak_message_push() or
 * soak_message_transmit().
 */
struct soak_message *soak_message_make(
	void (*handle)(struct soak *soak, struct soak_message *message),
	uint32_t instance, const uint8_t *bytes, size_t length);

/**
 * soak_message_copy() - copy a message
 * @message: the message
 *
 * Return: the copy.
 */
struct soak_message *soak_message_copy(const struct soak_message *message);

/**
 * soak_message_push() - queue a message
 * @soak: the run
 * @message: the message; the queue takes ownership
 * @delay_us: delay from now, us
 */
void soak_message_push(struct soak *soak, struct soak_message *message,
		       uint64_t delay_us);

/**
 * soak_message_schedule() - schedule an event
 * @soak: the run
 * @handle: handler
 * @instance: number of the instance that the handler applies to
 * @other: second argument, see struct soak_message
 * @delay_ms: delay from now, ms
 */
void soak_message_schedule(struct soak *soak,
			   void (*handle)(struct soak *soak,
					  struct soak_message *message),
			   uint32_t instance, uint32_t other,
			   uint64_t delay_ms);

/**
 * soak_message_transmit() - send a message over the simulated network
 * @soak: the run
 * @message: the message; the network takes ownership
 * @from: failure domain of the sender; SOAK_DOMAINS for a caller
 * @to: failure domain of the receiver; SOAK_DOMAINS for a caller
 */
void soak_message_transmit(struct soak *soak, struct soak_message *message,
			   uint32_t from, uint32_t to);

/**
 * soak_is_cut() - check whether a cut drops a packet sent now
 * @soak: the run
 * @from: failure domain of the sender; SOAK_DOMAINS for a caller
 * @to: failure domain of the receiver; SOAK_DOMAINS for a caller
 *
 * Records the time of the loss in @soak. Cuts drop no packets of callers.
 *
 * Return: true when the packet is lost.
 */
bool soak_is_cut(struct soak *soak, uint32_t from, uint32_t to);

/**
 * soak_domain_of_address() - look up the failure domain of an address
 * @soak: the run
 * @address: address in network byte order
 *
 * Return: the number of the domain; SOAK_DOMAINS for a caller.
 */
uint32_t soak_domain_of_address(const struct soak *soak,
				const uint8_t *address);

/**
 * soak_handle_to_world() - deliver a packet to a caller or a backend server
 * @soak: the run
 * @message: the packet
 */
void soak_handle_to_world(struct soak *soak, struct soak_message *message);

#endif
