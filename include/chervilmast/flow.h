/**
 * DOC: Flows
 *
 * The state that one instance keeps of a flow, and the table of all its flows.
 * The table is a hash table split into shards, each with its own lock. A shard
 * also lists its flows by age, so that expiry looks at the oldest ones only.
 * Half-open flows have a list of their own, whose length is bounded.
 */
#ifndef CHERVILMAST_FLOW_H
#define CHERVILMAST_FLOW_H

#include <pthread.h>
#include <stddef.h>
#include <sys/queue.h>

#include "chervilmast/flow_key.h"
#include "chervilmast/packet.h"

/** Shards of a flow table; a power of two. */
#define CM_FLOW_SHARDS 16

/**
 * enum cm_flow_state - state of a flow on one instance
 * @CM_FLOW_OPENING: admitted here; the server has not answered the SYN yet
 * @CM_FLOW_OPEN: established; this instance is the home of its server
 * @CM_FLOW_CLOSING: ended; kept only to handle late packets
 * @CM_FLOW_RELAYED: new; another instance, the home of its server, has to admit
 *                   it
 * @CM_FLOW_BOUND: bound to a server, but not counted here as one of that
 *                 server's connections, usually as the server's home is another
 *                 instance
 * @CM_FLOW_PROBING: the server that holds it is unknown; servers are probed for
 *                   the flow
 */
enum cm_flow_state {
	CM_FLOW_OPENING,
	CM_FLOW_OPEN,
	CM_FLOW_CLOSING,
	CM_FLOW_RELAYED,
	CM_FLOW_BOUND,
	CM_FLOW_PROBING,
};

/** The caller has sent FIN. */
#define CM_FLOW_CALLER_FIN 0x01
/** The server has sent FIN. */
#define CM_FLOW_SERVER_FIN 0x02
/** The caller and the server have sent FIN. */
#define CM_FLOW_BOTH_FIN (CM_FLOW_CALLER_FIN | CM_FLOW_SERVER_FIN)
/**
 * Payload of the caller was sent to the server; a retry would deliver it to a
 * second server.
 */
#define CM_FLOW_DELIVERED 0x04
/** The flow's @seq is known. */
#define CM_FLOW_SEQ_KNOWN 0x08
/**
 * A packet of the server has shown that the server holds the flow: a SYN-ACK, a
 * FIN or the answer to a probe.
 */
#define CM_FLOW_CONFIRMED 0x10
/** The caller has not acknowledged the server's SYN-ACK yet. */
#define CM_FLOW_AWAITING_ACK 0x40
/**
 * The server was inferred from a probe that the server has not answered. The
 * binding is not sent to other instances unless CM_FLOW_CONFIRMED is set too.
 */
#define CM_FLOW_INFERRED 0x20

/**
 * struct cm_flow_half_open - state that only a half-open flow needs
 * @header: headers of the caller's segment to replay to another server; length
 *          0 if none
 * @catalog_version: version of the catalog whose order of servers the probe
 *                   position in @tried_or_position of the flow refers to
 * @has_sent_segment: a segment of the caller was sent to the probed server. A
 *                    missing answer counts only then, as a server that holds
 *                    the flow need not answer the replayed headers.
 * @silent_server: first probed server without an RST or progress within
 *                 CM_PROBE_SILENCE_MS; the flow is bound to it if no server is
 *                 left to probe. Port 0 if none.
 * @seq: sequence number of the caller when the probe began
 * @ack: acknowledgment number of the caller when the probe began
 */
struct cm_flow_half_open {
	struct cm_built_packet header;
	uint64_t catalog_version;
	bool has_sent_segment;
	struct cm_endpoint silent_server;
	uint32_t seq;
	uint32_t ack;
};

/**
 * struct cm_flow - one flow
 * @chain: list of the hash bucket
 * @age: list of the shard for flows in @state, see struct cm_flow_shard
 * @key: key of the flow
 * @server: the server that the flow is bound to or that is being probed
 * @state: enum cm_flow_state
 * @flags: CM_FLOW_ bits
 * @tried_or_position: while PROBING, probe position of @server, or UINT8_MAX if
 *                     @server was taken from a binding; while OPENING or
 *                     RELAYED, a bit mask of the candidates that were tried, by
 *                     rank
 * @announced_hash: hash of the flow's directory and its successor, to which the
 *                  binding was announced; 0 if it was not announced
 * @last_packet_ms: time when the flow was added or last touched by
 *                  cm_flow_shard_touch(), ms, low 32 bits
 * @since_ms: time of the last change of state or server, or of the first
 *            segment sent to a probed server, ms, low 32 bits
 * @seq: sequence number that the server expects next from the caller
 * @ack: sequence number that the caller expects next from the server
 * @half_open: state that only a half-open flow needs; NULL otherwise
 */
struct cm_flow {
	SLIST_ENTRY(cm_flow) chain;
	TAILQ_ENTRY(cm_flow) age;
	struct cm_flow_key key;
	struct cm_endpoint server;
	uint8_t state;
	uint8_t flags;
	uint8_t tried_or_position;
	uint16_t announced_hash;
	uint32_t last_packet_ms;
	uint32_t since_ms;
	uint32_t seq;
	uint32_t ack;
	struct cm_flow_half_open *half_open;
};

SLIST_HEAD(cm_flow_chain, cm_flow);
TAILQ_HEAD(cm_flow_list, cm_flow);

/**
 * struct cm_flow_shard - a part of the table under one lock
 * @lock: guards the other members and the flows of the shard
 * @buckets: hash buckets
 * @bucket_mask: number of @buckets minus one
 * @count: number of flows
 * @half_open_count: number of flows in @half_open
 * @half_open: OPENING, RELAYED and PROBING flows, longest in their state first
 * @established: OPEN and BOUND flows, longest idle first
 * @closing: CLOSING flows, longest in their state first
 */
struct cm_flow_shard {
	pthread_mutex_t lock;
	struct cm_flow_chain *buckets;
	uint32_t bucket_mask;
	uint32_t count;
	uint32_t half_open_count;
	struct cm_flow_list half_open;
	struct cm_flow_list established;
	struct cm_flow_list closing;
};

/**
 * struct cm_flow_table - all flows of an instance
 * @shards: the shards
 */
struct cm_flow_table {
	struct cm_flow_shard shards[CM_FLOW_SHARDS];
};

/**
 * cm_flow_table_init() - initialize an empty table
 * @table: uninitialized memory, owned by the calling function
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_flow_table_init(struct cm_flow_table *table);

/**
 * cm_flow_table_finish() - free all flows
 * @table: the table; the struct itself is not freed
 */
void cm_flow_table_finish(struct cm_flow_table *table);

/**
 * cm_flow_table_shard() - the shard that a flow belongs to
 * @table: the table
 * @hash: hash of the flow's key
 *
 * Return: the shard, not locked.
 */
struct cm_flow_shard *cm_flow_table_shard(struct cm_flow_table *table,
					  uint64_t hash);

/**
 * cm_flow_shard_find() - look up a flow
 * @shard: its shard, locked
 * @key: its key
 * @hash: hash of @key
 *
 * Return: the flow or NULL.
 */
struct cm_flow *cm_flow_shard_find(struct cm_flow_shard *shard,
				   const struct cm_flow_key *key,
				   uint64_t hash);

/**
 * cm_flow_shard_add() - add a flow that the shard does not hold yet
 * @shard: its shard, locked
 * @key: its key
 * @hash: hash of @key
 * @state: its first state
 * @now_ms: current time
 *
 * Return: the flow, or NULL if out of memory.
 */
struct cm_flow *cm_flow_shard_add(struct cm_flow_shard *shard,
				  const struct cm_flow_key *key, uint64_t hash,
				  enum cm_flow_state state, uint64_t now_ms);

/**
 * cm_flow_shard_set_state() - change the state of a flow
 * @shard: its shard, locked
 * @flow: the flow
 * @state: its new state
 * @now_ms: current time
 */
void cm_flow_shard_set_state(struct cm_flow_shard *shard, struct cm_flow *flow,
			     enum cm_flow_state state, uint64_t now_ms);

/**
 * cm_flow_shard_touch() - restart the idle timeout of a flow
 * @shard: its shard, locked
 * @flow: the flow
 * @now_ms: current time
 */
void cm_flow_shard_touch(struct cm_flow_shard *shard, struct cm_flow *flow,
			 uint64_t now_ms);

/**
 * cm_flow_shard_remove() - remove a flow and free it
 * @shard: its shard, locked
 * @flow: the flow
 */
void cm_flow_shard_remove(struct cm_flow_shard *shard, struct cm_flow *flow);

/**
 * cm_flow_save_header() - save the header of a segment for a replay
 * @flow: the flow
 * @packet: the segment
 *
 * If out of memory, saves nothing. Then nothing is replayed, and the caller has
 * to retransmit.
 */
void cm_flow_save_header(struct cm_flow *flow, const struct cm_packet *packet);

/**
 * cm_flow_free_half_open() - free the state that only a half-open flow needs
 * @flow: the flow
 */
void cm_flow_free_half_open(struct cm_flow *flow);

/**
 * cm_flow_age_ms() - time since a timestamp of a flow
 * @now_ms: current time
 * @then_ms: the timestamp, ms, low 32 bits
 *
 * Each thread has its own current time, so @then_ms may be later than @now_ms
 * if another thread set it.
 *
 * Return: the time since @then_ms, ms, correct up to 24 days; 0 if @then_ms is
 * later than @now_ms.
 */
uint32_t cm_flow_age_ms(uint64_t now_ms, uint32_t then_ms);

/**
 * cm_flow_is_held() - whether the flow counts as a connection of its server
 * @flow: the flow
 *
 * Return: true in states OPENING and OPEN.
 */
bool cm_flow_is_held(const struct cm_flow *flow);

#endif
