#include "peer_loop.h"

#include <ck_pr.h>
#include <string.h>

#include "chervilmast/error.h"
#include "ports/clock.h"

/** Maximum wait for messages, after which the stop flag is checked, ms. */
#define RUN_WAIT_MS 500

static void set_sender(const struct cm_peer_loop *loop,
		       struct cm_message *message)
{
	message->sender_incarnation = loop->feed->incarnation;
	message->sender_data_address = loop->feed->self.control;
	message->sender_control_address = loop->feed->self.control;
	memcpy(message->sender_domain, loop->feed->self.domain,
	       sizeof(message->sender_domain));
}

static void make_request(struct cm_peer_loop *loop, struct cm_message *message)
{
	cm_message_init(message, CM_MESSAGE_ITEMS_REQUEST);
	set_sender(loop, message);
	cm_feed_make_request(loop->feed, cm_clock_ms(),
			     &message->items_request);
}

/* Return: true when @answer was set to a request for the next part. */
static bool apply_items(struct cm_peer_loop *loop,
			const struct cm_message *message,
			struct cm_message *answer)
{
	int error = cm_feed_apply_answer(
		loop->feed, cm_clock_ms(), &message->sender_control_address,
		message->sender_incarnation, &message->items);

	if (error || !message->items.has_more)
		return false;
	make_request(loop, answer);
	return true;
}

static bool answer_items_request(struct cm_peer_loop *loop,
				 const struct cm_message *message,
				 struct cm_message *answer)
{
	struct cm_peer_entry from = { .control =
					      message->sender_control_address };

	memcpy(from.name, message->items_request.name, sizeof(from.name));
	memcpy(from.domain, message->sender_domain, sizeof(from.domain));
	cm_message_init(answer, CM_MESSAGE_ITEMS);
	set_sender(loop, answer);
	if (!cm_feed_make_answer(loop->feed, cm_clock_ms(), &from,
				 &message->items_request, &answer->items))
		return true;
	cm_message_finish(answer);
	return false;
}

static bool receive(void *user, const struct cm_message *message,
		    struct cm_message *answer)
{
	struct cm_peer_loop *loop = user;

	if (message->kind == CM_MESSAGE_ITEMS)
		return apply_items(loop, message, answer);
	if (message->kind == CM_MESSAGE_ITEMS_REQUEST)
		return answer_items_request(loop, message, answer);
	return false;
}

static void *peer_thread(void *user)
{
	struct cm_peer_loop *loop = user;
	struct cm_peers *peers = &loop->peers.base;

	while (!ck_pr_load_32(&loop->stopping))
		if (peers->ops->run(peers, RUN_WAIT_MS))
			break;
	return NULL;
}

int cm_peer_loop_init(struct cm_peer_loop *loop, struct cm_feed *feed)
{
	const struct cm_peers_handler handler = { receive, loop };
	int error;

	memset(loop, 0, sizeof(*loop));
	loop->feed = feed;
	error = cm_peer_tcp_init(&loop->peers, &feed->self.control, &handler,
				 &feed->steer->counters);
	/* On CM_E_BIND, the adapter has started and retries to listen. */
	if (error && error != CM_E_BIND)
		return error;
	if (!pthread_create(&loop->thread, NULL, peer_thread, loop))
		return CM_OK;
	cm_peer_tcp_finish(&loop->peers);
	return CM_E_MEMORY;
}

int cm_peer_loop_request_items(struct cm_peer_loop *loop,
			       const struct cm_endpoint *to)
{
	struct cm_peers *peers = &loop->peers.base;
	struct cm_message message;
	int error;

	make_request(loop, &message);
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
