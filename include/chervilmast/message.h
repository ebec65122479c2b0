/**
 * DOC: Messages between instances
 *
 * In-memory form of the messages that instances exchange. Their wire format is
 * described in src/adapters/message_msgpack.h. A message owns its arrays;
 * cm_message_finish() frees them.
 */
#ifndef CHERVILMAST_MESSAGE_H
#define CHERVILMAST_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>

#include "chervilmast/member.h"
#include "chervilmast/message_items.h"

/** Maximum number of items in one array of a message. */
#define CM_MESSAGE_ARRAY_MAX 16384
/**
 * Maximum size of one release note, part of a snapshot, or key or value of an
 * item in a message, bytes.
 */
#define CM_MESSAGE_BLOB_SIZE_MAX (1024 * 1024)

/**
 * enum cm_message_kind - kind of message
 * @CM_MESSAGE_HEARTBEAT: heartbeat of the sender
 * @CM_MESSAGE_HEARTBEAT_ACK: acknowledgement of a heartbeat
 * @CM_MESSAGE_BINDINGS: bindings of flows to backend servers
 * @CM_MESSAGE_LOADS: load of backend servers
 * @CM_MESSAGE_NOTES_REQUEST: request for release notes
 * @CM_MESSAGE_NOTES: release notes
 * @CM_MESSAGE_STATUS_REQUEST: request for the status of the receiver
 * @CM_MESSAGE_STATUS: status of the sender
 * @CM_MESSAGE_ITEMS_REQUEST: request for registry items that have changed
 * @CM_MESSAGE_ITEMS: registry items that have changed
 * @CM_MESSAGE_KIND_END: one more than the last kind
 */
enum cm_message_kind {
	CM_MESSAGE_HEARTBEAT = 1,
	CM_MESSAGE_HEARTBEAT_ACK,
	CM_MESSAGE_BINDINGS,
	CM_MESSAGE_LOADS,
	CM_MESSAGE_NOTES_REQUEST,
	CM_MESSAGE_NOTES,
	CM_MESSAGE_STATUS_REQUEST,
	CM_MESSAGE_STATUS,
	CM_MESSAGE_ITEMS_REQUEST,
	CM_MESSAGE_ITEMS,
	CM_MESSAGE_KIND_END
};

/**
 * struct cm_message_binding - a flow and its backend server
 * @flow: the flow
 * @server: address of the server
 */
struct cm_message_binding {
	struct cm_flow_key flow;
	struct cm_endpoint server;
};

/**
 * struct cm_message_bindings - body of BINDINGS
 * @items: the bindings; owned
 * @count: number of @items
 */
struct cm_message_bindings {
	struct cm_message_binding *items;
	uint32_t count;
};

/**
 * struct cm_message_load - load of one backend server
 * @server: address of the server
 * @open_connections: number of open connections
 * @flags: CM_LOAD_* bits and the share of a cold start, see node.h
 */
struct cm_message_load {
	struct cm_endpoint server;
	uint32_t open_connections;
	uint32_t flags;
};

/**
 * struct cm_message_loads - body of LOADS
 * @items: the loads; owned
 * @count: number of @items
 */
struct cm_message_loads {
	struct cm_message_load *items;
	uint32_t count;
};

/**
 * struct cm_message_members - an array of members
 * @items: the members; owned
 * @count: number of @items
 */
struct cm_message_members {
	struct cm_member *items;
	uint32_t count;
};

/**
 * struct cm_message_heartbeat - body of HEARTBEAT and HEARTBEAT_ACK
 * @sent_ms: send time of the heartbeat by its sender's clock, ms; an
 *           acknowledgement returns it unchanged
 * @state: liveness of the sender: alive, leaving, or dead if it stops
 * @grants_lease: in an acknowledgement, true if the sender grants the receiver
 *                a lease that begins at @sent_ms; it counts only if the sender
 *                is an observer of the receiver
 * @version: version of the release note in force at the sender
 * @publication_id: publication id of that note
 * @digest: hash of the addresses and incarnations of the confirmed members that
 *          are not dead according to the sender; member lists with different
 *          digests differ
 * @events: states of members that the receiver may not have yet, and the
 *          sender's votes as CM_MEMBER_SUSPECT
 * @loads: part of the wire format, sent empty and ignored on receipt; load
 *         reports are sent as LOADS
 */
struct cm_message_heartbeat {
	uint64_t sent_ms;
	enum cm_member_state state;
	bool grants_lease;
	uint64_t version;
	uint8_t publication_id[CM_PUBLICATION_ID_SIZE];
	uint32_t digest;
	struct cm_message_members events;
	struct cm_message_loads loads;
};

/**
 * struct cm_message_notes_request - body of NOTES_REQUEST
 * @after_version: the request is for versions above this one
 * @limit: maximum number of notes in the answer
 * @snapshot_version: version of the snapshot that the sender is receiving; 0 if
 *                    none
 * @next_part: number of the next part of that snapshot
 */
struct cm_message_notes_request {
	uint64_t after_version;
	uint32_t limit;
	uint64_t snapshot_version;
	uint32_t next_part;
};

/**
 * struct cm_message_note - a release note or a part of a snapshot, encoded
 * @bytes: the text of the note as published, or a part of a snapshot; owned
 * @size: size of @bytes, bytes
 */
struct cm_message_note {
	uint8_t *bytes;
	size_t size;
};

/**
 * struct cm_message_notes - body of NOTES
 * @version: version of the release note in force at the sender
 * @items: the notes, lowest version first, or one part of a snapshot; owned
 * @count: number of @items
 */
struct cm_message_notes {
	uint64_t version;
	struct cm_message_note *items;
	uint32_t count;
};

/**
 * struct cm_message_server - state of a backend server
 * @name: its name
 * @address: its address
 * @state: its state in the sender's catalog
 * @is_home: the sender is its home
 * @open_connections: open connections tracked by the sender
 */
struct cm_message_server {
	char name[CM_NAME_SIZE];
	struct cm_endpoint address;
	enum cm_server_state state;
	bool is_home;
	uint32_t open_connections;
};

/**
 * struct cm_message_status - body of STATUS
 * @name: name of the sender
 * @version: version of the release note in force at the sender
 * @uptime_s: seconds since the sender started
 * @members: the sender and the members from or about which it received a
 *           message
 * @servers: backend servers whose home is the sender; owned
 * @server_count: number of @servers
 */
struct cm_message_status {
	char name[CM_NAME_SIZE];
	uint64_t version;
	uint64_t uptime_s;
	struct cm_message_members members;
	struct cm_message_server *servers;
	uint32_t server_count;
};

/**
 * struct cm_message - a message
 * @kind: kind of message; selects the body
 * @sender_data_address: data address of its sender
 * @sender_control_address: control address of its sender
 * @sender_domain: failure domain of its sender
 * @sender_incarnation: incarnation of its sender
 * @heartbeat: body of HEARTBEAT and HEARTBEAT_ACK
 * @bindings: body of BINDINGS
 * @loads: body of LOADS
 * @notes_request: body of NOTES_REQUEST
 * @notes: body of NOTES
 * @status: body of STATUS
 * @items_request: body of ITEMS_REQUEST
 * @items: body of ITEMS
 */
struct cm_message {
	enum cm_message_kind kind;
	struct cm_endpoint sender_data_address;
	struct cm_endpoint sender_control_address;
	char sender_domain[CM_NAME_SIZE];
	uint64_t sender_incarnation;
	union {
		struct cm_message_heartbeat heartbeat;
		struct cm_message_bindings bindings;
		struct cm_message_loads loads;
		struct cm_message_notes_request notes_request;
		struct cm_message_notes notes;
		struct cm_message_status status;
		struct cm_message_items_request items_request;
		struct cm_message_items items;
	};
};

/**
 * cm_message_init() - make an empty message
 * @message: uninitialized memory, owned by the calling function; all fields but
 *           @kind are zeroed
 * @kind: kind of message
 */
void cm_message_init(struct cm_message *message, enum cm_message_kind kind);

/**
 * cm_message_finish() - free what a message holds
 * @message: the message; the struct itself is not freed
 */
void cm_message_finish(struct cm_message *message);

/**
 * cm_message_members_reserve() - allocate zeroed members
 * @members: an empty array
 * @count: number of entries to allocate
 *
 * Return: 0, CM_E_MEMORY, or CM_E_TOO_LARGE above CM_MESSAGE_ARRAY_MAX.
 */
int cm_message_members_reserve(struct cm_message_members *members,
			       uint32_t count);

/**
 * cm_message_loads_reserve() - allocate zeroed loads
 * @loads: an empty array
 * @count: number of entries to allocate
 *
 * Return: 0, CM_E_MEMORY, or CM_E_TOO_LARGE above CM_MESSAGE_ARRAY_MAX.
 */
int cm_message_loads_reserve(struct cm_message_loads *loads, uint32_t count);

/**
 * cm_message_bindings_reserve() - allocate zeroed bindings
 * @bindings: an empty array
 * @count: number of entries to allocate
 *
 * Return: 0, CM_E_MEMORY, or CM_E_TOO_LARGE above CM_MESSAGE_ARRAY_MAX.
 */
int cm_message_bindings_reserve(struct cm_message_bindings *bindings,
				uint32_t count);

/**
 * cm_message_notes_reserve() - allocate empty notes
 * @notes: an empty array
 * @count: number of entries to allocate
 *
 * Return: 0, CM_E_MEMORY, or CM_E_TOO_LARGE above CM_MESSAGE_ARRAY_MAX.
 */
int cm_message_notes_reserve(struct cm_message_notes *notes, uint32_t count);

/**
 * cm_message_note_set() - set a note to a copy of some bytes
 * @note: an empty note
 * @bytes: text of the note, or a part of a snapshot
 * @size: size of @bytes, bytes, at most CM_MESSAGE_BLOB_SIZE_MAX
 *
 * Return: 0, CM_E_MEMORY or CM_E_TOO_LARGE.
 */
int cm_message_note_set(struct cm_message_note *note, const void *bytes,
			size_t size);

/**
 * cm_message_servers_reserve() - allocate zeroed backend servers
 * @status: a status without servers
 * @count: number of entries to allocate
 *
 * Return: 0, CM_E_MEMORY, or CM_E_TOO_LARGE above CM_MESSAGE_ARRAY_MAX.
 */
int cm_message_servers_reserve(struct cm_message_status *status,
			       uint32_t count);

/**
 * cm_message_items_reserve() - allocate empty items
 * @items: an empty array
 * @count: number of entries to allocate
 *
 * Return: 0, CM_E_MEMORY, or CM_E_TOO_LARGE above CM_MESSAGE_ARRAY_MAX.
 */
int cm_message_items_reserve(struct cm_message_items *items, uint32_t count);

/**
 * cm_message_item_set() - set an item to a copy of a key and a value
 * @item: an empty item; its @revision and @is_deleted are left unchanged
 * @key: its key
 * @key_size: size of @key, bytes
 * @value: its value, or NULL
 * @size: size of @value, bytes
 *
 * Return: 0, CM_E_MEMORY, or CM_E_TOO_LARGE if the key or the value is above
 * CM_MESSAGE_BLOB_SIZE_MAX.
 */
int cm_message_item_set(struct cm_message_item *item, const char *key,
			size_t key_size, const char *value, size_t size);

/**
 * cm_message_kind_name() - stable name of a kind of message, for logs
 * @kind: the kind
 *
 * Return: a static string.
 */
const char *cm_message_kind_name(enum cm_message_kind kind);

#endif
