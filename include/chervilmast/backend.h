/**
 * DOC: Admission to a backend server
 *
 * The state by which the home of a backend server admits connections to it: the
 * number of open connections, a token bucket for new ones and the progress of a
 * cold start. All functions take the lock of the struct cm_backend.
 *
 * Within any second one instance admits at most max_new_per_s connections plus
 * one burst to a server. It admits none while the connections that it counts,
 * including those inherited from the old home, have reached max_connections.
 */
#ifndef CHERVILMAST_BACKEND_H
#define CHERVILMAST_BACKEND_H

#include <pthread.h>
#include <sys/queue.h>

#include "chervilmast/cold_start.h"
#include "chervilmast/counter.h"
#include "chervilmast/note.h"

/**
 * Burst of new connections, expressed as time at the full rate, ms. A burst is
 * at least one connection.
 */
#define CM_ADMIT_BURST_MS 100
/**
 * Time for which a server that a release note adds or returns to service gets
 * no flows, ms. By the end of it the note is in force on all instances. An
 * instance without a note that adds a server would reset that server's flows.
 */
#define CM_NOTE_SPREAD_MS 2000
/** Share of the rate that a new home uses while the old one may admit, %. */
#define CM_TAKEOVER_RATE_PERCENT 25
/** Time for which the old home may go on admitting after a takeover, ms. */
#define CM_TAKEOVER_LEASE_MS 1000
/**
 * Time after the lease within which the new home receives a packet of each
 * connection that the old home admitted after its last load report, ms.
 */
#define CM_TAKEOVER_MARGIN_MS 2000
/** Retry-after time for a server that is at its connection cap, ms. */
#define CM_CAP_RETRY_AFTER_MS 1000
/** Number of times that an old home reports the connections that it held. */
#define CM_FORMER_REPORTS 3
/**
 * Age from which load balancing ignores the load that another home reported,
 * ms. A takeover uses the last reported load at any age.
 */
#define CM_LOAD_STALE_MS 5000
/** Time for which a backend server's own report limits its share, ms. */
#define CM_SERVER_REPORT_MS 10000

/**
 * struct cm_admission_refusal - why a connection was refused
 * @reason: counter of the reason
 * @retry_after_ms: time until a connection might be admitted; 0 if unknown
 */
struct cm_admission_refusal {
	enum cm_counter reason;
	uint32_t retry_after_ms;
};

/**
 * struct cm_backend_load - last load of a server that its home reported
 * @arrived_ms: time of arrival of the report; 0 if none has arrived
 * @open: connections that the home counts as open
 * @growth_per_s: change of @open since the previous report, connections/s
 * @percent: share of its rate and cap that the server was given, %
 * @is_at_cap: the server is at its connection cap
 */
struct cm_backend_load {
	uint64_t arrived_ms;
	uint32_t open;
	int32_t growth_per_s;
	uint32_t percent;
	bool is_at_cap;
};

/**
 * struct cm_former_load - connections that an instance held when it ceased to
 * be the home of the server
 * @open: open connections, including those inherited from the home before it
 * @self_admitted: the part of @open that this instance may have admitted itself
 */
struct cm_former_load {
	uint32_t open;
	uint32_t self_admitted;
};

/**
 * struct cm_backend - admission state of one backend server
 * @link: list of all backends of one node
 * @address: the server's address
 * @lock: guards the members below
 * @open: open connections that this instance counts
 * @tokens: token bucket of new connections; a connection costs CM_ADMIT_TOKENS
 * @refilled_ms: when @tokens was last refilled
 * @cold: progress of the cold start
 * @cold_base: connections to which the cap of the current cold start does not
 *             apply: those open when the cold start began and those that other
 *             instances admitted
 * @inherited: connections of the old home of which this instance has not seen
 *             a packet yet; they count against the cap
 * @inherited_until_ms: time from which @inherited no longer counts, as the idle
 *                      timeout has ended all of these connections
 * @adopted: connections admitted by other instances that this instance began to
 *           count in the current window. A window lasts one idle timeout; the
 *           first begins at the takeover.
 * @adopted_before: @adopted of the previous window
 * @adopted_since_ms: start of the current window; 0 before the first
 * @margin: connections that the old home may have admitted after its last
 *          report and of which this instance has not seen a packet yet
 * @margin_until_ms: time from which @margin no longer counts, as this instance
 *                   has received a packet of each such connection by then
 * @reduced_rate_until_ms: time until which the old home may still admit, so
 *                         that only a reduced rate is used, see
 *                         CM_TAKEOVER_RATE_PERCENT
 * @deferred_until_ms: time until which the server gets no flows, because the
 *                     release note that added it or returned it to service may
 *                     not be on all instances yet
 * @takeover_cold_starts: number of cold starts at the last takeover; a higher
 *                        number shows that one has begun since
 * @is_home: this instance is the server's home; written only under the write
 *           lock of the node's view
 * @is_takeover_due: this instance became the home and has not begun to admit
 * @former_reports: number of reports of @former that are still to be sent
 * @former: connections held when this instance ceased to be the home
 * @load: last load that another home reported; used for load balancing, and for
 *        admission only when this instance takes over
 * @report_percent: share of its rate and cap that the server reported, %
 * @report_until_ms: time until which @report_percent applies
 * @admitted: connections admitted in total
 * @refused: connections refused in total
 * @window_start_ms: start of the one-second window in which an invariant checks
 *                   the rate
 * @window_count: connections admitted in that window
 * @window_max: largest number that may be admitted in that window
 */
struct cm_backend {
	SLIST_ENTRY(cm_backend) link;
	struct cm_endpoint address;
	pthread_mutex_t lock;
	uint32_t open;
	uint64_t tokens;
	uint64_t refilled_ms;
	struct cm_cold_start cold;
	uint32_t cold_base;
	uint32_t inherited;
	uint64_t inherited_until_ms;
	uint32_t adopted;
	uint32_t adopted_before;
	uint64_t adopted_since_ms;
	uint32_t margin;
	uint64_t margin_until_ms;
	uint64_t reduced_rate_until_ms;
	uint64_t deferred_until_ms;
	uint32_t takeover_cold_starts;
	bool is_home;
	bool is_takeover_due;
	uint32_t former_reports;
	struct cm_former_load former;
	struct cm_backend_load load;
	uint32_t report_percent;
	uint64_t report_until_ms;
	uint64_t admitted;
	uint64_t refused;
	uint64_t window_start_ms;
	uint32_t window_count;
	uint32_t window_max;
};

SLIST_HEAD(cm_backend_list, cm_backend);

/**
 * struct cm_backend_status - snapshot of a server's admission state
 * @open: open connections that this instance counts
 * @inherited: connections of the old home that still count against the cap
 * @unanswered: SYNs that the server has not answered yet
 * @percent: share of its rate and cap that the server is given, %
 * @at_cap: the sum of @open and @inherited has reached max_connections
 * @full: no connection would be admitted now
 * @retry_after_ms: time until one might be admitted; 0 unless @full
 * @admitted: connections admitted in total
 * @refused: connections refused in total
 * @cold_starts: cold starts in total, including the first
 */
struct cm_backend_status {
	uint32_t open;
	uint32_t inherited;
	uint32_t unanswered;
	uint32_t percent;
	bool at_cap;
	bool full;
	uint32_t retry_after_ms;
	uint64_t admitted;
	uint64_t refused;
	uint32_t cold_starts;
};

/**
 * cm_backend_init() - initialize the admission state of a server
 * @backend: uninitialized memory, owned by the calling function
 * @address: the server's address
 * @now_ms: current time, at which the first cold start begins
 */
void cm_backend_init(struct cm_backend *backend,
		     const struct cm_endpoint *address, uint64_t now_ms);

/**
 * cm_backend_defer_admission() - admit nothing for CM_NOTE_SPREAD_MS
 * @backend: the backend
 * @now_ms: current time
 *
 * By the end of that time, the release note that added the server or returned
 * it to service is on all instances.
 */
void cm_backend_defer_admission(struct cm_backend *backend, uint64_t now_ms);

/**
 * cm_backend_finish() - release resources
 * @backend: the backend; the struct itself is not freed
 */
void cm_backend_finish(struct cm_backend *backend);

/**
 * cm_backend_admit() - try to admit one new connection
 * @backend: the backend
 * @spec: the server's settings in force
 * @now_ms: current time
 * @refusal: set if the connection is refused, else unchanged
 *
 * Return: true if the connection is admitted; it then counts as open.
 */
bool cm_backend_admit(struct cm_backend *backend,
		      const struct cm_server_spec *spec, uint64_t now_ms,
		      struct cm_admission_refusal *refusal);

/**
 * cm_backend_adopt() - count a connection that another instance admitted
 * @backend: the backend
 */
void cm_backend_adopt(struct cm_backend *backend);

/**
 * cm_backend_release() - stop counting a connection that has ended
 * @backend: the backend
 * @unanswered: the server has not answered the connection's SYN
 */
void cm_backend_release(struct cm_backend *backend, bool unanswered);

/**
 * cm_backend_syn_answered() - record that the server answered a SYN by SYN-ACK
 * @backend: the backend
 * @delay_ms: time since the SYN
 * @now_ms: current time
 */
void cm_backend_syn_answered(struct cm_backend *backend, uint32_t delay_ms,
			     uint64_t now_ms);

/**
 * cm_backend_syn_reset() - record that the server answered a SYN by RST
 * @backend: the backend; the connection no longer counts as open
 * @now_ms: current time
 */
void cm_backend_syn_reset(struct cm_backend *backend, uint64_t now_ms);

/**
 * cm_backend_flow_reset() - record that the server reset an open connection
 * @backend: the backend; call cm_backend_release() for the connection as well
 * @unknown: the RST shows that the server has no such connection, see
 *           cm_cold_start_flow_reset()
 * @now_ms: current time
 */
void cm_backend_flow_reset(struct cm_backend *backend, bool unknown,
			   uint64_t now_ms);

/**
 * cm_backend_restart() - begin a cold start, as the server returns to service
 * @backend: the backend
 * @now_ms: current time
 */
void cm_backend_restart(struct cm_backend *backend, uint64_t now_ms);

/**
 * cm_backend_set_home() - set whether this instance is the server's home
 * @backend: the backend
 * @is_home: this instance is the home
 * @taken_over: another instance may have been the home until now
 */
void cm_backend_set_home(struct cm_backend *backend, bool is_home,
			 bool taken_over);

/**
 * cm_backend_take_over() - begin to admit as the server's new home
 * @backend: the backend
 * @spec: the server's settings in force
 * @idle_timeout_ms: idle timeout of the server's flows
 * @lease_ms: time for which the old home may go on admitting
 * @now_ms: current time
 *
 * Has this effect only once after each cm_backend_set_home() that made this
 * instance the home by a takeover. Each call also advances the window of
 * @adopted.
 *
 * The connections of the last load report count as inherited. Those that the
 * old home can have admitted between that report and the end of its lease are
 * added as a margin.
 */
void cm_backend_take_over(struct cm_backend *backend,
			  const struct cm_server_spec *spec,
			  uint64_t idle_timeout_ms, uint64_t lease_ms,
			  uint64_t now_ms);

/**
 * cm_backend_take_former_report() - take the next report to the new home
 * @backend: the backend
 * @former: set to the connections held when this instance ceased to be home
 *
 * Return: true if @former is to be sent; the report then counts as sent.
 */
bool cm_backend_take_former_report(struct cm_backend *backend,
				   struct cm_former_load *former);

/**
 * cm_backend_former_is_unreported() - whether no report was sent to the new
 * home
 * @backend: the backend
 *
 * Return: true if connections were held when this instance ceased to be the
 * home and cm_backend_take_former_report() has not returned any report since.
 */
bool cm_backend_former_is_unreported(struct cm_backend *backend);

/**
 * cm_backend_inherit() - count the connections that the old home reports
 * @backend: the backend
 * @spec: the server's settings in force
 * @load: the report
 * @now_ms: current time
 *
 * Has an effect only until the margin of the takeover expires. The ramp resumes
 * at the reported share if that is higher than the current one, unless a cold
 * start has begun here since the takeover.
 */
void cm_backend_inherit(struct cm_backend *backend,
			const struct cm_server_spec *spec,
			const struct cm_backend_load *load, uint64_t now_ms);

/**
 * cm_backend_inherit_from_other_home() - count the connections that another
 * instance admitted while both were home of the server
 * @backend: the backend
 * @spec: the server's settings in force
 * @self_admitted: connections that the other instance may have admitted itself
 * @idle_timeout_ms: idle timeout of the server's flows
 * @now_ms: current time
 *
 * Has an effect only after the margin of the last takeover has expired. A
 * repeated report counts no connection twice: the connections adopted since are
 * subtracted, and the rest replaces the inherited count if it is higher. At
 * most max_connections of the reported connections count.
 */
void cm_backend_inherit_from_other_home(struct cm_backend *backend,
					const struct cm_server_spec *spec,
					uint32_t self_admitted,
					uint64_t idle_timeout_ms,
					uint64_t now_ms);

/**
 * cm_backend_set_load() - store the load that another home reported
 * @backend: the backend
 * @load: the report; @growth_per_s is ignored and computed anew
 */
void cm_backend_set_load(struct cm_backend *backend,
			 const struct cm_backend_load *load);

/**
 * cm_backend_load() - get the last load that another home reported
 * @backend: the backend
 *
 * Return: a copy.
 */
struct cm_backend_load cm_backend_load(struct cm_backend *backend);

/**
 * cm_backend_apply_report() - apply the server's own report of its capacity
 * @backend: the backend
 * @percent: share of its rate and cap that the server can take, %; can lower
 *           the share that the ramp allows but not raise it
 * @made_ms: when the server made the report
 *
 * Return: true, or false if a report made later was applied before.
 */
bool cm_backend_apply_report(struct cm_backend *backend, uint32_t percent,
			     uint64_t made_ms);

/**
 * cm_backend_open_count() - number of open connections
 * @backend: the backend
 *
 * Return: the number that this instance counts.
 */
uint32_t cm_backend_open_count(struct cm_backend *backend);

/**
 * cm_backend_status() - read the admission state of a server
 * @backend: the backend
 * @spec: the server's settings in force
 * @now_ms: current time
 * @status: set to the state
 */
void cm_backend_status(struct cm_backend *backend,
		       const struct cm_server_spec *spec, uint64_t now_ms,
		       struct cm_backend_status *status);

#endif
