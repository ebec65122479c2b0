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

/**
 * Elements of a table of struct cm_json_field, for the address and port of a
 * struct cm_endpoint at offset @endpoint_offset.
 */
#define CM_ADDRESS_PORT_JSON_FIELDS(endpoint_offset)                           \
	{ .key = "address",                                                    \
	  .type = CM_JSON_ADDRESS,                                             \
	  .offset = (endpoint_offset) + offsetof(struct cm_endpoint, address), \
	  .bit = CM_FIELD_ADDRESS },                                           \
	{                                                                      \
		.key = "port", .type = CM_JSON_U16,                            \
		.offset = (endpoint_offset) +                                  \
			  offsetof(struct cm_endpoint, port),                  \
		.bit = CM_FIELD_PORT, .minimum = 1, .maximum = CM_PORT_MAX     \
	}

/**
 * Elements of a table of struct cm_json_field, for all fields of a struct
 * cm_endpoint at offset @endpoint_offset.
 */
#define CM_ENDPOINT_JSON_FIELDS(endpoint_offset)                  \
	CM_ADDRESS_PORT_JSON_FIELDS(endpoint_offset),             \
	{                                                         \
		.key = "protocol", .type = CM_JSON_PROTOCOL,      \
		.offset = (endpoint_offset) +                     \
			  offsetof(struct cm_endpoint, protocol), \
		.bit = CM_FIELD_PROTOCOL                          \
	}

/**
 * Element of a table of struct cm_json_field, for the slots, a uint32_t at
 * offset @slots_offset.
 */
#define CM_SLOTS_JSON_FIELD(slots_offset)                                      \
	{                                                                      \
		.key = "slots", .type = CM_JSON_U32, .offset = (slots_offset), \
		.bit = CM_FIELD_SLOTS, .minimum = 1, .maximum = CM_SLOTS_MAX   \
	}

#endif
