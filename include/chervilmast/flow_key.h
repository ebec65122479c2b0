/**
 * DOC: Endpoints and flow keys
 *
 * Addresses and ports are in host byte order.
 */
#ifndef CHERVILMAST_FLOW_KEY_H
#define CHERVILMAST_FLOW_KEY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct cm_endpoint - an IPv4 transport address
 * @address: IPv4 address, host byte order
 * @port: TCP or UDP port, host byte order
 * @protocol: IPPROTO_TCP or IPPROTO_UDP
 */
struct cm_endpoint {
	uint32_t address;
	uint16_t port;
	uint8_t protocol;
};

/**
 * struct cm_flow_key - identifies one flow to a service
 * @caller: address and port from which the caller sends
 * @service: public address of the service
 */
struct cm_flow_key {
	struct cm_endpoint caller;
	struct cm_endpoint service;
};

/**
 * cm_endpoint_equal() - compare two endpoints
 * @a: first operand
 * @b: second operand
 *
 * Return: true if address, port and protocol are equal.
 */
bool cm_endpoint_equal(const struct cm_endpoint *a,
		       const struct cm_endpoint *b);

/**
 * cm_endpoint_hash() - 64-bit hash of an endpoint, the same on every instance
 * @endpoint: the endpoint
 *
 * Return: the hash.
 */
uint64_t cm_endpoint_hash(const struct cm_endpoint *endpoint);

/**
 * cm_flow_key_equal() - compare two flow keys
 * @a: first operand
 * @b: second operand
 *
 * Return: true if the endpoints of caller and service are equal.
 */
bool cm_flow_key_equal(const struct cm_flow_key *a,
		       const struct cm_flow_key *b);

/**
 * cm_flow_key_hash() - 64-bit hash of a flow key, the same on every instance
 * @key: the flow key
 *
 * Return: the hash.
 */
uint64_t cm_flow_key_hash(const struct cm_flow_key *key);

/**
 * cm_hash_mix() - combine two hashes into one
 * @a: first hash
 * @b: second hash
 *
 * Return: a hash that depends on every bit of both and on their order.
 */
uint64_t cm_hash_mix(uint64_t a, uint64_t b);

#endif
