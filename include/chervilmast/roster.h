/**
 * DOC: Roster of a failure domain
 *
 * One node of a failure domain, the one that the others ask for changes, writes
 * the list of members to the registry. A node that asks is a member, and one
 * that has stopped asking has left. The member with the lowest rank is asked
 * first. Ranks are assigned once, in increasing order, so that a restarted node
 * does not displace a running one.
 */
#ifndef CHERVILMAST_ROSTER_H
#define CHERVILMAST_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "chervilmast/steer_peer.h"

/** Maximum number of members of a failure domain. */
#define CM_ROSTER_MAX 1024
/** Time without a request after which a member has left, ms. */
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
 * @last_request_ms: time of its last request
 * @is_stored: the registry has it, with the same control address
 */
struct cm_roster_member {
	struct cm_peer_entry entry;
	uint64_t last_request_ms;
	bool is_stored;
};

/**
 * struct cm_roster - the members as one node sees them
 * @members: the members
 * @count: number of @members
 * @next_rank: rank of the next new member
 * @stored_count: number of members in the registry
 * @stored_first: name of the member with the lowest rank in the registry; empty
 *                for none
 * @written_ms: start of the last write; 0 for none
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
 * cm_roster_init() - initialise without members
 * @roster: memory of the caller
 */
void cm_roster_init(struct cm_roster *roster);

/**
 * cm_roster_load() - update the roster from the registry's entry
 * @roster: the roster
 * @now_ms: current time
 * @members: the members in the registry; NULL when it has no entry
 *
 * The last request of a member that was unknown so far counts as made now.
 */
void cm_roster_load(struct cm_roster *roster, uint64_t now_ms,
		    const struct cm_domain_members *members);

/**
 * cm_roster_record_request() - record a request of a member
 * @roster: the roster
 * @now_ms: current time
 * @entry: its entry; its rank is ignored
 */
void cm_roster_record_request(struct cm_roster *roster, uint64_t now_ms,
			      const struct cm_peer_entry *entry);

/**
 * cm_roster_expire() - remove members that have stopped asking
 * @roster: the roster
 * @now_ms: current time
 */
void cm_roster_expire(struct cm_roster *roster, uint64_t now_ms);

/**
 * cm_roster_is_first() - whether a node has the lowest rank in the registry
 * @roster: the roster
 * @name: name of the node
 *
 * Return: true when it has; false also when the registry has no entry.
 */
bool cm_roster_is_first(const struct cm_roster *roster, const char *name);

/**
 * cm_roster_write_is_due() - whether the registry's entry should be written
 * @roster: the roster
 * @now_ms: current time
 *
 * Return: true when the entry differs from the roster and
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
