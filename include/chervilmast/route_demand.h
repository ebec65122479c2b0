/**
 * DOC: Demand of a route at one instance
 *
 * What an instance observes of the requests of a route to one service: how many
 * start, how many are answered or rejected, how long responses take and how
 * much work a request needs. The counts cover the last second.
 */
#ifndef CHERVILMAST_ROUTE_DEMAND_H
#define CHERVILMAST_ROUTE_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

#include "chervilmast/steer_plan.h"

/** Length of a window in which events are counted, ms. */
#define CM_DEMAND_WINDOW_MS 100
/** Number of windows that are kept, the current one included. */
#define CM_DEMAND_WINDOWS 10
/** Number of windows that count as recent. */
#define CM_DEMAND_RECENT_WINDOWS 5
/** Number of responses from which the work of a request counts as known. */
#define CM_DEMAND_SAMPLES_MIN 8

/**
 * struct cm_demand_count - events of a period
 * @started: requests that started
 * @answered: responses other than rejections
 * @rejected: responses that are as short as an error
 * @answer_ms: sum of the times of @answered, ms
 */
struct cm_demand_count {
	uint32_t started;
	uint32_t answered;
	uint32_t rejected;
	uint64_t answer_ms;
};

/**
 * struct cm_route_demand - demand of a route
 * @address: address of the route
 * @traits: properties of the route's requests
 * @objective_ms: latency objective, ms; 0 when none is set
 * @windows: counts by window, at the window's number modulo CM_DEMAND_WINDOWS
 * @window_number: number of the latest window: its time divided by
 *                 CM_DEMAND_WINDOW_MS
 * @since_ms: when counting began, ms
 * @work_us: work of a request, estimated as the lower quartile of the response
 *           times, us
 * @usual_us: smoothed response time without overload, us
 * @samples: number of response times so far, up to CM_DEMAND_SAMPLES_MIN
 * @long_per_mille: smoothed share of flows that carry a second request,
 *                  thousandths
 */
struct cm_route_demand {
	struct cm_endpoint address;
	struct cm_route_traits traits;
	uint32_t objective_ms;
	struct cm_demand_count windows[CM_DEMAND_WINDOWS];
	uint64_t window_number;
	uint64_t since_ms;
	uint32_t work_us;
	uint32_t usual_us;
	uint32_t samples;
	uint32_t long_per_mille;
};

/**
 * cm_route_demand_init() - initialize the demand of a route
 * @demand: uninitialized memory, owned by the calling function
 * @route: the route
 * @now_ms: current time, ms
 */
void cm_route_demand_init(struct cm_route_demand *demand,
			  const struct cm_plan_route *route, uint64_t now_ms);

/**
 * cm_route_demand_restart() - discard all counts, but not the estimates
 * @demand: the demand
 * @now_ms: current time, ms
 */
void cm_route_demand_restart(struct cm_route_demand *demand, uint64_t now_ms);

/**
 * cm_route_demand_started() - record that a request started
 * @demand: the demand
 * @now_ms: current time, ms
 */
void cm_route_demand_started(struct cm_route_demand *demand, uint64_t now_ms);

/**
 * cm_route_demand_answered() - record a response
 * @demand: the demand
 * @now_ms: current time, ms
 * @took_ms: time from the request to the acknowledgment of the response, ms
 * @is_calm: there is no sign of overload, so that a longer time than usual may
 *           raise the estimates
 */
void cm_route_demand_answered(struct cm_route_demand *demand, uint64_t now_ms,
			      uint32_t took_ms, bool is_calm);

/**
 * cm_route_demand_rejected() - record a response that is as short as an error
 * @demand: the demand
 * @now_ms: current time, ms
 */
void cm_route_demand_rejected(struct cm_route_demand *demand, uint64_t now_ms);

/**
 * cm_route_demand_is_slow() - whether a response time shows that the server is
 * full
 * @demand: the demand
 * @took_ms: time from the request to the acknowledgment of the response, ms
 *
 * Well below the objective, waiting costs callers nothing.
 *
 * Return: true when it is over twice the usual time and half of the objective.
 */
bool cm_route_demand_is_slow(const struct cm_route_demand *demand,
			     uint32_t took_ms);

/**
 * cm_route_demand_flow_shape() - record whether a flow carried a second request
 * @demand: the demand
 * @is_long: whether it did
 */
void cm_route_demand_flow_shape(struct cm_route_demand *demand, bool is_long);

/**
 * cm_route_demand_is_long() - whether the route's flows usually carry more than
 * one request
 * @demand: the demand
 *
 * Return: true if so.
 */
bool cm_route_demand_is_long(const struct cm_route_demand *demand);

/**
 * cm_route_demand_work_is_known() - whether the work of a request is known
 * @demand: the demand
 *
 * Return: true after CM_DEMAND_SAMPLES_MIN responses.
 */
bool cm_route_demand_work_is_known(const struct cm_route_demand *demand);

/**
 * cm_route_demand_count() - sum of the counts of the latest windows
 * @demand: the demand
 * @now_ms: current time, ms
 * @windows: number of windows, at most CM_DEMAND_WINDOWS
 * @sum: set to the sum
 *
 * Return: time that the windows cover, ms; not 0.
 */
uint32_t cm_route_demand_count(const struct cm_route_demand *demand,
			       uint64_t now_ms, uint32_t windows,
			       struct cm_demand_count *sum);

#endif
