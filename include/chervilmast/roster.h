/**
 * DOC: Roster of a failure domain
 *
 * The members of a failure domain are its source (see feed_choice.h) and the
 * instances that request registry changes from the source. The member with the
 * lowest rank, normally the source, writes the list of members to the registry.
 * An instance becomes a member with its first request and is removed when it
 * has sent none for CM_ROSTER_TIMEOUT_MS. A member keeps its rank, and each new
 * member gets a higher rank than all earlier ones, so that a restarted instance
 * does not displace a running source.
 */
#ifndef CHERVILMAST_ROSTER_H
#define CHERVILMAST_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "chervilmast/steer_peer.h"

/** Maximum number of members of a failure domain. */
#define CM_ROSTER_MAX 1024
/** Time without a request after which a member is removed, ms. */
#define CM_ROSTER_TIMEOUT_MS 5000
/** Minimum time between two writes of a roster, ms. */
#define CM_ROSTER_WRITE_INTERVAL_MS 1000

/**
 * struct cm_domain_members - members of a failure domain in the registry
 * @domain: name of the failure domain
 * @entries: the members
 * @count: number of @entries
 */
struct cm_domain_members {
	char domain[CM_NAME_SIZE];
	const struct cm_peer_entry *entries;
	uint32_t count;
};

/**
 * struct cm_roster_member - a member
 * @entry: its entry
 * @last_request_ms: time of its last request, ms
 * @is_stored: the registry's entry contains it, with the same control address
 */
struct cm_roster_member {
	struct cm_peer_entry entry;
	uint64_t last_request_ms;
	bool is_stored;
};

/**
 * struct cm_roster - the members known to one instance
 * @members: the members
 * @count: number of @members
 * @next_rank: rank of the next new member
 * @stored_count: number of members in the registry
 * @stored_first: name of the member with the lowest rank in the registry; empty
 *                for none
 * @written_ms: start of the last write, ms; 0 for none
 */
struct cm_roster {
	struct cm_roster_member members[CM_ROSTER_MAX];
	uint32_t count;
	uint64_t next_rank;
	uint32_t stored_count;
	char stored_first[CM_NAME_SIZE];
	uint64_t written_ms;
};

/**
 * cm_roster_init() - initialize an empty roster
 * @roster: uninitialized memory, owned by the calling function
 */
void cm_roster_init(struct cm_roster *roster);

/**
 * cm_roster_load() - update the roster from the registry's entry
 * @roster: the roster
 * @now_ms: current time, ms
 * @members: the members in the registry; NULL when it has no entry
 *
 * A member that was not in the roster is added as if it had sent a request now.
 * Members that are not in the registry get new ranks.
 */
void cm_roster_load(struct cm_roster *roster, uint64_t now_ms,
		    const struct cm_domain_members *members);

/**
 * cm_roster_record_request() - record a request of a member
 * @roster: the roster
 * @now_ms: current time, ms
 * @entry: its entry; its rank is ignored
 */
void cm_roster_record_request(struct cm_roster *roster, uint64_t now_ms,
			      const struct cm_peer_entry *entry);

/**
 * cm_roster_add() - add a member as if it had sent a request now
 * @roster: the roster
 * @now_ms: current time, ms
 * @entry: its entry; its rank is ignored
 *
 * Changes nothing if the roster contains the member.
 */
void cm_roster_add(struct cm_roster *roster, uint64_t now_ms,
		   const struct cm_peer_entry *entry);

/**
 * cm_roster_keep() - keep a member, or add it with its rank, as if it had sent
 * a request now
 * @roster: the roster
 * @now_ms: current time, ms
 * @entry: entry of the member
 */
void cm_roster_keep(struct cm_roster *roster, uint64_t now_ms,
		    const struct cm_peer_entry *entry);

/**
 * cm_roster_expire() - remove members that have sent no request for
 * CM_ROSTER_TIMEOUT_MS
 * @roster: the roster
 * @now_ms: current time, ms
 */
void cm_roster_expire(struct cm_roster *roster, uint64_t now_ms);

/**
 * cm_roster_is_first() - whether an instance has the lowest rank in the
 * registry
 * @roster: the roster
 * @name: name of the instance
 *
 * Return: true when it has; false also when the registry has no entry.
 */
bool cm_roster_is_first(const struct cm_roster *roster, const char *name);

/**
 * cm_roster_write_is_due() - whether to write the roster to the registry
 * @roster: the roster
 * @now_ms: current time, ms
 *
 * Return: true when the registry's entry differs from the roster and
 * CM_ROSTER_WRITE_INTERVAL_MS have passed since the last write.
 */
bool cm_roster_write_is_due(const struct cm_roster *roster, uint64_t now_ms);

/**
 * cm_roster_read() - list the members
 * @roster: the roster
 * @entries: set to their entries; room for CM_ROSTER_MAX
 *
 * Return: number of @entries.
 */
uint32_t cm_roster_read(const struct cm_roster *roster,
			struct cm_peer_entry *entries);

#endif
