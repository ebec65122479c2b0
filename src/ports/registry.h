/**
 * DOC: Port to the registry
 *
 * Where the backend servers and the nodes are entered, and the operators'
 * plans. An adapter decodes what the registry holds into the types below, fills
 * the table of functions and embeds struct cm_registry.
 */
#ifndef PORTS_REGISTRY_H
#define PORTS_REGISTRY_H

#include "chervilmast/roster.h"
#include "chervilmast/steer_peer.h"
#include "chervilmast/steer_plan.h"
#include "chervilmast/steer_server.h"

/** Time that an entry of members lasts without being kept, ms. */
#define CM_REGISTRY_MEMBERS_MS 10000

struct cm_registry;

/**
 * struct cm_registry_sink - what the registry holds, entry by entry
 * @server: entry of a backend server
 * @server_gone: the server with this id has no entry that can be used
 * @plan: a plan; its content is the function's to finish
 * @domain_out: a failure domain was taken out, or back
 * @members: members of a failure domain
 * @members_gone: a failure domain has no entry of its members
 * @bad_item: the item at @key can't be used
 * @reached: all changes up to a revision were given
 * @user: for the functions
 *
 * @revision is that of the registry at the entry's last change.
 */
struct cm_registry_sink {
	void (*server)(void *user, const struct cm_server_entry *entry,
		       uint64_t revision);
	void (*server_gone)(void *user, uint64_t id, uint64_t revision);
	void (*plan)(void *user, struct cm_steer_plan *plan, uint64_t revision);
	void (*domain_out)(void *user, const char *domain, bool is_out,
			   uint64_t revision);
	void (*members)(void *user, const struct cm_domain_members *members,
			uint64_t revision);
	void (*members_gone)(void *user, const char *domain, uint64_t revision);
	void (*bad_item)(void *user, const char *key, int error);
	void (*reached)(void *user, uint64_t revision);
	void *user;
};

/**
 * struct cm_members_write - members of a failure domain to enter
 * @members: the members
 * @revision: revision of the entry that they replace; 0 for none
 * @lease: lease that the entry goes with
 */
struct cm_members_write {
	struct cm_domain_members members;
	uint64_t revision;
	uint64_t lease;
};

/**
 * struct cm_registry_ops - what an adapter does
 * @read: give all entries, then the revision that they are of; with
 *        @may_be_stale they may be some seconds old. Returns 0,
 *        CM_E_UNAVAILABLE, CM_E_TIMEOUT, CM_E_PROTOCOL, CM_E_TOO_LARGE or
 *        CM_E_MEMORY.
 * @wait: wait up to @wait_ms for changes after revision @after and give them.
 *        Returns 0, also when there were none, CM_E_COMPACTED when all has to
 *        be read anew, or an error of @read.
 * @read_members: give the members of all failure domains, which may be some
 *                seconds old; not the revision. Returns 0 or an error of @read.
 * @grant_lease: make a lease of CM_REGISTRY_MEMBERS_MS, with which an entry of
 *               members goes. Returns 0 or an error of @read.
 * @keep_lease: keep a lease for as long again. Returns 0, CM_E_NOT_FOUND when
 *              it has ended, or an error of @read.
 * @write_members: enter the members of a failure domain, with a lease, in place
 *                 of those of a revision. Returns 0, CM_E_STALE when others are
 *                 entered, which the sink gets, CM_E_NOT_FOUND when the lease
 *                 has ended, or an error of @read.
 * @calls: requests sent so far
 * @interrupt: end the call in progress and all later ones; from any thread
 * @finish: end; the memory stays the caller's
 */
struct cm_registry_ops {
	int (*read)(struct cm_registry *registry, bool may_be_stale,
		    const struct cm_registry_sink *sink);
	int (*wait)(struct cm_registry *registry, uint64_t after,
		    uint32_t wait_ms, const struct cm_registry_sink *sink);
	int (*read_members)(struct cm_registry *registry,
			    const struct cm_registry_sink *sink);
	int (*grant_lease)(struct cm_registry *registry, uint64_t *lease);
	int (*keep_lease)(struct cm_registry *registry, uint64_t lease);
	int (*write_members)(struct cm_registry *registry,
			     const struct cm_members_write *write,
			     const struct cm_registry_sink *sink);
	uint64_t (*calls)(const struct cm_registry *registry);
	void (*interrupt)(struct cm_registry *registry);
	void (*finish)(struct cm_registry *registry);
};

/**
 * struct cm_registry - a registry
 * @ops: what its adapter does
 * @answered_ms: when the last answer of @wait began to come; 0 when it did not
 */
struct cm_registry {
	const struct cm_registry_ops *ops;
	uint64_t answered_ms;
};

#endif
