#include "standin/standin.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/geneve.h"
#include "adapters/socket.h"
#include "adapters/udp_link.h"
#include "chervilmast/error.h"
#include "config/note_json.h"
#include "config/instance_json.h"
#include "fake/world.h"
#include "ports/clock.h"
#include "standin/domain_watch.h"

#define DATAGRAM_SIZE 70000
#define MS_PER_S 1000
#define HEALTH_CHECK_INTERVAL_MS 500
/* Exceeds the deadline of a request, 15 s, so that each one ends or fails. */
#define DRAIN_TIMEOUT_MS 16000
/* Value of argc without the optional arguments, ADMIN-PORT and DOMAIN. */
#define REQUIRED_ARGC 8

/**
 * struct standin_fabric - the fabric with callers and backend servers
 * @world: simulated callers and backend servers
 * @link: UDP socket that exchanges packets with the instances
 * @instances: data addresses of the instances
 * @admin: admin addresses of the instances, for health checks
 * @next_health_check_ms: time of the next health check
 * @watch: timing of a failure domain that is taken out and brought back
 */
struct standin_fabric {
	struct fake_world world;
	struct cm_udp_link link;
	struct cm_endpoint instances[FAKE_INSTANCES_MAX];
	struct cm_endpoint admin[FAKE_INSTANCES_MAX];
	uint64_t next_health_check_ms;
	struct domain_watch watch;
};

static void send_to_instance(void *user, uint32_t instance,
			     const uint8_t *bytes, size_t length)
{
	struct standin_fabric *standin = user;
	struct cm_link *link = &standin->link.base;
	uint8_t head[CM_GENEVE_RELAY_SIZE];
	size_t head_length = cm_geneve_write(head, NULL);

	link->ops->send(link, &standin->instances[instance], head, head_length,
			bytes, length);
}

/* Logs one line to standard error for each failed request. */
static void log_failure(void *user, const struct fake_caller *caller,
			enum fake_failure failure)
{
	static const char *const names[] = {
		[FAKE_FAILURE_WRONG_ANSWER] = "answer",
		[FAKE_FAILURE_CLOSED_EARLY] = "finished",
		[FAKE_FAILURE_RESET] = "reset",
		[FAKE_FAILURE_DOMAIN_OUT] = "given-up",
		[FAKE_FAILURE_DEADLINE] = "deadline",
	};
	const struct standin_fabric *standin = user;
	uint64_t id = caller->request.id;

	fprintf(stderr,
		"event=request_failed failure=%s id=%llu begun_ms=%llu "
		"failed_ms=%llu caller=%08x:%u service=%08x state=%d got=%zu "
		"answer_size=%u ran=%u server_lost=%d\n",
		names[failure], (unsigned long long)id,
		(unsigned long long)caller->begun_ms,
		(unsigned long long)standin->world.now_ms,
		caller->end.local.address, caller->end.local.port,
		caller->end.remote.address, caller->end.state, caller->received,
		caller->request.answer_size, standin->world.run_counts[id],
		caller->is_server_lost);
}

static int read_catalog(const char *file, struct cm_catalog *catalog)
{
	struct cm_catalog empty;
	struct cm_json_error error;
	struct cm_note note;

	cm_note_init(&note);
	if (cm_note_read_file(&note, file, &error))
		return error.error;
	cm_catalog_init(&empty);
	note.version = 1;
	return cm_catalog_apply(catalog, &empty, &note, NULL);
}

static struct cm_endpoint read_endpoint(const json_t *value, const char *port)
{
	const char *text = json_string_value(json_object_get(value, "address"));
	struct cm_endpoint endpoint = {
		.address = text ? ntohl(inet_addr(text)) : 0,
		.port = (uint16_t)json_integer_value(
			json_object_get(value, port)),
		.protocol = IPPROTO_UDP,
	};

	return endpoint;
}

/* Reads the instances from the file that holds the initial keys of the store.
 */
static int read_instances(struct standin_fabric *standin, const char *file,
			  uint16_t admin_port)
{
	json_t *root = json_load_file(file, 0, NULL);
	const char *key;
	json_t *value;
	int count = 0;

	json_object_foreach (root, key, value) {
		if (count == FAKE_INSTANCES_MAX)
			break;
		standin->instances[count] = read_endpoint(value, "data_port");
		standin->admin[count] = standin->instances[count];
		standin->admin[count].port = admin_port;
		count++;
	}
	json_decref(root);
	return count;
}

static bool accepts_connection(const struct cm_endpoint *admin)
{
	struct sockaddr_in address = cm_socket_address(admin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool connected;

	connected = !connect(fd, (struct sockaddr *)&address, sizeof(address));
	close(fd);
	return connected;
}

/* The fabric sends packets only to instances whose admin port accepts
 * connections. */
static void check_health(struct standin_fabric *standin)
{
	if (standin->world.now_ms < standin->next_health_check_ms)
		return;
	standin->next_health_check_ms =
		standin->world.now_ms + HEALTH_CHECK_INTERVAL_MS;
	for (uint32_t i = 0; i < standin->world.instance_count; i++)
		standin->world.instance_live[i] =
			accepts_connection(&standin->admin[i]);
}

static void receive_datagrams(struct standin_fabric *standin, uint8_t *bytes)
{
	struct cm_link *link = &standin->link.base;
	struct cm_endpoint from;
	struct cm_geneve geneve;
	int got;

	while ((got = link->ops->receive(link, bytes, DATAGRAM_SIZE, 1,
					 &from)) > 0) {
		if (cm_geneve_read(&geneve, bytes, (size_t)got))
			continue;
		standin->world.now_ms = cm_clock_ms();
		fake_world_receive_from_instance(&standin->world,
						 bytes + geneve.length,
						 (size_t)got - geneve.length);
	}
}

static volatile sig_atomic_t stop_requested;

static void handle_sigterm(int signal_number)
{
	(void)signal_number;
	stop_requested = 1;
}

/* Starts requests until the time is up or SIGTERM arrives, then waits for
 * those in progress to end, for at most DRAIN_TIMEOUT_MS. */
static void run(struct standin_fabric *standin, uint32_t seconds)
{
	uint8_t *bytes = malloc(DATAGRAM_SIZE);
	uint64_t end_ms = cm_clock_ms() + (uint64_t)seconds * MS_PER_S;
	uint64_t now_ms;

	while (bytes) {
		now_ms = cm_clock_ms();
		if (stop_requested && now_ms < end_ms)
			end_ms = now_ms;
		check_health(standin);
		standin->world.is_stopping = now_ms >= end_ms;
		if (now_ms >= end_ms + DRAIN_TIMEOUT_MS ||
		    (now_ms >= end_ms && fake_world_is_idle(&standin->world)))
			break;
		fake_world_tick(&standin->world, now_ms);
		domain_watch_tick(&standin->watch, &standin->world);
		receive_datagrams(standin, bytes);
	}
	free(bytes);
}

static int print_totals(struct fake_world *world)
{
	const struct fake_totals *totals = &world->totals;

	fake_world_count_executions(world);
	printf("requests=%llu whole=%llu refused_not_run=%llu broken=%llu "
	       "wrong_service=%llu executed_twice=%llu\n",
	       (unsigned long long)totals->requests,
	       (unsigned long long)totals->answered,
	       (unsigned long long)totals->refused_not_run,
	       (unsigned long long)totals->broken,
	       (unsigned long long)totals->wrong_service,
	       (unsigned long long)totals->executed_twice);
	return totals->broken || totals->wrong_service ||
	       totals->domain_out_packets || totals->executed_twice ||
	       totals->false_not_run || !totals->answered;
}

int standin_world(int argc, char **argv)
{
	static struct standin_fabric standin;
	struct cm_catalog catalog;
	struct cm_endpoint fabric = { .protocol = IPPROTO_UDP };
	int instances;
	int result;

	if (argc < REQUIRED_ARGC || read_catalog(argv[1], &catalog))
		return 2;
	fabric.address = ntohl(inet_addr(argv[3]));
	fabric.port = (uint16_t)atoi(argv[4]);
	instances = read_instances(
		&standin, argv[2],
		argc > REQUIRED_ARGC ? (uint16_t)atoi(argv[8]) : 9100);
	if (instances < 1 || cm_udp_link_init(&standin.link, &fabric))
		return 1;
	fake_world_init(&standin.world, &catalog, (uint32_t)instances,
			(uint32_t)atoi(argv[5]), (uint64_t)atoll(argv[7]),
			cm_clock_ms());
	standin.world.to_instance = send_to_instance;
	standin.world.failed = log_failure;
	standin.world.user = &standin;
	domain_watch_init(&standin.watch, argc > REQUIRED_ARGC + 1 ?
						  argv[REQUIRED_ARGC + 1] :
						  "");
	signal(SIGTERM, handle_sigterm);
	run(&standin, (uint32_t)atoi(argv[6]));
	domain_watch_print(&standin.watch, &standin.world);
	result = print_totals(&standin.world);
	fake_world_finish(&standin.world);
	cm_udp_link_finish(&standin.link);
	cm_catalog_finish(&catalog);
	return result;
}
