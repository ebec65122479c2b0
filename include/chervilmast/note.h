/**
 * DOC: Release notes
 *
 * A release note lists the failure domains, services and backend servers that
 * are added, changed and withdrawn. Applying it to a catalog yields the next
 * catalog, see catalog.h. An accepted note is immutable.
 */
#ifndef CHERVILMAST_NOTE_H
#define CHERVILMAST_NOTE_H

#include <stddef.h>
#include <stdint.h>

#include "chervilmast/flow_key.h"
#include "chervilmast/name.h"

/** Size of a publication id, bytes. */
#define CM_PUBLICATION_ID_SIZE 16

/**
 * enum cm_change_kind - what an entry of a release note does to an item
 * @CM_CHANGE_ADD: adds it
 * @CM_CHANGE_UPDATE: sets new values of an existing item; "change" in a note
 * @CM_CHANGE_WITHDRAW: withdraws it
 */
enum cm_change_kind {
	CM_CHANGE_ADD,
	CM_CHANGE_UPDATE,
	CM_CHANGE_WITHDRAW,
};

/**
 * enum cm_note_list - list of a release note, by the kind of its items
 * @CM_NOTE_DOMAINS: failure domains
 * @CM_NOTE_SERVICES: services
 * @CM_NOTE_SERVERS: backend servers
 * @CM_NOTE_LIST_COUNT: number of lists
 */
enum cm_note_list {
	CM_NOTE_DOMAINS,
	CM_NOTE_SERVICES,
	CM_NOTE_SERVERS,
	CM_NOTE_LIST_COUNT,
};

/**
 * enum cm_domain_state - whether a failure domain is in service
 * @CM_DOMAIN_IN: packets are sent to its servers
 * @CM_DOMAIN_OUT: taken out of service; no packets are sent to its servers
 */
enum cm_domain_state {
	CM_DOMAIN_IN,
	CM_DOMAIN_OUT,
};

/**
 * enum cm_server_state - which flows a backend server may get
 * @CM_SERVER_ACTIVE: new and established flows
 * @CM_SERVER_DRAINING: established flows only
 * @CM_SERVER_WITHDRAWN: established flows only, for at least
 *                       CM_WITHDRAWN_RETENTION_S
 */
enum cm_server_state {
	CM_SERVER_ACTIVE,
	CM_SERVER_DRAINING,
	CM_SERVER_WITHDRAWN,
};

/**
 * struct cm_domain_spec - settings of a failure domain
 * @name: its name
 * @state: whether it is in service
 */
struct cm_domain_spec {
	char name[CM_NAME_SIZE];
	enum cm_domain_state state;
};

/**
 * struct cm_service_spec - settings of a service
 * @name: its name
 * @address: its public address
 * @idle_timeout_s: time without a packet after which a flow ends, seconds
 */
struct cm_service_spec {
	char name[CM_NAME_SIZE];
	struct cm_endpoint address;
	uint32_t idle_timeout_s;
};

/**
 * struct cm_server_spec - settings of a backend server
 * @name: its name
 * @service: name of the service that it belongs to
 * @domain: name of its failure domain
 * @address: address it listens on
 * @slots: weight in the distribution of new flows
 * @max_connections: maximum number of concurrent connections
 * @max_new_per_s: maximum rate of new connections, per second
 * @cold_start_s: duration of the ramp-up of a newly started server to its full
 *                rate, seconds
 * @state: which flows it may get
 */
struct cm_server_spec {
	char name[CM_NAME_SIZE];
	char service[CM_NAME_SIZE];
	char domain[CM_NAME_SIZE];
	struct cm_endpoint address;
	uint32_t slots;
	uint32_t max_connections;
	uint32_t max_new_per_s;
	uint32_t cold_start_s;
	enum cm_server_state state;
};

/**
 * Bits of the fields that are present in an update of a service or server; a
 * field that is absent keeps its value.
 */
#define CM_FIELD_SERVICE 0x0001
#define CM_FIELD_DOMAIN 0x0002
#define CM_FIELD_ADDRESS 0x0004
#define CM_FIELD_PORT 0x0008
#define CM_FIELD_PROTOCOL 0x0010
#define CM_FIELD_SLOTS 0x0020
#define CM_FIELD_MAX_CONNECTIONS 0x0040
#define CM_FIELD_MAX_NEW 0x0080
#define CM_FIELD_COLD_START 0x0100
#define CM_FIELD_STATE 0x0200
#define CM_FIELD_IDLE_TIMEOUT 0x0400

/**
 * struct cm_domain_change - entry of a release note for a failure domain
 * @change: kind of the change
 * @spec: new values; a withdrawal uses the name only
 */
struct cm_domain_change {
	enum cm_change_kind change;
	struct cm_domain_spec spec;
};

/**
 * struct cm_service_change - entry of a release note for a service
 * @change: kind of the change
 * @fields: CM_FIELD_ bits of the values in @spec that an update sets; ignored
 *          for other kinds
 * @spec: new values; a withdrawal uses the name only
 */
struct cm_service_change {
	enum cm_change_kind change;
	uint32_t fields;
	struct cm_service_spec spec;
};

/**
 * struct cm_server_change - entry of a release note for a backend server
 * @change: kind of the change
 * @fields: CM_FIELD_ bits of the values in @spec that an update sets; ignored
 *          for other kinds
 * @spec: new values; a withdrawal uses the name only
 */
struct cm_server_change {
	enum cm_change_kind change;
	uint32_t fields;
	struct cm_server_spec spec;
};

/**
 * struct cm_note - a release note
 * @version: its version; 0 until it is published
 * @publication_id: unique id of the publication, set by the publisher
 * @published_at_s: time of publication by the publisher's clock, seconds since
 *                  the epoch
 * @domains: changes of failure domains
 * @domain_count: number of @domains
 * @services: changes of services
 * @service_count: number of @services
 * @servers: changes of backend servers
 * @server_count: number of @servers
 */
struct cm_note {
	uint64_t version;
	uint8_t publication_id[CM_PUBLICATION_ID_SIZE];
	uint64_t published_at_s;
	struct cm_domain_change *domains;
	size_t domain_count;
	struct cm_service_change *services;
	size_t service_count;
	struct cm_server_change *servers;
	size_t server_count;
};

/**
 * struct cm_note_rejected_entry - the entry that caused the rejection of a
 * release note
 * @list: "failure_domains", "services" or "backend_servers"; NULL when the note
 *        was rejected for another reason
 * @change: kind of the change
 * @name: name of the item
 */
struct cm_note_rejected_entry {
	const char *list;
	enum cm_change_kind change;
	char name[CM_NAME_SIZE];
};

/**
 * cm_note_check() - check that no list of a note names an item twice
 * @note: the note
 * @rejected: set to the second entry of the item; may be NULL
 *
 * Return: 0, CM_E_DUPLICATE_ITEM or CM_E_MEMORY.
 */
int cm_note_check(const struct cm_note *note,
		  struct cm_note_rejected_entry *rejected);

/**
 * cm_note_init() - initialize an empty note
 * @note: the note to initialize
 */
void cm_note_init(struct cm_note *note);

/**
 * cm_note_reserve() - allocate the entries of a note, zeroed
 * @note: an empty note
 * @domains: number of failure domain entries
 * @services: number of service entries
 * @servers: number of backend server entries
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_note_reserve(struct cm_note *note, size_t domains, size_t services,
		    size_t servers);

/**
 * cm_note_finish() - free the contents of a note
 * @note: the note; the structure itself is not freed
 */
void cm_note_finish(struct cm_note *note);

#endif
