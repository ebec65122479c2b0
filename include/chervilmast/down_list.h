/**
 * DOC: Backend servers that several instances found to be down
 *
 * The source of a failure domain counts the instances that report a backend
 * server as silent and, besides, saw a caller retransmit data to it. The server
 * counts as down when two instances do. Silence alone proves nothing: a server
 * at its maximum number of connections answers neither SYNs nor probes but
 * serves its open flows, and on a lossy link one instance may see the data of
 * one flow lost several times in a row.
 */
#ifndef CHERVILMAST_DOWN_LIST_H
#define CHERVILMAST_DOWN_LIST_H

#include <stdint.h>

#include "chervilmast/message_items.h"

/** Maximum number of servers in the list. */
#define CM_DOWN_LIST_MAX CM_MESSAGE_TOKENS_MAX
/** Number of reporting instances at which a server counts as down. */
#define CM_DOWN_REPORTERS 2

/**
 * struct cm_down_report - an instance's latest report of a server
 * @reporter: hash of the instance's name
 * @reported_ms: when it was received, ms; 0 for none
 */
struct cm_down_report {
	uint64_t reporter;
	uint64_t reported_ms;
};

/**
 * struct cm_down_server - a server that was reported
 * @token: its token; 0 for a free entry
 * @reports: reports of different instances
 */
struct cm_down_server {
	uint32_t token;
	struct cm_down_report reports[CM_DOWN_REPORTERS];
};

/**
 * struct cm_down_list - servers that were reported
 * @items: the servers
 */
struct cm_down_list {
	struct cm_down_server items[CM_DOWN_LIST_MAX];
};

/**
 * cm_down_list_report() - record an instance's reports, which replace all its
 * earlier ones
 * @list: the list; zeroed before first use
 * @now_ms: current time, ms
 * @reporter: hash of the instance's name
 * @silent: servers that it reports as silent
 * @stalled: those of them to which it saw a caller retransmit data; only these
 *           are recorded
 *
 * Servers for which there is no room are left out.
 */
void cm_down_list_report(struct cm_down_list *list, uint64_t now_ms,
			 uint64_t reporter,
			 const struct cm_message_tokens *silent,
			 const struct cm_message_tokens *stalled);

/**
 * cm_down_list_read() - list the servers that are down
 * @list: the list
 * @now_ms: current time, ms
 * @down: set to the servers
 */
void cm_down_list_read(const struct cm_down_list *list, uint64_t now_ms,
		       struct cm_message_tokens *down);

#endif
