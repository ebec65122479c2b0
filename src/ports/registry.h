/**
 * DOC: Port to the registry
 *
 * The registry has entries of the backend servers, of the instances in each
 * failure domain, of the operators' plan, and of the failure domains that are
 * out of service. An adapter decodes them into the types below, fills the table
 * of functions and embeds struct cm_registry.
 *
 * All revisions that pass through the port are positions (position.h), so that
 * a comparison of two of them also orders changes of different eras.
 */
#ifndef PORTS_REGISTRY_H
#define PORTS_REGISTRY_H

#include "chervilmast/position.h"
#include "chervilmast/roster.h"
#include "chervilmast/steer_peer.h"
#include "chervilmast/steer_plan.h"
#include "chervilmast/steer_server.h"

/** Time to live of the lease of a members entry, ms. */
#define CM_REGISTRY_MEMBERS_TTL_MS 10000

struct cm_registry;

/**
 * struct cm_registry_sink - callbacks that receive the registry's entries
 * @server: entry of a backend server
 * @server_removed: the server with this id has no entry, or an invalid one
 * @plan: the operators' plan; the callback takes ownership of its content
 * @domain_state: a failure domain was taken out of service, or put back
 * @members: entry of the members of a failure domain
 * @members_removed: the entry of the members of a failure domain was deleted
 * @bad_item: the item at @key is invalid and was ignored
 * @restarted: the read in progress starts again at @revision, which is of a
 *             later era; the entries passed so far may not exist in it
 * @complete_up_to: all changes up to @revision have been passed on
 * @user: passed to the callbacks
 *
 * The @revision passed with an entry is the registry's position at the entry's
 * last change or deletion.
 */
struct cm_registry_sink {
	void (*server)(void *user, const struct cm_server_entry *entry,
		       cm_position revision);
	void (*server_removed)(void *user, uint64_t id, cm_position revision);
	void (*plan)(void *user, struct cm_steer_plan *plan,
		     cm_position revision);
	void (*domain_state)(void *user, const char *domain, bool is_out,
			     cm_position revision);
	void (*members)(void *user, const struct cm_domain_members *members,
			cm_position revision);
	void (*members_removed)(void *user, const char *domain,
				cm_position revision);
	void (*bad_item)(void *user, const char *key, int error);
	void (*restarted)(void *user, cm_position revision);
	void (*complete_up_to)(void *user, cm_position revision);
	void *user;
};

/**
 * struct cm_registry_lease - a lease of the registry
 * @id: its number in its era; 0 for none
 * @era: era of the store that granted it. A later era may assign the number to
 *       another client.
 */
struct cm_registry_lease {
	uint64_t id;
	uint64_t era;
};

/**
 * struct cm_members_write - write of the members entry of a failure domain
 * @members: the members
 * @revision: expected revision of the existing entry; 0 when there must be none
 * @lease: lease that the entry is attached to; the entry is deleted when the
 *         lease ends
 */
struct cm_members_write {
	struct cm_domain_members members;
	cm_position revision;
	struct cm_registry_lease lease;
};

/**
 * struct cm_registry_ops - functions of an adapter
 * @read: pass all entries to the sink, then call its @complete_up_to; with
 *        @may_be_stale the entries may be some seconds old. Returns 0,
 *        CM_E_UNAVAILABLE, CM_E_TIMEOUT, CM_E_PROTOCOL, CM_E_TOO_LARGE,
 *        CM_E_MEMORY, CM_E_OUT_OF_RANGE for an era or revision above its
 *        maximum, or CM_E_ERA_DIFFERS for an answer of an earlier era than
 *        @era and when the era changed repeatedly during the read.
 * @wait: wait up to @wait_ms for changes after revision @after and pass them to
 *        the sink. Returns 0, also when there were none, CM_E_COMPACTED when
 *        changes are no longer available or @after is of an earlier era, so
 *        that @read has to be called again, or an error of @read.
 * @read_members: pass the members entries of all failure domains to the sink,
 *                without calling its @complete_up_to; the entries may be some
 *                seconds old. Returns 0 or an error of @read.
 * @grant_lease: create a lease of CM_REGISTRY_MEMBERS_TTL_MS for a members
 *               entry. Returns 0 or an error of @read.
 * @renew_lease: renew a lease. Returns 0, CM_E_NOT_FOUND when it has ended or
 *               is of an earlier era, or an error of @read.
 * @write_members: write the members entry of a failure domain, with a lease, if
 *                 the entry still has the expected revision. Returns 0;
 *                 CM_E_STALE when the entry has another revision, after passing
 *                 the stored entry, or its deletion, to the sink;
 *                 CM_E_NOT_FOUND when the lease has ended or is of an earlier
 *                 era; or an error of @read, after which the entry may have
 *                 been written. A write that expects a revision of an earlier
 *                 era is not sent and returns CM_E_ERA_DIFFERS.
 * @call_count: return the number of requests sent so far
 * @interrupt: abort the call in progress and all later ones; may be called from
 *             any thread
 * @finish: free what the adapter holds; the struct itself is not freed
 */
struct cm_registry_ops {
	int (*read)(struct cm_registry *registry, bool may_be_stale,
		    const struct cm_registry_sink *sink);
	int (*wait)(struct cm_registry *registry, cm_position after,
		    uint32_t wait_ms, const struct cm_registry_sink *sink);
	int (*read_members)(struct cm_registry *registry,
			    const struct cm_registry_sink *sink);
	int (*grant_lease)(struct cm_registry *registry,
			   struct cm_registry_lease *lease);
	int (*renew_lease)(struct cm_registry *registry,
			   const struct cm_registry_lease *lease);
	int (*write_members)(struct cm_registry *registry,
			     const struct cm_members_write *write,
			     const struct cm_registry_sink *sink);
	uint64_t (*call_count)(const struct cm_registry *registry);
	void (*interrupt)(struct cm_registry *registry);
	void (*finish)(struct cm_registry *registry);
};

/**
 * struct cm_registry - a registry
 * @ops: functions of its adapter
 * @answer_started_ms: when the first part of the answer to the last @wait
 *                     arrived, ms; 0 when there was no answer
 * @era: latest era of the store that is known; the adapter raises it, and the
 *       calling function may raise it before a call
 */
struct cm_registry {
	const struct cm_registry_ops *ops;
	uint64_t answer_started_ms;
	uint64_t era;
};

#endif
