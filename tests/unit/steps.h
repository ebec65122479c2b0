/**
 * DOC: Tables of segments of one flow
 *
 * One node of a deployment of two instances gets the segments of one caller and
 * of its backend servers in the order of a table, which names the expected
 * outcome of each. Used for segments that arrive late, twice or out of order.
 */
#ifndef UNIT_STEPS_H
#define UNIT_STEPS_H

#include "unit/one_node.h"

/* Initial sequence number of the caller. */
#define SYN_SEQ 99
/* Initial sequence numbers of servers that hold a connection of the caller. */
#define FIRST_ISN 3000000000
#define SECOND_ISN 1000
/* Initial sequence number of the caller's next connection from that port. */
#define NEXT_SYN_SEQ 500000000

/* Sender of a segment if it is the caller; a server is given by its rank. */
#define CALLER 9

/**
 * enum outcome - what the node does with a segment
 * @DROPPED: sends nothing, or at most an RST that cancels a flow at its server
 * @TO_FIRST: sends it to the first candidate
 * @TO_SECOND: sends it to the second candidate
 * @TO_OTHER: sends it to another candidate
 * @TO_CALLER: sends it to the caller
 * @RELAYED: relays it to the other instance
 * @RELAYED_UNCONFIRMED: relays it to the home of its server, marked as a packet
 *                       of a server that the directory did not see answer
 */
enum outcome {
	DROPPED,
	TO_FIRST,
	TO_SECOND,
	TO_OTHER,
	TO_CALLER,
	RELAYED,
	RELAYED_UNCONFIRMED,
};

/**
 * struct step - a segment and its expected outcome
 * @from: CALLER, or rank of the server that sends it
 * @flags: TCP flags; 0 after the last step
 * @seq: sequence number
 * @ack: acknowledgment number
 * @outcome: what the node does with it
 * @kind: kind of the relay that it arrives by; 0 if it comes from the fabric
 * @rank: rank of the server that the relay header names; for a RETURN relay,
 *         the index in the header
 */
struct step {
	uint32_t from;
	uint8_t flags;
	uint32_t seq;
	uint32_t ack;
	enum outcome outcome;
	enum cm_relay_kind kind;
	uint32_t rank;
};

#define SYN                                                    \
	{                                                      \
		CALLER, CM_TCP_SYN, SYN_SEQ, 0, TO_FIRST, 0, 0 \
	}
#define LATE_SYN(kind, outcome)                                  \
	{                                                        \
		CALLER, CM_TCP_SYN, SYN_SEQ, 0, outcome, kind, 2 \
	}
#define NEXT_SYN(outcome)                                          \
	{                                                          \
		CALLER, CM_TCP_SYN, NEXT_SYN_SEQ, 0, outcome, 0, 0 \
	}
#define SYN_ACK (CM_TCP_SYN | CM_TCP_ACK)
#define ACK(number, outcome)                                                 \
	{                                                                    \
		CALLER, CM_TCP_ACK, SYN_SEQ + 1, (number) + 1, outcome, 0, 0 \
	}
#define LOOKUP(number, outcome)                                         \
	{                                                               \
		CALLER, CM_TCP_ACK, SYN_SEQ + 1, (number) + 1, outcome, \
			CM_RELAY_LOOKUP, 0                              \
	}
#define ANSWER(rank, number, outcome)                             \
	{                                                         \
		rank, SYN_ACK, number, SYN_SEQ + 1, outcome, 0, 0 \
	}
#define LATE_ANSWER(rank, outcome)                              \
	{                                                       \
		rank, SYN_ACK, FIRST_ISN, SYN_SEQ + 1, outcome, \
			CM_RELAY_RETURN, 0                      \
	}
#define RESET_AT(index, rank, number, outcome)                               \
	{                                                                    \
		rank, CM_TCP_RST, (number) + 1, 0, outcome, CM_RELAY_RETURN, \
			index                                                \
	}
#define BOUND(rank, number, outcome)                                    \
	{                                                               \
		CALLER, CM_TCP_ACK, SYN_SEQ + 1, (number) + 1, outcome, \
			CM_RELAY_BOUND, rank                            \
	}
/* Index of a RETURN relay if the directory has no binding to the server. */
#define RETURN_UNBOUND 3
#define RESET(rank, number, outcome)                             \
	{                                                        \
		rank, CM_TCP_RST, (number) + 1, 0, outcome, 0, 0 \
	}

/**
 * struct steps - the node and the flow
 * @one: the node
 * @caller: the flow's caller
 * @candidates: the flow's candidates; the node is the home of the first and the
 *              third, the other instance that of the second and the fourth
 */
struct steps {
	struct one_node one;
	struct cm_endpoint caller;
	struct cm_candidates candidates;
};

/**
 * steps_init() - start a node and find a flow whose candidates have the homes
 *                that struct steps describes
 * @steps: uninitialized memory, owned by the calling function
 */
void steps_init(struct steps *steps);

/**
 * steps_finish() - release resources
 * @steps: the node; the struct itself is not freed
 */
void steps_finish(struct steps *steps);

/**
 * steps_input() - pass a segment to the node
 * @steps: the node
 * @now_ms: current time
 * @step: the segment
 *
 * Return: the outcome, to be compared with that of @step.
 */
enum outcome steps_input(struct steps *steps, uint64_t now_ms,
			 const struct step *step);

/**
 * steps_is_cancel() - whether an action sends an RST to a backend server
 * @action: the action
 *
 * Return: true if it does.
 */
bool steps_is_cancel(const struct cm_action *action);

/**
 * steps_set_members() - replace the members of the node
 * @steps: the node
 * @change: changes the two members, both ALIVE before the call
 */
void steps_set_members(struct steps *steps,
		       void (*change)(struct cm_member *members));

#endif
