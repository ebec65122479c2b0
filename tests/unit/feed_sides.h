/**
 * DOC: Instances with a copy of the registry, for tests
 *
 * A source, a follower and another instance of one failure domain, which answer
 * each other without a network.
 */
#ifndef UNIT_FEED_SIDES_H
#define UNIT_FEED_SIDES_H

#include "daemon/feed.h"

/** Servers of a copy that takes several parts. */
#define SERVERS 1000
#define SOURCE_INCARNATION 11
#define OTHER_INCARNATION 12
#define NOW_MS 100000

/**
 * struct side - an instance with its copy
 * @steer: its node
 * @feed: its copy
 */
struct side {
	struct cm_steer steer;
	struct cm_feed feed;
};

extern struct side source, follower, other;

/** sides_setup() - start the three instances */
void sides_setup(void);

/** sides_teardown() - end them */
void sides_teardown(void);

/** server() - entry of server @id */
struct cm_server_entry server(uint64_t id);

/** tell_all() - the registry gives @count servers, one with each revision */
void tell_all(struct side *side, uint64_t count);

/** tell_plan() - the registry gives a plan */
void tell_plan(struct side *side, uint64_t version, uint32_t routes,
	       uint64_t revision);

/** answer() - what @from answers to the next question of @to */
struct cm_message answer(struct side *from, struct side *to);

/** take() - let @to take an answer, which is finished */
int take(struct side *to, uint64_t incarnation, struct cm_message *message);

/** ask() - let the follower ask once; returns whether another part follows */
bool ask(struct side *from, uint64_t incarnation);

/** ask_all() - let it ask until no part follows; returns the number of parts */
int ask_all(struct side *from, uint64_t incarnation);

#endif
