#include "process/process.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chervilmast/steer_server.h"

#define SERVER_GROUP 10
#define SERVER_PORT 8080
#define FLOWS_MAX 256
#define REQUESTS_MAX 262144
#define ANSWER_DELAY_MS 10
#define HEARTBEAT_MS 1200
/** Time after which the store entry of an unresponsive server expires, ms. */
#define ENTRY_EXPIRY_MS (3 * HEARTBEAT_MS)
#define REPLACE_DELAY_MS 2000
/** Time from the crash of a server that restarts to its next run, ms. */
#define RESTART_DELAY_MS 150
/** Maximum number of runs of an id whose tokens are known. */
#define RUNS_MAX 16
#define DRAIN_EXIT_MS (PROCESS_DRAIN_MS + 2000)
#define VALUE_SIZE 320
#define FIRST_ID 0x1001
#define KEY_SIZE 64
#define CHECKSUM 0x5eed

/**
 * struct server_flow - a flow at a server
 * @caller: address and port of the caller
 * @service: public address of the service
 * @seq: sequence number of the server
 * @token: token of the last packet received
 * @answer_ms: time at which the answer is due; 0 when none is pending
 * @request: number of the request, once received
 * @is_answered: the answer was sent
 */
struct server_flow {
	struct sockaddr_in caller;
	struct sockaddr_in service;
	uint32_t seq;
	uint32_t token;
	uint64_t answer_ms;
	uint32_t request;
	bool is_answered;
};

/**
 * struct server - the backend server of one slot
 * @id: server id; a replacement has a new one
 * @started_ms: start of this run, as its entry states it
 * @restart_ms: time at which the next run starts under the same id; 0 for never
 * @restarts: number of restarts that follow that one
 * @report_ms: time at which it writes its entry again; 0 for never
 * @draining_ms: time since which it drains; 0 while it is active
 * @listed_until_ms: time at which its store entry is removed; 0 for never
 * @replaced_ms: time at which a new server takes its slot; 0 for never
 * @flows: flows; the oldest one is overwritten when all entries are in use
 * @udp: socket for packets
 * @tcp: listening socket for health probes; -1 when closed
 * @next: number of flows opened so far, which gives the next index in @flows
 * @is_unresponsive: the server does not respond any more
 */
struct server {
	uint64_t id;
	uint64_t started_ms;
	uint64_t restart_ms;
	unsigned int restarts;
	uint64_t report_ms;
	uint64_t draining_ms;
	uint64_t listed_until_ms;
	uint64_t replaced_ms;
	struct server_flow flows[FLOWS_MAX];
	int udp;
	int tcp;
	unsigned int next;
	bool is_unresponsive;
};

/**
 * struct runs - the runs of the server in a slot under its present id
 * @tokens: their tokens, the present one last
 * @count: number of @tokens
 */
struct runs {
	uint32_t tokens[RUNS_MAX];
	unsigned int count;
};

const char *process_service = "ledger";

static struct server servers[PROCESS_ALL_SERVERS];
static struct runs runs[PROCESS_ALL_SERVERS];
static uint64_t last_start_ms;
static struct platform_standin *store;
static uint8_t executions[REQUESTS_MAX];
static uint64_t last_id = FIRST_ID - 1;
static uint32_t opened[PROCESS_DOMAINS];

uint32_t servers_count_executions(uint32_t request)
{
	return executions[request % REQUESTS_MAX];
}

static struct sockaddr_in server_address(int slot)
{
	return address(SERVER_GROUP, 1 + (unsigned int)slot, SERVER_PORT);
}

static void write_key(char *key, uint64_t id)
{
	snprintf(key, KEY_SIZE, "servers/i-%llx", (unsigned long long)id);
}

static void put_store_entry(int slot, bool is_draining)
{
	struct sockaddr_in at = server_address(slot);
	char key[KEY_SIZE], value[VALUE_SIZE], text[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &at.sin_addr, text, sizeof(text));
	write_key(key, servers[slot].id);
	snprintf(value, sizeof(value),
		 "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%c\","
		 "\"version\":\"v1\",\"slots\":3,\"state\":\"%s\","
		 "\"cold-left-ms\":0,\"sequence\":1,\"born\":%llu}",
		 process_service, text, SERVER_PORT,
		 'a' + slot / PROCESS_SERVERS_PER_DOMAIN,
		 is_draining ? "draining" : "ready",
		 (unsigned long long)servers[slot].started_ms);
	platform_standin_put(store, key, value);
}

static int listen_tcp(const struct sockaddr_in *bound)
{
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)bound, sizeof(*bound)) ||
	    listen(fd, 16)) {
		perror("listen_tcp");
		exit(EXIT_FAILURE);
	}
	return fd;
}

static void record_run(struct runs *of, const struct server *server)
{
	if (of->count == RUNS_MAX)
		memmove(of->tokens, of->tokens + 1,
			--of->count * sizeof(*of->tokens));
	of->tokens[of->count++] =
		cm_steer_token(server->id, server->started_ms);
}

/* Starts a run, which has no flows of an earlier one. */
static void start_run(int slot, uint64_t id)
{
	struct server *server = &servers[slot];
	struct sockaddr_in at = server_address(slot);

	memset(server, 0, sizeof(*server));
	server->id = id;
	server->started_ms = ++last_start_ms;
	record_run(&runs[slot], server);
	server->udp = udp_open(&at);
	server->tcp = listen_tcp(&at);
	put_store_entry(slot, false);
}

static void start_server(int slot)
{
	runs[slot].count = 0;
	start_run(slot, ++last_id);
}

void servers_start(struct platform_standin *standin)
{
	store = standin;
	for (int slot = 0; slot < PROCESS_ALL_SERVERS; slot++)
		start_server(slot);
}

static void send_packet(const struct server *server,
			const struct server_flow *flow, uint8_t flags,
			uint32_t seq, uint32_t ack, const uint8_t *data,
			uint16_t length)
{
	struct sockaddr_in to = flow->caller;
	struct packet packet = {
		.flags = flags,
		.checksum = CHECKSUM,
		.seq = seq,
		.ack = ack,
		.token = flow->token,
		.from = flow->service,
		.to = flow->caller,
		.length = length,
	};
	uint8_t bytes[PACKET_MAX];

	if (length)
		memcpy(packet.data, data, length);
	to.sin_port = htons(PROCESS_PACKET_PORT);
	sendto(server->udp, bytes, packet_write(&packet, bytes), 0,
	       (struct sockaddr *)&to, sizeof(to));
}

static struct server_flow *find_flow(struct server *server,
				     const struct sockaddr_in *caller)
{
	for (unsigned int i = 0; i < FLOWS_MAX; i++) {
		struct server_flow *flow = &server->flows[i];

		if (flow->caller.sin_port == caller->sin_port &&
		    flow->caller.sin_addr.s_addr == caller->sin_addr.s_addr)
			return flow;
	}
	return NULL;
}

/*
 * A server that began to drain more than PROCESS_DRAIN_MS ago must receive no
 * new flow, unless a fault has ended less than PROCESS_SETTLE_MS ago.
 */
static void check_drain(const struct server *server)
{
	uint64_t now = now_ms();

	if (server->draining_ms &&
	    now > server->draining_ms + PROCESS_DRAIN_MS &&
	    now > fault_end_ms() + PROCESS_SETTLE_MS)
		violation(
			"server %llx got a flow %llu ms after its drain began",
			(unsigned long long)server->id,
			(unsigned long long)(now - server->draining_ms));
}

static void open_flow(struct server *server, const struct packet *packet)
{
	struct server_flow *flow = find_flow(server, &packet->from);

	if (!flow) {
		check_drain(server);
		opened[(server - servers) / PROCESS_SERVERS_PER_DOMAIN]++;
		flow = &server->flows[server->next++ % FLOWS_MAX];
		memset(flow, 0, sizeof(*flow));
		flow->caller = packet->from;
		flow->service = packet->to;
		flow->seq = (uint32_t)(last_id * 7919 + server->next);
	}
	flow->token = packet->token;
	send_packet(server, flow, PACKET_SYN | PACKET_ACK, flow->seq,
		    packet->seq + 1, NULL, 0);
}

static void handle_request(struct server_flow *flow,
			   const struct packet *packet)
{
	if (flow->answer_ms || flow->is_answered ||
	    packet->length < sizeof(flow->request))
		return;
	memcpy(&flow->request, packet->data, sizeof(flow->request));
	executions[flow->request % REQUESTS_MAX]++;
	flow->answer_ms = now_ms() + ANSWER_DELAY_MS;
}

static void handle_packet(struct server *server, const struct packet *packet)
{
	struct server_flow *flow;

	if (packet->flags & PACKET_SYN) {
		open_flow(server, packet);
		return;
	}
	flow = find_flow(server, &packet->from);
	/*
	 * When two servers answer the SYN, the caller acknowledges the sequence
	 * number of only one. The other one must reset the flow, not execute
	 * the request.
	 */
	if (!flow || (packet->length && packet->ack != flow->seq + 1)) {
		struct server_flow unknown = { .caller = packet->from,
					       .service = packet->to };

		send_packet(server, &unknown, PACKET_RST, packet->ack, 0, NULL,
			    0);
		return;
	}
	flow->token = packet->token;
	if (flow->is_answered && packet->length)
		send_packet(server, flow, PACKET_ACK | PACKET_FIN,
			    flow->seq + 1, 0, (uint8_t *)&flow->request,
			    sizeof(flow->request));
	else if (packet->length)
		handle_request(flow, packet);
}

static void receive(struct server *server)
{
	uint8_t bytes[PACKET_ID_SIZE + PACKET_MAX];
	struct packet packet;
	ssize_t got;

	while ((got = recv(server->udp, bytes, sizeof(bytes), 0)) > 0) {
		uint64_t id = 0;

		for (int i = 0; i < PACKET_ID_SIZE && i < got; i++)
			id = id << 8 | bytes[i];
		if (server->is_unresponsive || id != server->id ||
		    got < PACKET_ID_SIZE ||
		    !packet_read(&packet, bytes + PACKET_ID_SIZE,
				 (size_t)got - PACKET_ID_SIZE))
			continue;
		handle_packet(server, &packet);
	}
}

static void answer(struct server *server)
{
	uint64_t now = now_ms();

	for (unsigned int i = 0; i < FLOWS_MAX; i++) {
		struct server_flow *flow = &server->flows[i];

		if (!flow->answer_ms || now < flow->answer_ms)
			continue;
		flow->answer_ms = 0;
		flow->is_answered = true;
		send_packet(server, flow, PACKET_ACK | PACKET_FIN,
			    flow->seq + 1, 0, (uint8_t *)&flow->request,
			    sizeof(flow->request));
	}
}

static void accept_probes(const struct server *server)
{
	int fd = accept4(server->tcp, NULL, NULL, SOCK_NONBLOCK);

	if (fd >= 0)
		close(fd);
}

static void remove_store_entry(int slot)
{
	char key[KEY_SIZE];

	write_key(key, servers[slot].id);
	platform_standin_remove(store, key);
	servers[slot].listed_until_ms = 0;
}

static void replace_server(int slot)
{
	if (servers[slot].listed_until_ms)
		remove_store_entry(slot);
	close(servers[slot].udp);
	if (servers[slot].tcp >= 0)
		close(servers[slot].tcp);
	start_server(slot);
}

uint32_t servers_count_opened(int domain)
{
	return opened[domain];
}

static int find_slot(uint64_t id)
{
	for (int slot = 0; slot < PROCESS_ALL_SERVERS; slot++)
		if (servers[slot].id == id)
			return slot;
	return -1;
}

static int find_slot_by_token(uint32_t token)
{
	for (int slot = 0; slot < PROCESS_ALL_SERVERS; slot++)
		for (unsigned int i = 0; i < runs[slot].count; i++)
			if (runs[slot].tokens[i] == token)
				return slot;
	return -1;
}

bool server_serves(uint32_t token, const struct sockaddr_in *caller)
{
	int slot = find_slot_by_token(token);
	struct server *server = &servers[slot < 0 ? 0 : slot];

	if (slot < 0 || server->is_unresponsive)
		return false;
	return token == runs[slot].tokens[runs[slot].count - 1] ||
	       find_flow(server, caller);
}

static bool is_expired(int slot)
{
	return servers[slot].is_unresponsive && !servers[slot].listed_until_ms;
}

void servers_register(void)
{
	for (uint64_t id = FIRST_ID; id <= last_id; id++) {
		int slot = find_slot(id);
		char key[KEY_SIZE];

		write_key(key, id);
		if (slot < 0 || is_expired(slot))
			platform_standin_remove(store, key);
		else
			put_store_entry(slot, servers[slot].draining_ms);
	}
}

static void restart_server(int slot)
{
	unsigned int restarts = servers[slot].restarts;

	start_run(slot, servers[slot].id);
	if (restarts)
		server_restart(slot, restarts);
}

static void report_server(int slot)
{
	servers[slot].report_ms = 0;
	put_store_entry(slot, servers[slot].draining_ms);
}

void servers_poll(void)
{
	uint64_t now = now_ms();

	for (int slot = 0; slot < PROCESS_ALL_SERVERS; slot++) {
		struct server *server = &servers[slot];

		receive(server);
		if (!server->is_unresponsive)
			answer(server);
		if (server->listed_until_ms && now >= server->listed_until_ms)
			remove_store_entry(slot);
		if (server->replaced_ms && now >= server->replaced_ms)
			replace_server(slot);
		if (server->restart_ms && now >= server->restart_ms)
			restart_server(slot);
		if (server->report_ms && now >= server->report_ms)
			report_server(slot);
		if (server->tcp >= 0 && !server->is_unresponsive)
			accept_probes(server);
	}
}

void server_stop_responding(int slot)
{
	struct server *server = &servers[slot];

	if (server->is_unresponsive || server->draining_ms)
		return;
	server->is_unresponsive = true;
	close(server->tcp);
	server->tcp = -1;
	server->listed_until_ms = now_ms() + ENTRY_EXPIRY_MS;
	server->replaced_ms = server->listed_until_ms + REPLACE_DELAY_MS;
	fault_extend(server->replaced_ms);
}

void server_restart(int slot, unsigned int times)
{
	struct server *server = &servers[slot];

	if (server->is_unresponsive || server->draining_ms)
		return;
	server->is_unresponsive = true;
	close(server->udp);
	close(server->tcp);
	server->udp = -1;
	server->tcp = -1;
	server->restarts = times - 1;
	server->restart_ms = now_ms() + RESTART_DELAY_MS;
	fault_extend(server->restart_ms);
}

void server_overwrite_entry(int slot, const char *value)
{
	char key[KEY_SIZE];

	if (servers[slot].is_unresponsive)
		return;
	write_key(key, servers[slot].id);
	platform_standin_put(store, key, value);
	servers[slot].report_ms = now_ms() + HEARTBEAT_MS;
	fault_extend(servers[slot].report_ms);
}

void server_drain(int slot)
{
	struct server *server = &servers[slot];

	if (server->is_unresponsive || server->draining_ms)
		return;
	put_store_entry(slot, true);
	server->draining_ms = now_ms();
	server->listed_until_ms = server->draining_ms + DRAIN_EXIT_MS;
	server->replaced_ms = server->listed_until_ms;
}

int servers_fds(int *fds)
{
	for (int slot = 0; slot < PROCESS_ALL_SERVERS; slot++)
		fds[slot] = servers[slot].udp;
	return PROCESS_ALL_SERVERS;
}
