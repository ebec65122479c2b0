/**
 * DOC: Flows whose backend server is gone
 *
 * An instance that is certain that the server of an open flow is gone resets
 * the flow at the caller's next packet. The caller then retries elsewhere at
 * once instead of waiting for its deadline. Resetting a flow whose server is
 * alive breaks a promise to callers, so the functions report a server as gone
 * only on evidence that an outage of the registry, a pause of the process or a
 * failure domain that is cut off can't cause.
 */
#ifndef CHERVILMAST_STEER_GONE_H
#define CHERVILMAST_STEER_GONE_H

#include <stdbool.h>
#include <stdint.h>

#include "chervilmast/counter.h"
#include "chervilmast/message_items.h"
#include "chervilmast/steer_server.h"

/**
 * Number of failure domains for which counts of servers are cached; a
 * deployment has 3.
 */
#define CM_STEER_GONE_DOMAINS 4

struct cm_steer;
struct cm_steer_packet;

/**
 * struct cm_steer_gone_domain - number of servers of a failure domain
 * @domain_hash: hash of its name
 * @is_counted: the other members are set
 * @changes: listing_changes of struct cm_steer_servers when they were counted
 * @listed: servers with a registry entry
 * @missing: servers whose entry expired or was removed without draining
 */
struct cm_steer_gone_domain {
	uint64_t domain_hash;
	bool is_counted;
	uint64_t changes;
	uint32_t listed;
	uint32_t missing;
};

/**
 * struct cm_steer_down - servers that the source lists as down
 * @servers: the servers
 * @since_ms: when the request was sent whose answer first listed each server,
 *            ms
 * @requested_ms: when the request was sent whose answer last listed them, ms
 */
struct cm_steer_down {
	struct cm_message_tokens servers;
	uint64_t since_ms[CM_MESSAGE_TOKENS_MAX];
	uint64_t requested_ms;
};

/**
 * struct cm_steer_gone - state for decisions on servers that are gone
 * @must_renew: no registry data was received since the last pause of the
 *              process
 * @renewed_from_ms: end of the last long pause, ms; 0 for none. Registry data
 *                   counts only if it was current at this time or later.
 * @domains: counted failure domains, by hash of the name
 * @down: servers that the source lists as down
 * @stalled: servers to which data was retransmitted; those for which this no
 *           longer counts are removed by cm_steer_gone_list_stalled()
 * @has_new_silent: there is more to report of a silent server
 */
struct cm_steer_gone {
	bool must_renew;
	uint64_t renewed_from_ms;
	struct cm_steer_gone_domain domains[CM_STEER_GONE_DOMAINS];
	struct cm_steer_down down;
	struct cm_message_tokens stalled;
	bool has_new_silent;
};

/**
 * struct cm_steer_gone_evidence - why a server counts as gone
 * @reason: counter of the reason
 * @since_ms: time from which the evidence holds, ms
 */
struct cm_steer_gone_evidence {
	enum cm_counter reason;
	uint64_t since_ms;
};

/**
 * cm_steer_gone_paused() - record that the process was paused
 * @gone: the state
 * @began_ms: last time at which the process is known to have run, ms
 * @ended_ms: time at which it ran again, ms
 */
void cm_steer_gone_paused(struct cm_steer_gone *gone, uint64_t began_ms,
			  uint64_t ended_ms);

/**
 * cm_steer_gone_apply_down() - replace the servers that the source lists as
 * down
 * @gone: the state
 * @requested_ms: when the request was sent that was answered with the list, ms;
 *                an older list than the last one is ignored
 * @servers: the servers
 */
void cm_steer_gone_apply_down(struct cm_steer_gone *gone, uint64_t requested_ms,
			      const struct cm_message_tokens *servers);

/**
 * cm_steer_gone_is_stalled() - whether data to a server was retransmitted and
 * the server has not answered since its first transmission
 * @server: the server
 * @now_ms: current time, ms
 *
 * Return: true for CM_DATA_STALL_TTL_MS after the retransmission.
 */
bool cm_steer_gone_is_stalled(const struct cm_steer_server *server,
			      uint64_t now_ms);

/**
 * cm_steer_gone_record_packet() - record a packet of an open flow
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 * @packet: the packet
 * @server: the server that the packet's token identifies
 */
void cm_steer_gone_record_packet(struct cm_steer *steer, uint64_t now_ms,
				 const struct cm_steer_packet *packet,
				 struct cm_steer_server *server);

/**
 * cm_steer_gone_list_stalled() - list the servers to which data was
 * retransmitted; see cm_steer_list_stalled_servers()
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 * @silent: servers that do not answer SYNs; may be extended
 * @stalled: initially empty; set to the servers
 */
void cm_steer_gone_list_stalled(struct cm_steer *steer, uint64_t now_ms,
				struct cm_message_tokens *silent,
				struct cm_message_tokens *stalled);

/**
 * cm_steer_gone_check() - whether to reset an open flow as its server is gone
 * @steer: the instance; its lock is held
 * @now_ms: current time, ms
 * @packet: a packet of the flow that is not a SYN
 * @server: the server that the packet's token identifies
 * @evidence: set to the evidence if there is any
 *
 * Evidence on which this instance may not act is counted in
 * CM_C_STEER_GONE_WITHHELD.
 *
 * Return: true when there is evidence and this instance may act on it.
 */
bool cm_steer_gone_check(struct cm_steer *steer, uint64_t now_ms,
			 const struct cm_steer_packet *packet,
			 const struct cm_steer_server *server,
			 struct cm_steer_gone_evidence *evidence);

#endif
