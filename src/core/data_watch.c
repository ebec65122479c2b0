#include "chervilmast/data_watch.h"

/**
 * Time for which a packet is remembered, ms: until its second retransmission,
 * with a margin for delays. Then another packet may take its place.
 */
#define WATCH_MS 700

static bool is_after(uint32_t number, uint32_t other)
{
	return (int32_t)(number - other) > 0;
}

/* Return: whether another packet may take the place. */
static bool is_free(const struct cm_data_packet *place, uint64_t now_ms)
{
	return !place->sent_ms || now_ms >= place->sent_ms + WATCH_MS;
}

/* The packet of a flow, or else a free place; NULL for neither. */
static struct cm_data_packet *find_or_free(struct cm_data_watch *watch,
					   uint64_t now_ms, uint64_t flow_hash)
{
	struct cm_data_packet *free_place = NULL;

	for (int i = 0; i < CM_DATA_WATCH_PACKETS; i++) {
		struct cm_data_packet *place = &watch->packets[i];

		if (place->sent_ms && place->flow_hash == flow_hash)
			return place;
		if (!free_place && is_free(place, now_ms))
			free_place = place;
	}
	return free_place;
}

static void remember(struct cm_data_packet *place, uint64_t now_ms,
		     uint64_t flow_hash, const struct cm_steer_packet *packet)
{
	place->flow_hash = flow_hash;
	place->seq = packet->seq;
	place->ack = packet->ack;
	place->sent_ms = now_ms;
}

/*
 * Records another copy of a packet that was first forwarded at @sent_ms. A copy
 * before CM_DATA_STALL_MS is the first retransmission or a duplicate made by
 * the network.
 */
static void record_copy(struct cm_data_watch *watch, uint64_t now_ms,
			uint64_t sent_ms)
{
	if (now_ms >= sent_ms + CM_DATA_STALL_MS) {
		watch->stalled_from_ms = sent_ms;
		watch->stalled_ms = now_ms;
	}
}

static bool is_empty(const struct cm_data_watch *watch)
{
	for (int i = 0; i < CM_DATA_WATCH_PACKETS; i++)
		if (watch->packets[i].sent_ms)
			return false;
	return true;
}

bool cm_data_watch_packet(struct cm_data_watch *watch, uint64_t now_ms,
			  const struct cm_steer_packet *packet)
{
	struct cm_data_packet *place;
	uint64_t flow_hash;

	if (!packet->data_length && is_empty(watch))
		return false;
	flow_hash = cm_flow_key_hash(&packet->key);
	place = find_or_free(watch, now_ms, flow_hash);
	if (!place)
		return false;
	if (place->flow_hash == flow_hash && place->sent_ms &&
	    (packet->flags & CM_STEER_ACK) &&
	    is_after(packet->ack, place->ack)) {
		place->sent_ms = 0;
		return true;
	}
	if (!packet->data_length)
		return false;
	if (place->flow_hash != flow_hash || !place->sent_ms ||
	    is_after(packet->seq, place->seq)) {
		remember(place, now_ms, flow_hash, packet);
	} else if (packet->seq == place->seq) {
		record_copy(watch, now_ms, place->sent_ms);
	}
	return false;
}

bool cm_data_watch_is_stalled(const struct cm_data_watch *watch,
			      uint64_t now_ms)
{
	return watch->stalled_ms &&
	       now_ms < watch->stalled_ms + CM_DATA_STALL_TTL_MS;
}
