/**
 * DOC: Members
 *
 * Identity and liveness of an entry instance.
 */
#ifndef CHERVILMAST_MEMBER_H
#define CHERVILMAST_MEMBER_H

#include <stdint.h>

#include "chervilmast/note.h"

/**
 * enum cm_member_state - liveness of an instance
 * @CM_MEMBER_ALIVE: running and not in graceful shutdown
 * @CM_MEMBER_LEAVING: running but in graceful shutdown; it can be home of a
 *                     backend server only while no instance of the server's
 *                     failure domain is alive
 * @CM_MEMBER_UNREACHABLE: an instance of another failure domain that was voted
 *                         unreachable by its observers outside its own domain
 * @CM_MEMBER_DEAD: it announced its stop, was voted dead by its observers, or
 *                  is in the platform's list but nothing was received from or
 *                  about it
 * @CM_MEMBER_SUSPECT: used in messages only, as the sender's vote that the
 *                     instance is dead or unreachable
 */
enum cm_member_state {
	CM_MEMBER_ALIVE,
	CM_MEMBER_LEAVING,
	CM_MEMBER_UNREACHABLE,
	CM_MEMBER_DEAD,
	CM_MEMBER_SUSPECT,
};

/**
 * struct cm_member - one entry instance
 * @name: display name; not used as a key
 * @domain: name of its failure domain
 * @data_address: address on which it receives Geneve packets; identifies the
 *                instance
 * @control_address: address on which it accepts control connections
 * @incarnation: increases with each process that starts at @data_address; the
 *               instance also raises it when another instance reports it dead
 *               or unreachable, or reports a higher incarnation
 * @state: its liveness
 */
struct cm_member {
	char name[CM_NAME_SIZE];
	char domain[CM_NAME_SIZE];
	struct cm_endpoint data_address;
	struct cm_endpoint control_address;
	uint64_t incarnation;
	enum cm_member_state state;
};

#endif
