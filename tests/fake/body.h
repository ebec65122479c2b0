/**
 * DOC: JSON text as the platform's bodies
 *
 * Tests write bodies as JSON; the platform sends them as msgpack.
 */
#ifndef FAKE_BODY_H
#define FAKE_BODY_H

#include <jansson.h>
#include <msgpack.h>

/** fake_body_write() - encode @json, whose memory stays the caller's, into an
 * empty buffer */
void fake_body_write(msgpack_sbuffer *buffer, const json_t *json);

/** fake_body_write_text() - the same for JSON text of any type */
void fake_body_write_text(msgpack_sbuffer *buffer, const char *text);

/** fake_body_read() - decode a body; NULL when it is none */
json_t *fake_body_read(const char *bytes, size_t size);

#endif
