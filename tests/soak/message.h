/**
 * DOC: Messages under way between instances, callers and backend servers
 *
 * A message is something that happens to an instance at a time. Those that go
 * over the network take random times, may be lost or come twice.
 */
#ifndef SOAK_MESSAGE_H
#define SOAK_MESSAGE_H

#include "chervilmast/node.h"
#include "fake/event_queue.h"

struct soak;

/**
 * struct soak_message - something that happens to an instance at a time
 * @due: when; must stay the first member
 * @handle: what happens
 * @instance: instance concerned
 * @other: another instance, a version or a server
 * @relay: header of a relayed packet; kind 0 from the fabric
 * @flow: flow of a binding
 * @server: server of a binding
 * @load: load of a server
 * @length: bytes of @bytes
 * @bytes: the packet
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
 * soak_message_make() - make a message
 * @handle: what happens
 * @instance: instance concerned
 * @bytes: copied; may be NULL
 * @length: bytes of @bytes
 *
 * Return: the message, which the caller pushes or transmits.
 */
struct soak_message *soak_message_make(
	void (*handle)(struct soak *soak, struct soak_message *message),
	uint32_t instance, const uint8_t *bytes, size_t length);

/**
 * soak_message_copy() - make the same message once more
 * @message: the message
 *
 * Return: the copy.
 */
struct soak_message *soak_message_copy(const struct soak_message *message);

/**
 * soak_message_push() - let a message happen later
 * @soak: the run
 * @message: the message; owned by the queue from here on
 * @delay_us: when, from now
 */
void soak_message_push(struct soak *soak, struct soak_message *message,
		       uint64_t delay_us);

/**
 * soak_message_later() - let something happen to an instance later
 * @soak: the run
 * @handle: what
 * @instance: the instance
 * @other: another instance, a version or a server
 * @delay_ms: when, from now
 */
void soak_message_later(struct soak *soak,
			void (*handle)(struct soak *soak,
				       struct soak_message *message),
			uint32_t instance, uint32_t other, uint64_t delay_ms);

/**
 * soak_message_transmit() - send a message over the network
 * @soak: the run
 * @message: the message; owned by the network from here on
 * @from: failure domain of the sender; SOAK_DOMAINS for a caller
 * @to: failure domain of the receiver; SOAK_DOMAINS for a caller
 */
void soak_message_transmit(struct soak *soak, struct soak_message *message,
			   uint32_t from, uint32_t to);

/**
 * soak_is_cut() - whether a cut takes what is sent now
 * @soak: the run
 * @from: failure domain of the sender; SOAK_DOMAINS for a caller
 * @to: failure domain of the receiver; SOAK_DOMAINS for a caller
 *
 * Return: true if so, which is also noted.
 */
bool soak_is_cut(struct soak *soak, uint32_t from, uint32_t to);

/**
 * soak_domain_at() - failure domain of an address of a packet
 * @soak: the run
 * @address: the address as the packet has it
 *
 * Return: its number; SOAK_DOMAINS for a caller.
 */
uint32_t soak_domain_at(const struct soak *soak, const uint8_t *address);

/**
 * soak_handle_to_world() - a packet reaches a caller or a backend server
 * @soak: the run
 * @message: the packet
 */
void soak_handle_to_world(struct soak *soak, struct soak_message *message);

#endif
