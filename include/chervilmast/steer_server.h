/**
 * DOC: Backend servers of a node that steers by token
 *
 * What the registry says of each backend server, and what this node sees of it
 * itself. Servers that have left are kept for as long as one of their flows may
 * live, so that packets of these flows still find them.
 */
#ifndef CHERVILMAST_STEER_SERVER_H
#define CHERVILMAST_STEER_SERVER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "chervilmast/flow_key.h"
#include "chervilmast/note.h"
#include "chervilmast/server_health.h"
#include "chervilmast/server_pool.h"

/** Hash buckets of a table of servers; a power of two. */
#define CM_STEER_SERVER_BUCKETS 1024

/**
 * struct cm_server_entry - what the registry says of a backend server
 * @id: names this start of the server
 * @born_ms: when it started, ms since the epoch; 0 when unknown
 * @service: name of its service
 * @domain: name of its failure domain
 * @address: where it takes datagrams
 * @slots: requests that it works on at once
 * @cold_left_ms: how much longer its cold start takes, ms
 * @is_draining: it takes no new flows
 */
struct cm_server_entry {
	uint64_t id;
	uint64_t born_ms;
	char service[CM_NAME_SIZE];
	char domain[CM_NAME_SIZE];
	struct cm_endpoint address;
	uint32_t slots;
	uint32_t cold_left_ms;
	bool is_draining;
};

/**
 * enum cm_listing - where a backend server stands in the registry
 * @CM_LISTED: it has an entry
 * @CM_LAPSED: its entry went while the registry could not be reached, so it may
 *             be alive and come back
 * @CM_LEFT: it has gone; only its open flows are served
 */
enum cm_listing {
	CM_LISTED,
	CM_LAPSED,
	CM_LEFT,
};

/**
 * struct cm_steer_server - a backend server
 * @entry: what the registry said last
 * @token: names the server in packets; not 0
 * @service_hash: hash of the name of its service
 * @domain_hash: hash of the name of its failure domain
 * @listing: where it stands in the registry
 * @listing_ms: since when
 * @cold_until_ms: end of its cold start
 * @cold_tokens: flows that it may get now during its cold start, thousandths
 * @cold_refilled_ms: when @cold_tokens was brought up to date
 * @open: its flows that this node saw opening and not yet ending
 * @chosen: number of the choice that took it last
 * @health: what this node saw of it
 * @by_token: link in the bucket of its token
 * @by_id: link in the bucket of its id
 * @link: link in the list of all
 * @pool: servers of its service; NULL after it left
 * @group: of these, the ones of its failure domain
 * @place: its place in @group
 * @is_suspect: it is in the list of suspects
 * @suspect_link: link in that list
 */
struct cm_steer_server {
	struct cm_server_entry entry;
	uint32_t token;
	uint64_t service_hash;
	uint64_t domain_hash;
	enum cm_listing listing;
	uint64_t listing_ms;
	uint64_t cold_until_ms;
	uint64_t cold_tokens;
	uint64_t cold_refilled_ms;
	uint32_t open;
	uint64_t chosen;
	struct cm_server_health health;
	LIST_ENTRY(cm_steer_server) by_token;
	LIST_ENTRY(cm_steer_server) by_id;
	TAILQ_ENTRY(cm_steer_server) link;
	struct cm_server_pool *pool;
	struct cm_server_group *group;
	uint32_t place;
	bool is_suspect;
	TAILQ_ENTRY(cm_steer_server) suspect_link;
};

LIST_HEAD(cm_steer_server_bucket, cm_steer_server);
TAILQ_HEAD(cm_steer_server_list, cm_steer_server);

/**
 * struct cm_steer_servers - all backend servers that a node knows
 * @all: every server, in the order in which they came
 * @pools: those that have not left, by service and failure domain
 * @suspects: servers that left a SYN unanswered and did not answer since
 * @by_token: by token; servers of one token in the order of their start
 * @by_id: by id
 * @count: number of @all
 * @left_ms: no server that is still in @all left before; 0 when none has left
 */
struct cm_steer_servers {
	struct cm_steer_server_list all;
	struct cm_server_pools pools;
	struct cm_steer_server_list suspects;
	struct cm_steer_server_bucket by_token[CM_STEER_SERVER_BUCKETS];
	struct cm_steer_server_bucket by_id[CM_STEER_SERVER_BUCKETS];
	uint32_t count;
	uint64_t left_ms;
};

/**
 * cm_steer_token() - the token of a start of a backend server
 * @id: its id
 * @born_ms: when it started, ms since the epoch
 *
 * Return: the token, the same on every node; never 0.
 */
uint32_t cm_steer_token(uint64_t id, uint64_t born_ms);

/**
 * cm_steer_name_hash() - hash of a name, which stands for it in choices
 * @name: the name
 *
 * Return: 64 bits.
 */
uint64_t cm_steer_name_hash(const char *name);

/**
 * cm_steer_servers_init() - make an empty table
 * @servers: memory of the caller
 * @seed: makes the order of servers differ from node to node
 */
void cm_steer_servers_init(struct cm_steer_servers *servers, uint64_t seed);

/**
 * cm_steer_servers_finish() - free all servers
 * @servers: the table; its memory stays the caller's
 */
void cm_steer_servers_finish(struct cm_steer_servers *servers);

/**
 * cm_steer_servers_put() - take what the registry says of a server
 * @servers: the table
 * @entry: what it says
 * @now_ms: current time
 * @server: set to the server; may be NULL
 *
 * A new start under a known id is a server of its own; the earlier one has
 * left.
 *
 * Return: 0, CM_E_STALE for an earlier start than the known one, or
 * CM_E_MEMORY.
 */
int cm_steer_servers_put(struct cm_steer_servers *servers,
			 const struct cm_server_entry *entry, uint64_t now_ms,
			 struct cm_steer_server **server);

/**
 * cm_steer_servers_by_id() - the latest start under an id
 * @servers: the table
 * @id: the id
 *
 * Return: the server, or NULL when it is not known.
 */
struct cm_steer_server *
cm_steer_servers_by_id(const struct cm_steer_servers *servers, uint64_t id);

/**
 * cm_steer_servers_by_token() - the server that a packet names
 * @servers: the table
 * @token: token of the packet
 *
 * Return: the server that started first of those with the token, or NULL when
 * there is none.
 */
struct cm_steer_server *
cm_steer_servers_by_token(const struct cm_steer_servers *servers,
			  uint32_t token);

/**
 * cm_steer_servers_set_listing() - the place of a server in the registry
 * changed
 * @servers: the table
 * @server: the server
 * @listing: its new place
 * @now_ms: current time
 */
void cm_steer_servers_set_listing(struct cm_steer_servers *servers,
				  struct cm_steer_server *server,
				  enum cm_listing listing, uint64_t now_ms);

/**
 * cm_steer_servers_suspect() - a server left a SYN unanswered
 * @servers: the table
 * @server: the server
 */
void cm_steer_servers_suspect(struct cm_steer_servers *servers,
			      struct cm_steer_server *server);

/**
 * cm_steer_servers_clear() - a server answered
 * @servers: the table
 * @server: the server
 */
void cm_steer_servers_clear(struct cm_steer_servers *servers,
			    struct cm_steer_server *server);

/**
 * cm_steer_servers_sweep() - forget servers that left long ago
 * @servers: the table
 * @before_ms: those that left before are forgotten
 */
void cm_steer_servers_sweep(struct cm_steer_servers *servers,
			    uint64_t before_ms);

#endif
