#include "chervilmast/member_index.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

/* Minimum number of table entries for each member, to keep searches short. */
#define TABLE_ENTRIES_PER_MEMBER 2
#define NO_MEMBER UINT32_MAX

static void insert(struct cm_member_index *index,
		   const struct cm_endpoint *data_address, uint32_t member)
{
	uint32_t slot = cm_endpoint_hash(data_address) & index->mask;

	while (index->table[slot] != NO_MEMBER)
		slot = (slot + 1) & index->mask;
	index->table[slot] = member;
}

int cm_member_index_init(struct cm_member_index *index,
			 const struct cm_member *members, uint32_t count)
{
	uint32_t size = 1;

	while (size < count * TABLE_ENTRIES_PER_MEMBER + 1)
		size *= 2;
	index->mask = size - 1;
	index->table = malloc(size * sizeof(*index->table));
	if (!index->table)
		return CM_E_MEMORY;
	/* Sets all entries to NO_MEMBER. */
	memset(index->table, 0xff, size * sizeof(*index->table));
	for (uint32_t i = 0; i < count; i++)
		insert(index, &members[i].data_address, i);
	return CM_OK;
}

void cm_member_index_finish(struct cm_member_index *index)
{
	free(index->table);
	memset(index, 0, sizeof(*index));
}

uint32_t cm_member_index_find(const struct cm_member_index *index,
			      const struct cm_member *members,
			      const struct cm_endpoint *data_address)
{
	uint32_t slot, member;

	if (!index->table)
		return NO_MEMBER;
	slot = cm_endpoint_hash(data_address) & index->mask;
	while ((member = index->table[slot]) != NO_MEMBER) {
		if (cm_endpoint_equal(&members[member].data_address,
				      data_address))
			return member;
		slot = (slot + 1) & index->mask;
	}
	return NO_MEMBER;
}
