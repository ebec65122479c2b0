/**
 * DOC: Registry entries as exchanged between instances
 *
 * Instances send each other the registry's entries as items with a short key
 * and a msgpack array as value. A plan consists of many items (plan_items.h).
 */
#ifndef ADAPTERS_REGISTRY_ITEM_H
#define ADAPTERS_REGISTRY_ITEM_H

#include "chervilmast/item_log.h"
#include "chervilmast/steer_peer.h"
#include "chervilmast/steer_server.h"

/** Maximum size of a key with its NUL, bytes. */
#define CM_REGISTRY_KEY_SIZE 80
/** Maximum size of a value, bytes. */
#define CM_REGISTRY_VALUE_SIZE 256
/** Prefix of the keys of the entries of instances. */
#define CM_REGISTRY_ITEM_PEERS "m/"

/**
 * struct cm_registry_item - an encoded item
 * @key: its key
 * @value: its value
 * @size: size of @value, bytes
 */
struct cm_registry_item {
	char key[CM_REGISTRY_KEY_SIZE];
	char value[CM_REGISTRY_VALUE_SIZE];
	size_t size;
};

/**
 * struct cm_registry_events - callbacks for decoded items
 * @server: entry of a backend server
 * @server_removed: the entry of the server with this id was deleted
 * @plan: item with the version of a plan and the digest of its other items
 *        (plan_items.h)
 * @domain_out: a failure domain was taken out of service, or put back
 * @peer: entry of an instance
 * @peer_removed: the entry of the instance with this name was deleted
 * @user: passed to the callbacks
 */
struct cm_registry_events {
	void (*server)(void *user, const struct cm_server_entry *entry);
	void (*server_removed)(void *user, uint64_t id);
	void (*plan)(void *user, uint64_t version, uint64_t digest);
	void (*domain_out)(void *user, const char *domain, bool is_out);
	void (*peer)(void *user, const struct cm_peer_entry *entry);
	void (*peer_removed)(void *user, const char *name);
	void *user;
};

/** cm_registry_item_server() - encode the entry of a backend server, or only
 * its key when @entry is NULL */
void cm_registry_item_server(struct cm_registry_item *item, uint64_t id,
			     const struct cm_server_entry *entry);

/** cm_registry_item_domain_out() - encode that a failure domain is out of
 * service */
void cm_registry_item_domain_out(struct cm_registry_item *item,
				 const char *domain);

/** cm_registry_item_peer() - encode the entry of an instance */
void cm_registry_item_peer(struct cm_registry_item *item,
			   const struct cm_peer_entry *entry);

/**
 * cm_registry_item_decode() - decode an item
 * @item: the item
 * @events: the callback for the kind of item is called; none is called after an
 *          error or for an item with routes or services
 *
 * Return: 0; CM_E_UNSUPPORTED for a key of unknown kind, CM_E_BAD_NAME for an
 * invalid key, or an error of cm_message_read() for an invalid value.
 */
int cm_registry_item_decode(const struct cm_item *item,
			    const struct cm_registry_events *events);

#endif
