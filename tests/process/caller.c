#include "process/process.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define CALLER_GROUP 20
#define SERVICE_GROUP 30
#define SERVICE_PORT 443
#define CALLS_MAX 512
#define FIRST_PORT 1024
#define PORTS 60000
#define CALLER_CHECKSUM 0xca11
#define FIRST_SYN_RETRANSMIT_MS 200
#define SECOND_SYN_RETRANSMIT_MS 600
#define ATTEMPT_TIMEOUT_MS 1400
#define REQUEST_TIMEOUT_MS 4000
/** On average, one of this many calls pauses before it sends its request. */
#define PAUSES_ONE_IN 16
#define FLOW_PAUSE_MS 2200
#define RETRIES 3
#define RETRY_DELAY_MS 30
#define RESEND_MIN_MS 200
#define RESEND_MAX_MS 1600
#define PER_MILLE 1000

enum state { FREE, RETRY_WAIT, OPENING, OPEN };

/**
 * struct call - a request in progress
 * @began_ms: start of the first attempt
 * @attempt_ms: start of the current attempt; in state RETRY_WAIT, time at which
 *              the next attempt starts
 * @resend_ms: time at which the request is sent or retransmitted
 * @resend_interval_ms: current retransmission interval
 * @flow_pause_ms: pause from the open of the flow to the request; 0 for none
 * @state: state of the current attempt
 * @request: number of the request
 * @domain: failure domain of the caller
 * @attempts: number of attempts so far
 * @syn_retransmissions: number of SYN retransmissions in the current attempt
 * @seq: sequence number of the caller
 * @server_seq: initial sequence number of the server
 * @token: token of the last packet received
 * @port: source port
 * @is_idempotent: the request may be executed more than once
 */
struct call {
	uint64_t began_ms;
	uint64_t attempt_ms;
	uint64_t resend_ms;
	uint64_t resend_interval_ms;
	uint64_t flow_pause_ms;
	enum state state;
	uint32_t request;
	int domain;
	uint32_t attempts;
	uint32_t syn_retransmissions;
	uint32_t seq;
	uint32_t server_seq;
	uint32_t token;
	uint16_t port;
	bool is_idempotent;
};

static struct call calls[CALLS_MAX];
static struct fake_random *rng;
static int fd;
static struct sockaddr_in self, service;
static uint32_t next_request, next_port;
static unsigned int loss_per_mille;
static struct callers_result result;

void callers_start(struct fake_random *random)
{
	rng = random;
	self = address(CALLER_GROUP, 1, PROCESS_PACKET_PORT);
	service = address(SERVICE_GROUP, 1, SERVICE_PORT);
	fd = udp_open(&self);
}

int callers_fd(void)
{
	return fd;
}

void callers_set_loss(unsigned int per_mille)
{
	loss_per_mille = per_mille;
}

struct callers_result callers_result(void)
{
	return result;
}

bool callers_are_done(void)
{
	for (int i = 0; i < CALLS_MAX; i++)
		if (calls[i].state != FREE)
			return false;
	return true;
}

static bool is_lost(void)
{
	return loss_per_mille &&
	       fake_random_below(rng, PER_MILLE) < loss_per_mille;
}

/*
 * Chooses by a hash of the port among the ready instances of the caller's
 * domain, or among those of all domains when that domain has none. Chooses an
 * instance of the caller's domain when no instance is ready.
 */
static int choose_instance(const struct call *call)
{
	int first = call->domain * PROCESS_INSTANCES_PER_DOMAIN;
	int usable[PROCESS_ALL_INSTANCES];
	int count = 0;

	for (int i = first; i < first + PROCESS_INSTANCES_PER_DOMAIN; i++)
		if (instance_is_ready(i))
			usable[count++] = i;
	for (int i = 0; !count && i < PROCESS_ALL_INSTANCES; i++)
		if (instance_is_ready(i))
			usable[count++] = i;
	if (!count)
		return first + call->port % PROCESS_INSTANCES_PER_DOMAIN;
	return usable[call->port * 2654435761U % (unsigned int)count];
}

static void send_call(const struct call *call, uint8_t flags, uint32_t ack,
		      bool with_data)
{
	struct packet packet = {
		.flags = flags,
		.checksum = CALLER_CHECKSUM,
		.seq = call->seq,
		.ack = ack,
		.token = call->token,
		.from = self,
		.to = service,
	};
	struct sockaddr_in to = instance_address(choose_instance(call));
	uint8_t bytes[PACKET_MAX];

	packet.from.sin_port = htons(call->port);
	if (with_data) {
		memcpy(packet.data, &call->request, sizeof(call->request));
		packet.length = sizeof(call->request);
	}
	if (!is_lost())
		sendto(fd, bytes, packet_write(&packet, bytes), 0,
		       (struct sockaddr *)&to, sizeof(to));
}

static void begin_attempt(struct call *call, uint64_t now)
{
	call->state = OPENING;
	call->attempts++;
	call->attempt_ms = now;
	call->syn_retransmissions = 0;
	call->token = 0;
	call->port = (uint16_t)(FIRST_PORT + next_port++ % PORTS);
	call->seq = (uint32_t)fake_random_next(rng);
	send_call(call, PACKET_SYN, 0, false);
}

static void begin_request(uint64_t now)
{
	for (int i = 0; i < CALLS_MAX; i++) {
		struct call *call = &calls[i];

		if (call->state != FREE)
			continue;
		memset(call, 0, sizeof(*call));
		call->request = ++next_request;
		call->is_idempotent = fake_random_below(rng, 3) != 0;
		call->domain = (int)fake_random_below(rng, PROCESS_DOMAINS);
		call->began_ms = now;
		if (!fake_random_below(rng, PAUSES_ONE_IN))
			call->flow_pause_ms = FLOW_PAUSE_MS;
		begin_attempt(call, now);
		return;
	}
}

static void end_request(struct call *call, bool served)
{
	if (served)
		result.served++;
	else
		result.failed++;
	if (!served && call->began_ms > fault_end_ms() + PROCESS_SETTLE_MS)
		result.failed_after_faults++;
	if (!call->is_idempotent && servers_count_executions(call->request) > 1)
		violation("request %u was executed %u times", call->request,
			  servers_count_executions(call->request));
	call->state = FREE;
}

static uint64_t request_timeout_ms(const struct call *call)
{
	return REQUEST_TIMEOUT_MS + call->flow_pause_ms;
}

static void retry(struct call *call, uint64_t now, bool may_have_executed)
{
	if (call->attempts > RETRIES ||
	    now > call->began_ms + request_timeout_ms(call) ||
	    (may_have_executed && !call->is_idempotent)) {
		end_request(call, false);
		return;
	}
	call->state = RETRY_WAIT;
	call->attempt_ms = now + RETRY_DELAY_MS;
}

static void handle_packet(struct call *call, const struct packet *packet,
			  uint64_t now)
{
	struct sockaddr_in caller = self;
	uint32_t answered;

	caller.sin_port = htons(call->port);
	/*
	 * Only instances send resets with checksum 0. An open flow may be reset
	 * only if its server is gone or lost it in a restart.
	 */
	if (packet->flags & PACKET_RST) {
		if (!packet->checksum && call->state == OPEN &&
		    server_serves(call->token, &caller))
			violation("open flow of request %u was reset",
				  call->request);
		if (!packet->checksum && call->state == OPENING)
			result.refused++;
		retry(call, now, call->state == OPEN);
		return;
	}
	call->token = packet->token;
	if (packet->flags & PACKET_SYN) {
		if (call->state == OPENING) {
			call->server_seq = packet->seq;
			call->seq++;
		}
		call->state = OPEN;
		call->resend_interval_ms = RESEND_MIN_MS;
		call->resend_ms =
			now + (call->flow_pause_ms ? call->flow_pause_ms :
						     call->resend_interval_ms);
		send_call(call, PACKET_ACK, call->server_seq + 1,
			  !call->flow_pause_ms);
		return;
	}
	if (call->state != OPEN || packet->length < sizeof(answered))
		return;
	memcpy(&answered, packet->data, sizeof(answered));
	if (answered != call->request)
		violation("request %u received the answer to request %u",
			  call->request, answered);
	send_call(call, PACKET_ACK | PACKET_FIN, packet->seq + packet->length,
		  false);
	end_request(call, true);
}

static void receive(uint64_t now)
{
	uint8_t bytes[PACKET_MAX];
	struct packet packet;
	ssize_t got;

	while ((got = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
		if (!packet_read(&packet, bytes, (size_t)got) || is_lost())
			continue;
		for (int i = 0; i < CALLS_MAX; i++)
			if (calls[i].state > RETRY_WAIT &&
			    htons(calls[i].port) == packet.to.sin_port)
				handle_packet(&calls[i], &packet, now);
	}
}

static void retransmit_syn(struct call *call, uint64_t now)
{
	static const uint64_t at_ms[] = { FIRST_SYN_RETRANSMIT_MS,
					  SECOND_SYN_RETRANSMIT_MS };

	if (call->syn_retransmissions < 2 &&
	    now >= call->attempt_ms + at_ms[call->syn_retransmissions]) {
		call->syn_retransmissions++;
		send_call(call, PACKET_SYN, call->syn_retransmissions, false);
	}
	if (now >= call->attempt_ms + ATTEMPT_TIMEOUT_MS)
		retry(call, now, false);
}

static void resend(struct call *call, uint64_t now)
{
	if (now >= call->began_ms + request_timeout_ms(call)) {
		end_request(call, false);
		return;
	}
	if (now < call->resend_ms)
		return;
	if (call->resend_interval_ms < RESEND_MAX_MS)
		call->resend_interval_ms *= 2;
	call->resend_ms = now + call->resend_interval_ms;
	send_call(call, PACKET_ACK, call->server_seq + 1, true);
}

void callers_poll(unsigned int new_requests)
{
	uint64_t now = now_ms();

	receive(now);
	for (int i = 0; i < CALLS_MAX; i++) {
		struct call *call = &calls[i];

		if (call->state == RETRY_WAIT && now >= call->attempt_ms)
			begin_attempt(call, now);
		else if (call->state == OPENING)
			retransmit_syn(call, now);
		else if (call->state == OPEN)
			resend(call, now);
	}
	while (new_requests--)
		begin_request(now);
}
