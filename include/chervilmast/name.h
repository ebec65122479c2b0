/**
 * DOC: Names
 *
 * Names of services, failure domains, instances and backend servers. Operators
 * and the registry may use names of any length; an instance stores a long one
 * in a shortened form, which is the same on all instances.
 */
#ifndef CHERVILMAST_NAME_H
#define CHERVILMAST_NAME_H

#include <stdbool.h>
#include <stddef.h>

/** Size of a stored name including its NUL, bytes. */
#define CM_NAME_SIZE 32

/**
 * cm_name_set() - store a name of any length
 * @name: set to the name, padded with NULs; CM_NAME_SIZE bytes
 * @text: the name; not terminated, without NUL bytes
 * @size: size of @text, bytes
 *
 * A name of CM_NAME_SIZE bytes or more is stored as its first bytes, a dot and
 * a digest of the whole name, so that names with the same first bytes differ. A
 * stored name is stored again unchanged.
 */
void cm_name_set(char *name, const char *text, size_t size);

/**
 * cm_name_equal() - compare two stored names
 * @a: a name; CM_NAME_SIZE bytes
 * @b: a name; CM_NAME_SIZE bytes
 *
 * Return: whether the names are equal.
 */
bool cm_name_equal(const char *a, const char *b);

#endif
