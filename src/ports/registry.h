/**
 * DOC: Port to the registry
 *
 * Where the backend servers and the nodes enter themselves and the operators
 * their plans. It holds items under keys; what a key means only its adapter
 * knows. An adapter fills the table of functions and embeds struct cm_registry.
 */
#ifndef PORTS_REGISTRY_H
#define PORTS_REGISTRY_H

#include "chervilmast/item_log.h"
#include "chervilmast/steer_peer.h"
#include "chervilmast/steer_plan.h"
#include "chervilmast/steer_server.h"

/** Time that the entry of a node lasts without being kept, ms. */
#define CM_REGISTRY_ENTRY_MS 10000

struct cm_registry;

/**
 * struct cm_registry_sink - what is told of the registry, item by item
 * @put: an item as it was written
 * @remove: an item that went
 * @reached: all changes up to a revision were told
 * @user: for the functions
 */
struct cm_registry_sink {
	void (*put)(void *user, const char *key, const char *value, size_t size,
		    uint64_t revision);
	void (*remove)(void *user, const char *key, uint64_t revision);
	void (*reached)(void *user, uint64_t revision);
	void *user;
};

/**
 * struct cm_registry_events - what an item means
 * @server: entry of a backend server
 * @server_gone: the server with this id has no entry that can be used
 * @peer: entry of a node of the fleet
 * @peer_gone: the node of this name has no entry
 * @plan: a plan; its content is the function's to finish
 * @domain_out: a failure domain was taken out, or back
 * @bad_item: the item at @key can't be used
 * @user: for the functions
 */
struct cm_registry_events {
	void (*server)(void *user, const struct cm_server_entry *entry);
	void (*server_gone)(void *user, uint64_t id);
	void (*peer)(void *user, const struct cm_peer_entry *entry);
	void (*peer_gone)(void *user, const char *name);
	void (*plan)(void *user, struct cm_steer_plan *plan);
	void (*domain_out)(void *user, const char *domain, bool is_out);
	void (*bad_item)(void *user, const char *key, int error);
	void *user;
};

/**
 * struct cm_registry_ops - what an adapter does
 * @read: tell all items, then the revision that they are of. Returns 0,
 *        CM_E_UNAVAILABLE, CM_E_TIMEOUT, CM_E_PROTOCOL, CM_E_TOO_LARGE or
 *        CM_E_MEMORY.
 * @wait: wait up to @wait_ms for changes after revision @after and tell them.
 *        Returns 0, also when there were none, CM_E_COMPACTED when all has to
 *        be read anew, or an error of @read.
 * @decode: tell what an item means; needs no registry
 * @announce: enter this node, or keep its entry, which goes by itself
 *            CM_REGISTRY_ENTRY_MS after the last call. Returns 0,
 *            CM_E_NOT_FOUND when the entry has gone and the next call enters
 *            the node anew, or an error of @read.
 * @calls: requests sent so far
 * @interrupt: end the call in progress and all later ones; from any thread
 * @finish: end; the memory stays the caller's
 */
struct cm_registry_ops {
	int (*read)(struct cm_registry *registry,
		    const struct cm_registry_sink *sink);
	int (*wait)(struct cm_registry *registry, uint64_t after,
		    uint32_t wait_ms, const struct cm_registry_sink *sink);
	void (*decode)(const struct cm_item *item,
		       const struct cm_registry_events *events);
	int (*announce)(struct cm_registry *registry,
			const struct cm_peer_entry *self);
	uint64_t (*calls)(const struct cm_registry *registry);
	void (*interrupt)(struct cm_registry *registry);
	void (*finish)(struct cm_registry *registry);
};

/**
 * struct cm_registry - a registry
 * @ops: what its adapter does
 */
struct cm_registry {
	const struct cm_registry_ops *ops;
};

#endif
