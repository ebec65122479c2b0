/**
 * DOC: Array sizes shared by the encoder and the decoder of messages
 */
#ifndef ADAPTERS_MESSAGE_INTERNAL_H
#define ADAPTERS_MESSAGE_INTERNAL_H

/** Number of elements of the msgpack array that encodes a struct or a message
 * body. */
#define CM_MEMBER_FIELDS 6
#define CM_LOAD_FIELDS 3
#define CM_HEARTBEAT_FIELDS 8
#define CM_BINDING_FIELDS 3
#define CM_NOTES_REQUEST_FIELDS 4
#define CM_NOTES_FIELDS 2
#define CM_STATUS_FIELDS 5
#define CM_SERVER_FIELDS 5
#define CM_ITEMS_REQUEST_FIELDS 7
#define CM_ITEMS_FIELDS 9
#define CM_ITEM_FIELDS 4

/** Key of the loads in the optional fields of ITEMS_REQUEST and ITEMS. */
#define CM_OPTIONAL_LOADS 1

#endif
