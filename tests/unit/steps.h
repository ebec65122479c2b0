/**
 * DOC: Tables of segments of one flow
 *
 * One node of a deployment of two instances receives the segments of a table,
 * in order. They come from one caller and its backend servers. Each row
 * contains the expected outcome. Used for segments that arrive late, twice or
 * out of order.
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

/* Value of step.from for the caller; a server is identified by its rank. */
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
 *                       of a flow that the directory has not seen the server
 *                       answer
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
 * @kind: kind of its relay header; 0 if it comes from the fabric
 * @rank: rank of the server in the relay header; for a RETURN relay, its
 *        kind_data
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

/*
 * Steps of a table: @rank is the rank of the server, @number its initial
 * sequence number (in an ACK, plus the number of acknowledged bytes), and
 * @outcome the expected outcome.
 */

/* First SYN of the caller. */
#define SYN                                                    \
	{                                                      \
		CALLER, CM_TCP_SYN, SYN_SEQ, 0, TO_FIRST, 0, 0 \
	}
/* Repeated SYN; if it arrives by a relay, the header names candidate 2. */
#define LATE_SYN(kind, outcome)                                  \
	{                                                        \
		CALLER, CM_TCP_SYN, SYN_SEQ, 0, outcome, kind, 2 \
	}
/* SYN of the caller's next connection. */
#define NEXT_SYN(outcome)                                          \
	{                                                          \
		CALLER, CM_TCP_SYN, NEXT_SYN_SEQ, 0, outcome, 0, 0 \
	}
#define SYN_ACK (CM_TCP_SYN | CM_TCP_ACK)
/* ACK of the caller, from the fabric. */
#define ACK(number, outcome)                                                 \
	{                                                                    \
		CALLER, CM_TCP_ACK, SYN_SEQ + 1, (number) + 1, outcome, 0, 0 \
	}
/* ACK of the caller, by a LOOKUP relay. */
#define LOOKUP(number, outcome)                                         \
	{                                                               \
		CALLER, CM_TCP_ACK, SYN_SEQ + 1, (number) + 1, outcome, \
			CM_RELAY_LOOKUP, 0                              \
	}
/* SYN-ACK of a server, from the fabric. */
#define ANSWER(rank, number, outcome)                             \
	{                                                         \
		rank, SYN_ACK, number, SYN_SEQ + 1, outcome, 0, 0 \
	}
/* SYN-ACK of a server, by a RETURN relay to this node as the directory. */
#define LATE_ANSWER(rank, outcome)                              \
	{                                                       \
		rank, SYN_ACK, FIRST_ISN, SYN_SEQ + 1, outcome, \
			CM_RELAY_RETURN, 0                      \
	}
/* RST of a server, by a RETURN relay with the given kind_data. */
#define RESET_AT(kind_data, rank, number, outcome)                           \
	{                                                                    \
		rank, CM_TCP_RST, (number) + 1, 0, outcome, CM_RELAY_RETURN, \
			kind_data                                            \
	}
/* ACK of the caller, by a BOUND relay that names the server. */
#define BOUND(rank, number, outcome)                                    \
	{                                                               \
		CALLER, CM_TCP_ACK, SYN_SEQ + 1, (number) + 1, outcome, \
			CM_RELAY_BOUND, rank                            \
	}
/* kind_data of a RETURN relay if the directory has no binding to the server. */
#define RETURN_UNBOUND 3
/* RST of a server, from the fabric. */
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
 * @now_ms: current time, ms
 * @step: the segment
 *
 * Return: the actual outcome, for comparison with @outcome of @step.
 */
enum outcome steps_input(struct steps *steps, uint64_t now_ms,
			 const struct step *step);

/**
 * steps_is_cancel() - whether an action sends an RST built by the node to a
 *                     backend server
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
