/**
 * DOC: Admission state of one backend server, for tests
 *
 * The test plays the home of the server. The functions admit connections on a
 * struct cm_backend with the settings in spec.
 */
#ifndef UNIT_BACKEND_HOME_H
#define UNIT_BACKEND_HOME_H

#include "chervilmast/backend.h"

#define MS_PER_S 1000
/** Time at which a test begins, ms. */
#define START_MS 1000000
/** Duration of a cold start, s. */
#define COLD_START_S 10
/** Time that the server takes to answer a SYN, ms. */
#define WARM_ANSWER_MS 3

/** Settings of the server under test, its admission state and the time, ms. */
extern struct cm_server_spec spec;
extern struct cm_backend backend;
extern struct cm_backend_status status;
extern uint64_t now_ms;

/** set_spec() - set the settings to a server with a cap and a rate */
void set_spec(uint32_t cap, uint32_t rate);

/** backend_teardown() - release the admission state */
void backend_teardown(void);

/** admit() - try to admit a connection; returns true if it is admitted */
bool admit(struct cm_backend *home, uint64_t at_ms);

/** serve() - as admit(); the server answers an admitted SYN */
bool serve(struct cm_backend *home, uint64_t at_ms);

/** read_status() - read the admission state into status */
void read_status(void);

/** start_cold() - set up a server at the beginning of its first cold start */
void start_cold(uint32_t cap, uint32_t rate);

/**
 * warm_up() - initialize the admission state of a home and serve SYNs until the
 *             cold start is over; advances now_ms
 */
void warm_up(struct cm_backend *home);

/** start_warm() - set up a server whose cold start is over */
void start_warm(uint32_t cap, uint32_t rate);

#endif
