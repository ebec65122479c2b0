/**
 * DOC: Operators of a run, who publish release notes
 *
 * Notes are published with the code of the command publish, one at a time or
 * two concurrently. A note counts as accepted when it is read back from the
 * store; from then on the checks on callers and servers take it into account.
 */
#ifndef SOAK_OPERATOR_H
#define SOAK_OPERATOR_H

#include "chervilmast/catalog.h"
#include "chervilmast/note.h"

/** Number of backend servers of the service ledger, which come first. */
#define SOAK_LEDGER_SERVERS 12
/** Number of backend servers. */
#define SOAK_SERVERS 16
/** Maximum number of publications in a run. */
#define SOAK_NOTES_MAX 4096

struct soak;

/**
 * struct soak_attempt - one publication
 * @outcome: result returned to the operator
 * @version: version returned to the operator
 * @seen: number of accepted notes in the store with its publication id
 */
struct soak_attempt {
	int outcome;
	uint64_t version;
	uint32_t seen;
};

/**
 * struct soak_operators - publications and their results
 * @attempts: publications; attempts[i] has the publication id i + 1
 * @attempt_count: number of @attempts
 * @head: newest accepted version
 * @publication_ids: publication id of each accepted version
 * @revision: revision of the store when it was last read
 * @servers: state of the backend servers at @head
 * @leaving_version: version that drained or withdrew each server
 * @domain_version: version of the last change of a failure domain
 */
struct soak_operators {
	struct soak_attempt attempts[SOAK_NOTES_MAX];
	uint32_t attempt_count;
	uint64_t head;
	uint64_t publication_ids[SOAK_NOTES_MAX + 1];
	int64_t revision;
	struct cm_server_spec servers[SOAK_SERVERS];
	uint64_t leaving_version[SOAK_SERVERS];
	uint64_t domain_version;
};

/**
 * soak_publish() - publish a note without store faults
 * @soak: the run
 * @note: the note, which is freed
 */
void soak_publish(struct soak *soak, struct cm_note *note);

/**
 * soak_change_server() - drain, withdraw or add back a random backend server
 * @soak: the run
 */
void soak_change_server(struct soak *soak);

/**
 * soak_change_domain() - take a failure domain out or bring it back in
 * @soak: the run
 */
void soak_change_domain(struct soak *soak);

/**
 * soak_publish_concurrently() - publish two notes concurrently
 * @soak: the run
 */
void soak_publish_concurrently(struct soak *soak);

/**
 * soak_operators_read_notes() - read newly accepted notes from the store and
 * apply them
 * @soak: the run
 */
void soak_operators_read_notes(struct soak *soak);

/**
 * soak_operators_extend_deadlines() - extend deadlines for an instance to which
 * the newest note cannot be delivered
 * @soak: the run
 * @version: version in force at the instance
 *
 * Called while neither the store nor another instance can deliver the newest
 * note to the instance. Moves the deadlines of notes newer than @version to at
 * least SOAK_IN_FORCE_MAX_MS from now, so that the instance has this time from
 * the moment at which the newest note can be delivered again.
 */
void soak_operators_extend_deadlines(struct soak *soak, uint64_t version);

/**
 * soak_publication_number() - decode a publication id
 * @id: the id
 *
 * Return: the number of the attempt, from 1.
 */
uint64_t soak_publication_number(const uint8_t *id);

/**
 * soak_operators_check() - compare the results of publications with the store
 * @soak: the run, at its end
 */
void soak_operators_check(struct soak *soak);

#endif
