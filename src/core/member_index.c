#include "chervilmast/member_index.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

/* Minimum number of slots for each member, to keep probe sequences short. */
#define INDEX_SPREAD 2
#define FREE UINT32_MAX

static void insert(struct cm_member_index *index,
		   const struct cm_endpoint *data, uint32_t member)
{
	uint32_t place = cm_endpoint_hash(data) & index->mask;

	while (index->places[place] != FREE)
		place = (place + 1) & index->mask;
	index->places[place] = member;
}

int cm_member_index_init(struct cm_member_index *index,
			 const struct cm_member *members, uint32_t count)
{
	uint32_t size = 1;

	while (size < count * INDEX_SPREAD + 1)
		size *= 2;
	index->mask = size - 1;
	index->places = malloc(size * sizeof(*index->places));
	if (!index->places)
		return CM_E_MEMORY;
	memset(index->places, 0xff, size * sizeof(*index->places));
	for (uint32_t i = 0; i < count; i++)
		insert(index, &members[i].data, i);
	return CM_OK;
}

void cm_member_index_finish(struct cm_member_index *index)
{
	free(index->places);
	memset(index, 0, sizeof(*index));
}

uint32_t cm_member_index_find(const struct cm_member_index *index,
			      const struct cm_member *members,
			      const struct cm_endpoint *data)
{
	uint32_t place, member;

	if (!index->places)
		return FREE;
	place = cm_endpoint_hash(data) & index->mask;
	while ((member = index->places[place]) != FREE) {
		if (cm_endpoint_equal(&members[member].data, data))
			return member;
		place = (place + 1) & index->mask;
	}
	return FREE;
}
