/**
 * DOC: Steering of flows by a token in each packet
 *
 * For a fabric in which both ends of a flow echo a token that the instance
 * wrote into the SYN. The token identifies the backend server, so any instance
 * can forward any later packet without flow state and without a message to
 * another instance. Only new flows need a decision: which server gets them, or
 * whether they are refused.
 *
 * The functions take the current time and an event and return what is to be
 * done; they do no input or output. All but cm_steer_init() and
 * cm_steer_finish() take the instance's lock.
 */
#ifndef CHERVILMAST_STEER_H
#define CHERVILMAST_STEER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "chervilmast/counter.h"
#include "chervilmast/feed_choice.h"
#include "chervilmast/histogram.h"
#include "chervilmast/steer_admission.h"
#include "chervilmast/steer_change.h"
#include "chervilmast/steer_flow.h"
#include "chervilmast/steer_gone.h"
#include "chervilmast/steer_packet.h"
#include "chervilmast/steer_peer.h"
#include "chervilmast/steer_plan.h"
#include "chervilmast/steer_server.h"

/** Maximum number of failure domains that may be out of service at a time. */
#define CM_STEER_DOMAINS_OUT_MAX 512

/**
 * Maximum number of successful flows, and of failed flows, that an instance
 * keeps between two calls of cm_steer_take_successes() or
 * cm_steer_take_failures().
 */
#define CM_STEER_RESULTS_MAX 64

/**
 * struct cm_steer_flow_results - servers of flows that succeeded, or of flows
 * that failed
 * @tokens: token of each flow's server
 * @count: number of @tokens
 */
struct cm_steer_flow_results {
	uint32_t tokens[CM_STEER_RESULTS_MAX];
	uint32_t count;
};

/**
 * struct cm_steer_config - settings of an instance
 * @domain: name of the instance's failure domain
 * @seed: differs between instances, so that they try servers in different
 *        orders
 * @flows_max: maximum number of flows that the instance tracks
 * @flow_life_ms: maximum lifetime of a flow, ms; a server that has left is kept
 *                for this time
 * @domain_out_ms: time for which packets may still be sent to a failure domain
 *                 after it was taken out of service, ms
 * @registry_fresh_ms: maximum age of the registry data at which a new flow may
 *                     be refused by a reset, ms
 * @lapse_grace_ms: time after an outage of the registry for which a server is
 *                  still used although its entry expired, as it may register
 *                  again, ms
 */
struct cm_steer_config {
	char domain[CM_NAME_SIZE];
	uint64_t seed;
	uint32_t flows_max;
	uint32_t flow_life_ms;
	uint32_t domain_out_ms;
	uint32_t registry_fresh_ms;
	uint32_t lapse_grace_ms;
};

/**
 * struct cm_domain_out - a failure domain that is out of service
 * @name: name of the failure domain
 * @since_ms: when this instance took it out of service, ms
 * @is_missing: the registry has lacked its entry since a change of era
 */
struct cm_domain_out {
	char name[CM_NAME_SIZE];
	uint64_t since_ms;
	bool is_missing;
};

/**
 * struct cm_steer - an instance that steers by token
 * @lock: guards all members except @counters
 * @config: settings
 * @domain_hash: hash of the name of the instance's failure domain
 * @plan: the plan in force; version 0 before the first
 * @servers: the backend servers
 * @peers: all instances in the registry, this one included
 * @flows: flows whose SYN this instance forwarded
 * @admissions: services whose requests are admitted by priority
 * @routes: flows of each route, as this instance observes them
 * @loads_reported_ms: when loads were last reported to the source, ms
 * @load_report_seq: sequence number of the last report of loads
 * @loads_known_ms: latest time at which loads of other instances were current,
 *                  ms; 0 for never
 * @domains_out: failure domains that are out of service
 * @registry_confirmed_ms: latest time at which the registry data was known to
 *                         be current, ms; 0 for never
 * @registry_restored_ms: time at which the first registry data after the last
 *                        outage was current, or of the last change of era if
 *                        that is later, ms; 0 for neither
 * @last_now_ms: latest time passed to the instance, ms
 * @active_ms: clock for timeouts: each packet or tick advances it by the time
 *             since the last one, but at most by ACTIVE_STEP_MAX_MS, so that a
 *             pause of the process hardly counts, ms
 * @choice_seq: sequence number of the last choice of a server
 * @last_forwarded_ms: when a packet was last forwarded, ms
 * @probed_ms: when the last probe began, ms
 * @servers_examined: total number of servers examined by choices, probes and
 *                    readiness checks
 * @outage_reporter: hash of the control address of the instance that reported
 *                   first that it can't reach the registry; 0 for none
 * @is_registry_unreachable: the registry can't be reached, or another instance
 *                           reports so
 * @is_outage_confirmed: this instance can't reach the registry, or two others
 *                       report so; else only one of them may be cut off from it
 * @is_leaving: the instance is in graceful shutdown
 * @has_reached_server: a server has answered a SYN or a probe since the start
 * @was_ready: whether the instance was ready at the last tick
 * @loads_are_known: whether the loads of other instances were known at the last
 *                   tick
 * @unanswered_syns: consecutive SYNs, to any server, that were not answered
 * @domains_out_count: number of @domains_out
 * @gone: state for decisions on servers that are gone
 * @failures: failed flows since the last call of cm_steer_take_failures()
 * @successes: successful flows since the last call of cm_steer_take_successes()
 * @changes: state changes to be logged
 * @counters: counters
 * @histograms: histograms of durations
 */
struct cm_steer {
	pthread_mutex_t lock;
	struct cm_steer_config config;
	uint64_t domain_hash;
	struct cm_steer_plan plan;
	struct cm_steer_servers servers;
	struct cm_steer_peers peers;
	struct cm_steer_flows flows;
	struct cm_steer_admissions admissions;
	struct cm_route_loads routes;
	uint64_t loads_reported_ms;
	uint64_t load_report_seq;
	uint64_t loads_known_ms;
	struct cm_domain_out domains_out[CM_STEER_DOMAINS_OUT_MAX];
	uint64_t registry_confirmed_ms;
	uint64_t registry_restored_ms;
	uint64_t last_now_ms;
	uint64_t active_ms;
	uint64_t choice_seq;
	uint64_t last_forwarded_ms;
	uint64_t probed_ms;
	uint64_t servers_examined;
	uint64_t outage_reporter;
	bool is_registry_unreachable;
	bool is_outage_confirmed;
	bool is_leaving;
	bool has_reached_server;
	bool was_ready;
	bool loads_are_known;
	uint32_t unanswered_syns;
	uint32_t domains_out_count;
	struct cm_steer_gone gone;
	struct cm_steer_flow_results failures;
	struct cm_steer_flow_results successes;
	struct cm_steer_changes changes;
	struct cm_counters counters;
	struct cm_histograms histograms;
};

/**
 * cm_steer_init() - initialize an instance without a plan, servers or peers
 * @steer: uninitialized memory, owned by the calling function
 * @config: settings; copied
 */
void cm_steer_init(struct cm_steer *steer,
		   const struct cm_steer_config *config);

/**
 * cm_steer_finish() - free what an instance holds
 * @steer: the instance; the struct itself is not freed
 */
void cm_steer_finish(struct cm_steer *steer);

/**
 * cm_steer_packet() - decide what is to be done with a caller's packet
 * @steer: the instance
 * @now_ms: current time, ms
 * @packet: the packet
 * @verdict: set to the decision
 */
void cm_steer_packet(struct cm_steer *steer, uint64_t now_ms,
		     const struct cm_steer_packet *packet,
		     struct cm_steer_verdict *verdict);

/**
 * cm_steer_tick() - run the checks that depend on time
 * @steer: the instance
 * @now_ms: current time, ms
 *
 * Finds unanswered SYNs and idle flows, removes servers that left longer ago
 * than the maximum lifetime of a flow, and records changes of readiness. Call
 * it several times a second, after all received packets were passed to
 * cm_steer_packet(): a SYN whose answer is still in the receive queue would
 * count as unanswered.
 */
void cm_steer_tick(struct cm_steer *steer, uint64_t now_ms);

/**
 * cm_steer_can_place() - whether the instance has the data to place new flows
 * @steer: the instance
 *
 * Return: true when it has a plan and at least one server; servers that have
 * left count too.
 */
bool cm_steer_can_place(struct cm_steer *steer);

/**
 * cm_steer_set_plan() - put a plan in force
 * @steer: the instance
 * @plan: a sealed plan; its content is moved, or freed on error, and @plan is
 *        empty afterwards
 *
 * Return: 0, or CM_E_STALE when a plan of this or a higher version is in force.
 */
int cm_steer_set_plan(struct cm_steer *steer, struct cm_steer_plan *plan);

/**
 * cm_steer_set_plan_version() - raise the version of the plan in force
 * @steer: the instance
 * @version: version of a new plan with the same content
 *
 * Return: 0, or CM_E_STALE when a plan of this or a higher version is in force.
 */
int cm_steer_set_plan_version(struct cm_steer *steer, uint64_t version);

/**
 * cm_steer_put_server() - add or update a server from its registry entry
 * @steer: the instance
 * @now_ms: current time, ms
 * @entry: the registry entry; copied
 *
 * Return: 0 or an error of cm_steer_servers_put().
 */
int cm_steer_put_server(struct cm_steer *steer, uint64_t now_ms,
			const struct cm_server_entry *entry);

/**
 * cm_steer_remove_server() - handle the removal of a server's registry entry
 * @steer: the instance
 * @now_ms: current time, ms
 * @id: id of the server
 */
void cm_steer_remove_server(struct cm_steer *steer, uint64_t now_ms,
			    uint64_t id);

/**
 * cm_steer_put_peer() - add or update an instance from its registry entry
 * @steer: the instance
 * @entry: the registry entry; copied
 *
 * Return: 0 or an error of cm_steer_peers_put().
 */
int cm_steer_put_peer(struct cm_steer *steer,
		      const struct cm_peer_entry *entry);

/**
 * cm_steer_remove_peer() - remove an instance whose registry entry was removed
 * @steer: the instance
 * @name: name of the instance to remove
 */
void cm_steer_remove_peer(struct cm_steer *steer, const char *name);

/**
 * cm_steer_set_domain_out() - take a failure domain out of service or back in
 * @steer: the instance
 * @now_ms: current time, ms
 * @domain: name of the failure domain
 * @is_out: whether it is out of service
 *
 * Return: 0, or CM_E_TOO_LARGE when the name is too long or
 * CM_STEER_DOMAINS_OUT_MAX failure domains are out of service.
 */
int cm_steer_set_domain_out(struct cm_steer *steer, uint64_t now_ms,
			    const char *domain, bool is_out);

/**
 * cm_steer_hold_domain_out() - keep a failure domain out of service although
 * the registry's entry of it is missing after a change of era
 * @steer: the instance
 * @domain: name of the failure domain
 *
 * The entry may have been lost. The domain stays out until
 * cm_steer_take_returned_domain() returns it.
 */
void cm_steer_hold_domain_out(struct cm_steer *steer, const char *domain);

/**
 * cm_steer_take_returned_domain() - put a failure domain back in service whose
 * entry is still missing after the grace period
 * @steer: the instance
 * @now_ms: time at which the registry's data was current, ms
 * @domain: set to its name; room for CM_NAME_SIZE
 *
 * Return: false when there is none.
 */
bool cm_steer_take_returned_domain(struct cm_steer *steer, uint64_t now_ms,
				   char *domain);

/**
 * cm_steer_era_changed() - record that the store came back from an older copy
 * @steer: the instance
 * @now_ms: current time, ms
 *
 * Entries may be missing until their owners have written them again, as after
 * an outage, so the same grace period begins.
 */
void cm_steer_era_changed(struct cm_steer *steer, uint64_t now_ms);

/**
 * cm_steer_registry_answered() - record that the registry is reachable
 * @steer: the instance
 * @current_at_ms: time at which the data that it returned was current, ms
 */
void cm_steer_registry_answered(struct cm_steer *steer, uint64_t current_at_ms);

/**
 * cm_steer_registry_confirmed_ms() - latest time at which the registry data was
 * current
 * @steer: the instance
 *
 * Return: the time, ms; 0 for never.
 */
uint64_t cm_steer_registry_confirmed_ms(struct cm_steer *steer);

/**
 * cm_steer_registry_unreachable() - record that the registry did not answer
 * @steer: the instance
 */
void cm_steer_registry_unreachable(struct cm_steer *steer);

/**
 * cm_steer_registry_reported() - record that the registry does not answer
 * another instance
 * @steer: the instance
 * @reporter: control address of that instance
 *
 * When no other instance reports so, and the registry or the next source
 * answers, there was no outage: entries that were removed have not lapsed.
 */
void cm_steer_registry_reported(struct cm_steer *steer,
				const struct cm_endpoint *reporter);

/**
 * cm_steer_select_source() - select the instance from which this one requests
 * registry data
 * @steer: the instance
 * @self: name of this instance
 * @now_ms: current time, ms
 * @choice: state of the choice of a source, with the sources to skip
 * @source: set to the selected instance's entry
 *
 * Instances of a failure domain that have the same peers and skip the same
 * sources select the same instance.
 *
 * Return: false when this instance is to query the registry itself: it is the
 * first instance of its failure domain, in the order of ranks, that is not
 * skipped, or all known instances of the domain are skipped.
 */
bool cm_steer_select_source(struct cm_steer *steer, const char *self,
			    uint64_t now_ms,
			    const struct cm_feed_choice *choice,
			    struct cm_peer_entry *source);

/**
 * cm_steer_count_local_peers() - number of instances in this failure domain
 * @steer: the instance
 *
 * Return: the number; includes this instance once the registry lists it.
 */
uint32_t cm_steer_count_local_peers(struct cm_steer *steer);

/**
 * cm_steer_list_peers() - list the instances of a failure domain
 * @steer: the instance
 * @domain: name of the failure domain
 * @entries: set to the instances' entries
 * @max: room in @entries
 *
 * Return: number of @entries.
 */
uint32_t cm_steer_list_peers(struct cm_steer *steer, const char *domain,
			     struct cm_peer_entry *entries, uint32_t max);

/**
 * cm_steer_is_leaving() - whether a graceful shutdown has begun
 * @steer: the instance
 *
 * Return: true after cm_steer_leave().
 */
bool cm_steer_is_leaving(struct cm_steer *steer);

/**
 * cm_steer_leave() - begin a graceful shutdown
 * @steer: the instance
 */
void cm_steer_leave(struct cm_steer *steer);

/**
 * cm_steer_is_ready() - whether the fabric should send packets to this instance
 * @steer: the instance
 * @now_ms: current time, ms
 *
 * An instance is not ready before a server has answered one of its SYNs or a
 * probe of cm_steer_next_probe().
 *
 * Return: true when it should.
 */
bool cm_steer_is_ready(struct cm_steer *steer, uint64_t now_ms);

/**
 * cm_steer_next_probe() - select a server to be probed now
 * @steer: the instance
 * @now_ms: current time, ms
 * @address: set to where the server listens
 *
 * A probe opens a connection to the server and closes it again. Servers that
 * left a SYN unanswered are probed. While no server answers this instance,
 * servers that are not suspected are probed too.
 *
 * Return: token of the server, which then counts as probed; 0 for none.
 */
uint32_t cm_steer_next_probe(struct cm_steer *steer, uint64_t now_ms,
			     struct cm_endpoint *address);

/**
 * cm_steer_probe_succeeded() - record that a probe reached a server
 * @steer: the instance
 * @now_ms: current time, ms
 * @token: token of the server
 */
void cm_steer_probe_succeeded(struct cm_steer *steer, uint64_t now_ms,
			      uint32_t token);

/**
 * cm_steer_take_changes() - take the state changes since the last call
 * @steer: the instance
 * @changes: set to the changes
 */
void cm_steer_take_changes(struct cm_steer *steer,
			   struct cm_steer_changes *changes);

/**
 * cm_steer_idle_ms() - time since a packet was last forwarded
 * @steer: the instance
 * @now_ms: current time, ms
 *
 * Return: the time, ms; @now_ms when no packet was forwarded yet.
 */
uint64_t cm_steer_idle_ms(struct cm_steer *steer, uint64_t now_ms);

#endif
