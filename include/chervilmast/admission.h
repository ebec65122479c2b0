/**
 * DOC: Admission of requests to a service under overload
 *
 * An instance compares the demand for a service with its share of the service's
 * capacity. When demand exceeds capacity and the responses show it too, the
 * instance admits requests by priority and age up to a limit, and defers or
 * sheds the others. The limit starts at the estimated capacity and follows the
 * responses: it rises while servers respond as fast as usual, so that a wrong
 * estimate does not refuse requests for which servers have room.
 *
 * Capacity, demand and limit are in us of work per second: a server with one
 * slot has 1,000,000. A rank is the position of a priority among the priorities
 * of the service's routes; rank 0 is the highest priority.
 */
#ifndef CHERVILMAST_ADMISSION_H
#define CHERVILMAST_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "chervilmast/congestion.h"
#include "chervilmast/route_demand.h"

/** Maximum number of routes of a service; further ones are not limited. */
#define CM_ADMISSION_ROUTES_MAX 16
/** Maximum number of ranks; lower priorities share the last one. */
#define CM_ADMISSION_RANKS_MAX 4
/** Minimum time between two updates of the state, ms. */
#define CM_ADMISSION_UPDATE_MS 100
/** Time without an update after which all counts are discarded, ms. */
#define CM_ADMISSION_PAUSE_MS 500

/**
 * struct cm_admission_evidence - what an update has seen
 * @demand: work of the requests that started in the last second, us per second
 * @recent_demand: work of the requests that started in the last three windows
 *                 of CM_DEMAND_WINDOW_MS, us per second
 * @completed: work of the requests that were answered in the last second, us
 *             per second
 * @started: number of requests in @demand
 * @recent_started: number of requests in @recent_demand
 * @answered: number of responses other than rejections in the last
 *            CM_DEMAND_RECENT_WINDOWS windows
 * @rejected: number of rejections in these windows
 * @slowness_per_mille: mean response time of @answered, thousandths of the
 *                      usual one; 0 for too few responses
 * @is_slow: these response times show an overload
 * @others_congestion: least congestion of the other failure domains that new
 *                     flows can reach, thousandths; CM_CONGESTION_FULL for none
 *
 * All but @rejected and @others_congestion cover only routes for which the work
 * of a request is known.
 */
struct cm_admission_evidence {
	uint64_t demand;
	uint64_t recent_demand;
	uint64_t completed;
	uint32_t started;
	uint32_t recent_started;

	uint32_t answered;
	uint32_t rejected;
	uint32_t slowness_per_mille;
	bool is_slow;
	uint32_t others_congestion;
};

/**
 * struct cm_admission - admission to a service at one instance
 * @routes: demand of the routes to the service
 * @route_count: number of @routes
 * @priorities: the different priorities of @routes, highest first
 * @rank_count: number of @priorities
 * @is_overloaded: requests are admitted up to @limit
 * @capacity: estimated capacity, us of work per second; 0 when unknown
 * @limit: work that is admitted while overloaded, us per second
 * @evidence: result of the last update
 * @credit: work that may be admitted now, us; negative when the higher
 *          priorities have taken more than was due
 * @reserve: work that may be admitted now for each rank but the first, us;
 *           negative after a request that needed more than was left
 * @reset_credit: thousandths of resets that may be sent now
 * @updated_ms: when the state was last updated, ms; 0 for never
 * @counted_ms: since when requests are counted without a pause, ms
 * @refilled_ms: when the credit was last refilled, ms
 * @exceeded_ms: since when demand exceeds capacity, ms; 0 when it does not
 * @slow_ms: since when responses take too long, ms; 0 when they don't
 * @covered_ms: since when demand is clearly covered, ms; 0 when it is not
 * @overloaded_ms: when the overload began, ms
 * @rejecting: token of the server that rejected last
 * @rejecting_ms: when @rejecting last rejected, ms; 0 for never
 * @rejecting_others_ms: when a server other than @rejecting last rejected, ms;
 *                       0 for never
 */
struct cm_admission {
	struct cm_route_demand routes[CM_ADMISSION_ROUTES_MAX];
	uint32_t route_count;
	uint32_t priorities[CM_ADMISSION_RANKS_MAX];
	uint32_t rank_count;
	bool is_overloaded;
	uint64_t capacity;
	uint64_t limit;
	struct cm_admission_evidence evidence;
	int64_t credit;
	int64_t reserve[CM_ADMISSION_RANKS_MAX];
	uint32_t reset_credit;
	uint64_t updated_ms;
	uint64_t counted_ms;
	uint64_t refilled_ms;
	uint64_t exceeded_ms;
	uint64_t slow_ms;
	uint64_t covered_ms;
	uint64_t overloaded_ms;
	uint32_t rejecting;
	uint64_t rejecting_ms;
	uint64_t rejecting_others_ms;
};

/**
 * struct cm_admission_request - a request to be admitted
 * @route: its route, one of @routes of struct cm_admission
 * @elapsed_ms: time since the caller first sent it, ms
 * @next_ms: time from then until the caller sends it again, ms; 0 when it does
 *           not
 */
struct cm_admission_request {
	const struct cm_route_demand *route;
	uint32_t elapsed_ms;
	uint32_t next_ms;
};

/**
 * enum cm_admission_outcome - what is to be done with a request
 * @CM_ADMISSION_ADMIT: forward it
 * @CM_ADMISSION_DEFER: drop it, as the caller sends it again in time
 * @CM_ADMISSION_SHED: refuse it for good
 */
enum cm_admission_outcome {
	CM_ADMISSION_ADMIT,
	CM_ADMISSION_DEFER,
	CM_ADMISSION_SHED,
};

/**
 * cm_admission_init() - initialize the admission to a service without routes
 * @admission: uninitialized memory, owned by the calling function
 */
void cm_admission_init(struct cm_admission *admission);

/**
 * cm_admission_add_route() - add a route, or update it and keep its counts
 * @admission: the admission
 * @route: the route
 * @now_ms: current time, ms
 *
 * A route beyond CM_ADMISSION_ROUTES_MAX is not added and not limited.
 */
void cm_admission_add_route(struct cm_admission *admission,
			    const struct cm_plan_route *route, uint64_t now_ms);

/**
 * cm_admission_remove_route() - remove a route
 * @admission: the admission
 * @index: index of the route in @routes of @admission; another route may have
 *         this index afterwards
 */
void cm_admission_remove_route(struct cm_admission *admission, uint32_t index);

/**
 * cm_admission_find_route() - find the demand of a route
 * @admission: the admission
 * @address: address of the route
 *
 * Return: the demand, or NULL when the route is not limited.
 */
struct cm_route_demand *
cm_admission_find_route(struct cm_admission *admission,
			const struct cm_endpoint *address);

/**
 * cm_admission_is_calm() - whether there is no sign of overload
 * @admission: the admission
 *
 * Return: false while the demand exceeds the capacity and under overload.
 */
bool cm_admission_is_calm(const struct cm_admission *admission);

/**
 * cm_admission_answered() - record a response other than a rejection
 * @admission: the admission
 * @now_ms: current time, ms
 * @route: route of the request, one of @routes of @admission
 * @took_ms: time from the request to the acknowledgment of the response, ms
 */
void cm_admission_answered(struct cm_admission *admission, uint64_t now_ms,
			   struct cm_route_demand *route, uint32_t took_ms);

/**
 * cm_admission_rejected() - record that a server rejected a request
 * @admission: the admission
 * @now_ms: current time, ms
 * @route: route of the request, one of @routes of @admission
 * @token: token of the server
 *
 * Rejections are evidence of overload only when they come from more than one
 * server.
 */
void cm_admission_rejected(struct cm_admission *admission, uint64_t now_ms,
			   struct cm_route_demand *route, uint32_t token);

/**
 * cm_admission_update_is_due() - whether cm_admission_update() is to be called
 * @admission: the admission
 * @now_ms: current time, ms
 *
 * Return: true when CM_ADMISSION_UPDATE_MS have passed since the last call.
 */
bool cm_admission_update_is_due(const struct cm_admission *admission,
				uint64_t now_ms);

/**
 * cm_admission_update() - begin or end the overload and adapt the limit
 * @admission: the admission
 * @now_ms: current time, ms
 * @capacity: estimated capacity of this instance, us of work per second; 0 when
 *            unknown
 * @others_congestion: least congestion of the other failure domains that new
 *                     flows can reach, thousandths; CM_CONGESTION_FULL for none
 *
 * After CM_ADMISSION_PAUSE_MS without a call, the process was paused: the
 * packets that waited arrive at once and are no measure of demand. Then all
 * counts are discarded and an overload ends.
 */
void cm_admission_update(struct cm_admission *admission, uint64_t now_ms,
			 uint64_t capacity, uint32_t others_congestion);

/**
 * cm_admission_decide() - decide on a request
 * @admission: the admission
 * @now_ms: current time, ms
 * @request: the request
 *
 * Return: the decision; always CM_ADMISSION_ADMIT without overload.
 */
enum cm_admission_outcome
cm_admission_decide(struct cm_admission *admission, uint64_t now_ms,
		    const struct cm_admission_request *request);

/**
 * cm_admission_take_reset() - take a reset from the budget
 * @admission: the admission
 *
 * A caller answers a reset by a retry at once. Resets are therefore limited to
 * a tenth of the admitted requests.
 *
 * Return: true when a reset may be sent.
 */
bool cm_admission_take_reset(struct cm_admission *admission);

#endif
