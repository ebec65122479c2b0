/**
 * DOC: In-memory store with one publisher, for tests
 */
#ifndef UNIT_PUBLICATION_STORE_H
#define UNIT_PUBLICATION_STORE_H

#include "config/note_json.h"
#include "config/publication.h"
#include "config/publication_keys.h"
#include "fake/notes.h"
#include "fake/store.h"

/** Number of backend servers that the first note adds. */
#define SERVERS 4
/** Buffer size for the value of the head key, bytes. */
#define HEAD_SIZE 256
/** Number of backend servers that make a note too large for one value. */
#define LARGE_SERVERS 7000

/** The key-value service behind the store. */
extern struct fake_store_service service;
/** The publisher. */
extern struct fake_publisher publisher;
/** Number of publication ids used so far. */
extern uint64_t ids_used;
/** The publisher's access to the service. */
extern struct fake_store *const store;
/** The publisher's publication of release notes. */
extern struct cm_publication *const publication;

/** publication_setup() - initialise an empty store and its publisher */
void publication_setup(void);

/** publication_teardown() - free the store */
void publication_teardown(void);

/** publish_first() - publish a note that adds @servers backend servers */
int publish_first(uint32_t servers);

/** publish_change() - publish a note that sets @slots of one backend server */
int publish_change(uint32_t slots);

/** publish_up_to() - publish the first note and changes up to @version */
void publish_up_to(uint64_t version);

/** inject_faults() - set the function that sets the fault of each store call;
 * it is called before each call, and the calls are counted from 0 again */
void inject_faults(void (*before_call)(struct fake_store *store));

/** put_value() - write a key, bypassing the publisher */
void put_value(const char *key, const char *text);

/** assert_same_view() - assert that two views are equal */
void assert_same_view(const struct cm_view *a, const struct cm_view *b);

#endif
