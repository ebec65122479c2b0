/**
 * DOC: Conversion between JSON and the platform's msgpack bodies
 *
 * Tests write request and response bodies as JSON; the platform sends them as
 * msgpack.
 */
#ifndef FAKE_BODY_H
#define FAKE_BODY_H

#include <jansson.h>
#include <msgpack.h>

/** fake_body_write() - encode @json as msgpack into an empty buffer; the caller
 * keeps its reference to @json */
void fake_body_write(msgpack_sbuffer *buffer, const json_t *json);

/** fake_body_write_text() - encode JSON text of any type as msgpack into an
 * empty buffer */
void fake_body_write_text(msgpack_sbuffer *buffer, const char *text);

/** fake_body_read() - decode a body; returns a new reference, or NULL when the
 * body is not valid msgpack. Booleans and floats are read as null. */
json_t *fake_body_read(const char *bytes, size_t size);

#endif
