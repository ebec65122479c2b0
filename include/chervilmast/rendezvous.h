/**
 * DOC: Weighted rendezvous hashing
 *
 * Ranks a set of items for a key. Every instance computes the same order
 * without exchanging messages, and adding or removing an item moves only the
 * keys for which that item ranks first. All arithmetic is in integers, so that
 * the order does not depend on the machine's math library.
 */
#ifndef CHERVILMAST_RENDEZVOUS_H
#define CHERVILMAST_RENDEZVOUS_H

#include <stdint.h>

/** Largest weight of an item. */
#define CM_RENDEZVOUS_WEIGHT_MAX 1024

/**
 * cm_rendezvous_scale() - convert a weight to the scale of a score
 * @weight: weight of the item, from 1 to CM_RENDEZVOUS_WEIGHT_MAX
 *
 * Return: the scale to pass to cm_rendezvous_score().
 */
uint32_t cm_rendezvous_scale(uint32_t weight);

/**
 * cm_rendezvous_score() - score of an item for a key
 * @key: hash of the key
 * @item: hash of the item
 * @scale: scale of the item's weight
 *
 * An item ranks first for a share of the keys that is proportional to its
 * weight.
 *
 * Return: the score; the item with the highest score ranks first.
 */
uint64_t cm_rendezvous_score(uint64_t key, uint64_t item, uint32_t scale);

#endif
