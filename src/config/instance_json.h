/**
 * DOC: The platform's list of instances
 *
 * The platform keeps a key "instances/NAME" in the store for each entry
 * instance. The list may be out of date. Instances use it only to find peers to
 * contact; the membership protocol determines which instances are live.
 */
#ifndef CONFIG_INSTANCE_JSON_H
#define CONFIG_INSTANCE_JSON_H

#include "chervilmast/member.h"
#include "ports/store.h"

/**
 * cm_instances_read() - read the list of instances from the store
 * @store: the store
 * @prefix: prefix of all keys
 * @members: set on success to an array, to be freed with free()
 * @count: set on success to the number of @members
 *
 * Invalid entries are skipped.
 *
 * Return: 0, CM_E_MEMORY or an error of the store.
 */
int cm_instances_read(struct cm_store *store, const char *prefix,
		      struct cm_member **members, uint32_t *count);

#endif
