/**
 * DOC: Instance discovery and status queries for subcommands
 *
 * Finds the instances through the platform's list in the store or, if the store
 * fails, through the instances named in the settings. Status queries and notes
 * go to the control ports of the instances.
 */
#ifndef CLI_FLEET_H
#define CLI_FLEET_H

#include "adapters/peer_tcp.h"
#include "chervilmast/counter.h"
#include "config/settings.h"
#include "ports/store.h"

/**
 * struct cm_fleet_instance - one instance
 * @member: its name, failure domain and addresses
 * @has_answered: whether it answered the last status request; if so, @answer is
 *                valid
 * @is_dead: whether another instance that answered reports it as dead
 * @answer: its last status answer; owned
 */
struct cm_fleet_instance {
	struct cm_member member;
	bool has_answered;
	bool is_dead;
	struct cm_message answer;
};

/**
 * struct cm_fleet - all known instances
 * @peers: connections to their control ports
 * @counters: counters of @peers
 * @instances: the instances; owned
 * @count: number of @instances
 */
struct cm_fleet {
	struct cm_peer_tcp peers;
	struct cm_counters counters;
	struct cm_fleet_instance *instances;
	uint32_t count;
};

/**
 * cm_fleet_init() - initialise a fleet without instances
 * @fleet: memory owned by the calling function
 *
 * Return: 0 or CM_E_IO.
 */
int cm_fleet_init(struct cm_fleet *fleet);

/**
 * cm_fleet_finish() - close the connections and free the instances
 * @fleet: the fleet; the struct itself is not freed
 */
void cm_fleet_finish(struct cm_fleet *fleet);

/**
 * cm_fleet_discover() - find all instances
 * @fleet: a fleet without instances
 * @store: the store with the platform's list of instances
 * @settings: gives the key prefix in @store, the control address of one
 *            instance and those of its peers
 * @timeout_ms: longest wait for a first status answer, milliseconds; used only
 *              if the store fails
 *
 * If the store fails, sends status requests to the instances named in @settings
 * and waits for the first answer. The instances that have answered by then are
 * added, and so are the members that they report.
 *
 * Return: 0, CM_E_MEMORY, or the error of the store if no instance answered
 * either.
 */
int cm_fleet_discover(struct cm_fleet *fleet, struct cm_store *store,
		      const struct cm_settings *settings, uint32_t timeout_ms);

/**
 * cm_fleet_query_status() - request the status of instances
 * @fleet: the fleet
 * @version: skips instances that already reported this or a newer version;
 *           UINT64_MAX to skip none
 * @timeout_ms: longest wait for the answers of one batch of instances,
 *              milliseconds
 */
void cm_fleet_query_status(struct cm_fleet *fleet, uint64_t version,
			   uint32_t timeout_ms);

/**
 * cm_fleet_push_note() - send a published note to some instances
 * @fleet: the fleet
 * @text: the published text of the note
 * @version: version of the note
 * @timeout_ms: longest wait until an instance has the note in force,
 *              milliseconds
 *
 * The note goes to CM_FLEET_PUSHES_PER_DOMAIN instances of each failure domain,
 * so that it comes into force even if the store stops answering after it
 * accepted the note. Returns as soon as one instance reports @version.
 */
void cm_fleet_push_note(struct cm_fleet *fleet, const char *text,
			uint64_t version, uint32_t timeout_ms);

/** Number of instances of each failure domain that a note is pushed to. */
#define CM_FLEET_PUSHES_PER_DOMAIN 2

/**
 * cm_fleet_instance_has_version() - whether an instance has a release note in
 * force
 * @instance: the instance
 * @version: version of a release note
 *
 * Return: true if its last status answer has this or a newer version.
 */
bool cm_fleet_instance_has_version(const struct cm_fleet_instance *instance,
				   uint64_t version);

#endif
