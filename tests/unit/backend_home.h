/**
 * DOC: A home and its backend server, for tests
 */
#ifndef UNIT_BACKEND_HOME_H
#define UNIT_BACKEND_HOME_H

#include "chervilmast/backend.h"

#define MS_PER_S 1000
#define START_MS 1000000
#define COLD_START_S 10
#define WARM_ANSWER_MS 3

/** The server under test, its home and the time there. */
extern struct cm_server_spec spec;
extern struct cm_backend backend;
extern struct cm_backend_status status;
extern uint64_t now_ms;

/** set_spec() - a server with a cap and a rate */
void set_spec(uint32_t cap, uint32_t rate);

/** backend_teardown() - end the home */
void backend_teardown(void);

/** admit() - a SYN at a home; whether it is let through */
bool admit(struct cm_backend *home, uint64_t at_ms);

/** serve() - a SYN that is answered at once */
bool serve(struct cm_backend *home, uint64_t at_ms);

/** read_status() - read the status of the home */
void read_status(void);

/** start_cold() - a home of a server that has just started */
void start_cold(uint32_t cap, uint32_t rate);

/** warm_up() - serve until a home takes its server for warm */
void warm_up(struct cm_backend *home);

/** start_warm() - a home of a warm server */
void start_warm(uint32_t cap, uint32_t rate);

#endif
