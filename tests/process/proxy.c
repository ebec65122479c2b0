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
#define BYTES 65536
#define POLL_MS 20
#define DELAY_MS 150
#define BACKLOG 32

/**
 * struct proxy_link - a connection through the proxy
 * @near: socket of the client side; -1 when unused
 * @far: socket of the server side
 */
struct proxy_link {
	int near;
	int far;
};

static struct proxy_link links[LINKS_MAX];
static struct sockaddr_in target;
static pthread_t thread;
static int listener;
static uint32_t mode;
static uint32_t is_over;

static void close_link(struct proxy_link *link, bool reset)
{
	struct linger now = { .l_onoff = 1, .l_linger = 0 };

	if (link->near < 0)
		return;
	if (reset)
		setsockopt(link->near, SOL_SOCKET, SO_LINGER, &now,
			   sizeof(now));
	close(link->near);
	close(link->far);
	link->near = -1;
}

static void open_link(int near)
{
	for (int i = 0; i < LINKS_MAX; i++) {
		struct proxy_link *link = &links[i];

		if (link->near >= 0)
			continue;
		link->far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (connect(link->far, (struct sockaddr *)&target,
			    sizeof(target))) {
			close(link->far);
			break;
		}
		link->near = near;
		return;
	}
	close(near);
}

/* Returns false when the sender has closed or the receiver takes no data. */
static bool pass(int from, int to, bool forward)
{
	static uint8_t bytes[BYTES];
	ssize_t got = recv(from, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (got <= 0)
		return false;
	return !forward || send(to, bytes, (size_t)got, MSG_NOSIGNAL) == got;
}

static void serve_link(struct proxy_link *link, short near, short far)
{
	uint32_t now = ck_pr_load_32(&mode);

	if (now == PROXY_RESET) {
		close_link(link, true);
		return;
	}
	if (now == PROXY_SILENT)
		return;
	if (now == PROXY_DELAY && (near || far))
		cm_clock_sleep_ms(DELAY_MS);
	if ((near && !pass(link->near, link->far, true)) ||
	    (far && !pass(link->far, link->near, now != PROXY_ONE_WAY)))
		close_link(link, false);
}

static void *serve(void *user)
{
	struct pollfd fds[1 + 2 * LINKS_MAX];

	(void)user;
	while (!ck_pr_load_32(&is_over)) {
		fds[0].fd = listener;
		fds[0].events = POLLIN;
		for (int i = 0; i < LINKS_MAX; i++) {
			bool open = links[i].near >= 0;

			fds[1 + 2 * i].fd = open ? links[i].near : -1;
			fds[2 + 2 * i].fd = open ? links[i].far : -1;
			fds[1 + 2 * i].events = POLLIN;
			fds[2 + 2 * i].events = POLLIN;
		}
		poll(fds, 1 + 2 * LINKS_MAX, POLL_MS);
		for (int i = 0; i < LINKS_MAX; i++)
			if (links[i].near >= 0)
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
		links[i].near = -1;
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

void proxy_set(enum proxy_mode now)
{
	ck_pr_store_32(&mode, now);
}

void proxy_stop(void)
{
	ck_pr_store_32(&is_over, 1);
	pthread_join(thread, NULL);
	for (int i = 0; i < LINKS_MAX; i++)
		close_link(&links[i], false);
	close(listener);
}
