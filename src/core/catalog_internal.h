/**
 * DOC: Catalog, internal interface
 *
 * Shared by the files that implement chervilmast/catalog.h.
 */
#ifndef CORE_CATALOG_INTERNAL_H
#define CORE_CATALOG_INTERNAL_H

#include "chervilmast/catalog.h"

/**
 * cm_catalog_build_index() - build the candidates and the address indexes
 * @catalog: a catalog with all items set
 *
 * Return: 0, or CM_E_MEMORY; cm_catalog_finish() frees the allocated parts in
 * both cases.
 */
int cm_catalog_build_index(struct cm_catalog *catalog);

#endif
