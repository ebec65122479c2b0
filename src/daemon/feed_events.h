/**
 * DOC: What the registry's items mean to a node that steers by token
 */
#ifndef DAEMON_FEED_EVENTS_H
#define DAEMON_FEED_EVENTS_H

#include "chervilmast/steer.h"
#include "ports/registry.h"

/**
 * cm_feed_events() - give what items mean to a node, and log it
 * @steer: the node
 *
 * Return: the functions to call.
 */
struct cm_registry_events cm_feed_events(struct cm_steer *steer);

#endif
