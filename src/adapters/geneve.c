#include "geneve.h"

#include <string.h>

#include "chervilmast/error.h"

#define GENEVE_VERSION_SHIFT 6
#define GENEVE_LENGTH_MASK 0x3f
#define GENEVE_CRITICAL 0x40
#define GENEVE_CONTROL 0x80
/* Unit of the lengths of a header's options, bytes. */
#define GENEVE_WORD_SIZE 4
#define OPTION_HEADER_SIZE 4
#define OPTION_LENGTH_MASK 0x1f
#define OPTION_CRITICAL 0x80
#define ETHERTYPE_IPV4 0x0800
/* RFC 8926 reserves classes 0xff00 to 0xffff for experimental use. */
#define OPTION_CLASS 0xff4c
#define OPTION_TYPE_RELAY (OPTION_CRITICAL | 0x01)

static uint16_t load16(const uint8_t *bytes)
{
	return (uint16_t)(bytes[0] << 8 | bytes[1]);
}

static int read_option(struct cm_geneve *geneve, const uint8_t *option,
		       size_t data_length)
{
	if (load16(option) == OPTION_CLASS && option[2] == OPTION_TYPE_RELAY) {
		geneve->has_relay = true;
		return cm_relay_read(&geneve->relay,
				     option + OPTION_HEADER_SIZE, data_length);
	}
	return option[2] & OPTION_CRITICAL ? CM_E_UNSUPPORTED : CM_OK;
}

static int read_options(struct cm_geneve *geneve, const uint8_t *bytes)
{
	size_t offset = CM_GENEVE_BASE_SIZE;

	while (offset < geneve->length) {
		size_t data_length;
		int error;

		if (geneve->length - offset < OPTION_HEADER_SIZE)
			return CM_E_MALFORMED;
		data_length = (bytes[offset + 3] & OPTION_LENGTH_MASK) *
			      GENEVE_WORD_SIZE;
		if (geneve->length - offset < OPTION_HEADER_SIZE + data_length)
			return CM_E_MALFORMED;
		error = read_option(geneve, bytes + offset, data_length);
		if (error)
			return error;
		offset += OPTION_HEADER_SIZE + data_length;
	}
	return CM_OK;
}

int cm_geneve_read(struct cm_geneve *geneve, const uint8_t *bytes,
		   size_t length)
{
	memset(geneve, 0, sizeof(*geneve));
	if (length < CM_GENEVE_BASE_SIZE)
		return CM_E_TRUNCATED;
	if (bytes[0] >> GENEVE_VERSION_SHIFT)
		return CM_E_UNSUPPORTED;
	if (bytes[1] & GENEVE_CONTROL || load16(bytes + 2) != ETHERTYPE_IPV4)
		return CM_E_UNSUPPORTED;
	geneve->length = CM_GENEVE_BASE_SIZE +
			 (bytes[0] & GENEVE_LENGTH_MASK) * GENEVE_WORD_SIZE;
	if (length < geneve->length)
		return CM_E_TRUNCATED;
	return read_options(geneve, bytes);
}

size_t cm_geneve_write(uint8_t *bytes, const struct cm_relay *relay)
{
	uint8_t *option = bytes + CM_GENEVE_BASE_SIZE;

	memset(bytes, 0, CM_GENEVE_BASE_SIZE);
	bytes[2] = ETHERTYPE_IPV4 >> 8;
	bytes[3] = ETHERTYPE_IPV4 & 0xff;
	if (!relay)
		return CM_GENEVE_BASE_SIZE;
	bytes[0] = (OPTION_HEADER_SIZE + CM_RELAY_SIZE) / GENEVE_WORD_SIZE;
	bytes[1] = GENEVE_CRITICAL;
	option[0] = OPTION_CLASS >> 8;
	option[1] = OPTION_CLASS & 0xff;
	option[2] = OPTION_TYPE_RELAY;
	option[3] = CM_RELAY_SIZE / GENEVE_WORD_SIZE;
	cm_relay_write(relay, option + OPTION_HEADER_SIZE);
	return CM_GENEVE_RELAY_SIZE;
}
