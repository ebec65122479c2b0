#include "chervilmast/steer_server.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "chervilmast/error.h"

/* Ids are hashed to spread them over the buckets; tokens are hashes already. */
static struct cm_steer_server_bucket *
id_bucket(const struct cm_steer_servers *servers, uint64_t id)
{
	uint64_t hash = cm_hash_mix(id, 0);

	return (struct cm_steer_server_bucket *)&servers
		->by_id[hash % CM_STEER_SERVER_BUCKETS];
}

static struct cm_steer_server_bucket *
token_bucket(const struct cm_steer_servers *servers, uint32_t token)
{
	return (struct cm_steer_server_bucket *)&servers
		->by_token[token % CM_STEER_SERVER_BUCKETS];
}

uint32_t cm_steer_token(uint64_t id, uint64_t started_ms)
{
	uint32_t token = (uint32_t)cm_hash_mix(id, started_ms);

	return token ? token : 1;
}

uint64_t cm_steer_name_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

void cm_steer_servers_init(struct cm_steer_servers *servers, uint64_t seed)
{
	memset(servers, 0, sizeof(*servers));
	cm_server_pools_init(&servers->pools, seed);
	TAILQ_INIT(&servers->all);
	TAILQ_INIT(&servers->suspects);
}

void cm_steer_servers_add_suspect(struct cm_steer_servers *servers,
				  struct cm_steer_server *server)
{
	if (!server->is_suspect)
		TAILQ_INSERT_TAIL(&servers->suspects, server, suspect_link);
	server->is_suspect = true;
}

void cm_steer_servers_remove_suspect(struct cm_steer_servers *servers,
				     struct cm_steer_server *server)
{
	if (server->is_suspect)
		TAILQ_REMOVE(&servers->suspects, server, suspect_link);
	server->is_suspect = false;
}

static void server_free(struct cm_steer_servers *servers,
			struct cm_steer_server *server)
{
	cm_steer_servers_remove_suspect(servers, server);
	cm_server_pools_remove(&servers->pools, server);
	LIST_REMOVE(server, by_token);
	LIST_REMOVE(server, by_id);
	TAILQ_REMOVE(&servers->all, server, link);
	servers->count--;
	servers->listing_changes++;
	free(server);
}

void cm_steer_servers_finish(struct cm_steer_servers *servers)
{
	while (!TAILQ_EMPTY(&servers->all))
		server_free(servers, TAILQ_FIRST(&servers->all));
	cm_server_pools_finish(&servers->pools);
}

struct cm_steer_server *
cm_steer_servers_find_by_id(const struct cm_steer_servers *servers, uint64_t id)
{
	struct cm_steer_server *server;

	LIST_FOREACH(server, id_bucket(servers, id), by_id)
	if (server->entry.id == id)
		return server;
	return NULL;
}

struct cm_steer_server *
cm_steer_servers_find_by_token(const struct cm_steer_servers *servers,
			       uint32_t token)
{
	struct cm_steer_server *server;

	LIST_FOREACH(server, token_bucket(servers, token), by_token)
	if (server->token == token)
		return server;
	return NULL;
}

struct cm_steer_server *
cm_steer_servers_find_successor(const struct cm_steer_servers *servers,
				const struct cm_steer_server *server)
{
	struct cm_steer_server *current;

	if (!server->is_replaced)
		return NULL;
	current = cm_steer_servers_find_by_id(servers, server->entry.id);
	if (current == server ||
	    !cm_endpoint_equal(&current->entry.address, &server->entry.address))
		return NULL;
	return current;
}

static bool started_before(const struct cm_steer_server *a,
			   const struct cm_steer_server *b)
{
	if (a->entry.started_ms != b->entry.started_ms)
		return a->entry.started_ms < b->entry.started_ms;
	return a->entry.id < b->entry.id;
}

/* Keeps servers that share a token in the order of their start. */
static void insert_by_token(struct cm_steer_servers *servers,
			    struct cm_steer_server *server)
{
	struct cm_steer_server_bucket *bucket =
		token_bucket(servers, server->token);
	struct cm_steer_server *other;

	LIST_FOREACH(other, bucket, by_token)
	{
		if (started_before(server, other)) {
			LIST_INSERT_BEFORE(other, server, by_token);
			return;
		}
		if (!LIST_NEXT(other, by_token)) {
			LIST_INSERT_AFTER(other, server, by_token);
			return;
		}
	}
	LIST_INSERT_HEAD(bucket, server, by_token);
}

static struct cm_steer_server *find_run(const struct cm_steer_servers *servers,
					const struct cm_server_entry *entry)
{
	struct cm_steer_server *server;

	LIST_FOREACH(server, id_bucket(servers, entry->id), by_id)
	if (server->entry.id == entry->id &&
	    server->entry.started_ms == entry->started_ms)
		return server;
	return NULL;
}

/* Puts the run that was registered last first in the bucket of its id. */
static void move_to_front(struct cm_steer_servers *servers,
			  struct cm_steer_server *server)
{
	LIST_REMOVE(server, by_id);
	LIST_INSERT_HEAD(id_bucket(servers, server->entry.id), server, by_id);
}

static struct cm_steer_server *server_add(struct cm_steer_servers *servers,
					  const struct cm_server_entry *entry)
{
	struct cm_steer_server *server = calloc(1, sizeof(*server));

	if (!server)
		return NULL;
	server->entry = *entry;
	server->token = cm_steer_token(entry->id, entry->started_ms);
	insert_by_token(servers, server);
	LIST_INSERT_HEAD(id_bucket(servers, entry->id), server, by_id);
	TAILQ_INSERT_TAIL(&servers->all, server, link);
	servers->count++;
	return server;
}

static int assign_pool(struct cm_steer_servers *servers,
		       struct cm_steer_server *server)
{
	uint64_t service_hash = cm_steer_name_hash(server->entry.service);
	uint64_t domain_hash = cm_steer_name_hash(server->entry.domain);

	if (server->group && server->service_hash == service_hash &&
	    server->domain_hash == domain_hash)
		return CM_OK;
	cm_server_pools_remove(&servers->pools, server);
	server->service_hash = service_hash;
	server->domain_hash = domain_hash;
	return cm_server_pools_add(&servers->pools, server);
}

/* The record is kept for the lifetime of a flow from the replacement on. */
static void mark_replaced(struct cm_steer_servers *servers,
			  struct cm_steer_server *server, uint64_t now_ms)
{
	server->is_replaced = true;
	servers->listing_changes++;
	cm_steer_servers_set_listing(servers, server, CM_LEFT, now_ms);
	server->listing_changed_ms = now_ms;
}

int cm_steer_servers_put(struct cm_steer_servers *servers,
			 const struct cm_server_entry *entry, uint64_t now_ms,
			 struct cm_steer_server **server)
{
	struct cm_steer_server *former =
		cm_steer_servers_find_by_id(servers, entry->id);
	struct cm_steer_server *current = find_run(servers, entry);
	int error;

	if (current)
		move_to_front(servers, current);
	else
		current = server_add(servers, entry);
	if (!current)
		return CM_E_MEMORY;
	if (former && former != current)
		mark_replaced(servers, former, now_ms);
	current->is_replaced = false;
	current->entry = *entry;
	current->cold_until_ms = now_ms + entry->cold_left_ms;
	error = assign_pool(servers, current);
	if (error)
		return error;
	cm_steer_servers_set_listing(servers, current, CM_LISTED, now_ms);
	if (server)
		*server = current;
	return CM_OK;
}

void cm_steer_servers_set_listing(struct cm_steer_servers *servers,
				  struct cm_steer_server *server,
				  enum cm_listing listing, uint64_t now_ms)
{
	if (server->listing == listing && server->listing_changed_ms)
		return;
	if (server->listing == CM_LISTED)
		server->removed_ms = now_ms;
	servers->lapsed_count -= server->listing == CM_LAPSED;
	servers->lapsed_count += listing == CM_LAPSED;
	servers->listing_changes++;
	server->listing = listing;
	server->listing_changed_ms = now_ms;
	if (listing != CM_LEFT)
		return;
	cm_server_pools_remove(&servers->pools, server);
	if (!servers->earliest_left_ms)
		servers->earliest_left_ms = now_ms;
}

void cm_steer_servers_end_lapses(struct cm_steer_servers *servers,
				 uint64_t now_ms)
{
	struct cm_steer_server *server;

	if (!servers->lapsed_count)
		return;
	TAILQ_FOREACH (server, &servers->all, link)
		if (server->listing == CM_LAPSED)
			cm_steer_servers_set_listing(servers, server, CM_LEFT,
						     now_ms);
}

static void update_earliest_left(struct cm_steer_servers *servers,
				 const struct cm_steer_server *server)
{
	if (!servers->earliest_left_ms ||
	    server->listing_changed_ms < servers->earliest_left_ms)
		servers->earliest_left_ms = server->listing_changed_ms;
}

/* Iterates over the servers only when one of them may be due for removal. */
void cm_steer_servers_expire(struct cm_steer_servers *servers,
			     uint64_t before_ms)
{
	struct cm_steer_server *server = TAILQ_FIRST(&servers->all);

	if (!servers->earliest_left_ms ||
	    servers->earliest_left_ms >= before_ms)
		return;
	servers->earliest_left_ms = 0;
	while (server) {
		struct cm_steer_server *next = TAILQ_NEXT(server, link);

		if (server->listing == CM_LEFT) {
			if (server->listing_changed_ms < before_ms)
				server_free(servers, server);
			else
				update_earliest_left(servers, server);
		}
		server = next;
	}
}
