/**
 * DOC: Node, choice among the candidates
 *
 * Consistent hashing with bounded loads: a flow goes to its first candidate
 * whose load does not exceed the mean load of the service by more than the
 * bounds below.
 */
#ifndef CORE_NODE_BALANCE_H
#define CORE_NODE_BALANCE_H

#include "node_event.h"

/** Allowed excess over the mean load of the service, % of the mean. */
#define CM_BALANCE_EXCESS_PERCENT 5
/** Further allowed excess over the mean load, connections per slot. */
#define CM_BALANCE_EXCESS_PER_SLOT 4
/** Index that means no candidate. */
#define CM_NO_CANDIDATE CM_CANDIDATES_MAX

/**
 * cm_balance_choose() - choose the next candidate for a new flow
 * @event: the flow's first packet, or the server's RST in answer to it
 * @tried: bit mask of the candidates that were tried
 *
 * Return: index among the candidates, or CM_NO_CANDIDATE if none is left.
 */
uint32_t cm_balance_choose(struct cm_event *event, uint32_t tried);

#endif
