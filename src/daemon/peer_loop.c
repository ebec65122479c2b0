#include "peer_loop.h"

#include <ck_pr.h>
#include <string.h>

#include "chervilmast/error.h"
#include "ports/clock.h"

/** Longest wait for something to do, ms. */
#define RUN_MS 500

static void sign(const struct cm_peer_loop *loop, struct cm_message *message)
{
	message->sender = loop->self.control;
	message->control = loop->self.control;
	memcpy(message->domain, loop->self.domain, sizeof(message->domain));
}

static bool receive(void *user, const struct cm_message *message,
		    struct cm_message *answer)
{
	struct cm_peer_loop *loop = user;
	uint64_t now_ms = cm_clock_ms();

	if (message->kind == CM_MESSAGE_ITEMS)
		cm_feed_take(loop->feed, now_ms, &message->control,
			     &message->items);
	if (message->kind != CM_MESSAGE_ITEMS_REQUEST)
		return false;
	cm_message_init(answer, CM_MESSAGE_ITEMS);
	sign(loop, answer);
	if (!cm_feed_answer(loop->feed, now_ms, &message->items_request,
			    &answer->items))
		return true;
	cm_message_finish(answer);
	return false;
}

static void *peer_thread(void *user)
{
	struct cm_peer_loop *loop = user;
	struct cm_peers *peers = &loop->peers.base;

	while (!ck_pr_load_32(&loop->stopping))
		if (peers->ops->run(peers, RUN_MS))
			break;
	return NULL;
}

int cm_peer_loop_init(struct cm_peer_loop *loop, struct cm_feed *feed,
		      const struct cm_peer_entry *self)
{
	const struct cm_peers_handler handler = { receive, loop };
	int error;

	memset(loop, 0, sizeof(*loop));
	loop->feed = feed;
	loop->self = *self;
	error = cm_peer_tcp_init(&loop->peers, &self->control, &handler,
				 &feed->steer->counters);
	if (error && error != CM_E_BIND)
		return error;
	if (!pthread_create(&loop->thread, NULL, peer_thread, loop))
		return CM_OK;
	cm_peer_tcp_finish(&loop->peers);
	return CM_E_MEMORY;
}

int cm_peer_loop_ask(struct cm_peer_loop *loop, const struct cm_endpoint *to)
{
	struct cm_peers *peers = &loop->peers.base;
	struct cm_message message;
	int error;

	cm_message_init(&message, CM_MESSAGE_ITEMS_REQUEST);
	sign(loop, &message);
	cm_feed_request(loop->feed, &message.items_request);
	error = peers->ops->send(peers, to, &message);
	cm_message_finish(&message);
	return error;
}

void cm_peer_loop_finish(struct cm_peer_loop *loop)
{
	ck_pr_store_32(&loop->stopping, 1);
	cm_peer_tcp_wake(&loop->peers);
	pthread_join(loop->thread, NULL);
	cm_peer_tcp_finish(&loop->peers);
}
