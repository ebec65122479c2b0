#include "membership_internal.h"

#include <stdlib.h>

/**
 * Number of the first ring across failure domains. It is not below
 * CM_OBSERVERS, so that these rings have other orders than the rings within a
 * domain.
 */
#define FIRST_CROSS_DOMAIN_RING 16

/**
 * struct ring_entry - an instance on a ring
 * @position: hash that orders the ring
 * @record: index of its record
 */
struct ring_entry {
	uint64_t position;
	uint32_t record;
};

/**
 * struct ring - hash ring of the live instances
 * @entries: the instances in ascending order of position; owned
 * @count: number of @entries
 */
struct ring {
	struct ring_entry *entries;
	uint32_t count;
};

static int compare_places(const void *a, const void *b)
{
	const struct ring_entry *first = a, *second = b;

	if (first->position != second->position)
		return first->position < second->position ? -1 : 1;
	return first->record < second->record ? -1 : 1;
}

static void ring_fill(struct ring *ring, const struct cm_membership *membership,
		      bool own_domain_only, uint64_t number)
{
	ring->count = 0;
	for (uint32_t i = 0; i < membership->count; i++) {
		const struct cm_record *record = &membership->records[i];

		if (!cm_record_is_live(record))
			continue;
		if (own_domain_only &&
		    !cm_record_is_in_own_domain(membership, record))
			continue;
		ring->entries[ring->count].position =
			cm_hash_mix(record->hash, number);
		ring->entries[ring->count].record = i;
		ring->count++;
	}
	qsort(ring->entries, ring->count, sizeof(*ring->entries),
	      compare_places);
}

static bool observers_contain(const struct cm_observers *observers,
			      uint32_t index)
{
	for (uint32_t i = 0; i < observers->count; i++)
		if (observers->indices[i] == index)
			return true;
	return false;
}

static bool same_domain(const struct cm_membership *membership, uint32_t a,
			uint32_t b)
{
	return cm_name_equal(membership->records[a].member.domain,
			     membership->records[b].member.domain);
}

/*
 * Adds to @observers the next instance on the ring after the entry @start that
 * is not among them yet. On a ring across failure domains, instances in the
 * domain of the entry's instance are skipped.
 */
static void add_observer(const struct cm_membership *membership,
			 const struct ring *ring, uint32_t start,
			 bool cross_domain, struct cm_observers *observers)
{
	uint32_t record = ring->entries[start].record;

	for (uint32_t i = 1; i < ring->count; i++) {
		uint32_t at = (start + i) % ring->count;
		uint32_t other = ring->entries[at].record;

		if (cross_domain && same_domain(membership, record, other))
			continue;
		if (observers_contain(observers, other))
			continue;
		observers->indices[observers->count++] = other;
		return;
	}
}

static void apply_own_domain_ring(struct cm_membership *membership,
				  const struct ring *ring)
{
	for (uint32_t i = 0; i < ring->count; i++) {
		struct cm_record *record =
			&membership->records[ring->entries[i].record];

		add_observer(membership, ring, i, false, &record->observers);
	}
}

/*
 * Computes the cross-domain observers of this instance and of the instances in
 * other domains, which this instance may have to observe. This instance is
 * never a cross-domain observer of an instance in its own domain, so the
 * cross-domain observers of those instances are not computed.
 */
static void apply_cross_domain_ring(struct cm_membership *membership,
				    const struct ring *ring)
{
	for (uint32_t i = 0; i < ring->count; i++) {
		uint32_t index = ring->entries[i].record;
		struct cm_record *record = &membership->records[index];

		if (index == CM_SELF)
			add_observer(membership, ring, i, true,
				     &membership->cross_domain_observers);
		else if (!cm_record_is_in_own_domain(membership, record))
			add_observer(membership, ring, i, true,
				     &record->observers);
	}
}

static void clear_observers(struct cm_membership *membership)
{
	membership->cross_domain_observers.count = 0;
	for (uint32_t i = 0; i < membership->count; i++)
		membership->records[i].observers.count = 0;
}

static void set_observer_flags(struct cm_membership *membership,
			       uint64_t now_ms)
{
	const struct cm_observers *own_domain_observers =
		&membership->records[CM_SELF].observers;

	for (uint32_t i = CM_SELF + 1; i < membership->count; i++) {
		struct cm_record *record = &membership->records[i];
		bool observes_us =
			observers_contain(own_domain_observers, i) ||
			observers_contain(&membership->cross_domain_observers,
					  i);
		bool observed = observers_contain(&record->observers, CM_SELF);

		/*
		 * A former observer that has not recomputed the observers yet
		 * would vote this instance dead if the heartbeats ended now.
		 */
		if (record->observes_self && !observes_us)
			record->heartbeat_until_ms = now_ms + CM_DEAD_MS;
		if (observed && !record->observed_by_self)
			record->observed_since_ms = now_ms;
		if (!observed)
			record->voted_by_self = false;
		record->observes_self = observes_us;
		record->observed_by_self = observed;
	}
}

void cm_membership_compute_observers(struct cm_membership *membership,
				     uint64_t now_ms)
{
	struct ring ring = {
		.entries = calloc(membership->count, sizeof(*ring.entries)),
	};

	clear_observers(membership);
	if (!ring.entries) {
		/* Without observers, admission would need no lease. */
		membership->admit_not_before_ms = now_ms + CM_JOIN_MS;
		return;
	}
	for (uint64_t i = 0; i < CM_OBSERVERS; i++) {
		ring_fill(&ring, membership, true, i);
		apply_own_domain_ring(membership, &ring);
	}
	for (uint64_t i = 0; i < CM_CROSS_DOMAIN_OBSERVERS; i++) {
		ring_fill(&ring, membership, false,
			  FIRST_CROSS_DOMAIN_RING + i);
		apply_cross_domain_ring(membership, &ring);
	}
	free(ring.entries);
	set_observer_flags(membership, now_ms);
	membership->observers_outdated = false;
}
