#include "process/proxy.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ports/clock.h"

#define LINKS_MAX 64
#define BUFFER_SIZE 65536
#define POLL_MS 20
#define DELAY_MS 150
#define BACKLOG 32

/**
 * struct proxy_link - a connection through the proxy
 * @client_fd: socket of the client side; -1 when unused
 * @server_fd: socket of the server side
 */
struct proxy_link {
	int client_fd;
	int server_fd;
};

static struct proxy_link links[LINKS_MAX];
static struct sockaddr_in target;
static pthread_t thread;
static int listener;
static uint32_t mode;
static uint32_t stopping;

static void close_link(struct proxy_link *link, bool reset)
{
	struct linger now = { .l_onoff = 1, .l_linger = 0 };

	if (link->client_fd < 0)
		return;
	if (reset)
		setsockopt(link->client_fd, SOL_SOCKET, SO_LINGER, &now,
			   sizeof(now));
	close(link->client_fd);
	close(link->server_fd);
	link->client_fd = -1;
}

static void open_link(int client_fd)
{
	for (int i = 0; i < LINKS_MAX; i++) {
		struct proxy_link *link = &links[i];

		if (link->client_fd >= 0)
			continue;
		link->server_fd =
			socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (connect(link->server_fd, (struct sockaddr *)&target,
			    sizeof(target))) {
			close(link->server_fd);
			break;
		}
		link->client_fd = client_fd;
		return;
	}
	close(client_fd);
}

/* Returns false when the sender has closed or not all data could be sent. */
static bool forward_data(int from, int to, bool forward)
{
	static uint8_t bytes[BUFFER_SIZE];
	ssize_t got = recv(from, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (got <= 0)
		return false;
	return !forward || send(to, bytes, (size_t)got, MSG_NOSIGNAL) == got;
}

static void serve_link(struct proxy_link *link, short client_events,
		       short server_events)
{
	uint32_t current_mode = ck_pr_load_32(&mode);

	if (current_mode == PROXY_RESET) {
		close_link(link, true);
		return;
	}
	if (current_mode == PROXY_SILENT)
		return;
	if (current_mode == PROXY_DELAY && (client_events || server_events))
		cm_clock_sleep_ms(DELAY_MS);
	if ((client_events &&
	     !forward_data(link->client_fd, link->server_fd, true)) ||
	    (server_events && !forward_data(link->server_fd, link->client_fd,
					    current_mode != PROXY_ONE_WAY)))
		close_link(link, false);
}

static void *serve(void *user)
{
	struct pollfd fds[1 + 2 * LINKS_MAX];

	(void)user;
	while (!ck_pr_load_32(&stopping)) {
		fds[0].fd = listener;
		fds[0].events = POLLIN;
		for (int i = 0; i < LINKS_MAX; i++) {
			bool open = links[i].client_fd >= 0;

			fds[1 + 2 * i].fd = open ? links[i].client_fd : -1;
			fds[2 + 2 * i].fd = open ? links[i].server_fd : -1;
			fds[1 + 2 * i].events = POLLIN;
			fds[2 + 2 * i].events = POLLIN;
		}
		poll(fds, 1 + 2 * LINKS_MAX, POLL_MS);
		for (int i = 0; i < LINKS_MAX; i++)
			if (links[i].client_fd >= 0)
				serve_link(&links[i], fds[1 + 2 * i].revents,
					   fds[2 + 2 * i].revents);
		if (ck_pr_load_32(&mode) == PROXY_SILENT)
			cm_clock_sleep_ms(POLL_MS);
		if (fds[0].revents)
			open_link(accept4(listener, NULL, NULL, SOCK_CLOEXEC));
	}
	return NULL;
}

uint16_t proxy_start(uint16_t port)
{
	struct sockaddr_in bound = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(bound);

	target = bound;
	target.sin_port = htons(port);
	for (int i = 0; i < LINKS_MAX; i++)
		links[i].client_fd = -1;
	listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(listener, (struct sockaddr *)&bound, sizeof(bound)) ||
	    listen(listener, BACKLOG) ||
	    getsockname(listener, (struct sockaddr *)&bound, &size) ||
	    pthread_create(&thread, NULL, serve, NULL)) {
		perror("proxy");
		exit(EXIT_FAILURE);
	}
	return ntohs(bound.sin_port);
}

void proxy_set(enum proxy_mode new_mode)
{
	ck_pr_store_32(&mode, new_mode);
}

void proxy_stop(void)
{
	ck_pr_store_32(&stopping, 1);
	pthread_join(thread, NULL);
	for (int i = 0; i < LINKS_MAX; i++)
		close_link(&links[i], false);
	close(listener);
}
