/**
 * DOC: JSON fields of the candidate set history in catalog snapshots
 */
#ifndef CONFIG_CATALOG_FIELDS_H
#define CONFIG_CATALOG_FIELDS_H

#include "json_reader.h"

/** JSON fields of struct cm_endpoint. */
extern const struct cm_json_field cm_endpoint_fields[];
/** JSON fields of struct cm_history_server. */
extern const struct cm_json_field cm_history_server_fields[];

#endif
