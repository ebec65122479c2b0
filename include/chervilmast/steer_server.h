/**
 * DOC: Backend servers of an instance that steers by token
 *
 * The registry entry of each backend server, and what this instance observes of
 * it. Servers that have left are kept for the maximum lifetime of a flow, so
 * that packets of their open flows can still be forwarded.
 */
#ifndef CHERVILMAST_STEER_SERVER_H
#define CHERVILMAST_STEER_SERVER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "chervilmast/data_watch.h"
#include "chervilmast/flow_key.h"
#include "chervilmast/note.h"
#include "chervilmast/server_health.h"
#include "chervilmast/server_load.h"
#include "chervilmast/server_pool.h"

/** Hash buckets of a server table; a power of two. */
#define CM_STEER_SERVER_BUCKETS 1024

/**
 * struct cm_server_entry - registry entry of a backend server
 * @id: id of the server
 * @started_ms: when this run of the server started, ms since the epoch; 0 when
 *              unknown
 * @service: name of its service
 * @domain: name of its failure domain
 * @address: where it receives datagrams
 * @slots: requests that it processes concurrently
 * @cold_left_ms: remaining time of its cold start, ms
 * @is_draining: it takes no new flows
 */
struct cm_server_entry {
	uint64_t id;
	uint64_t started_ms;
	char service[CM_NAME_SIZE];
	char domain[CM_NAME_SIZE];
	struct cm_endpoint address;
	uint32_t slots;
	uint32_t cold_left_ms;
	bool is_draining;
};

/**
 * enum cm_listing - registration state of a backend server
 * @CM_LISTED: it has a registry entry
 * @CM_LAPSED: its entry disappeared during or shortly after an outage of the
 *             registry, so it may be alive and register again
 * @CM_LEFT: it has left; only its open flows are served
 */
enum cm_listing {
	CM_LISTED,
	CM_LAPSED,
	CM_LEFT,
};

/**
 * struct cm_steer_server - a backend server
 * @entry: latest registry entry
 * @token: identifies the server in packets; not 0
 * @service_hash: hash of the name of its service
 * @domain_hash: hash of the name of its failure domain
 * @listing: registration state
 * @listing_changed_ms: when @listing last changed, ms
 * @removed_ms: when its entry last disappeared, ms
 * @is_replaced: another run under the same id was registered later
 * @acked_ms: when a caller last acknowledged new bytes of it at this instance,
 *            ms; 0 for never
 * @cold_until_ms: end of its cold start, ms
 * @cold_tokens: token bucket for new flows during its cold start, thousandths
 *               of a flow
 * @cold_refilled_ms: when @cold_tokens was last refilled, ms
 * @open_flows: number of this instance's flows at the server, from the SYN
 *              until their end or until the SYN counts as unanswered
 * @load: load of the server, as far as this instance knows it
 * @choice_seq: sequence number of the last choice of the server
 * @health: health as this instance observes it
 * @watch: data that the server may not have acknowledged
 * @observations: number of kinds of evidence of its silence at the last tick,
 *                to be reported to the source
 * @by_token: link in the bucket of its token
 * @by_id: link in the bucket of its id
 * @link: link in the list of all servers
 * @pool: servers of its service; NULL once it has left
 * @group: the servers in @pool that share its failure domain; NULL once it has
 *         left
 * @group_index: index in @group
 * @is_suspect: it is in the table's list of suspects
 * @suspect_link: link in the list of suspects
 */
struct cm_steer_server {
	struct cm_server_entry entry;
	uint32_t token;
	uint64_t service_hash;
	uint64_t domain_hash;
	enum cm_listing listing;
	uint64_t listing_changed_ms;
	uint64_t removed_ms;
	bool is_replaced;
	uint64_t acked_ms;
	uint64_t cold_until_ms;
	uint64_t cold_tokens;
	uint64_t cold_refilled_ms;
	uint32_t open_flows;
	struct cm_server_load load;
	uint64_t choice_seq;
	struct cm_server_health health;
	struct cm_data_watch watch;
	uint32_t observations;
	LIST_ENTRY(cm_steer_server) by_token;
	LIST_ENTRY(cm_steer_server) by_id;
	TAILQ_ENTRY(cm_steer_server) link;
	struct cm_server_pool *pool;
	struct cm_server_group *group;
	uint32_t group_index;
	bool is_suspect;
	TAILQ_ENTRY(cm_steer_server) suspect_link;
};

LIST_HEAD(cm_steer_server_bucket, cm_steer_server);
TAILQ_HEAD(cm_steer_server_list, cm_steer_server);

/**
 * struct cm_steer_servers - all known backend servers
 * @all: every server, in the order in which they were added
 * @pools: servers that have not left, by service and failure domain
 * @suspects: servers that left a SYN unanswered and have not answered since
 * @by_token: buckets by token; servers that share a token in the order of their
 *            start
 * @by_id: buckets by id; the run that was registered last first
 * @count: number of servers in @all
 * @earliest_left_ms: lower bound of the times at which servers in @all left,
 *                    ms; 0 when none has left
 * @listing_changes: number of changes of @listing and removals of servers
 * @lapsed_count: number of servers in @all that are CM_LAPSED
 */
struct cm_steer_servers {
	struct cm_steer_server_list all;
	struct cm_server_pools pools;
	struct cm_steer_server_list suspects;
	struct cm_steer_server_bucket by_token[CM_STEER_SERVER_BUCKETS];
	struct cm_steer_server_bucket by_id[CM_STEER_SERVER_BUCKETS];
	uint32_t count;
	uint64_t earliest_left_ms;
	uint64_t listing_changes;
	uint32_t lapsed_count;
};

/**
 * cm_steer_token() - token of one run of a backend server
 * @id: id of the server
 * @started_ms: when the run started, ms since the epoch
 *
 * Return: the token, the same on every instance; never 0.
 */
uint32_t cm_steer_token(uint64_t id, uint64_t started_ms);

/**
 * cm_steer_name_hash() - hash of the name of a service or a failure domain
 * @name: the name
 *
 * Return: the hash, 64 bits.
 */
uint64_t cm_steer_name_hash(const char *name);

/**
 * cm_steer_servers_init() - initialize an empty table
 * @servers: uninitialized memory, owned by the calling function
 * @seed: makes the order of servers differ from instance to instance
 */
void cm_steer_servers_init(struct cm_steer_servers *servers, uint64_t seed);

/**
 * cm_steer_servers_finish() - free all servers
 * @servers: the table; the struct itself is not freed
 */
void cm_steer_servers_finish(struct cm_steer_servers *servers);

/**
 * cm_steer_servers_put() - add or update a server from its registry entry
 * @servers: the table
 * @entry: the registry entry; copied
 * @now_ms: current time, ms
 * @server: set to the server; may be NULL
 *
 * A restart under a known id adds a separate server, and the run that was
 * registered before is marked as left. The entry written last counts whatever
 * its start is: the clock of the server may have been set back, and an entry
 * that another writer left under the id may have stated a later start.
 *
 * Return: 0 or CM_E_MEMORY; the server may then be in the table without a pool,
 * so that it gets no flows.
 */
int cm_steer_servers_put(struct cm_steer_servers *servers,
			 const struct cm_server_entry *entry, uint64_t now_ms,
			 struct cm_steer_server **server);

/**
 * cm_steer_servers_find_by_id() - find the run of a server that was registered
 * last
 * @servers: the table
 * @id: id of the server
 *
 * Return: the server, or NULL when it is not known.
 */
struct cm_steer_server *
cm_steer_servers_find_by_id(const struct cm_steer_servers *servers,
			    uint64_t id);

/**
 * cm_steer_servers_find_by_token() - find the server that a packet's token
 * identifies
 * @servers: the table
 * @token: token of the packet
 *
 * Return: the server that started first of those with the token, or NULL when
 * there is none.
 */
struct cm_steer_server *
cm_steer_servers_find_by_token(const struct cm_steer_servers *servers,
			       uint32_t token);

/**
 * cm_steer_servers_find_successor() - find the run that receives the packets of
 * a run which was replaced
 * @servers: the table
 * @server: the run
 *
 * Both runs have the same id and address, so that a flow with the token of
 * @server may have been opened at the other run, before this or another
 * instance knew of its start.
 *
 * Return: the run that was registered last, or NULL when this is @server or has
 * another address.
 */
struct cm_steer_server *
cm_steer_servers_find_successor(const struct cm_steer_servers *servers,
				const struct cm_steer_server *server);

/**
 * cm_steer_servers_set_listing() - set the registration state of a server
 * @servers: the table
 * @server: the server
 * @listing: the new state
 * @now_ms: current time, ms
 */
void cm_steer_servers_set_listing(struct cm_steer_servers *servers,
				  struct cm_steer_server *server,
				  enum cm_listing listing, uint64_t now_ms);

/**
 * cm_steer_servers_end_lapses() - mark all servers whose entry lapsed as left
 * @servers: the table
 * @now_ms: current time, ms
 */
void cm_steer_servers_end_lapses(struct cm_steer_servers *servers,
				 uint64_t now_ms);

/**
 * cm_steer_servers_add_suspect() - add a server to the list of suspects
 * @servers: the table
 * @server: the server; may be in the list already
 */
void cm_steer_servers_add_suspect(struct cm_steer_servers *servers,
				  struct cm_steer_server *server);

/**
 * cm_steer_servers_remove_suspect() - remove a server from the list of suspects
 * @servers: the table
 * @server: the server; need not be in the list
 */
void cm_steer_servers_remove_suspect(struct cm_steer_servers *servers,
				     struct cm_steer_server *server);

/**
 * cm_steer_servers_expire() - remove servers that left before a given time
 * @servers: the table
 * @before_ms: the time, ms
 */
void cm_steer_servers_expire(struct cm_steer_servers *servers,
			     uint64_t before_ms);

#endif
