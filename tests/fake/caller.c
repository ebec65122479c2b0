#include "fake/world.h"

#include <string.h>

#define FIRST_PORT 1024
#define LAST_PORT 65000
#define REQUEST_PAUSE_MAX_MS 40
#define REQUEST_TIMEOUT_MS 15000
#define SHORT_ANSWER_BYTES_MAX 4000
#define LONG_ANSWER_BYTES_MAX 500000
#define PERCENT 100

static struct fake_caller *caller_of(struct fake_tcp_end *end)
{
	return (struct fake_caller *)end;
}

static void caller_output(struct fake_tcp_end *end, const uint8_t *bytes,
			  size_t length)
{
	fake_world_send_to_any_instance(caller_of(end)->world, bytes, length);
}

static void caller_end_request(struct fake_caller *caller, uint64_t *total)
{
	(*total)++;
	caller->is_busy = false;
	caller->next_request_ms =
		caller->world->now_ms +
		fake_random_below(&caller->world->random, REQUEST_PAUSE_MAX_MS);
}

static void caller_fail_request(struct fake_caller *caller,
				enum fake_failure failure)
{
	struct fake_world *world = caller->world;

	if (world->failed)
		world->failed(world->user, caller, failure);
	caller_end_request(caller, failure == FAKE_FAILURE_DOMAIN_OUT ?
					   &world->totals.given_up :
					   &world->totals.broken);
}

static void caller_abort(struct fake_caller *caller, enum fake_failure failure)
{
	caller_fail_request(caller, failure);
	fake_tcp_end_abort(&caller->end);
}

static bool body_is_valid(struct fake_caller *caller, const uint8_t *bytes,
			  size_t length)
{
	size_t at = caller->received - sizeof(caller->header);

	for (size_t i = 0; i < length; i++)
		if (bytes[i] != fake_answer_byte(&caller->request, at + i))
			return false;
	return true;
}

static bool header_is_valid(struct fake_caller *caller)
{
	if (caller->header.service != caller->request.service)
		caller->world->totals.wrong_service++;
	return !memcmp(&caller->header, &caller->request,
		       sizeof(caller->header));
}

static void caller_receive(struct fake_tcp_end *end, const uint8_t *bytes,
			   size_t length)
{
	struct fake_caller *caller = caller_of(end);
	size_t whole_size =
		sizeof(caller->header) + caller->request.answer_size;
	size_t head = 0;

	if (!caller->is_busy)
		return;
	if (caller->received < sizeof(caller->header)) {
		head = sizeof(caller->header) - caller->received;
		if (head > length)
			head = length;
		memcpy((char *)&caller->header + caller->received, bytes, head);
		caller->received += head;
		if (caller->received == sizeof(caller->header) &&
		    !header_is_valid(caller)) {
			caller_abort(caller, FAKE_FAILURE_WRONG_ANSWER);
			return;
		}
	}
	if (caller->received + length - head > whole_size ||
	    !body_is_valid(caller, bytes + head, length - head)) {
		caller_abort(caller, FAKE_FAILURE_WRONG_ANSWER);
		return;
	}
	caller->received += length - head;
	if (caller->received == whole_size) {
		caller_end_request(caller, &caller->world->totals.answered);
		fake_tcp_end_close(end, caller->world->now_ms);
	}
}

static void caller_finished(struct fake_tcp_end *end)
{
	struct fake_caller *caller = caller_of(end);

	if (caller->is_busy)
		caller_abort(caller, FAKE_FAILURE_CLOSED_EARLY);
}

static void caller_reset(struct fake_tcp_end *end, const char *text)
{
	struct fake_caller *caller = caller_of(end);
	struct fake_world *world = caller->world;

	if (!caller->is_busy)
		return;
	if (strstr(text, "not-run=1")) {
		world->refused_not_run[caller->request.id] = 1;
		caller_end_request(caller, &world->totals.refused_not_run);
	} else if (strstr(text, "refused=failure-domain-out")) {
		caller_fail_request(caller, FAKE_FAILURE_DOMAIN_OUT);
	} else {
		caller_fail_request(caller, FAKE_FAILURE_RESET);
	}
}

static const struct fake_tcp_end_ops caller_ops = {
	.output = caller_output,
	.receive = caller_receive,
	.peer_closed = caller_finished,
	.reset = caller_reset,
};

void fake_caller_init(struct fake_caller *caller, struct fake_world *world,
		      const struct cm_endpoint *address)
{
	caller->world = world;
	caller->address = *address;
	caller->end.ops = &caller_ops;
	caller->next_request_ms =
		world->now_ms +
		fake_random_below(&world->random, REQUEST_PAUSE_MAX_MS);
}

static void begin_request(struct fake_caller *caller)
{
	struct fake_world *world = caller->world;
	uint32_t service =
		fake_random_below(&world->random, world->service_count);
	bool is_long = fake_random_below(&world->random, PERCENT) <
		       world->long_answer_percent;

	fake_tcp_end_finish(&caller->end);
	memset(&caller->end, 0, sizeof(caller->end));
	caller->end.ops = &caller_ops;
	caller->request.id = world->next_id++;
	caller->request.service = world->services[service].address;
	caller->request.answer_size =
		1 + fake_random_below(&world->random,
				      is_long ? LONG_ANSWER_BYTES_MAX :
						SHORT_ANSWER_BYTES_MAX);
	caller->received = 0;
	caller->is_busy = true;
	caller->is_server_lost = false;
	caller->begun_ms = world->now_ms;
	caller->deadline_ms = world->now_ms + REQUEST_TIMEOUT_MS;
	if (++caller->address.port > LAST_PORT)
		caller->address.port = FIRST_PORT;
	world->totals.requests++;
	fake_tcp_end_connect(
		&caller->end, &caller->address, &world->services[service],
		(uint32_t)fake_random_next(&world->random), world->now_ms);
	fake_tcp_end_send(&caller->end, (const uint8_t *)&caller->request,
			  sizeof(caller->request), world->now_ms);
}

void fake_caller_tick(struct fake_caller *caller)
{
	struct fake_world *world = caller->world;

	fake_tcp_end_tick(&caller->end, world->now_ms);
	if (caller->is_busy && world->now_ms >= caller->deadline_ms) {
		caller_abort(caller, FAKE_FAILURE_DEADLINE);
		return;
	}
	if (caller->is_busy || world->is_stopping ||
	    world->next_id >= FAKE_REQUESTS_MAX ||
	    world->now_ms < caller->next_request_ms)
		return;
	/* The next request begins when the old connection is closed, or
	 * REQUEST_TIMEOUT_MS after next_request_ms even if it is not. */
	if (fake_tcp_end_is_closed(&caller->end) ||
	    world->now_ms >= caller->next_request_ms + REQUEST_TIMEOUT_MS)
		begin_request(caller);
}

/* RFC 9293, 3.10.7.1: a segment without a connection is answered by RST. */
void fake_caller_input(struct fake_caller *caller,
		       const struct cm_packet *packet)
{
	struct cm_built_packet built;

	if (caller->end.state != FAKE_CLOSED &&
	    cm_endpoint_equal(&caller->end.local, &packet->destination) &&
	    cm_endpoint_equal(&caller->end.remote, &packet->source)) {
		fake_tcp_end_input(&caller->end, packet, caller->world->now_ms);
		return;
	}
	if (packet->flags & CM_TCP_RST)
		return;
	cm_packet_build_answer_reset(&built, packet, NULL);
	fake_world_send_to_any_instance(caller->world, built.bytes,
					built.length);
}
