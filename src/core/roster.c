#include "chervilmast/roster.h"

#include <string.h>

/*
 * Does not clear the large array of members: only the first @count are valid.
 */
void cm_roster_init(struct cm_roster *roster)
{
	roster->count = 0;
	roster->next_rank = 0;
	roster->stored_count = 0;
	memset(roster->stored_first, 0, sizeof(roster->stored_first));
	roster->written_ms = 0;
}

static struct cm_roster_member *find(struct cm_roster *roster, const char *name)
{
	for (uint32_t i = 0; i < roster->count; i++)
		if (!strcmp(roster->members[i].entry.name, name))
			return &roster->members[i];
	return NULL;
}

/* Return: the member, or NULL when the roster is full. */
static struct cm_roster_member *add(struct cm_roster *roster, uint64_t now_ms,
				    const struct cm_peer_entry *entry)
{
	struct cm_roster_member *member;

	if (roster->count == CM_ROSTER_MAX)
		return NULL;
	member = &roster->members[roster->count++];
	memset(member, 0, sizeof(*member));
	member->entry = *entry;
	member->last_request_ms = now_ms;
	return member;
}

static void update_member(struct cm_roster *roster, uint64_t now_ms,
			  const struct cm_peer_entry *entry)
{
	struct cm_roster_member *member = find(roster, entry->name);

	if (!member)
		member = add(roster, now_ms, entry);
	if (member) {
		member->is_stored = cm_endpoint_equal(&member->entry.control,
						      &entry->control);
		member->entry.rank = entry->rank;
	}
	if (entry->rank >= roster->next_rank)
		roster->next_rank = entry->rank + 1;
}

static const struct cm_peer_entry *
lowest_ranked(const struct cm_domain_members *members)
{
	const struct cm_peer_entry *first = NULL;

	for (uint32_t i = 0; i < members->count; i++)
		if (!first || members->entries[i].rank < first->rank)
			first = &members->entries[i];
	return first;
}

static bool has_member(const struct cm_domain_members *members,
		       const char *name)
{
	for (uint32_t i = 0; i < members->count; i++)
		if (!strcmp(members->entries[i].name, name))
			return true;
	return false;
}

/*
 * Assigns new ranks to the members that are not in the registry: their ranks
 * were assigned before the registry's entry was received and may equal a rank
 * in it.
 */
static void reassign_ranks(struct cm_roster *roster,
			   const struct cm_domain_members *members)
{
	for (uint32_t i = 0; i < roster->count; i++) {
		struct cm_peer_entry *entry = &roster->members[i].entry;

		if (!has_member(members, entry->name))
			entry->rank = roster->next_rank++;
	}
}

void cm_roster_load(struct cm_roster *roster, uint64_t now_ms,
		    const struct cm_domain_members *members)
{
	const struct cm_peer_entry *first =
		members ? lowest_ranked(members) : NULL;

	for (uint32_t i = 0; i < roster->count; i++)
		roster->members[i].is_stored = false;
	roster->stored_count = members ? members->count : 0;
	memset(roster->stored_first, 0, sizeof(roster->stored_first));
	if (!first)
		return;
	memcpy(roster->stored_first, first->name, sizeof(first->name));
	for (uint32_t i = 0; i < members->count; i++)
		update_member(roster, now_ms, &members->entries[i]);
	reassign_ranks(roster, members);
}

void cm_roster_record_request(struct cm_roster *roster, uint64_t now_ms,
			      const struct cm_peer_entry *entry)
{
	struct cm_roster_member *member = find(roster, entry->name);

	if (!member) {
		member = add(roster, now_ms, entry);
		if (!member)
			return;
		member->entry.rank = roster->next_rank++;
	}
	member->last_request_ms = now_ms;
	if (cm_endpoint_equal(&member->entry.control, &entry->control))
		return;
	member->entry.control = entry->control;
	member->is_stored = false;
}

void cm_roster_add(struct cm_roster *roster, uint64_t now_ms,
		   const struct cm_peer_entry *entry)
{
	if (!find(roster, entry->name))
		cm_roster_record_request(roster, now_ms, entry);
}

void cm_roster_keep(struct cm_roster *roster, uint64_t now_ms,
		    const struct cm_peer_entry *entry)
{
	struct cm_roster_member *member = find(roster, entry->name);

	if (!member) {
		update_member(roster, now_ms, entry);
		member = find(roster, entry->name);
		if (member)
			member->is_stored = false;
	}
	if (member && now_ms > member->last_request_ms)
		member->last_request_ms = now_ms;
}

void cm_roster_expire(struct cm_roster *roster, uint64_t now_ms)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < roster->count; i++) {
		if (now_ms >=
		    roster->members[i].last_request_ms + CM_ROSTER_TIMEOUT_MS)
			continue;
		if (kept != i)
			roster->members[kept] = roster->members[i];
		kept++;
	}
	roster->count = kept;
}

bool cm_roster_is_first(const struct cm_roster *roster, const char *name)
{
	return *roster->stored_first && !strcmp(roster->stored_first, name);
}

static bool differs_from_registry(const struct cm_roster *roster)
{
	uint32_t stored = 0;

	for (uint32_t i = 0; i < roster->count; i++)
		stored += roster->members[i].is_stored;
	return stored != roster->count || stored != roster->stored_count;
}

bool cm_roster_write_is_due(const struct cm_roster *roster, uint64_t now_ms)
{
	if (roster->written_ms &&
	    now_ms < roster->written_ms + CM_ROSTER_WRITE_INTERVAL_MS)
		return false;
	return differs_from_registry(roster);
}

uint32_t cm_roster_read(const struct cm_roster *roster,
			struct cm_peer_entry *entries)
{
	for (uint32_t i = 0; i < roster->count; i++)
		entries[i] = roster->members[i].entry;
	return roster->count;
}
