/**
 * DOC: Three instances with a copy of the registry, for tests
 *
 * A source, its follower and another instance of the same failure domain. Their
 * messages are passed by function calls, without a network.
 */
#ifndef UNIT_FEED_SIDES_H
#define UNIT_FEED_SIDES_H

#include "daemon/feed.h"

/** Number of servers in a copy that is sent in several parts. */
#define SERVERS 1000
/** Incarnations of the source and of the other instance. */
#define SOURCE_INCARNATION 11
#define OTHER_INCARNATION 12
/** Time of all calls, ms. */
#define NOW_MS 100000

/**
 * struct side - an instance
 * @steer: its node
 * @feed: its copy of the registry
 */
struct side {
	struct cm_steer steer;
	struct cm_feed feed;
};

extern struct side source, follower, other;

/** sides_setup() - start the three instances */
void sides_setup(void);

/** sides_teardown() - stop the three instances */
void sides_teardown(void);

/** server() - registry entry of server @id */
struct cm_server_entry server(uint64_t id);

/** tell_all() - apply a full read of the registry that returns @count servers;
 * server i has id and revision i */
void tell_all(struct side *side, uint64_t count);

/** tell_plan() - apply a plan of @routes routes that the registry returns at
 * @revision */
void tell_plan(struct side *side, uint64_t version, uint32_t routes,
	       uint64_t revision);

/** answer() - answer of @from to the next request of @to */
struct cm_message answer(struct side *from, struct side *to);

/** take() - apply an answer at @to and free it; returns the error */
int take(struct side *to, uint64_t incarnation, struct cm_message *message);

/** ask() - let the follower request one part of @from's copy and apply it;
 * returns whether another part follows */
bool ask(struct side *from, uint64_t incarnation);

/** ask_all() - the same until no part follows; returns the number of parts */
int ask_all(struct side *from, uint64_t incarnation);

#endif
