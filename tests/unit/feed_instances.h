/**
 * DOC: Three instances with a copy of the registry, for tests
 *
 * A source, its follower and another instance of the same failure domain. Tests
 * pass their messages by function calls, without a network.
 */
#ifndef UNIT_FEED_INSTANCES_H
#define UNIT_FEED_INSTANCES_H

#include "daemon/feed.h"

/** Number of servers that makes a copy too large for one part. */
#define SERVER_COUNT 1000
/** Incarnation of the source. */
#define SOURCE_INCARNATION 11
/** Incarnation of the other instance. */
#define OTHER_INCARNATION 12
/** Time of all calls, ms. */
#define NOW_MS 100000

/**
 * struct feed_instance - an instance
 * @steer: its node
 * @feed: its copy of the registry
 */
struct feed_instance {
	struct cm_steer steer;
	struct cm_feed feed;
};

extern struct feed_instance source, follower, other;

/** feed_instances_setup() - start the three instances */
void feed_instances_setup(void);

/** feed_instances_teardown() - stop the three instances */
void feed_instances_teardown(void);

/** server_entry() - registry entry of server @id */
struct cm_server_entry server_entry(uint64_t id);

/** put_servers() - apply a full read of the registry that returns @count
 * servers; their ids and revisions count from 1 */
void put_servers(struct feed_instance *instance, uint64_t count);

/** put_plan() - apply a plan of @routes routes that the registry returns at
 * @revision */
void put_plan(struct feed_instance *instance, uint64_t version, uint32_t routes,
	      uint64_t revision);

/** make_answer() - make the answer of @from to the next request of @to; freed
 * by apply_answer() or cm_message_finish() */
struct cm_message make_answer(struct feed_instance *from,
			      struct feed_instance *to);

/** apply_answer() - apply an answer at @to and free it; returns the error */
int apply_answer(struct feed_instance *to, uint64_t incarnation,
		 struct cm_message *message);

/** fetch_part() - let the follower request one part of @from's copy and apply
 * it; returns whether another part follows */
bool fetch_part(struct feed_instance *from, uint64_t incarnation);

/** fetch_all() - call fetch_part() until no part follows; returns the number of
 * parts */
int fetch_all(struct feed_instance *from, uint64_t incarnation);

#endif
