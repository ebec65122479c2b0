/**
 * DOC: Roster of a failure domain
 *
 * The nodes of a failure domain are entered in the registry by one of them, the
 * one that the others ask for changes: who asks is a member, who no longer asks
 * has left. Each member has a rank; the one of the lowest rank is asked first.
 * Ranks are given once and in order, so that a node that starts anew does not
 * take the place of one that runs.
 */
#ifndef CHERVILMAST_ROSTER_H
#define CHERVILMAST_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "chervilmast/steer_peer.h"

/** Most members of a failure domain. */
#define CM_ROSTER_MAX 1024
/** Time without a question after which a member has left, ms. */
#define CM_ROSTER_SILENT_MS 5000
/** Least time between two writes of a roster, ms. */
#define CM_ROSTER_PAUSE_MS 1000

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
 * @seen_ms: when it last asked
 * @is_stored: the registry has it
 */
struct cm_roster_member {
	struct cm_peer_entry entry;
	uint64_t seen_ms;
	bool is_stored;
};

/**
 * struct cm_roster - the members as one node sees them
 * @members: the members
 * @count: number of @members
 * @next_rank: rank of the next member
 * @stored: members that the registry has
 * @stored_first: name of the registry's member of the lowest rank; empty for
 *                none
 * @written_ms: when a write was last begun
 */
struct cm_roster {
	struct cm_roster_member members[CM_ROSTER_MAX];
	uint32_t count;
	uint64_t next_rank;
	uint32_t stored;
	char stored_first[CM_NAME_SIZE];
	uint64_t written_ms;
};

/**
 * cm_roster_init() - begin without members
 * @roster: memory of the caller
 */
void cm_roster_init(struct cm_roster *roster);

/**
 * cm_roster_store() - take what the registry has
 * @roster: the roster
 * @now_ms: current time
 * @members: the members in the registry; NULL when it has no entry
 *
 * Members that were not known have asked now, as far as is known.
 */
void cm_roster_store(struct cm_roster *roster, uint64_t now_ms,
		     const struct cm_domain_members *members);

/**
 * cm_roster_see() - a member asked
 * @roster: the roster
 * @now_ms: current time
 * @entry: its entry; the rank is that of the roster
 */
void cm_roster_see(struct cm_roster *roster, uint64_t now_ms,
		   const struct cm_peer_entry *entry);

/**
 * cm_roster_expire() - let members go that no longer ask
 * @roster: the roster
 * @now_ms: current time
 */
void cm_roster_expire(struct cm_roster *roster, uint64_t now_ms);

/**
 * cm_roster_is_first() - whether the registry's first member is a node
 * @roster: the roster
 * @name: name of the node
 *
 * Return: true when it is; false also without an entry.
 */
bool cm_roster_is_first(const struct cm_roster *roster, const char *name);

/**
 * cm_roster_is_due() - whether the entry should be written
 * @roster: the roster
 * @now_ms: current time
 *
 * Return: true when it has other members than the roster and the last write is
 * CM_ROSTER_PAUSE_MS ago.
 */
bool cm_roster_is_due(const struct cm_roster *roster, uint64_t now_ms);

/**
 * cm_roster_read() - the members as entries
 * @roster: the roster
 * @entries: room for CM_ROSTER_MAX; set
 *
 * Return: number of @entries.
 */
uint32_t cm_roster_read(const struct cm_roster *roster,
			struct cm_peer_entry *entries);

#endif
