#include "soak/message.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "soak/soak.h"

#define SAME_DOMAIN_LATENCY_US 200
#define CROSS_DOMAIN_LATENCY_US 1500
#define CALLER_LATENCY_US 3000
#define JITTER_MAX_US 1000
#define SLOW_EXTRA_MAX_US 30000
/* Maximum delay of a duplicated packet to an instance. */
#define DUPLICATE_DELAY_MAX_US 2000000
/*
 * Maximum delay of a duplicated packet to a caller or server. An instance
 * cannot recall a sent packet, so SOAK_NOTE_EFFECT_MAX_MS has to cover this
 * delay.
 */
#define DUPLICATE_OUT_DELAY_MAX_US 500000
#define SLOW_PERMILLE 20
#define DUPLICATE_PERMILLE 3
#define LOST_PERMILLE 1
#define PERMILLE 1000

struct soak_message *soak_message_make(
	void (*handle)(struct soak *soak, struct soak_message *message),
	uint32_t instance, const uint8_t *bytes, size_t length)
{
	struct soak_message *message = calloc(1, sizeof(*message) + length);

	if (!message)
		abort();
	message->handle = handle;
	message->instance = instance;
	message->length = length;
	if (length)
		memcpy(message->bytes, bytes, length);
	return message;
}

struct soak_message *soak_message_copy(const struct soak_message *message)
{
	size_t size = sizeof(*message) + message->length;
	struct soak_message *copy = malloc(size);

	if (!copy)
		abort();
	memcpy(copy, message, size);
	return copy;
}

void soak_message_push(struct soak *soak, struct soak_message *message,
		       uint64_t delay_us)
{
	fake_event_queue_add(&soak->queue, &message->due,
			     soak->now_us + delay_us);
}

void soak_message_schedule(struct soak *soak,
			   void (*handle)(struct soak *soak,
					  struct soak_message *message),
			   uint32_t instance, uint32_t other, uint64_t delay_ms)
{
	struct soak_message *message =
		soak_message_make(handle, instance, NULL, 0);

	message->other = other;
	soak_message_push(soak, message, delay_ms * SOAK_US_PER_MS);
}

uint32_t soak_domain_of_address(const struct soak *soak, const uint8_t *address)
{
	uint32_t word;

	memcpy(&word, address, sizeof(word));
	for (uint32_t i = 0; i < SOAK_SERVERS; i++)
		if (soak->operators.servers[i].address.address == ntohl(word))
			return i % SOAK_DOMAINS;
	return SOAK_DOMAINS;
}

bool soak_is_cut(struct soak *soak, uint32_t from, uint32_t to)
{
	if (from == SOAK_DOMAINS || to == SOAK_DOMAINS || !soak->cut[from][to])
		return false;
	soak->last_cut_loss_ms = soak_now_ms(soak);
	return true;
}

static uint64_t latency_us(struct soak *soak, uint32_t from, uint32_t to)
{
	uint64_t us = soak_random_below(soak, JITTER_MAX_US);

	if (from == SOAK_DOMAINS || to == SOAK_DOMAINS)
		us += CALLER_LATENCY_US;
	else
		us += from == to ? SAME_DOMAIN_LATENCY_US :
				   CROSS_DOMAIN_LATENCY_US;
	if (soak_random_below(soak, PERMILLE) < SLOW_PERMILLE)
		us += soak_random_below(soak, SLOW_EXTRA_MAX_US);
	return us;
}

void soak_handle_to_world(struct soak *soak, struct soak_message *message)
{
	fake_world_receive_from_instance(&soak->world, message->bytes,
					 message->length);
}

void soak_message_transmit(struct soak *soak, struct soak_message *message,
			   uint32_t from, uint32_t to)
{
	if (soak_is_cut(soak, from, to) ||
	    soak_random_below(soak, PERMILLE) < LOST_PERMILLE) {
		free(message);
		return;
	}
	if (soak_random_below(soak, PERMILLE) < DUPLICATE_PERMILLE)
		soak_message_push(
			soak, soak_message_copy(message),
			soak_random_below(
				soak, message->handle == soak_handle_to_world ?
					      DUPLICATE_OUT_DELAY_MAX_US :
					      DUPLICATE_DELAY_MAX_US));
	soak_message_push(soak, message, latency_us(soak, from, to));
}
