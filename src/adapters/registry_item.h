/**
 * DOC: Entries of the registry between instances
 *
 * Instances tell each other what the registry holds as items: a short key and a
 * msgpack array. A plan is many items (plan_items.h).
 */
#ifndef ADAPTERS_REGISTRY_ITEM_H
#define ADAPTERS_REGISTRY_ITEM_H

#include "chervilmast/item_log.h"
#include "chervilmast/steer_peer.h"
#include "chervilmast/steer_server.h"

/** Most bytes of a key, its NUL included. */
#define CM_REGISTRY_KEY_SIZE 80
/** Most bytes of a value. */
#define CM_REGISTRY_VALUE_SIZE 256

/**
 * struct cm_registry_item - an item that is being made
 * @key: its key
 * @value: its value
 * @size: bytes of @value
 */
struct cm_registry_item {
	char key[CM_REGISTRY_KEY_SIZE];
	char value[CM_REGISTRY_VALUE_SIZE];
	size_t size;
};

/**
 * struct cm_registry_events - what an item means
 * @server: entry of a backend server
 * @server_gone: the server with this id has no entry
 * @plan: a plan of this version, whose other items have this digest
 *        (plan_items.h)
 * @domain_out: a failure domain was taken out, or back
 * @peer: entry of a node of the fleet
 * @peer_gone: the node of this name has no entry
 * @user: for the functions
 */
struct cm_registry_events {
	void (*server)(void *user, const struct cm_server_entry *entry);
	void (*server_gone)(void *user, uint64_t id);
	void (*plan)(void *user, uint64_t version, uint64_t digest);
	void (*domain_out)(void *user, const char *domain, bool is_out);
	void (*peer)(void *user, const struct cm_peer_entry *entry);
	void (*peer_gone)(void *user, const char *name);
	void *user;
};

/** cm_registry_item_server() - item of a backend server; without @entry its key
 * alone */
void cm_registry_item_server(struct cm_registry_item *item, uint64_t id,
			     const struct cm_server_entry *entry);

/** cm_registry_item_domain_out() - item of a failure domain that is out */
void cm_registry_item_domain_out(struct cm_registry_item *item,
				 const char *domain);

/** cm_registry_item_peer() - item of a node */
void cm_registry_item_peer(struct cm_registry_item *item,
			   const struct cm_peer_entry *entry);

/**
 * cm_registry_item_decode() - decode an item
 * @item: the item
 * @events: called with what it means
 *
 * Return: 0; CM_E_UNSUPPORTED for a key of another kind, CM_E_BAD_NAME or
 * CM_E_BAD_ADDRESS for a key, or an error of the message codec for a value that
 * can't be read. Then nothing was called.
 */
int cm_registry_item_decode(const struct cm_item *item,
			    const struct cm_registry_events *events);

#endif
