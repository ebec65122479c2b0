/**
 * DOC: Release notes and their publication for tests
 */
#ifndef FAKE_NOTES_H
#define FAKE_NOTES_H

#include "config/publication.h"
#include "fake/store.h"
#include "chervilmast/note.h"
#include "ports/clock.h"

/**
 * struct fake_timer - a clock that advances only by its sleep function
 * @base: the port; must stay the first member
 * @at_ms: current time, ms
 */
struct fake_timer {
	struct cm_timer base;
	uint64_t at_ms;
};

/**
 * fake_timer_init() - make a clock that starts at 0
 * @timer: memory of the caller
 */
void fake_timer_init(struct fake_timer *timer);

/**
 * fake_note_init_servers() - make a note that adds a failure domain and its
 * servers
 * @note: memory of the caller
 * @servers: number of servers of the ledger service, with one slot each
 *
 * The note also adds the services of fake_deployment_note().
 */
void fake_note_init_servers(struct cm_note *note, uint32_t servers);

/**
 * fake_note_change_slots() - make a note that changes the number of slots of a
 * server
 * @note: memory of the caller
 * @server: number of the server
 * @slots: new number of slots
 */
void fake_note_change_slots(struct cm_note *note, uint32_t server,
			    uint32_t slots);

/**
 * fake_note_withdraw() - make a note that withdraws a server
 * @note: memory of the caller
 * @server: number of the server
 */
void fake_note_withdraw(struct cm_note *note, uint32_t server);

/**
 * fake_note_set_id() - give a note a publication id
 * @note: the note
 * @number: number from which the id is made
 */
void fake_note_set_id(struct cm_note *note, uint64_t number);

/** Prefix of all keys in the store. */
#define FAKE_PREFIX "p/"
/** Publication time of a note with id 0, seconds; the id is added to it. */
#define FAKE_PUBLISHED_S 1000000

/**
 * struct fake_publisher - publisher of release notes
 * @store: client of the store
 * @timer: clock of the publisher
 * @publication: the release notes in the store
 * @version: version of the note published last
 */
struct fake_publisher {
	struct fake_store store;
	struct fake_timer timer;
	struct cm_publication publication;
	uint64_t version;
};

/**
 * fake_publisher_init() - make a publisher
 * @publisher: memory of the caller
 * @service: the store
 */
void fake_publisher_init(struct fake_publisher *publisher,
			 struct fake_store_service *service);

/**
 * fake_publisher_publish() - publish a note
 * @publisher: the publisher
 * @note: the note; its contents are freed by the call
 * @id: number from which the publication id is made
 *
 * Return: the result of cm_publication_publish().
 */
int fake_publisher_publish(struct fake_publisher *publisher,
			   struct cm_note *note, uint64_t id);

#endif
