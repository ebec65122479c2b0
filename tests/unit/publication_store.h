/**
 * DOC: A store with a publisher, for tests
 */
#ifndef UNIT_PUBLICATION_STORE_H
#define UNIT_PUBLICATION_STORE_H

#include "config/note_json.h"
#include "config/publication.h"
#include "config/publication_keys.h"
#include "fake/notes.h"
#include "fake/store.h"

/** Backend servers of the first note. */
#define SERVERS 4
/** Room for the value of the head. */
#define HEAD_SIZE 256
/** Backend servers of a note that is too large. */
#define LARGE_SERVERS 7000

/** The store, its publisher, and how many ids it has used. */
extern struct fake_service service;
extern struct fake_publisher publisher;
extern uint64_t ids;
extern struct fake_store *const store;
extern struct cm_publication *const publication;

/** publication_setup() - make an empty store and its publisher */
void publication_setup(void);

/** publication_teardown() - end them */
void publication_teardown(void);

/** publish_first() - publish a note that adds @servers */
int publish_first(uint32_t servers);

/** publish_change() - publish a change of one server's slots */
int publish_change(uint32_t slots);

/** publish_up_to() - publish the first note and changes up to a version */
void publish_up_to(uint64_t version);

/** meet_faults() - from now on each call meets what a function says */
void meet_faults(void (*before_call)(struct fake_store *store));

/** put_value() - write a key of the store */
void put_value(const char *key, const char *text);

/** assert_same_view() - two views of the same notes are the same */
void assert_same_view(const struct cm_view *a, const struct cm_view *b);

#endif
