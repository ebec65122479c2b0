/**
 * DOC: JSON fields of endpoints
 *
 * Settings, release notes and snapshots use the same keys, types and limits for
 * an endpoint, whether it is an object of its own or a part of a larger one.
 */
#ifndef CONFIG_ENDPOINT_FIELDS_H
#define CONFIG_ENDPOINT_FIELDS_H

#include "chervilmast/note.h"
#include "json_reader.h"

/** Highest port number. */
#define CM_PORT_MAX 65535
/** Maximum number of slots (weight) of a backend server. */
#define CM_SLOTS_MAX 1024

/** Rows for the address and port of a struct cm_endpoint at offset @at. */
#define CM_ADDRESS_ROWS(at)                                                \
	{ .key = "address",                                                \
	  .type = CM_JSON_ADDRESS,                                         \
	  .offset = (at) + offsetof(struct cm_endpoint, address),          \
	  .bit = CM_FIELD_ADDRESS },                                       \
	{                                                                  \
		.key = "port", .type = CM_JSON_U16,                        \
		.offset = (at) + offsetof(struct cm_endpoint, port),       \
		.bit = CM_FIELD_PORT, .minimum = 1, .maximum = CM_PORT_MAX \
	}

/** Rows for all fields of a struct cm_endpoint at offset @at. */
#define CM_ENDPOINT_ROWS(at)                                             \
	CM_ADDRESS_ROWS(at),                                             \
	{                                                                \
		.key = "protocol", .type = CM_JSON_PROTOCOL,             \
		.offset = (at) + offsetof(struct cm_endpoint, protocol), \
		.bit = CM_FIELD_PROTOCOL                                 \
	}

/** Row for the slots, a uint32_t at offset @at. */
#define CM_SLOTS_ROW(at)                                                     \
	{                                                                    \
		.key = "slots", .type = CM_JSON_U32, .offset = (at),         \
		.bit = CM_FIELD_SLOTS, .minimum = 1, .maximum = CM_SLOTS_MAX \
	}

#endif
