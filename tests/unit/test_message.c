#include "unit/suites.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/message_msgpack.h"
#include "chervilmast/error.h"

#define FRAME_HEAD(kind) \
	"\x96" kind "\xcf\x00\x7f\x00\x00\x01\x17\xc1\x11\x07\xa1\x61\x01"
#define HEARTBEAT_BODY "\x98\x05\x00\x01\x00\xc4\x00\x09\x90\x90"

/* Malformed or unsupported frames, and the expected error. */
static const struct {
	const char *bytes;
	size_t size;
	int error;
} bad_frames[] = {
	UNIT_BYTES("", CM_E_TRUNCATED),
	UNIT_BYTES("\x96\x01", CM_E_TRUNCATED),
	UNIT_BYTES("\xc1", CM_E_MALFORMED),
	UNIT_BYTES("\x01", CM_E_WRONG_TYPE),
	UNIT_BYTES("\x90", CM_E_TRUNCATED),
	UNIT_BYTES("\x97\x01\x01\x01\x01\x01\x01\x01", CM_E_TOO_LARGE),
	UNIT_BYTES(FRAME_HEAD("\x00") "\x90", CM_E_UNSUPPORTED),
	UNIT_BYTES(FRAME_HEAD("\x0b") "\x90", CM_E_UNSUPPORTED),
	UNIT_BYTES(FRAME_HEAD("\xff") "\x90", CM_E_WRONG_TYPE),
	UNIT_BYTES(FRAME_HEAD("\xa1\x31") "\x90", CM_E_WRONG_TYPE),
	UNIT_BYTES(FRAME_HEAD("\x07") "\x90\x00", CM_E_MALFORMED),
	UNIT_BYTES(FRAME_HEAD("\x07") "\x91\x00", CM_E_TOO_LARGE),
	UNIT_BYTES(FRAME_HEAD("\x07") "\x00", CM_E_WRONG_TYPE),
	UNIT_BYTES(FRAME_HEAD("\x01") "\x97\x05\x00\x01\x00\xc4\x00\x09\x90",
		   CM_E_TRUNCATED),
	UNIT_BYTES(
		FRAME_HEAD("\x01") "\x98\x05\x04\x01\x00\xc4\x00\x09\x90\x90",
		CM_E_OUT_OF_RANGE),
	UNIT_BYTES(
		FRAME_HEAD("\x01") "\x98\x05\x00\x02\x00\xc4\x00\x09\x90\x90",
		CM_E_OUT_OF_RANGE),
	UNIT_BYTES(
		FRAME_HEAD("\x01") "\x98\x05\x00\x01\x07\xc4\x00\x09\x90\x90",
		CM_E_OUT_OF_RANGE),
	UNIT_BYTES(FRAME_HEAD("\x01") "\x98\x05\x00\x01\x00\xa0\x09\x90\x90",
		   CM_E_WRONG_TYPE),
	UNIT_BYTES(
		FRAME_HEAD(
			"\x01") "\x98\x05\x00\x01\x00\xc4\x00\x09\x91\x90\x90",
		CM_E_TRUNCATED),
	UNIT_BYTES(FRAME_HEAD("\x03") "\xdc\x10\x01", CM_E_TRUNCATED),
	UNIT_BYTES(FRAME_HEAD("\x03") "\x91\x93\x01\x01\x01",
		   CM_E_OUT_OF_RANGE),
	UNIT_BYTES(FRAME_HEAD("\x06") "\x92\x01\x91\xa1\x61", CM_E_WRONG_TYPE),
	UNIT_BYTES(FRAME_HEAD("\x09") "\x90", CM_E_TRUNCATED),
	UNIT_BYTES(FRAME_HEAD("\x09") "\x96\xa1\x61\x01\x00\x05\x90\x90",
		   CM_E_TRUNCATED),
	UNIT_BYTES(FRAME_HEAD("\x09") "\x97\x07\x01\x00\x05\x90\x90\x90",
		   CM_E_WRONG_TYPE),
	UNIT_BYTES(
		FRAME_HEAD(
			"\x09") "\x97\xa1\x61\x01\x00\x05\x91\xa1\x61\x90\x90",
		CM_E_WRONG_TYPE),
	UNIT_BYTES(
		FRAME_HEAD(
			"\x09") "\x97\xa1\x61\x01\x00\x05\x90\x91\xa1\x61\x90",
		CM_E_WRONG_TYPE),
	UNIT_BYTES(
		FRAME_HEAD("\x09") "\x97\xa1\x61\x01\x00\x05\xdc\x00\x41\x90",
		CM_E_TRUNCATED),
	UNIT_BYTES(
		FRAME_HEAD(
			"\x09") "\x97\xa1\x61\x01\x00\x05\x90\x90\x91\xa1\x61",
		CM_E_WRONG_TYPE),
	UNIT_BYTES(
		FRAME_HEAD(
			"\x0a") "\x99\x00\x01\xa1\x61\x01\x00\x00\x90\x90\x90",
		CM_E_WRONG_TYPE),
	UNIT_BYTES(
		FRAME_HEAD("\x0a") "\x99\x00\x01\x05\x01\x02\x00\x90\x90\x90",
		CM_E_OUT_OF_RANGE),
	UNIT_BYTES(
		FRAME_HEAD("\x0a") "\x99\x00\x01\x05\x01\x00\x02\x90\x90\x90",
		CM_E_OUT_OF_RANGE),
	UNIT_BYTES(
		FRAME_HEAD(
			"\x0a") "\x99\x00\x01\x05\x01\x00\x00\x91\x94\xa1\x61\xc4\x00"
				"\x01\x00\x90\x90",
		CM_E_WRONG_TYPE),
	UNIT_BYTES(
		FRAME_HEAD(
			"\x0a") "\x99\x00\x01\x05\x01\x00\x00\x91\x94\xc4\x02\x61\x00"
				"\xc4\x00\x01\x00\x90\x90",
		CM_E_BAD_NAME),
	UNIT_BYTES(FRAME_HEAD("\x08") "\x95\xa2\x61\x00\x01\x01\x90\x90",
		   CM_E_BAD_NAME),
	UNIT_BYTES(FRAME_HEAD("\x08") "\x95\xd9\x20"
				      "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\0"
				      "\x01\x01\x90\x90",
		   CM_E_BAD_NAME),
};

UNIT_CASE("message", "codec", NULL, NULL, UNIT_TIMEOUT_S);

TEST_TABLE(bad_frame_is_refused, bad_frames)
{
	struct cm_message message;

	ck_assert_int_eq(cm_message_read(&message, bad_frames[_i].bytes,
					 bad_frames[_i].size),
			 bad_frames[_i].error);
}

TEST(good_frame_is_read)
{
	static const char frame[] = FRAME_HEAD("\x01") HEARTBEAT_BODY;
	struct cm_message message;

	ASSERT_OK(cm_message_read(&message, frame, sizeof(frame) - 1));
	ck_assert_int_eq(message.kind, CM_MESSAGE_HEARTBEAT);
	ck_assert_uint_eq(message.sender_data_address.address, 0x7f000001);
	ck_assert_uint_eq(message.sender_data_address.port, 6081);
	ck_assert_uint_eq(message.sender_control_address.port, 7);
	ck_assert_uint_eq(message.heartbeat.sent_ms, 5);
	ck_assert(message.heartbeat.grants_lease);
	cm_message_finish(&message);
}

/* Guards against a long name that makes a whole message fail. */
TEST(message_with_a_long_name_is_read)
{
	static const char frame[] =
		FRAME_HEAD("\x08") "\x95\xd9\x20"
				   "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
				   "\x01\x02\x90\x90";
	struct cm_message message;

	ASSERT_OK(cm_message_read(&message, frame, sizeof(frame) - 1));
	ck_assert_uint_eq(strlen(message.status.name), CM_NAME_SIZE - 1);
	ck_assert(!strncmp(message.status.name, "aaaaaaaaaaaaaa.", 15));
	ck_assert_uint_eq(message.status.uptime_s, 2);
	cm_message_finish(&message);
}

static const struct cm_endpoint tcp = { 0x7f000102, 7081, IPPROTO_TCP };
static const struct cm_endpoint udp = { 0x7f000102, 6081, IPPROTO_UDP };
static const struct cm_endpoint far = { 0x7f000909, 7081, IPPROTO_TCP };

static void fill_heartbeat(struct cm_message *message)
{
	struct cm_message_heartbeat *body = &message->heartbeat;
	struct cm_member member = {
		.name = "a-1",
		.domain = "a",
		.data_address = udp,
		.control_address = far,
		.incarnation = UINT64_MAX,
		.state = CM_MEMBER_SUSPECT,
	};

	body->version = 3;
	memset(body->publication_id, 7, sizeof(body->publication_id));
	body->digest = UINT32_MAX;
	ck_assert(!cm_message_members_reserve(&body->events, 1));
	body->events.items[0] = member;
	ck_assert(!cm_message_loads_reserve(&body->loads, 1));
	body->loads.items[0].server = tcp;
	body->loads.items[0].open_connections = 9;
}

static void fill_bindings(struct cm_message *message)
{
	ck_assert(!cm_message_bindings_reserve(&message->bindings, 1));
	message->bindings.items[0].flow.caller = far;
	message->bindings.items[0].flow.service = tcp;
	message->bindings.items[0].server = far;
}

static void fill_loads(struct cm_message *message)
{
	ck_assert(!cm_message_loads_reserve(&message->loads, 1));
	message->loads.items[0].server = tcp;
	message->loads.items[0].flags = 3;
}

static void fill_notes_request(struct cm_message *message)
{
	message->notes_request.after_version = UINT64_MAX;
	message->notes_request.limit = 2;
}

static void fill_notes(struct cm_message *message)
{
	message->notes.version = 4;
	ck_assert(!cm_message_notes_reserve(&message->notes, 2));
	ck_assert(!cm_message_note_set(&message->notes.items[0], "{}", 2));
	ck_assert(!cm_message_note_set(&message->notes.items[1], "", 0));
}

static void fill_status(struct cm_message *message)
{
	struct cm_message_status *body = &message->status;

	strcpy(body->name, "a-1");
	ck_assert(!cm_message_members_reserve(&body->members, 1));
	body->members.items[0].data_address = udp;
	body->members.items[0].control_address = tcp;
	ck_assert(!cm_message_servers_reserve(body, 1));
	strcpy(body->servers[0].name, "s");
	body->servers[0].address = tcp;
	body->servers[0].is_home = true;
}

static void (*const fill_body[CM_MESSAGE_KIND_END])(struct cm_message *) = {
	[CM_MESSAGE_HEARTBEAT] = fill_heartbeat,
	[CM_MESSAGE_HEARTBEAT_ACK] = fill_heartbeat,
	[CM_MESSAGE_BINDINGS] = fill_bindings,
	[CM_MESSAGE_LOADS] = fill_loads,
	[CM_MESSAGE_NOTES_REQUEST] = fill_notes_request,
	[CM_MESSAGE_NOTES] = fill_notes,
	[CM_MESSAGE_STATUS] = fill_status,
};

static void make_message(struct cm_message *message, int kind)
{
	cm_message_init(message, kind);
	message->sender_data_address = udp;
	message->sender_control_address = tcp;
	strcpy(message->sender_domain, "a");
	message->sender_incarnation = 12;
	if (fill_body[kind])
		fill_body[kind](message);
}

TEST_LOOP(message_is_read_back, CM_MESSAGE_HEARTBEAT, CM_MESSAGE_KIND_END)
{
	struct cm_message message, copy;
	char *bytes, *copy_bytes;
	size_t size, copy_size;

	make_message(&message, _i);
	ASSERT_OK(cm_message_write(&message, &bytes, &size));
	ASSERT_OK(cm_message_read(&copy, bytes, size));
	ASSERT_OK(cm_message_write(&copy, &copy_bytes, &copy_size));
	ck_assert_uint_eq(size, copy_size);
	ck_assert_mem_eq(bytes, copy_bytes, size);
	cm_message_finish(&message);
	cm_message_finish(&copy);
	free(bytes);
	free(copy_bytes);
}

/*
 * A heartbeat with neither a release note nor a failure domain. Its empty
 * arrays are NULL pointers, which the codec must not dereference.
 */
TEST(heartbeat_without_note_and_domain_is_read_back)
{
	struct cm_message message = {
		.kind = CM_MESSAGE_HEARTBEAT,
		.sender_data_address = udp,
		.sender_control_address = tcp,
		.sender_incarnation = 1,
	};
	struct cm_message copy;
	char *bytes;
	size_t size;

	ASSERT_OK(cm_message_write(&message, &bytes, &size));
	ASSERT_OK(cm_message_read(&copy, bytes, size));
	ck_assert_str_eq(copy.sender_domain, "");
	ck_assert_uint_eq(copy.heartbeat.version, 0);
	cm_message_finish(&copy);
	free(bytes);
}

TEST_LOOP(every_truncated_frame_is_refused, CM_MESSAGE_HEARTBEAT,
	  CM_MESSAGE_KIND_END)
{
	struct cm_message message, copy;
	char *bytes;
	size_t size;

	make_message(&message, _i);
	ASSERT_OK(cm_message_write(&message, &bytes, &size));
	for (size_t cut = 0; cut < size; cut++)
		ck_assert_int_eq(cm_message_read(&copy, bytes, cut),
				 CM_E_TRUNCATED);
	cm_message_finish(&message);
	free(bytes);
}

TEST(oversized_arrays_are_refused)
{
	struct cm_message message;

	cm_message_init(&message, CM_MESSAGE_BINDINGS);
	ck_assert_int_eq(cm_message_bindings_reserve(&message.bindings,
						     CM_MESSAGE_ARRAY_MAX + 1),
			 CM_E_TOO_LARGE);
	cm_message_finish(&message);
}
