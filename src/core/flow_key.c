#include "chervilmast/flow_key.h"

#include <xxhash.h>

bool cm_endpoint_equal(const struct cm_endpoint *a, const struct cm_endpoint *b)
{
	return a->address == b->address && a->port == b->port &&
	       a->protocol == b->protocol;
}

static uint64_t endpoint_pack(const struct cm_endpoint *endpoint)
{
	return (uint64_t)endpoint->address << 32 |
	       (uint64_t)endpoint->port << 16 | endpoint->protocol;
}

uint64_t cm_endpoint_hash(const struct cm_endpoint *endpoint)
{
	uint64_t packed = endpoint_pack(endpoint);

	return XXH64(&packed, sizeof(packed), 0);
}

bool cm_flow_key_equal(const struct cm_flow_key *a, const struct cm_flow_key *b)
{
	return cm_endpoint_equal(&a->caller, &b->caller) &&
	       cm_endpoint_equal(&a->service, &b->service);
}

uint64_t cm_flow_key_hash(const struct cm_flow_key *key)
{
	uint64_t words[2] = {
		endpoint_pack(&key->caller),
		endpoint_pack(&key->service),
	};

	return XXH64(words, sizeof(words), 0);
}

uint64_t cm_hash_mix(uint64_t a, uint64_t b)
{
	uint64_t words[2] = { a, b };

	return XXH64(words, sizeof(words), 0);
}
