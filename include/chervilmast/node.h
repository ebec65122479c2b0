/**
 * DOC: Node
 *
 * The packet handling of one instance, without input and output. Each call
 * passes an event (a packet, a release note, a change of members, a tick) and
 * the current time; the node appends the resulting actions to a list. The node
 * reads no clock, no socket and no random source.
 *
 * Packets, notes, snapshots and members may be passed from several threads at
 * once. Ticks must come from a single thread.
 */
#ifndef CHERVILMAST_NODE_H
#define CHERVILMAST_NODE_H

#include <pthread.h>

#include "chervilmast/action.h"
#include "chervilmast/backend.h"
#include "chervilmast/budget.h"
#include "chervilmast/flow.h"
#include "chervilmast/view.h"

/** Retry budget that each admitted flow adds, thousandths of a retry. */
#define CM_RETRY_EARNED_PER_MILLE 100
/** Retries per second that are allowed without admitted flows. */
#define CM_RETRY_FLOOR_PER_S 1
/** Maximum retry budget, retries. */
#define CM_RETRY_BURST 10

/**
 * struct cm_node_config - configuration of a node, fixed at its start
 * @self: data address of this instance
 * @half_open_max: approximate maximum number of half-open flows in the flow
 *                 table; each of its CM_FLOW_SHARDS shards may hold an equal
 *                 share, rounded down, plus one
 */
struct cm_node_config {
	struct cm_endpoint self;
	uint32_t half_open_max;
};

/**
 * struct cm_node - state of the packet handling of one instance
 * @config: its configuration
 * @counters: event counters
 * @change_lock: held while the next view is built; taken before @view_lock;
 *               also guards @all_backends
 * @view_lock: guards @view, @backends and @is_leaving; packets hold it for
 *             reading
 * @view: catalog, members and homes in force
 * @backends: admission state of each server of the catalog, in its order
 * @all_backends: owns every backend that @backends points to
 * @flows: the flow table
 * @retry_budget: limits the retries after an RST in answer to a SYN
 * @last_tick_ms: time of the last tick
 * @loads_due_ms: when loads are sent next, ms
 * @round_loads_sent: number of loads for balancing that were sent so far in the
 *                    current round; 0 if the next batch begins a new round. A
 *                    round takes several batches, one per CM_LOADS_INTERVAL_MS,
 *                    if it exceeds CM_LOADS_PER_INTERVAL_MAX.
 * @is_leaving: a graceful shutdown has begun
 * @admit_until_ms: time until which the node may admit new flows
 * @packets_until_ms: time until which the node may handle packets
 * @last_other_home_ms: last time at which another instance may have been home
 *                      of this node's servers
 * @announce_budget: limits the rate of binding announcements
 * @sweep_due: the view has changed since the last full sweep of the flows
 * @announces_deferred: binding announcements were deferred for lack of budget
 * @sweep_shard: next shard to sweep for deferred announcements
 * @shard_sweep_due_ms: time from which that shard is swept
 */
struct cm_node {
	struct cm_node_config config;
	struct cm_counters counters;
	pthread_mutex_t change_lock;
	struct cm_slot_lock view_lock;
	struct cm_view view;
	struct cm_backend **backends;
	struct cm_backend_list all_backends;
	struct cm_flow_table flows;
	struct cm_budget retry_budget;
	uint64_t last_tick_ms;
	uint64_t loads_due_ms;
	uint32_t round_loads_sent;
	bool is_leaving;
	uint64_t admit_until_ms;
	uint64_t packets_until_ms;
	uint64_t last_other_home_ms;
	struct cm_budget announce_budget;
	uint32_t sweep_due;
	uint32_t announces_deferred;
	uint32_t sweep_shard;
	uint64_t shard_sweep_due_ms;
};

/**
 * cm_node_init() - initialize a node with an empty catalog and no members
 * @node: uninitialized memory, owned by the calling function; on failure, to be
 *        released by cm_node_finish() all the same
 * @config: its configuration, copied
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_node_init(struct cm_node *node, const struct cm_node_config *config);

/**
 * cm_node_finish() - free the resources of a node
 * @node: the node; the struct itself is not freed
 */
void cm_node_finish(struct cm_node *node);

/**
 * cm_node_apply_note() - put the next release note in force
 * @node: the node
 * @now_ms: current time
 * @note: the note
 *
 * Return: 0, an error of cm_catalog_apply(), or CM_E_MEMORY; on failure nothing
 * changes.
 */
int cm_node_apply_note(struct cm_node *node, uint64_t now_ms,
		       const struct cm_note *note);

/**
 * cm_node_apply_snapshot() - put a complete catalog in force
 * @node: the node
 * @now_ms: current time
 * @catalog: the catalog; moved into the node and emptied on success. On
 *           CM_E_MEMORY it may have been freed and emptied.
 * @history: history of candidate sets of @catalog; moved, freed and emptied as
 *           @catalog
 *
 * Return: 0, CM_E_STALE unless the version of @catalog is higher than the one
 * in force, or CM_E_MEMORY; on failure the state of the node does not change.
 */
int cm_node_apply_snapshot(struct cm_node *node, uint64_t now_ms,
			   struct cm_catalog *catalog,
			   struct cm_history *history);

/**
 * cm_node_publication() - version and publication id in force
 * @node: the node
 * @id: buffer of CM_PUBLICATION_ID_SIZE bytes, set to the publication id
 *
 * Return: the version; 0 before the first note.
 */
uint64_t cm_node_publication(struct cm_node *node, uint8_t *id);

/**
 * cm_node_set_members() - replace the list of member instances
 * @node: the node
 * @members: all known instances including this one; copied
 * @count: number of @members
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_node_set_members(struct cm_node *node, const struct cm_member *members,
			uint32_t count);

/**
 * cm_node_set_deadlines() - set the deadlines for admission and packets
 * @node: the node
 * @admit_until_ms: time until which the node may admit new flows to the servers
 *                  whose home it is; 0 if it may not
 * @packets_until_ms: time until which the node may handle packets; 0 if it may
 *                    not because it may have missed changes during a pause
 *
 * Both use the same clock as @now_ms of the events. Before the first call there
 * is no limit. A process that was paused beyond its deadlines admits no flows
 * and handles no packets until they are set anew; it need not detect the pause
 * itself.
 */
void cm_node_set_deadlines(struct cm_node *node, uint64_t admit_until_ms,
			   uint64_t packets_until_ms);

/**
 * cm_node_packet() - handle one packet, without its encapsulation
 * @node: the node
 * @now_ms: current time
 * @packet: the packet; may be rewritten in place
 * @relay: relay header, if another instance relayed the packet; NULL for a
 *         packet from the fabric
 * @actions: appended to; at most one action refers to @packet itself
 */
void cm_node_packet(struct cm_node *node, uint64_t now_ms,
		    struct cm_packet *packet, const struct cm_relay *relay,
		    struct cm_actions *actions);

/**
 * cm_node_is_peer() - whether a sender may relay packets to this instance
 * @node: the node
 * @sender: source address of the relayed packet
 *
 * Return: true if @sender is the data address of another instance in any
 * member state.
 */
bool cm_node_is_peer(struct cm_node *node, const struct cm_endpoint *sender);

/**
 * cm_node_count_bad_packet() - count a packet that could not be parsed
 * @node: the node
 * @error: error of the parser
 */
void cm_node_count_bad_packet(struct cm_node *node, int error);

/**
 * cm_node_record_binding() - record a binding that another instance announced
 * @node: the node
 * @now_ms: current time
 * @key: key of the flow
 * @server: backend server that the flow is bound to
 */
void cm_node_record_binding(struct cm_node *node, uint64_t now_ms,
			    const struct cm_flow_key *key,
			    const struct cm_endpoint *server);

/**
 * cm_node_tick() - run the periodic work of a node
 * @node: the node
 * @now_ms: current time
 * @actions: appended to
 *
 * Starts due takeovers, expires flows, applies a changed view to the flows and
 * retries deferred binding announcements.
 */
void cm_node_tick(struct cm_node *node, uint64_t now_ms,
		  struct cm_actions *actions);

/**
 * cm_node_leave() - begin a graceful shutdown; no new flows are admitted
 * @node: the node
 */
void cm_node_leave(struct cm_node *node);

/**
 * cm_node_version() - version of the release note in force
 * @node: the node
 *
 * Return: the version; 0 before the first note.
 */
uint64_t cm_node_version(struct cm_node *node);

/**
 * Bits of flags in struct cm_message_load that hold the share of its rate and
 * connection cap that the server is given, percent.
 */
#define CM_LOAD_PERCENT_MASK 0x7f
/** The server is at its connection cap; its home admits no new flows. */
#define CM_LOAD_FULL 0x80
/**
 * The sender is no longer the server's home; the load counts the connections
 * that the sender held when it ceased to be the home.
 */
#define CM_LOAD_FORMER 0x100
/**
 * Set together with CM_LOAD_FORMER: the load counts only those connections that
 * the sender may have admitted itself.
 */
#define CM_LOAD_SELF_ADMITTED 0x200
/** Interval at which an instance sends server loads to others, ms. */
#define CM_LOADS_INTERVAL_MS 1000
/**
 * Maximum number of struct cm_message_load that one instance sends per
 * CM_LOADS_INTERVAL_MS, to all other instances together.
 */
#define CM_LOADS_PER_INTERVAL_MAX 32

/**
 * cm_node_send_loads() - send server loads to other instances
 * @node: the node
 * @now_ms: current time
 * @actions: CM_ACTION_SEND_LOAD actions are appended when loads are due
 *
 * The instance that becomes the home of a server if the current home fails
 * needs the server's load for the takeover; the homes of other servers of the
 * service need it for load balancing. To be called after each cm_node_tick().
 */
void cm_node_send_loads(struct cm_node *node, uint64_t now_ms,
			struct cm_actions *actions);

/**
 * cm_node_record_load() - record a server load reported by another instance
 * @node: the node
 * @now_ms: current time
 * @load: the load
 */
void cm_node_record_load(struct cm_node *node, uint64_t now_ms,
			 const struct cm_message_load *load);

/**
 * struct cm_server_report - capacity reported by a backend server
 * @server: its address
 * @percent: usable share of its rate and connection cap, 0 to 100 %
 * @made_ms: when the server made the report, by the same clock as @now_ms
 */
struct cm_server_report {
	struct cm_endpoint server;
	uint32_t percent;
	uint64_t made_ms;
};

/**
 * cm_node_apply_server_report() - apply a backend server's capacity report
 * @node: the node
 * @now_ms: current time
 * @report: the report
 *
 * For CM_SERVER_REPORT_MS after it was made, a report can lower the share of
 * rate and cap that this node grants the server; it never raises the share
 * above the one that the node derives from its own observations. Only the
 * server's home uses the report. A sender that cannot tell which instance is
 * the home sends the report to every instance.
 *
 * Return: 0, CM_E_OUT_OF_RANGE for a share above 100, CM_E_UNKNOWN_SERVER, or
 * CM_E_STALE if a newer report was applied or this one has expired; on failure
 * nothing changes.
 */
int cm_node_apply_server_report(struct cm_node *node, uint64_t now_ms,
				const struct cm_server_report *report);

/**
 * struct cm_node_server_status - state of one backend server
 * @spec: its specification in force
 * @is_home: this instance is its home
 * @open_connections: open connections of the server that this instance counts
 * @admission: its admission state
 */
struct cm_node_server_status {
	struct cm_server_spec spec;
	bool is_home;
	uint32_t open_connections;
	struct cm_backend_status admission;
};

/**
 * cm_node_servers() - list the state of all backend servers
 * @node: the node
 * @servers: set to an array that the calling function frees with free()
 * @count: set to the number of @servers
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_node_servers(struct cm_node *node,
		    struct cm_node_server_status **servers, uint32_t *count);

#endif
