#include "udp_batch.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <time.h>

#include "chervilmast/error.h"
#include "socket.h"

#define MS_PER_S 1000
#define NS_PER_MS 1000000

int cm_udp_batch_init(struct cm_udp_batch *batch,
		      const struct cm_endpoint *address)
{
	batch->received_count = 0;
	batch->out_count = 0;
	return cm_udp_link_init(&batch->link, address);
}

void cm_udp_batch_finish(struct cm_udp_batch *batch)
{
	cm_udp_link_finish(&batch->link);
}

static int receive_pending(struct cm_udp_batch *batch)
{
	struct mmsghdr messages[CM_UDP_BATCH];
	struct iovec parts[CM_UDP_BATCH];
	int got;

	memset(messages, 0, sizeof(messages));
	for (size_t i = 0; i < CM_UDP_BATCH; i++) {
		parts[i].iov_base = batch->received[i].bytes;
		parts[i].iov_len = CM_FABRIC_PACKET_MAX;
		messages[i].msg_hdr.msg_iov = &parts[i];
		messages[i].msg_hdr.msg_iovlen = 1;
	}
	got = recvmmsg(batch->link.fd, messages, CM_UDP_BATCH, MSG_DONTWAIT,
		       NULL);
	if (got < 0)
		return errno == EBADF ? CM_E_IO : CM_OK;
	for (int i = 0; i < got; i++)
		batch->received[i].length = messages[i].msg_len;
	batch->received_count = (size_t)got;
	return CM_OK;
}

int cm_udp_batch_receive(struct cm_udp_batch *batch, uint32_t timeout_ms,
			 const sigset_t *signals)
{
	struct pollfd poll_fd = { .fd = batch->link.fd, .events = POLLIN };
	struct timespec wait = {
		.tv_sec = timeout_ms / MS_PER_S,
		.tv_nsec = (long)(timeout_ms % MS_PER_S) * NS_PER_MS,
	};

	batch->received_count = 0;
	if (ppoll(&poll_fd, 1, &wait, signals) <= 0)
		return CM_OK;
	return receive_pending(batch);
}

void cm_udp_batch_add(struct cm_udp_batch *batch, const uint8_t *bytes,
		      size_t length, const struct cm_endpoint *to)
{
	size_t index = batch->out_count++;
	struct msghdr *header = &batch->out[index].msg_hdr;

	batch->out_addresses[index] = cm_socket_address(to);
	batch->out_iov[index].iov_base = (void *)bytes;
	batch->out_iov[index].iov_len = length;
	memset(header, 0, sizeof(*header));
	header->msg_name = &batch->out_addresses[index];
	header->msg_namelen = sizeof(batch->out_addresses[index]);
	header->msg_iov = &batch->out_iov[index];
	header->msg_iovlen = 1;
}

/*
 * sendmmsg() stops at a datagram that can't be sent. That one is skipped, so
 * that the ones after it are sent.
 */
size_t cm_udp_batch_send(struct cm_udp_batch *batch)
{
	size_t failed = 0;
	size_t index = 0;

	while (index < batch->out_count) {
		int sent =
			sendmmsg(batch->link.fd, batch->out + index,
				 (unsigned int)(batch->out_count - index), 0);

		if (sent > 0) {
			index += (size_t)sent;
			continue;
		}
		if (sent < 0 && errno == EINTR)
			continue;
		failed++;
		index++;
	}
	batch->out_count = 0;
	return failed;
}
