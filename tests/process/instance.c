#include "process/process.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "adapters/http_client.h"
#include "chervilmast/error.h"
#include "ports/clock.h"

#define INSTANCE_GROUP 1
#define READY_PORT 18167
#define METRICS_PORT 19100
#define CONTROL_PORT 18166
#define PATH_SIZE 256
#define RESTART_DELAY_MS 300
#define READY_INTERVAL_MS 250
#define READY_TIMEOUT_MS 400
#define METRICS_TIMEOUT_MS 3000
#define NOT_READY_AFTER_MISSES 2
#define HTTP_OK 200
#define BLOCK_SIZE 4096
#define URL_SIZE 64

/**
 * struct instance - an instance of the program
 * @restart_ms: time at which it is restarted; 0 while a process runs
 * @exit_deadline_ms: deadline of its exit after SIGTERM
 * @pid: process id; 0 while no process runs
 * @build: index in @programs of its program
 * @misses: consecutive failed readiness checks; accessed by ck_pr
 * @is_stopping: SIGTERM was sent
 * @is_killed: SIGKILL was sent
 */
struct instance {
	uint64_t restart_ms;
	uint64_t exit_deadline_ms;
	pid_t pid;
	uint32_t build;
	uint32_t misses;
	bool is_stopping;
	bool is_killed;
};

static struct instance instances[PROCESS_ALL_INSTANCES];
static pthread_t watchers[PROCESS_ALL_INSTANCES];
static const char *programs[PROCESS_BUILDS];
static const char *directory;
static uint16_t proxy_port;
static uint32_t stop_watching;
static int blocked_instance = -1;
static int blocked_pipe[2];

struct sockaddr_in instance_address(int instance)
{
	return address(INSTANCE_GROUP, 1 + (unsigned int)instance,
		       PROCESS_PACKET_PORT);
}

static void settings_path(int instance, char *path)
{
	snprintf(path, PATH_SIZE, "%s/i-%d.json", directory, instance);
}

static void write_settings(int instance)
{
	struct sockaddr_in at = instance_address(instance);
	struct sockaddr_in seed = instance_address(0);
	char path[PATH_SIZE], ip[INET_ADDRSTRLEN], seed_ip[INET_ADDRSTRLEN];
	FILE *file;

	inet_ntop(AF_INET, &at.sin_addr, ip, sizeof(ip));
	inet_ntop(AF_INET, &seed.sin_addr, seed_ip, sizeof(seed_ip));
	settings_path(instance, path);
	file = fopen(path, "w");
	if (!file) {
		perror(path);
		exit(EXIT_FAILURE);
	}
	fprintf(file,
		"{\"name\":\"i-%d\",\"failure_domain\":\"%c\","
		"\"packets\":\"%s:%d\",\"ready\":\"%s:%d\","
		"\"metrics\":\"%s:%d\",\"control\":\"%s:%d\","
		"\"seeds\":[\"%s:%d\"],\"store_url\":\"http://127.0.0.1:%u\","
		"\"server_leave_ms\":%d,\"domain_out_ms\":5000,"
		"\"plan_ms\":3000,\"flow_life_s\":60,\"stop_timeout_s\":%d}\n",
		instance, 'a' + instance / PROCESS_INSTANCES_PER_DOMAIN, ip,
		PROCESS_PACKET_PORT, ip, READY_PORT, ip, METRICS_PORT, ip,
		CONTROL_PORT, seed_ip, CONTROL_PORT, proxy_port,
		PROCESS_DRAIN_MS, PROCESS_GRACE_MS / 1000);
	fclose(file);
}

void instances_block_log(int instance)
{
	char bytes[BLOCK_SIZE] = { 0 };

	blocked_instance = instance;
	if (pipe2(blocked_pipe, O_CLOEXEC | O_NONBLOCK)) {
		perror("pipe");
		exit(EXIT_FAILURE);
	}
	while (write(blocked_pipe[1], bytes, sizeof(bytes)) > 0)
		;
	/* As from a shell, the program gets the pipe in blocking mode. */
	fcntl(blocked_pipe[1], F_SETFL, 0);
}

static int open_log(int instance)
{
	char log[PATH_SIZE];

	if (instance == blocked_instance)
		return blocked_pipe[1];
	snprintf(log, sizeof(log), "%s/i-%d.log", directory, instance);
	return open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
}

static void exec_program(int instance)
{
	const char *program = programs[instances[instance].build];
	char path[PATH_SIZE];
	int fd = open_log(instance);

	settings_path(instance, path);
	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
	}
	execl(program, program, "steer", "--settings", path, (char *)NULL);
	_exit(127);
}

static void start_process(int instance)
{
	struct instance *self = &instances[instance];

	self->is_stopping = false;
	self->is_killed = false;
	self->restart_ms = 0;
	ck_pr_store_32(&self->misses, NOT_READY_AFTER_MISSES);
	self->pid = fork();
	if (!self->pid)
		exec_program(instance);
	if (self->pid < 0) {
		perror("fork");
		exit(EXIT_FAILURE);
	}
}

void instances_start(const char *program, const char *previous, const char *dir,
		     uint16_t store_port)
{
	programs[0] = program;
	programs[1] = previous ? previous : program;
	directory = dir;
	proxy_port = store_port;
	for (int i = 0; i < PROCESS_ALL_INSTANCES; i++) {
		write_settings(i);
		instances[i].build = i % PROCESS_BUILDS;
		start_process(i);
	}
}

void instance_signal(int instance, int signal)
{
	struct instance *self = &instances[instance];

	if (!self->pid)
		return;
	if (signal == SIGKILL)
		self->is_killed = true;
	kill(self->pid, signal);
}

void instance_stop(int instance)
{
	struct instance *self = &instances[instance];

	if (!self->pid || self->is_stopping)
		return;
	self->is_stopping = true;
	self->exit_deadline_ms = now_ms() + PROCESS_GRACE_MS;
	kill(self->pid, SIGTERM);
}

static void handle_exit(int instance, int status)
{
	struct instance *self = &instances[instance];
	bool exited_cleanly = WIFEXITED(status) && !WEXITSTATUS(status);

	if (!self->is_killed && !(self->is_stopping && exited_cleanly))
		violation("instance %d exited unexpectedly, wait status %x",
			  instance, status);
	self->pid = 0;
	self->restart_ms = now_ms() + RESTART_DELAY_MS;
}

void instances_check(void)
{
	uint64_t now = now_ms();

	for (int i = 0; i < PROCESS_ALL_INSTANCES; i++) {
		struct instance *self = &instances[i];
		int status;

		if (self->pid && waitpid(self->pid, &status, WNOHANG) > 0)
			handle_exit(i, status);
		if (!self->pid && now >= self->restart_ms) {
			self->build = (self->build + 1) % PROCESS_BUILDS;
			start_process(i);
		}
		if (self->pid && self->is_stopping && !self->is_killed &&
		    now > self->exit_deadline_ms && now > fault_end_ms()) {
			violation("instance %d did not stop in time", i);
			self->exit_deadline_ms = now + PROCESS_GRACE_MS;
		}
	}
}

void instances_finish(void)
{
	ck_pr_store_32(&stop_watching, 1);
	for (int i = 0; i < PROCESS_ALL_INSTANCES; i++)
		pthread_join(watchers[i], NULL);
	for (int i = 0; i < PROCESS_ALL_INSTANCES; i++) {
		if (!instances[i].pid)
			continue;
		kill(instances[i].pid, SIGCONT);
		kill(instances[i].pid, SIGKILL);
		waitpid(instances[i].pid, NULL, 0);
	}
}

bool instance_is_ready(int instance)
{
	return ck_pr_load_32(&instances[instance].misses) <
	       NOT_READY_AFTER_MISSES;
}

static bool check_ready(struct cm_http_client *client)
{
	const struct cm_http_request request = {
		.path = "/-/ready",
		.timeout_ms = READY_TIMEOUT_MS,
	};
	struct cm_http_answer answer;
	bool ready = !cm_http_call(client, &request, &answer) &&
		     answer.status == HTTP_OK;

	cm_http_answer_finish(&answer);
	return ready;
}

static int open_client(int instance, int port, struct cm_http_client *client)
{
	struct sockaddr_in at = instance_address(instance);
	char ip[INET_ADDRSTRLEN], url[URL_SIZE];

	inet_ntop(AF_INET, &at.sin_addr, ip, sizeof(ip));
	snprintf(url, sizeof(url), "http://%s:%d", ip, port);
	return cm_http_client_init(client, url);
}

static uint64_t read_metric(const char *text, const char *name)
{
	char line[PATH_SIZE];
	const char *found;

	snprintf(line, sizeof(line), "\nchervilmast_%s ", name);
	found = strstr(text, line);
	if (!found) {
		violation("metric %s is missing", name);
		return 0;
	}
	return strtoull(found + strlen(line), NULL, 10);
}

uint64_t instance_metric(int instance, const char *name)
{
	const struct cm_http_request request = {
		.path = "/metrics",
		.timeout_ms = METRICS_TIMEOUT_MS,
	};
	struct cm_http_client client;
	struct cm_http_answer answer;
	uint64_t value = 0;

	if (open_client(instance, METRICS_PORT, &client)) {
		violation("cannot create the HTTP client for metrics");
		return 0;
	}
	if (cm_http_call(&client, &request, &answer))
		violation("instance %d did not return its metrics", instance);
	else
		value = read_metric(answer.text, name);
	cm_http_answer_finish(&answer);
	cm_http_client_finish(&client);
	return value;
}

static void *poll_readiness(void *user)
{
	struct instance *self = user;
	struct cm_http_client client;

	if (open_client((int)(self - instances), READY_PORT, &client))
		return NULL;
	while (!ck_pr_load_32(&stop_watching)) {
		if (check_ready(&client))
			ck_pr_store_32(&self->misses, 0);
		else
			ck_pr_inc_32(&self->misses);
		cm_clock_sleep_ms(READY_INTERVAL_MS);
	}
	cm_http_client_finish(&client);
	return NULL;
}

void instances_watch(void)
{
	for (int i = 0; i < PROCESS_ALL_INSTANCES; i++)
		pthread_create(&watchers[i], NULL, poll_readiness,
			       &instances[i]);
}
