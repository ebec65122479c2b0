/**
 * DOC: Hash index of members by data address
 */
#ifndef CHERVILMAST_MEMBER_INDEX_H
#define CHERVILMAST_MEMBER_INDEX_H

#include "chervilmast/member.h"

/**
 * struct cm_member_index - hash table from data address to member
 * @table: open-addressing table of indices into the array of members
 * @mask: size of @table minus one; the size is a power of two
 */
struct cm_member_index {
	uint32_t *table;
	uint32_t mask;
};

/**
 * cm_member_index_init() - build an index
 * @index: uninitialized memory, owned by the calling function
 * @members: the members
 * @count: number of @members
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_member_index_init(struct cm_member_index *index,
			 const struct cm_member *members, uint32_t count);

/**
 * cm_member_index_finish() - free what an index holds
 * @index: the index; may be zero-initialized
 */
void cm_member_index_finish(struct cm_member_index *index);

/**
 * cm_member_index_find() - look up a member by data address
 * @index: the index
 * @members: the array the index was built from
 * @data_address: the data address
 *
 * Return: index into @members, or UINT32_MAX (the value of CM_NONE) if there
 * is none.
 */
uint32_t cm_member_index_find(const struct cm_member_index *index,
			      const struct cm_member *members,
			      const struct cm_endpoint *data_address);

#endif
