#include "fake/world.h"

#include <stdlib.h>
#include <string.h>

/* Answers are sent in portions, so that connections with long answers stay open
 * for long. */
#define PORTION_BYTES 8192
#define PORTION_INTERVAL_MS 50
#define PROCESSING_TIME_MAX_MS 15
#define PERCENT 100
#define COLD_REPORT_PERCENT 10
#define LOW_REPORT_PERCENT 1
/* -1 converted to an unsigned number. */
#define MISTYPED_REPORT_PERCENT UINT32_MAX

static struct fake_connection *connection_of(struct fake_tcp_end *end)
{
	return (struct fake_connection *)end;
}

static void connection_output(struct fake_tcp_end *end, const uint8_t *bytes,
			      size_t length)
{
	struct fake_connection *connection = connection_of(end);
	struct fake_world *world = connection->host->world;

	if (world->now_ms >= connection->silent_until_ms)
		fake_world_send_to_any_instance(world, bytes, length);
}

static void run_request(struct fake_connection *connection)
{
	struct fake_world *world = connection->host->world;
	uint64_t id = connection->request.id;

	if (connection->request.service != connection->host->service.address)
		world->totals.wrong_service++;
	if (id >= FAKE_REQUESTS_MAX)
		return;
	if (world->run_counts[id] < UINT8_MAX)
		world->run_counts[id]++;
	connection->next_portion_ms =
		world->now_ms + 1 +
		fake_random_below(&world->random, PROCESSING_TIME_MAX_MS);
}

static void connection_receive(struct fake_tcp_end *end, const uint8_t *bytes,
			       size_t length)
{
	struct fake_connection *connection = connection_of(end);
	size_t room =
		sizeof(connection->request) - connection->request_received;

	if (!room)
		return;
	if (length > room)
		length = room;
	memcpy((char *)&connection->request + connection->request_received,
	       bytes, length);
	connection->request_received += length;
	if (connection->request_received == sizeof(connection->request))
		run_request(connection);
}

static void connection_finished(struct fake_tcp_end *end)
{
	fake_tcp_end_close(end, connection_of(end)->host->world->now_ms);
}

static void connection_reset(struct fake_tcp_end *end, const char *text)
{
	(void)end;
	(void)text;
}

static const struct fake_tcp_end_ops connection_ops = {
	.output = connection_output,
	.receive = connection_receive,
	.peer_closed = connection_finished,
	.reset = connection_reset,
};

static void connection_free(struct fake_connection *connection)
{
	LIST_REMOVE(connection, link);
	fake_tcp_end_finish(&connection->end);
	free(connection);
}

static struct fake_connection *find_connection(struct fake_host *host,
					       const struct cm_endpoint *remote)
{
	struct fake_connection *connection;

	LIST_FOREACH(connection, &host->connections, link)
	if (cm_endpoint_equal(&connection->end.remote, remote))
		return connection;
	return NULL;
}

static void mark_server_lost(struct fake_connection *connection)
{
	struct fake_world *world = connection->host->world;

	for (uint32_t i = 0; i < world->caller_count; i++) {
		struct fake_caller *caller = &world->callers[i];

		if (cm_endpoint_equal(&caller->end.local,
				      &connection->end.remote))
			caller->is_server_lost = true;
	}
}

void fake_host_mark_server_lost(struct fake_host *host)
{
	struct fake_connection *connection;

	LIST_FOREACH(connection, &host->connections, link)
	mark_server_lost(connection);
}

static bool host_is_cold(const struct fake_host *host)
{
	return host->world->now_ms < host->cold_until_ms;
}

void fake_host_begin_cold_start(struct fake_host *host, uint64_t ms)
{
	host->cold_until_ms = host->world->now_ms + ms;
	host->load.count = 0;
}

/* The caller's endpoint of the connection from @remote; NULL when the caller
 * has closed it or opened another one since. */
static const struct fake_tcp_end *
find_caller_end(const struct fake_world *world,
		const struct cm_endpoint *remote)
{
	for (uint32_t i = 0; i < world->caller_count; i++) {
		const struct fake_tcp_end *end = &world->callers[i].end;

		if (cm_endpoint_equal(&end->local, remote))
			return end->state == FAKE_CLOSED ? NULL : end;
	}
	return NULL;
}

/* The caller doubles its timeout with each retransmission of the SYN. */
static bool is_retransmitted_syn(const struct fake_world *world,
				 const struct cm_packet *syn)
{
	return find_caller_end(world, &syn->source)->rto_ms > FAKE_RTO_MS;
}

/* False for a delayed SYN of a connection that is already open or closed. */
static bool is_new_connection(const struct fake_world *world,
			      const struct cm_packet *syn)
{
	const struct fake_tcp_end *end = find_caller_end(world, &syn->source);

	return end && end->state == FAKE_SYN_SENT;
}

/* Leaves out connections that one side has dropped or both have closed. */
static uint32_t count_open(const struct fake_host *host)
{
	const struct fake_connection *connection;
	uint32_t open = 0;

	LIST_FOREACH(connection, &host->connections, link)
	if (connection->end.state != FAKE_CLOSED &&
	    !(connection->end.fin_queued && connection->end.fin_received) &&
	    find_caller_end(host->world, &connection->end.remote))
		open++;
	return open;
}

/*
 * Counts a new connection and checks it against the bounds. A cold server that
 * gets more than it can take crashes and loses all connections; returns
 * false then.
 */
static bool host_count_new_connection(struct fake_host *host,
				      const struct cm_packet *syn)
{
	struct fake_world *world = host->world;
	struct fake_load *load = &host->load;
	uint32_t recent = fake_load_add(load, world->now_ms,
					is_retransmitted_syn(world, syn));
	uint32_t percent = fake_load_percent(load, world->now_ms);
	uint32_t announced_percent =
		load->announced ? percent : CM_FULL_PERCENT;
	bool sustained;

	if (count_open(host) >= fake_load_open_max(load, world->homes_agreed))
		world->totals.over_cap++;
	if (fake_load_count_first_syns(load, world->now_ms) >
	    fake_load_rate_max(load, announced_percent, world->homes_agreed))
		world->totals.over_rate++;
	if (host_is_cold(host) && host->cold_max_new_per_s)
		sustained = recent <= host->cold_max_new_per_s;
	else
		sustained = percent == CM_FULL_PERCENT ||
			    recent <= fake_load_rate_max(load, percent, false);
	if (sustained)
		return true;
	world->totals.collapses++;
	fake_host_kill(host);
	fake_load_begin_cold_start(load, world->now_ms, false);
	return false;
}

static bool domain_is_out(const struct fake_host *host)
{
	return cm_name_equal(host->world->domain_out, host->domain);
}

static void host_accept(struct fake_host *host, const struct cm_packet *syn)
{
	struct fake_connection *connection;

	if (is_new_connection(host->world, syn) &&
	    !host_count_new_connection(host, syn))
		return;
	connection = calloc(1, sizeof(*connection));
	if (!connection)
		abort();
	connection->end.ops = &connection_ops;
	connection->host = host;
	LIST_INSERT_HEAD(&host->connections, connection, link);
	host->accepted++;
	if (host->leaving_from_ms &&
	    host->world->now_ms >= host->leaving_from_ms)
		host->world->totals.leaving_accepts++;
	if (host_is_cold(host))
		connection->silent_until_ms =
			host->world->now_ms + host->cold_answer_ms;
	fake_tcp_end_accept(&connection->end, syn,
			    (uint32_t)fake_random_next(&host->world->random),
			    host->world->now_ms);
	if (connection->silent_until_ms)
		connection->end.retransmit_ms = connection->silent_until_ms;
	if (domain_is_out(host))
		mark_server_lost(connection);
}

/* RFC 9293, 3.10.7.1: a segment without a connection is answered by RST. */
static void host_reset(struct fake_host *host, const struct cm_packet *packet)
{
	struct cm_built_packet built;

	if (packet->flags & CM_TCP_RST)
		return;
	cm_packet_build_answer_reset(&built, packet, NULL);
	fake_world_send_to_any_instance(host->world, built.bytes, built.length);
}

static bool host_sheds(const struct fake_host *host)
{
	return host->resets_all_syns ||
	       (host->shed_threshold &&
		count_open(host) >= host->shed_threshold);
}

static void host_handle_syn(struct fake_host *host, const struct cm_packet *syn)
{
	if (!host_sheds(host)) {
		host_accept(host, syn);
		return;
	}
	host->reset_syns++;
	host_reset(host, syn);
}

static void count_domain_out_packet(struct fake_host *host)
{
	struct fake_world *world = host->world;

	if (!domain_is_out(host))
		return;
	world->last_domain_out_packet_ms = world->now_ms;
	if (world->now_ms >= world->domain_out_grace_end_ms)
		world->totals.domain_out_packets++;
}

void fake_host_input(struct fake_host *host, const struct cm_packet *packet)
{
	struct fake_connection *connection;

	count_domain_out_packet(host);
	if (host->is_frozen)
		return;
	connection = find_connection(host, &packet->source);
	if (connection && connection->end.state == FAKE_CLOSED) {
		connection_free(connection);
		connection = NULL;
	}
	if (connection)
		fake_tcp_end_input(&connection->end, packet,
				   host->world->now_ms);
	else if ((packet->flags & (CM_TCP_SYN | CM_TCP_ACK)) == CM_TCP_SYN)
		host_handle_syn(host, packet);
	else
		host_reset(host, packet);
}

static void send_portion(struct fake_connection *connection)
{
	uint8_t bytes[PORTION_BYTES];
	const struct fake_request *request = &connection->request;
	uint64_t now_ms = connection->host->world->now_ms;
	size_t length = request->answer_size - connection->sent;

	if (!connection->sent)
		fake_tcp_end_send(&connection->end, (const uint8_t *)request,
				  sizeof(*request), now_ms);
	if (length > sizeof(bytes))
		length = sizeof(bytes);
	for (size_t i = 0; i < length; i++)
		bytes[i] = fake_answer_byte(request, connection->sent + i);
	connection->sent += length;
	fake_tcp_end_send(&connection->end, bytes, length, now_ms);
	connection->next_portion_ms = connection->sent < request->answer_size ?
					      now_ms + PORTION_INTERVAL_MS :
					      0;
}

void fake_host_tick(struct fake_host *host)
{
	struct fake_connection *connection, *next;
	uint64_t now_ms = host->world->now_ms;

	if (host->is_frozen)
		return;
	for (connection = LIST_FIRST(&host->connections); connection;
	     connection = next) {
		next = LIST_NEXT(connection, link);
		if (connection->next_portion_ms &&
		    now_ms >= connection->next_portion_ms)
			send_portion(connection);
		fake_tcp_end_tick(&connection->end, now_ms);
		if (fake_tcp_end_is_closed(&connection->end))
			connection_free(connection);
	}
}

void fake_host_kill(struct fake_host *host)
{
	struct fake_connection *connection, *next;

	for (connection = LIST_FIRST(&host->connections); connection;
	     connection = next) {
		next = LIST_NEXT(connection, link);
		mark_server_lost(connection);
		fake_tcp_end_finish(&connection->end);
		free(connection);
	}
	LIST_INIT(&host->connections);
}

static uint32_t host_capacity_percent(const struct fake_host *host)
{
	if (host_sheds(host))
		return 0;
	return host_is_cold(host) ? COLD_REPORT_PERCENT : PERCENT;
}

bool fake_host_report(struct fake_host *host, uint32_t *percent)
{
	uint32_t *slot = &host->past_percents[host->reports % FAKE_REPORT_LAG];
	uint32_t lagged_percent =
		host->reports++ < FAKE_REPORT_LAG ? PERCENT : *slot;

	*slot = host_capacity_percent(host);
	*percent = *slot;
	if (host->misreport == FAKE_MISREPORT_HIGH)
		*percent = PERCENT;
	else if (host->misreport == FAKE_MISREPORT_LOW)
		*percent = LOW_REPORT_PERCENT;
	else if (host->misreport == FAKE_MISREPORT_LAG)
		*percent = lagged_percent;
	else if (host->misreport == FAKE_MISREPORT_MISTYPED)
		*percent = MISTYPED_REPORT_PERCENT;
	return !host->is_frozen && host->misreport != FAKE_MISREPORT_SILENT;
}
